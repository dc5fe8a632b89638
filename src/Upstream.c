#include "Upstream.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Assumed until a value is learned; typical of a mid-sized engine. */
#define INITIAL_PREFILL_US_PER_TOKEN 50.0
#define EJECTION_DOUBLINGS_MAX 5
/* Half-life of a learned wait: a queue of requests that take a few hundred
 * milliseconds each has changed by then. */
#define WAIT_HALF_LIFE_MS 400.0
/* Weight of a new observation in the learned wait. */
#define WAIT_GAIN 0.4
/* Weight of a new observation in the learned run time. The average covers
 * about 20 requests, as short and long ones come mixed. */
#define RUN_GAIN 0.05
/* Time after a suspicion was sent or received in which further reports of it
 * are dropped. */
#define SUSPICION_REPORT_INTERVAL_MS 3000

Upstream_t *
Upstream_create(struct event_base *base, const char *name,
                const UpstreamSpec_t *spec, guint idle_max)
{
    Upstream_t *this = g_new0(Upstream_t, 1);
    this->name = g_string_new(name);
    this->address = spec->address;
    this->hall = g_string_new(spec->hall->str);
    this->region = g_string_new(spec->region->str);
    this->role = (UpstreamRole_t)spec->role;
    this->serves = g_ptr_array_ref(spec->serves);
    this->slots = (guint)spec->slots;
    this->hash = XXH3_64bits(name, strlen(name));
    this->weights = g_string_new(NULL);
    this->software = g_string_new(NULL);
    this->prefill_us_per_token = INITIAL_PREFILL_US_PER_TOKEN;
    this->runs = EngineRuns_create();
    this->base = base;
    this->idle_max = idle_max;
    this->references = 1;
    g_queue_init(&this->waiters);
    g_queue_init(&this->idle);
    return this;
}

guint64
Upstream_hashIncarnation(const Upstream_t *this, guint64 incarnation)
{
    return XXH3_64bits_withSeed(this->name->str, this->name->len, incarnation);
}

Upstream_t *
Upstream_ref(Upstream_t *this)
{
    this->references++;
    return this;
}

static void
close_idle_connections(Upstream_t *this)
{
    PooledConnection_t *idle = NULL;
    while ((idle = g_queue_pop_head(&this->idle))) {
        PooledConnection_destroy(idle);
    }
}

static void
close_sample(Upstream_t *this)
{
    if (this->sample) {
        PooledConnection_destroy(g_steal_pointer(&this->sample));
    }
}

void
Upstream_unref(Upstream_t *this)
{
    if (--this->references > 0) {
        return;
    }
    close_idle_connections(this);
    close_sample(this);
    g_string_free(this->name, TRUE);
    g_string_free(this->hall, TRUE);
    g_string_free(this->region, TRUE);
    g_string_free(this->weights, TRUE);
    g_string_free(this->software, TRUE);
    EngineRuns_destroy(this->runs);
    g_ptr_array_unref(this->serves);
    g_free(this);
}

gboolean
Upstream_takesWork(const Upstream_t *this)
{
    return !this->leaving && !this->removed && this->in_flight < this->slots;
}

gboolean
Upstream_isUsable(const Upstream_t *this, gint64 now_ms)
{
    if (!Upstream_takesWork(this) || this->suspect ||
        now_ms < this->paused_until_ms) {
        return FALSE;
    }
    if (this->ejections == 0) {
        return TRUE;
    }
    return now_ms >= this->ejected_until_ms && !this->probing;
}

const char *
Upstream_stateName(const Upstream_t *this, gint64 now_ms)
{
    if (this->removed) {
        return "removed";
    }
    if (this->leaving) {
        return "leaving";
    }
    if (UpstreamBackoff_leftMs(&this->backoff, now_ms) > 0) {
        return "resting";
    }
    return now_ms < this->ejected_until_ms ? "ejected" : "live";
}

static void
reset_incarnation_state(Upstream_t *this)
{
    EngineMemory_clear(&this->memory);
    EngineRuns_clear(this->runs);
    close_idle_connections(this);
    close_sample(this);
    ConnectionKeeping_clear(&this->keeping);
    this->leaving = FALSE;
    this->leaving_ms = 0;
    this->replaced = FALSE;
    this->reported_tokens = 0;
    this->reported_running = 0;
    this->wait_us = 0;
    EngineBacklog_lose(&this->backlog);
    this->paused_until_ms = 0;
    this->unloading_since_ms = 0;
    this->load_soon_until_ms = 0;
    this->probe_wanted = FALSE;
    this->limit = (UpstreamLimit_t){0};
    this->backoff = (UpstreamBackoff_t){0};
    Upstream_noteSuccess(this);
}

