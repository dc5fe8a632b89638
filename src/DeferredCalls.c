#include "DeferredCalls.h"

typedef struct {
    DeferredCall_t call;
    void *data;
} Entry_t;

struct DeferredCalls {
    struct event *event;
    GArray *entries;
};

/* Calls that are added during the run are made in the same run. */
static void
run_entries(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    DeferredCalls_t *this = data;
    for (guint i = 0; i < this->entries->len; i++) {
        Entry_t entry = g_array_index(this->entries, Entry_t, i);
        if (entry.call) {
            entry.call(entry.data);
        }
    }
    g_array_set_size(this->entries, 0);
}

DeferredCalls_t *
DeferredCalls_create(struct event_base *base)
{
    DeferredCalls_t *this = g_new0(DeferredCalls_t, 1);
    this->event = event_new(base, -1, 0, run_entries, this);
    this->entries = g_array_new(FALSE, FALSE, sizeof(Entry_t));
    return this;
}

void
DeferredCalls_destroy(DeferredCalls_t *this)
{
    event_free(this->event);
    g_array_unref(this->entries);
    g_free(this);
}

void
DeferredCalls_add(DeferredCalls_t *this, DeferredCall_t call, void *data)
{
    Entry_t entry = {call, data};
    if (this->entries->len == 0) {
        event_active(this->event, 0, 0);
    }
    g_array_append_val(this->entries, entry);
}

void
DeferredCalls_remove(DeferredCalls_t *this, const void *data)
{
    for (guint i = 0; i < this->entries->len; i++) {
        Entry_t *entry = &g_array_index(this->entries, Entry_t, i);
        if (entry->data == data) {
            entry->call = NULL;
        }
    }
}
