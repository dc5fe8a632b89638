#include "CompletedRequests.h"

struct CompletedRequests {
    guint max;
    gint64 retain_ms;
    GHashTable *known; /* &digest -> link in requests */
    GQueue requests;   /* CompletedRequest_t, the oldest at the head */
};

typedef struct {
    RequestDigest_t digest;
    gint64 at_ms;
} CompletedRequest_t;

CompletedRequests_t *
CompletedRequests_create(guint max, gint64 retain_ms)
{
    CompletedRequests_t *this = g_new0(CompletedRequests_t, 1);
    this->max = max;
    this->retain_ms = retain_ms;
    this->known = g_hash_table_new(RequestDigest_hash, RequestDigest_equal);
    g_queue_init(&this->requests);
    return this;
}

void
CompletedRequests_destroy(CompletedRequests_t *this)
{
    g_hash_table_destroy(this->known);
    g_queue_clear_full(&this->requests, g_free);
    g_free(this);
}

static void
remove_request(CompletedRequests_t *this, GList *link)
{
    CompletedRequest_t *request = link->data;
    g_hash_table_remove(this->known, &request->digest);
    g_queue_delete_link(&this->requests, link);
    g_free(request);
}

static gboolean
is_expired(const CompletedRequests_t *this, const CompletedRequest_t *request,
           gint64 now_ms)
{
    return now_ms - request->at_ms > this->retain_ms;
}

void
CompletedRequests_note(CompletedRequests_t *this,
                       const RequestDigest_t *digest, gint64 now_ms)
{
    GList *link = g_hash_table_lookup(this->known, digest);
    if (link) {
        remove_request(this, link);
    }
    CompletedRequest_t *request = g_new0(CompletedRequest_t, 1);
    request->digest = *digest;
    request->at_ms = now_ms;
    g_queue_push_tail(&this->requests, request);
    g_hash_table_insert(this->known, &request->digest, this->requests.tail);
    while (g_queue_get_length(&this->requests) > this->max ||
           is_expired(this, this->requests.head->data, now_ms)) {
        remove_request(this, this->requests.head);
    }
}

gboolean
CompletedRequests_has(const CompletedRequests_t *this,
                      const RequestDigest_t *digest, gint64 now_ms)
{
    const GList *link = g_hash_table_lookup(this->known, digest);
    return link && !is_expired(this, link->data, now_ms);
}

gboolean
CompletedRequests_consume(CompletedRequests_t *this,
                          const RequestDigest_t *digest, gint64 now_ms)
{
    GList *link = g_hash_table_lookup(this->known, digest);
    if (!link) {
        return FALSE;
    }
    gboolean is_recent = !is_expired(this, link->data, now_ms);
    remove_request(this, link);
    return is_recent;
}
