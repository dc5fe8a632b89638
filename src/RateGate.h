#ifndef HEADER_RateGate
#define HEADER_RateGate
/**
 * DOC: RateGate
 *
 * One request at a limit: it waits there until it is let in or
 * refused, and what it took is given back where it has not run.
 */
#include "RateLimits.h"

/**
 * struct RateGate_t - of one request
 * @rates: that know the limits
 * @request: what it takes; its subject is the gate's owner's text
 * @ask: question under way, or NULL
 * @taken: it was let in, and nothing was given back
 * @by: by whose word, as RateVerdict_t has it; NULL before the verdict
 * @done: called with the verdict
 * @owner: for @done
 */
typedef struct {
    RateLimits_t *rates;
    RateRequest_t request;
    RateAsk_t *ask;
    gboolean taken;
    const char *by;
    RateDone_t done;
    void *owner;
} RateGate_t;

/** RateGate_enter() - ask for room; @done may be called before the return */
void RateGate_enter(RateGate_t *this, RateLimits_t *rates,
                    const RateRequest_t *request, RateDone_t done,
                    void *owner);

/** RateGate_leave() - the request is over; nothing where it never entered */
void RateGate_leave(RateGate_t *this, gboolean has_run);

#endif
