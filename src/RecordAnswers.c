#include "RecordAnswers.h"

#include <string.h>

#include "Errors.h"
#include "Log.h"

/* Answers of more bytes are long. */
#define LONG_ANSWER_BYTES 16384
/* Long answers that are sent at the same time. */
#define LONG_ANSWERS_MAX 2

struct RecordAnswers {
    const Membership_t *membership;
    GHashTable *newest; /* key -> KeyedRecord_t */
    RecordPatches_t *patches;
};

RecordAnswers_t *
RecordAnswers_create(const Membership_t *membership)
{
    RecordAnswers_t *this = g_new0(RecordAnswers_t, 1);
    this->membership = membership;
    this->newest =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, KeyedRecord_free);
    this->patches = RecordPatches_create();
    return this;
}

void
RecordAnswers_destroy(RecordAnswers_t *this)
{
    RecordPatches_destroy(this->patches);
    g_hash_table_destroy(this->newest);
    g_free(this);
}

void
RecordAnswers_store(RecordAnswers_t *this, const KeyedRecord_t *record)
{
    GBytes *value = record->value ? g_bytes_ref(record->value) : NULL;
    KeyedRecord_t *stored = KeyedRecord_create(
        record->key->str, record->key->len, value, record->position);
    gpointer replaced = NULL;
    if (g_hash_table_steal_extended(this->newest, stored->key->str, NULL,
                                    &replaced)) {
        RecordPatches_keep(this->patches, replaced);
    }
    g_hash_table_insert(this->newest, stored->key->str, stored);
}

static gint
compare_positions(gconstpointer a, gconstpointer b)
{
    const KeyedRecord_t *left = *(KeyedRecord_t *const *)a;
    const KeyedRecord_t *right = *(KeyedRecord_t *const *)b;
    return StorePosition_compare(left->position, right->position);
}

static GPtrArray *
newest_from(const RecordAnswers_t *this, StorePosition_t from)
{
    GPtrArray *found = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, this->newest);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const KeyedRecord_t *record = value;
        if (StorePosition_compare(record->position, from) >= 0) {
            g_ptr_array_add(found, value);
        }
    }
    g_ptr_array_sort(found, compare_positions);
    return found;
}

gsize
RecordAnswers_countBytes(const GPtrArray *records)
{
    gsize bytes = 0;
    for (guint i = 0; i < records->len; i++) {
        const KeyedRecord_t *record = g_ptr_array_index(records, i);
        bytes += record->value ? g_bytes_get_size(record->value) : 0;
    }
    return bytes;
}

static guint
count_long_answers(const RecordAnswers_t *this)
{
    const GPtrArray *members = Membership_members(this->membership);
    guint count = 0;
    for (guint i = 0; i < members->len; i++) {
        const Member_t *member = g_ptr_array_index(members, i);
        count += member->link && PeerLink_isSending(member->link) ? 1 : 0;
    }
    return count;
}

gboolean
RecordAnswers_isBusy(const RecordAnswers_t *this, const Member_t *to,
                     gsize bytes)
{
    guint others = bytes > LONG_ANSWER_BYTES ? count_long_answers(this) : 0;
    if (others < LONG_ANSWERS_MAX) {
        return FALSE;
    }
    Log_begin(LOG_LEVEL_INFO, "config_query_put_off");
    Log_text("router", to->name->str);
    Log_number("bytes", (gint64)bytes);
    Log_number("long_answers", others);
    Log_end();
    return TRUE;
}

GPtrArray *
RecordAnswers_list(const RecordAnswers_t *this, StorePosition_t from,
                   const Member_t *to)
{
    GPtrArray *records = newest_from(this, from);
    gsize bytes = RecordAnswers_countBytes(records);
    if (!RecordAnswers_isBusy(this, to, bytes)) {
        return records;
    }
    g_ptr_array_unref(records);
    return NULL;
}

GArray *
RecordAnswers_encode(const RecordAnswers_t *this, StorePosition_t from)
{
    g_autoptr(GPtrArray) records = newest_from(this, from);
    GArray *encoded = g_array_new(FALSE, FALSE, sizeof(EncodedRecord_t));
    g_array_set_clear_func(encoded, EncodedRecord_clear);
    for (guint i = 0; i < records->len; i++) {
        EncodedRecord_t one;
        if (!RecordPatches_encode(this->patches, g_ptr_array_index(records, i),
                                  from, &one)) {
            g_array_unref(encoded);
            return NULL;
        }
        g_array_append_val(encoded, one);
    }
    return encoded;
}

gsize
RecordAnswers_countEncoded(const GArray *encoded)
{
    gsize bytes = 0;
    for (guint i = 0; i < encoded->len; i++) {
        const EncodedRecord_t *one =
            &g_array_index(encoded, EncodedRecord_t, i);
        bytes += one->frame ? g_bytes_get_size(one->frame) : 0;
    }
    return bytes;
}

static const KeyedRecord_t *
find_base(const RecordAnswers_t *this, const Wt__RecordPatch *message)
{
    StorePosition_t position = {message->base_epoch, message->base_offset};
    const KeyedRecord_t *newest =
        g_hash_table_lookup(this->newest, message->key);
    gboolean is_newest =
        newest && StorePosition_compare(newest->position, position) == 0;
    return is_newest
               ? newest
               : RecordPatches_find(this->patches, message->key, position);
}

KeyedRecord_t *
RecordAnswers_decode(const RecordAnswers_t *this,
                     const Wt__RecordPatch *message, guint64 epoch,
                     GError **error)
{
    const KeyedRecord_t *base =
        message->has_base ? find_base(this, message) : NULL;
    if (message->has_base && !base) {
        g_set_error_literal(error, WT_ERROR, WT_ERROR_BAD_BODY,
                            "patch of a record: the base is not known");
        return NULL;
    }
    return RecordPatches_decode(message, base, epoch, error);
}
