#ifndef HEADER_Salt
#define HEADER_Salt
/**
 * DOC: Salt
 *
 * The cache salt of a request: a keyed hash of everything that must not
 * share cached blocks. Two requests share blocks only if customer, model,
 * adapter and both versions of weights are the same.
 */
#include <glib.h>

/** Hex digits of a salt */
#define SALT_LENGTH 32

/**
 * struct SaltInput_t - what a salt is made of
 */
typedef struct {
    const char *customer;
    const char *model;
    const char *weights;
    const char *adapter;
    const char *adapter_weights;
} SaltInput_t;

/**
 * Salt_make() - the salt of a request
 * @key: 32 bytes that all routers share
 * @out: hex digits and a NUL
 *
 * Return: 64 bits of the salt, to seed prefix identities with
 */
guint64 Salt_make(const SaltInput_t *input, GBytes *key,
                  char out[SALT_LENGTH + 1]);

#endif
