#include "LoadShare.h"

#include "Clock.h"

/* A load changes within the time that a prompt takes to be read. */
#define TICK_MS 50
/* What a router that falls silent has told counts for so long. */
#define EXPIRY_MS 1000

struct LoadShare {
    UpstreamSet_t *upstreams;
    Membership_t *membership;
    GHashTable *reports; /* member's name -> Report_t */
    gboolean was_busy;   /* as it was last told */
    struct event *tick;
};

typedef struct {
    guint64 upstream; /* hash of its name */
    guint tokens;
    guint requests;
} Load_t;

/* The last message of one member. */
typedef struct {
    gint64 heard_ms;
    GArray *loads; /* Load_t */
} Report_t;

static void
free_report(gpointer data)
{
    Report_t *report = data;
    g_array_unref(report->loads);
    g_free(report);
}

static void
add_up(LoadShare_t *this)
{
    const GPtrArray *all = UpstreamSet_all(this->upstreams);
    g_autoptr(GHashTable) by_hash =
        g_hash_table_new(g_int64_hash, g_int64_equal);
    for (guint i = 0; i < all->len; i++) {
        Upstream_t *upstream = g_ptr_array_index(all, i);
        upstream->others_tokens = 0;
        upstream->others_requests = 0;
        g_hash_table_insert(by_hash, &upstream->hash, upstream);
    }
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, this->reports);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Report_t *report = value;
        for (guint i = 0; i < report->loads->len; i++) {
            const Load_t *load = &g_array_index(report->loads, Load_t, i);
            Upstream_t *upstream =
                g_hash_table_lookup(by_hash, &load->upstream);
            if (upstream) {
                upstream->others_tokens += load->tokens;
                upstream->others_requests += load->requests;
            }
        }
    }
}

void
LoadShare_take(LoadShare_t *this, const char *member,
               const Wt__UpstreamLoads *message)
{
    Report_t *report = g_new0(Report_t, 1);
    report->heard_ms = Clock_nowMs();
    report->loads = g_array_new(FALSE, FALSE, sizeof(Load_t));
    for (size_t i = 0; i < message->n_loads; i++) {
        Load_t load = {message->loads[i]->upstream, message->loads[i]->tokens,
                       message->loads[i]->requests};
        g_array_append_val(report->loads, load);
    }
    g_hash_table_replace(this->reports, g_strdup(member), report);
    add_up(this);
}

static gboolean
is_old(gpointer member, gpointer data, gpointer now_ms)
{
    (void)member;
    return *(gint64 *)now_ms - ((Report_t *)data)->heard_ms >= EXPIRY_MS;
}

static GPtrArray *
find_busy(const LoadShare_t *this)
{
    const GPtrArray *all = UpstreamSet_all(this->upstreams);
    GPtrArray *busy = g_ptr_array_new();
    for (guint i = 0; i < all->len; i++) {
        Upstream_t *upstream = g_ptr_array_index(all, i);
        if (upstream->in_flight > 0 || upstream->pending_tokens > 0) {
            g_ptr_array_add(busy, upstream);
        }
    }
    return busy;
}

static void
send_loads(LoadShare_t *this, const GPtrArray *busy)
{
    Wt__UpstreamLoad *loads = g_new(Wt__UpstreamLoad, busy->len + 1);
    Wt__UpstreamLoad **list = g_new(Wt__UpstreamLoad *, busy->len + 1);
    for (guint i = 0; i < busy->len; i++) {
        const Upstream_t *upstream = g_ptr_array_index(busy, i);
        wt__upstream_load__init(&loads[i]);
        loads[i].upstream = upstream->hash;
        loads[i].tokens = (guint32)MAX(upstream->pending_tokens, 0);
        loads[i].requests = upstream->in_flight;
        list[i] = &loads[i];
    }
    Wt__UpstreamLoads message = WT__UPSTREAM_LOADS__INIT;
    Wt__PeerMessage frame = WT__PEER_MESSAGE__INIT;
    message.n_loads = busy->len;
    message.loads = list;
    frame.body_case = WT__PEER_MESSAGE__BODY_LOADS;
    frame.loads = &message;
    Membership_sendAll(this->membership, &frame);
    g_free(list);
    g_free(loads);
}

static void
on_tick(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    LoadShare_t *this = data;
    gint64 now_ms = Clock_nowMs();
    if (g_hash_table_foreach_remove(this->reports, is_old, &now_ms) > 0) {
        add_up(this);
    }
    if (Membership_isMesh(this->membership)) {
        GPtrArray *busy = find_busy(this);
        if (busy->len > 0 || this->was_busy) {
            send_loads(this, busy);
        }
        this->was_busy = busy->len > 0;
        g_ptr_array_unref(busy);
    }
    Clock_arm(this->tick, TICK_MS);
}

LoadShare_t *
LoadShare_create(struct event_base *base, UpstreamSet_t *upstreams,
                 Membership_t *membership)
{
    LoadShare_t *this = g_new0(LoadShare_t, 1);
    this->upstreams = upstreams;
    this->membership = membership;
    this->reports =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_report);
    this->tick = Clock_timer(base, on_tick, this);
    Clock_arm(this->tick, TICK_MS);
    return this;
}

void
LoadShare_destroy(LoadShare_t *this)
{
    event_free(this->tick);
    g_hash_table_destroy(this->reports);
    g_free(this);
}
