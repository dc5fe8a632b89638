#include "LoadShare.h"

#include "Clock.h"

/* Loads change about as fast as an engine reads a prompt. */
#define SEND_INTERVAL_MS 50
/* How long the last report of a router counts after it stops sending. */
#define REPORT_LIFETIME_MS 1000

/* Prefixes in one message. A prefix that is left out costs a transfer. */
#define READS_MAX 256

struct LoadShare {
    LoadShareSpec_t spec;
    GHashTable *reports; /* member name -> Report_t */
    GArray *reads;       /* Read_t, prefixes read since the last message */
    gboolean sent_busy;  /* whether the last message had loads */
    struct event *send_timer;
};

typedef struct {
    guint64 upstream; /* hash of its name */
    guint tokens;     /* of prompts, not computed yet */
    guint requests;
    guint link_us; /* remaining time of transfers on the upstream's link */
} Load_t;

typedef struct {
    guint64 prefix;
    guint64 upstream; /* hash of its name */
} Read_t;

/* Loads in the last message of a member. */
typedef struct {
    gint64 received_ms;
    GArray *loads; /* Load_t */
    guint store_link_us;
} Report_t;

static void
free_report(gpointer data)
{
    Report_t *report = data;
    g_array_unref(report->loads);
    g_free(report);
}

static void
clear_peer_loads(LoadShare_t *this)
{
    const GPtrArray *all = UpstreamSet_all(this->spec.upstreams);
    for (guint i = 0; i < all->len; i++) {
        Upstream_t *upstream = g_ptr_array_index(all, i);
        upstream->peer_tokens = 0;
        upstream->peer_requests = 0;
        upstream->link.others_us = 0;
    }
}

static void
add_load(const LoadShare_t *this, const Load_t *load)
{
    Upstream_t *upstream =
        UpstreamSet_findByHash(this->spec.upstreams, load->upstream);
    if (upstream) {
        upstream->peer_tokens += load->tokens;
        upstream->peer_requests += load->requests;
        upstream->link.others_us += load->link_us;
    }
}

static void
sum_peer_loads(LoadShare_t *this)
{
    clear_peer_loads(this);
    gint64 store_us = 0;
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, this->reports);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Report_t *report = value;
        for (guint i = 0; i < report->loads->len; i++) {
            add_load(this, &g_array_index(report->loads, Load_t, i));
        }
        store_us += report->store_link_us;
    }
    CacheStore_setOthersUs(this->spec.store, store_us);
}

static Report_t *
make_report(const Wt__UpstreamLoads *message)
{
    Report_t *report = g_new0(Report_t, 1);
    report->received_ms = Clock_nowMs();
    report->store_link_us = message->store_link_us;
    report->loads = g_array_new(FALSE, FALSE, sizeof(Load_t));
    for (size_t i = 0; i < message->n_loads; i++) {
        const Wt__UpstreamLoad *peer_load = message->loads[i];
        Load_t load = {peer_load->upstream, peer_load->tokens,
                       peer_load->requests, peer_load->link_us};
        g_array_append_val(report->loads, load);
    }
    return report;
}

/* Taken tokens and prefix reads are increments since the previous message of
 * the peer, while the loads are totals. */
static void
apply_changes(const LoadShare_t *this, const Wt__UpstreamLoads *message)
{
    gint64 now_ms = Clock_nowMs();
    for (size_t i = 0; i < message->n_loads; i++) {
        const Wt__UpstreamLoad *peer_load = message->loads[i];
        Upstream_t *upstream =
            UpstreamSet_findByHash(this->spec.upstreams, peer_load->upstream);
        if (upstream) {
            EngineMemory_notePeerTokens(&upstream->memory,
                                        peer_load->taken_tokens);
        }
    }
    for (size_t i = 0; i < message->n_reads; i++) {
        const Wt__PrefixRead *read = message->reads[i];
        Upstream_t *upstream =
            UpstreamSet_findByHash(this->spec.upstreams, read->upstream);
        if (upstream) {
            Policy_learnPrefix(this->spec.policy, read->prefix, 0, upstream,
                               now_ms);
        }
    }
}

void
LoadShare_receive(LoadShare_t *this, const char *member,
                  const Wt__UpstreamLoads *message)
{
    g_hash_table_replace(this->reports, g_strdup(member),
                         make_report(message));
    apply_changes(this, message);
    sum_peer_loads(this);
}

void
LoadShare_noteRead(LoadShare_t *this, guint64 prefix,
                   const Upstream_t *upstream)
{
    Read_t read = {prefix, upstream->hash};
    if (this->reads->len < READS_MAX) {
        g_array_append_val(this->reads, read);
    }
}

