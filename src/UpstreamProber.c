#include "UpstreamProber.h"

#include "Clock.h"
#include "HttpCall.h"
#include "Log.h"
#include "Random.h"

/* Interval at which the set is searched for suspected upstreams. */
#define TICK_MS 100
/* Number of routers that probe an upstream suspected by a peer: one of them
 * may have departed and another one may be cut off. */
#define PROBERS 3
/* How long the other routers wait for the result of those: the time of three
 * probes, of which the first two are not answered. */
#define PROBERS_TIMEOUT_MS 2500
/* Pause after the first unanswered probe; it doubles with each further one, up
 * to this many times. */
#define FIRST_PAUSE_MS 250
#define PAUSE_DOUBLINGS_MAX 4
/* While the path is lost, this many upstreams are probed again at this
 * interval, whatever their pauses: any of them shows that the path is back. */
#define LOST_PATH_PROBES 2
#define LOST_PATH_INTERVAL_MS 500

struct UpstreamProber {
    struct event_base *base;
    UpstreamProberSpec_t spec;
    UpstreamPath_t *path;
    GHashTable *probes; /* Upstream_t -> Probe_t */
    gint64 hastened_ms; /* when pauses were last ended early */
    struct event *tick;
};

typedef struct {
    UpstreamProber_t *owner;
    Upstream_t *upstream;
    NoticeOrigin_t origin;
    HttpCall_t *call; /* NULL during a pause */
    gint64 next_ms;
    gint64 asked_ms;       /* when the last probe was sent */
    gint64 failed_ms;      /* when the probe became needed */
    gint64 peers_until_ms; /* until then only other routers probe */
    guint probe_count;
    gboolean is_of_engine; /* the answer reports the state of an engine */
    gboolean is_of_silent; /* sent because a request had no event in time */
    gboolean is_reported;  /* the peers have been told of the suspicion */
} Probe_t;

static void
free_probe(gpointer data)
{
    Probe_t *probe = data;
    if (probe->call) {
        HttpCall_cancel(probe->call);
    }
    Upstream_unref(probe->upstream);
    g_free(probe);
}

static void
log_probe(const Probe_t *probe, const char *event, const char *reason)
{
    Log_begin(LOG_LEVEL_INFO, event);
    Log_text("upstream", probe->upstream->name->str);
    Log_text("reason", reason);
    Log_number("asked", probe->probe_count);
    Log_end();
}

static void
broadcast_reachable(const Probe_t *probe)
{
    Hint_t hint = {.kind = HINT_REACHABLE, .subject = probe->upstream->hash};
    if (Upstream_resolveSuspicion(probe->upstream)) {
        HintBroadcast_add(probe->owner->spec.hints, &hint);
    }
}

/* A peer's suspicion has been forwarded already when it was received. The
 * peers are not told of an upstream for as long as this router itself may have
 * no path to any. */
static void
report_suspicion(Probe_t *probe)
{
    Hint_t hint = {.kind = HINT_UNREACHABLE, .subject = probe->upstream->hash};
    if (probe->is_reported || !probe->upstream->suspect ||
        !UpstreamPath_hasWorkedSince(probe->owner->path, probe->failed_ms)) {
        return;
    }
    probe->is_reported = TRUE;
    if (Upstream_noteSuspicionReport(probe->upstream, Clock_nowMs())) {
        HintBroadcast_add(probe->owner->spec.hints, &hint);
    }
}

static void
log_suspicion(const Probe_t *probe)
{
    const Upstream_t *upstream = probe->upstream;
    Log_begin(LOG_LEVEL_WARNING, "upstream_doubted");
    Log_text("upstream", upstream->name->str);
    Log_text("reason", "silent");
    Log_number("asked", probe->probe_count);
    Log_number("proof_age_ms", Clock_nowMs() - upstream->last_answer_ms);
    Log_end();
}

/* Neither a request nor a probe of the upstream was answered. */
static void
suspect_silent(Probe_t *probe)
{
    if (Upstream_noteUnreachable(probe->upstream)) {
        log_suspicion(probe);
    }
    report_suspicion(probe);
}

/* The upstream may have started again since the entry of the list that this
 * router knows, with other software. */
static void
note_state(const Probe_t *probe, const EngineState_t *state)
{
    Upstream_t *upstream = probe->upstream;
    if (state->incarnation > 0 &&
        Upstream_noteIncarnation(upstream, state->incarnation,
                                 Clock_nowMs())) {
        log_probe(probe, "upstream_reborn", "answered");
    }
    /* What waits for an order to end may stand in neither list. */
    if (state->lists_runs && !state->loading) {
        EngineRuns_replace(upstream->runs, g_hash_table_ref(state->runs),
                           state->queued, probe->asked_ms);
    }
}

