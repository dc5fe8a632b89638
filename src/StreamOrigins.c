#include "StreamOrigins.h"

#include <string.h>

struct StreamOrigins {
    guint max;
    GHashTable *links; /* &digest -> GList in @order */
    GQueue order;      /* StreamOrigin_t, the last renewed at the tail */
    gint64 lost_ms;    /* when the last dropped entry expires; 0 for none */
};

static void
free_entry(StreamOrigin_t *entry)
{
    g_ref_string_release(entry->service);
    g_ref_string_release(entry->software);
    g_free(entry);
}

StreamOrigins_t *
StreamOrigins_create(guint max)
{
    StreamOrigins_t *this = g_new0(StreamOrigins_t, 1);
    this->max = max;
    this->links = g_hash_table_new(RequestDigest_hash, RequestDigest_equal);
    g_queue_init(&this->order);
    return this;
}

void
StreamOrigins_destroy(StreamOrigins_t *this)
{
    StreamOrigin_t *entry = NULL;
    g_hash_table_destroy(this->links);
    while ((entry = g_queue_pop_head(&this->order))) {
        free_entry(entry);
    }
    g_free(this);
}

static void
remove_link(StreamOrigins_t *this, GList *link)
{
    StreamOrigin_t *entry = link->data;
    g_hash_table_remove(this->links, &entry->digest);
    g_queue_delete_link(&this->order, link);
    free_entry(entry);
}

static StreamOrigin_t *
add_entry(StreamOrigins_t *this, const RequestDigest_t *digest,
          const char *service, const char *software)
{
    if (this->order.length >= this->max) {
        const StreamOrigin_t *oldest = this->order.head->data;
        this->lost_ms = MAX(this->lost_ms, oldest->expires_ms);
        remove_link(this, this->order.head);
    }
    StreamOrigin_t *entry = g_new0(StreamOrigin_t, 1);
    entry->digest = *digest;
    entry->service = g_ref_string_new_intern(service);
    entry->software = g_ref_string_new_intern(software);
    g_queue_push_tail(&this->order, entry);
    g_hash_table_insert(this->links, &entry->digest, this->order.tail);
    return entry;
}

static StreamOrigin_t *
renew_entry(StreamOrigins_t *this, GList *link)
{
    g_queue_unlink(&this->order, link);
    g_queue_push_tail_link(&this->order, link);
    return link->data;
}

/* A caller that uses an id again may mean either stream. */
static void
note_begun(StreamOrigin_t *entry, const char *service, const char *software)
{
    if (strcmp(entry->service, service) != 0 ||
        strcmp(entry->software, software) != 0) {
        g_ref_string_release(entry->software);
        entry->software = g_ref_string_new_intern("");
    }
}

StreamOrigin_t *
StreamOrigins_put(StreamOrigins_t *this, const RequestDigest_t *digest,
                  const char *service, const char *software, gint64 expires_ms,
                  gint64 now_ms)
{
    StreamOrigins_removeExpired(this, now_ms);
    GList *link = g_hash_table_lookup(this->links, digest);
    StreamOrigin_t *entry = link ? renew_entry(this, link)
                                 : add_entry(this, digest, service, software);
    note_begun(entry, service, software);
    entry->expires_ms = MAX(entry->expires_ms, expires_ms);
    entry->renewed_ms = now_ms;
    return entry;
}

StreamOrigin_t *
StreamOrigins_find(const StreamOrigins_t *this, const RequestDigest_t *digest,
                   gint64 now_ms)
{
    const GList *link = g_hash_table_lookup(this->links, digest);
    StreamOrigin_t *entry = link ? link->data : NULL;
    return entry && (entry->is_live || now_ms < entry->expires_ms) ? entry
                                                                   : NULL;
}

void
StreamOrigins_remove(StreamOrigins_t *this, const RequestDigest_t *digest)
{
    GList *link = g_hash_table_lookup(this->links, digest);
    if (link) {
        remove_link(this, link);
    }
}

/* Gives a stream that still runs the time again that it had. */
static void
extend_entry(StreamOrigins_t *this, GList *link, gint64 now_ms)
{
    StreamOrigin_t *entry = renew_entry(this, link);
    gint64 life_ms = entry->expires_ms - entry->renewed_ms;
    entry->renewed_ms = now_ms;
    entry->expires_ms = now_ms + MAX(life_ms, 1);
}

/* Entries expire about in the order in which they were renewed. */
void
StreamOrigins_removeExpired(StreamOrigins_t *this, gint64 now_ms)
{
    GList *head = this->order.head;
    while (head && now_ms >= ((StreamOrigin_t *)head->data)->expires_ms) {
        if (((StreamOrigin_t *)head->data)->is_live) {
            extend_entry(this, head, now_ms);
        }
        else {
            remove_link(this, head);
        }
        head = this->order.head;
    }
}

void
StreamOrigins_forEach(const StreamOrigins_t *this,
                      void (*call)(void *owner, StreamOrigin_t *entry),
                      void *owner)
{
    for (GList *link = this->order.head; link; link = link->next) {
        call(owner, link->data);
    }
}

gboolean
StreamOrigins_isComplete(const StreamOrigins_t *this, gint64 now_ms)
{
    return now_ms >= this->lost_ms;
}

guint
StreamOrigins_count(const StreamOrigins_t *this)
{
    return this->order.length;
}
