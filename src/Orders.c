#include "Orders.h"

#include <string.h>

#include "Clock.h"
#include "HttpCall.h"
#include "Json.h"
#include "Lease.h"
#include "Log.h"

#define TICK_MS 200
/* Routers that may take the lease; each waits for those before it. */
#define CANDIDATES 3
/* An engine's state is read again after so long. */
#define STATE_AGE_MS 1000
/* What a time-out may be off by. */
#define TIMER_MARGIN_MS 100
#define STATUS_STALE 409

/* What the holder knows of one engine under its own lease. */
typedef struct {
    Orders_t *owner;
    Upstream_t *upstream;
    guint64 read_under; /* number of the lease under which it was read */
    gint64 read_ms;
    GString *weights; /* as read, not as heard of */
    gboolean loading;
    gboolean open; /* a call is under way */
} Engine_t;

struct Orders {
    struct event_base *base;
    OrdersSpec_t spec;
    Lease_t *lease;
    GString *scope;
    GHashTable *engines; /* upstream's name -> Engine_t */
    GHashTable *calls;   /* set of HttpCall_t */
    struct event *tick;
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
    g_hash_table_replace(this->engines, g_strdup(upstream->name->str), engine);
    return engine;
}

/* The model that an engine serves decides; one engine has one version. */
static const char *
wanted_weights(const Orders_t *this, const Upstream_t *upstream)
{
    if (upstream->serves->len == 0) {
        return NULL;
    }
    const GString *name = g_ptr_array_index(upstream->serves, 0);
    const Object_t *model =
        ConfigStore_find(this->spec.config, OBJECT_MODEL, name->str);
    return model ? ((const Model_t *)model->spec)->weights->str : NULL;
}

static void
take_state(Engine_t *engine, const HttpAnswer_t *answer)
{
    Orders_t *this = engine->owner;
    Upstream_t *upstream = engine->upstream;
    json_t *body = Json_parse(answer->body, answer->length, NULL);
    const char *weights = Json_text(body, "weights");
    const char *loading = Json_text(body, "loading");
    guint64 incarnation = (guint64)Json_integer(body, "incarnation", 0);
    if (weights) {
        gboolean news =
            Upstream_noteIncarnation(upstream, incarnation, Clock_nowMs()) ||
            strcmp(upstream->weights->str, weights) != 0;
        Upstream_noteWeights(upstream, weights);
        upstream->reported_at_ms = Clock_nowMs();
        g_string_assign(engine->weights, weights);
        engine->loading = loading && *loading != '\0';
        engine->read_under = Lease_number(this->lease);
        engine->read_ms = Clock_nowMs();
        if (news) {
            Membership_noteUpstream(this->spec.membership,
                                    upstream->name->str);
        }
    }
    json_decref(body);
}

static void
take_order_answer(Engine_t *engine, const HttpAnswer_t *answer)
{
    const char *outcome = "accepted";
    if (answer->status == HTTP_OK) {
        engine->loading = TRUE;
    }
    else {
        outcome = answer->status == STATUS_STALE ? "stale" : "refused";
    }
    g_autofree char *labels = g_strdup_printf("outcome=\"%s\"", outcome);
    Counters_add(engine->owner->spec.counters, "orders_total", labels, 1);
}

/* An order whose answer was lost is not sent again before the engine's state
 * was read: it may have been carried out. */
static void
on_answer(const HttpAnswer_t *answer, const GError *error, void *data)
{
    Call_t *call = data;
    Engine_t *engine = call->engine;
    engine->open = FALSE;
    g_hash_table_remove(engine->owner->calls, call);
    if (error) {
        engine->read_under = 0;
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
start_call(Engine_t *engine, const char *path, GBytes *body, gboolean is_order)
{
    Orders_t *this = engine->owner;
    Call_t *call = g_new0(Call_t, 1);
    HttpCallSpec_t spec = {
        .address = &engine->upstream->address,
        .method = is_order ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
        .path = path,
        .body = body,
        .timeout_ms = this->spec.settings->platform.order_timeout_ms,
    };
    call->engine = engine;
    call->is_order = is_order;
    engine->open = TRUE;
    g_hash_table_add(this->calls, call);
    call->http = HttpCall_start(this->base, &spec, on_answer, call);
}

static void
send_order(Engine_t *engine, const char *weights)
{
    Orders_t *this = engine->owner;
    guint64 number = Lease_number(this->lease);
    json_t *body = json_pack("{s:I, s:s}", "fencing", (json_int_t)number,
                             "weights", weights);
    char *text = json_dumps(body, JSON_COMPACT);
    GBytes *bytes = g_bytes_new(text, strlen(text));
    Log_begin(LOG_LEVEL_INFO, "order_sent");
    Log_text("upstream", engine->upstream->name->str);
    Log_text("weights", weights);
    Log_number("fencing", (gint64)number);
    Log_end();
    start_call(engine, "/v1/orders", bytes, TRUE);
    g_bytes_unref(bytes);
    free(text);
    json_decref(body);
}

/* The whole time-out must lie within the lease. */
static gboolean
may_order(const Orders_t *this)
{
    return Lease_remainingMs(this->lease) >
           this->spec.settings->platform.order_timeout_ms + TIMER_MARGIN_MS;
}

static guint
count_loading(const Orders_t *this)
{
    guint count = 0;
    GHashTableIter iter;
    gpointer engine = NULL;
    g_hash_table_iter_init(&iter, this->engines);
    while (g_hash_table_iter_next(&iter, NULL, &engine)) {
        count += ((const Engine_t *)engine)->loading ? 1 : 0;
    }
    return count;
}

/* Returns TRUE where an order was sent. */
static gboolean
tend(Orders_t *this, Engine_t *engine, gboolean may_load)
{
    const char *wanted = wanted_weights(this, engine->upstream);
    if (engine->open || !wanted) {
        return FALSE;
    }
    gboolean is_known = engine->read_under == Lease_number(this->lease);
    gint64 age_ms = Clock_nowMs() - engine->read_ms;
    if (!is_known || (engine->loading && age_ms >= STATE_AGE_MS / 4) ||
        age_ms >= STATE_AGE_MS) {
        start_call(engine, "/v1/engine", NULL, FALSE);
        return FALSE;
    }
    if (engine->loading || strcmp(engine->weights->str, wanted) == 0 ||
        !may_load || !may_order(this)) {
        return FALSE;
    }
    send_order(engine, wanted);
    return TRUE;
}

static gboolean
is_mine(const Orders_t *this, const Upstream_t *upstream)
{
    return upstream->role == ROLE_ENGINE && !upstream->leaving &&
           strcmp(upstream->region->str,
                  this->spec.settings->router.region->str) == 0;
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

static void
on_tick(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Orders_t *this = data;
    guint rank =
        Membership_rank(this->spec.membership, this->scope->str, NULL);
    gint64 lasts_ms = this->spec.settings->platform.lease_ms;
    Lease_want(this->lease,
               rank < CANDIDATES && ConfigStore_foldOffset(this->spec.config),
               (gint64)rank * lasts_ms);
    if (Lease_remainingMs(this->lease) > 0) {
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
