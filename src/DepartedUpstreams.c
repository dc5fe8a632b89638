#include "DepartedUpstreams.h"

/* Covers the age of the copy that a store is restored from (seconds) and the
 * outage before it (minutes). */
#define RETAIN_MS 300000
/* More than depart within RETAIN_MS; beyond it the oldest are removed. */
#define DEPARTED_MAX 16384

typedef struct {
    GString *name;
    guint64 incarnation;
    guint64 epoch;
    gint64 departed_ms;
    gboolean left; /* it had announced that it leaves */
} Entry_t;

struct DepartedUpstreams {
    GHashTable *entries; /* name -> Entry_t */
    GQueue order;        /* of Entry_t, oldest at the head */
};

DepartedUpstreams_t *
DepartedUpstreams_create(void)
{
    DepartedUpstreams_t *this = g_new0(DepartedUpstreams_t, 1);
    this->entries = g_hash_table_new(g_str_hash, g_str_equal);
    g_queue_init(&this->order);
    return this;
}

static void
free_entry(gpointer data)
{
    Entry_t *entry = data;
    g_string_free(entry->name, TRUE);
    g_free(entry);
}

void
DepartedUpstreams_destroy(DepartedUpstreams_t *this)
{
    g_hash_table_destroy(this->entries);
    g_queue_clear_full(&this->order, free_entry);
    g_free(this);
}

static void
remove_entry(DepartedUpstreams_t *this, Entry_t *entry)
{
    g_hash_table_remove(this->entries, entry->name->str);
    g_queue_remove(&this->order, entry);
    free_entry(entry);
}

static gboolean
must_remove_oldest(const DepartedUpstreams_t *this, gint64 now_ms)
{
    const Entry_t *oldest = g_queue_peek_head((GQueue *)&this->order);
    return oldest && (now_ms - oldest->departed_ms > RETAIN_MS ||
                      this->order.length >= DEPARTED_MAX);
}

void
DepartedUpstreams_note(DepartedUpstreams_t *this, const Upstream_t *upstream,
                       guint64 epoch, gint64 now_ms)
{
    DepartedUpstreams_remove(this, upstream->name->str);
    while (must_remove_oldest(this, now_ms)) {
        remove_entry(this, g_queue_peek_head(&this->order));
    }
    Entry_t *entry = g_new0(Entry_t, 1);
    entry->name = g_string_new(upstream->name->str);
    entry->incarnation = upstream->incarnation;
    entry->epoch = epoch;
    entry->departed_ms = now_ms;
    entry->left = upstream->leaving;
    g_hash_table_insert(this->entries, entry->name->str, entry);
    g_queue_push_tail(&this->order, entry);
}

void
DepartedUpstreams_remove(DepartedUpstreams_t *this, const char *name)
{
    Entry_t *entry = g_hash_table_lookup(this->entries, name);
    if (entry) {
        remove_entry(this, entry);
    }
}

DepartedCheck_t
DepartedUpstreams_check(const DepartedUpstreams_t *this, const char *name,
                        guint64 incarnation, guint64 epoch)
{
    const Entry_t *entry = g_hash_table_lookup(this->entries, name);
    if (!entry || incarnation > entry->incarnation) {
        return DEPARTED_NOT;
    }
    if (entry->left) {
        return DEPARTED_LEFT;
    }
    return epoch > entry->epoch ? DEPARTED_LAPSED : DEPARTED_NOT;
}
