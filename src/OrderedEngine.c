#include "OrderedEngine.h"

#include <string.h>

#include "Clock.h"
#include "Log.h"

/* Where no list tells of weights, the state is read again after so long. */
#define STATE_AGE_MS 1000
/* One that loads, or whose state could not be read, is asked this often. */
#define READ_AGAIN_MS 150
/* Before a load can be done it is not asked: what it says lags, and may
 * still be of before the order. */
#define LEAST_LOAD_MS 600
/* Its place goes to the next engine after so long, whether or not it has said
 * that it is done: one that stays silent must not hold up the others. */
#define LOAD_PLACE_MS 2500
/* An order that was taken and not carried out in this time is given anew. */
#define LOAD_PATIENCE_MS 6000
/* Peers hear of a pause in one or two ticks of hints or gossip. */
#define PAUSE_AHEAD_MS 120
/* What waits in its queue would be refused with the order; it gets so long
 * to begin. */
#define QUEUE_PATIENCE_MS 1000
#define QUEUE_READ_MS 100
/* A pause ends with the news of the weights; this is in case none comes. The
 * place of an engine that got no order by then goes to another. */
#define PAUSE_MOST_MS 2500
/* One that still loads is told again when so much of it is left. Without that
 * its requests are refused from then on: 285 of them in 5 s of a roll-out
 * whose loads took 4.5 s. */
#define PAUSE_RENEW_MS 800
/* Routers expect a load for so long; told again when half of it is over. A
 * stream of the longest kind seen runs two seconds and a half. */
#define SOON_MS 3000
/* What a time-out may be off by. */
#define TIMER_MARGIN_MS 100

struct OrderedEngine {
    OrderGiver_t *giver;
    Upstream_t *upstream;
    guint64 incarnation;   /* whose state and orders these are */
    HttpCall_t *call;      /* under way, or NULL */
    NoticeOrigin_t origin; /* of the answer to @call */
    gboolean call_is_order;
    guint64 read_under; /* term of the lease under which it was read */
    gint64 read_ms;
    gint64 announced_ms; /* when its pause was told, 0 for none */
    gint64 ordered_ms;   /* when it took an order, 0 for none under way */
    GString *weights;    /* as read, not as heard of */
    guint64 sequence;
    guint queued;
    gboolean loading;
};

OrderedEngine_t *
OrderedEngine_create(OrderGiver_t *giver, Upstream_t *upstream)
{
    OrderedEngine_t *this = g_new0(OrderedEngine_t, 1);
    this->giver = giver;
    this->upstream = Upstream_ref(upstream);
    this->incarnation = upstream->incarnation;
    this->weights = g_string_new(NULL);
    return this;
}

void
OrderedEngine_destroy(OrderedEngine_t *this)
{
    if (this->call) {
        HttpCall_cancel(this->call);
    }
    Upstream_unref(this->upstream);
    g_string_free(this->weights, TRUE);
    g_free(this);
}

Upstream_t *
OrderedEngine_upstream(const OrderedEngine_t *this)
{
    return this->upstream;
}

gboolean
OrderedEngine_isOpen(const OrderedEngine_t *this)
{
    return this->call != NULL;
}

/* Whether its pause has been told and its order is still to come. */
static gboolean
is_announced(const OrderedEngine_t *this)
{
    return this->announced_ms != 0 &&
           Clock_nowMs() - this->announced_ms < PAUSE_MOST_MS;
}

gboolean
OrderedEngine_isLoading(const OrderedEngine_t *this)
{
    if (this->upstream->removed || this->upstream->leaving) {
        return FALSE;
    }
    if (is_announced(this)) {
        return TRUE;
    }
    return this->loading && (this->ordered_ms == 0 ||
                             Clock_nowMs() - this->ordered_ms < LOAD_PLACE_MS);
}

static void
spread(const OrderedEngine_t *this)
{
    Membership_noteUpstream(this->giver->membership,
                            this->upstream->name->str);
}

static void
hint(const OrderedEngine_t *this, HintKind_t kind, guint value)
{
    Hint_t news = {kind, this->upstream->hash, value};
    if (this->giver->hints) {
        HintFlood_broadcast(this->giver->hints, &news);
    }
}

static void
note_loaded(OrderedEngine_t *this)
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

/* One that took an order and never ended it has lost it. */
static gboolean
is_under_way(const OrderedEngine_t *this)
{
    return this->ordered_ms != 0 &&
           Clock_nowMs() - this->ordered_ms < LOAD_PATIENCE_MS;
}

/* What it says may be of before an order that it has taken since. A count
 * that stays lower is that of an engine which has forgotten it. */
static gboolean
is_outdated(const OrderedEngine_t *this, const EngineState_t *state)
{
    return this->giver->form->counts_orders && is_under_way(this) &&
           state->sequence < this->sequence;
}

