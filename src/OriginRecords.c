#include "OriginRecords.h"

#include <string.h>

#include "Clock.h"
#include "Log.h"
#include "Random.h"
#include "StoredRecords.h"
#include "peer.pb-c.h"

/* Mean delay of the first read, unless a caller waits for it: the store
 * rejects some calls when all routers start at once. */
#define READ_DELAY_MS 600
/* Shortest interval between writes of this router. What began since the last
 * one is unknown if all routers are lost. */
#define WRITE_INTERVAL_MS 40
/* Interval between the writes of any two routers: 200 calls per second. */
#define WRITE_SHARE_MS 5
/* Age of a record whose streams can no longer be continued, with a margin for
 * clocks that differ. */
#define RECORD_AGE_MAX_MS G_GINT64_CONSTANT(600000)
/* Delay after which the records of routers that no longer exist are removed.
 */
#define REMOVE_DELAY_MS G_GINT64_CONSTANT(60000)
/* Interval at which the records are read again while callers wait, and the
 * share of each router in it. */
#define READ_AGAIN_MS 200
#define READ_AGAIN_SHARE_MS 10
/* Size of a hash key; longer names of routers are truncated, in the same way
 * on all routers. */
#define KEY_SIZE 128

static const StoredRecordsEvents_t events = {
    .read = "origin_records_read",
    .unread = "origin_records_unread",
    .unwritten = "origin_record_unwritten",
    .unreadable = "origin_record_unreadable",
    .left_out = "origin_record_left_out",
};

struct OriginRecords {
    OriginRecordsSpec_t spec;
    OriginKeeper_t *keeper;
    StoredRecords_t *records;
    GPtrArray *read_keys; /* names of the routers whose records were read */
    struct event *write_timer;
    struct event *remove_timer;
    struct event *carry_timer; /* drops what a former process stated */
    GBytes *written;           /* the last write */
    gint64 read_ms;            /* when the last read began */
    gint64 written_ms; /* when the record was last written; 0 for never */
    guint restored;    /* streams that were read */
    guint left_out;    /* streams that were read and not kept */
    gboolean is_read;
    gboolean is_changed;
};

/* Streams of one version, while a record is made. */
typedef struct {
    Wt__OriginGroup message;
    GByteArray *digests;
} Group_t;

typedef struct {
    GPtrArray *groups; /* Group_t */
    guint skipped;     /* oldest streams to leave out */
    guint streams;
} Writing_t;

static void
free_group(gpointer data)
{
    Group_t *group = data;
    g_byte_array_unref(group->digests);
    g_free(group);
}

/* The names are those of the entry, which outlives the writing. */
static Group_t *
get_group(const Writing_t *writing, const StreamOrigin_t *entry)
{
    for (guint i = 0; i < writing->groups->len; i++) {
        Group_t *group = g_ptr_array_index(writing->groups, i);
        if (strcmp(group->message.service, entry->service) == 0 &&
            strcmp(group->message.software, entry->software) == 0) {
            return group;
        }
    }
    Group_t *group = g_new0(Group_t, 1);
    wt__origin_group__init(&group->message);
    group->message.service = entry->service;
    group->message.software = entry->software;
    group->digests = g_byte_array_new();
    g_ptr_array_add(writing->groups, group);
    return group;
}

static void
count_stream(void *owner, StreamOrigin_t *entry)
{
    Writing_t *writing = owner;
    (void)entry;
    writing->streams++;
}

static void
add_stream(void *owner, StreamOrigin_t *entry)
{
    Writing_t *writing = owner;
    if (writing->skipped > 0) {
        writing->skipped--;
        return;
    }
    g_byte_array_append(get_group(writing, entry)->digests,
                        entry->digest.bytes, sizeof(entry->digest.bytes));
}

static GBytes *
pack(const Wt__OriginRecord *record)
{
    gsize size = wt__origin_record__get_packed_size(record);
    guint8 *bytes = g_malloc(size);
    wt__origin_record__pack(record, bytes);
    return g_bytes_new_take(bytes, size);
}

static void
fill_use(Wt__OriginGroup *out, const VersionUse_t *use)
{
    wt__origin_group__init(out);
    out->service = use->service;
    out->software = use->software;
    out->first = use->base;
    out->process = use->process;
}

static GBytes *
pack_groups(const GPtrArray *groups, const GPtrArray *uses)
{
    Wt__OriginRecord record = WT__ORIGIN_RECORD__INIT;
    guint count = groups->len + uses->len;
    g_autofree Wt__OriginGroup **pointers =
        g_new(Wt__OriginGroup *, MAX(count, 1));
    g_autofree Wt__OriginGroup *stated =
        g_new(Wt__OriginGroup, MAX(uses->len, 1));
    for (guint i = 0; i < uses->len; i++) {
        fill_use(&stated[i], g_ptr_array_index(uses, i));
        pointers[groups->len + i] = &stated[i];
    }
    for (guint i = 0; i < groups->len; i++) {
        Group_t *group = g_ptr_array_index(groups, i);
        group->message.digests.data = group->digests->data;
        group->message.digests.len = group->digests->len;
        pointers[i] = &group->message;
    }
    record.wall_ms = Clock_wallMs();
    record.n_groups = count;
    record.groups = pointers;
    return pack(&record);
}

