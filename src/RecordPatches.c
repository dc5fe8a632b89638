#include "RecordPatches.h"

#include <string.h>

#include "Log.h"
#include "RecordPatch.h"

/* Bytes of the values that are kept: a few configurations of 4,000 routes. */
#define KEPT_BYTES_MAX (4U << 20)
/* Shorter values are sent whole. */
#define KEPT_VALUE_MIN 4096
/* Encodings that are kept, for routers that lack one or several records. */
#define ENCODINGS_MAX 4

typedef struct {
    GString *key;
    StorePosition_t position;
    StorePosition_t base;
    gboolean has_base;
    GBytes *frame;
    guint64 hash;
} Encoding_t;

struct RecordPatches {
    GQueue *kept;      /* KeyedRecord_t, the one replaced last at the head */
    GQueue *encodings; /* Encoding_t, newest at the head */
    gsize kept_bytes;
};

static void
free_encoding(gpointer data)
{
    Encoding_t *encoding = data;
    g_string_free(encoding->key, TRUE);
    g_bytes_unref(encoding->frame);
    g_free(encoding);
}

RecordPatches_t *
RecordPatches_create(void)
{
    RecordPatches_t *this = g_new0(RecordPatches_t, 1);
    this->kept = g_queue_new();
    this->encodings = g_queue_new();
    return this;
}

void
RecordPatches_destroy(RecordPatches_t *this)
{
    g_queue_free_full(this->kept, KeyedRecord_free);
    g_queue_free_full(this->encodings, free_encoding);
    g_free(this);
}

static gsize
value_bytes(const KeyedRecord_t *record)
{
    return record->value ? g_bytes_get_size(record->value) : 0;
}

static void
drop_oldest(RecordPatches_t *this)
{
    KeyedRecord_t *oldest = g_queue_pop_tail(this->kept);
    this->kept_bytes -= value_bytes(oldest);
    KeyedRecord_free(oldest);
}

void
RecordPatches_keep(RecordPatches_t *this, KeyedRecord_t *replaced)
{
    if (value_bytes(replaced) < KEPT_VALUE_MIN) {
        KeyedRecord_free(replaced);
        return;
    }
    this->kept_bytes += value_bytes(replaced);
    g_queue_push_head(this->kept, replaced);
    while (this->kept_bytes > KEPT_BYTES_MAX) {
        drop_oldest(this);
    }
}

const KeyedRecord_t *
RecordPatches_find(const RecordPatches_t *this, const char *key,
                   StorePosition_t position)
{
    for (GList *at = this->kept->head; at; at = at->next) {
        const KeyedRecord_t *record = at->data;
        if (strcmp(record->key->str, key) == 0 &&
            StorePosition_compare(record->position, position) == 0) {
            return record;
        }
    }
    return NULL;
}

gsize
RecordPatches_bytes(const RecordPatches_t *this)
{
    return this->kept_bytes;
}

/* Finds the newest record of the key before @known. Older ones are no base: a
 * router that has all records before @known has this one. */
static const KeyedRecord_t *
find_base(const RecordPatches_t *this, const KeyedRecord_t *record,
          StorePosition_t known)
{
    for (GList *at = this->kept->head; at; at = at->next) {
        const KeyedRecord_t *older = at->data;
        if (strcmp(older->key->str, record->key->str) == 0 &&
            StorePosition_compare(older->position, known) < 0) {
            return older->position.epoch == known.epoch ? older : NULL;
        }
    }
    return NULL;
}

static const Encoding_t *
find_encoding(const RecordPatches_t *this, const KeyedRecord_t *record,
              const KeyedRecord_t *base)
{
    for (GList *at = this->encodings->head; at; at = at->next) {
        const Encoding_t *encoding = at->data;
        if (g_string_equal(encoding->key, record->key) &&
            StorePosition_compare(encoding->position, record->position) == 0 &&
            encoding->has_base == (base != NULL) &&
            (!base ||
             StorePosition_compare(encoding->base, base->position) == 0)) {
            return encoding;
        }
    }
    return NULL;
}

static void
cache_encoding(RecordPatches_t *this, const EncodedRecord_t *encoded)
{
    const KeyedRecord_t *base = encoded->base;
    Encoding_t *encoding = g_new0(Encoding_t, 1);
    encoding->key = g_string_new(encoded->record->key->str);
    encoding->position = encoded->record->position;
    encoding->has_base = base != NULL;
    encoding->base = base ? base->position : (StorePosition_t){0};
    encoding->frame = g_bytes_ref(encoded->frame);
    encoding->hash = encoded->hash;
    g_queue_push_head(this->encodings, encoding);
    if (g_queue_get_length(this->encodings) > ENCODINGS_MAX) {
        free_encoding(g_queue_pop_tail(this->encodings));
    }
}

static gboolean
encode_value(RecordPatches_t *this, EncodedRecord_t *encoded)
{
    g_autoptr(GError) error = NULL;
    GBytes *value = encoded->record->value;
    const KeyedRecord_t *base = encoded->base;
    encoded->frame =
        RecordPatch_encode(base ? base->value : NULL, value, &error);
    if (!encoded->frame) {
        Log_error("record_not_encoded", error);
        return FALSE;
    }
    encoded->hash = RecordPatch_hash(value);
    if (value_bytes(encoded->record) >= KEPT_VALUE_MIN) {
        cache_encoding(this, encoded);
    }
    return TRUE;
}

gboolean
RecordPatches_encode(RecordPatches_t *this, const KeyedRecord_t *record,
                     StorePosition_t known, EncodedRecord_t *out)
{
    *out = (EncodedRecord_t){.record = record};
    if (!record->value) {
        return TRUE;
    }
    out->base = find_base(this, record, known);
    const Encoding_t *encoding = find_encoding(this, record, out->base);
    if (!encoding) {
        return encode_value(this, out);
    }
    out->frame = g_bytes_ref(encoding->frame);
    out->hash = encoding->hash;
    return TRUE;
}

void
EncodedRecord_clear(gpointer data)
{
    EncodedRecord_t *encoded = data;
    g_clear_pointer(&encoded->frame, g_bytes_unref);
}

void
RecordPatches_fill(Wt__RecordPatch *out, const EncodedRecord_t *encoded)
{
    const KeyedRecord_t *record = encoded->record;
    wt__record_patch__init(out);
    out->key = record->key->str;
    out->offset = record->position.offset;
    out->removed = encoded->frame == NULL;
    if (out->removed) {
        return;
    }
    out->frame.data =
        (guint8 *)g_bytes_get_data(encoded->frame, &out->frame.len);
    out->size = g_bytes_get_size(record->value);
    out->hash = encoded->hash;
    out->has_base = encoded->base != NULL;
    if (out->has_base) {
        out->base_epoch = encoded->base->position.epoch;
        out->base_offset = encoded->base->position.offset;
    }
}

KeyedRecord_t *
RecordPatches_decode(const Wt__RecordPatch *message, const KeyedRecord_t *base,
                     guint64 epoch, GError **error)
{
    GBytes *value = NULL;
    if (!message->removed) {
        PatchFrame_t frame = {message->frame.data, message->frame.len,
                              message->size, message->hash};
        value = RecordPatch_decode(base ? base->value : NULL, &frame, error);
        if (!value) {
            return NULL;
        }
    }
    StorePosition_t position = {epoch, message->offset};
    return KeyedRecord_create(message->key, strlen(message->key), value,
                              position);
}
