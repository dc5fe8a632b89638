#include "ManagedEngine.h"

#include <string.h>

#include "Clock.h"
#include "Log.h"

/* Age at which the state is read again, if weights are not listed. */
#define STATE_MAX_AGE_MS 1000
/* Interval of reads while an engine loads or its state could not be read. */
#define REREAD_MS 150
/* The state is not read earlier after an order, as no load ends sooner. The
 * state lags, and may still predate the order. */
#define LOAD_MIN_MS 600
/* After this time an engine's load slot is free for the next engine, even if
 * it has not reported the end of its load: a silent engine must not block the
 * others. */
#define LOAD_SLOT_MS 2500
/* An order that was accepted but not completed in this time is sent again. */
#define LOAD_TIMEOUT_MS 6000
/* Peers learn of a pause within one or two ticks of hints or gossip. */
#define PAUSE_SPREAD_MS 120
/* The engine refuses its queued requests when an order arrives, so the order
 * waits up to this time for the queue to drain. */
#define DRAIN_TIMEOUT_MS 1000
#define DRAIN_POLL_MS 100
/* A pause ends when the new weights are announced; this limit applies if that
 * does not happen. The slot of an engine that got no order by then is free for
 * another engine. */
#define PAUSE_MAX_MS 2500
/* The pause of an engine that still loads is announced again when this much of
 * it is left. Otherwise, routers would resume sending requests, which the
 * engine would refuse. */
#define PAUSE_RENEW_MS 800
/* How long routers expect an announced load. The announcement is repeated when
 * half of the time is over. The longest streams seen take 2.5 s. */
#define LOAD_SOON_MS 3000
/* Interval of probes after the first failed one; it doubles with each further
 * one, up to this many times. */
#define PROBE_INTERVAL_MS 500
#define PROBE_DOUBLINGS_MAX 2
/* Inaccuracy of a timeout. */
#define TIMER_MARGIN_MS 100

struct ManagedEngine {
    OrderSender_t *sender;
    Upstream_t *upstream;
    guint64 incarnation;   /* that the state and orders below belong to */
    HttpCall_t *call;      /* under way, or NULL */
    NoticeOrigin_t origin; /* of the answer to @call */
    gboolean call_is_order;
    gboolean is_unanswered; /* the last call failed */
    guint probes;           /* since the last answer */
    guint64 read_term; /* term of the lease under which the state was read */
    gint64 read_ms;    /* when it was last read, or a call failed */
    gint64 pause_announced_ms; /* 0 for no pause */
    gint64 ordered_ms;         /* when an order was accepted, 0 for none */
    GString *weights;          /* as read from the engine, not from peers */
    guint64 sequence;          /* number of accepted orders */
    guint queued;              /* requests in the engine's queue */
    gboolean loading;
};

ManagedEngine_t *
ManagedEngine_create(OrderSender_t *sender, Upstream_t *upstream)
{
    ManagedEngine_t *this = g_new0(ManagedEngine_t, 1);
    this->sender = sender;
    this->upstream = Upstream_ref(upstream);
    this->incarnation = upstream->incarnation;
    this->weights = g_string_new(NULL);
    return this;
}

void
ManagedEngine_destroy(ManagedEngine_t *this)
{
    if (this->call) {
        HttpCall_cancel(this->call);
    }
    Upstream_unref(this->upstream);
    g_string_free(this->weights, TRUE);
    g_free(this);
}

Upstream_t *
ManagedEngine_upstream(const ManagedEngine_t *this)
{
    return this->upstream;
}

gboolean
ManagedEngine_hasCall(const ManagedEngine_t *this)
{
    return this->call != NULL;
}

/* Whether the pause was announced and the order is not sent yet. */
static gboolean
is_pause_announced(const ManagedEngine_t *this)
{
    return this->pause_announced_ms != 0 &&
           Clock_nowMs() - this->pause_announced_ms < PAUSE_MAX_MS;
}

gboolean
ManagedEngine_isLoading(const ManagedEngine_t *this)
{
    if (this->upstream->removed || this->upstream->leaving) {
        return FALSE;
    }
    if (is_pause_announced(this)) {
        return TRUE;
    }
    return this->loading && (this->ordered_ms == 0 ||
                             Clock_nowMs() - this->ordered_ms < LOAD_SLOT_MS);
}

static void
gossip_upstream(const ManagedEngine_t *this)
{
    Membership_spreadUpstream(this->sender->membership,
                              this->upstream->name->str);
}

