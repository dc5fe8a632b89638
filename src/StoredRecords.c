#include "StoredRecords.h"

#include "Clock.h"
#include "Errors.h"
#include "Log.h"
#include "Random.h"
#include "StoreCalls.h"

/* Mean pause after a failed call, doubled with each further failure in a row
 * up to RETRY_DOUBLINGS_MAX times. If 300 routers start while the store is
 * down, the longest pause leaves some 40 calls a second. */
#define RETRY_PAUSE_MS 500
#define RETRY_DOUBLINGS_MAX 4
/* Longest mean pause where callers wait for what is read or written: as that
 * of the followers of other topics, but at most 40 calls a second of all
 * routers.
 */
#define RETRY_MAX_MIN_MS 800
#define RETRY_SHARE_MS 25
/* Beyond this limit a new write is dropped and logged. */
#define PENDING_WRITES_MAX 1024

struct StoredRecords {
    StoredRecordsSpec_t spec;
    GString *last_key;     /* last key that was read */
    GHashTable *writes;    /* key -> GBytes, or NULL for a removal */
    GString *writing_key;  /* key of the write in progress; empty for none */
    GBytes *writing_value; /* value of that write; NULL for a removal */
    guint record_count;    /* records read */
    guint failures;        /* failed calls in a row */
    gboolean is_read_begun;
    gboolean is_reading;
    gboolean is_whole;   /* all records were read */
    gint64 retry_max_ms; /* longest mean pause after a failed call */
    gint64 read_at_ms;   /* when the first read is scheduled; 0 for never */
    struct event *read_timer;
    struct event *write_timer;
};

static void read_next(StoredRecords_t *this);

static void write_next(StoredRecords_t *this);

static void
free_value(gpointer value)
{
    if (value) {
        g_bytes_unref(value);
    }
}

static gint64
next_pause_ms(StoredRecords_t *this)
{
    gint64 doubled_ms = (gint64)RETRY_PAUSE_MS
                        << MIN(this->failures, RETRY_DOUBLINGS_MAX);
    gint64 mean_ms = MIN(doubled_ms, this->retry_max_ms);
    this->failures++;
    return mean_ms / 2 + Random_below((guint32)mean_ms);
}

static void
log_failure(const StoredRecords_t *this, const char *event,
            const GError *error)
{
    if (this->failures == 0) {
        Log_error(event, error);
    }
}

static void
apply_record(StoredRecords_t *this, const KeyedRecord_t *record)
{
    if (record->value && KeyedRecord_hasValidKey(record) &&
        this->spec.read(this->spec.owner, record->key->str, record->value)) {
        this->record_count++;
    }
    else if (record->value) {
        Log_begin(LOG_LEVEL_WARNING, this->spec.events->unreadable);
        Log_text("key", record->key->str);
        Log_end();
    }
}

static void
on_page(const KeyedPage_t *page, const GError *error, void *data)
{
    StoredRecords_t *this = data;
    if (g_error_matches(error, WT_ERROR, WT_ERROR_LATE)) {
        return; /* the call continues */
    }
    if (!page) {
        log_failure(this, this->spec.events->unread, error);
        Clock_arm(this->read_timer, next_pause_ms(this));
        return;
    }
    this->failures = 0;
    for (guint i = 0; i < page->records->len; i++) {
        const KeyedRecord_t *record = g_ptr_array_index(page->records, i);
        apply_record(this, record);
        g_string_truncate(this->last_key, 0);
        g_string_append_len(this->last_key, record->key->str,
                            (gssize)record->key->len);
    }
    if (page->more && page->records->len > 0) {
        read_next(this);
        return;
    }
    if (!this->is_whole) {
        Log_begin(LOG_LEVEL_INFO, this->spec.events->read);
        Log_number("records", this->record_count);
        Log_end();
    }
    this->is_whole = TRUE;
    this->is_reading = FALSE;
    this->spec.read_all(this->spec.owner);
}

void
StoredRecords_skipRead(StoredRecords_t *this)
{
    evtimer_del(this->read_timer);
}

void
StoredRecords_setRouters(StoredRecords_t *this, guint routers)
{
    this->retry_max_ms =
        MAX((gint64)routers * RETRY_SHARE_MS, RETRY_MAX_MIN_MS);
}

void
StoredRecords_scheduleRead(StoredRecords_t *this, gint64 in_ms)
{
    gint64 at_ms = Clock_nowMs() + in_ms;
    gboolean is_sooner = this->read_at_ms == 0 || at_ms < this->read_at_ms;
    if (!this->is_read_begun && is_sooner) {
        this->read_at_ms = at_ms;
        Clock_arm(this->read_timer, in_ms);
    }
}

static void
read_next(StoredRecords_t *this)
{
    const GString *last_key = this->last_key->len > 0 ? this->last_key : NULL;
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
    StoredRecords_t *this = data;
    this->is_read_begun = TRUE;
    this->is_reading = TRUE;
    read_next(this);
}

gboolean
StoredRecords_readAgain(StoredRecords_t *this)
{
    if (!this->is_whole || this->is_reading) {
        return FALSE;
    }
    this->is_reading = TRUE;
    this->record_count = 0;
    g_string_truncate(this->last_key, 0);
    read_next(this);
    return TRUE;
}

/* Removes the completed write from the queue, unless the record has changed
 * while it was written: the new value is written next. */
static void
remove_written(StoredRecords_t *this)
{
    gpointer value = NULL;
    if (g_hash_table_lookup_extended(this->writes, this->writing_key->str,
                                     NULL, &value) &&
        value == this->writing_value) {
        g_hash_table_remove(this->writes, this->writing_key->str);
    }
}

static void
note_written(const StoredRecords_t *this)
{
    if (this->spec.written) {
        this->spec.written(this->spec.owner, this->writing_key->str,
                           this->writing_value);
    }
}

static void
on_put(const GError *error, void *data)
{
    StoredRecords_t *this = data;
    if (error) {
        log_failure(this, this->spec.events->unwritten, error);
    }
    else {
        remove_written(this);
        note_written(this);
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
write_next(StoredRecords_t *this)
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

StoredRecords_t *
StoredRecords_create(struct event_base *base, const StoredRecordsSpec_t *spec)
{
    StoredRecords_t *this = g_new0(StoredRecords_t, 1);
    this->spec = *spec;
    this->retry_max_ms = (gint64)RETRY_PAUSE_MS << RETRY_DOUBLINGS_MAX;
    this->last_key = g_string_new(NULL);
    this->writing_key = g_string_new(NULL);
    this->writes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_value);
    this->read_timer = Clock_timer(base, on_read_timer, this);
    this->write_timer = Clock_timer(base, on_write_timer, this);
    return this;
}

void
StoredRecords_destroy(StoredRecords_t *this)
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
add_write(StoredRecords_t *this, const char *key, GBytes *value)
{
    if (g_hash_table_size(this->writes) >= PENDING_WRITES_MAX) {
        Log_begin(LOG_LEVEL_WARNING, this->spec.events->left_out);
        Log_text("key", key);
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
StoredRecords_put(StoredRecords_t *this, const char *key, GBytes *value)
{
    add_write(this, key, g_bytes_ref(value));
}

void
StoredRecords_remove(StoredRecords_t *this, const char *key)
{
    add_write(this, key, NULL);
}
