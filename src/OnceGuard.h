#ifndef HEADER_OnceGuard
#define HEADER_OnceGuard
/**
 * DOC: OnceGuard
 *
 * Guards a request that may run only once. The guard checks the request's key,
 * claims it before anything is sent to an upstream, and records the outcome
 * when it is known.
 */
#include <glib.h>

#include "Claims.h"
#include "Refusal.h"

/**
 * struct OnceGuardSpec_t - a request that may run only once
 * @claims: claims of this router
 * @customer: customer that sent the key
 * @target: model or service
 * @key: the Idempotency-Key as received
 * @horizon_ms: maximum age of a key
 * @deadline_ms: monotonic deadline of the request
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
 * OnceGuardDone_t - called once, unless OnceGuard_end() is called before
 * @granted: whether the request may run
 * @refusal: the reason if it may not
 * @run: whether the key's request has run, if this one may not
 */
typedef void (*OnceGuardDone_t)(gboolean granted, Refusal_t refusal,
                                RunState_t run, void *data);

/** struct OnceGuard_t - opaque */
typedef struct OnceGuard OnceGuard_t;

/**
 * OnceGuard_create() - check the key and create its guard
 * @refusal: set to REFUSAL_KEY_REQUIRED or REFUSAL_BAD_KEY
 *
 * Return: NULL if the key is missing or invalid
 */
OnceGuard_t *OnceGuard_create(const OnceGuardSpec_t *spec, Refusal_t *refusal);

/** OnceGuard_claim() - claim the key */
void OnceGuard_claim(OnceGuard_t *this, OnceGuardDone_t done, void *data);

/**
 * OnceGuard_end() - record the outcome and free the guard
 * @run: whether the request has run
 */
void OnceGuard_end(OnceGuard_t *this, RunState_t run);

#endif
