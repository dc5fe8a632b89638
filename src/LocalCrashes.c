#include "LocalCrashes.h"

/* Beyond this limit the oldest crash is dropped. */
#define CRASHES_MAX 256

typedef struct {
    guint64 crash;
    gint64 at_ms;
} LocalCrash_t;

struct LocalCrashes {
    GQueue queue; /* LocalCrash_t, oldest first */
};

LocalCrashes_t *
LocalCrashes_create(void)
{
    LocalCrashes_t *this = g_new0(LocalCrashes_t, 1);
    g_queue_init(&this->queue);
    return this;
}

void
LocalCrashes_destroy(LocalCrashes_t *this)
{
    g_queue_clear_full(&this->queue, g_free);
    g_free(this);
}

static GList *
find_crash(const LocalCrashes_t *this, guint64 crash)
{
    for (GList *link = this->queue.head; link; link = link->next) {
        if (((LocalCrash_t *)link->data)->crash == crash) {
            return link;
        }
    }
    return NULL;
}

void
LocalCrashes_add(LocalCrashes_t *this, guint64 crash, gint64 at_ms)
{
    if (find_crash(this, crash)) {
        return;
    }
    LocalCrash_t *entry = g_new0(LocalCrash_t, 1);
    entry->crash = crash;
    entry->at_ms = at_ms;
    g_queue_push_tail(&this->queue, entry);
    if (g_queue_get_length(&this->queue) > CRASHES_MAX) {
        g_free(g_queue_pop_head(&this->queue));
    }
}

gboolean
LocalCrashes_retract(LocalCrashes_t *this, guint64 crash, gint64 sent_ms)
{
    GList *link = find_crash(this, crash);
    if (!link || sent_ms <= ((LocalCrash_t *)link->data)->at_ms) {
        return FALSE;
    }
    g_free(link->data);
    g_queue_delete_link(&this->queue, link);
    return TRUE;
}
