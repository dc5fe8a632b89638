#include "SoftwareRecords.h"

#include "Clock.h"
#include "Log.h"
#include "Random.h"
#include "StoredRecords.h"
#include "peer.pb-c.h"

/* Mean delay of the first read, unless a caller waits for it: the store
 * rejects some calls when all routers start at once. */
#define READ_DELAY_MS 600
/* Interval at which the versions are compared with the records. */
#define CHECK_MS 1000
/* Size of a hash key; longer names of services are truncated, in the same way
 * on all routers. */
#define KEY_SIZE 128
/* Starts that a record states: some stay listed when a hall fails. */
#define RECORD_STARTS_MAX 64
/* Versions that a record states; a service with more counts as one with
 * several unknown versions. */
#define RECORD_VERSIONS_MAX 32

static const StoredRecordsEvents_t events = {
    .read = "software_records_read",
    .unread = "software_records_unread",
    .unwritten = "software_record_unwritten",
    .unreadable = "software_record_unreadable",
    .left_out = "software_record_left_out",
};

struct SoftwareRecords {
    SoftwareRecordsSpec_t spec;
    StoredRecords_t *records;
    GHashTable *stored; /* service -> Stored_t, written or read last */
    struct event *timer;
};

typedef struct {
    GBytes *versions;
    GArray *starts;   /* guint64 */
    gint64 repeat_ms; /* when it is written again; 0 for never */
} Stored_t;

static void
free_stored(gpointer data)
{
    Stored_t *stored = data;
    g_bytes_unref(stored->versions);
    g_array_unref(stored->starts);
    g_free(stored);
}

/* Until the membership has converged each router would rank first. */
static gboolean
is_writer(const SoftwareRecords_t *this, const char *name)
{
    char key[KEY_SIZE];
    if (!this->spec.membership) {
        return TRUE;
    }
    g_snprintf(key, sizeof(key), "software/%s", name);
    return Membership_isConverged(this->spec.membership) &&
           Membership_localRank(this->spec.membership, key, NULL) <
               SOFTWARE_RECORD_WRITERS;
}

static GBytes *
pack(const Wt__SoftwareRecord *record)
{
    gsize size = wt__software_record__get_packed_size(record);
    guint8 *bytes = g_malloc(size);
    wt__software_record__pack(record, bytes);
    return g_bytes_new_take(bytes, size);
}

/* Packs the versions alone, by which records are compared. */
static GBytes *
pack_versions(const Wt__SoftwareRecord *record)
{
    Wt__SoftwareRecord versions = WT__SOFTWARE_RECORD__INIT;
    versions.n_software = record->n_software;
    versions.software = record->software;
    return pack(&versions);
}

static GArray *
read_starts(const Wt__SoftwareRecord *record)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(guint64));
    g_array_append_vals(out, record->starts,
                        (guint)MIN(record->n_starts, RECORD_STARTS_MAX));
    return out;
}

static void
note_stored(const SoftwareRecords_t *this, const char *service,
            const Wt__SoftwareRecord *record, gint64 repeat_ms)
{
    Stored_t *stored = g_new0(Stored_t, 1);
    stored->versions = pack_versions(record);
    stored->starts = read_starts(record);
    stored->repeat_ms = repeat_ms;
    g_hash_table_replace(this->stored, g_strdup(service), stored);
}

static void
set_versions(Wt__SoftwareRecord *record, const GPtrArray *versions)
{
    if (versions->len <= RECORD_VERSIONS_MAX) {
        record->n_software = versions->len;
        record->software = (char **)versions->pdata;
    }
}

static void
set_starts(Wt__SoftwareRecord *record, const GArray *starts)
{
    record->states_starts = TRUE;
    record->n_starts = MIN(starts->len, RECORD_STARTS_MAX);
    record->starts = (guint64 *)starts->data;
}

