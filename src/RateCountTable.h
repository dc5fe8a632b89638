#ifndef HEADER_RateCountTable
#define HEADER_RateCountTable
/**
 * DOC: RateCountTable
 *
 * Table of what subjects have taken of their limits, on the router that keeps
 * their counts for all routers (RateKeeper.h). Pure decisions without I/O: a
 * claim goes in, a decision comes out.
 *
 * The table handles a subject that sends many times its limit, spread over all
 * routers. Each router sees a small part of that load, so that only one common
 * count can detect that it exceeds the limit. The excess has to be refused
 * before it waits in any queue, where it would delay the requests of other
 * subjects.
 *
 * A new count, for example after the previous keeper has departed, was stalled
 * or became unreachable, does not know what was taken before. It starts with a
 * small fraction of the depth, or with a debt if routers say that the
 * subject's limit was exhausted. If it started with the whole depth, each new
 * count would let the subject take its burst once more, while routers that
 * still query the previous keeper get their units there.
 */
#include "TokenBucket.h"

/**
 * struct RateClaim_t - a router's query or report about a subject
 * @subject: customer or upstream that the limit belongs to
 * @limit: the limit as the router knows it
 * @units: units that a request would take; 0 for a report of @spent alone
 * @spent: units that the router has admitted without a query; negative for
 *     refunded units
 * @exhausted: the last reply that the router received said that no units were
 *     left
 * @from: identity of the router
 */
typedef struct {
    const char *subject;
    RateLimit_t limit;
    double units;
    double spent;
    gboolean exhausted;
    guint64 from;
} RateClaim_t;

/**
 * struct RateDecision_t - decision on a claim
 * @admitted: the request may proceed
 * @open: enough is left that routers may admit requests without a query and
 *     report them afterwards
 * @closed_now: the limit was open until this claim
 * @retry_after_ms: when a request that is not admitted may be retried, else 0
 * @left: units left; below 0 while the count is in debt
 */
typedef struct {
    gboolean admitted;
    gboolean open;
    gboolean closed_now;
    guint retry_after_ms;
    double left;
} RateDecision_t;

/** RateCountTableRequester_t - called for a router that has sent a claim
 * recently */
typedef void (*RateCountTableRequester_t)(guint64 from, void *data);

/** struct RateCountTable_t - opaque */
typedef struct RateCountTable RateCountTable_t;

/** RateCountTable_create() - start without counts */
RateCountTable_t *RateCountTable_create(void);

/** RateCountTable_destroy() - free it */
void RateCountTable_destroy(RateCountTable_t *this);

/** RateCountTable_decide() - decide on a claim; creates the subject's count if
 * there is none */
RateDecision_t RateCountTable_decide(RateCountTable_t *this,
                                     const RateClaim_t *claim, gint64 now_ms);

/**
 * RateCountTable_setReach() - set which fraction of the routers is reachable
 * @fraction: reachable fraction of the known routers, 1 for all
 * @exact_fraction: reachable fraction of the estimated number of routers, for
 *     exact limits
 *
 * Unreachable routers may have a keeper of their own. Each keeper therefore
 * admits only the reachable fraction of the limits.
 */
void RateCountTable_setReach(RateCountTable_t *this, double fraction,
                             double exact_fraction);

/** RateCountTableEach_t - called for a subject that has a count */
typedef void (*RateCountTableEach_t)(const char *subject, void *data);

/** RateCountTable_forEach() - visit all subjects that have a count; @each must
 * not change the table */
void RateCountTable_forEach(const RateCountTable_t *this,
                            RateCountTableEach_t each, void *data);

/** RateCountTable_size() - number of subjects that have a count */
guint RateCountTable_size(const RateCountTable_t *this);

/** RateCountTable_isNearLimit() - whether any subject is near its limit */
gboolean RateCountTable_isNearLimit(const RateCountTable_t *this,
                                    gint64 now_ms);

/** RateCountTable_forEachRequester() - visit the routers that have recently
 * sent a claim for a subject */
void RateCountTable_forEachRequester(const RateCountTable_t *this,
                                     const char *subject, gint64 now_ms,
                                     RateCountTableRequester_t callback,
                                     void *data);

/** RateCountTable_remove() - remove a subject's count, as another router keeps
 * it */
void RateCountTable_remove(RateCountTable_t *this, const char *subject);

/** RateCountTable_clear() - remove all counts; used after a stall of this
 * process, when they are out of date */
void RateCountTable_clear(RateCountTable_t *this);

/** RateCountTable_sweep() - remove counts without a claim for a minute */
void RateCountTable_sweep(RateCountTable_t *this, gint64 now_ms);

#endif
