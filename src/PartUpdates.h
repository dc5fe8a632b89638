#ifndef HEADER_PartUpdates
#define HEADER_PartUpdates
/**
 * DOC: PartUpdates
 *
 * Gossips the parts of prompts under which upstreams crashed (PartTable.h) to
 * all routers, as CrashUpdates.h does with requests: only the digest of a
 * changed entry is queued, each router forwards what changed its table, and a
 * peer that just connected receives all entries. Facts may arrive in any order
 * and any number of times.
 *
 * Load pattern: some parts of the suspect requests of each crashed upstream,
 * up to 63 a request, so that the facts of one broadcast are limited. Parts
 * that are in answers that go well are told with a delay, as most of them are
 * cleared by the next such answer.
 */
#include <event2/event.h>

#include "Membership.h"
#include "PartTable.h"

/**
 * struct PartUpdatesEvents_t - callbacks to the owner
 * @changed: a peer's message has changed the entry of a part
 */
typedef struct {
    void (*changed)(void *owner, const RequestDigest_t *digest);
} PartUpdatesEvents_t;

/** struct PartUpdates_t - opaque */
typedef struct PartUpdates PartUpdates_t;

/** PartUpdates_create() - create with nothing to send; @table and @membership
 * must outlive it */
PartUpdates_t *PartUpdates_create(struct event_base *base,
                                  Membership_t *membership, PartTable_t *table,
                                  const PartUpdatesEvents_t *events,
                                  void *owner);

/** PartUpdates_destroy() - free it with all that is unsent */
void PartUpdates_destroy(PartUpdates_t *this);

/** PartUpdates_broadcast() - queue the entry of a part for all peers */
void PartUpdates_broadcast(PartUpdates_t *this, const PartEntry_t *entry);

/** PartUpdates_syncPeer() - send all entries to a router that just connected
 */
void PartUpdates_syncPeer(const PartUpdates_t *this, Member_t *member);

/** PartUpdates_receive() - apply a peer's message, sent at most @transit_ms
 * ago, to the table */
void PartUpdates_receive(PartUpdates_t *this, const Wt__CrashNews *message,
                         gint64 transit_ms);

/**
 * PartUpdates_apply() - add the crashes of a message to a table
 * @elapsed_ms: longest time since the ages of the message were taken; 0 if it
 *     is not known
 * @out: digest of the part; set if TRUE is returned
 *
 * Return: whether that has changed the table
 */
gboolean PartUpdates_apply(PartTable_t *table, const Wt__PartFact *fact,
                           gint64 elapsed_ms, RequestDigest_t *out);

/** struct PartMessage_t - an entry as a message, which points into it */
typedef struct {
    Wt__PartFact fact;
    Wt__PartMark marks[PART_MARKS_MAX];
    Wt__PartMark *list[PART_MARKS_MAX];
} PartMessage_t;

/** PartUpdates_encode() - convert an entry, which must outlive @out */
void PartUpdates_encode(const PartEntry_t *entry, PartMessage_t *out);

#endif
