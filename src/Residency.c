#include "Residency.h"

#include <string.h>

typedef struct {
    guint64 prefix;
    Holder_t holders[RESIDENCY_HOLDERS_MAX];
    guint count;
    GList link; /* in Residency.order */
} Entry_t;

struct Residency {
    GHashTable *entries; /* &prefix -> Entry_t */
    GQueue order;        /* Entry_t, used longest ago first */
    guint prefixes_max;
};

Residency_t *
Residency_create(guint prefixes_max)
{
    Residency_t *this = g_new0(Residency_t, 1);
    this->entries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    g_queue_init(&this->order);
    this->prefixes_max = prefixes_max;
    return this;
}

void
Residency_destroy(Residency_t *this)
{
    g_hash_table_destroy(this->entries);
    g_free(this);
}

static void
evict_if_full(Residency_t *this)
{
    if (g_hash_table_size(this->entries) < this->prefixes_max) {
        return;
    }
    Entry_t *oldest = g_queue_peek_head(&this->order);
    g_queue_unlink(&this->order, &oldest->link);
    g_hash_table_remove(this->entries, &oldest->prefix);
}

static Entry_t *
find_or_create_entry(Residency_t *this, guint64 prefix)
{
    Entry_t *entry = g_hash_table_lookup(this->entries, &prefix);
    if (entry) {
        g_queue_unlink(&this->order, &entry->link);
    }
    else {
        evict_if_full(this);
        entry = g_new0(Entry_t, 1);
        entry->prefix = prefix;
        entry->link.data = entry;
        g_hash_table_insert(this->entries, &entry->prefix, entry);
    }
    g_queue_push_tail_link(&this->order, &entry->link);
    return entry;
}

/* The entry's holder for an engine; else a free one, or the holder used
 * longest ago, which the caller overwrites. */
static Holder_t *
find_or_replace_holder(Entry_t *entry, guint64 upstream)
{
    Holder_t *oldest = &entry->holders[0];
    for (guint i = 0; i < entry->count; i++) {
        Holder_t *holder = &entry->holders[i];
        if (holder->upstream == upstream) {
            return holder;
        }
        if (holder->used_ms < oldest->used_ms) {
            oldest = holder;
        }
    }
    if (entry->count < RESIDENCY_HOLDERS_MAX) {
        return &entry->holders[entry->count++];
    }
    return oldest;
}

void
Residency_note(Residency_t *this, guint64 prefix, const Upstream_t *upstream,
               gint64 now_ms)
{
    Holder_t *holder = find_or_replace_holder(
        find_or_create_entry(this, prefix), upstream->hash);
    *holder = (Holder_t){upstream->hash, upstream->incarnation, now_ms,
                         EngineMemory_mark(&upstream->memory)};
}

void
Residency_forget(Residency_t *this, guint64 prefix, const Upstream_t *upstream)
{
    Entry_t *entry = g_hash_table_lookup(this->entries, &prefix);
    for (guint i = 0; entry && i < entry->count; i++) {
        if (entry->holders[i].upstream == upstream->hash) {
            entry->holders[i] = entry->holders[--entry->count];
            return;
        }
    }
}

const Holder_t *
Residency_holders(const Residency_t *this, guint64 prefix, guint *count)
{
    const Entry_t *entry = g_hash_table_lookup(this->entries, &prefix);
    *count = entry ? entry->count : 0;
    return entry ? entry->holders : NULL;
}

guint
Residency_size(const Residency_t *this)
{
    return g_hash_table_size(this->entries);
}