static gboolean
is_expired(gpointer member, gpointer data, gpointer now_ms)
{
    (void)member;
    return *(gint64 *)now_ms - ((Report_t *)data)->received_ms >=
           REPORT_LIFETIME_MS;
}

static gboolean
is_busy(const Upstream_t *upstream, gint64 now_us)
{
    return upstream->in_flight > 0 || upstream->pending_tokens > 0 ||
           upstream->memory.unsent_tokens > 0 ||
           TransferLink_localUs(&upstream->link, now_us) > 0;
}

static GPtrArray *
find_busy_upstreams(const LoadShare_t *this)
{
    const GPtrArray *all = UpstreamSet_all(this->spec.upstreams);
    GPtrArray *busy = g_ptr_array_new();
    gint64 now_us = Clock_nowUs();
    for (guint i = 0; i < all->len; i++) {
        Upstream_t *upstream = g_ptr_array_index(all, i);
        if (is_busy(upstream, now_us)) {
            g_ptr_array_add(busy, upstream);
        }
    }
    return busy;
}

static void
fill_load(Wt__UpstreamLoad *load, Upstream_t *upstream, gint64 now_us)
{
    wt__upstream_load__init(load);
    load->upstream = upstream->hash;
    load->tokens = (guint32)MAX(upstream->pending_tokens, 0);
    load->requests = upstream->in_flight;
    load->link_us = (guint32)TransferLink_localUs(&upstream->link, now_us);
    load->taken_tokens = upstream->memory.unsent_tokens;
    upstream->memory.unsent_tokens = 0;
}

static void
fill_read(Wt__PrefixRead *out, const Read_t *read)
{
    wt__prefix_read__init(out);
    out->prefix = read->prefix;
    out->upstream = read->upstream;
}

static void
send_loads(LoadShare_t *this, const GPtrArray *busy)
{
    gint64 now_us = Clock_nowUs();
    guint read_count = this->reads->len;
    g_autofree Wt__UpstreamLoad *loads = g_new(Wt__UpstreamLoad, busy->len);
    g_autofree Wt__UpstreamLoad **load_list =
        g_new(Wt__UpstreamLoad *, busy->len);
    g_autofree Wt__PrefixRead *reads = g_new(Wt__PrefixRead, read_count);
    g_autofree Wt__PrefixRead **read_list =
        g_new(Wt__PrefixRead *, read_count);
    for (guint i = 0; i < busy->len; i++) {
        fill_load(&loads[i], g_ptr_array_index(busy, i), now_us);
        load_list[i] = &loads[i];
    }
    for (guint i = 0; i < read_count; i++) {
        fill_read(&reads[i], &g_array_index(this->reads, Read_t, i));
        read_list[i] = &reads[i];
    }
    Wt__UpstreamLoads message = WT__UPSTREAM_LOADS__INIT;
    Wt__PeerMessage frame = WT__PEER_MESSAGE__INIT;
    message.n_loads = busy->len;
    message.loads = load_list;
    message.n_reads = read_count;
    message.reads = read_list;
    message.store_link_us =
        (guint32)CacheStore_localUs(this->spec.store, now_us);
    frame.body_case = WT__PEER_MESSAGE__BODY_LOADS;
    frame.loads = &message;
    Membership_broadcast(this->spec.membership, &frame);
    g_array_set_size(this->reads, 0);
}

static void
on_tick(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    LoadShare_t *this = data;
    gint64 now_ms = Clock_nowMs();
    if (g_hash_table_foreach_remove(this->reports, is_expired, &now_ms) > 0) {
        sum_peer_loads(this);
    }
    if (Membership_isMesh(this->spec.membership)) {
        GPtrArray *busy = find_busy_upstreams(this);
        if (busy->len > 0 || this->sent_busy) {
            send_loads(this, busy);
        }
        this->sent_busy = busy->len > 0;
        g_ptr_array_unref(busy);
    }
    Clock_arm(this->send_timer, SEND_INTERVAL_MS);
}

LoadShare_t *
LoadShare_create(struct event_base *base, const LoadShareSpec_t *spec)
{
    LoadShare_t *this = g_new0(LoadShare_t, 1);
    this->spec = *spec;
    this->reads = g_array_new(FALSE, FALSE, sizeof(Read_t));
    this->reports =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_report);
    this->send_timer = Clock_timer(base, on_tick, this);
    Clock_arm(this->send_timer, SEND_INTERVAL_MS);
    return this;
}

void
LoadShare_destroy(LoadShare_t *this)
{
    event_free(this->send_timer);
    g_array_unref(this->reads);
    g_hash_table_destroy(this->reports);
    g_free(this);
}
