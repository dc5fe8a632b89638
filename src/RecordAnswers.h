#ifndef HEADER_RecordAnswers
#define HEADER_RecordAnswers
/**
 * DOC: RecordAnswers
 *
 * The newest record of each key of a topic, as answers to queries of other
 * routers, whole or as patches (RecordPatches.h). Few long answers are sent at
 * the same time: with more of them, each would take as long as all together.
 */
#include "KeyedRecord.h"
#include "Membership.h"
#include "RecordPatches.h"

/** struct RecordAnswers_t - opaque */
typedef struct RecordAnswers RecordAnswers_t;

/** RecordAnswers_create() - start without records; @membership must outlive it
 */
RecordAnswers_t *RecordAnswers_create(const Membership_t *membership);

/** RecordAnswers_destroy() - free it */
void RecordAnswers_destroy(RecordAnswers_t *this);

/** RecordAnswers_store() - store a copy of the newest record of its key */
void RecordAnswers_store(RecordAnswers_t *this, const KeyedRecord_t *record);

/**
 * RecordAnswers_list() - list the records from a position on
 * @to: router that is to get them
 *
 * Return: KeyedRecord_t * in the order of positions, valid until a record is
 * stored, in an array that the caller frees; NULL if they are long and others
 * are being sent
 */
GPtrArray *RecordAnswers_list(const RecordAnswers_t *this,
                              StorePosition_t from, const Member_t *to);

/**
 * RecordAnswers_encode() - encode the records from a position on for routers
 * that have all records before it
 *
 * Return: EncodedRecord_t in the order of positions, valid until a record is
 * stored, in an array that the caller frees; NULL if one can't be encoded
 */
GArray *RecordAnswers_encode(const RecordAnswers_t *this,
                             StorePosition_t from);

/** RecordAnswers_isBusy() - whether an answer of @bytes is long and others are
 * being sent */
gboolean RecordAnswers_isBusy(const RecordAnswers_t *this, const Member_t *to,
                              gsize bytes);

/**
 * RecordAnswers_decode() - decode a record of a peer
 * @epoch: epoch of the message
 *
 * Return: the record, or NULL with WT_ERROR_BAD_BODY if it builds on a record
 * that is not known here, or is damaged
 */
KeyedRecord_t *RecordAnswers_decode(const RecordAnswers_t *this,
                                    const Wt__RecordPatch *message,
                                    guint64 epoch, GError **error);

/** RecordAnswers_countEncoded() - bytes of encoded records */
gsize RecordAnswers_countEncoded(const GArray *encoded);

/** RecordAnswers_countBytes() - bytes of the values of records */
gsize RecordAnswers_countBytes(const GPtrArray *records);

#endif
