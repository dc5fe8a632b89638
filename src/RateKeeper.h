#ifndef HEADER_RateKeeper
#define HEADER_RateKeeper
/**
 * DOC: RateKeeper
 *
 * The way with a keeper: for each subject one router, first in rank, keeps
 * the count for all (RateCounts.h), and the others ask it. While much is left
 * a request goes on at once and is told afterwards, so that only those of a
 * subject near its limit wait for an answer. The keeper tells who has asked
 * when that ends. For a limit that is exact every request is asked for.
 *
 * Messages grow with the requests of subjects that have a limit, not with the
 * routers nor with the subjects. A keeper that does not answer is left for
 * the next in rank until it is heard of (RateRoll.h); a router that reaches
 * none goes on with a share of its own (OwnShare.h). Who is asked though
 * others come before it looks whether they live, and sends the asker there:
 * without that, routers that found different ones silent kept several counts
 * beside each other, each of which let in the whole limit. Where routers are
 * cut apart each part has its keeper: while a subject is near its limit, a
 * keeper asks routers drawn by chance for a sign of life, and lets in as much
 * of the limit as it reaches of them (Reach.h).
 */
#include "RateLimits.h"
#include "RateRoll.h"

/** struct RateKeeper_t - opaque */
typedef struct RateKeeper RateKeeper_t;

/** RateKeeper_create() - nothing is known; all must outlive it */
RateKeeper_t *RateKeeper_create(const RateLinksClass_t *links, void *owner,
                                Counters_t *counters);

/** RateKeeper_limits() - itself as a way, which is what frees it */
RateLimits_t *RateKeeper_limits(RateKeeper_t *this);

/** RateKeeper_take() - a message of another router; others are passed over */
void RateKeeper_take(RateKeeper_t *this, const Wt__PeerMessage *message,
                     guint64 from);

/** RateKeeper_tick() - do what is due */
void RateKeeper_tick(RateKeeper_t *this);

#endif
