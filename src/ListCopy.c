#include "ListCopy.h"

#include <string.h>

/* The log of changes holds CHANGES_BYTES_MIN and CHANGES_PER_COPY times the
 * bytes of the copy, as all upstreams may be added at once. A reader that
 * needs older changes restarts its list. */
#define CHANGES_BYTES_MIN (1U << 20)
#define CHANGES_PER_COPY 2
/* Memory of an entry besides its key and value, about. */
#define ENTRY_BYTES 240

struct ListCopy {
    GTree *newest;                 /* key -> KeyedRecord_t */
    gsize newest_bytes;            /* of these records */
    GQueue *changes;               /* KeyedRecord_t, oldest first */
    gsize changes_bytes;           /* of these records */
    StorePosition_t changes_start; /* @changes has all changes from here */
    gboolean changes_started;
};

static gint
compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
    (void)data;
    return strcmp(a, b);
}

ListCopy_t *
ListCopy_create(void)
{
    ListCopy_t *this = g_new0(ListCopy_t, 1);
    this->newest = g_tree_new_full(compare_keys, NULL, NULL, KeyedRecord_free);
    this->changes = g_queue_new();
    return this;
}

void
ListCopy_destroy(ListCopy_t *this)
{
    g_tree_destroy(this->newest);
    g_queue_free_full(this->changes, KeyedRecord_free);
    g_free(this);
}

static gsize
entry_bytes(const KeyedRecord_t *record)
{
    gsize value = record->value ? g_bytes_get_size(record->value) : 0;
    return ENTRY_BYTES + record->key->len + value;
}

static void
forget_bytes(ListCopy_t *this, const char *key)
{
    const KeyedRecord_t *replaced = g_tree_lookup(this->newest, key);
    this->newest_bytes -= replaced ? entry_bytes(replaced) : 0;
}

static KeyedRecord_t *
copy_record(const KeyedRecord_t *record)
{
    GBytes *value = record->value ? g_bytes_ref(record->value) : NULL;
    return KeyedRecord_create(record->key->str, record->key->len, value,
                              record->position);
}

void
ListCopy_put(ListCopy_t *this, const KeyedRecord_t *record)
{
    forget_bytes(this, record->key->str);
    if (!record->value) {
        g_tree_remove(this->newest, record->key->str);
        return;
    }
    KeyedRecord_t *stored = copy_record(record);
    this->newest_bytes += entry_bytes(stored);
    g_tree_replace(this->newest, stored->key->str, stored);
}

static void
drop_oldest_change(ListCopy_t *this)
{
    KeyedRecord_t *oldest = g_queue_pop_head(this->changes);
    this->changes_bytes -= entry_bytes(oldest);
    this->changes_start = StorePosition_plus(oldest->position, 1);
    KeyedRecord_free(oldest);
}

void
ListCopy_noteChange(ListCopy_t *this, const KeyedRecord_t *record)
{
    gsize max_bytes =
        CHANGES_BYTES_MIN + CHANGES_PER_COPY * this->newest_bytes;
    g_queue_push_tail(this->changes, copy_record(record));
    this->changes_bytes += entry_bytes(record);
    while (this->changes_bytes > max_bytes) {
        drop_oldest_change(this);
    }
}

void
ListCopy_startChanges(ListCopy_t *this, StorePosition_t end)
{
    g_queue_clear_full(this->changes, KeyedRecord_free);
    this->changes_bytes = 0;
    this->changes_start = end;
    this->changes_started = TRUE;
}

guint
ListCopy_countKeys(const ListCopy_t *this)
{
    return (guint)g_tree_nnodes(this->newest);
}

static gboolean
knows_changes_since(const ListCopy_t *this, const ListCursor_t *cursor)
{
    return this->changes_started &&
           (*cursor->after == '\0' ||
            StorePosition_compare(cursor->from, this->changes_start) >= 0);
}

/* Adds only changes of keys up to the cursor: the records of later keys are
 * read from the copy itself. */
static gsize
append_changes(const ListCopy_t *this, const ListCursor_t *cursor,
               GPtrArray *out)
{
    gsize bytes = 0;
    for (const GList *node = this->changes->head; node; node = node->next) {
        const KeyedRecord_t *change = node->data;
        if (StorePosition_compare(change->position, cursor->from) >= 0 &&
            strcmp(change->key->str, cursor->after) <= 0) {
            g_ptr_array_add(out, copy_record(change));
            bytes += change->value ? g_bytes_get_size(change->value) : 0;
        }
    }
    return bytes;
}

static void
append_next_keys(const ListCopy_t *this, const ListCursor_t *cursor,
                 gsize max_bytes, ListPage_t *out)
{
    GTreeNode *node = g_tree_upper_bound(this->newest, cursor->after);
    gsize bytes = 0;
    while (node && bytes <= max_bytes) {
        const KeyedRecord_t *record = g_tree_node_value(node);
        g_ptr_array_add(out->page.records, copy_record(record));
        bytes += record->key->len + g_bytes_get_size(record->value);
        out->reached = record->key->str;
        node = g_tree_node_next(node);
    }
    out->page.more = node != NULL;
}

gboolean
ListCopy_readPage(const ListCopy_t *this, const ListCursor_t *cursor,
                  gsize max_bytes, ListPage_t *out)
{
    if (!knows_changes_since(this, cursor)) {
        return FALSE;
    }
    out->page.records = g_ptr_array_new_with_free_func(KeyedRecord_free);
    out->reached = cursor->after;
    gsize change_bytes = *cursor->after == '\0'
                             ? 0
                             : append_changes(this, cursor, out->page.records);
    append_next_keys(this, cursor, max_bytes - MIN(change_bytes, max_bytes),
                     out);
    return TRUE;
}

gboolean
ListCopy_readChanges(const ListCopy_t *this, StorePosition_t from,
                     gsize max_bytes, GPtrArray *out, StorePosition_t *end)
{
    gsize bytes = 0;
    if (!this->changes_started ||
        StorePosition_compare(from, this->changes_start) < 0) {
        return FALSE;
    }
    for (GList *node = this->changes->head; node; node = node->next) {
        KeyedRecord_t *change = node->data;
        if (StorePosition_compare(change->position, from) < 0) {
            continue;
        }
        if (bytes > max_bytes) {
            *end = change->position;
            return TRUE;
        }
        g_ptr_array_add(out, change);
        bytes += change->key->len;
        bytes += change->value ? g_bytes_get_size(change->value) : 0;
    }
    return TRUE;
}
