#include "StreamMover.h"

#include "Clock.h"

/* How often streams are looked through: adds so much to MOVE_AFTER_MS at the
 * most. */
#define TICK_MS 50

struct StreamMover {
    const UpstreamSet_t *upstreams;
    RetryBudget_t *budget;
    GHashTable *streams; /* stream -> MovableClass_t, which is not owned */
    struct event *tick;
};

static guint
count_targets(const StreamMover_t *this, const char *target, gint64 now_ms)
{
    const GPtrArray *serving =
        UpstreamSet_serving(this->upstreams, ROLE_SERVICE, target);
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
           Upstream_unloadingMs(upstream, now_ms) >= MOVE_AFTER_MS &&
           RetryBudget_hasSpare(this->budget, class->target(stream)) &&
           count_targets(this, class->target(stream), now_ms) >=
               MOVE_TARGETS_MIN;
}

/* A move may end a stream, which takes it out of the table. */
void
StreamMover_tick(StreamMover_t *this, gint64 now_ms)
{
    g_autoptr(GList) streams = g_hash_table_get_keys(this->streams);
    for (GList *at = streams; at; at = at->next) {
        const MovableClass_t *class =
            g_hash_table_lookup(this->streams, at->data);
        if (class && is_due(this, at->data, class, now_ms)) {
            class->move(at->data);
        }
    }
}

static void
on_tick(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    StreamMover_t *this = data;
    StreamMover_tick(this, Clock_nowMs());
    Clock_arm(this->tick, TICK_MS);
}

StreamMover_t *
StreamMover_create(struct event_base *base, const UpstreamSet_t *upstreams,
                   RetryBudget_t *budget)
{
    StreamMover_t *this = g_new0(StreamMover_t, 1);
    this->upstreams = upstreams;
    this->budget = budget;
    this->streams = g_hash_table_new(g_direct_hash, g_direct_equal);
    this->tick = Clock_timer(base, on_tick, this);
    Clock_arm(this->tick, TICK_MS);
    return this;
}

void
StreamMover_destroy(StreamMover_t *this)
{
    event_free(this->tick);
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
