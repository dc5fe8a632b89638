#include "OpenRequests.h"

typedef struct {
    OpenRequestEnd_t end;
} Entry_t;

struct OpenRequests {
    GHashTable *entries; /* request -> Entry_t, owned */
};

OpenRequests_t *
OpenRequests_create(void)
{
    OpenRequests_t *this = g_new0(OpenRequests_t, 1);
    this->entries =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    return this;
}

void
OpenRequests_destroy(OpenRequests_t *this)
{
    g_hash_table_destroy(this->entries);
    g_free(this);
}

void
OpenRequests_add(OpenRequests_t *this, void *request, OpenRequestEnd_t end)
{
    Entry_t *entry = g_new(Entry_t, 1);
    entry->end = end;
    g_hash_table_replace(this->entries, request, entry);
}

void
OpenRequests_remove(OpenRequests_t *this, void *request)
{
    g_hash_table_remove(this->entries, request);
}

/* The end of a request may be that of others. */
void
OpenRequests_endAll(OpenRequests_t *this)
{
    GList *requests = g_hash_table_get_keys(this->entries);
    for (const GList *link = requests; link; link = link->next) {
        const Entry_t *entry = g_hash_table_lookup(this->entries, link->data);
        if (entry) {
            entry->end(link->data);
        }
    }
    g_list_free(requests);
}
