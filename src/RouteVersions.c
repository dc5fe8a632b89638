#include "RouteVersions.h"

#include <string.h>

#include "Clock.h"
#include "Log.h"

/* How long a router that starts waits for the word of a peer. Links come up
 * within some 20 ms of a start, and callers' connections wait for longer in
 * the kernel's queue (AcceptHold.h). */
#define PEERS_WAIT_MS 150

typedef struct {
    KeyedRecord_t *record;
    guint64 version;
} Newest_t;

struct RouteVersions {
    RouteVersionsSpec_t spec;
    GHashTable *newest; /* key -> Newest_t */
    RouteConfig_t
        *waiting; /* the first one, until peers were heard; or NULL */
    struct event *peers_over;
    guint64 told;      /* newest that a peer has in force */
    gint64 current_ms; /* when the records were last known to end, or 0 */
    gboolean heard;    /* peers, or there are none */
};

static void
free_newest(gpointer data)
{
    Newest_t *newest = data;
    KeyedRecord_free(newest->record);
    g_free(newest);
}

static void
log_in_force(const RouteConfig_t *config)
{
    Log_begin(LOG_LEVEL_INFO, "config_in_force");
    Log_number("version", (gint64)config->version);
    Log_number("routes", config->routes->len);
    Log_number("customers", config->customers->len);
    Log_number("keys", g_hash_table_size(config->keys));
    Log_end();
}

static void
put_in_force(RouteVersions_t *this, RouteConfig_t *config)
{
    if (RouteTable_take(this->spec.routes, config)) {
        log_in_force(config);
    }
    if (!RouteVersions_isBehind(this) && this->current_ms > 0) {
        RouteTable_noteCurrent(this->spec.routes, this->current_ms);
    }
}

static void
begin_serving(RouteVersions_t *this)
{
    if (this->waiting && this->heard && this->waiting->version >= this->told) {
        put_in_force(this, g_steal_pointer(&this->waiting));
    }
}

static void
log_waiting(const RouteVersions_t *this, guint64 version)
{
    Log_begin(LOG_LEVEL_INFO, "config_waits_for_peers");
    Log_number("version", (gint64)version);
    Log_number("told", (gint64)this->told);
    Log_end();
}

static void
wait_for_peers(RouteVersions_t *this, RouteConfig_t *config)
{
    log_waiting(this, config->version);
    g_clear_pointer(&this->waiting, RouteConfig_unref);
    this->waiting = config;
    begin_serving(this);
}

static void
on_peers_over(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    RouteVersions_t *this = data;
    this->heard = TRUE;
    begin_serving(this);
}

RouteVersions_t *
RouteVersions_create(struct event_base *base, const RouteVersionsSpec_t *spec)
{
    RouteVersions_t *this = g_new0(RouteVersions_t, 1);
    this->spec = *spec;
    this->newest =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_newest);
    this->heard = spec->is_alone;
    this->peers_over = Clock_timer(base, on_peers_over, this);
    Clock_arm(this->peers_over, PEERS_WAIT_MS);
    return this;
}

void
RouteVersions_destroy(RouteVersions_t *this)
{
    event_free(this->peers_over);
    g_clear_pointer(&this->waiting, RouteConfig_unref);
    g_hash_table_destroy(this->newest);
    g_free(this);
}

/* The same version is kept anew, as its record may stand elsewhere now. */
static gboolean
keep_newest(RouteVersions_t *this, const KeyedRecord_t *record,
            guint64 version)
{
    const Newest_t *known =
        g_hash_table_lookup(this->newest, record->key->str);
    if (known && version < known->version) {
        return FALSE;
    }
    if (known && version == known->version &&
        StorePosition_compare(record->position, known->record->position) < 0) {
        return FALSE;
    }
    gboolean is_newer = !known || version > known->version;
    Newest_t *newest = g_new0(Newest_t, 1);
    newest->version = version;
    newest->record =
        KeyedRecord_create(record->key->str, record->key->len,
                           g_bytes_ref(record->value), record->position);
    g_hash_table_replace(this->newest, newest->record->key->str, newest);
    return is_newer;
}

static void
log_passed_over(guint64 version)
{
    Log_begin(LOG_LEVEL_INFO, "config_passed_over");
    Log_number("version", (gint64)version);
    Log_end();
}

static void
take_config(RouteVersions_t *this, const KeyedRecord_t *record)
{
    g_autoptr(GError) error = NULL;
    RouteConfig_t *config =
        this->spec.form->decode_config(record->value, &error);
    if (!config) {
        Log_error("config_unreadable", error);
        return;
    }
    if (!keep_newest(this, record, config->version)) {
        log_passed_over(config->version);
        RouteConfig_unref(config);
    }
    else if (RouteTable_config(this->spec.routes)) {
        put_in_force(this, config);
    }
    else {
        wait_for_peers(this, config);
    }
}

/* How long ago a version was named that was there at the start is not known;
 * it is taken for nearly overdue. */
static gint64
named_ms(const RouteVersions_t *this)
{
    gint64 now_ms = Clock_nowMs();
    return this->current_ms > 0 ? now_ms : now_ms - this->spec.unknown_age_ms;
}

static void
take_weights(RouteVersions_t *this, const KeyedRecord_t *record)
{
    GString *model = g_string_new(NULL);
    guint64 version = 0;
    g_autoptr(GError) error = NULL;
    if (!this->spec.form->decode_weights(record->value, model, &version,
                                         &error)) {
        Log_error("weights_unreadable", error);
    }
    else if (keep_newest(this, record, version) &&
             ModelVersions_add(this->spec.weights, model->str, version,
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
void
RouteVersions_take(RouteVersions_t *this, const KeyedRecord_t *record)
{
    const PlatformForm_t *form = this->spec.form;
    if (!record->value) {
        Log_begin(LOG_LEVEL_WARNING, "operator_record_removed");
        Log_text("key", record->key->str);
        Log_end();
    }
    else if (strcmp(record->key->str, form->config_key) == 0) {
        take_config(this, record);
    }
    else if (g_str_has_prefix(record->key->str, form->weights_prefix)) {
        take_weights(this, record);
    }
}

void
RouteVersions_tell(RouteVersions_t *this, guint64 version)
{
    if (version == 0) {
        return;
    }
    this->told = MAX(this->told, version);
    this->heard = TRUE;
    begin_serving(this);
}

void
RouteVersions_noteCurrent(RouteVersions_t *this, gint64 at_ms)
{
    this->current_ms = MAX(this->current_ms, at_ms);
    if (!RouteVersions_isBehind(this)) {
        RouteTable_noteCurrent(this->spec.routes, at_ms);
    }
}

guint64
RouteVersions_newest(const RouteVersions_t *this)
{
    const Newest_t *newest =
        g_hash_table_lookup(this->newest, this->spec.form->config_key);
    return newest ? newest->version : 0;
}

gboolean
RouteVersions_isBehind(const RouteVersions_t *this)
{
    return RouteVersions_newest(this) < this->told;
}

guint64
RouteVersions_inForce(const RouteVersions_t *this)
{
    const RouteConfig_t *config = RouteTable_config(this->spec.routes);
    return config ? config->version : 0;
}

GPtrArray *
RouteVersions_apart(const RouteVersions_t *this, StorePosition_t from)
{
    GPtrArray *found = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, this->newest);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        KeyedRecord_t *record = ((Newest_t *)value)->record;
        if (record->position.epoch != from.epoch ||
            record->position.offset < from.offset) {
            g_ptr_array_add(found, record);
        }
    }
    return found;
}
