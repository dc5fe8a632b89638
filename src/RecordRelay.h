#ifndef HEADER_RecordRelay
#define HEADER_RecordRelay
/**
 * DOC: RecordRelay
 *
 * Passes what one router has read of a keyed topic on to the other routers, so
 * that only a few of them read each record from the store. Only records that
 * change something are passed on, with the age of what is known (PeerAge.h).
 */
#include "Membership.h"
#include "RecordPatches.h"
#include "RecordSource.h"

/** struct RecordRelay_t - opaque */
typedef struct RecordRelay RecordRelay_t;

/**
 * RecordRelay_create() - create a relay without updates
 * @membership: peers and the links to them; NULL for none, as in module tests
 * @topic: topic whose records are passed on
 */
RecordRelay_t *RecordRelay_create(Membership_t *membership, const char *topic);

/** RecordRelay_destroy() - free the relay */
void RecordRelay_destroy(RecordRelay_t *this);

/** RecordRelay_addUpdate() - add a record to the next broadcast; a @value of
 * NULL removes the key */
void RecordRelay_addUpdate(RecordRelay_t *this, const char *key, GBytes *value,
                           StorePosition_t position);

/**
 * RecordRelay_broadcast() - send the updates added since the last call to all
 * peers; all records before @end are known
 * @at_ms: monotonic time at which the topic ended at @end
 * @restored_ms: monotonic time at which the topic could be read again after an
 *     outage; 0 for never
 * @from_peer: the updates came from a peer; in a full mesh that peer has sent
 *     them to the other routers as well
 *
 * Updates are discarded if no peer needs them. The first call of an epoch
 * sends nothing, as records that were there before are not updates.
 */
void RecordRelay_broadcast(RecordRelay_t *this, StorePosition_t end,
                           gint64 at_ms, gint64 restored_ms,
                           gboolean from_peer);

/** RecordRelay_lastEnd() - end of the topic at the last call of
 * RecordRelay_broadcast(); returns FALSE if there was none */
gboolean RecordRelay_lastEnd(const RecordRelay_t *this, StorePosition_t *out);

/** RecordRelay_hasUpdates() - whether an update was added since the last call
 * of RecordRelay_broadcast(), or that was never called */
gboolean RecordRelay_hasUpdates(const RecordRelay_t *this);

/**
 * RecordRelay_sendAnswer() - answer the query of one router
 * @from: offset of the query
 * @records: KeyedRecord_t *, all new records from @from on
 * @end: position of the topic before which all records are known
 * @at_ms: monotonic time at which the topic ended at @end; 0 if there were
 *     more records
 */
void RecordRelay_sendAnswer(const RecordRelay_t *this, Member_t *member,
                            guint64 from, const GPtrArray *records,
                            StorePosition_t end, gint64 at_ms);

/** RecordRelay_sendRefusal() - tell one router that its query is not answered
 */
void RecordRelay_sendRefusal(const RecordRelay_t *this, Member_t *member,
                             const Wt__TopicAsk *query);

/** RecordRelay_sendLostRecords() - send one router records that the store has
 * lost and that are still in force here */
void RecordRelay_sendLostRecords(const RecordRelay_t *this, Member_t *member,
                                 const GPtrArray *records);

/**
 * RecordRelay_sendQuery() - query a router for the records from @from on
 * @version: version of the newest configuration known here
 * @patches: whether the answer may be patches
 *
 * Return: FALSE if there is no link to the router
 */
gboolean RecordRelay_sendQuery(const RecordRelay_t *this, Member_t *member,
                               StorePosition_t from, guint64 version,
                               gboolean patches);

/**
 * RecordRelay_sendPatch() - send encoded records
 * @member: recipient; NULL for all linked peers
 * @from: the recipients need all records before this offset
 * @records: EncodedRecord_t, all new records from @from on
 * @end: position of the topic before which all records are known
 * @at_ms: monotonic time at which the topic ended at @end
 */
void RecordRelay_sendPatch(const RecordRelay_t *this, Member_t *member,
                           guint64 from, const GArray *records,
                           StorePosition_t end, gint64 at_ms);

/** RecordRelay_sendPatchRefusal() - tell one router that another one is to
 * answer its query for patches */
void RecordRelay_sendPatchRefusal(const RecordRelay_t *this, Member_t *member,
                                  const Wt__TopicAsk *query);

/** RecordRelay_isOversized() - whether the added updates are too long for a
 * broadcast: then peers get only the end of the topic, and query for the
 * records before it */
gboolean RecordRelay_isOversized(const RecordRelay_t *this);

/**
 * RecordRelay_decode() - read the records of a peer's message
 *
 * Return: a page whose @records the caller frees
 */
KeyedPage_t RecordRelay_decode(const Wt__TopicPart *message);

/** RecordRelay_decodeRecords() - read records of any message; the page has no
 * end, and the caller frees its @records */
KeyedPage_t RecordRelay_decodeRecords(Wt__TopicRecord *const *records,
                                      size_t count, guint64 epoch);

/** RecordRelay_encodeRecord() - fill the wire form of a record, which points
 * into @record */
void RecordRelay_encodeRecord(Wt__TopicRecord *out,
                              const KeyedRecord_t *record);

#endif
