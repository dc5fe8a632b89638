#include "SoftwareVersions.h"

#include <string.h>

#include "BaseVersion.h"
#include "Log.h"

typedef struct {
    GRefString *service;
    GRefString *software;
    guint upstreams;    /* listed upstreams of this version */
    GHashTable *starts; /* &start of those that do not leave */
    gint64 ended_ms; /* when the last one was removed, while there is none */
} Version_t;

/* An upstream, or another target. */
typedef struct {
    Version_t *version;
    guint64 start; /* 0 for none, see SoftwareVersions_noteStart() */
} Listed_t;

typedef struct {
    SoftwareVersionsMixed_t call;
    void *owner;
} Callback_t;

struct SoftwareVersions {
    GHashTable *services;     /* name -> GPtrArray of Version_t */
    GHashTable *upstreams;    /* name -> Listed_t */
    GHashTable *mixed_before; /* names of services */
    GHashTable *known_before; /* names of services */
    GHashTable *bases;        /* service -> BaseVersion_t */
    GArray *callbacks;        /* Callback_t */
    gint64 window_ms;         /* see SoftwareVersions_setWindow() */
    gboolean is_learned;
    gboolean is_first; /* nothing served before this router started */
    gint64 since_ms;   /* when the first upstream was added */
};

static void
free_version(gpointer data)
{
    Version_t *version = data;
    g_ref_string_release(version->service);
    g_ref_string_release(version->software);
    g_hash_table_destroy(version->starts);
    g_free(version);
}

static void
free_versions(gpointer versions)
{
    g_ptr_array_unref(versions);
}

static void
free_base(gpointer base)
{
    BaseVersion_destroy(base);
}

SoftwareVersions_t *
SoftwareVersions_create(void)
{
    SoftwareVersions_t *this = g_new0(SoftwareVersions_t, 1);
    this->callbacks = g_array_new(FALSE, FALSE, sizeof(Callback_t));
    this->mixed_before =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    this->known_before =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    this->bases =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_base);
    this->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_versions);
    this->upstreams =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return this;
}

void
SoftwareVersions_destroy(SoftwareVersions_t *this)
{
    g_hash_table_destroy(this->upstreams);
    g_hash_table_destroy(this->services);
    g_hash_table_destroy(this->mixed_before);
    g_hash_table_destroy(this->known_before);
    g_hash_table_destroy(this->bases);
    g_array_unref(this->callbacks);
    g_free(this);
}

void
SoftwareVersions_setWindow(SoftwareVersions_t *this, gint64 window_ms)
{
    this->window_ms = window_ms;
}

void
SoftwareVersions_addMixedCallback(SoftwareVersions_t *this,
                                  SoftwareVersionsMixed_t mixed, void *owner)
{
    Callback_t callback = {mixed, owner};
    g_array_append_val(this->callbacks, callback);
}

static void
call_mixed(const SoftwareVersions_t *this, const char *service)
{
    for (guint i = 0; i < this->callbacks->len; i++) {
        const Callback_t *callback =
            &g_array_index(this->callbacks, Callback_t, i);
        callback->call(callback->owner, service);
    }
}

void
SoftwareVersions_noteMixedBefore(SoftwareVersions_t *this, const char *service)
{
    g_hash_table_add(this->mixed_before, g_strdup(service));
}

static void
log_version(const char *event, const Version_t *version, guint versions)
{
    Log_begin(LOG_LEVEL_INFO, event);
    Log_text("service", version->service);
    Log_text("software", version->software);
    Log_number("versions", versions);
    Log_end();
}

static void
remove_forgotten(GPtrArray *versions, gint64 now_ms)
{
    for (guint i = versions->len; i > 0; i--) {
        const Version_t *version = g_ptr_array_index(versions, i - 1);
        if (version->upstreams == 0 &&
            now_ms - version->ended_ms > SOFTWARE_VERSIONS_KEEP_MS) {
            g_ptr_array_remove_index(versions, i - 1);
        }
    }
}

static GPtrArray *
get_versions(SoftwareVersions_t *this, const char *service)
{
    GPtrArray *versions = g_hash_table_lookup(this->services, service);
    if (!versions) {
        versions = g_ptr_array_new_with_free_func(free_version);
        g_hash_table_insert(this->services, g_strdup(service), versions);
    }
    return versions;
}

static Version_t *
find_version(const GPtrArray *versions, const char *software)
{
    for (guint i = 0; i < versions->len; i++) {
        Version_t *version = g_ptr_array_index(versions, i);
        if (strcmp(version->software, software) == 0) {
            return version;
        }
    }
    return NULL;
}

