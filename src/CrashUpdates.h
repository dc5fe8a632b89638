#ifndef HEADER_CrashUpdates
#define HEADER_CrashUpdates
/**
 * DOC: CrashUpdates
 *
 * Gossips the known crashes (CrashTable.h) to all routers. Only the digest of
 * a changed request is queued, and its entry is read when the message is
 * built, so that a newer state replaces an older one. Each router forwards the
 * facts that changed its table, and a peer that just connected receives all
 * facts. Facts may arrive in any order and any number of times.
 *
 * Load pattern: a request crashes one engine after another, a tenth of a
 * second apart, through any router, so a crash must reach all routers within
 * that time. If a third of 12,000 engines is lost at once, each with some 30
 * requests, that is 120,000 facts for each router: the facts of one broadcast
 * are therefore limited, and requests with two or more crashes go first.
 */
#include "CrashTable.h"
#include "Membership.h"

/**
 * struct CrashUpdatesEvents_t - callbacks to the owner
 * @changed: a peer's message has changed the entry of a request
 */
typedef struct {
    void (*changed)(void *owner, const RequestDigest_t *digest,
                    CrashChange_t change);
} CrashUpdatesEvents_t;

/** struct CrashUpdates_t - opaque */
typedef struct CrashUpdates CrashUpdates_t;

/** CrashUpdates_create() - create with nothing to send; @table and @membership
 * must outlive it */
CrashUpdates_t *CrashUpdates_create(struct event_base *base,
                                    Membership_t *membership,
                                    CrashTable_t *table,
                                    const CrashUpdatesEvents_t *events,
                                    void *owner);

/** CrashUpdates_destroy() - free it with all that is unsent */
void CrashUpdates_destroy(CrashUpdates_t *this);

/** CrashUpdates_broadcast() - queue the entry of a request for all peers */
void CrashUpdates_broadcast(CrashUpdates_t *this,
                            const RequestDigest_t *digest);

/** CrashUpdates_broadcastAlive() - queue the retraction of a crash for all
 * peers: the upstream is alive */
void CrashUpdates_broadcastAlive(CrashUpdates_t *this, guint64 crash);

/**
 * CrashUpdates_syncPeer() - send all entries to a router that just connected
 * @records_known: this router knows the records of the platform's store
 */
void CrashUpdates_syncPeer(CrashUpdates_t *this, Member_t *member,
                           gboolean records_known);

/** CrashUpdates_receive() - apply a peer's message, sent at most @transit_ms
 * ago, to the table */
void CrashUpdates_receive(CrashUpdates_t *this, const Wt__CrashNews *message,
                          gint64 transit_ms);

/** CrashUpdates_encode() - convert an entry to a message; @out points into
 * @entry and @ids, which must outlive it */
void CrashUpdates_encode(const CrashEntry_t *entry, Wt__CrashFact *out,
                         guint64 ids[CRASHES_PER_REQUEST_MAX]);

/** CrashUpdates_apply() - add the crashes of a message to a table
 * @at_ms: time of the last crash, monotonic
 *
 * Return: the largest change; CRASH_UNCHANGED for a digest of the wrong length
 */
CrashChange_t CrashUpdates_apply(CrashTable_t *table,
                                 const Wt__CrashFact *fact, gint64 at_ms);

#endif
