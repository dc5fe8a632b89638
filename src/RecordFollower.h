#ifndef HEADER_RecordFollower
#define HEADER_RecordFollower
/**
 * DOC: RecordFollower
 *
 * Follows one keyed topic: lists the newest record of each key, then reads on
 * from there. If the records to read next have expired in the store, the
 * follower lists again and reports the keys that no longer exist. It never
 * reports a record that is older than the last known one of its key. A store
 * that was restored from an older copy starts a new epoch, and its records
 * count as newer than those of earlier epochs. After a failure the follower
 * retries with growing, jittered pauses.
 */
#include <event2/event.h>

#include "ListCopy.h"
#include "RecordSource.h"
#include "StoreCalls.h"

/**
 * struct RecordFollowerEvents_t - callbacks to the owner
 * @record: the newest record of a key; its value is NULL if the key was
 *     removed
 * @current: the topic ended at @end at the time @at_ms (monotonic), and all
 *     records before @end were reported
 * @lost: a call to the store failed, and it is the first one or follows one
 *     that succeeded; may be NULL
 * @restored: a call succeeded after failed ones; may be NULL
 * @expired: records expired before they were read, and a list follows, which
 *     lacks keys that came and went; may be NULL
 * @wait_ms: how long to leave a call to the store to peers, 0 to make the call
 *     now; @lists is TRUE if the call is for the remainder of a list. Not
 *     called for the first call to the store; may be NULL
 * @gap: records are missing before those that a peer sent; returns FALSE to
 *     read them from the store now; may be NULL
 */
typedef struct {
    void (*record)(void *owner, const KeyedRecord_t *record);
    void (*current)(void *owner, StorePosition_t end, gint64 at_ms);
    void (*lost)(void *owner, const GError *error);
    void (*restored)(void *owner);
    void (*expired)(void *owner);
    gint64 (*wait_ms)(void *owner, gboolean lists);
    gboolean (*gap)(void *owner);
} RecordFollowerEvents_t;

/**
 * struct RecordFollowerSpec_t - source, topic and timing of a follower
 * @source: must outlive the follower
 * @topic: name of the topic
 * @wait_ms: how long the store may hold a read until there is a record
 * @pause_ms: minimum time from when the topic's end was known to the next read
 * @counters: counts calls by cause; NULL for none, as in module tests
 */
typedef struct {
    RecordSource_t *source;
    const char *topic;
    gint64 wait_ms;
    gint64 pause_ms;
    Counters_t *counters;
} RecordFollowerSpec_t;

/** struct RecordFollower_t - opaque */
typedef struct RecordFollower RecordFollower_t;

/** RecordFollower_create() - create a follower, which starts at once */
RecordFollower_t *RecordFollower_create(struct event_base *base,
                                        const RecordFollowerSpec_t *spec,
                                        const RecordFollowerEvents_t *events,
                                        void *owner);

/** RecordFollower_destroy() - free the follower; its source must be freed
 * first */
void RecordFollower_destroy(RecordFollower_t *this);

/**
 * RecordFollower_setReadTiming() - change @wait_ms and @pause_ms
 * @retry_max_ms: longest mean pause after failures; 0 for the default
 *
 * A read that the store is already holding is not affected.
 */
void RecordFollower_setReadTiming(RecordFollower_t *this, gint64 wait_ms,
                                  gint64 pause_ms, gint64 retry_max_ms);

/**
 * RecordFollower_applyPeerRecords() - apply what another follower of the topic
 * has read
 * @from: offset; @page has all new records from here to its end
 * @page: records in the order of offsets
 * @at_ms: monotonic time at which the topic ended at the page's end; 0 if
 *     there were more records
 *
 * Nothing is applied if records before @from are not known here, or if the
 * page is of another epoch.
 *
 * Return: whether the page advanced what is known of the topic
 */
gboolean RecordFollower_applyPeerRecords(RecordFollower_t *this, guint64 from,
                                         const KeyedPage_t *page,
                                         gint64 at_ms);

/**
 * RecordFollower_wantsListPage() - whether a page of the list from a peer is
 * useful now
 * @out: where the page must continue; its key is owned by the follower
 *
 * This is so while the follower leaves a list to its peers, and while the
 * store fails or is late.
 */
gboolean RecordFollower_wantsListPage(const RecordFollower_t *this,
                                      ListCursor_t *out);

/**
 * RecordFollower_applyPeerListPage() - apply a page of the list from a peer
 * @cursor: cursor of the query; the page is applied only if the list of
 *     peers still stands there, or if it is the beginning and no page of a
 *     peer precedes it
 * @list_page: the page; its field reached is ignored if it is the last one
 * @at_ms: monotonic time at which the topic ended at the page's end
 *
 * Return: whether the page was applied
 */
gboolean RecordFollower_applyPeerListPage(RecordFollower_t *this,
                                          const ListCursor_t *cursor,
                                          const ListPage_t *list_page,
                                          gint64 at_ms);

/** RecordFollower_restartPeerList() - restart a list that peers have begun,
 * because its cursor is too old for them to continue */
void RecordFollower_restartPeerList(RecordFollower_t *this);

/**
 * RecordFollower_checkEnd() - read once more, in parallel to a read that the
 * store may be holding
 * @cause: cause under which the call is counted
 *
 * For an owner that must know soon whether there are more records. Does
 * nothing while such a check is open or a list is under way. A failed check is
 * not reported by @lost.
 *
 * Return: whether a call was made
 */
gboolean RecordFollower_checkEnd(RecordFollower_t *this, StoreCause_t cause);

/** RecordFollower_isReading() - whether a read is open whose answer is not
 * late
 */
gboolean RecordFollower_isReading(const RecordFollower_t *this);

/** RecordFollower_failedChecks() - number of consecutive failed checks */
guint RecordFollower_failedChecks(const RecordFollower_t *this);

/**
 * RecordFollower_beginEpoch() - list again, as the store was restored from an
 * older copy
 * @after_ms: delay before the list
 */
void RecordFollower_beginEpoch(RecordFollower_t *this, gint64 after_ms);

/** RecordFollower_position() - position before which all records were
 * reported; zeros during a list */
StorePosition_t RecordFollower_position(const RecordFollower_t *this);

/** RecordFollower_isListing() - whether reported records come from a list,
 * which does not say when they were written */
gboolean RecordFollower_isListing(const RecordFollower_t *this);

/** RecordFollower_isLost() - whether the last call failed */
gboolean RecordFollower_isLost(const RecordFollower_t *this);

#endif
