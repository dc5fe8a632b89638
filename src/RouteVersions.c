#include "RouteVersions.h"

#include <string.h>

#include "Allocator.h"
#include "Clock.h"
#include "Log.h"

/* How long a starting router waits for the version of a peer. Links are
 * connected within some 20 ms of the start, and callers' connections wait
 * longer than this timeout in the kernel's queue (AcceptHold.h). */
#define PEER_WAIT_MS 150

/* Longer values are applied after what is due in the event loop. */
#define LONG_VALUE_BYTES 16384

typedef struct {
    KeyedRecord_t *record;
    guint64 version;
} VersionedRecord_t;

struct RouteVersions {
    RouteVersionsSpec_t spec;
    GHashTable *newest; /* key -> VersionedRecord_t */
    /* The first configuration, until is_wait_over; or NULL */
    RouteConfig_t *pending;
    struct event *peer_timeout;
    guint64 peer_version;  /* highest version that a peer has in force */
    gint64 current_ms;     /* when all records were last known, or 0 */
    gboolean is_wait_over; /* a peer sent its version, or none is waited for */
    GQueue *waiting;       /* KeyedRecord_t to be applied, oldest first */
    struct event *apply;   /* applies the first of them */
    gint64 waiting_ms;     /* current_ms after that, or 0 */
};

static void
free_versioned_record(gpointer data)
{
    VersionedRecord_t *newest = data;
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
    if (RouteTable_update(this->spec.routes, config)) {
        log_in_force(config);
    }
    if (!RouteVersions_isBehind(this) && this->current_ms > 0) {
        RouteTable_noteCurrent(this->spec.routes, this->current_ms);
    }
}

static void
promote_pending(RouteVersions_t *this)
{
    if (this->pending && this->is_wait_over &&
        this->pending->version >= this->peer_version) {
        put_in_force(this, g_steal_pointer(&this->pending));
    }
}

static void
log_waiting(const RouteVersions_t *this, guint64 version)
{
    Log_begin(LOG_LEVEL_INFO, "config_waits_for_peers");
    Log_number("version", (gint64)version);
    Log_number("told", (gint64)this->peer_version);
    Log_end();
}

static void
set_pending(RouteVersions_t *this, RouteConfig_t *config)
{
    log_waiting(this, config->version);
    g_clear_pointer(&this->pending, RouteConfig_unref);
    this->pending = config;
    promote_pending(this);
}

static void
on_peer_timeout(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    RouteVersions_t *this = data;
    this->is_wait_over = TRUE;
    promote_pending(this);
}

/* A record with the same version replaces the stored one if its position is
 * not lower, as the operators may have written it again. */
static gboolean
store_if_newest(RouteVersions_t *this, const KeyedRecord_t *record,
                guint64 version)
{
    const VersionedRecord_t *known =
        g_hash_table_lookup(this->newest, record->key->str);
    if (known && version < known->version) {
        return FALSE;
    }
    if (known && version == known->version &&
        StorePosition_compare(record->position, known->record->position) < 0) {
        return FALSE;
    }
    gboolean is_newer = !known || version > known->version;
    VersionedRecord_t *newest = g_new0(VersionedRecord_t, 1);
    newest->version = version;
    newest->record =
        KeyedRecord_create(record->key->str, record->key->len,
                           g_bytes_ref(record->value), record->position);
    g_hash_table_replace(this->newest, newest->record->key->str, newest);
    return is_newer;
}

static void
log_ignored(guint64 version)
{
    Log_begin(LOG_LEVEL_INFO, "config_passed_over");
    Log_number("version", (gint64)version);
    Log_end();
}

static void
apply_config(RouteVersions_t *this, const KeyedRecord_t *record)
{
    g_autoptr(GError) error = NULL;
    RouteConfig_t *config =
        this->spec.form->decode_config(record->value, &error);
    if (!config) {
        Log_error("config_unreadable", error);
        return;
    }
    if (!store_if_newest(this, record, config->version)) {
        log_ignored(config->version);
        RouteConfig_unref(config);
    }
    else if (RouteTable_config(this->spec.routes)) {
        put_in_force(this, config);
    }
    else {
        set_pending(this, config);
    }
}

/* For a version that existed before the start, the time at which it was set is
 * unknown; unknown_age_ms makes it nearly overdue. */
static gint64
version_named_ms(const RouteVersions_t *this)
{
    gint64 now_ms = Clock_nowMs();
    return this->current_ms > 0 ? now_ms : now_ms - this->spec.unknown_age_ms;
}