static guint
count_routers(const OriginRecords_t *this)
{
    return this->spec.membership
               ? Membership_countActive(this->spec.membership)
               : 1;
}

static void
free_written(OriginRecords_t *this)
{
    g_clear_pointer(&this->written, g_bytes_unref);
}

static void
write_record(OriginRecords_t *this)
{
    Writing_t writing = {
        .groups = g_ptr_array_new_with_free_func(free_group),
    };
    OriginKeeper_forEachRecorded(this->keeper, count_stream, &writing);
    if (writing.streams > ORIGIN_RECORD_STREAMS_MAX) {
        writing.skipped = writing.streams - ORIGIN_RECORD_STREAMS_MAX;
    }
    OriginKeeper_forEachRecorded(this->keeper, add_stream, &writing);
    g_autoptr(GPtrArray) uses =
        VersionGate_list(this->spec.gate, Clock_nowMs());
    free_written(this);
    this->written = pack_groups(writing.groups, uses);
    StoredRecords_setRouters(this->records, count_routers(this));
    StoredRecords_put(this->records, this->spec.router, this->written);
    g_ptr_array_unref(writing.groups);
    this->is_changed = FALSE;
    this->written_ms = Clock_nowMs();
}

static gint64
write_interval_ms(const OriginRecords_t *this)
{
    return MAX(WRITE_INTERVAL_MS,
               (gint64)count_routers(this) * WRITE_SHARE_MS);
}

static void
on_write_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    write_record(data);
}

/* The record of an earlier process of this router is not replaced before it
 * was read. */
static void
arm_write(OriginRecords_t *this)
{
    gint64 due_ms = this->written_ms + write_interval_ms(this);
    if (this->is_read && this->is_changed &&
        !evtimer_pending(this->write_timer, NULL)) {
        Clock_arm(this->write_timer, MAX(due_ms - Clock_nowMs(), 0));
    }
}

void
OriginRecords_scheduleWrite(OriginRecords_t *this)
{
    this->is_changed = TRUE;
    OriginRecords_scheduleRead(this, FALSE);
    arm_write(this);
}

static void
restore_group(OriginRecords_t *this, const Wt__OriginGroup *group,
              gboolean is_own)
{
    RequestDigest_t digest;
    gsize count = group->digests.len / sizeof(digest.bytes);
    for (gsize i = 0; i < MIN(count, ORIGIN_RECORD_STREAMS_MAX); i++) {
        memcpy(digest.bytes, group->digests.data + i * sizeof(digest.bytes),
               sizeof(digest.bytes));
        if (OriginKeeper_restore(this->keeper, &digest, group->service,
                                 group->software, is_own)) {
            this->restored++;
        }
        else {
            this->left_out++;
        }
    }
}

static gboolean
is_outdated(const Wt__OriginRecord *record)
{
    gint64 age_ms = Clock_wallMs() - record->wall_ms;
    return age_ms > RECORD_AGE_MAX_MS || age_ms < -RECORD_AGE_MAX_MS;
}

