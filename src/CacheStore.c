#include "CacheStore.h"

#include <string.h>

#include <xxhash.h>

/* The store may evict a prefix that was not saved again for this long. */
#define RETENTION_MS 20000
/* Another request may save a prefix if the first has not done so by then. */
#define SAVE_TIMEOUT_MS 3000
/* Prefixes that are tracked: more than the capacity of such a store. */
#define PREFIXES_MAX 16384

struct CacheStore {
    HintBroadcast_t *hints;
    GHashTable *entries; /* &prefix -> Entry_t */
    GPtrArray *copies;   /* Copy_t, removed ones last */
    guint copy_count;    /* copies in use, at least one */
};

/* Each copy has its own link. With one link for six copies, moves seemed to
 * take too long, so that stored prefixes were computed again. */
typedef struct {
    GString *hall;
    TransferLink_t link;
} Copy_t;

typedef struct {
    guint64 prefix;
    gint64 stored_ms; /* when it was saved, 0 for not yet */
    gint64 saving_ms; /* when this router last began to save it, 0 for never */
} Entry_t;

static void
free_copy(gpointer data)
{
    Copy_t *copy = data;
    g_string_free(copy->hall, TRUE);
    g_free(copy);
}

static void
add_copy(CacheStore_t *this, const char *hall)
{
    Copy_t *copy = g_new0(Copy_t, 1);
    copy->hall = g_string_new(hall);
    g_ptr_array_add(this->copies, copy);
}

CacheStore_t *
CacheStore_create(HintBroadcast_t *hints)
{
    CacheStore_t *this = g_new0(CacheStore_t, 1);
    this->hints = hints;
    this->entries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    this->copies = g_ptr_array_new_with_free_func(free_copy);
    add_copy(this, "");
    this->copy_count = 1;
    return this;
}

void
CacheStore_destroy(CacheStore_t *this)
{
    g_hash_table_destroy(this->entries);
    g_ptr_array_unref(this->copies);
    g_free(this);
}

static Entry_t *
find_or_create_entry(CacheStore_t *this, guint64 prefix)
{
    Entry_t *entry = g_hash_table_lookup(this->entries, &prefix);
    if (!entry) {
        if (g_hash_table_size(this->entries) >= PREFIXES_MAX) {
            g_hash_table_remove_all(this->entries);
        }
        entry = g_new0(Entry_t, 1);
        entry->prefix = prefix;
        g_hash_table_insert(this->entries, &entry->prefix, entry);
    }
    return entry;
}

guint64
CacheStore_prefix(guint64 level, const GString *weights)
{
    return level ^ XXH3_64bits(weights->str, weights->len);
}

gboolean
CacheStore_contains(const CacheStore_t *this, guint64 prefix, gint64 now_ms)
{
    const Entry_t *entry = g_hash_table_lookup(this->entries, &prefix);
    return entry && entry->stored_ms != 0 &&
           now_ms - entry->stored_ms < RETENTION_MS;
}

gboolean
CacheStore_beginSave(CacheStore_t *this, guint64 prefix, gint64 now_ms)
{
    if (CacheStore_contains(this, prefix, now_ms)) {
        return FALSE;
    }
    Entry_t *entry = find_or_create_entry(this, prefix);
    if (entry->saving_ms != 0 && now_ms - entry->saving_ms < SAVE_TIMEOUT_MS) {
        return FALSE;
    }
    entry->saving_ms = now_ms;
    return TRUE;
}

void
CacheStore_noteSaved(CacheStore_t *this, guint64 prefix, gint64 now_ms)
{
    Hint_t hint = {.kind = HINT_SAVED, .subject = prefix};
    find_or_create_entry(this, prefix)->stored_ms = now_ms;
    HintBroadcast_add(this->hints, &hint);
}

gboolean
CacheStore_receiveSaved(CacheStore_t *this, guint64 prefix, gint64 now_ms)
{
    gboolean is_new = !CacheStore_contains(this, prefix, now_ms);
    find_or_create_entry(this, prefix)->stored_ms = now_ms;
    return is_new;
}

/* Requests under way continue to use the link that they began with, so that
 * removed copies are not freed. */
void
CacheStore_setCopies(CacheStore_t *this, const GPtrArray *halls)
{
    for (guint i = 0; i < halls->len; i++) {
        if (i == this->copies->len) {
            add_copy(this, "");
        }
        Copy_t *copy = g_ptr_array_index(this->copies, i);
        g_string_assign(copy->hall, g_ptr_array_index(halls, i));
    }
    this->copy_count = MAX(halls->len, 1);
}

guint
CacheStore_copyIndex(guint64 prefix, guint copies)
{
    return (guint)(prefix % copies);
}

static Copy_t *
copy_of(const CacheStore_t *this, guint64 prefix)
{
    return g_ptr_array_index(this->copies,
                             CacheStore_copyIndex(prefix, this->copy_count));
}

const char *
CacheStore_hall(const CacheStore_t *this, guint64 prefix)
{
    return copy_of(this, prefix)->hall->str;
}

TransferLink_t *
CacheStore_link(CacheStore_t *this, guint64 prefix)
{
    return &copy_of(this, prefix)->link;
}

gint64
CacheStore_localUs(const CacheStore_t *this, gint64 now_us)
{
    gint64 sum_us = 0;
    for (guint i = 0; i < this->copy_count; i++) {
        const Copy_t *copy = g_ptr_array_index(this->copies, i);
        sum_us += TransferLink_localUs(&copy->link, now_us);
    }
    return sum_us;
}

void
CacheStore_setOthersUs(CacheStore_t *this, gint64 others_us)
{
    for (guint i = 0; i < this->copy_count; i++) {
        Copy_t *copy = g_ptr_array_index(this->copies, i);
        copy->link.others_us = others_us / this->copy_count;
    }
}
