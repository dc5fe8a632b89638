#ifndef HEADER_Salt
#define HEADER_Salt
/**
 * DOC: Salt
 *
 * The cache salt of a request, which is a keyed hash. Two requests share
 * cached blocks only if their salts are equal, that is, if customer, model,
 * adapter and both versions of weights are the same.
 */
#include <glib.h>

/** Hex digits of a salt */
#define SALT_LENGTH 32

/**
 * struct SaltInput_t - the texts that a salt depends on
 */
typedef struct {
    const char *customer;
    const char *model;
    const char *weights;
    const char *adapter;
    const char *adapter_weights;
} SaltInput_t;

/**
 * Salt_make() - compute the salt of a request
 * @key: 32 bytes that all routers share
 * @out: hex digits of the salt and a NUL
 *
 * Return: the first 64 bits of the salt, the seed of prefix identities
 */
guint64 Salt_make(const SaltInput_t *input, GBytes *key,
                  char out[SALT_LENGTH + 1]);

#endif