static gboolean
has_start(const GArray *starts, guint64 start)
{
    for (guint i = 0; i < starts->len; i++) {
        if (g_array_index(starts, guint64, i) == start) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Upstreams come and go: the record is written anew once few of those that it
 * names are left. */
static gboolean
has_enough_starts(const Stored_t *stored, const GArray *starts)
{
    guint left = 0;
    for (guint i = 0; i < starts->len; i++) {
        left += has_start(stored->starts, g_array_index(starts, guint64, i))
                    ? 1
                    : 0;
    }
    return 2 * left >= MIN(starts->len, RECORD_STARTS_MAX);
}

static gboolean
is_stored(const SoftwareRecords_t *this, const char *service,
          const GBytes *versions, const GArray *starts)
{
    const Stored_t *stored = g_hash_table_lookup(this->stored, service);
    return stored && g_bytes_equal(stored->versions, versions) &&
           has_enough_starts(stored, starts);
}

/* The store may carry out an earlier write late, of this router or another
 * one, whose answer was lost. */
static gboolean
is_repeat_due(const SoftwareRecords_t *this, const char *service)
{
    const Stored_t *stored = g_hash_table_lookup(this->stored, service);
    return stored && stored->repeat_ms > 0 &&
           Clock_nowMs() >= stored->repeat_ms;
}

static guint64
newest_epoch(const SoftwareRecords_t *this)
{
    return this->spec.epoch ? StoreEpoch_newest(this->spec.epoch) : 0;
}

static const char *
find_base(const SoftwareRecords_t *this, const char *service)
{
    const char *base = SoftwareVersions_findBase(this->spec.versions, service);
    return base ? base : "";
}

static void
store(const SoftwareRecords_t *this, const char *service,
      Wt__SoftwareRecord *record)
{
    record->router = (char *)this->spec.router;
    record->wall_ms = Clock_wallMs();
    record->epoch = newest_epoch(this);
    record->first = (char *)find_base(this, service);
    g_autoptr(GBytes) value = pack(record);
    StoredRecords_put(this->records, service, value);
    Log_begin(LOG_LEVEL_INFO, "software_record_written");
    Log_text("service", service);
    Log_number("versions", (gint64)record->n_software);
    Log_text("first", record->n_software > 0 ? record->software[0] : "");
    Log_number("starts", (gint64)record->n_starts);
    Log_end();
}

static gint64
next_repeat_ms(const SoftwareRecords_t *this)
{
    return this->spec.repeat_ms > 0 ? Clock_nowMs() + this->spec.repeat_ms : 0;
}

/* Another router may have replaced the record of one that does not write it,
 * so that it writes anew once it does. */
static void
update_record(const SoftwareRecords_t *this, const char *service,
              const GPtrArray *serving)
{
    Wt__SoftwareRecord record = WT__SOFTWARE_RECORD__INIT;
    g_autoptr(GArray) starts = SoftwareVersions_listStarts(
        this->spec.versions, service, Clock_nowMs());
    set_versions(&record, serving);
    set_starts(&record, starts);
    g_autoptr(GBytes) versions = pack_versions(&record);
    gboolean is_written = is_stored(this, service, versions, starts);
    if (is_written && !is_repeat_due(this, service)) {
        return;
    }
    if (is_writer(this, service)) {
        store(this, service, &record);
        note_stored(this, service, &record,
                    is_written ? 0 : next_repeat_ms(this));
    }
    else {
        g_hash_table_remove(this->stored, service);
    }
}

static GPtrArray *
list_serving(const SoftwareRecords_t *this, const char *service,
             gint64 window_ms)
{
    return SoftwareVersions_listServing(this->spec.versions, service,
                                        window_ms, Clock_nowMs());
}

/* The record of a service that no longer exists is removed. */
static void
remove_record(const SoftwareRecords_t *this, const char *service)
{
    g_autoptr(GPtrArray) remembered =
        list_serving(this, service, SOFTWARE_VERSIONS_KEEP_MS);
    if (remembered->len == 0 && g_hash_table_contains(this->stored, service) &&
        is_writer(this, service)) {
        StoredRecords_remove(this->records, service);
        g_hash_table_remove(this->stored, service);
    }
}

static gboolean
is_known(const SoftwareRecords_t *this, const char *service)
{
    return SoftwareVersions_isKnown(this->spec.versions, service,
                                    this->spec.window_ms, Clock_nowMs());
}

/* The versions of a service without upstreams remain those that it had last. A
 * router that found no record does not know which versions served before its
 * start, and its record would pass for one that states them all. */
static void
check_service(void *owner, const char *service)
{
    const SoftwareRecords_t *this = owner;
    g_autoptr(GPtrArray) serving =
        list_serving(this, service, this->spec.window_ms);
    if (serving->len > 0 && is_known(this, service)) {
        update_record(this, service, serving);
    }
    else if (serving->len == 0) {
        remove_record(this, service);
    }
}

/* Other routers read the records once they need them. */
static void
read_if_writer(void *owner, const char *service)
{
    SoftwareRecords_t *this = owner;
    if (is_writer(this, service)) {
        SoftwareRecords_scheduleRead(this, FALSE);
    }
}

/* What this router has not read it must not replace: the record may state
 * versions that other routers have not read yet. */
static void
check_services(SoftwareRecords_t *this)
{
    if (SoftwareVersions_isLearned(this->spec.versions)) {
        SoftwareVersions_forEachService(this->spec.versions, check_service,
                                        this);
    }
    else {
        SoftwareVersions_forEachService(this->spec.versions, read_if_writer,
                                        this);
    }
    Clock_arm(this->timer, CHECK_MS);
}

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    check_services(data);
}

static void
on_mixed(void *owner, const char *service)
{
    SoftwareRecords_t *this = owner;
    (void)service;
    check_services(this);
}

/* The first of all versions is not the base of those that joined the one that
 * was left alone. */
static const char *
find_recorded_base(const Wt__SoftwareRecord *record)
{
    return record->n_software == 1 ? record->software[0] : record->first;
}

/* A record that is older than the copy that the store serves may not be the
 * last one that was written. What this router has seen counts more. */
static void
note_base(const SoftwareRecords_t *this, const char *service,
          const Wt__SoftwareRecord *record)
{
    if (record->epoch != newest_epoch(this) ||
        SoftwareVersions_findBase(this->spec.versions, service)) {
        return;
    }
    SoftwareVersions_noteBaseBefore(this->spec.versions, service,
                                    find_recorded_base(record));
    if (record->states_starts) {
        SoftwareVersions_noteBaseStarts(
            this->spec.versions, service, record->starts,
            MIN(record->n_starts, RECORD_STARTS_MAX));
    }
}

static void
note_versions(SoftwareRecords_t *this, const char *service,
              const Wt__SoftwareRecord *record)
{
    if (record->n_software == 0) {
        SoftwareVersions_noteMixedBefore(this->spec.versions, service);
    }
    for (gsize i = 0; i < record->n_software; i++) {
        SoftwareVersions_noteBefore(this->spec.versions, service,
                                    record->software[i], Clock_nowMs());
    }
    note_base(this, service, record);
    note_stored(this, service, record, 0);
}

static gboolean
on_read(void *owner, const char *key, GBytes *value)
{
    SoftwareRecords_t *this = owner;
    gsize size = 0;
    const guint8 *bytes = g_bytes_get_data(value, &size);
    Wt__SoftwareRecord *record =
        wt__software_record__unpack(NULL, size, bytes);
    if (!record) {
        SoftwareVersions_noteMixedBefore(this->spec.versions, key);
        return FALSE;
    }
    note_versions(this, key, record);
    wt__software_record__free_unpacked(record, NULL);
    return TRUE;
}

static void
on_read_all(void *owner)
{
    SoftwareRecords_t *this = owner;
    if (this->spec.is_first_start) {
        SoftwareVersions_noteFirstStart(this->spec.versions);
    }
    SoftwareVersions_learn(this->spec.versions);
    check_services(this);
}

/* The copy may have older records. */
static void
on_store_restored(void *owner)
{
    SoftwareRecords_t *this = owner;
    g_hash_table_remove_all(this->stored);
    SoftwareVersions_clearBases(this->spec.versions);
    check_services(this);
}

SoftwareRecords_t *
SoftwareRecords_create(struct event_base *base,
                       const SoftwareRecordsSpec_t *spec)
{
    SoftwareRecords_t *this = g_new0(SoftwareRecords_t, 1);
    this->spec = *spec;
    this->stored =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_stored);
    this->timer = Clock_timer(base, on_timer, this);
    StoredRecordsSpec_t records = {
        .source = spec->source,
        .topic = spec->topic,
        .counters = spec->counters,
        .events = &events,
        .read = on_read,
        .read_all = on_read_all,
        .owner = this,
    };
    this->records = StoredRecords_create(base, &records);
    SoftwareVersions_setWindow(spec->versions, spec->window_ms);
    SoftwareVersions_addMixedCallback(spec->versions, on_mixed, this);
    if (spec->epoch) {
        StoreEpoch_addListener(spec->epoch, on_store_restored, this);
    }
    Clock_arm(this->timer, CHECK_MS);
    return this;
}

void
SoftwareRecords_scheduleRead(SoftwareRecords_t *this, gboolean is_urgent)
{
    gint64 delay_ms = READ_DELAY_MS / 2 + Random_below(READ_DELAY_MS);
    guint routers = this->spec.membership
                        ? Membership_countActive(this->spec.membership)
                        : 1;
    StoredRecords_setRouters(this->records, routers);
    StoredRecords_scheduleRead(this->records, is_urgent ? 0 : delay_ms);
}

void
SoftwareRecords_setWindow(SoftwareRecords_t *this, gint64 window_ms)
{
    this->spec.window_ms = window_ms;
    SoftwareVersions_setWindow(this->spec.versions, window_ms);
}

void
SoftwareRecords_destroy(SoftwareRecords_t *this)
{
    if (this->spec.epoch) {
        StoreEpoch_removeListener(this->spec.epoch, this);
    }
    event_free(this->timer);
    StoredRecords_destroy(this->records);
    g_hash_table_destroy(this->stored);
    g_free(this);
}