void
Upstream_noteSoftware(Upstream_t *this, const char *software,
                      guint64 incarnation)
{
    g_string_assign(this->software, software);
    this->software_incarnation = incarnation;
}

gboolean
Upstream_isSoftwareKnown(const Upstream_t *this)
{
    return this->software_incarnation >= this->incarnation;
}

const char *
Upstream_software(const Upstream_t *this)
{
    return Upstream_isSoftwareKnown(this) ? this->software->str : "";
}

gboolean
Upstream_noteIncarnation(Upstream_t *this, guint64 incarnation, gint64 now_ms)
{
    if (incarnation <= this->incarnation) {
        return FALSE;
    }
    gboolean is_first = this->incarnation == 0;
    this->incarnation = incarnation;
    this->live_since_ms = now_ms;
    if (!is_first) {
        reset_incarnation_state(this);
    }
    return TRUE;
}

void
Upstream_notePause(Upstream_t *this, gint64 pause_ms, gint64 now_ms)
{
    this->paused_until_ms = MAX(this->paused_until_ms, now_ms + pause_ms);
}

void
Upstream_noteUnloading(Upstream_t *this, gint64 pause_ms, gint64 now_ms)
{
    Upstream_notePause(this, pause_ms, now_ms);
    if (this->unloading_since_ms == 0) {
        this->unloading_since_ms = now_ms;
    }
}

gboolean
Upstream_noteLoadSoon(Upstream_t *this, gint64 for_ms, gint64 now_ms)
{
    if (this->load_soon_until_ms - now_ms > for_ms / 2) {
        return FALSE;
    }
    this->load_soon_until_ms = now_ms + for_ms;
    return TRUE;
}

gint64
Upstream_unloadingMs(const Upstream_t *this, gint64 now_ms)
{
    gboolean is_paused = now_ms < this->paused_until_ms;
    return is_paused && this->unloading_since_ms != 0
               ? now_ms - this->unloading_since_ms
               : 0;
}

gboolean
Upstream_noteUnreachable(Upstream_t *this)
{
    gboolean is_new = !this->suspect;
    this->suspect = TRUE;
    this->suspected_by_peer = FALSE;
    this->probe_wanted = FALSE;
    close_idle_connections(this);
    return is_new;
}

void
Upstream_noteSilent(Upstream_t *this)
{
    if (!this->suspect || this->suspected_by_peer) {
        this->probe_wanted = TRUE;
    }
}

void
Upstream_notePeerSuspicion(Upstream_t *this)
{
    if (!this->suspect) {
        this->suspect = TRUE;
        this->suspected_by_peer = TRUE;
        close_idle_connections(this);
    }
}

gboolean
Upstream_resolveSuspicion(Upstream_t *this)
{
    if (this->suspicion_reported_ms == 0 || this->suspicion_resolved) {
        return FALSE;
    }
    this->suspicion_resolved = TRUE;
    if (this->suspected_by_peer) {
        this->suspect = FALSE;
        this->suspected_by_peer = FALSE;
    }
    return TRUE;
}

gboolean
Upstream_noteSuspicionReport(Upstream_t *this, gint64 now_ms)
{
    if (this->suspicion_reported_ms != 0 &&
        now_ms - this->suspicion_reported_ms < SUSPICION_REPORT_INTERVAL_MS) {
        return FALSE;
    }
    this->suspicion_reported_ms = now_ms;
    this->suspicion_resolved = FALSE;
    return TRUE;
}

void
Upstream_noteReachable(Upstream_t *this, gint64 now_ms)
{
    this->suspect = FALSE;
    this->suspected_by_peer = FALSE;
    this->unanswered = 0;
    this->probe_wanted = FALSE;
    this->last_answer_ms = now_ms;
}

void
Upstream_addWaiter(Upstream_t *this, UpstreamWaiter_t *waiter)
{
    waiter->link = (GList){.data = waiter};
    g_queue_push_tail_link(&this->waiters, &waiter->link);
}

