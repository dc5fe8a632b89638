#ifndef HEADER_RateCandidates
#define HEADER_RateCandidates
/**
 * DOC: RateCandidates
 *
 * Tracks which of the routers that may keep a count are alive. A router that
 * does not reply to a probe is silent and is skipped until a message of it is
 * received. All candidates of a subject are probed at once, so that routers in
 * the same part of a partitioned network find the same keeper within one reply
 * timeout.
 */
#include "Counters.h"
#include "RateLinks.h"

/** Identity that stands for no router: all candidates are silent */
#define RATE_NO_ROUTER G_MAXUINT64

/** struct RateCandidates_t - opaque */
typedef struct RateCandidates RateCandidates_t;

/** RateCandidates_create() - start with all routers considered alive; @links
 * and @counters must outlive it */
RateCandidates_t *RateCandidates_create(RateLinks_t *links,
                                        Counters_t *counters);

/** RateCandidates_destroy() - free it */
void RateCandidates_destroy(RateCandidates_t *this);

/** RateCandidates_findKeeper() - the highest-ranked candidate that is not
 * silent; RATE_NO_ROUTER if all are silent */
guint64 RateCandidates_findKeeper(RateCandidates_t *this, const char *subject);

/**
 * RateCandidates_findHigherRanked() - find a candidate that ranks above this
 * router and of which a message was received just now
 * @requester: router that sent the query, never returned
 *
 * Probes the higher-ranked candidates that were not seen recently.
 *
 * Return: RATE_SELF if there is none, so that this router keeps the count
 */
guint64 RateCandidates_findHigherRanked(RateCandidates_t *this,
                                        const char *subject,
                                        guint64 requester);

/** RateCandidates_probe() - probe all candidates for a subject, or those that
 * rank above this router if it is one */
void RateCandidates_probe(RateCandidates_t *this, const char *subject);

/** RateCandidates_noteSeen() - a message of a router was received */
void RateCandidates_noteSeen(RateCandidates_t *this, guint64 router);

/** RateCandidates_clearSilent() - another router says that a router is alive
 */
void RateCandidates_clearSilent(RateCandidates_t *this, guint64 router);

/** RateCandidates_expireProbes() - mark routers silent whose reply to a probe
 * is overdue */
void RateCandidates_expireProbes(RateCandidates_t *this, gint64 now_ms);

/** RateCandidates_isWaiting() - whether probes are open, so that
 * RateCandidates_expireProbes() has to be called */
gboolean RateCandidates_isWaiting(const RateCandidates_t *this);

#endif
