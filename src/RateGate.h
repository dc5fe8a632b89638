#ifndef HEADER_RateGate
#define HEADER_RateGate
/**
 * DOC: RateGate
 *
 * One request's passage through a rate limit: waits until the request is
 * admitted or refused, and refunds the units of a request that has not run.
 */
#include "RateLimits.h"

/**
 * struct RateGate_t - state of one request
 * @rates: rate limits that decide
 * @request: what the request takes; the text of its subject belongs to the
 *     owner of the gate
 * @query: pending query, or NULL
 * @taken: the request was admitted and its units were not refunded
 * @by: what the decision rests on, see RateVerdict_t; NULL before the verdict
 * @done: called with the verdict
 * @owner: first argument of @done
 */
typedef struct {
    RateLimits_t *rates;
    RateRequest_t request;
    RateQuery_t *query;
    gboolean taken;
    const char *by;
    RateDone_t done;
    void *owner;
} RateGate_t;

/** RateGate_acquire() - ask for admission; @done may be called before this
 * function returns */
void RateGate_acquire(RateGate_t *this, RateLimits_t *rates,
                      const RateRequest_t *request, RateDone_t done,
                      void *owner);

/** RateGate_release() - the request has ended; has no effect on a gate that
 * was never acquired */
void RateGate_release(RateGate_t *this, gboolean has_run);

#endif
