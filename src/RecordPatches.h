#ifndef HEADER_RecordPatches
#define HEADER_RecordPatches
/**
 * DOC: RecordPatches
 *
 * Encodes the records of a topic for other routers (RecordPatch.h), and keeps
 * the long records that were replaced lately, as their values are what other
 * routers still have. The kept records are bounded by their bytes. Peers query
 * for the same record at the same time, so the last encodings are kept too.
 */
#include "KeyedRecord.h"
#include "peer.pb-c.h"

/**
 * struct EncodedRecord_t - a record as it is sent
 * @record: the record
 * @base: the older record that @frame builds on; NULL for none
 * @frame: the encoded value; NULL for a removal
 * @hash: RecordPatch_hash() of the value
 */
typedef struct {
    const KeyedRecord_t *record;
    const KeyedRecord_t *base;
    GBytes *frame;
    guint64 hash;
} EncodedRecord_t;

/** struct RecordPatches_t - opaque */
typedef struct RecordPatches RecordPatches_t;

/** RecordPatches_create() - start without records */
RecordPatches_t *RecordPatches_create(void);

/** RecordPatches_destroy() - free it with all records */
void RecordPatches_destroy(RecordPatches_t *this);

/** RecordPatches_keep() - keep a record that a newer one has replaced; takes
 * ownership */
void RecordPatches_keep(RecordPatches_t *this, KeyedRecord_t *replaced);

/** RecordPatches_find() - the kept record of a key at a position, or NULL */
const KeyedRecord_t *RecordPatches_find(const RecordPatches_t *this,
                                        const char *key,
                                        StorePosition_t position);

/** RecordPatches_bytes() - bytes of all kept values */
gsize RecordPatches_bytes(const RecordPatches_t *this);

/**
 * RecordPatches_encode() - encode a record for a router that has all records
 * before @known
 * @out: points into @record; freed with EncodedRecord_clear()
 *
 * Return: FALSE if the value can't be encoded; that is logged
 */
gboolean RecordPatches_encode(RecordPatches_t *this,
                              const KeyedRecord_t *record,
                              StorePosition_t known, EncodedRecord_t *out);

/** EncodedRecord_clear() - free what an EncodedRecord_t owns */
void EncodedRecord_clear(gpointer encoded);

/** RecordPatches_fill() - fill the wire form of a record, which points into
 * @encoded */
void RecordPatches_fill(Wt__RecordPatch *out, const EncodedRecord_t *encoded);

/**
 * RecordPatches_decode() - decode a peer's record
 * @base: the record that @message names as its base; NULL if it names none
 * @epoch: epoch of the message
 *
 * Return: the record, or NULL with WT_ERROR_BAD_BODY
 */
KeyedRecord_t *RecordPatches_decode(const Wt__RecordPatch *message,
                                    const KeyedRecord_t *base, guint64 epoch,
                                    GError **error);

#endif