static void
broadcast_hint(const ManagedEngine_t *this, HintKind_t kind, guint value)
{
    Hint_t hint = {kind, this->upstream->hash, value};
    if (this->sender->hints) {
        HintBroadcast_add(this->sender->hints, &hint);
    }
}

static void
note_loaded(ManagedEngine_t *this)
{
    if (this->ordered_ms == 0) {
        return;
    }
    Log_begin(LOG_LEVEL_INFO, "weights_loaded");
    Log_text("upstream", this->upstream->name->str);
    Log_text("weights", this->weights->str);
    Log_number("after_ms", Clock_nowMs() - this->ordered_ms);
    Log_end();
    this->ordered_ms = 0;
}

/* Whether an accepted order is still being carried out. An engine that does
 * not complete an order within LOAD_TIMEOUT_MS has lost it. */
static gboolean
is_order_under_way(const ManagedEngine_t *this)
{
    return this->ordered_ms != 0 &&
           Clock_nowMs() - this->ordered_ms < LOAD_TIMEOUT_MS;
}

/* Whether a state lags behind an order that the engine accepted since. A count
 * that is still lower after LOAD_TIMEOUT_MS means that the engine has lost the
 * order. */
static gboolean
predates_order(const ManagedEngine_t *this, const EngineState_t *state)
{
    return this->sender->form->counts_orders && is_order_under_way(this) &&
           state->sequence < this->sequence;
}

static void
announce_pause(ManagedEngine_t *this)
{
    Upstream_noteUnloading(this->upstream, PAUSE_MAX_MS, Clock_nowMs());
    broadcast_hint(this, HINT_PAUSED, PAUSE_MAX_MS);
    gossip_upstream(this);
}

static void
renew_pause(ManagedEngine_t *this)
{
    gint64 left_ms = this->upstream->paused_until_ms - Clock_nowMs();
    if (this->sender->form->listed && this->ordered_ms != 0 &&
        left_ms < PAUSE_RENEW_MS) {
        announce_pause(this);
    }
}

/* Resets the state if the engine has restarted. A restarted engine has
 * accepted no order and counts from 0; compared to the old count, each of its
 * states would seem to predate an order that it no longer knows. */
static void
check_incarnation(ManagedEngine_t *this)
{
    if (this->incarnation == this->upstream->incarnation) {
        return;
    }
    this->incarnation = this->upstream->incarnation;
    this->read_term = 0;
    this->pause_announced_ms = 0;
    this->ordered_ms = 0;
    this->sequence = 0;
    this->queued = 0;
    this->loading = FALSE;
}

static void
note_state(ManagedEngine_t *this, const EngineState_t *state)
{
    gint64 now_ms = Clock_nowMs();
    GString *current = this->upstream->weights;
    g_autofree char *old_weights = g_strdup(current->str);
    gboolean restarted =
        state->incarnation > 0 &&
        Upstream_noteIncarnation(this->upstream, state->incarnation, now_ms);
    check_incarnation(this);
    this->read_ms = now_ms;
    if (predates_order(this, state)) {
        return;
    }
    Upstream_noteWeights(this->upstream, state->weights->str);
    this->upstream->reported_at_ms = now_ms;
    this->loading = state->loading;
    this->sequence = state->sequence;
    this->queued = state->queued;
    this->read_term = Lease_term(this->sender->lease);
    g_string_assign(this->weights, state->weights->str);
    if (state->loading) {
        renew_pause(this);
    }
    else {
        note_loaded(this);
    }
    if (restarted || strcmp(old_weights, current->str) != 0) {
        broadcast_hint(this, HINT_LOADED,
                       (guint)Upstream_weightsVersion(this->upstream));
        gossip_upstream(this);
    }
}

static void
handle_state(ManagedEngine_t *this, const HttpAnswer_t *answer)
{
    EngineState_t state = {.weights = g_string_new(NULL)};
    this->read_ms = Clock_nowMs();
    if (this->sender->form->read_state(answer, &state)) {
        note_state(this, &state);
    }
    g_string_free(state.weights, TRUE);
}

static void
handle_outcome(ManagedEngine_t *this, const HttpAnswer_t *answer)
{
    static const char *const names[ORDER_OUTCOME_COUNT] = {
        "taken", "in_force", "busy", "stale", "refused"};
    OrderSender_t *sender = this->sender;
    OrderOutcome_t outcome = sender->form->read_outcome(answer);
    if (outcome == ORDER_ACCEPTED) {
        this->loading = TRUE;
        this->ordered_ms = Clock_nowMs();
        this->sequence++;
    }
    else {
        this->read_term = 0;
        this->read_ms = Clock_nowMs();
    }
    if (outcome == ORDER_STALE) {
        sender->stale_until_ms = G_MAXINT64;
    }
    Log_begin(LOG_LEVEL_INFO, "order_answered");
    Log_text("upstream", this->upstream->name->str);
    Log_text("outcome", names[outcome]);
    Log_number("status", answer->status);
    Log_number("fencing", (gint64)Lease_number(sender->lease));
    Log_end();
    g_autofree char *labels =
        g_strdup_printf("outcome=\"%s\"", names[outcome]);
    Counters_add(sender->counters, "orders_total", labels, 1);
}

