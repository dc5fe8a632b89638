#include "StreamMover.h"

#include "Clock.h"

/* Interval at which streams are checked; delays a move by at most this much
 * beyond MOVE_DELAY_MS. */
#define POLL_INTERVAL_MS 50

struct StreamMover {
    const UpstreamSet_t *upstreams;
    RetryBudget_t *budget;
    GHashTable *streams; /* stream -> MovableClass_t, not owned */
    struct event *poll_timer;
};

static guint
count_usable(const StreamMover_t *this, const char *target, gint64 now_ms)
{
    const GPtrArray *serving =
        UpstreamSet_findServing(this->upstreams, ROLE_SERVICE, target);
    guint count = 0;
    for (guint i = 0; i < serving->len; i++) {
        const Upstream_t *upstream = g_ptr_array_index(serving, i);
        count += Upstream_isUsable(upstream, now_ms) ? 1 : 0;
    }
    return count;
}

static gboolean
is_due(const StreamMover_t *this, const void *stream,
       const MovableClass_t *class, gint64 now_ms)
{
    const Upstream_t *upstream = class->upstream(stream);
    return upstream &&
           Upstream_unloadingMs(upstream, now_ms) >= MOVE_DELAY_MS &&
           RetryBudget_hasHeadroom(this->budget, class->target(stream)) &&
           count_usable(this, class->target(stream), now_ms) >=
               MOVE_TARGETS_MIN;
}

/* Iterates over a copy of the keys, as a move may end streams, which removes
 * them from the table. */
void
StreamMover_tick(StreamMover_t *this, gint64 now_ms)
{
    g_autoptr(GList) streams = g_hash_table_get_keys(this->streams);
    for (GList *link = streams; link; link = link->next) {
        const MovableClass_t *class =
            g_hash_table_lookup(this->streams, link->data);
        if (class && is_due(this, link->data, class, now_ms)) {
            class->move(link->data);
        }
    }
}

static void
on_poll(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    StreamMover_t *this = data;
    StreamMover_tick(this, Clock_nowMs());
    Clock_arm(this->poll_timer, POLL_INTERVAL_MS);
}

StreamMover_t *
StreamMover_create(struct event_base *base, const UpstreamSet_t *upstreams,
                   RetryBudget_t *budget)
{
    StreamMover_t *this = g_new0(StreamMover_t, 1);
    this->upstreams = upstreams;
    this->budget = budget;
    this->streams = g_hash_table_new(g_direct_hash, g_direct_equal);
    this->poll_timer = Clock_timer(base, on_poll, this);
    Clock_arm(this->poll_timer, POLL_INTERVAL_MS);
    return this;
}

void
StreamMover_destroy(StreamMover_t *this)
{
    event_free(this->poll_timer);
    g_hash_table_destroy(this->streams);
    g_free(this);
}

void
StreamMover_add(StreamMover_t *this, void *stream, const MovableClass_t *class)
{
    g_hash_table_replace(this->streams, stream, (gpointer) class);
}

void
StreamMover_remove(StreamMover_t *this, void *stream)
{
    g_hash_table_remove(this->streams, stream);
}
