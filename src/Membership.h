#ifndef HEADER_Membership
#define HEADER_Membership
/**
 * DOC: Membership
 *
 * Manages the links to other routers. It finds routers by seeds and by gossip
 * (Gossip.h), and stores them in a table (MemberTable.h). Membership is only a
 * hint: correctness never depends on it, only the latency and cost of an
 * operation do.
 */
#include <event2/event.h>
#include <glib.h>

#include "Counters.h"
#include "MemberTable.h"
#include "PeerLink.h"
#include "Settings.h"
#include "UpstreamSet.h"

/**
 * struct MembershipSpec_t - parameters
 * @settings: settings of this router
 * @incarnation: incarnation of this process
 * @callers: address on which this router listens for callers
 * @upstreams: updated from received gossip, and read for gossip that is sent
 * @counters: counts the bytes sent
 * @message: called for each message that is not about membership
 * @linked: called for each new link to a router; may be NULL
 * @data: argument of both callbacks
 */
typedef struct {
    const Settings_t *settings;
    guint64 incarnation;
    Address_t callers;
    UpstreamSet_t *upstreams;
    Counters_t *counters;
    void (*message)(void *data, Member_t *from,
                    const Wt__PeerMessage *message);
    void (*linked)(void *data, Member_t *member);
    void *data;
} MembershipSpec_t;

/** struct Membership_t - opaque */
typedef struct Membership Membership_t;

/** Membership_create() - listen for peers and start to connect to seeds */
Membership_t *Membership_create(struct event_base *base,
                                const MembershipSpec_t *spec, GError **error);

/** Membership_destroy() - close all links and free the membership */
void Membership_destroy(Membership_t *this);

/** Membership_port() - port on which this router listens for peers */
guint16 Membership_port(const Membership_t *this);

/** Membership_addSeed() - add an address where a router may listen */
void Membership_addSeed(Membership_t *this, const Address_t *address);

/** Membership_setFoldOffset() - set the fold offset of the configuration in
 * force at this router */
void Membership_setFoldOffset(Membership_t *this, guint64 fold_offset);

/** Membership_setLeaving() - announce that this router is stopping */
void Membership_setLeaving(Membership_t *this);

/** Membership_spreadUpstream() - send the state of an upstream to all routers
 */
void Membership_spreadUpstream(Membership_t *this, const char *name);

/** Membership_isMember() - whether another live router has this name */
gboolean Membership_isMember(const Membership_t *this, const char *name);

/** Membership_members() - Member_t * of all other live routers, by name */
const GPtrArray *Membership_members(const Membership_t *this);

/** Membership_countActive() - number of live routers that are not leaving,
 * with this one */
guint Membership_countActive(const Membership_t *this);

/**
 * Membership_isConverged() - whether this router has had time to learn of the
 * other routers
 *
 * Before that, each router would rank first for every key and do work that one
 * router does for all. Never becomes FALSE again.
 */
gboolean Membership_isConverged(const Membership_t *this);

/**
 * Membership_isComplete() - whether this router probably knows all others
 *
 * For work that is too costly to be done by several routers and can wait for a
 * second.
 */
gboolean Membership_isComplete(const Membership_t *this);

/** Membership_isMesh() - whether all routers are linked with each other */
gboolean Membership_isMesh(const Membership_t *this);

/**
 * Membership_findOwner() - find the router ranked first for a key by
 * rendezvous hashing
 *
 * Return: NULL for this router
 */
Member_t *Membership_findOwner(const Membership_t *this, const char *key);

/** Membership_findReachableOwner() - find the router ranked first for a key
 * among those that answer datagrams; NULL for this router */
Member_t *Membership_findReachableOwner(const Membership_t *this,
                                        const char *key, gint64 now_ms);

/** Membership_findFirst() - find the routers ranked first for a key; see
 * MemberTable_findFirst() */
guint Membership_findFirst(const Membership_t *this, const char *key,
                           const Member_t **out, guint max);

/** Membership_noteUnreachable() - send no datagrams to a member until
 * @until_ms, monotonic */
void Membership_noteUnreachable(Membership_t *this, const char *name,
                                gint64 until_ms);

/** Membership_address() - address on which this router listens for peers */
const Address_t *Membership_address(const Membership_t *this);

/** Membership_hall() - hall of this router */
const char *Membership_hall(const Membership_t *this);

/** Membership_key() - key that authenticates messages between peers */
GBytes *Membership_key(const Membership_t *this);

/**
 * Membership_localRank() - this router's rank for a key, from 0
 * @hall: rank among the routers of this hall only; NULL for all
 */
guint Membership_localRank(const Membership_t *this, const char *key,
                           const char *hall);

/** Membership_rankByLink() - this router's rank for a key, from 0, after the
 * routers with faster links */
guint Membership_rankByLink(const Membership_t *this, const char *key);

/** Membership_send() - send to a member; FALSE if there is no link */
gboolean Membership_send(Membership_t *this, Member_t *member,
                         const Wt__PeerMessage *message);

/** Membership_sendLong() - send a long message, which later ones may overtake,
 * to a member; FALSE if there is no link */
gboolean Membership_sendLong(Membership_t *this, Member_t *member,
                             const Wt__PeerMessage *message);

/** Membership_broadcast() - send to all linked members in a mesh, otherwise to
 * the MEMBER_TABLE_UPDATE_PEERS first of them, which forward to the others */
void Membership_broadcast(Membership_t *this, const Wt__PeerMessage *message);

#endif