void
Upstream_removeWaiter(Upstream_t *this, UpstreamWaiter_t *waiter)
{
    if (waiter->link.data) {
        g_queue_unlink(&this->waiters, &waiter->link);
        waiter->link = (GList){0};
    }
}

/* A callback may remove its own waiter, but no other waiter. */
void
Upstream_withdrawWaiters(Upstream_t *this)
{
    GList *next = NULL;
    for (GList *link = this->waiters.head; link; link = next) {
        const UpstreamWaiter_t *waiter = link->data;
        next = link->next;
        waiter->withdraw(waiter->owner);
    }
}

gboolean
Upstream_noteLeaving(Upstream_t *this, guint64 incarnation, gint64 now_ms)
{
    gboolean is_former = incarnation != 0 && incarnation < this->incarnation;
    if (this->leaving || is_former) {
        return FALSE;
    }
    this->leaving = TRUE;
    this->leaving_ms = now_ms;
    Upstream_withdrawWaiters(this);
    return TRUE;
}

static guint64
parse_version(const char *weights)
{
    return g_ascii_strtoull(weights, NULL, 10);
}

guint64
Upstream_weightsVersion(const Upstream_t *this)
{
    return parse_version(this->weights->str);
}

gboolean
Upstream_noteWeights(Upstream_t *this, const char *weights)
{
    if (strcmp(this->weights->str, weights) == 0 ||
        (this->versions_increase &&
         parse_version(weights) < Upstream_weightsVersion(this))) {
        return FALSE;
    }
    g_string_assign(this->weights, weights);
    EngineMemory_clear(&this->memory);
    this->paused_until_ms = 0;
    this->unloading_since_ms = 0;
    this->load_soon_until_ms = 0;
    return TRUE;
}

gint64
Upstream_waitUs(const Upstream_t *this, gint64 now_ms)
{
    double age_ms = (double)(now_ms - this->wait_at_ms);
    return (gint64)(this->wait_us * exp2(-age_ms / WAIT_HALF_LIFE_MS));
}

gint64
Upstream_minFirstTokenUs(const Upstream_t *this, guint tokens)
{
    return UPSTREAM_MIN_FIRST_TOKEN_US +
           (gint64)(tokens * this->prefill_us_per_token);
}

void
Upstream_noteFirstToken(Upstream_t *this, gint64 waited_us, guint tokens,
                        gint64 now_ms)
{
    gint64 min_us = Upstream_minFirstTokenUs(this, tokens);
    double excess_us = (double)MAX(waited_us - min_us, 0);
    double known_us = (double)Upstream_waitUs(this, now_ms);
    this->wait_us = known_us + (excess_us - known_us) * WAIT_GAIN;
    this->wait_at_ms = now_ms;
}

guint
Upstream_countRequests(const Upstream_t *this)
{
    return this->in_flight + this->peer_requests + this->ticket_requests;
}

void
Upstream_noteRunTime(Upstream_t *this, gint64 run_us)
{
    double gain = this->run_us > 0 ? RUN_GAIN : 1;
    this->run_us += ((double)run_us - this->run_us) * gain;
}

void
Upstream_noteSuccess(Upstream_t *this)
{
    this->failures = 0;
    this->ejections = 0;
    this->ejected_until_ms = 0;
    this->probing = FALSE;
}

gboolean
Upstream_noteFailure(Upstream_t *this, guint failures_max, gint64 eject_ms,
                     gint64 now_ms)
{
    this->failures++;
    gboolean was_probe = this->probing;
    this->probing = FALSE;
    if (this->failures < failures_max && !was_probe) {
        return FALSE;
    }
    guint doublings = MIN(this->ejections, EJECTION_DOUBLINGS_MAX);
    this->ejections++;
    this->ejected_until_ms = now_ms + (eject_ms << doublings);
    close_idle_connections(this);
    return TRUE;
}

static void
learn_closing(Upstream_t *this, const PooledConnection_t *connection)
{
    gint64 after_ms = PooledConnection_closedAfterMs(connection);
    if (after_ms >= 0) {
        ConnectionKeeping_noteClosed(&this->keeping, after_ms);
    }
}

/* The sample has been idle for longer than connections that became idle while
 * it was one. */
