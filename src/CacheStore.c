#include "CacheStore.h"

#include <xxhash.h>

/* A prefix that nobody used for so long may have given way to others. */
#define KEPT_MS 20000
/* Another request may save it if the first one has not ended by then. */
#define SAVING_MS 3000
/* Prefixes that are remembered: more than such a store has room for. */
#define PREFIXES_MAX 16384

struct CacheStore {
    HintFlood_t *hints;
    GHashTable *kept; /* &prefix -> Entry_t */
    Link_t link;
};

typedef struct {
    guint64 prefix;
    gint64 kept_ms;   /* when it was saved, 0 for not yet */
    gint64 saving_ms; /* when this router last began to save it */
} Entry_t;

CacheStore_t *
CacheStore_create(HintFlood_t *hints)
{
    CacheStore_t *this = g_new0(CacheStore_t, 1);
    this->hints = hints;
    this->kept =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    return this;
}

void
CacheStore_destroy(CacheStore_t *this)
{
    g_hash_table_destroy(this->kept);
    g_free(this);
}

static Entry_t *
entry_of(CacheStore_t *this, guint64 prefix)
{
    Entry_t *entry = g_hash_table_lookup(this->kept, &prefix);
    if (!entry) {
        if (g_hash_table_size(this->kept) >= PREFIXES_MAX) {
            g_hash_table_remove_all(this->kept);
        }
        entry = g_new0(Entry_t, 1);
        entry->prefix = prefix;
        g_hash_table_insert(this->kept, &entry->prefix, entry);
    }
    return entry;
}

guint64
CacheStore_prefix(guint64 level, const GString *weights)
{
    return level ^ XXH3_64bits(weights->str, weights->len);
}

gboolean
CacheStore_isKept(const CacheStore_t *this, guint64 prefix, gint64 now_ms)
{
    const Entry_t *entry = g_hash_table_lookup(this->kept, &prefix);
    return entry && entry->kept_ms != 0 && now_ms - entry->kept_ms < KEPT_MS;
}

gboolean
CacheStore_beginSave(CacheStore_t *this, guint64 prefix, gint64 now_ms)
{
    if (CacheStore_isKept(this, prefix, now_ms)) {
        return FALSE;
    }
    Entry_t *entry = entry_of(this, prefix);
    if (entry->saving_ms != 0 && now_ms - entry->saving_ms < SAVING_MS) {
        return FALSE;
    }
    entry->saving_ms = now_ms;
    return TRUE;
}

void
CacheStore_noteSaved(CacheStore_t *this, guint64 prefix, gint64 now_ms)
{
    Hint_t hint = {.kind = HINT_SAVED, .subject = prefix};
    entry_of(this, prefix)->kept_ms = now_ms;
    HintFlood_tell(this->hints, &hint);
}

gboolean
CacheStore_take(CacheStore_t *this, guint64 prefix, gint64 now_ms)
{
    gboolean news = !CacheStore_isKept(this, prefix, now_ms);
    entry_of(this, prefix)->kept_ms = now_ms;
    return news;
}

Link_t *
CacheStore_link(CacheStore_t *this)
{
    return &this->link;
}
