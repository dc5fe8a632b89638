#include "RouteSync.h"

#include <string.h>

#include "Clock.h"
#include "FreshnessRelay.h"
#include "Log.h"
#include "RecordFollower.h"

/* How often it is checked whether peers still tell something. */
#define TICK_MS 200
/* Where peers have told nothing for so long, a router asks for itself, as
 * those that ask for all may be gone or cut off; not more often than once in
 * the second time. */
#define UNTOLD_MS 1800
#define ASK_EVERY_MS 1000
/* Who is behind the others asks not more often than this. */
#define ASK_BEHIND_MS 400

struct RouteSync {
    RouteSyncSpec_t spec;
    RecordFollower_t *follower;
    FreshnessRelay_t *relay;
    struct event *tick;
    gint64 asked_ms;
    gboolean current; /* all that was there at the start has been read */
};

static void
take_config(RouteSync_t *this, GBytes *value)
{
    g_autoptr(GError) error = NULL;
    RouteConfig_t *config = this->spec.form->decode_config(value, &error);
    if (!config) {
        Log_error("config_unreadable", error);
        return;
    }
    guint64 version = config->version;
    gboolean taken = RouteTable_take(this->spec.routes, config);
    Log_begin(LOG_LEVEL_INFO,
              taken ? "config_in_force" : "config_passed_over");
    Log_number("version", (gint64)version);
    if (taken) {
        Log_number("routes", config->routes->len);
        Log_number("customers", config->customers->len);
        Log_number("keys", g_hash_table_size(config->keys));
    }
    Log_end();
}

/* How long ago a version was named that was there at the start is not known;
 * it is taken for nearly overdue. */
static gint64
named_ms(const RouteSync_t *this)
{
    gint64 now_ms = Clock_nowMs();
    return this->current ? now_ms : now_ms - this->spec.unknown_age_ms;
}

static void
take_weights(RouteSync_t *this, GBytes *value)
{
    GString *model = g_string_new(NULL);
    guint64 version = 0;
    g_autoptr(GError) error = NULL;
    if (!this->spec.form->decode_weights(value, model, &version, &error)) {
        Log_error("weights_unreadable", error);
    }
    else if (NamedWeights_take(this->spec.weights, model->str, version,
                               named_ms(this))) {
        Log_begin(LOG_LEVEL_INFO, "weights_named");
        Log_text("model", model->str);
        Log_number("version", (gint64)version);
        Log_end();
    }
    g_string_free(model, TRUE);
}

/* A configuration that was removed stays in force: nothing takes its place.
 */
static void
on_record(void *owner, const KeyedRecord_t *record)
{
    RouteSync_t *this = owner;
    const char *key = record->key->str;
    GBytes *value = record->value;
    if (!value) {
        Log_begin(LOG_LEVEL_WARNING, "operator_record_removed");
        Log_text("key", key);
        Log_end();
    }
    else if (strcmp(key, this->spec.form->config_key) == 0) {
        take_config(this, value);
    }
    else if (g_str_has_prefix(key, this->spec.form->weights_prefix)) {
        take_weights(this, value);
    }
}

static void
on_current(void *owner, guint64 offset, gint64 at_ms)
{
    RouteSync_t *this = owner;
    this->current = TRUE;
    RouteTable_noteCurrent(this->spec.routes, at_ms);
    FreshnessRelay_note(this->relay, offset, at_ms);
    RecordFollower_setWait(this->follower, FreshnessRelay_isReader(this->relay)
                                               ? this->spec.reader_wait_ms
                                               : this->spec.wait_ms);
}

static void
ask_store(RouteSync_t *this, gint64 least_ms)
{
    gint64 now_ms = Clock_nowMs();
    if (now_ms - this->asked_ms >= least_ms) {
        this->asked_ms = now_ms;
        RecordFollower_ask(this->follower);
    }
}

/* Only who has read to the same end knows that nothing newer existed. Who has
 * not reads at once: the read that is held may hang on a link that was cut. */
static void
on_fresh(void *owner, guint64 offset, gint64 at_ms)
{
    RouteSync_t *this = owner;
    guint64 known = RecordFollower_offset(this->follower);
    if (known == offset) {
        RouteTable_noteCurrent(this->spec.routes, at_ms);
    }
    else if (known < offset) {
        ask_store(this, ASK_BEHIND_MS);
    }
}

static const FreshnessRelayEvents_t relay_events = {.fresh = on_fresh};

static const RecordFollowerEvents_t follower_events = {
    .record = on_record,
    .current = on_current,
};

static void
on_tick(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    RouteSync_t *this = data;
    if (!RouteTable_isFresh(this->spec.routes, UNTOLD_MS)) {
        ask_store(this, ASK_EVERY_MS);
    }
    Clock_arm(this->tick, TICK_MS);
}

RouteSync_t *
RouteSync_create(struct event_base *base, const RouteSyncSpec_t *spec)
{
    RouteSync_t *this = g_new0(RouteSync_t, 1);
    this->spec = *spec;
    RecordFollowerSpec_t follow = {
        .source = spec->source,
        .topic = spec->form->config_topic,
        .wait_ms = spec->reader_wait_ms,
    };
    this->relay =
        FreshnessRelay_create(base, spec->membership, &relay_events, this);
    this->follower =
        RecordFollower_create(base, &follow, &follower_events, this);
    this->tick = Clock_timer(base, on_tick, this);
    Clock_arm(this->tick, TICK_MS);
    return this;
}

void
RouteSync_setWaits(RouteSync_t *this, gint64 reader_wait_ms, gint64 wait_ms)
{
    this->spec.reader_wait_ms = reader_wait_ms;
    this->spec.wait_ms = wait_ms;
}

void
RouteSync_destroy(RouteSync_t *this)
{
    RecordFollower_destroy(this->follower);
    FreshnessRelay_destroy(this->relay);
    event_free(this->tick);
    g_free(this);
}

void
RouteSync_take(RouteSync_t *this, const Wt__ConfigCurrent *message)
{
    FreshnessRelay_take(this->relay, message);
}
