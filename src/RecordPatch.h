#ifndef HEADER_RecordPatch
#define HEADER_RecordPatch
/**
 * DOC: RecordPatch
 *
 * Encodes the value of a record as its difference from an older value, or
 * compressed if there is none. Both are zstd frames; the older value is the
 * prefix of the frame. A configuration of thousands of routes is one record,
 * so that each change of a route is a new record of nearly the same value.
 */
#include <glib.h>

/** Longest value that is decoded, in bytes; a frame may claim any length */
#define RECORD_PATCH_VALUE_MAX (16U << 20)

/**
 * RecordPatch_encode() - encode a value
 * @base: the value that the receiver has; NULL for none
 *
 * Return: the frame, or NULL with WT_ERROR_BAD_BODY if the library fails or
 * the value is too long
 */
GBytes *RecordPatch_encode(GBytes *base, GBytes *value, GError **error);

/**
 * struct PatchFrame_t - what RecordPatch_decode() reads
 * @bytes: the frame
 * @length: its length
 * @size: expected length of the value
 * @hash: expected RecordPatch_hash() of the value
 */
typedef struct {
    const guint8 *bytes;
    gsize length;
    guint64 size;
    guint64 hash;
} PatchFrame_t;

/**
 * RecordPatch_decode() - decode a value
 * @base: the value that it was encoded with; NULL for none
 *
 * Return: the value, or NULL with WT_ERROR_BAD_BODY if the frame is damaged or
 * was encoded with another base
 */
GBytes *RecordPatch_decode(GBytes *base, const PatchFrame_t *frame,
                           GError **error);

/** RecordPatch_hash() - hash of a value, to recognize one that was not decoded
 * correctly */
guint64 RecordPatch_hash(GBytes *value);

#endif