static void
release_sample(Upstream_t *this)
{
    g_queue_push_head(&this->idle, g_steal_pointer(&this->sample));
}

static void
check_sample(Upstream_t *this, gint64 now_ms)
{
    const PooledConnection_t *sample = this->sample;
    if (!sample) {
        return;
    }
    learn_closing(this, sample);
    if (!PooledConnection_isOpen(sample) ||
        ConnectionKeeping_noteOpen(&this->keeping,
                                   PooledConnection_idleMs(sample, now_ms))) {
        release_sample(this);
    }
}

static void
learn_keeping(Upstream_t *this, gint64 now_ms)
{
    const PooledConnection_t *last = g_queue_peek_tail(&this->idle);
    if (last) {
        learn_closing(this, last);
    }
    check_sample(this, now_ms);
}

static gboolean
is_usable(const Upstream_t *this, const PooledConnection_t *connection,
          gboolean is_once)
{
    if (!PooledConnection_hasSocket(connection)) {
        return TRUE;
    }
    return ConnectionKeeping_allows(&this->keeping, is_once) &&
           !PooledConnection_isEnding(connection);
}

static gboolean
may_reuse(const Upstream_t *this, const PooledConnection_t *connection,
          gint64 idle_max_ms, const char *request_id, gboolean is_once,
          gint64 now_ms)
{
    return PooledConnection_idleMs(connection, now_ms) <= idle_max_ms &&
           !PooledConnection_hasCarried(connection, request_id) &&
           is_usable(this, connection, is_once);
}

/* The most recently used connection that has not carried the request. */
static GList *
find_idle(const Upstream_t *this, gint64 idle_max_ms, const char *request_id,
          gboolean is_once, gint64 now_ms)
{
    for (GList *link = this->idle.tail; link; link = link->prev) {
        if (PooledConnection_idleMs(link->data, now_ms) > idle_max_ms) {
            return NULL;
        }
        if (may_reuse(this, link->data, idle_max_ms, request_id, is_once,
                      now_ms)) {
            return link;
        }
    }
    return NULL;
}

/* A request that may run again proves sooner than a wait that connections are
 * kept. */
static PooledConnection_t *
take_sample(Upstream_t *this, gint64 idle_max_ms, const char *request_id,
            gboolean is_once, gint64 now_ms)
{
    if (this->sample && may_reuse(this, this->sample, idle_max_ms, request_id,
                                  is_once, now_ms)) {
        return g_steal_pointer(&this->sample);
    }
    return NULL;
}

PooledConnection_t *
Upstream_takeConnection(Upstream_t *this, gint64 idle_max_ms,
                        const char *request_id, gboolean is_once,
                        gint64 now_ms)
{
    learn_keeping(this, now_ms);
    GList *link = find_idle(this, idle_max_ms, request_id, is_once, now_ms);
    PooledConnection_t *connection =
        link ? link->data
             : take_sample(this, idle_max_ms, request_id, is_once, now_ms);
    if (link) {
        g_queue_delete_link(&this->idle, link);
    }
    return connection ? connection
                      : PooledConnection_create(this->base, &this->address);
}

static gboolean
is_warm(const PooledConnection_t *connection, gint64 idle_max_ms,
        gint64 now_ms)
{
    return connection &&
           PooledConnection_idleMs(connection, now_ms) <= idle_max_ms;
}

gboolean
Upstream_hasWarmConnection(const Upstream_t *this, gint64 idle_max_ms,
                           gint64 now_ms)
{
    const PooledConnection_t *idle = g_queue_peek_tail((GQueue *)&this->idle);
    return is_warm(idle, idle_max_ms, now_ms) ||
           is_warm(this->sample, idle_max_ms, now_ms);
}

gboolean
Upstream_canPoolConnection(const Upstream_t *this)
{
    return !this->removed &&
           g_queue_get_length((GQueue *)&this->idle) < this->idle_max;
}

void
Upstream_poolConnection(Upstream_t *this, PooledConnection_t *connection,
                        gint64 now_ms)
{
    gboolean is_wanted =
        !this->sample && ConnectionKeeping_needsSample(&this->keeping);
    PooledConnection_setIdle(connection, now_ms);
    if (is_wanted && PooledConnection_isOpen(connection)) {
        this->sample = connection;
    }
    else {
        g_queue_push_tail(&this->idle, connection);
    }
}
