#ifndef HEADER_RateLimits
#define HEADER_RateLimits
/**
 * DOC: RateLimits
 *
 * Decides whether a rate limit admits a request. A limit belongs to a subject,
 * which is a customer or an upstream, and holds for all routers together. How
 * the routers count together what they admit is a strategy behind a table of
 * functions: see RateKeeper.h and RateShare.h.
 */
#include <glib.h>

#include "TokenBucket.h"

/**
 * struct RateRequest_t - a request that asks for admission
 * @subject: customer or upstream that the limit belongs to
 * @limit: the subject's limit; every request is admitted if it has no rate
 * @units: units that the request takes
 */
typedef struct {
    const char *subject;
    RateLimit_t limit;
    double units;
} RateRequest_t;

/**
 * struct RateVerdict_t - whether a request is admitted
 * @admitted: the request may proceed
 * @retry_after_ms: when a request that is not admitted may be retried
 * @by: what the decision rests on: "self" for the count that this router keeps
 *     for all, "keeper" for a reply of the router that keeps the count, "open"
 *     for an earlier reply of it, "share" for this router's share, "no_limit"
 *     for a request without a limit
 * @age_ms: age of the reply that the decision rests on
 * @left: units left; below 0 while the count is in debt
 */
typedef struct {
    gboolean admitted;
    guint retry_after_ms;
    const char *by;
    gint64 age_ms;
    double left;
} RateVerdict_t;

/** RateDone_t - called once for a query that was not cancelled */
typedef void (*RateDone_t)(void *owner, const RateVerdict_t *verdict);

/** struct RateQuery_t - a pending query; opaque */
typedef struct RateQuery RateQuery_t;

typedef struct RateLimits RateLimits_t;

/**
 * struct RateLimitsClass_t - functions of one strategy
 * @name: name of the strategy in the log
 * @acquire: see RateLimits_acquire()
 * @cancel: see RateLimits_cancel(); NULL if @acquire always decides at once
 * @refund: see RateLimits_refund()
 * @destroy: free it
 */
typedef struct {
    const char *name;
    RateQuery_t *(*acquire)(RateLimits_t *this, const RateRequest_t *request,
                            RateVerdict_t *out, RateDone_t done, void *owner);
    void (*cancel)(RateQuery_t *query);
    void (*refund)(RateLimits_t *this, const RateRequest_t *request);
    void (*destroy)(RateLimits_t *this);
} RateLimitsClass_t;

/** struct RateLimits_t - base of all strategies */
struct RateLimits {
    const RateLimitsClass_t *class;
};

/**
 * RateLimits_acquire() - decide whether a request is admitted
 * @request: need not outlive the call, also if the verdict comes later
 * @out: set if the verdict is known at once
 * @done: otherwise called with the verdict, after this function has returned
 * @owner: first argument of @done
 *
 * Return: NULL if @out is set, otherwise the pending query
 */
RateQuery_t *RateLimits_acquire(RateLimits_t *this,
                                const RateRequest_t *request,
                                RateVerdict_t *out, RateDone_t done,
                                void *owner);

/** RateLimits_cancel() - cancel a query; units that a late reply grants are
 * refunded */
void RateLimits_cancel(RateLimits_t *this, RateQuery_t *query);

/** RateLimits_refund() - return the units of an admitted request that has not
 * run */
void RateLimits_refund(RateLimits_t *this, const RateRequest_t *request);

/** RateLimits_destroy() - free it; no query may be pending */
void RateLimits_destroy(RateLimits_t *this);

#endif
