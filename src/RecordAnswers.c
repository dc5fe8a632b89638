#include "RecordAnswers.h"

#include "Log.h"

/* Answers of more bytes are long. */
#define LONG_ANSWER_BYTES 16384
/* Long answers that are sent at the same time. */
#define LONG_ANSWERS_MAX 2

struct RecordAnswers {
    const Membership_t *membership;
    GHashTable *newest; /* key -> KeyedRecord_t */
};

RecordAnswers_t *
RecordAnswers_create(const Membership_t *membership)
{
    RecordAnswers_t *this = g_new0(RecordAnswers_t, 1);
    this->membership = membership;
    this->newest =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, KeyedRecord_free);
    return this;
}

void
RecordAnswers_destroy(RecordAnswers_t *this)
{
    g_hash_table_destroy(this->newest);
    g_free(this);
}

void
RecordAnswers_store(RecordAnswers_t *this, const KeyedRecord_t *record)
{
    GBytes *value = record->value ? g_bytes_ref(record->value) : NULL;
    KeyedRecord_t *stored = KeyedRecord_create(
        record->key->str, record->key->len, value, record->position);
    g_hash_table_replace(this->newest, stored->key->str, stored);
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

static gboolean
may_send(const RecordAnswers_t *this, const Member_t *to,
         const GPtrArray *records)
{
    gsize bytes = RecordAnswers_countBytes(records);
    guint others = count_long_answers(this);
    if (bytes <= LONG_ANSWER_BYTES || others < LONG_ANSWERS_MAX) {
        return TRUE;
    }
    Log_begin(LOG_LEVEL_INFO, "config_query_put_off");
    Log_text("router", to->name->str);
    Log_number("bytes", (gint64)bytes);
    Log_number("long_answers", others);
    Log_end();
    return FALSE;
}

GPtrArray *
RecordAnswers_list(const RecordAnswers_t *this, StorePosition_t from,
                   const Member_t *to)
{
    GPtrArray *records = newest_from(this, from);
    if (may_send(this, to, records)) {
        return records;
    }
    g_ptr_array_unref(records);
    return NULL;
}
