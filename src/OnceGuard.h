#ifndef HEADER_OnceGuard
#define HEADER_OnceGuard
/**
 * DOC: OnceGuard
 *
 * What a request that may run only once goes through: its key is checked,
 * claimed before anything is sent, and settled when the outcome is known.
 */
#include <glib.h>

#include "Claims.h"
#include "Refusal.h"

/**
 * struct OnceGuardSpec_t - a request that may run only once
 * @claims: of this router
 * @customer: whose key it is
 * @target: model or service
 * @key: the Idempotency-Key as it came
 * @horizon_ms: oldest age of a key
 * @deadline_ms: monotonic
 */
typedef struct {
    Claims_t *claims;
    const char *customer;
    const char *target;
    const char *key;
    gint64 horizon_ms;
    gint64 deadline_ms;
} OnceGuardSpec_t;

/**
 * OnceGuardDone_t - called once, unless the guard was destroyed before
 * @granted: whether the request may run
 * @refusal: else the reason
 * @run: and what is known of the key's request
 */
typedef void (*OnceGuardDone_t)(gboolean granted, Refusal_t refusal,
                                RunState_t run, void *data);

/** struct OnceGuard_t - opaque */
typedef struct OnceGuard OnceGuard_t;

/**
 * OnceGuard_create() - check the key
 * @refusal: set to REFUSAL_KEY_REQUIRED or _BAD_KEY
 *
 * Return: NULL where the key is at fault
 */
OnceGuard_t *OnceGuard_create(const OnceGuardSpec_t *spec, Refusal_t *refusal);

/** OnceGuard_claim() - claim the key */
void OnceGuard_claim(OnceGuard_t *this, OnceGuardDone_t done, void *data);

/**
 * OnceGuard_end() - settle and free it
 * @run: what is known of the request in the end
 */
void OnceGuard_end(OnceGuard_t *this, RunState_t run);

#endif