static void
read_state(const Probe_t *probe, const HttpAnswer_t *answer)
{
    const UpstreamProberSpec_t *spec = &probe->owner->spec;
    EngineState_t state = {
        .weights = g_string_new(NULL),
        .runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
    };
    if (spec->read_state && probe->is_of_engine &&
        spec->read_state(answer, &state)) {
        note_state(probe, &state);
    }
    g_hash_table_unref(state.runs);
    g_string_free(state.weights, TRUE);
}

static void
note_answer(Probe_t *probe, const HttpAnswer_t *answer)
{
    const UpstreamProberSpec_t *spec = &probe->owner->spec;
    if (probe->is_of_silent) {
        Counters_add(spec->counters, "upstream_silent_but_alive_total", NULL,
                     1);
    }
    read_state(probe, answer);
    Upstream_noteReachable(probe->upstream, Clock_nowMs());
    UpstreamNotices_applyAnswer(spec->notices, &probe->origin, answer);
    broadcast_reachable(probe);
    log_probe(probe, "upstream_reached", "answered");
}

/* Any answer, whatever its status, shows that the upstream is reachable. */
static void
on_answer(const HttpAnswer_t *answer, const GError *error, void *data)
{
    Probe_t *probe = data;
    probe->call = NULL;
    if (answer) {
        note_answer(probe, answer);
        return;
    }
    if (probe->upstream->probe_wanted) {
        suspect_silent(probe);
    }
    /* The upstream may have answered a request in the meantime. */
    probe->upstream->unanswered += probe->upstream->suspect ? 1 : 0;
    guint doublings = MIN(probe->probe_count, PAUSE_DOUBLINGS_MAX);
    probe->next_ms = Clock_nowMs() + (FIRST_PAUSE_MS << doublings);
    if (probe->probe_count <= 1) {
        log_probe(probe, "upstream_silent", error->message);
    }
}

/* Engines are probed at the path of their state: unlike a health check it does
 * not wait in the engine's queue. */
static const char *
probe_path(const UpstreamProber_t *this, const Upstream_t *upstream)
{
    const RouteConfig_t *config = RouteTable_config(this->spec.routes);
    const GString *name = upstream->serves->len > 0
                              ? g_ptr_array_index(upstream->serves, 0)
                              : NULL;
    const RouteService_t *service =
        config && name ? RouteConfig_findService(config, name->str) : NULL;
    if (!service || service->models->len > 0) {
        return this->spec.state_path;
    }
    return service->health_path->str;
}

static void
send_probe(UpstreamProber_t *this, Probe_t *probe)
{
    HttpHeader_t headers[] = {
        {this->spec.instance_header, probe->upstream->name->str},
        {NULL, NULL},
    };
    const char *path = probe_path(this, probe->upstream);
    HttpCallSpec_t spec = {
        .address = &probe->upstream->address,
        .method = EVHTTP_REQ_GET,
        .path = path,
        .headers = headers,
        .timeout_ms = this->spec.timeout_ms,
        .answer_max = HTTP_SHORT_ANSWER_MAX,
        .accepts_close_delimited = TRUE,
    };
    probe->probe_count++;
    probe->asked_ms = Clock_nowMs();
    probe->is_of_silent = probe->upstream->probe_wanted;
    probe->is_of_engine = path == this->spec.state_path;
    probe->origin = NoticeOrigin_begin(probe->upstream, NULL);
    Counters_add(this->spec.counters, "upstream_probes_total", NULL, 1);
    probe->call = HttpCall_start(this->base, &spec, on_answer, probe);
}

static gboolean
needs_probe(const Upstream_t *upstream)
{
    return upstream->suspect || upstream->probe_wanted;
}

static gboolean
is_finished(gpointer key, gpointer data, gpointer user)
{
    (void)key;
    (void)user;
    const Probe_t *probe = data;
    return !probe->call &&
           (!needs_probe(probe->upstream) || probe->upstream->removed);
}

static gboolean
is_prober(const UpstreamProber_t *this, const Upstream_t *upstream)
{
    return Membership_localRank(this->spec.membership, upstream->name->str,
                                NULL) < PROBERS;
}

