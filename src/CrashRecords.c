#include "CrashRecords.h"

#include "Clock.h"
#include "CrashUpdates.h"
#include "Log.h"
#include "Random.h"
#include "StoreCalls.h"

/* Mean pause after a failed call, doubled with each further failure in a row
 * up to RETRY_DOUBLINGS_MAX times. If 300 routers start while the store is
 * down, the longest pause leaves some 40 calls a second. */
#define RETRY_PAUSE_MS 500
#define RETRY_DOUBLINGS_MAX 4
/* Mean delay of the first read. Reads that serving depends on go first: the
 * store rejects some calls when all routers start at once. */
#define READ_DELAY_MS 600
/* Beyond this limit a new write is dropped and logged. */
#define PENDING_WRITES_MAX 1024

struct CrashRecords {
    CrashRecordsSpec_t spec;
    GString *last_key;     /* last key that was read */
    GHashTable *writes;    /* key -> GBytes, or NULL for a removal */
    GString *writing_key;  /* key of the write in progress; empty for none */
    GBytes *writing_value; /* value of that write; NULL for a removal */
    guint record_count;    /* records read */
    guint failures;        /* failed calls in a row */
    struct event *read_timer;
    struct event *write_timer;
};

static void read_next(CrashRecords_t *this);

static void write_next(CrashRecords_t *this);

static void
free_value(gpointer value)
{
    if (value) {
        g_bytes_unref(value);
    }
}

static gint64
next_pause_ms(CrashRecords_t *this)
{
    gint64 mean_ms = (gint64)RETRY_PAUSE_MS
                     << MIN(this->failures, RETRY_DOUBLINGS_MAX);
    this->failures++;
    return mean_ms / 2 + Random_below((guint32)mean_ms);
}

static void
log_failure(const CrashRecords_t *this, const char *event, const GError *error)
{
    if (this->failures == 0) {
        Log_error(event, error);
    }
}

static void
apply_record(CrashRecords_t *this, const KeyedRecord_t *record)
{
    gsize size = 0;
    const guint8 *bytes =
        record->value ? g_bytes_get_data(record->value, &size) : NULL;
    Wt__CrashRecord *message =
        bytes ? wt__crash_record__unpack(NULL, size, bytes) : NULL;
    if (message && message->fact) {
        this->record_count++;
        this->spec.read(this->spec.owner, message);
    }
    else if (bytes) {
        Log_begin(LOG_LEVEL_WARNING, "crash_record_unreadable");
        Log_text("key", record->key->str);
        Log_end();
    }
    if (message) {
        wt__crash_record__free_unpacked(message, NULL);
    }
}

static void
on_page(const KeyedPage_t *page, const GError *error, void *data)
{
    CrashRecords_t *this = data;
    if (!page) {
        log_failure(this, "crash_records_unread", error);
        Clock_arm(this->read_timer, next_pause_ms(this));
        return;
    }
    this->failures = 0;
    for (guint i = 0; i < page->records->len; i++) {
        const KeyedRecord_t *record = g_ptr_array_index(page->records, i);
        apply_record(this, record);
        g_string_assign(this->last_key, record->key->str);
    }
    if (page->more && page->records->len > 0) {
        read_next(this);
        return;
    }
    Log_begin(LOG_LEVEL_INFO, "crash_records_read");
    Log_number("records", this->record_count);
    Log_end();
    this->spec.read_all(this->spec.owner);
}

void
CrashRecords_skipRead(CrashRecords_t *this)
{
    evtimer_del(this->read_timer);
}

static void
read_next(CrashRecords_t *this)
{
    const char *last_key =
        this->last_key->len > 0 ? this->last_key->str : NULL;
    StoreCause_t cause = last_key ? STORE_MORE : STORE_START;
    StoreCalls_note(this->spec.counters, this->spec.topic,
                    this->failures > 0 ? STORE_RETRY : cause);
    RecordSource_list(this->spec.source, this->spec.topic, last_key, on_page,
                      this);
}

static void
on_read_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    read_next(data);
}

/* Removes the completed write from the queue, unless the record has changed
 * while it was written: the new value is written next. */
static void
remove_written(CrashRecords_t *this)
{
    gpointer value = NULL;
    if (g_hash_table_lookup_extended(this->writes, this->writing_key->str,
                                     NULL, &value) &&
        value == this->writing_value) {
        g_hash_table_remove(this->writes, this->writing_key->str);
    }
}

static void
on_put(const GError *error, void *data)
{
    CrashRecords_t *this = data;
    if (error) {
        log_failure(this, "crash_record_unwritten", error);
    }
    else {
        remove_written(this);
    }
    g_string_truncate(this->writing_key, 0);
    g_clear_pointer(&this->writing_value, g_bytes_unref);
    if (error) {
        Clock_arm(this->write_timer, next_pause_ms(this));
        return;
    }
    this->failures = 0;
    write_next(this);
}

static void
write_next(CrashRecords_t *this)
{
    GHashTableIter iter;
    gpointer key = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, this->writes);
    if (this->writing_key->len > 0 ||
        !g_hash_table_iter_next(&iter, &key, &value)) {
        return;
    }
    g_string_assign(this->writing_key, key);
    this->writing_value = value ? g_bytes_ref(value) : NULL;
    StoreCalls_note(this->spec.counters, this->spec.topic,
                    this->failures > 0 ? STORE_RETRY : STORE_WRITE);
    RecordSource_put(this->spec.source, this->spec.topic,
                     this->writing_key->str, this->writing_value, on_put,
                     this);
}

static void
on_write_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    write_next(data);
}

CrashRecords_t *
CrashRecords_create(struct event_base *base, const CrashRecordsSpec_t *spec)
{
    CrashRecords_t *this = g_new0(CrashRecords_t, 1);
    this->spec = *spec;
    this->last_key = g_string_new(NULL);
    this->writing_key = g_string_new(NULL);
    this->writes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_value);
    this->read_timer = Clock_timer(base, on_read_timer, this);
    this->write_timer = Clock_timer(base, on_write_timer, this);
    Clock_arm(this->read_timer,
              READ_DELAY_MS / 2 + Random_below(READ_DELAY_MS));
    return this;
}

void
CrashRecords_destroy(CrashRecords_t *this)
{
    event_free(this->read_timer);
    event_free(this->write_timer);
    g_hash_table_destroy(this->writes);
    free_value(this->writing_value);
    g_string_free(this->last_key, TRUE);
    g_string_free(this->writing_key, TRUE);
    g_free(this);
}

static void
add_write(CrashRecords_t *this, const RequestDigest_t *digest, GBytes *value)
{
    char key[REQUEST_DIGEST_TEXT + 1];
    RequestDigest_write(digest, key);
    if (g_hash_table_size(this->writes) >= PENDING_WRITES_MAX) {
        Log_begin(LOG_LEVEL_WARNING, "crash_record_left_out");
        Log_text("digest", key);
        Log_end();
        free_value(value);
        return;
    }
    g_hash_table_replace(this->writes, g_strdup(key), value);
    if (!evtimer_pending(this->write_timer, NULL)) {
        write_next(this);
    }
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
    gsize size = wt__crash_record__get_packed_size(&record);
    guint8 *bytes = g_malloc(size);
    wt__crash_record__pack(&record, bytes);
    add_write(this, &entry->digest, g_bytes_new_take(bytes, size));
}

void
CrashRecords_remove(CrashRecords_t *this, const RequestDigest_t *digest)
{
    add_write(this, digest, NULL);
}
