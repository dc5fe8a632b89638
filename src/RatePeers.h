#ifndef HEADER_RatePeers
#define HEADER_RatePeers
/**
 * DOC: RatePeers
 *
 * Connects RateKeeper.h to the other routers of the membership: finds the
 * candidates for a subject's count by rendezvous hashing, sends messages as
 * datagrams, and runs the keeper's timer.
 *
 * A router that does not know the other routers yet uses the seeds of its
 * settings as the list of routers, since the seeds are the same on all
 * routers. Otherwise each of 90 routers that start at once would keep a count
 * of its own until the membership has converged: a customer at three times its
 * limit got 1.2 s of its rate beyond the limit.
 */
#include "FleetSize.h"
#include "Membership.h"
#include "PeerDatagrams.h"
#include "RateLimits.h"

/**
 * struct RatePeersSpec_t - dependencies; all must outlive it
 * @membership: the routers
 * @datagrams: transport to all routers
 * @counters: counters for queries
 * @fleet_size: among how many routers exact limits are divided
 * @seeds: Address_t of the seeds in the settings; NULL for none
 */
typedef struct {
    Membership_t *membership;
    PeerDatagrams_t *datagrams;
    Counters_t *counters;
    FleetSize_t *fleet_size;
    const GArray *seeds;
} RatePeersSpec_t;

/** struct RatePeers_t - opaque */
typedef struct RatePeers RatePeers_t;

/** RatePeers_create() - create a RateKeeper_t that is connected to the other
 * routers */
RatePeers_t *RatePeers_create(struct event_base *base,
                              const RatePeersSpec_t *spec);

/** RatePeers_limits() - the limits, for RateLimits_acquire(); valid as long as
 * @this */
RateLimits_t *RatePeers_limits(RatePeers_t *this);

/** RatePeers_destroy() - free it; no query may be pending */
void RatePeers_destroy(RatePeers_t *this);

#endif
