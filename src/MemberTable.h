#ifndef HEADER_MemberTable
#define HEADER_MemberTable
/**
 * DOC: MemberTable
 *
 * Holds this router and all other routers that are believed to be alive, and
 * ranks them for a key by rendezvous hashing.
 */
#include <glib.h>

#include "KeyTable.h"
#include "PeerLink.h"

/**
 * struct Member_t - one router
 * @name: unique name of the router
 * @incarnation: newest known incarnation
 * @address: address on which the router listens for peers
 * @hall: hall of the router
 * @link_mbit: rate of the router's link in Mbit/s; 0 if it is not known
 * @callers: address on which the router listens for callers, as told over a
 *     link; port 0 if it is not known
 * @address_incarnation: incarnation that @address and @hall belong to; 0 if
 *     they are not known yet
 * @heartbeat: newest known heartbeat
 * @last_seen_ms: time when a newer fact of the router was last received,
 *     monotonic
 * @leaving: the router is stopping; final for an incarnation
 * @fold_offset: fold offset of the configuration in force at the router
 * @update_seq: sequence number of the router's newest update, 0 for none
 *     (MemberUpdates.h)
 * @sent_seq: updates up to this sequence number were sent over @link
 * @sampled_count: routers sent over @link as a sample
 * @link: open link, or NULL
 * @is_late: messages over @link take long
 * @is_incoming: the router opened @link, and depends on updates from this one
 * @unreachable_until_ms: the router did not answer a datagram, and is sent
 * none before this time, monotonic
 */
typedef struct {
    GString *name;
    guint64 incarnation;
    Address_t address;
    GString *hall;
    guint32 link_mbit;
    Address_t callers;
    guint64 address_incarnation;
    guint64 heartbeat;
    gint64 last_seen_ms;
    gboolean leaving;
    guint64 fold_offset;
    guint64 update_seq;
    guint64 sent_seq;
    guint sampled_count;
    PeerLink_t *link;
    gboolean is_late;
    gboolean is_incoming;
    gint64 unreachable_until_ms;
} Member_t;

/**
 * struct MemberTable_t - all known routers
 * @self: this router
 * @by_name: maps a name to Member_t, for all other routers
 * @live: the same routers, Member_t sorted by name
 * @linked: result of MemberTable_listLinked()
 * @unlogged_joins: routers that joined since the last log line with a count
 */
typedef struct {
    Member_t self;
    GHashTable *by_name;
    GPtrArray *live;
    GPtrArray *linked;
    guint unlogged_joins;
} MemberTable_t;

/** Member_transitMs() - longest time in ms since the message of a router that
 * is being handled was sent; 0 if it is not known, or without a link */
gint64 Member_transitMs(const Member_t *this);

/** MemberTable_create() - create a table that holds only this router */
MemberTable_t *MemberTable_create(const char *name, const char *hall,
                                  guint64 incarnation);

/** MemberTable_destroy() - close all links and free the table */
void MemberTable_destroy(MemberTable_t *this);

/** MemberTable_find() - find another router; NULL if unknown */
Member_t *MemberTable_find(const MemberTable_t *this, const char *name);

/** MemberTable_findOrCreate() - find another router, or add it if unknown */
Member_t *MemberTable_findOrCreate(MemberTable_t *this, const char *name);

/** MemberTable_findLink() - find the router that a link belongs to, or NULL */
Member_t *MemberTable_findLink(const MemberTable_t *this,
                               const PeerLink_t *link);

/** MemberTable_logJoinedCount() - log the number of routers that joined
 * without a log line of their own */
void MemberTable_logJoinedCount(MemberTable_t *this);

/** MemberTable_expire() - remove routers not seen for @silence_ms */
void MemberTable_expire(MemberTable_t *this, gint64 silence_ms);

/** Number of linked routers that are sent all updates when not all routers are
 * linked with each other: two more than the links that a router opens, so that
 * each router gets the updates from several others. Twice as many use up the
 * allowance of a start before all routers are known */
#define MEMBER_TABLE_UPDATE_PEERS 8

/**
 * MemberTable_listLinked() - list the linked routers, those that are sent all
 * updates first
 *
 * The first MEMBER_TABLE_UPDATE_PEERS routers are partly of the local hall, as
 * far as there are any, and partly of other halls, so that updates cross
 * between halls over few links. In either part, peers that opened the link
 * come first: each router opens some links, so that none is left without
 * updates. Within that, the order is by name, starting after this router's
 * name, so that it is stable while the links are.
 *
 * Return: Member_t *, valid until the next call
 */
const GPtrArray *MemberTable_listLinked(MemberTable_t *this);

/** MemberTable_isInLocalHall() - whether a router is in this router's hall */
gboolean MemberTable_isInLocalHall(const MemberTable_t *this,
                                   const Member_t *member);

/** MemberTable_countAddressed() - number of other routers whose address is
 * known */
guint MemberTable_countAddressed(const MemberTable_t *this);

/** MemberTable_countLinks() - number of open links */
guint MemberTable_countLinks(const MemberTable_t *this);

/** MemberTable_countActive() - number of routers that are not leaving, with
 * this one; at least 1 */
guint MemberTable_countActive(const MemberTable_t *this);

/** MemberTable_findOwner() - find the router ranked first for a key; NULL for
 * this router */
Member_t *MemberTable_findOwner(const MemberTable_t *this, const char *key);

/** MemberTable_findReachableOwner() - find the router ranked first for a key
 * among those that answer datagrams; NULL for this router */
Member_t *MemberTable_findReachableOwner(const MemberTable_t *this,
                                         const char *key, gint64 now_ms);

/**
 * MemberTable_findFirst() - find the routers ranked first for a key
 * @out: set to the routers in order, without those that are leaving; NULL
 * stands for this router
 * @max: capacity of @out
 *
 * Return: number of routers in @out
 */
guint MemberTable_findFirst(const MemberTable_t *this, const char *key,
                            const Member_t **out, guint max);

/**
 * MemberTable_localRank() - this router's rank for a key, from 0
 * @hall: rank among the routers of this hall only; NULL for all
 */
guint MemberTable_localRank(const MemberTable_t *this, const char *key,
                            const char *hall);

/** MemberTable_rankByLink() - this router's rank among all, from 0: routers
 * with faster links come first, those with equal ones as in
 * MemberTable_localRank() */
guint MemberTable_rankByLink(const MemberTable_t *this, const char *key);

#endif
