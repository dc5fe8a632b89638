#include "TurnEnd.h"

typedef struct {
    TurnEndCall_t call;
    void *data;
} Entry_t;

struct TurnEnd {
    struct event *event;
    GArray *entries;
};

/* Entries that are added meanwhile are called in this run as well. */
static void
on_end(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    TurnEnd_t *this = data;
    for (guint i = 0; i < this->entries->len; i++) {
        Entry_t entry = g_array_index(this->entries, Entry_t, i);
        if (entry.call) {
            entry.call(entry.data);
        }
    }
    g_array_set_size(this->entries, 0);
}

TurnEnd_t *
TurnEnd_create(struct event_base *base)
{
    TurnEnd_t *this = g_new0(TurnEnd_t, 1);
    this->event = event_new(base, -1, 0, on_end, this);
    this->entries = g_array_new(FALSE, FALSE, sizeof(Entry_t));
    return this;
}

void
TurnEnd_destroy(TurnEnd_t *this)
{
    event_free(this->event);
    g_array_unref(this->entries);
    g_free(this);
}

void
TurnEnd_add(TurnEnd_t *this, TurnEndCall_t call, void *data)
{
    Entry_t entry = {call, data};
    if (this->entries->len == 0) {
        event_active(this->event, 0, 0);
    }
    g_array_append_val(this->entries, entry);
}

void
TurnEnd_remove(TurnEnd_t *this, const void *data)
{
    for (guint i = 0; i < this->entries->len; i++) {
        Entry_t *entry = &g_array_index(this->entries, Entry_t, i);
        if (entry->data == data) {
            entry->call = NULL;
        }
    }
}
