#ifndef HEADER_Gossip
#define HEADER_Gossip
/**
 * DOC: Gossip
 *
 * Facts between routers: members, upstreams' incarnations, leaving, weights
 * and load, configuration offsets. Each tick a few linked peers get what is
 * most urgent, under a byte budget that is a hard limit. News of routers goes
 * over each link once (MemberNews.h), under an allowance of its own.
 */
#include <glib.h>

#include "Counters.h"
#include "GossipQueue.h"
#include "MemberTable.h"
#include "Settings.h"
#include "UpstreamSet.h"

/** How often Gossip_tick() is to be called */
#define GOSSIP_TICK_MS 100

/** struct Gossip_t - opaque */
typedef struct Gossip Gossip_t;

/**
 * Gossip_create() - nothing to tell yet
 * @table: of routers
 * @upstreams: learns from gossip, and is read for it
 * @counters: for bytes sent
 * @settings: the budget, and up to how many routers all are linked
 */
Gossip_t *Gossip_create(MemberTable_t *table, UpstreamSet_t *upstreams,
                        Counters_t *counters, const PeersSection_t *settings);

/** Gossip_destroy() - free it */
void Gossip_destroy(Gossip_t *this);

/** Gossip_spreadUpstream() - an upstream has news for all */
void Gossip_spreadUpstream(Gossip_t *this, const char *name);

/** Gossip_spreadMember() - a router of the table has news for all */
void Gossip_spreadMember(Gossip_t *this, Member_t *member);

/** Gossip_isMesh() - few enough routers to link all with all */
gboolean Gossip_isMesh(const Gossip_t *this);

/** Gossip_heartbeat() - this router is alive */
void Gossip_heartbeat(Gossip_t *this);

/** Gossip_introduce() - a new link to a router learns of all, within the
 * budget */
void Gossip_introduce(Gossip_t *this, Member_t *member);

/** Gossip_sendMembers() - answer who asked for routers: Member_t * of the
 * table
 */
void Gossip_sendMembers(Gossip_t *this, const Member_t *to,
                        const GPtrArray *members);

/** Gossip_take() - facts came */
void Gossip_take(Gossip_t *this, const Wt__Gossip *message);

/** Gossip_tick() - send what the budget allows */
void Gossip_tick(Gossip_t *this);

#endif
