#include "CountedCrashes.h"

/* The oldest are forgotten first. */
#define COUNTED_MAX 256

typedef struct {
    guint64 crash;
    gint64 at_ms;
} Counted_t;

struct CountedCrashes {
    GQueue queue; /* Counted_t, the oldest at the head */
};

CountedCrashes_t *
CountedCrashes_create(void)
{
    CountedCrashes_t *this = g_new0(CountedCrashes_t, 1);
    g_queue_init(&this->queue);
    return this;
}

void
CountedCrashes_destroy(CountedCrashes_t *this)
{
    g_queue_clear_full(&this->queue, g_free);
    g_free(this);
}

static GList *
find(const CountedCrashes_t *this, guint64 crash)
{
    for (GList *link = this->queue.head; link; link = link->next) {
        if (((Counted_t *)link->data)->crash == crash) {
            return link;
        }
    }
    return NULL;
}

void
CountedCrashes_add(CountedCrashes_t *this, guint64 crash, gint64 at_ms)
{
    if (find(this, crash)) {
        return;
    }
    Counted_t *counted = g_new0(Counted_t, 1);
    counted->crash = crash;
    counted->at_ms = at_ms;
    g_queue_push_tail(&this->queue, counted);
    if (g_queue_get_length(&this->queue) > COUNTED_MAX) {
        g_free(g_queue_pop_head(&this->queue));
    }
}

gboolean
CountedCrashes_remove(CountedCrashes_t *this, guint64 crash, gint64 sent_ms)
{
    GList *link = find(this, crash);
    if (!link || sent_ms <= ((Counted_t *)link->data)->at_ms) {
        return FALSE;
    }
    g_free(link->data);
    g_queue_delete_link(&this->queue, link);
    return TRUE;
}