static void
log_error(const ManagedEngine_t *this, const char *event, const GError *error)
{
    Log_begin(LOG_LEVEL_WARNING, event);
    Log_text("upstream", this->upstream->name->str);
    Log_text("reason", error->message);
    Log_number("lease_left_ms", Lease_remainingMs(this->sender->lease));
    Log_end();
}

/* Logs only the first of consecutive reads that fail. */
static void
note_unanswered_read(ManagedEngine_t *this, const GError *error)
{
    if (!this->is_unanswered) {
        log_error(this, "engine_state_unanswered", error);
    }
    Counters_add(this->sender->counters, "engine_states_unanswered_total",
                 NULL, 1);
}

static void
note_unanswered_order(ManagedEngine_t *this, const GError *error)
{
    log_error(this, "order_unanswered", error);
    Counters_add(this->sender->counters, "orders_total",
                 "outcome=\"unanswered\"", 1);
}

/* Invalidates the current state, so that an order whose answer was lost is not
 * sent again before the state was read: the engine may have carried it out. */
static void
handle_error(ManagedEngine_t *this, const GError *error)
{
    this->read_term = 0;
    this->read_ms = Clock_nowMs();
    if (this->call_is_order) {
        note_unanswered_order(this, error);
    }
    else {
        note_unanswered_read(this, error);
    }
    this->is_unanswered = TRUE;
    if (this->sender->path) {
        UpstreamPath_noteFailure(this->sender->path, Clock_nowMs());
    }
}

static void
on_answer(const HttpAnswer_t *answer, const GError *error, void *data)
{
    ManagedEngine_t *this = data;
    this->call = NULL;
    if (error) {
        handle_error(this, error);
        return;
    }
    this->is_unanswered = FALSE;
    this->probes = 0;
    UpstreamNotices_applyAnswer(this->sender->notices, &this->origin, answer);
    if (this->call_is_order) {
        handle_outcome(this, answer);
    }
    else {
        handle_state(this, answer);
    }
}

static void
start_call(ManagedEngine_t *this, GBytes *body)
{
    const OrderForm_t *form = this->sender->form;
    HttpHeader_t headers[] = {
        {form->instance_header, this->upstream->name->str},
        {NULL, NULL},
    };
    HttpCallSpec_t spec = {
        .address = &this->upstream->address,
        .method = body ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
        .path = body ? form->order_path : form->state_path,
        .headers = headers,
        .body = body,
        .timeout_ms = this->sender->timeout_ms,
        .answer_max = HTTP_SHORT_ANSWER_MAX,
        .accepts_close_delimited = TRUE,
    };
    this->call_is_order = body != NULL;
    this->origin = NoticeOrigin_begin(this->upstream, NULL);
    this->call = HttpCall_start(this->sender->base, &spec, on_answer, this);
}

static void
send_order(ManagedEngine_t *this, const WantedWeights_t *wanted)
{
    OrderSender_t *sender = this->sender;
    EngineOrderSpec_t order = {
        .instance = this->upstream->name->str,
        .model = wanted->model,
        .weights = wanted->weights,
        .holder = sender->holder,
        .number = Lease_number(sender->lease),
        .sequence = this->sequence,
    };
    Log_begin(LOG_LEVEL_INFO, "order_sent");
    Log_text("upstream", order.instance);
    Log_text("weights", wanted->weights);
    Log_text("had", this->weights->str);
    Log_number("state_age_ms", Clock_nowMs() - this->read_ms);
    Log_number("sequence", (gint64)order.sequence);
    Log_number("fencing", (gint64)order.number);
    Log_number("lease_left_ms", Lease_remainingMs(sender->lease));
    Log_end();
    this->pause_announced_ms = 0;
    sender->last_order_ms = Clock_nowMs();
    GBytes *body = sender->form->write_order(&order);
    start_call(this, body);
    g_bytes_unref(body);
}

