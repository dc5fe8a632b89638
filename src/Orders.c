#include "Orders.h"

#include <string.h>

#include "Clock.h"
#include "Errors.h"
#include "Lease.h"
#include "Log.h"

#define TICK_MS 100
/* Routers that may take the lease; each waits for those before it. */
#define CANDIDATES 3
/* An engine's state is read again after so long. */
#define STATE_AGE_MS 1000
/* One that loads is asked more often, but not before it can be done: what it
 * says lags, and may still be of before the order. */
#define LOADING_AGE_MS 250
#define LEAST_LOAD_MS 600
/* An order that was taken and not carried out in this time is given anew. */
#define LOAD_PATIENCE_MS 6000
/* What a time-out may be off by. */
#define TIMER_MARGIN_MS 100

/* What the holder knows of one engine under its own lease. */
typedef struct {
    Orders_t *owner;
    Upstream_t *upstream;
    guint64 read_under; /* number of the lease under which it was read */
    gint64 read_ms;
    gint64 ordered_ms; /* when it took an order, 0 for none under way */
    GString *weights;  /* as read, not as heard of */
    GString *model;
    guint64 sequence;
    gboolean loading;
    gboolean open; /* a call is under way */
} Engine_t;

struct Orders {
    struct event_base *base;
    OrdersSpec_t spec;
    Lease_t *lease;
    GString *scope;
    GHashTable *engines; /* upstream's name -> Engine_t */
    GHashTable *calls;   /* set of Call_t */
    struct event *tick;
    gint64 stale_until_ms; /* a higher number was seen: order nothing */
};

typedef struct {
    Engine_t *engine;
    HttpCall_t *http;
    gboolean is_order;
} Call_t;

static void
free_engine(gpointer data)
{
    Engine_t *engine = data;
    Upstream_unref(engine->upstream);
    g_string_free(engine->weights, TRUE);
    g_string_free(engine->model, TRUE);
    g_free(engine);
}

static Engine_t *
engine_of(Orders_t *this, Upstream_t *upstream)
{
    Engine_t *engine = g_hash_table_lookup(this->engines, upstream->name->str);
    if (engine && engine->upstream == upstream) {
        return engine;
    }
    if (engine && engine->open) {
        return NULL; /* declared anew; its call has to end first */
    }
    engine = g_new0(Engine_t, 1);
    engine->owner = this;
    engine->upstream = Upstream_ref(upstream);
    engine->weights = g_string_new(NULL);
    engine->model = g_string_new(NULL);
    g_hash_table_replace(this->engines, g_strdup(upstream->name->str), engine);
    return engine;
}

static gboolean
wanted_of(const Orders_t *this, const Upstream_t *upstream,
          WantedWeights_t *out)
{
    return this->spec.wanted(this->spec.wanted_data, upstream, out);
}

static void
note_loaded(Engine_t *engine)
{
    if (engine->ordered_ms == 0) {
        return;
    }
    Log_begin(LOG_LEVEL_INFO, "weights_loaded");
    Log_text("upstream", engine->upstream->name->str);
    Log_text("weights", engine->weights->str);
    Log_number("after_ms", Clock_nowMs() - engine->ordered_ms);
    Log_end();
    engine->ordered_ms = 0;
}

static void
note_state(Engine_t *engine, const EngineState_t *state)
{
    Orders_t *this = engine->owner;
    Upstream_t *upstream = engine->upstream;
    gboolean news = (state->incarnation > 0 &&
                     Upstream_noteIncarnation(upstream, state->incarnation,
                                              Clock_nowMs())) ||
                    strcmp(upstream->weights->str, state->weights->str) != 0;
    Upstream_noteWeights(upstream, state->weights->str);
    upstream->reported_at_ms = Clock_nowMs();
    g_string_assign(engine->weights, state->weights->str);
    engine->loading = state->loading;
    engine->sequence = MAX(engine->sequence, state->sequence);
    engine->read_under = Lease_number(this->lease);
    engine->read_ms = Clock_nowMs();
    if (news) {
        Membership_noteUpstream(this->spec.membership, upstream->name->str);
    }
}

static void
take_state(Engine_t *engine, const HttpAnswer_t *answer)
{
    EngineState_t state = {.weights = g_string_new(NULL)};
    WantedWeights_t wanted;
    if (engine->owner->spec.form->read_state(answer, &state)) {
        note_state(engine, &state);
        if (wanted_of(engine->owner, engine->upstream, &wanted) &&
            strcmp(wanted.weights, engine->weights->str) == 0) {
            note_loaded(engine);
        }
    }
    g_string_free(state.weights, TRUE);
}