static Version_t *
add_version(SoftwareVersions_t *this, const char *service,
            const char *software, gint64 now_ms)
{
    GPtrArray *versions = get_versions(this, service);
    Version_t *version = g_new0(Version_t, 1);
    remove_forgotten(versions, now_ms);
    version->service = g_ref_string_new_intern(service);
    version->software = g_ref_string_new_intern(software);
    version->starts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    g_ptr_array_add(versions, version);
    return version;
}

void
SoftwareVersions_noteBefore(SoftwareVersions_t *this, const char *service,
                            const char *software, gint64 now_ms)
{
    g_hash_table_add(this->known_before, g_strdup(service));
    SoftwareVersions_noteUsedBefore(this, service, software, now_ms);
}

void
SoftwareVersions_noteUsedBefore(SoftwareVersions_t *this, const char *service,
                                const char *software, gint64 now_ms)
{
    const GPtrArray *versions = get_versions(this, service);
    Version_t *version = find_version(versions, software);
    if (!version) {
        version = add_version(this, service, software, now_ms);
        log_version("software_recorded", version, versions->len);
    }
    version->ended_ms = now_ms;
}

void
SoftwareVersions_noteBaseBefore(SoftwareVersions_t *this, const char *service,
                                const char *software)
{
    if (*software == '\0' || g_hash_table_contains(this->bases, service)) {
        return;
    }
    g_hash_table_insert(this->bases, g_strdup(service),
                        BaseVersion_create(software, TRUE));
    if (get_versions(this, service)->len > 1) {
        call_mixed(this, service);
    }
}

void
SoftwareVersions_clearBases(SoftwareVersions_t *this)
{
    g_hash_table_remove_all(this->bases);
}

static BaseVersion_t *
get_base(const SoftwareVersions_t *this, const char *service)
{
    return g_hash_table_lookup(this->bases, service);
}

const char *
SoftwareVersions_findBase(const SoftwareVersions_t *this, const char *service)
{
    const BaseVersion_t *base = get_base(this, service);
    return base ? BaseVersion_software(base) : NULL;
}

static const Version_t *
find_base_version(const SoftwareVersions_t *this, const char *service)
{
    const char *base = SoftwareVersions_findBase(this, service);
    const GPtrArray *versions = g_hash_table_lookup(this->services, service);
    return base && versions ? find_version(versions, base) : NULL;
}

void
SoftwareVersions_noteBaseStarts(SoftwareVersions_t *this, const char *service,
                                const guint64 *starts, gsize count)
{
    BaseVersion_t *base = get_base(this, service);
    const Version_t *version = find_base_version(this, service);
    if (!base) {
        return;
    }
    BaseVersion_setRecorded(base, starts, count);
    if (!version) {
        return;
    }
    GHashTableIter iter;
    gpointer start = NULL;
    g_hash_table_iter_init(&iter, version->starts);
    while (g_hash_table_iter_next(&iter, &start, NULL)) {
        BaseVersion_noteListed(base, *(const guint64 *)start);
    }
}

gboolean
SoftwareVersions_isBaseServed(const SoftwareVersions_t *this,
                              const char *service)
{
    const BaseVersion_t *base = get_base(this, service);
    return base && BaseVersion_isServed(base);
}

gboolean
SoftwareVersions_isBaseListed(const SoftwareVersions_t *this,
                              const char *service)
{
    const Version_t *version = find_base_version(this, service);
    return version && g_hash_table_size(version->starts) > 0;
}

void
SoftwareVersions_noteFirstStart(SoftwareVersions_t *this)
{
    this->is_first = TRUE;
}

void
SoftwareVersions_learn(SoftwareVersions_t *this)
{
    this->is_learned = TRUE;
}

gboolean
SoftwareVersions_isLearned(const SoftwareVersions_t *this)
{
    return this->is_learned;
}

void
SoftwareVersions_noteGap(SoftwareVersions_t *this, gint64 now_ms)
{
    GHashTableIter iter;
    gpointer service = NULL;
    if (this->since_ms == 0) {
        return;
    }
    this->since_ms = now_ms;
    this->is_first = FALSE;
    g_hash_table_remove_all(this->known_before);
    SoftwareVersions_clearBases(this);
    Log_begin(LOG_LEVEL_INFO, "software_gap");
    Log_number("services", g_hash_table_size(this->services));
    Log_end();
    g_hash_table_iter_init(&iter, this->services);
    while (g_hash_table_iter_next(&iter, &service, NULL)) {
        call_mixed(this, service);
    }
}