static Probe_t *
create_probe(UpstreamProber_t *this, Upstream_t *upstream)
{
    Probe_t *probe = g_new0(Probe_t, 1);
    probe->owner = this;
    probe->upstream = Upstream_ref(upstream);
    probe->failed_ms = Clock_nowMs();
    if (!upstream->suspected_by_peer || upstream->probe_wanted) {
        UpstreamPath_noteFailure(this->path, probe->failed_ms);
    }
    if (upstream->suspected_by_peer && !is_prober(this, upstream)) {
        probe->peers_until_ms = Clock_nowMs() + PROBERS_TIMEOUT_MS;
    }
    return probe;
}

static gboolean
is_due(const Probe_t *probe)
{
    gint64 now_ms = Clock_nowMs();
    gboolean left_to_peers = probe->upstream->suspected_by_peer &&
                             !probe->upstream->probe_wanted &&
                             now_ms < probe->peers_until_ms;
    gboolean is_backed_off =
        UpstreamBackoff_leftMs(&probe->upstream->backoff, now_ms) > 0;
    return !probe->call && !left_to_peers && !is_backed_off &&
           now_ms >= probe->next_ms;
}

static Probe_t *
find_or_create_probe(UpstreamProber_t *this, Upstream_t *upstream)
{
    Probe_t *probe = g_hash_table_lookup(this->probes, upstream);
    if (!probe) {
        probe = create_probe(this, upstream);
        g_hash_table_insert(this->probes, upstream, probe);
    }
    return probe;
}

/* An upstream whose silence is probed may become suspected meanwhile, as a
 * connection to it fails. */
static void
find_suspects(UpstreamProber_t *this)
{
    const GPtrArray *all = UpstreamSet_all(this->spec.upstreams);
    for (guint i = 0; i < all->len; i++) {
        Upstream_t *upstream = g_ptr_array_index(all, i);
        if (needs_probe(upstream)) {
            report_suspicion(find_or_create_probe(this, upstream));
        }
    }
}

/* Ends the pauses of @count probes, beginning at a random one. */
static void
hasten_probes(const UpstreamProber_t *this, guint count)
{
    g_autoptr(GList) probes = g_hash_table_get_values(this->probes);
    guint length = g_list_length(probes);
    const GList *link =
        length > 0 ? g_list_nth(probes, Random_below(length)) : NULL;
    for (guint i = 0; i < MIN(count, length); i++) {
        Probe_t *probe = link->data;
        probe->next_ms = 0;
        link = link->next ? link->next : probes;
    }
}

static void
update_path(UpstreamProber_t *this)
{
    gint64 now_ms = Clock_nowMs();
    gboolean has_changed = UpstreamPath_update(this->path, now_ms);
    if (!UpstreamPath_isLost(this->path)) {
        if (has_changed) {
            hasten_probes(this, G_MAXUINT);
        }
    }
    else if (now_ms - this->hastened_ms >= LOST_PATH_INTERVAL_MS) {
        this->hastened_ms = now_ms;
        hasten_probes(this, LOST_PATH_PROBES);
    }
}

static void
on_tick(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    UpstreamProber_t *this = data;
    GHashTableIter iter;
    gpointer value = NULL;
    update_path(this);
    find_suspects(this);
    g_hash_table_foreach_remove(this->probes, is_finished, NULL);
    g_hash_table_iter_init(&iter, this->probes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Probe_t *probe = value;
        if (is_due(probe)) {
            send_probe(this, probe);
        }
    }
    Clock_arm(this->tick, TICK_MS);
}

UpstreamProber_t *
UpstreamProber_create(struct event_base *base,
                      const UpstreamProberSpec_t *spec)
{
    UpstreamProber_t *this = g_new0(UpstreamProber_t, 1);
    this->base = base;
    this->spec = *spec;
    this->path = UpstreamPath_create(spec->upstreams);
    this->probes =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, free_probe);
    this->tick = Clock_timer(base, on_tick, this);
    Clock_arm(this->tick, TICK_MS);
    return this;
}

UpstreamPath_t *
UpstreamProber_path(const UpstreamProber_t *this)
{
    return this->path;
}

void
UpstreamProber_setTimeout(UpstreamProber_t *this, gint64 timeout_ms)
{
    this->spec.timeout_ms = timeout_ms;
}

void
UpstreamProber_destroy(UpstreamProber_t *this)
{
    event_free(this->tick);
    g_hash_table_destroy(this->probes);
    UpstreamPath_destroy(this->path);
    g_free(this);
}
