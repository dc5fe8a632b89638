#include "ListCopy.h"

#include <string.h>

/* Changes that are kept beside two for each key: all upstreams may come at
 * once. Who asks for older ones begins anew. */
#define CHANGES_LEAST 4096
#define CHANGES_PER_KEY 2

struct ListCopy {
    GTree *newest;         /* key -> KeyedRecord_t */
    GQueue *changes;       /* KeyedRecord_t, the oldest first */
    StorePosition_t start; /* changes are known from here on */
    gboolean begun;
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
    if (!record->value) {
        g_tree_remove(this->newest, record->key->str);
        return;
    }
    KeyedRecord_t *kept = copy_record(record);
    g_tree_replace(this->newest, kept->key->str, kept);
}

void
ListCopy_noteChange(ListCopy_t *this, const KeyedRecord_t *record)
{
    guint most = CHANGES_LEAST + CHANGES_PER_KEY * ListCopy_count(this);
    g_queue_push_tail(this->changes, copy_record(record));
    if (this->changes->length > most) {
        KeyedRecord_t *oldest = g_queue_pop_head(this->changes);
        this->start = StorePosition_plus(oldest->position, 1);
        KeyedRecord_free(oldest);
    }
}

void
ListCopy_begin(ListCopy_t *this, StorePosition_t end)
{
    g_queue_clear_full(this->changes, KeyedRecord_free);
    this->start = end;
    this->begun = TRUE;
}

guint
ListCopy_count(const ListCopy_t *this)
{
    return (guint)g_tree_nnodes(this->newest);
}

static gboolean
has_changes_since(const ListCopy_t *this, const ListPlace_t *place)
{
    return this->begun &&
           (*place->after == '\0' ||
            StorePosition_compare(place->from, this->start) >= 0);
}

/* Changes of keys behind the place come with their pages. */
static gsize
add_changes(const ListCopy_t *this, const ListPlace_t *place, GPtrArray *out)
{
    gsize bytes = 0;
    for (const GList *at = this->changes->head; at; at = at->next) {
        const KeyedRecord_t *change = at->data;
        if (StorePosition_compare(change->position, place->from) >= 0 &&
            strcmp(change->key->str, place->after) <= 0) {
            g_ptr_array_add(out, copy_record(change));
            bytes += change->value ? g_bytes_get_size(change->value) : 0;
        }
    }
    return bytes;
}

static void
add_next(const ListCopy_t *this, const ListPlace_t *place, gsize left,
         ListPart_t *out)
{
    GTreeNode *node = g_tree_upper_bound(this->newest, place->after);
    gsize bytes = 0;
    while (node && bytes <= left) {
        const KeyedRecord_t *record = g_tree_node_value(node);
        g_ptr_array_add(out->page.records, copy_record(record));
        bytes += record->key->len + g_bytes_get_size(record->value);
        out->reached = record->key->str;
        node = g_tree_node_next(node);
    }
    out->page.more = node != NULL;
}

gboolean
ListCopy_read(const ListCopy_t *this, const ListPlace_t *place, gsize most,
              ListPart_t *out)
{
    if (!has_changes_since(this, place)) {
        return FALSE;
    }
    out->page.records = g_ptr_array_new_with_free_func(KeyedRecord_free);
    out->reached = place->after;
    gsize changed = *place->after == '\0'
                        ? 0
                        : add_changes(this, place, out->page.records);
    add_next(this, place, most - MIN(changed, most), out);
    return TRUE;
}

gboolean
ListCopy_since(const ListCopy_t *this, StorePosition_t from, gsize most,
               GPtrArray *out, StorePosition_t *end)
{
    gsize bytes = 0;
    if (!this->begun || StorePosition_compare(from, this->start) < 0) {
        return FALSE;
    }
    for (GList *at = this->changes->head; at; at = at->next) {
        KeyedRecord_t *change = at->data;
        if (StorePosition_compare(change->position, from) < 0) {
            continue;
        }
        if (bytes > most) {
            *end = change->position;
            return TRUE;
        }
        g_ptr_array_add(out, change);
        bytes += change->key->len;
        bytes += change->value ? g_bytes_get_size(change->value) : 0;
    }
    return TRUE;
}
