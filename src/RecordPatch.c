#include "RecordPatch.h"

#include <xxhash.h>
#include <zstd.h>

#include "Errors.h"

#define COMPRESSION_LEVEL 3
/* Limits of the library for the distance that a frame may refer back. */
#define WINDOW_LOG_MIN 10
#define WINDOW_LOG_MAX 26

static gboolean
set_error(GError **error, const char *reason)
{
    g_set_error(error, WT_ERROR, WT_ERROR_BAD_BODY, "patch of a record: %s",
                reason);
    return FALSE;
}

static gboolean
check_result(size_t result, GError **error)
{
    return !ZSTD_isError(result) ||
           set_error(error, ZSTD_getErrorName(result));
}

/* The window must hold the base and the value, so that each part of the value
 * can refer to the same part of the base. */
static int
window_log(gsize bytes)
{
    int log = WINDOW_LOG_MIN;
    while (log < WINDOW_LOG_MAX && ((gsize)1 << log) < bytes) {
        log++;
    }
    return log;
}

static gboolean
prepare(ZSTD_CCtx *context, GBytes *base, gsize length, GError **error)
{
    gsize base_length = 0;
    const void *prefix = base ? g_bytes_get_data(base, &base_length) : NULL;
    return check_result(ZSTD_CCtx_setParameter(context,
                                               ZSTD_c_compressionLevel,
                                               COMPRESSION_LEVEL),
                        error) &&
           check_result(
               ZSTD_CCtx_setParameter(context, ZSTD_c_windowLog,
                                      window_log(base_length + length)),
               error) &&
           check_result(ZSTD_CCtx_refPrefix(context, prefix, base_length),
                        error);
}

GBytes *
RecordPatch_encode(GBytes *base, GBytes *value, GError **error)
{
    gsize length = 0;
    const void *bytes = g_bytes_get_data(value, &length);
    if (length > RECORD_PATCH_VALUE_MAX) {
        set_error(error, "the value is too long");
        return NULL;
    }
    gsize capacity = ZSTD_compressBound(length);
    guint8 *frame = g_malloc(capacity);
    ZSTD_CCtx *context = ZSTD_createCCtx();
    size_t used = 0;
    gboolean ok = prepare(context, base, length, error);
    if (ok) {
        used = ZSTD_compress2(context, frame, capacity, bytes, length);
        ok = check_result(used, error);
    }
    ZSTD_freeCCtx(context);
    if (!ok) {
        g_free(frame);
        return NULL;
    }
    return g_bytes_new_take(g_realloc(frame, MAX(used, 1)), used);
}

static gboolean
decompress(GBytes *base, const PatchFrame_t *frame, guint8 *out,
           GError **error)
{
    gsize base_length = 0;
    const void *prefix = base ? g_bytes_get_data(base, &base_length) : NULL;
    ZSTD_DCtx *context = ZSTD_createDCtx();
    size_t used = ZSTD_DCtx_refPrefix(context, prefix, base_length);
    if (!ZSTD_isError(used)) {
        used = ZSTD_decompressDCtx(context, out, frame->size, frame->bytes,
                                   frame->length);
    }
    ZSTD_freeDCtx(context);
    return check_result(used, error) &&
           (used == frame->size || set_error(error, "wrong length"));
}

GBytes *
RecordPatch_decode(GBytes *base, const PatchFrame_t *frame, GError **error)
{
    if (frame->size > RECORD_PATCH_VALUE_MAX) {
        set_error(error, "the value is too long");
        return NULL;
    }
    guint8 *out = g_malloc(frame->size + 1);
    if (!decompress(base, frame, out, error)) {
        g_free(out);
        return NULL;
    }
    GBytes *value = g_bytes_new_take(out, frame->size);
    if (RecordPatch_hash(value) != frame->hash) {
        set_error(error, "wrong hash");
        g_bytes_unref(value);
        return NULL;
    }
    return value;
}

guint64
RecordPatch_hash(GBytes *value)
{
    gsize length = 0;
    const void *bytes = g_bytes_get_data(value, &length);
    return XXH3_64bits(bytes, length);
}