static void
take_order_answer(Engine_t *engine, const HttpAnswer_t *answer)
{
    static const char *const names[ORDER_OUTCOME_COUNT] = {
        "taken", "in_force", "busy", "stale", "refused"};
    Orders_t *this = engine->owner;
    OrderOutcome_t outcome = this->spec.form->read_outcome(answer);
    if (outcome == ORDER_TAKEN) {
        engine->loading = TRUE;
        engine->ordered_ms = Clock_nowMs();
        engine->sequence++;
    }
    else {
        engine->read_under = 0;
    }
    if (outcome == ORDER_STALE) {
        this->stale_until_ms =
            Clock_nowMs() + this->spec.settings->platform.lease_ms;
    }
    Log_begin(LOG_LEVEL_INFO, "order_answered");
    Log_text("upstream", engine->upstream->name->str);
    Log_text("outcome", names[outcome]);
    Log_number("status", answer->status);
    Log_number("fencing", (gint64)Lease_number(this->lease));
    Log_end();
    g_autofree char *labels =
        g_strdup_printf("outcome=\"%s\"", names[outcome]);
    Counters_add(this->spec.counters, "orders_total", labels, 1);
}

/* An order whose answer was lost is not sent again before the engine's state
 * was read: it may have been carried out. */
static void
take_error(Engine_t *engine, const GError *error, gboolean is_order)
{
    engine->read_under = 0;
    engine->read_ms = Clock_nowMs();
    if (!is_order) {
        return;
    }
    Log_begin(LOG_LEVEL_WARNING, "order_unanswered");
    Log_text("upstream", engine->upstream->name->str);
    Log_text("reason", error->message);
    Log_end();
    Counters_add(engine->owner->spec.counters, "orders_total",
                 "outcome=\"unanswered\"", 1);
}

static void
on_answer(const HttpAnswer_t *answer, const GError *error, void *data)
{
    Call_t *call = data;
    Engine_t *engine = call->engine;
    engine->open = FALSE;
    g_hash_table_remove(engine->owner->calls, call);
    if (error) {
        take_error(engine, error, call->is_order);
    }
    else if (call->is_order) {
        take_order_answer(engine, answer);
    }
    else if (answer->status == HTTP_OK) {
        take_state(engine, answer);
    }
    g_free(call);
}

static void
start_call(Engine_t *engine, GBytes *body)
{
    Orders_t *this = engine->owner;
    const OrderForm_t *form = this->spec.form;
    HttpHeader_t headers[] = {
        {form->instance_header, engine->upstream->name->str},
        {NULL, NULL},
    };
    HttpCallSpec_t spec = {
        .address = &engine->upstream->address,
        .method = body ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
        .path = body ? form->order_path : form->state_path,
        .headers = headers,
        .body = body,
        .timeout_ms = this->spec.settings->platform.order_timeout_ms,
    };
    Call_t *call = g_new0(Call_t, 1);
    call->engine = engine;
    call->is_order = body != NULL;
    engine->open = TRUE;
    g_hash_table_add(this->calls, call);
    call->http = HttpCall_start(this->base, &spec, on_answer, call);
}

static void
send_order(Engine_t *engine, const WantedWeights_t *wanted)
{
    Orders_t *this = engine->owner;
    EngineOrderSpec_t order = {
        .instance = engine->upstream->name->str,
        .model = wanted->model,
        .weights = wanted->weights,
        .holder = this->spec.settings->router.name->str,
        .number = Lease_number(this->lease),
        .sequence = engine->sequence,
    };
    Log_begin(LOG_LEVEL_INFO, "order_sent");
    Log_text("upstream", order.instance);
    Log_text("weights", wanted->weights);
    Log_text("had", engine->weights->str);
    Log_number("state_age_ms", Clock_nowMs() - engine->read_ms);
    Log_number("sequence", (gint64)order.sequence);
    Log_number("fencing", (gint64)order.number);
    Log_number("lease_left_ms", Lease_remainingMs(this->lease));
    Log_end();
    GBytes *body = this->spec.form->write_order(&order);
    start_call(engine, body);
    g_bytes_unref(body);
}

/* The whole time-out must lie within the lease. */
static gboolean
may_order(const Orders_t *this)
{
    return Clock_nowMs() >= this->stale_until_ms &&
           Lease_remainingMs(this->lease) >
               this->spec.settings->platform.order_timeout_ms +
                   TIMER_MARGIN_MS;
}

static guint
count_loading(const Orders_t *this)
{
    guint count = 0;
    GHashTableIter iter;
    gpointer data = NULL;
    g_hash_table_iter_init(&iter, this->engines);
    while (g_hash_table_iter_next(&iter, NULL, &data)) {
        const Engine_t *engine = data;
        gboolean gone = engine->upstream->removed || engine->upstream->leaving;
        count += engine->loading && !gone ? 1 : 0;
    }
    return count;
}

static gboolean
is_state_old(const Orders_t *this, const Engine_t *engine)
{
    gint64 now_ms = Clock_nowMs();
    gint64 age_ms = now_ms - engine->read_ms;
    if (engine->read_under != Lease_number(this->lease)) {
        return age_ms >= LOADING_AGE_MS || engine->read_ms == 0;
    }
    if (engine->loading) {
        return now_ms - engine->ordered_ms >= LEAST_LOAD_MS &&
               age_ms >= LOADING_AGE_MS;
    }
    return age_ms >= STATE_AGE_MS;
}

