/**
 * DOC: LogStandin
 *
 * The platform's append-only log: streams with offsets, a rate limit on
 * appends and retention by record count. It injects faults: outages, slow
 * answers, answers lost before or after the append takes effect, and a restore
 * from an older copy.
 */
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>

#include "Options.h"
#include "Server.h"
#include "standins.h"

#define READ_MAX 512
#define EPOCH_HEADER "Log-Epoch"
#define MS_PER_SECOND 1000

typedef struct {
    GPtrArray *records; /* GBytes */
    guint64 start;
    guint64 copied_head;  /* head offset at the time of the copy */
    GQueue waiting_reads; /* Read_t */
} Stream_t;

typedef struct {
    Stream_t *stream;
    struct evhttp_request *request; /* NULL once answered */
    guint64 from;
    guint references; /* held by the stream's queue and by the timer */
} Read_t;

typedef struct {
    Stream_t *stream;
    GBytes *record;
} LateAppend_t;

static Server_t server;
static GHashTable *streams;
static gint64 appends, append_bytes, reads, read_bytes;
static gint64 down, hang, slow_ms, lose_answers, land_late, late_ms = 1000;
static gint64 retention, rate, port;
static gint64 rate_window_ms, rate_used;
static gint64 copy, come_back, epoch;

static const Parameter_t parameters[] = {
    {"port", &port},
    {"down", &down},       /* outage: refuse all requests */
    {"hang", &hang},       /* never answer */
    {"slow_ms", &slow_ms}, /* delay before each request is handled */
    {"lose_answers",
     &lose_answers},           /* drop this many answers after the append */
    {"land_late", &land_late}, /* drop this many answers, and append after
                                  late_ms */
    {"late_ms", &late_ms},
    {"copy", &copy},           /* copy the log now */
    {"come_back", &come_back}, /* restore the copy and increment the epoch */
    {"retention", &retention}, /* records retained per stream, 0 for all */
    {"rate", &rate},           /* appends per second, 0 for no limit */
    {"appends", &appends},
    {"append_bytes", &append_bytes},
    {"reads", &reads},
    {"read_bytes", &read_bytes},
};

static const TextOption_t texts[] = {{"host", &Server_host}};

static void
free_bytes(gpointer bytes)
{
    g_bytes_unref(bytes);
}

static Stream_t *
get_or_create_stream(const char *name)
{
    Stream_t *stream = g_hash_table_lookup(streams, name);
    if (!stream) {
        stream = g_new0(Stream_t, 1);
        stream->records = g_ptr_array_new_with_free_func(free_bytes);
        g_queue_init(&stream->waiting_reads);
        g_hash_table_insert(streams, g_strdup(name), stream);
    }
    return stream;
}

static guint64
head_of(const Stream_t *stream)
{
    return stream->start + stream->records->len;
}

static json_t *
records_from(const Stream_t *stream, guint64 from)
{
    json_t *list = json_array();
    for (guint64 i = from; i < head_of(stream) && i < from + READ_MAX; i++) {
        gsize length = 0;
        const guint8 *bytes = g_bytes_get_data(
            g_ptr_array_index(stream->records, i - stream->start), &length);
        char *text = g_base64_encode(bytes, length);
        read_bytes += (gint64)strlen(text);
        json_array_append_new(list, json_string(text));
        g_free(text);
    }
    return list;
}

static void
answer_read(struct evhttp_request *request, const Stream_t *stream,
            guint64 from)
{
    reads++;
    Server_reply(request, HTTP_OK,
                 json_pack("{s:I, s:I, s:I, s:o}", "first", (json_int_t)from,
                           "start", (json_int_t)stream->start, "head",
                           (json_int_t)head_of(stream), "records",
                           records_from(stream, from)));
}

static void
release_read(Read_t *read)
{
    if (--read->references == 0) {
        g_free(read);
    }
}

static void
complete_read(Read_t *read)
{
    if (read->request) {
        struct evhttp_request *request = read->request;
        read->request = NULL;
        answer_read(request, read->stream, read->from);
    }
}

static void
on_wait_over(void *data)
{
    Read_t *read = data;
    if (read->request) {
        g_queue_remove(&read->stream->waiting_reads, read);
        complete_read(read);
        release_read(read);
    }
    release_read(read);
}

static void
append(Stream_t *stream, GBytes *record)
{
    appends++;
    append_bytes += (gint64)g_bytes_get_size(record);
    g_ptr_array_add(stream->records, record);
    while (retention > 0 && stream->records->len > retention) {
        g_ptr_array_remove_index(stream->records, 0);
        stream->start++;
    }
    Read_t *read = NULL;
    while ((read = g_queue_pop_head(&stream->waiting_reads))) {
        complete_read(read);
        release_read(read);
    }
}

static void
on_late_append(void *data)
{
    LateAppend_t *late = data;
    append(late->stream, late->record);
    g_free(late);
}

static gboolean
exceeds_rate(void)
{
    gint64 now_ms = g_get_monotonic_time() / MS_PER_SECOND;
    if (now_ms - rate_window_ms >= MS_PER_SECOND) {
        rate_window_ms = now_ms;
        rate_used = 0;
    }
    return rate > 0 && ++rate_used > rate;
}

