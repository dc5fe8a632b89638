#ifndef HEADER_RatePeers
#define HEADER_RatePeers
/**
 * DOC: RatePeers
 *
 * The other routers as a keeper of limits sees them (RateKeeper.h): who keeps
 * a customer's count by rendezvous hashing, datagrams, and one timer.
 *
 * A router that does not know the others yet takes the seeds of its settings
 * for all there are, since these are the same for all. Without that each of 90
 * routers that start at once kept a count of its own until it knew the others:
 * a customer at three times its limit got 1.2 s of it beside the limit.
 */
#include "Membership.h"
#include "PeerDatagrams.h"
#include "RateLimits.h"

/**
 * struct RatePeersSpec_t - what it needs; all must outlive it
 * @membership: the routers
 * @datagrams: to all of them
 * @counters: for questions
 * @seeds: Address_t of the settings; NULL for none
 */
typedef struct {
    Membership_t *membership;
    PeerDatagrams_t *datagrams;
    Counters_t *counters;
    const GArray *seeds;
} RatePeersSpec_t;

/** struct RatePeers_t - opaque */
typedef struct RatePeers RatePeers_t;

/** RatePeers_create() - a keeper of limits among the other routers */
RatePeers_t *RatePeers_create(struct event_base *base,
                              const RatePeersSpec_t *spec);

/** RatePeers_limits() - for RateLimits_enter(); valid as long as it */
RateLimits_t *RatePeers_limits(RatePeers_t *this);

/** RatePeers_destroy() - free it; no question may be open */
void RatePeers_destroy(RatePeers_t *this);

#endif