/* Whether this router has seen all versions of the last @window_ms itself. */
static gboolean
has_seen_all(const SoftwareVersions_t *this, gint64 window_ms, gint64 now_ms)
{
    return this->since_ms > 0 && now_ms - this->since_ms >= window_ms;
}

/* Whether the only version of a service is known without the records, which
 * do not state versions that joined while the store took none. */
static gboolean
is_seen_alone(const SoftwareVersions_t *this, gint64 now_ms)
{
    return this->is_first || has_seen_all(this, this->window_ms, now_ms);
}

static gboolean
is_base_named(const SoftwareVersions_t *this, const char *service,
              const char *software)
{
    const char *base = SoftwareVersions_findBase(this, service);
    return base && strcmp(base, software) == 0;
}

/* To be called before the service gets another version. What is recorded of
 * the base still counts if this router knows its version from there alone. */
static void
note_base(SoftwareVersions_t *this, const char *service, gint64 now_ms)
{
    const char *only =
        SoftwareVersions_findOnly(this, service, this->window_ms, now_ms);
    if (!only) {
        return;
    }
    gboolean is_seen = is_seen_alone(this, now_ms);
    if (is_seen || !is_base_named(this, service, only)) {
        const Version_t *version =
            find_version(g_hash_table_lookup(this->services, service), only);
        gboolean is_listed = g_hash_table_size(version->starts) > 0;
        g_hash_table_replace(this->bases, g_strdup(service),
                             BaseVersion_create(only, is_seen && is_listed));
    }
}

static void
log_base_ended(const Version_t *version)
{
    Log_begin(LOG_LEVEL_INFO, "software_base_ended");
    Log_text("service", version->service);
    Log_text("base", version->software);
    Log_end();
}

static gboolean
is_base(const SoftwareVersions_t *this, const Version_t *version)
{
    return is_base_named(this, version->service, version->software);
}

static void
add_start(const SoftwareVersions_t *this, const Version_t *version,
          guint64 start)
{
    g_hash_table_add(version->starts, g_memdup2(&start, sizeof(start)));
    if (is_base(this, version)) {
        BaseVersion_noteListed(get_base(this, version->service), start);
    }
}

static void
remove_start(const SoftwareVersions_t *this, const Version_t *version,
             guint64 start)
{
    gboolean was_listed = g_hash_table_remove(version->starts, &start);
    if (was_listed && g_hash_table_size(version->starts) == 0 &&
        is_base(this, version)) {
        BaseVersion_noteEnded(get_base(this, version->service));
        log_base_ended(version);
    }
}

static void
release(const SoftwareVersions_t *this, const Listed_t *listed, gint64 now_ms)
{
    Version_t *version = listed->version;
    remove_start(this, version, listed->start);
    version->upstreams--;
    if (version->upstreams > 0) {
        return;
    }
    const GPtrArray *versions =
        g_hash_table_lookup(this->services, version->service);
    version->ended_ms = now_ms;
    log_version("software_ended", version, versions->len);
}

static gboolean
is_current(const Version_t *version, const char *service, const char *software)
{
    return strcmp(version->software, software) == 0 &&
           strcmp(version->service, service) == 0;
}

void
SoftwareVersions_put(SoftwareVersions_t *this, const char *upstream,
                     const char *service, const char *software, gint64 now_ms)
{
    this->since_ms = this->since_ms > 0 ? this->since_ms : now_ms;
    SoftwareVersions_putTarget(this, upstream, service, software, now_ms);
}

static void
add_listed(const SoftwareVersions_t *this, const char *upstream,
           Version_t *version)
{
    Listed_t *listed = g_new0(Listed_t, 1);
    listed->version = version;
    version->upstreams++;
    g_hash_table_replace(this->upstreams, g_strdup(upstream), listed);
}

void
SoftwareVersions_putTarget(SoftwareVersions_t *this, const char *upstream,
                           const char *service, const char *software,
                           gint64 now_ms)
{
    const Listed_t *listed = g_hash_table_lookup(this->upstreams, upstream);
    if (listed && is_current(listed->version, service, software)) {
        return;
    }
    g_autofree Listed_t *old = g_memdup2(listed, sizeof(*listed));
    const GPtrArray *versions = get_versions(this, service);
    Version_t *version = find_version(versions, software);
    if (!version || version->upstreams == 0) {
        note_base(this, service, now_ms);
    }
    if (!version) {
        version = add_version(this, service, software, now_ms);
        log_version("software_listed", version, versions->len);
    }
    gboolean gets_another = version->upstreams == 0 && versions->len > 1;
    add_listed(this, upstream, version);
    if (old) {
        release(this, old, now_ms);
    }
    if (gets_another) {
        call_mixed(this, service);
    }
}