static void
tell_pause(OrderedEngine_t *this)
{
    Upstream_noteUnloading(this->upstream, PAUSE_MOST_MS, Clock_nowMs());
    hint(this, HINT_PAUSED, PAUSE_MOST_MS);
    spread(this);
}

static void
renew_pause(OrderedEngine_t *this)
{
    gint64 left_ms = this->upstream->paused_until_ms - Clock_nowMs();
    if (this->giver->form->listed && this->ordered_ms != 0 &&
        left_ms < PAUSE_RENEW_MS) {
        tell_pause(this);
    }
}

/* An engine that has started anew has taken no order, and its count of them
 * begins anew: measured by the old count, all that it says would seem to be of
 * before an order that it has forgotten. */
static void
follow_incarnation(OrderedEngine_t *this)
{
    if (this->incarnation == this->upstream->incarnation) {
        return;
    }
    this->incarnation = this->upstream->incarnation;
    this->read_under = 0;
    this->announced_ms = 0;
    this->ordered_ms = 0;
    this->sequence = 0;
    this->queued = 0;
    this->loading = FALSE;
}

static void
note_state(OrderedEngine_t *this, const EngineState_t *state)
{
    gint64 now_ms = Clock_nowMs();
    GString *known = this->upstream->weights;
    g_autofree char *before = g_strdup(known->str);
    gboolean reborn =
        state->incarnation > 0 &&
        Upstream_noteIncarnation(this->upstream, state->incarnation, now_ms);
    follow_incarnation(this);
    this->read_ms = now_ms;
    if (is_outdated(this, state)) {
        return;
    }
    Upstream_noteWeights(this->upstream, state->weights->str);
    this->upstream->reported_at_ms = now_ms;
    this->loading = state->loading;
    this->sequence = state->sequence;
    this->queued = state->queued;
    this->read_under = Lease_term(this->giver->lease);
    g_string_assign(this->weights, state->weights->str);
    if (state->loading) {
        renew_pause(this);
    }
    else {
        note_loaded(this);
    }
    if (reborn || strcmp(before, known->str) != 0) {
        hint(this, HINT_LOADED,
             (guint)Upstream_weightsVersion(this->upstream));
        spread(this);
    }
}

static void
take_state(OrderedEngine_t *this, const HttpAnswer_t *answer)
{
    EngineState_t state = {.weights = g_string_new(NULL)};
    this->read_ms = Clock_nowMs();
    if (this->giver->form->read_state(answer, &state)) {
        note_state(this, &state);
    }
    g_string_free(state.weights, TRUE);
}

static void
take_outcome(OrderedEngine_t *this, const HttpAnswer_t *answer)
{
    static const char *const names[ORDER_OUTCOME_COUNT] = {
        "taken", "in_force", "busy", "stale", "refused"};
    OrderGiver_t *giver = this->giver;
    OrderOutcome_t outcome = giver->form->read_outcome(answer);
    if (outcome == ORDER_TAKEN) {
        this->loading = TRUE;
        this->ordered_ms = Clock_nowMs();
        this->sequence++;
    }
    else {
        this->read_under = 0;
        this->read_ms = Clock_nowMs();
    }
    if (outcome == ORDER_STALE) {
        giver->stale_until_ms = G_MAXINT64;
    }
    Log_begin(LOG_LEVEL_INFO, "order_answered");
    Log_text("upstream", this->upstream->name->str);
    Log_text("outcome", names[outcome]);
    Log_number("status", answer->status);
    Log_number("fencing", (gint64)Lease_number(giver->lease));
    Log_end();
    g_autofree char *labels =
        g_strdup_printf("outcome=\"%s\"", names[outcome]);
    Counters_add(giver->counters, "orders_total", labels, 1);
}

/* An order whose answer was lost is not sent again before the engine's state
 * was read: it may have been carried out. */
static void
take_error(OrderedEngine_t *this, const GError *error)
{
    this->read_under = 0;
    this->read_ms = Clock_nowMs();
    if (!this->call_is_order) {
        return;
    }
    Log_begin(LOG_LEVEL_WARNING, "order_unanswered");
    Log_text("upstream", this->upstream->name->str);
    Log_text("reason", error->message);
    Log_end();
    Counters_add(this->giver->counters, "orders_total",
                 "outcome=\"unanswered\"", 1);
}

static void
on_answer(const HttpAnswer_t *answer, const GError *error, void *data)
{
    OrderedEngine_t *this = data;
    this->call = NULL;
    if (error) {
        take_error(this, error);
        return;
    }
    UpstreamNotices_applyAnswer(this->giver->notices, &this->origin, answer);
    if (this->call_is_order) {
        take_outcome(this, answer);
    }
    else {
        take_state(this, answer);
    }
}

static void
start_call(OrderedEngine_t *this, GBytes *body)
{
    const OrderForm_t *form = this->giver->form;
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
        .timeout_ms = this->giver->timeout_ms,
    };
    this->call_is_order = body != NULL;
    this->origin = NoticeOrigin_begin(this->upstream, NULL);
    this->call = HttpCall_start(this->giver->base, &spec, on_answer, this);
}

