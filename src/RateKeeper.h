#ifndef HEADER_RateKeeper
#define HEADER_RateKeeper
/**
 * DOC: RateKeeper
 *
 * Rate limit strategy with a keeper: for each subject one router, the
 * highest-ranked candidate, keeps the count for all routers
 * (RateLocalCounts.h), and the other routers query it. While much of a limit
 * is left, the limit is open: a request proceeds at once and is reported
 * afterwards. Only the requests of a subject near its limit wait for a reply.
 * The keeper notifies the routers that have queried it when a limit is no
 * longer open. An exact limit is never open: each request sends a query.
 *
 * The number of messages grows with the requests of limited subjects, not with
 * the number of routers or subjects.
 *
 * A keeper that does not reply is replaced by the next candidate in rank until
 * a message of it is received (RateCandidates.h). A router that reaches no
 * candidate uses a share of the limit (LocalShare.h).
 *
 * A router that is queried although other candidates rank above it checks
 * whether these are alive, and redirects the requester to one that is.
 * Otherwise routers that found different candidates silent would keep several
 * counts of one subject, each of which admits the whole limit.
 *
 * In a partitioned network each part has its own keeper. While a subject is
 * near its limit, a keeper probes a random sample of routers and admits only
 * the fraction of the limit that equals the fraction of routers it reaches
 * (Reach.h).
 */
#include "RateCandidates.h"
#include "RateLimits.h"

/** struct RateKeeper_t - opaque */
typedef struct RateKeeper RateKeeper_t;

/** RateKeeper_create() - start without counts; all arguments must outlive it
 */
RateKeeper_t *RateKeeper_create(const RateLinksClass_t *links, void *owner,
                                Counters_t *counters);

/** RateKeeper_limits() - the strategy; RateLimits_destroy() on it frees the
 * keeper */
RateLimits_t *RateKeeper_limits(RateKeeper_t *this);

/** RateKeeper_receive() - handle a message of another router; messages of
 * other kinds are ignored */
void RateKeeper_receive(RateKeeper_t *this, const Wt__PeerMessage *message,
                        guint64 from);

/** RateKeeper_tick() - handle expired timeouts and due checks */
void RateKeeper_tick(RateKeeper_t *this);

#endif