static void
apply_weights(RouteVersions_t *this, const KeyedRecord_t *record)
{
    GString *model = g_string_new(NULL);
    guint64 version = 0;
    g_autoptr(GError) error = NULL;
    if (!this->spec.form->decode_weights(record->value, model, &version,
                                         &error)) {
        Log_error("weights_unreadable", error);
    }
    else if (store_if_newest(this, record, version) &&
             ModelVersions_add(this->spec.weights, model->str, version,
                               version_named_ms(this))) {
        Log_begin(LOG_LEVEL_INFO, "weights_named");
        Log_text("model", model->str);
        Log_number("version", (gint64)version);
        Log_end();
    }
    g_string_free(model, TRUE);
}

/* A removed record has no effect: the configuration stays in force, as nothing
 * replaces it. */
static void
apply_record(RouteVersions_t *this, const KeyedRecord_t *record)
{
    const PlatformForm_t *form = this->spec.form;
    if (!record->value) {
        Log_begin(LOG_LEVEL_WARNING, "operator_record_removed");
        Log_text("key", record->key->str);
        Log_end();
    }
    else if (strcmp(record->key->str, form->config_key) == 0) {
        apply_config(this, record);
    }
    else if (g_str_has_prefix(record->key->str, form->weights_prefix)) {
        apply_weights(this, record);
    }
}

static gboolean
is_long(const KeyedRecord_t *record)
{
    return record->value && g_bytes_get_size(record->value) > LONG_VALUE_BYTES;
}

void
RouteVersions_apply(RouteVersions_t *this, const KeyedRecord_t *record)
{
    if (!is_long(record) && g_queue_is_empty(this->waiting)) {
        apply_record(this, record);
        return;
    }
    GBytes *value = record->value ? g_bytes_ref(record->value) : NULL;
    g_queue_push_tail(this->waiting,
                      KeyedRecord_create(record->key->str, record->key->len,
                                         value, record->position));
    Clock_arm(this->apply, 0);
}

static void
on_apply(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    RouteVersions_t *this = data;
    KeyedRecord_t *record = g_queue_pop_head(this->waiting);
    gsize bytes = record->value ? g_bytes_get_size(record->value) : 0;
    apply_record(this, record);
    KeyedRecord_free(record);
    Allocator_giveBack(bytes);
    if (!g_queue_is_empty(this->waiting)) {
        Clock_arm(this->apply, 0);
    }
    else if (this->waiting_ms > 0) {
        RouteVersions_noteCurrent(this, this->waiting_ms);
        this->waiting_ms = 0;
    }
}

RouteVersions_t *
RouteVersions_create(struct event_base *base, const RouteVersionsSpec_t *spec)
{
    RouteVersions_t *this = g_new0(RouteVersions_t, 1);
    this->spec = *spec;
    this->newest = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                         free_versioned_record);
    this->is_wait_over = spec->is_alone;
    this->waiting = g_queue_new();
    this->apply = Clock_timer(base, on_apply, this);
    this->peer_timeout = Clock_timer(base, on_peer_timeout, this);
    Clock_arm(this->peer_timeout, PEER_WAIT_MS);
    return this;
}

void
RouteVersions_destroy(RouteVersions_t *this)
{
    event_free(this->peer_timeout);
    event_free(this->apply);
    g_queue_free_full(this->waiting, KeyedRecord_free);
    g_clear_pointer(&this->pending, RouteConfig_unref);
    g_hash_table_destroy(this->newest);
    g_free(this);
}

void
RouteVersions_notePeerVersion(RouteVersions_t *this, guint64 version)
{
    if (version == 0) {
        return;
    }
    this->peer_version = MAX(this->peer_version, version);
    this->is_wait_over = TRUE;
    promote_pending(this);
}

void
RouteVersions_noteCurrent(RouteVersions_t *this, gint64 at_ms)
{
    if (!g_queue_is_empty(this->waiting)) {
        this->waiting_ms = MAX(this->waiting_ms, at_ms);
        return;
    }
    this->current_ms = MAX(this->current_ms, at_ms);
    if (!RouteVersions_isBehind(this)) {
        RouteTable_noteCurrent(this->spec.routes, at_ms);
    }
}

guint64
RouteVersions_newest(const RouteVersions_t *this)
{
    const VersionedRecord_t *newest =
        g_hash_table_lookup(this->newest, this->spec.form->config_key);
    return newest ? newest->version : 0;
}

gboolean
RouteVersions_isBehind(const RouteVersions_t *this)
{
    return g_queue_is_empty(this->waiting) &&
           RouteVersions_newest(this) < this->peer_version;
}

guint64
RouteVersions_inForce(const RouteVersions_t *this)
{
    const RouteConfig_t *config = RouteTable_config(this->spec.routes);
    return config ? config->version : 0;
}

GPtrArray *
RouteVersions_listLost(const RouteVersions_t *this, StorePosition_t from)
{
    GPtrArray *found = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, this->newest);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        KeyedRecord_t *record = ((VersionedRecord_t *)value)->record;
        if (record->position.epoch != from.epoch ||
            record->position.offset < from.offset) {
            g_ptr_array_add(found, record);
        }
    }
    return found;
}