/* One that said it was loading and never ended has lost the order. */
static gboolean
is_loading(const Engine_t *engine)
{
    return engine->loading &&
           (engine->ordered_ms == 0 ||
            Clock_nowMs() - engine->ordered_ms < LOAD_PATIENCE_MS);
}

/* Returns TRUE where an order was sent. */
static gboolean
tend(Orders_t *this, Engine_t *engine, gboolean may_load)
{
    WantedWeights_t wanted;
    if (engine->open || !wanted_of(this, engine->upstream, &wanted)) {
        return FALSE;
    }
    gboolean is_known = engine->read_under == Lease_number(this->lease);
    gboolean has_wanted = strcmp(engine->weights->str, wanted.weights) == 0;
    if (this->spec.form->listed && is_known && has_wanted) {
        return FALSE;
    }
    if (is_state_old(this, engine)) {
        start_call(engine, NULL);
        return FALSE;
    }
    if (!is_known || is_loading(engine) || has_wanted || !may_load ||
        !may_order(this)) {
        return FALSE;
    }
    send_order(engine, &wanted);
    return TRUE;
}

static gboolean
is_mine(const Orders_t *this, const Upstream_t *upstream)
{
    WantedWeights_t wanted;
    return !upstream->leaving &&
           strcmp(upstream->region->str,
                  this->spec.settings->router.region->str) == 0 &&
           wanted_of(this, upstream, &wanted);
}

static void
tend_all(Orders_t *this)
{
    const GPtrArray *all = UpstreamSet_all(this->spec.upstreams);
    gint64 most = this->spec.settings->platform.weight_loads;
    guint loading = count_loading(this);
    for (guint i = 0; i < all->len; i++) {
        Upstream_t *upstream = g_ptr_array_index(all, i);
        Engine_t *engine =
            is_mine(this, upstream) ? engine_of(this, upstream) : NULL;
        if (engine && tend(this, engine, loading < most)) {
            loading++;
        }
    }
}

/* With a list the lease is wanted only while some engine lacks what is
 * wanted of it: each renewal is a call to the log. */
static gboolean
has_work(const Orders_t *this)
{
    const GPtrArray *all = UpstreamSet_all(this->spec.upstreams);
    for (guint i = 0; i < all->len; i++) {
        const Upstream_t *upstream = g_ptr_array_index(all, i);
        WantedWeights_t wanted;
        if (is_mine(this, upstream) && wanted_of(this, upstream, &wanted) &&
            (!this->spec.form->listed ||
             strcmp(upstream->weights->str, wanted.weights) != 0)) {
            return TRUE;
        }
    }
    return FALSE;
}

static void
on_tick(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Orders_t *this = data;
    guint rank =
        Membership_rank(this->spec.membership, this->scope->str, NULL);
    gint64 lasts_ms = this->spec.settings->platform.lease_ms;
    gboolean candidate = rank < CANDIDATES;
    gboolean wanted = candidate && has_work(this);
    Lease_follow(this->lease, candidate && this->spec.form->listed);
    Lease_want(this->lease, wanted, (gint64)rank * lasts_ms);
    if (wanted && Lease_remainingMs(this->lease) > 0) {
        tend_all(this);
    }
    Clock_arm(this->tick, TICK_MS);
}

Orders_t *
Orders_create(struct event_base *base, const OrdersSpec_t *spec)
{
    const Settings_t *settings = spec->settings;
    Orders_t *this = g_new0(Orders_t, 1);
    this->base = base;
    this->spec = *spec;
    this->scope = g_string_new("orders-");
    g_string_append(this->scope, settings->router.region->str);
    LeaseSpec_t lease = {
        .log = spec->log,
        .scope = this->scope->str,
        .holder = settings->router.name->str,
        .incarnation = spec->incarnation,
        .duration_ms = settings->platform.lease_ms,
        .poll_ms = settings->platform.log_poll_ms,
    };
    this->lease = Lease_create(base, &lease);
    this->engines =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_engine);
    this->calls = g_hash_table_new(g_direct_hash, g_direct_equal);
    this->tick = Clock_timer(base, on_tick, this);
    Clock_arm(this->tick, TICK_MS);
    return this;
}

void
Orders_destroy(Orders_t *this)
{
    GHashTableIter iter;
    gpointer call = NULL;
    g_hash_table_iter_init(&iter, this->calls);
    while (g_hash_table_iter_next(&iter, &call, NULL)) {
        HttpCall_cancel(((Call_t *)call)->http);
        g_free(call);
    }
    g_hash_table_destroy(this->calls);
    event_free(this->tick);
    g_hash_table_destroy(this->engines);
    Lease_destroy(this->lease);
    g_string_free(this->scope, TRUE);
    g_free(this);
}