static void
handle_append(struct evhttp_request *request, Stream_t *stream)
{
    if (exceeds_rate()) {
        Server_refuse(request, 429, "over_rate", "not_run", 0);
        return;
    }
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    gsize length = evbuffer_get_length(input);
    GBytes *record = g_bytes_new(evbuffer_pullup(input, -1), length);
    if (Server_countDown(&land_late)) {
        LateAppend_t *late = g_new0(LateAppend_t, 1);
        late->stream = stream;
        late->record = record;
        Server_callAfter(&server, late_ms, on_late_append, late);
        Server_drop(request);
        return;
    }
    append(stream, record);
    if (Server_countDown(&lose_answers)) {
        Server_drop(request);
        return;
    }
    Server_reply(
        request, HTTP_OK,
        json_pack("{s:I}", "offset", (json_int_t)(head_of(stream) - 1)));
}

static gint64
query_number(struct evhttp_request *request, const char *name)
{
    struct evkeyvalq query;
    const char *text =
        evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
    if (!text || evhttp_parse_query_str(text, &query) != 0) {
        return 0;
    }
    const char *value = evhttp_find_header(&query, name);
    gint64 number = value ? g_ascii_strtoll(value, NULL, 10) : 0;
    evhttp_clear_headers(&query);
    return number;
}

static void
handle_read(struct evhttp_request *request, Stream_t *stream)
{
    guint64 from = (guint64)query_number(request, "from");
    if (from < stream->start) {
        Server_reply(request, 410,
                     json_pack("{s:I}", "start", (json_int_t)stream->start));
        return;
    }
    gint64 wait_ms = query_number(request, "wait_ms");
    if (from < head_of(stream) || wait_ms == 0 || from > head_of(stream)) {
        answer_read(request, stream, from);
        return;
    }
    Read_t *read = g_new0(Read_t, 1);
    read->stream = stream;
    read->request = request;
    read->from = from;
    read->references = 2;
    g_queue_push_tail(&stream->waiting_reads, read);
    Server_callAfter(&server, wait_ms, on_wait_over, read);
}

static void
add_epoch_header(struct evhttp_request *request)
{
    g_autofree char *text = g_strdup_printf("%" G_GINT64_FORMAT, epoch);
    evhttp_add_header(evhttp_request_get_output_headers(request), EPOCH_HEADER,
                      text);
}

static void
handle_stream(struct evhttp_request *request)
{
    g_auto(GStrv) parts = g_strsplit(Server_path(request), "/", -1);
    if (g_strv_length(parts) != 4 || strcmp(parts[1], "streams") != 0 ||
        strcmp(parts[3], "records") != 0) {
        Server_refuse(request, HTTP_NOTFOUND, "unknown_path", "not_run", 0);
        return;
    }
    add_epoch_header(request);
    if (down) {
        Server_refuse(request, HTTP_SERVUNAVAIL, "outage", "not_run", 0);
        return;
    }
    if (hang) {
        return;
    }
    Stream_t *stream = get_or_create_stream(parts[2]);
    if (evhttp_request_get_command(request) == EVHTTP_REQ_POST) {
        handle_append(request, stream);
    }
    else {
        handle_read(request, stream);
    }
}

static void
drop_waiting_reads(Stream_t *stream)
{
    Read_t *read = NULL;
    while ((read = g_queue_pop_head(&stream->waiting_reads))) {
        Server_drop(read->request);
        read->request = NULL;
        release_read(read);
    }
}

static void
restore_stream(Stream_t *stream)
{
    guint64 retained = MAX(stream->copied_head, stream->start) - stream->start;
    g_ptr_array_set_size(stream->records,
                         (gint)MIN(retained, stream->records->len));
    drop_waiting_reads(stream);
}

/* copy and come_back each trigger one action and are reset. A restore comes
 * first, so that a copy requested together with it holds the restored log. */
static void
apply_copy_actions(void)
{
    GHashTableIter iter;
    gpointer stream = NULL;
    g_hash_table_iter_init(&iter, streams);
    while (g_hash_table_iter_next(&iter, NULL, &stream)) {
        if (come_back) {
            restore_stream(stream);
        }
        if (copy) {
            ((Stream_t *)stream)->copied_head = head_of(stream);
        }
    }
    epoch += come_back ? 1 : 0;
    come_back = 0;
    copy = 0;
}

static void
on_delay_over(void *data)
{
    handle_stream(data);
}

static void
handle(struct evhttp_request *request, void *data)
{
    (void)data;
    if (strcmp(Server_path(request), "/control") == 0) {
        json_decref(
            Server_control(request, parameters, G_N_ELEMENTS(parameters)));
        apply_copy_actions();
    }
    else if (slow_ms > 0) {
        Server_callAfter(&server, slow_ms, on_delay_over, request);
    }
    else {
        handle_stream(request);
    }
}

int
LogStandin_run(int argc, char **argv)
{
    Options_parse(argc, argv, parameters, G_N_ELEMENTS(parameters), texts,
                  G_N_ELEMENTS(texts));
    streams = g_hash_table_new(g_str_hash, g_str_equal);
    Server_listen(&server, (guint16)port, handle, NULL);
    Server_run(&server);
    return 0;
}
