#include "ReplayEvents.h"

struct ReplayEvents {
    GArray *heap; /* ReplayEvent_t, a binary heap */
    guint64 order;
};

ReplayEvents_t *
ReplayEvents_create(void)
{
    ReplayEvents_t *this = g_new0(ReplayEvents_t, 1);
    this->heap = g_array_new(FALSE, FALSE, sizeof(ReplayEvent_t));
    return this;
}

void
ReplayEvents_destroy(ReplayEvents_t *this)
{
    g_array_unref(this->heap);
    g_free(this);
}

static gboolean
is_before(const ReplayEvent_t *left, const ReplayEvent_t *right)
{
    return left->at_us < right->at_us ||
           (left->at_us == right->at_us && left->order < right->order);
}

static ReplayEvent_t *
event_at(const ReplayEvents_t *this, guint index)
{
    return &g_array_index(this->heap, ReplayEvent_t, index);
}

static void
swap_events(const ReplayEvents_t *this, guint left, guint right)
{
    ReplayEvent_t copy = *event_at(this, left);
    *event_at(this, left) = *event_at(this, right);
    *event_at(this, right) = copy;
}

void
ReplayEvents_add(ReplayEvents_t *this, gint64 at_us, ReplayEventKind_t kind,
                 guint index)
{
    ReplayEvent_t event = {at_us, this->order++, kind, index};
    g_array_append_val(this->heap, event);
    guint heap_index = this->heap->len - 1;
    while (heap_index > 0 && is_before(event_at(this, heap_index),
                                       event_at(this, (heap_index - 1) / 2))) {
        swap_events(this, heap_index, (heap_index - 1) / 2);
        heap_index = (heap_index - 1) / 2;
    }
}

static guint
find_earliest(const ReplayEvents_t *this, guint index)
{
    guint earliest = index;
    for (guint child = 2 * index + 1;
         child <= 2 * index + 2 && child < this->heap->len; child++) {
        if (is_before(event_at(this, child), event_at(this, earliest))) {
            earliest = child;
        }
    }
    return earliest;
}

gboolean
ReplayEvents_pop(ReplayEvents_t *this, ReplayEvent_t *out)
{
    if (this->heap->len == 0) {
        return FALSE;
    }
    *out = *event_at(this, 0);
    swap_events(this, 0, this->heap->len - 1);
    g_array_set_size(this->heap, this->heap->len - 1);
    guint index = 0;
    guint earliest = find_earliest(this, index);
    while (earliest != index) {
        swap_events(this, index, earliest);
        index = earliest;
        earliest = find_earliest(this, index);
    }
    return TRUE;
}
