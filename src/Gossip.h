#ifndef HEADER_Gossip
#define HEADER_Gossip
/**
 * DOC: Gossip
 *
 * Exchanges facts between routers: members, configuration offsets, and the
 * incarnation, leaving, weights and load of upstreams. Each tick sends the
 * most urgent facts to a few linked peers under a byte budget, which is a hard
 * limit. Updates about routers are sent once over each link (MemberUpdates.h),
 * under an allowance of their own.
 */
#include <glib.h>

#include "Counters.h"
#include "GossipQueue.h"
#include "MemberTable.h"
#include "Settings.h"
#include "UpstreamSet.h"

/** Interval of Gossip_tick() */
#define GOSSIP_TICK_MS 100

/** struct Gossip_t - opaque */
typedef struct Gossip Gossip_t;

/**
 * Gossip_create() - create the gossip of this router, with no facts queued
 * @table: known routers
 * @upstreams: updated from received facts, and read for those that are sent
 * @counters: counts the bytes sent
 * @settings: byte budget, and number of routers up to which all link with all
 */
Gossip_t *Gossip_create(MemberTable_t *table, UpstreamSet_t *upstreams,
                        Counters_t *counters, const PeersSection_t *settings);

/** Gossip_destroy() - free the gossip; the table and upstreams remain */
void Gossip_destroy(Gossip_t *this);

/** Gossip_spreadUpstream() - queue the state of an upstream for all routers */
void Gossip_spreadUpstream(Gossip_t *this, const char *name);

/** Gossip_spreadMember() - queue the state of a router in the table, or of
 * this router, for all routers */
void Gossip_spreadMember(Gossip_t *this, Member_t *member);

/** Gossip_isMesh() - whether there are few enough routers to link all with all
 */
gboolean Gossip_isMesh(const Gossip_t *this);

/** Gossip_spreadHeartbeat() - increment and queue this router's heartbeat */
void Gossip_spreadHeartbeat(Gossip_t *this);

/** Gossip_syncPeer() - send the current state to a peer that just connected,
 * within the budget */
void Gossip_syncPeer(Gossip_t *this, Member_t *member);

/**
 * Gossip_sendMembers() - reply to a peer's query for routers
 * @members: Member_t * of the table
 */
void Gossip_sendMembers(Gossip_t *this, const Member_t *to,
                        const GPtrArray *members);

/** Gossip_receive() - apply the facts of a message that was sent at most
 * @transit_ms ago */
void Gossip_receive(Gossip_t *this, const Wt__Gossip *message,
                    gint64 transit_ms);

/** Gossip_tick() - send queued facts and updates within the budget */
void Gossip_tick(Gossip_t *this);

#endif
