#ifndef HEADER_RecordFollower
#define HEADER_RecordFollower
/**
 * DOC: RecordFollower
 *
 * Follows one keyed topic: it lists the newest record of each key, then
 * reads on from there. Where the records that it needs next are gone, it
 * lists anew and tells which keys are no longer there. A record older than
 * the one known of its key is never told; what a store that came back older
 * has of a key is the newest of its epoch, and told. After a failure it tries
 * again with growing, jittered pauses.
 */
#include <event2/event.h>

#include "ListCopy.h"
#include "RecordSource.h"
#include "StoreCalls.h"

/**
 * struct RecordFollowerEvents_t - what it tells its owner
 * @record: the newest record of a key; its value is NULL where it was removed
 * @current: the topic ended at @end at the time @at_ms (monotonic), and
 *     all records before it were told
 * @lost: a call failed for the first time, or after a good one; may be NULL
 * @regained: a call succeeded after failed ones; may be NULL
 * @wait_ms: how long to leave a call to the store to peers, 0 to make it now;
 *     @lists where it is for the rest of a list. Not asked for the first call;
 *     may be NULL
 * @gap: records are missing before what a peer has told; FALSE to read them
 *     from the store now; may be NULL
 */
typedef struct {
    void (*record)(void *owner, const KeyedRecord_t *record);
    void (*current)(void *owner, StorePosition_t end, gint64 at_ms);
    void (*lost)(void *owner, const GError *error);
    void (*regained)(void *owner);
    gint64 (*wait_ms)(void *owner, gboolean lists);
    gboolean (*gap)(void *owner);
} RecordFollowerEvents_t;

/**
 * struct RecordFollowerSpec_t - what it follows
 * @source: must outlive it
 * @topic: name of the topic
 * @wait_ms: how long a read may be held until there is a record
 * @pause_ms: least time from when the topic's end was known to the next read
 * @counters: for calls by cause; NULL for none, as in module tests
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

/** RecordFollower_create() - start at once */
RecordFollower_t *RecordFollower_create(struct event_base *base,
                                        const RecordFollowerSpec_t *spec,
                                        const RecordFollowerEvents_t *events,
                                        void *owner);

/** RecordFollower_destroy() - free it; its source must be freed first */
void RecordFollower_destroy(RecordFollower_t *this);

/**
 * RecordFollower_setReads() - another @wait_ms and @pause_ms from now on
 * @retry_most_ms: longest mean pause after failures; 0 for the usual one
 *
 * A read that is held already goes on.
 */
void RecordFollower_setReads(RecordFollower_t *this, gint64 wait_ms,
                             gint64 pause_ms, gint64 retry_most_ms);

/**
 * RecordFollower_feed() - take what another follower of the topic has read
 * @from: offset; records of @page are all that is new from here on to its end
 * @page: in the order of offsets
 * @at_ms: monotonic time at which the topic ended there; 0 where it went on
 *
 * Where records before @from are not known here, or it is of another epoch,
 * nothing is taken.
 *
 * Return: whether more is known now
 */
gboolean RecordFollower_feed(RecordFollower_t *this, guint64 from,
                             const KeyedPage_t *page, gint64 at_ms);

/**
 * RecordFollower_wantsList() - whether peers may help with the list
 * @out: from where on; of the follower
 *
 * That is while it leaves a list to them, and where the store fails or is
 * late.
 */
gboolean RecordFollower_wantsList(const RecordFollower_t *this,
                                  ListPlace_t *out);

/**
 * RecordFollower_feedList() - take a page of the list from a peer
 * @place: that was asked for; taken only if it is the one where the list
 *     stands, or the beginning
 * @part: what follows; no @reached counts where there is no more
 * @at_ms: monotonic time at which the topic ended at the page's end
 *
 * Return: whether it was taken
 */
gboolean RecordFollower_feedList(RecordFollower_t *this,
                                 const ListPlace_t *place,
                                 const ListPart_t *part, gint64 at_ms);

/** RecordFollower_dropList() - begin a list that peers have begun anew, as
 * none of them can go on with it */
void RecordFollower_dropList(RecordFollower_t *this);

/**
 * RecordFollower_ask() - read once more beside a read that may be held
 * @cause: why, for the count of calls
 *
 * For an owner that must know soon whether the topic has ended. Nothing
 * happens while such a question is open; its failure is not told.
 */
void RecordFollower_ask(RecordFollower_t *this, StoreCause_t cause);

/** RecordFollower_unanswered() - questions in a row that failed */
guint RecordFollower_unanswered(const RecordFollower_t *this);

/**
 * RecordFollower_beginEpoch() - the store has come back older: list anew
 * @after_ms: wait so long before
 */
void RecordFollower_beginEpoch(RecordFollower_t *this, gint64 after_ms);

/** RecordFollower_position() - records before it were told; zeros during a
 * list */
StorePosition_t RecordFollower_position(const RecordFollower_t *this);

/** RecordFollower_isListing() - whether what is told comes from a list, of
 * which nobody knows when it was written */
gboolean RecordFollower_isListing(const RecordFollower_t *this);

/** RecordFollower_isLost() - whether the last call failed */
gboolean RecordFollower_isLost(const RecordFollower_t *this);

#endif
