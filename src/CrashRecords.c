#include "CrashRecords.h"

#include "Clock.h"
#include "CrashNews.h"
#include "Log.h"
#include "Random.h"
#include "StoreCalls.h"

/* Mean pause after a call that failed, doubled with each further one. With 300
 * routers that start while the store is down the last of these is some 40
 * calls a second. */
#define RETRY_MS 500
#define RETRY_DOUBLINGS 4
/* At a start the store is asked for what serving waits for first: where all
 * routers start at once it turns some calls away. */
#define READ_AFTER_MS 600
/* Writes that wait; what exceeds them is lost, with a line in the log. */
#define WRITES_MAX 1024

struct CrashRecords {
    CrashRecordsSpec_t spec;
    GString *after;     /* last key of the page before */
    GHashTable *writes; /* key -> GBytes, or NULL for a removal */
    GString *writing;   /* key of the write under way; empty for none */
    GBytes *written;    /* its value */
    guint found;        /* records at the start */
    guint failures;     /* calls in a row */
    struct event *read_later;
    struct event *write_later;
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
pause_ms(CrashRecords_t *this)
{
    gint64 mean_ms = (gint64)RETRY_MS << MIN(this->failures, RETRY_DOUBLINGS);
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
take_record(CrashRecords_t *this, const KeyedRecord_t *record)
{
    gsize size = 0;
    const guint8 *bytes =
        record->value ? g_bytes_get_data(record->value, &size) : NULL;
    Wt__CrashRecord *message =
        bytes ? wt__crash_record__unpack(NULL, size, bytes) : NULL;
    if (message && message->fact) {
        this->found++;
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
        Clock_arm(this->read_later, pause_ms(this));
        return;
    }
    this->failures = 0;
    for (guint i = 0; i < page->records->len; i++) {
        const KeyedRecord_t *record = g_ptr_array_index(page->records, i);
        take_record(this, record);
        g_string_assign(this->after, record->key->str);
    }
    if (page->more && page->records->len > 0) {
        read_next(this);
        return;
    }
    Log_begin(LOG_LEVEL_INFO, "crash_records_read");
    Log_number("records", this->found);
    Log_end();
    this->spec.read_all(this->spec.owner);
}

void
CrashRecords_skip(CrashRecords_t *this)
{
    evtimer_del(this->read_later);
}

static void
read_next(CrashRecords_t *this)
{
    const char *after = this->after->len > 0 ? this->after->str : NULL;
    StoreCause_t cause = after ? STORE_MORE : STORE_START;
    StoreCalls_note(this->spec.counters, this->spec.topic,
                    this->failures > 0 ? STORE_RETRY : cause);
    RecordSource_list(this->spec.source, this->spec.topic, after, on_page,
                      this);
}

static void
on_read_later(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    read_next(data);
}

/* What was changed while it was written is written again. */
static void
note_written(CrashRecords_t *this)
{
    gpointer value = NULL;
    if (g_hash_table_lookup_extended(this->writes, this->writing->str, NULL,
                                     &value) &&
        value == this->written) {
        g_hash_table_remove(this->writes, this->writing->str);
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
        note_written(this);
    }
    g_string_truncate(this->writing, 0);
    g_clear_pointer(&this->written, g_bytes_unref);
    if (error) {
        Clock_arm(this->write_later, pause_ms(this));
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
    if (this->writing->len > 0 ||
        !g_hash_table_iter_next(&iter, &key, &value)) {
        return;
    }
    g_string_assign(this->writing, key);
    this->written = value ? g_bytes_ref(value) : NULL;
    StoreCalls_note(this->spec.counters, this->spec.topic,
                    this->failures > 0 ? STORE_RETRY : STORE_KEEP);
    RecordSource_put(this->spec.source, this->spec.topic, this->writing->str,
                     this->written, on_put, this);
}

static void
on_write_later(evutil_socket_t fd, short what, void *data)
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
    this->after = g_string_new(NULL);
    this->writing = g_string_new(NULL);
    this->writes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_value);
    this->read_later = Clock_timer(base, on_read_later, this);
    this->write_later = Clock_timer(base, on_write_later, this);
    Clock_arm(this->read_later,
              READ_AFTER_MS / 2 + Random_below(READ_AFTER_MS));
    return this;
}

void
CrashRecords_destroy(CrashRecords_t *this)
{
    event_free(this->read_later);
    event_free(this->write_later);
    g_hash_table_destroy(this->writes);
    free_value(this->written);
    g_string_free(this->after, TRUE);
    g_string_free(this->writing, TRUE);
    g_free(this);
}

static void
add_write(CrashRecords_t *this, const RequestDigest_t *digest, GBytes *value)
{
    char key[REQUEST_DIGEST_TEXT + 1];
    RequestDigest_write(digest, key);
    if (g_hash_table_size(this->writes) >= WRITES_MAX) {
        Log_begin(LOG_LEVEL_WARNING, "crash_record_left_out");
        Log_text("digest", key);
        Log_end();
        free_value(value);
        return;
    }
    g_hash_table_replace(this->writes, g_strdup(key), value);
    if (!evtimer_pending(this->write_later, NULL)) {
        write_next(this);
    }
}

void
CrashRecords_keep(CrashRecords_t *this, const CrashEntry_t *entry)
{
    Wt__CrashRecord record = WT__CRASH_RECORD__INIT;
    Wt__CrashFact fact;
    guint64 ids[CRASHES_OF_ONE];
    CrashNews_write(entry, &fact, ids);
    record.fact = &fact;
    record.last_wall_ms = Clock_wallMs() - (Clock_nowMs() - entry->last_ms);
    gsize size = wt__crash_record__get_packed_size(&record);
    guint8 *bytes = g_malloc(size);
    wt__crash_record__pack(&record, bytes);
    add_write(this, &entry->digest, g_bytes_new_take(bytes, size));
}

void
CrashRecords_drop(CrashRecords_t *this, const RequestDigest_t *digest)
{
    add_write(this, digest, NULL);
}
