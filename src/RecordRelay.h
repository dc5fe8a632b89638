#ifndef HEADER_RecordRelay
#define HEADER_RecordRelay
/**
 * DOC: RecordRelay
 *
 * Passes what one router has read of a keyed topic on to the others, so that
 * each record is read from the store by few of them. Only records that say
 * something new are passed on, with the age of what is known (PeerAge.h).
 */
#include "Membership.h"
#include "RecordSource.h"

/** struct RecordRelay_t - opaque */
typedef struct RecordRelay RecordRelay_t;

/**
 * RecordRelay_create() - nothing to tell yet
 * @membership: whose links are used; NULL for none, as in module tests
 * @topic: that is passed on
 */
RecordRelay_t *RecordRelay_create(Membership_t *membership, const char *topic);

/** RecordRelay_destroy() - free it */
void RecordRelay_destroy(RecordRelay_t *this);

/** RecordRelay_add() - a record said something new; @value NULL: removed */
void RecordRelay_add(RecordRelay_t *this, const char *key, GBytes *value,
                     StorePosition_t position);

/**
 * RecordRelay_tell() - all records before @end are known
 * @at_ms: monotonic time at which the topic ended there
 * @regained_ms: when the topic came back from an outage, 0 for never
 * @from_peer: a peer has told it; where all are linked with all, it has told
 *     the others as well
 *
 * What was added since the last call is told, or forgotten where nobody is to
 * be told. The first call of an epoch tells nothing: what was there is not
 * news.
 */
void RecordRelay_tell(RecordRelay_t *this, StorePosition_t end, gint64 at_ms,
                      gint64 regained_ms, gboolean from_peer);

/** RecordRelay_hasNews() - whether anything was added since the last call of
 * RecordRelay_tell(), or that was never called */
gboolean RecordRelay_hasNews(const RecordRelay_t *this);

/**
 * RecordRelay_answer() - tell one router what it asked for
 * @from: offset that it has told
 * @records: KeyedRecord_t *, all that is new from there on
 * @end: of the topic, where all records before it are known
 * @at_ms: monotonic time at which the topic ended there; 0 where it went on
 */
void RecordRelay_answer(const RecordRelay_t *this, Member_t *member,
                        guint64 from, const GPtrArray *records,
                        StorePosition_t end, gint64 at_ms);

/** RecordRelay_answerApart() - tell one router records that the store has lost
 * and that are in force here */
void RecordRelay_answerApart(const RecordRelay_t *this, Member_t *member,
                             const GPtrArray *records);

/**
 * RecordRelay_ask() - ask a router for what is new from a place on
 * @version: of the newest configuration known here
 *
 * Return: FALSE where there is no link to it
 */
gboolean RecordRelay_ask(const RecordRelay_t *this, Member_t *member,
                         StorePosition_t from, guint64 version);

/** RecordRelay_isTooLong() - too much was added to be told: peers hear of the
 * end alone, and ask for what is before it */
gboolean RecordRelay_isTooLong(const RecordRelay_t *this);

/**
 * RecordRelay_read() - the records of a peer's message
 *
 * Return: a page whose @records the caller frees
 */
KeyedPage_t RecordRelay_read(const Wt__TopicPart *message);

/** RecordRelay_readRecords() - the same of some records of any message; the
 * page has no end */
KeyedPage_t RecordRelay_readRecords(Wt__TopicRecord *const *records,
                                    size_t count, guint64 epoch);

/** RecordRelay_fill() - a record as a message has it, valid while the record
 * is */
void RecordRelay_fill(Wt__TopicRecord *out, const KeyedRecord_t *record);

#endif
