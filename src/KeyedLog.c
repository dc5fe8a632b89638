#include "KeyedLog.h"

#include <string.h>

#include "Errors.h"

typedef struct {
    RecordSource_t super;
    LogClient_t *log;
    GHashTable *calls; /* set of Call_t that wait for the log */
} KeyedLog_t;

typedef struct {
    KeyedLog_t *owner;
    GString *topic;
    GHashTable *newest;   /* key -> KeyedRecord_t; NULL except for a list */
    StorePosition_t next; /* of a list: position of the next read */
    KeyedPageDone_t done;
    KeyedPutDone_t put;
    void *data;
} Call_t;

static void on_list(const LogRecords_t *log, const GError *error, void *data);

static Call_t *
make_call(KeyedLog_t *this, const char *topic, void *data)
{
    Call_t *call = g_new0(Call_t, 1);
    call->owner = this;
    call->topic = g_string_new(topic);
    call->data = data;
    g_hash_table_add(this->calls, call);
    return call;
}

static void
free_call(gpointer data)
{
    Call_t *call = data;
    if (call->newest) {
        g_hash_table_destroy(call->newest);
    }
    g_string_free(call->topic, TRUE);
    g_free(call);
}

static void
remove_call(Call_t *call)
{
    g_hash_table_remove(call->owner->calls, call);
}

static StorePosition_t
position_of(const LogRecords_t *log, guint64 idx)
{
    return (StorePosition_t){log->epoch, log->first + idx};
}

static GPtrArray *
split_records(const LogRecords_t *log)
{
    GPtrArray *records = g_ptr_array_new();
    for (guint i = 0; i < log->records->len; i++) {
        GBytes *bytes = g_ptr_array_index(log->records, i);
        g_ptr_array_add(records,
                        KeyedRecord_decode(bytes, position_of(log, i)));
    }
    return records;
}

static void
on_read(const LogRecords_t *log, const GError *error, void *data)
{
    Call_t *call = data;
    if (error || !log) {
        call->done(NULL, error, call->data);
    }
    else {
        KeyedPage_t page = {.records = split_records(log),
                            .end = position_of(log, log->records->len)};
        g_ptr_array_set_free_func(page.records, KeyedRecord_free);
        call->done(&page, NULL, call->data);
        g_ptr_array_unref(page.records);
    }
    remove_call(call);
}

static void
read_from(RecordSource_t *super, const char *topic, guint64 from,
          gint64 wait_ms, KeyedPageDone_t done, void *data)
{
    KeyedLog_t *this = (KeyedLog_t *)super;
    Call_t *call = make_call(this, topic, data);
    call->done = done;
    LogClient_read(this->log, topic, from, wait_ms, on_read, call);
}

static void
finish_list(Call_t *call)
{
    KeyedPage_t page = {.records = g_ptr_array_new(), .end = call->next};
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, call->newest);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (((KeyedRecord_t *)value)->value) {
            g_ptr_array_add(page.records, value);
        }
    }
    call->done(&page, NULL, call->data);
    g_ptr_array_unref(page.records);
    remove_call(call);
}

static void
fold_records(Call_t *call, const LogRecords_t *log)
{
    g_autoptr(GPtrArray) records = split_records(log);
    for (guint i = 0; i < records->len; i++) {
        KeyedRecord_t *record = g_ptr_array_index(records, i);
        g_hash_table_replace(call->newest, record->key->str, record);
    }
    call->next = position_of(log, log->records->len);
}

static void
read_next(Call_t *call)
{
    LogClient_read(call->owner->log, call->topic->str, call->next.offset, 0,
                   on_list, call);
}

/* If the log no longer has the offset, continues at the oldest record that it
 * has. */
static void
on_list_error(Call_t *call, const LogRecords_t *log, const GError *error)
{
    if (log && log->start != call->next.offset) {
        call->next = (StorePosition_t){log->epoch, log->start};
        read_next(call);
        return;
    }
    call->done(NULL, error, call->data);
    remove_call(call);
}

static void
fail_list(Call_t *call, const char *reason)
{
    g_autoptr(GError) error =
        g_error_new_literal(WT_ERROR, WT_ERROR_BAD_ANSWER, reason);
    call->done(NULL, error, call->data);
    remove_call(call);
}

/* The log came back older while it was listed. Records of two epochs must not
 * be mixed, so the list starts again. */
static void
restart_list(Call_t *call, guint64 epoch)
{
    g_hash_table_remove_all(call->newest);
    call->next = (StorePosition_t){.epoch = epoch};
    read_next(call);
}

static void
on_list(const LogRecords_t *log, const GError *error, void *data)
{
    Call_t *call = data;
    if (error || !log) {
        on_list_error(call, log, error);
        return;
    }
    if (call->next.offset > 0 && call->next.epoch != log->epoch) {
        restart_list(call, log->epoch);
        return;
    }
    fold_records(call, log);
    if (call->next.offset >= log->head) {
        finish_list(call);
    }
    else if (log->records->len == 0) {
        fail_list(call, "the log withholds records");
    }
    else {
        read_next(call);
    }
}

/* The whole list is one page, so @after is not used. */
static void
list_records(RecordSource_t *super, const char *topic, const GString *after,
             KeyedPageDone_t done, void *data)
{
    (void)after;
    KeyedLog_t *this = (KeyedLog_t *)super;
    Call_t *call = make_call(this, topic, data);
    call->done = done;
    call->newest =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, KeyedRecord_free);
    LogClient_read(this->log, topic, 0, 0, on_list, call);
}

static void
on_appended(guint64 offset, const GError *error, void *data)
{
    (void)offset;
    Call_t *call = data;
    call->put(error, call->data);
    remove_call(call);
}

static void
put_record(RecordSource_t *super, const char *topic, const char *key,
           GBytes *value, KeyedPutDone_t done, void *data)
{
    KeyedLog_t *this = (KeyedLog_t *)super;
    Call_t *call = make_call(this, topic, data);
    g_autoptr(GBytes) record = KeyedRecord_encode(key, value);
    call->put = done;
    LogClient_append(this->log, topic, record, on_appended, call);
}

static void
destroy(RecordSource_t *super)
{
    KeyedLog_t *this = (KeyedLog_t *)super;
    g_hash_table_destroy(this->calls);
    g_free(this);
}

static const RecordSourceClass_t class = {
    .destroy = destroy,
    .list = list_records,
    .read = read_from,
    .put = put_record,
};

RecordSource_t *
KeyedLog_create(LogClient_t *log)
{
    KeyedLog_t *this = g_new0(KeyedLog_t, 1);
    this->super.class = &class;
    this->log = log;
    this->calls =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, free_call, NULL);
    return &this->super;
}
