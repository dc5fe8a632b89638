#include "LogHttp.h"

#include "Errors.h"
#include "HttpCall.h"
#include "Json.h"

#define STATUS_GONE 410
#define EPOCH_HEADER "Log-Epoch"

typedef struct {
    LogClient_t super;
    struct event_base *base;
    Address_t address;
    gint64 timeout_ms;
    StoreEpoch_t *epoch;
    GHashTable *calls; /* set of LogCall_t */
} LogHttp_t;

typedef struct {
    LogHttp_t *owner;
    HttpCall_t *http;
    LogAppended_t appended;
    LogRead_t read;
    void *data;
} LogCall_t;

static void
free_call(LogCall_t *call)
{
    g_hash_table_remove(call->owner->calls, call);
    g_free(call);
}

static GError *
status_error(const HttpAnswer_t *answer)
{
    ErrorKind_t kind = WT_ERROR_REFUSED;
    if (answer->status == STATUS_GONE) {
        kind = WT_ERROR_TRUNCATED;
    }
    return g_error_new(WT_ERROR, (gint)kind,
                       "the log answered with HTTP status %d", answer->status);
}

static GError *
answer_error(const LogHttp_t *this, const HttpAnswer_t *answer)
{
    const char *epoch = evhttp_find_header(answer->headers, EPOCH_HEADER);
    GError *fault = NULL;
    if (StoreEpoch_check(this->epoch, epoch, &fault) &&
        answer->status != HTTP_OK) {
        fault = status_error(answer);
    }
    return fault;
}

static void
on_appended(const HttpAnswer_t *answer, const GError *error, void *data)
{
    LogCall_t *call = data;
    g_autoptr(GError) fault =
        answer ? answer_error(call->owner, answer) : g_error_copy(error);
    guint64 offset = 0;
    if (answer && !fault) {
        json_t *body = Json_parse(answer->body, answer->length, &fault);
        offset = (guint64)Json_getInteger(body, "offset", 0);
        json_decref(body);
    }
    call->appended(offset, fault, call->data);
    free_call(call);
}

static void
free_bytes(gpointer bytes)
{
    g_bytes_unref(bytes);
}

static GPtrArray *
decode_records(const json_t *body)
{
    GPtrArray *records = g_ptr_array_new_with_free_func(free_bytes);
    const json_t *list = json_object_get(body, "records");
    for (size_t i = 0; i < json_array_size(list); i++) {
        const char *text = json_string_value(json_array_get(list, i));
        gsize length = 0;
        guchar *bytes = g_base64_decode(text ? text : "", &length);
        g_ptr_array_add(records, g_bytes_new_take(bytes, length));
    }
    return records;
}

static void
deliver_records(LogCall_t *call, const json_t *body)
{
    LogRecords_t records = {
        .first = (guint64)Json_getInteger(body, "first", 0),
        .records = decode_records(body),
        .start = (guint64)Json_getInteger(body, "start", 0),
        .head = (guint64)Json_getInteger(body, "head", 0),
        .epoch = StoreEpoch_newest(call->owner->epoch),
    };
    call->read(&records, NULL, call->data);
    g_ptr_array_unref(records.records);
}

static void
deliver_truncated(LogCall_t *call, const HttpAnswer_t *answer,
                  const GError *fault)
{
    json_t *body = Json_parse(answer->body, answer->length, NULL);
    LogRecords_t records = {
        .start = (guint64)Json_getInteger(body, "start", 0),
        .epoch = StoreEpoch_newest(call->owner->epoch),
    };
    call->read(body ? &records : NULL, fault, call->data);
    json_decref(body);
}

static void
deliver_error(LogCall_t *call, const HttpAnswer_t *answer, const GError *fault)
{
    if (g_error_matches(fault, WT_ERROR, WT_ERROR_TRUNCATED)) {
        deliver_truncated(call, answer, fault);
    }
    else {
        call->read(NULL, fault, call->data);
    }
}