static void
send_order(OrderedEngine_t *this, const WantedWeights_t *wanted)
{
    OrderGiver_t *giver = this->giver;
    EngineOrderSpec_t order = {
        .instance = this->upstream->name->str,
        .model = wanted->model,
        .weights = wanted->weights,
        .holder = giver->holder,
        .number = Lease_number(giver->lease),
        .sequence = this->sequence,
    };
    Log_begin(LOG_LEVEL_INFO, "order_sent");
    Log_text("upstream", order.instance);
    Log_text("weights", wanted->weights);
    Log_text("had", this->weights->str);
    Log_number("state_age_ms", Clock_nowMs() - this->read_ms);
    Log_number("sequence", (gint64)order.sequence);
    Log_number("fencing", (gint64)order.number);
    Log_number("lease_left_ms", Lease_remainingMs(giver->lease));
    Log_end();
    this->announced_ms = 0;
    GBytes *body = giver->form->write_order(&order);
    start_call(this, body);
    g_bytes_unref(body);
}

/* The whole time-out must lie within the lease. */
static gboolean
may_order(const OrderedEngine_t *this)
{
    const OrderGiver_t *giver = this->giver;
    return Clock_nowMs() >= giver->stale_until_ms &&
           Lease_remainingMs(giver->lease) >
               giver->timeout_ms + TIMER_MARGIN_MS;
}

static gboolean
is_state_known(const OrderedEngine_t *this)
{
    return this->read_under != 0 &&
           this->read_under == Lease_term(this->giver->lease);
}

static gboolean
wants_state(const OrderedEngine_t *this)
{
    gint64 now_ms = Clock_nowMs();
    gint64 age_ms = now_ms - this->read_ms;
    if (!is_state_known(this)) {
        return this->read_ms == 0 || age_ms >= READ_AGAIN_MS;
    }
    if (is_announced(this)) {
        return now_ms - this->announced_ms >= PAUSE_AHEAD_MS &&
               age_ms >= QUEUE_READ_MS;
    }
    if (this->loading) {
        return now_ms - this->ordered_ms >= LEAST_LOAD_MS &&
               age_ms >= READ_AGAIN_MS;
    }
    return !this->giver->form->listed && age_ms >= STATE_AGE_MS;
}

static gboolean
awaits_load(const OrderedEngine_t *this)
{
    return this->loading && (this->ordered_ms == 0 || is_under_way(this));
}

static gboolean
announce(OrderedEngine_t *this)
{
    this->announced_ms = Clock_nowMs();
    tell_pause(this);
    return TRUE;
}

/* Its queue is empty as it said after peers had heard of the pause. */
static gboolean
is_drained(const OrderedEngine_t *this)
{
    gint64 paused_ms = Clock_nowMs() - this->announced_ms;
    gboolean is_read = this->read_ms - this->announced_ms >= PAUSE_AHEAD_MS;
    return paused_ms >= QUEUE_PATIENCE_MS || (is_read && this->queued == 0);
}

gboolean
OrderedEngine_tend(OrderedEngine_t *this, const WantedWeights_t *wanted,
                   gboolean may_load)
{
    if (this->call) {
        return FALSE;
    }
    follow_incarnation(this);
    gboolean has_wanted = strcmp(this->weights->str, wanted->weights) == 0;
    if (has_wanted) {
        this->announced_ms = 0; /* it needs its place no more */
    }
    if (wants_state(this)) {
        start_call(this, NULL);
        return FALSE;
    }
    if (!is_state_known(this) || has_wanted || awaits_load(this) ||
        !may_order(this)) {
        return FALSE;
    }
    if (!this->giver->form->listed) {
        if (may_load) {
            send_order(this, wanted);
        }
        return may_load;
    }
    if (!is_announced(this)) {
        return may_load && announce(this);
    }
    if (is_drained(this)) {
        send_order(this, wanted);
    }
    return FALSE;
}

gboolean
OrderedEngine_isNext(const OrderedEngine_t *this,
                     const WantedWeights_t *wanted)
{
    gboolean has_wanted =
        strcmp(this->upstream->weights->str, wanted->weights) == 0;
    return !has_wanted && !this->upstream->suspect &&
           !OrderedEngine_isLoading(this);
}

void
OrderedEngine_warn(OrderedEngine_t *this)
{
    if (this->giver->form->listed &&
        Upstream_noteLoadSoon(this->upstream, SOON_MS, Clock_nowMs())) {
        hint(this, HINT_LOAD_SOON, SOON_MS);
        Log_begin(LOG_LEVEL_INFO, "load_expected");
        Log_text("upstream", this->upstream->name->str);
        Log_number("for_ms", SOON_MS);
        Log_end();
    }
}
