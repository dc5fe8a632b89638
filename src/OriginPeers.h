#ifndef HEADER_OriginPeers
#define HEADER_OriginPeers
/**
 * DOC: OriginPeers
 *
 * Connects OriginKeeper.h to the other routers of the membership: finds the
 * owners of a stream by rendezvous hashing, sends messages as datagrams, and
 * runs the keeper's timer.
 */
#include "Membership.h"
#include "OriginKeeper.h"
#include "OriginRecords.h"
#include "PeerDatagrams.h"
#include "SoftwareRecords.h"
#include "UpstreamListing.h"

/**
 * struct OriginPeersSpec_t - dependencies; all must outlive it
 * @membership: the routers
 * @datagrams: transport to all routers; NULL for none
 * @listing: the list of upstreams
 * @versions: versions of the services
 * @software: versions of the services, on the store
 * @records: streams that routers began, on the store
 * @gate: what routers state of the versions that they use
 * @counters: counters of messages and answers
 * @window_ms: how long after its last event a stream may be continued
 */
typedef struct {
    Membership_t *membership;
    PeerDatagrams_t *datagrams;
    UpstreamListing_t *listing;
    SoftwareVersions_t *versions;
    SoftwareRecords_t *software;
    OriginRecords_t *records;
    VersionGate_t *gate;
    Counters_t *counters;
    gint64 window_ms;
} OriginPeersSpec_t;

/** struct OriginPeers_t - opaque */
typedef struct OriginPeers OriginPeers_t;

/** OriginPeers_create() - create a keeper that is connected to the other
 * routers */
OriginPeers_t *OriginPeers_create(struct event_base *base,
                                  const OriginPeersSpec_t *spec);

/** OriginPeers_keeper() - the keeper; valid as long as @this */
OriginKeeper_t *OriginPeers_keeper(const OriginPeers_t *this);

/** OriginPeers_destroy() - free it; no query may be open */
void OriginPeers_destroy(OriginPeers_t *this);

#endif