static void
deliver_body(LogCall_t *call, const HttpAnswer_t *answer)
{
    g_autoptr(GError) fault = NULL;
    json_t *body = Json_parse(answer->body, answer->length, &fault);
    if (body) {
        deliver_records(call, body);
        json_decref(body);
    }
    else {
        call->read(NULL, fault, call->data);
    }
}

static void
on_read(const HttpAnswer_t *answer, const GError *error, void *data)
{
    LogCall_t *call = data;
    g_autoptr(GError) fault =
        answer ? answer_error(call->owner, answer) : NULL;
    if (!answer) {
        call->read(NULL, error, call->data);
    }
    else if (fault) {
        deliver_error(call, answer, fault);
    }
    else {
        deliver_body(call, answer);
    }
    free_call(call);
}

static LogCall_t *
start_call(LogHttp_t *this, const HttpCallSpec_t *spec, HttpCallDone_t done,
           void *data)
{
    LogCall_t *call = g_new0(LogCall_t, 1);
    call->owner = this;
    call->data = data;
    g_hash_table_add(this->calls, call);
    call->http = HttpCall_start(this->base, spec, done, call);
    return call;
}

static void
LogHttp_append(LogClient_t *super, const char *stream, GBytes *record,
               LogAppended_t done, void *data)
{
    LogHttp_t *this = (LogHttp_t *)super;
    g_autofree char *path = g_strdup_printf("/streams/%s/records", stream);
    HttpCallSpec_t spec = {
        .address = &this->address,
        .method = EVHTTP_REQ_POST,
        .path = path,
        .body = record,
        .timeout_ms = this->timeout_ms,
        .answer_max = HTTP_SHORT_ANSWER_MAX,
        .accepts_close_delimited = TRUE,
    };
    start_call(this, &spec, on_appended, data)->appended = done;
}

static void
LogHttp_read(LogClient_t *super, const char *stream, guint64 from,
             gint64 wait_ms, LogRead_t done, void *data)
{
    LogHttp_t *this = (LogHttp_t *)super;
    g_autofree char *path =
        g_strdup_printf("/streams/%s/records?from=%" G_GUINT64_FORMAT
                        "&wait_ms=%" G_GINT64_FORMAT,
                        stream, from, wait_ms);
    HttpCallSpec_t spec = {
        .address = &this->address,
        .method = EVHTTP_REQ_GET,
        .path = path,
        .timeout_ms = this->timeout_ms + wait_ms,
        .answer_max = HTTP_LIST_ANSWER_MAX,
        .connect_timeout_ms = this->timeout_ms,
        .accepts_close_delimited = TRUE,
    };
    start_call(this, &spec, on_read, data)->read = done;
}

static void
LogHttp_destroy(LogClient_t *super)
{
    LogHttp_t *this = (LogHttp_t *)super;
    GHashTableIter iter;
    gpointer call = NULL;
    g_hash_table_iter_init(&iter, this->calls);
    while (g_hash_table_iter_next(&iter, &call, NULL)) {
        HttpCall_cancel(((LogCall_t *)call)->http);
        g_free(call);
    }
    g_hash_table_destroy(this->calls);
    g_free(this);
}

static const LogClientClass_t LogHttp_class = {
    .destroy = LogHttp_destroy,
    .append = LogHttp_append,
    .read = LogHttp_read,
};

LogClient_t *
LogHttp_create(struct event_base *base, const Address_t *address,
               gint64 timeout_ms, StoreEpoch_t *epoch)
{
    LogHttp_t *this = g_new0(LogHttp_t, 1);
    this->super.class = &LogHttp_class;
    this->base = base;
    this->address = *address;
    this->timeout_ms = timeout_ms;
    this->epoch = epoch;
    this->calls = g_hash_table_new(g_direct_hash, g_direct_equal);
    return &this->super;
}