void
SoftwareVersions_remove(SoftwareVersions_t *this, const char *upstream,
                        gint64 now_ms)
{
    const Listed_t *listed = g_hash_table_lookup(this->upstreams, upstream);
    if (listed) {
        release(this, listed, now_ms);
        g_hash_table_remove(this->upstreams, upstream);
    }
}

void
SoftwareVersions_noteStart(SoftwareVersions_t *this, const char *upstream,
                           guint64 start)
{
    Listed_t *listed = g_hash_table_lookup(this->upstreams, upstream);
    if (!listed || listed->start == start) {
        return;
    }
    guint64 former = listed->start;
    listed->start = start;
    if (start != 0) {
        add_start(this, listed->version, start);
    }
    remove_start(this, listed->version, former);
}

gboolean
SoftwareVersions_isKnown(const SoftwareVersions_t *this, const char *service,
                         gint64 window_ms, gint64 now_ms)
{
    gboolean is_recorded =
        this->is_learned &&
        (this->is_first ||
         g_hash_table_contains(this->known_before, service)) &&
        !g_hash_table_contains(this->mixed_before, service);
    return is_recorded || has_seen_all(this, window_ms, now_ms);
}

static gboolean
has_served_within(const Version_t *version, gint64 window_ms, gint64 now_ms)
{
    return version->upstreams > 0 || now_ms - version->ended_ms < window_ms;
}

const char *
SoftwareVersions_findSole(const SoftwareVersions_t *this, const char *service,
                          gint64 window_ms, gint64 now_ms)
{
    const GPtrArray *versions = g_hash_table_lookup(this->services, service);
    const char *only = NULL;
    for (guint i = 0; versions && i < versions->len; i++) {
        const Version_t *version = g_ptr_array_index(versions, i);
        if (!has_served_within(version, window_ms, now_ms)) {
            continue;
        }
        if (only) {
            return NULL;
        }
        only = version->software;
    }
    return only;
}

const char *
SoftwareVersions_findOnly(const SoftwareVersions_t *this, const char *service,
                          gint64 window_ms, gint64 now_ms)
{
    return SoftwareVersions_isKnown(this, service, window_ms, now_ms)
               ? SoftwareVersions_findSole(this, service, window_ms, now_ms)
               : NULL;
}

void
SoftwareVersions_forEachService(const SoftwareVersions_t *this,
                                void (*call)(void *owner, const char *service),
                                void *owner)
{
    GHashTableIter iter;
    gpointer service = NULL;
    g_hash_table_iter_init(&iter, this->services);
    while (g_hash_table_iter_next(&iter, &service, NULL)) {
        call(owner, service);
    }
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

GPtrArray *
SoftwareVersions_listServing(const SoftwareVersions_t *this,
                             const char *service, gint64 window_ms,
                             gint64 now_ms)
{
    GPtrArray *out = g_ptr_array_new();
    const GPtrArray *versions = g_hash_table_lookup(this->services, service);
    for (guint i = 0; versions && i < versions->len; i++) {
        const Version_t *version = g_ptr_array_index(versions, i);
        if (has_served_within(version, window_ms, now_ms)) {
            g_ptr_array_add(out, version->software);
        }
    }
    g_ptr_array_sort(out, compare_names);
    return out;
}

static const Version_t *
find_sure_version(const SoftwareVersions_t *this, const char *service,
                  gint64 now_ms)
{
    const char *only =
        SoftwareVersions_findOnly(this, service, this->window_ms, now_ms);
    if (only && is_seen_alone(this, now_ms)) {
        return find_version(g_hash_table_lookup(this->services, service),
                            only);
    }
    gboolean is_other = only && !is_base_named(this, service, only);
    return !is_other && SoftwareVersions_isBaseServed(this, service)
               ? find_base_version(this, service)
               : NULL;
}

GArray *
SoftwareVersions_listStarts(const SoftwareVersions_t *this,
                            const char *service, gint64 now_ms)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(guint64));
    const Version_t *version = find_sure_version(this, service, now_ms);
    if (!version) {
        return out;
    }
    GHashTableIter iter;
    gpointer start = NULL;
    g_hash_table_iter_init(&iter, version->starts);
    while (g_hash_table_iter_next(&iter, &start, NULL)) {
        g_array_append_vals(out, start, 1);
    }
    return out;
}
