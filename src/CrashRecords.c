#include "CrashRecords.h"

#include "Clock.h"
#include "CrashUpdates.h"
#include "PartUpdates.h"
#include "Random.h"
#include "StoredRecords.h"

/* Mean delay of the first read. Reads that serving depends on go first: the
 * store rejects some calls when all routers start at once. */
#define READ_DELAY_MS 600

static const StoredRecordsEvents_t events = {
    .read = "crash_records_read",
    .unread = "crash_records_unread",
    .unwritten = "crash_record_unwritten",
    .unreadable = "crash_record_unreadable",
    .left_out = "crash_record_left_out",
};

struct CrashRecords {
    CrashRecordsSpec_t spec;
    StoredRecords_t *records;
};

static gboolean
on_read(void *owner, const char *key, GBytes *value)
{
    (void)key;
    const CrashRecords_t *this = owner;
    gsize size = 0;
    const guint8 *bytes = g_bytes_get_data(value, &size);
    Wt__CrashRecord *message = wt__crash_record__unpack(NULL, size, bytes);
    gboolean is_valid = message && message->fact;
    if (is_valid) {
        this->spec.read(this->spec.owner, message);
    }
    if (message) {
        wt__crash_record__free_unpacked(message, NULL);
    }
    return is_valid;
}

static void
on_read_all(void *owner)
{
    const CrashRecords_t *this = owner;
    this->spec.read_all(this->spec.owner);
}

CrashRecords_t *
CrashRecords_create(struct event_base *base, const CrashRecordsSpec_t *spec)
{
    CrashRecords_t *this = g_new0(CrashRecords_t, 1);
    this->spec = *spec;
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
    StoredRecords_scheduleRead(this->records, READ_DELAY_MS / 2 +
                                                  Random_below(READ_DELAY_MS));
    return this;
}

void
CrashRecords_skipRead(CrashRecords_t *this)
{
    StoredRecords_skipRead(this->records);
}

void
CrashRecords_destroy(CrashRecords_t *this)
{
    StoredRecords_destroy(this->records);
    g_free(this);
}

static void
put_record(CrashRecords_t *this, const RequestDigest_t *digest,
           const Wt__CrashRecord *record)
{
    char key[REQUEST_DIGEST_TEXT + 1];
    gsize size = wt__crash_record__get_packed_size(record);
    guint8 *bytes = g_malloc(size);
    RequestDigest_write(digest, key);
    wt__crash_record__pack(record, bytes);
    g_autoptr(GBytes) value = g_bytes_new_take(bytes, size);
    StoredRecords_put(this->records, key, value);
}

void
CrashRecords_store(CrashRecords_t *this, const CrashEntry_t *entry)
{
    Wt__CrashRecord record = WT__CRASH_RECORD__INIT;
    Wt__CrashFact fact;
    guint64 ids[CRASHES_PER_REQUEST_MAX];
    CrashUpdates_encode(entry, &fact, ids);
    record.fact = &fact;
    record.last_wall_ms = Clock_wallMs() - (Clock_nowMs() - entry->last_ms);
    put_record(this, &entry->digest, &record);
}

void
CrashRecords_storePart(CrashRecords_t *this, const PartEntry_t *entry)
{
    Wt__CrashRecord record = WT__CRASH_RECORD__INIT;
    Wt__CrashFact fact = WT__CRASH_FACT__INIT;
    PartMessage_t part;
    PartUpdates_encode(entry, &part);
    fact.digest = part.fact.digest;
    record.fact = &fact;
    record.part = &part.fact;
    record.part_wall_ms = Clock_wallMs();
    record.last_wall_ms =
        record.part_wall_ms - (Clock_nowMs() - entry->last_ms);
    put_record(this, &entry->part.digest, &record);
}

void
CrashRecords_remove(CrashRecords_t *this, const RequestDigest_t *digest)
{
    char key[REQUEST_DIGEST_TEXT + 1];
    RequestDigest_write(digest, key);
    StoredRecords_remove(this->records, key);
}