static gboolean
states_use(const Wt__OriginRecord *record, const char *service)
{
    for (gsize i = 0; i < record->n_groups; i++) {
        const Wt__OriginGroup *group = record->groups[i];
        if (group->process != 0 && strcmp(group->service, service) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

static void
read_use(const OriginRecords_t *this, const Wt__OriginRecord *record,
         const Wt__OriginGroup *group, gboolean is_former)
{
    VersionUse_t use = {
        .service = group->service,
        .software = group->software,
        .base = group->first,
        .process = group->process,
    };
    if (group->process == 0 && states_use(record, group->service)) {
        return;
    }
    VersionGate_read(this->spec.gate, &use);
    if (is_former && group->process != 0) {
        VersionGate_carry(this->spec.gate, &use, Clock_nowMs());
    }
}

/* The versions that a former process stated may have served without being in
 * the record of versions. */
static void
read_uses(const OriginRecords_t *this, const Wt__OriginRecord *record,
          gboolean is_own)
{
    for (gsize i = 0; i < record->n_groups; i++) {
        const Wt__OriginGroup *group = record->groups[i];
        read_use(this, record, group, is_own && !this->is_read);
        if (!this->is_read && group->process != 0 && !is_outdated(record)) {
            SoftwareVersions_noteUsedBefore(this->spec.versions,
                                            group->service, group->software,
                                            Clock_nowMs());
        }
    }
}

/* Streams of this process are known, and those of former ones were read. */
static void
restore_groups(OriginRecords_t *this, const Wt__OriginRecord *record,
               gboolean is_own)
{
    if (is_outdated(record) || (is_own && this->is_read)) {
        return;
    }
    for (gsize i = 0; i < record->n_groups; i++) {
        restore_group(this, record->groups[i], is_own);
    }
}

static gboolean
on_read(void *owner, const char *key, GBytes *value)
{
    OriginRecords_t *this = owner;
    gsize size = 0;
    const guint8 *bytes = g_bytes_get_data(value, &size);
    gboolean is_own = strcmp(key, this->spec.router) == 0;
    Wt__OriginRecord *record = wt__origin_record__unpack(NULL, size, bytes);
    if (!this->is_read) {
        g_ptr_array_add(this->read_keys, g_strdup(key));
    }
    if (!record) {
        VersionGate_noteUnreadable(this->spec.gate);
        return FALSE;
    }
    read_uses(this, record, is_own);
    restore_groups(this, record, is_own);
    wt__origin_record__free_unpacked(record, NULL);
    return TRUE;
}

static void
on_read_all(void *owner)
{
    OriginRecords_t *this = owner;
    VersionGate_endRead(this->spec.gate);
    if (this->is_read) {
        OriginKeeper_finishRestore(this->keeper);
        return;
    }
    this->is_read = TRUE;
    Log_begin(LOG_LEVEL_INFO, "origins_restored");
    Log_number("routers", this->read_keys->len);
    Log_number("streams", this->restored);
    Log_number("left_out", this->left_out);
    Log_end();
    OriginKeeper_finishRestore(this->keeper);
    Clock_arm(this->remove_timer, REMOVE_DELAY_MS);
    Clock_arm(this->carry_timer, REMOVE_DELAY_MS);
    arm_write(this);
}

static void
on_written(void *owner, const char *key, const GBytes *value)
{
    const OriginRecords_t *this = owner;
    (void)key;
    if (value && value == this->written) {
        VersionGate_noteWritten(this->spec.gate, Clock_nowMs());
    }
}

static void
on_carry_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    OriginRecords_t *this = data;
    if (VersionGate_hasCarried(this->spec.gate)) {
        OriginRecords_scheduleWrite(this);
    }
}

static gboolean
is_remover(const OriginRecords_t *this, const char *router)
{
    char key[KEY_SIZE];
    g_snprintf(key, sizeof(key), "origins/%s", router);
    return this->spec.membership &&
           Membership_isConverged(this->spec.membership) &&
           !Membership_isMember(this->spec.membership, router) &&
           Membership_localRank(this->spec.membership, key, NULL) == 0;
}

/* Names of routers that were replaced do not come back. */
static void
on_remove_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    OriginRecords_t *this = data;
    for (guint i = 0; i < this->read_keys->len; i++) {
        const char *router = g_ptr_array_index(this->read_keys, i);
        if (strcmp(router, this->spec.router) != 0 &&
            is_remover(this, router)) {
            StoredRecords_remove(this->records, router);
        }
    }
    g_ptr_array_set_size(this->read_keys, 0);
}

OriginRecords_t *
OriginRecords_create(struct event_base *base, const OriginRecordsSpec_t *spec)
{
    OriginRecords_t *this = g_new0(OriginRecords_t, 1);
    this->spec = *spec;
    this->read_keys = g_ptr_array_new_with_free_func(g_free);
    this->write_timer = Clock_timer(base, on_write_timer, this);
    this->remove_timer = Clock_timer(base, on_remove_timer, this);
    this->carry_timer = Clock_timer(base, on_carry_timer, this);
    StoredRecordsSpec_t records = {
        .source = spec->source,
        .topic = spec->topic,
        .counters = spec->counters,
        .events = &events,
        .read = on_read,
        .read_all = on_read_all,
        .written = on_written,
        .owner = this,
    };
    this->records = StoredRecords_create(base, &records);
    return this;
}

void
OriginRecords_setKeeper(OriginRecords_t *this, OriginKeeper_t *keeper)
{
    this->keeper = keeper;
}

void
OriginRecords_scheduleRead(OriginRecords_t *this, gboolean is_urgent)
{
    gint64 delay_ms = READ_DELAY_MS / 2 + Random_below(READ_DELAY_MS);
    StoredRecords_setRouters(this->records, count_routers(this));
    StoredRecords_scheduleRead(this->records, is_urgent ? 0 : delay_ms);
}

void
OriginRecords_readAgain(OriginRecords_t *this)
{
    gint64 now_ms = Clock_nowMs();
    gint64 interval_ms =
        MAX(READ_AGAIN_MS, (gint64)count_routers(this) * READ_AGAIN_SHARE_MS);
    if (!this->is_read || now_ms - this->read_ms < interval_ms) {
        return;
    }
    if (StoredRecords_readAgain(this->records)) {
        this->read_ms = now_ms;
        VersionGate_beginRead(this->spec.gate, now_ms);
    }
}

void
OriginRecords_destroy(OriginRecords_t *this)
{
    event_free(this->write_timer);
    event_free(this->remove_timer);
    event_free(this->carry_timer);
    free_written(this);
    StoredRecords_destroy(this->records);
    g_ptr_array_unref(this->read_keys);
    g_free(this);
}