/* The lease must last longer than the timeout of the call. */
static gboolean
may_send_order(const ManagedEngine_t *this)
{
    const OrderSender_t *sender = this->sender;
    return Clock_nowMs() >= sender->stale_until_ms &&
           Lease_remainingMs(sender->lease) >
               sender->timeout_ms + TIMER_MARGIN_MS;
}

static gboolean
is_state_known(const ManagedEngine_t *this)
{
    return this->read_term != 0 &&
           this->read_term == Lease_term(this->sender->lease);
}

static gboolean
needs_read(const ManagedEngine_t *this)
{
    gint64 now_ms = Clock_nowMs();
    gint64 age_ms = now_ms - this->read_ms;
    if (!is_state_known(this)) {
        return this->read_ms == 0 || age_ms >= REREAD_MS;
    }
    if (is_pause_announced(this)) {
        return now_ms - this->pause_announced_ms >= PAUSE_SPREAD_MS &&
               age_ms >= DRAIN_POLL_MS;
    }
    if (this->loading) {
        return now_ms - this->ordered_ms >= LOAD_MIN_MS && age_ms >= REREAD_MS;
    }
    return !this->sender->form->listed && age_ms >= STATE_MAX_AGE_MS;
}

static gboolean
is_load_pending(const ManagedEngine_t *this)
{
    return this->loading &&
           (this->ordered_ms == 0 || is_order_under_way(this));
}

static gboolean
begin_pause(ManagedEngine_t *this)
{
    this->pause_announced_ms = Clock_nowMs();
    announce_pause(this);
    return TRUE;
}

/* Whether the engine reported an empty queue after all peers had learned of
 * the pause, or the timeout for that is over. */
static gboolean
is_drained(const ManagedEngine_t *this)
{
    gint64 paused_ms = Clock_nowMs() - this->pause_announced_ms;
    gboolean is_state_fresh =
        this->read_ms - this->pause_announced_ms >= PAUSE_SPREAD_MS;
    return paused_ms >= DRAIN_TIMEOUT_MS ||
           (is_state_fresh && this->queued == 0);
}

gboolean
ManagedEngine_isUnreachable(const ManagedEngine_t *this)
{
    const Upstream_t *upstream = this->upstream;
    gboolean is_suspect = upstream->suspect && !upstream->suspected_by_peer;
    return is_suspect || this->is_unanswered;
}

gboolean
ManagedEngine_probe(ManagedEngine_t *this)
{
    gint64 interval_ms = (gint64)PROBE_INTERVAL_MS
                         << MIN(this->probes, PROBE_DOUBLINGS_MAX);
    gboolean is_due = !this->call && this->is_unanswered &&
                      Clock_nowMs() - this->read_ms >= interval_ms;
    if (is_due) {
        this->probes++;
        start_call(this, NULL);
    }
    return is_due;
}

gboolean
ManagedEngine_advance(ManagedEngine_t *this, const WantedWeights_t *wanted,
                      gboolean may_load)
{
    if (this->call) {
        return FALSE;
    }
    check_incarnation(this);
    gboolean has_wanted = strcmp(this->weights->str, wanted->weights) == 0;
    if (has_wanted) {
        this->pause_announced_ms = 0; /* it no longer needs its slot */
    }
    if (needs_read(this)) {
        start_call(this, NULL);
        return FALSE;
    }
    if (!is_state_known(this) || has_wanted || is_load_pending(this) ||
        !may_send_order(this)) {
        return FALSE;
    }
    if (!this->sender->form->listed) {
        if (may_load) {
            send_order(this, wanted);
        }
        return may_load;
    }
    if (!is_pause_announced(this)) {
        return may_load && begin_pause(this);
    }
    if (is_drained(this)) {
        send_order(this, wanted);
    }
    return FALSE;
}

gboolean
ManagedEngine_needsSlot(const ManagedEngine_t *this,
                        const WantedWeights_t *wanted)
{
    gboolean has_wanted =
        strcmp(this->upstream->weights->str, wanted->weights) == 0;
    return !has_wanted && !this->upstream->suspect &&
           !ManagedEngine_isLoading(this);
}

void
ManagedEngine_announceLoadSoon(ManagedEngine_t *this)
{
    if (this->sender->form->listed &&
        Upstream_noteLoadSoon(this->upstream, LOAD_SOON_MS, Clock_nowMs())) {
        broadcast_hint(this, HINT_LOAD_SOON, LOAD_SOON_MS);
        Log_begin(LOG_LEVEL_INFO, "load_expected");
        Log_text("upstream", this->upstream->name->str);
        Log_number("for_ms", LOAD_SOON_MS);
        Log_end();
    }
}
