#ifndef HEADER_FreshnessRelay
#define HEADER_FreshnessRelay
/**
 * DOC: FreshnessRelay
 *
 * A few routers, the readers, poll the store for the end of the topic of the
 * operators' records. They send the offset of that end, and the age of this
 * knowledge, to the other routers. A router that has read up to the same
 * offset knows, without a call of its own, that no newer record existed at
 * that time. Ages are measured by the monotonic clock; relaying an update
 * only increases its age.
 *
 * While a reader receives a long record it knows no newer end. It tells the
 * others that it is receiving, so that they don't all read the record from the
 * store themselves.
 */
#include "Membership.h"
#include "StorePosition.h"

/**
 * struct FreshnessRelayEvents_t - callbacks to the owner of the relay
 * @fresh: a peer reports that the topic ended at @end at the time @at_ms
 *     (monotonic). @from is the peer, valid during the call. Returns TRUE if
 *     @end is the end that this router knows. Only then is the update passed
 *     on: routers that receive it ask this router for the records, and must
 * not count as current by an end that is outdated.
 * @version: returns the version of the configuration in force, which is sent
 *     along; 0 for none
 * @is_receiving: returns whether a long answer of the store is arriving here;
 *     may be NULL
 */
typedef struct {
    gboolean (*fresh)(void *owner, Member_t *from, StorePosition_t end,
                      gint64 at_ms);
    guint64 (*version)(void *owner);
    gboolean (*is_receiving)(void *owner);
} FreshnessRelayEvents_t;

/** struct FreshnessRelay_t - opaque */
typedef struct FreshnessRelay FreshnessRelay_t;

/** FreshnessRelay_create() - a relay that knows no end yet */
FreshnessRelay_t *FreshnessRelay_create(struct event_base *base,
                                        Membership_t *membership,
                                        const FreshnessRelayEvents_t *events,
                                        void *owner);

/** FreshnessRelay_destroy() - free it */
void FreshnessRelay_destroy(FreshnessRelay_t *this);

/** FreshnessRelay_rank() - this router's rank in the order in which routers
 * become readers; G_MAXUINT until membership has converged */
guint FreshnessRelay_rank(const FreshnessRelay_t *this);

/** FreshnessRelay_isReader() - whether this router is a reader; FALSE until
 * membership has converged */
gboolean FreshnessRelay_isReader(const FreshnessRelay_t *this);

/** FreshnessRelay_noteEnd() - record an end that this router read from the
 * store at @at_ms */
void FreshnessRelay_noteEnd(FreshnessRelay_t *this, StorePosition_t end,
                            gint64 at_ms);

/** FreshnessRelay_isReaderReceiving() - whether a router that reads the store
 * was receiving a long answer a moment ago */
gboolean FreshnessRelay_isReaderReceiving(const FreshnessRelay_t *this);

/** FreshnessRelay_mayBeStale() - whether messages of peers may have waited
 * here unread, which makes them older than the age that they give */
gboolean FreshnessRelay_mayBeStale(const FreshnessRelay_t *this);

/** FreshnessRelay_receive() - receive a peer's message; ignored if it may be
 * stale, as its age is unknown then */
void FreshnessRelay_receive(FreshnessRelay_t *this, Member_t *from,
                            const Wt__ConfigCurrent *message);

/** FreshnessRelay_syncPeer() - send the known end, if any, to a peer that
 * just connected */
void FreshnessRelay_syncPeer(const FreshnessRelay_t *this, Member_t *member);

/** FreshnessRelay_broadcastNow() - broadcast without waiting for the next
 * tick */
void FreshnessRelay_broadcastNow(FreshnessRelay_t *this);

#endif
