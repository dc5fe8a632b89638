/**
 * DOC: EngineStandin
 *
 * A model engine. It prefills one prompt at a time at a fixed rate, skipping
 * the cached prefix, then decodes one token of each running stream per step.
 * An answer depends on the prompt alone, so that tests can tell a complete
 * stream from a broken one. The engine retains a stream for hold_ms after its
 * reader disconnects, resumes it at any token, cancels it, refuses requests
 * that it can't serve, and injects faults on request.
 */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#include "EngineCache.h"
#include "EngineOrders.h"
#include "Options.h"
#include "Server.h"
#include "standins.h"

#define ATTEMPT_HEADER "X-Attempt-Id"
#define ID_MAX 64
/* A prompt with this text terminates the engine that prefills it. */
#define POISON_TEXT "[ends the engine]"

typedef enum { WAITING, RUNNING, DONE } StreamState_t;

typedef struct {
    char id[ID_MAX + 1];
    char attempt[ID_MAX + 1];      /* of the current or last reader */
    struct evhttp_request *reader; /* NULL without a reader */
    gboolean chat;
    gboolean silent;
    StreamState_t state;
    GString *text;
    CacheOrigin_t origin;
    gint64 priority;
    guint64 order;
    guint64 seed;
    guint prompt_tokens;
    guint cached_tokens;
    guint64 first_position; /* position of the first token in the answer */
    guint64 end_position;   /* position after the last token */
    guint64 decoded;        /* position after the last decoded token */
    guint64 sent;           /* position after the last sent token */
    gint64 unread_since_ms;
} Stream_t;

static Server_t server;
static EngineCache_t *cache;
static GHashTable *streams; /* id -> Stream_t */
static GPtrArray *waiting;  /* Stream_t, in order of arrival */
static GPtrArray *running;  /* Stream_t */
static Stream_t *prefilling;
static guint64 next_order;
static struct event *step_timer;

static const char *name = "engine";
static const char *models = "";
static char weights[ENGINE_WEIGHTS_MAX + 1] = "v1";
static const char *first_weights = "v1";

static gint64 port, incarnation, blocks = 4096, prefill_rate = 20000;
static gint64 decode_ms = 20, slots = 256, queue_max = 1024, hold_ms = 10000;
static gint64 cut_after = -1, cuts, die_after = -1, mismatch, refuse, silent;
static gint64 no_end, cross, leaving, cancelled, forget_streams;
static gint64 received_requests;
static gint64 prefill_count, prompt_total, cached_total, decoded_total,
    resumed;

static const Parameter_t parameters[] = {
    {"port", &port},
    {"incarnation", &incarnation},
    {"blocks", &blocks},             /* capacity of the cache */
    {"prefill_rate", &prefill_rate}, /* prompt tokens per second */
    {"decode_ms", &decode_ms},       /* time between tokens */
    {"slots", &slots},               /* maximum of running streams */
    {"queue_max", &queue_max},
    {"hold_ms", &hold_ms},     /* retention of a stream without reader */
    {"cut_after", &cut_after}, /* disconnect the reader at this token */
    {"cuts", &cuts},           /* disconnect this many readers at cut_after */
    {"die_after", &die_after}, /* exit at this token */
    {"mismatch", &mismatch},   /* send this many wrong attempt ids */
    {"refuse", &refuse},       /* refuse this many requests as not run */
    {"silent", &silent},       /* stall this many after the first token */
    {"no_end", &no_end},       /* omit this many [DONE] events */
    {"cross", &cross},         /* send this many events with a wrong id */
    {"leaving", &leaving},     /* refuse new streams as leaving */
    {"ignore_fencing",
     &EngineOrders_parameters
          .ignore_fencing}, /* accept stale fencing numbers */
    {"load_ms", &EngineOrders_parameters.load_ms}, /* time to load weights */
    {"lose_orders",
     &EngineOrders_parameters.lose_answers}, /* drop this many answers */
    {"forget_streams", &forget_streams},     /* nonzero: as hold_ms 0 */
    {"limit_milli", &Server_notices.limit_milli},
    {"says_leaving", &Server_notices.leaving}, /* still accepts requests */
    {"rest_ms", &Server_notices.rest_ms},
    {"asked", &received_requests}, /* received requests and resumes */
};

static const TextOption_t texts[] = {
    {"name", &name},
    {"models", &models},
    {"weights", &first_weights},
    {"host", &Server_host},
};

static gint64
now_ms(void)
{
    return g_get_monotonic_time() / 1000;
}

static guint64
hash_text(const char *text)
{
    return text ? XXH3_64bits(text, strlen(text)) : 0;
}

static void
destroy_stream(gpointer data)
{
    Stream_t *stream = data;
    g_string_free(stream->text, TRUE);
    g_free(stream);
}

static const char *
input_header(struct evhttp_request *request, const char *key)
{
    const char *value =
        evhttp_find_header(evhttp_request_get_input_headers(request), key);
    return value ? value : "";
}

static void
add_number(struct evkeyvalq *out, const char *key, guint64 number)
{
    char text[24];
    g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, number);
    evhttp_add_header(out, key, text);
}

static gint64
waiting_tokens(void)
{
    gint64 tokens = prefilling ? prefilling->prompt_tokens : 0;
    for (guint i = 0; i < waiting->len; i++) {
        tokens += ((Stream_t *)g_ptr_array_index(waiting, i))->prompt_tokens;
    }
    return tokens;
}

static void
send_headers(Stream_t *stream)
{
    struct evkeyvalq *out = evhttp_request_get_output_headers(stream->reader);
    const char *attempt =
        Server_countDown(&mismatch) ? "someone-else" : stream->attempt;
    evhttp_add_header(out, "Content-Type", "text/event-stream");
    Server_addNotices(stream->reader, HTTP_OK);
    evhttp_add_header(out, ATTEMPT_HEADER, attempt);
    evhttp_add_header(out, "X-Stream-Id", stream->id);
    evhttp_add_header(out, "X-Weights-Version", weights);
    add_number(out, "X-Engine-Incarnation", (guint64)incarnation);
    add_number(out, "X-Prompt-Tokens", stream->prompt_tokens);
    add_number(out, "X-Cached-Tokens", stream->cached_tokens);
    add_number(out, "X-Load-Running", running->len);
    add_number(out, "X-Load-Waiting-Tokens", (guint64)waiting_tokens());
    evhttp_send_reply_start(stream->reader, HTTP_OK, "OK");
}

static void
detach_reader(Stream_t *stream)
{
    struct evhttp_connection *connection =
        stream->reader ? evhttp_request_get_connection(stream->reader) : NULL;
    if (connection) {
        evhttp_connection_set_closecb(connection, NULL, NULL);
    }
    stream->reader = NULL;
    stream->unread_since_ms = now_ms();
}

static void
cut_reader(Stream_t *stream)
{
    struct evhttp_request *reader = stream->reader;
    detach_reader(stream);
    Server_drop(reader);
}

static void
on_reader_closed(struct evhttp_connection *connection, void *data)
{
    (void)connection;
    Stream_t *stream = data;
    struct evhttp_request *reader = stream->reader;
    detach_reader(stream);
    if (!evhttp_request_get_connection(reader)) {
        evhttp_send_reply_end(reader);
    }
    /* The stream's id was not sent yet, so that no reader can resume it. */
    if (stream->state == WAITING && stream != prefilling) {
        g_ptr_array_remove(waiting, stream);
        g_hash_table_remove(streams, stream->id);
    }
}

static void
attach_reader(Stream_t *stream, struct evhttp_request *request)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request);
    int on = 1;
    setsockopt(
        bufferevent_getfd(evhttp_connection_get_bufferevent(connection)),
        IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    stream->reader = request;
    g_strlcpy(stream->attempt, input_header(request, ATTEMPT_HEADER),
              sizeof(stream->attempt));
    evhttp_connection_set_closecb(connection, on_reader_closed, stream);
}

/* A token depends on the prompt and its position alone. */
static void
write_token(Stream_t *stream, guint64 position, struct evbuffer *out)
{
    guint token = (guint)(XXH3_64bits_withSeed(&position, sizeof(position),
                                               stream->seed) &
                          0xffff);
    const char *id = Server_countDown(&cross) ? "another-stream" : stream->id;
    gboolean last = position + 1 == stream->end_position;
    evbuffer_add_printf(
        out,
        stream->chat
            ? "id: %" G_GUINT64_FORMAT
              "\ndata: {\"id\":\"%s\",\"choices\":[{\"delta\":{\"content\":"
              "\" %04x.%" G_GUINT64_FORMAT "\"},\"finish_reason\":%s}]}\n\n"
            : "id: %" G_GUINT64_FORMAT
              "\ndata: {\"id\":\"%s\",\"choices\":[{\"text\":"
              "\" %04x.%" G_GUINT64_FORMAT "\",\"finish_reason\":%s}]}\n\n",
        position, id, token, position, last ? "\"length\"" : "null");
}

static void
end_reply(Stream_t *stream)
{
    struct evhttp_request *reader = stream->reader;
    detach_reader(stream);
    if (!Server_countDown(&no_end)) {
        struct evbuffer *out = evbuffer_new();
        evbuffer_add_printf(out, "data: [DONE]\n\n");
        evhttp_send_reply_chunk(reader, out);
        evbuffer_free(out);
    }
    evhttp_send_reply_end(reader);
}

static void
exit_if_poison(const Stream_t *stream)
{
    if (strstr(stream->text->str, POISON_TEXT)) {
        _exit(1);
    }
}

static gboolean
inject_fault(Stream_t *stream)
{
    if (die_after >= 0 && (gint64)stream->sent >= die_after) {
        _exit(1);
    }
    if (cuts > 0 && (gint64)stream->sent >= cut_after) {
        cuts--;
        cut_reader(stream);
        return TRUE;
    }
    return FALSE;
}

/* Writes the decoded tokens that the reader has not been sent. */
static void
write_pending(Stream_t *stream)
{
    struct evbuffer *out = evbuffer_new();
    while (stream->reader && stream->sent < stream->decoded &&
           !stream->silent) {
        write_token(stream, stream->sent, out);
        stream->sent++;
        if (stream->sent == stream->first_position + 1 &&
            Server_countDown(&silent)) {
            stream->silent = TRUE;
        }
        evhttp_send_reply_chunk(stream->reader, out);
        if (inject_fault(stream)) {
            break;
        }
    }
    evbuffer_free(out);
    if (stream->reader && stream->state == DONE && !stream->silent) {
        end_reply(stream);
    }
}

static void start_next_prefill(void);

static void
on_prefilled(void *data)
{
    Stream_t *stream = data;
    exit_if_poison(stream);
    prefilling = NULL;
    EngineCache_insert(cache, stream->text, &stream->origin);
    stream->state = RUNNING;
    g_ptr_array_add(running, stream);
    if (stream->reader) {
        send_headers(stream);
    }
    stream->decoded++;
    decoded_total++;
    if (stream->decoded == stream->end_position) {
        stream->state = DONE;
        g_ptr_array_remove(running, stream);
    }
    write_pending(stream);
    start_next_prefill();
}

static Stream_t *
pop_waiting(void)
{
    Stream_t *best = NULL;
    for (guint i = 0; i < waiting->len; i++) {
        Stream_t *stream = g_ptr_array_index(waiting, i);
        if (!best || stream->priority > best->priority ||
            (stream->priority == best->priority &&
             stream->order < best->order)) {
            best = stream;
        }
    }
    if (best) {
        g_ptr_array_remove(waiting, best);
    }
    return best;
}

static void
start_next_prefill(void)
{
    if (prefilling || running->len >= slots) {
        return;
    }
    Stream_t *stream = pop_waiting();
    if (!stream) {
        return;
    }
    prefilling = stream;
    stream->cached_tokens =
        MIN(EngineCache_matchPrefix(cache, stream->text, &stream->origin),
            stream->prompt_tokens - 1);
    prompt_total += stream->prompt_tokens;
    cached_total += stream->cached_tokens;
    prefill_count++;
    gint64 uncached_tokens = stream->prompt_tokens - stream->cached_tokens;
    Server_callAfter(&server, uncached_tokens * 1000 / prefill_rate,
                     on_prefilled, stream);
}

static void
decode_token(Stream_t *stream)
{
    stream->decoded++;
    decoded_total++;
    if (stream->decoded == stream->end_position) {
        stream->state = DONE;
    }
    write_pending(stream);
}

static gboolean
is_expired(gpointer id, gpointer value, gpointer now)
{
    (void)id;
    const Stream_t *stream = value;
    gint64 retention_ms = forget_streams ? 0 : hold_ms;
    return stream != prefilling && !stream->reader &&
           stream->unread_since_ms + retention_ms <= *(gint64 *)now &&
           !g_ptr_array_find(waiting, stream, NULL);
}

static void
on_step(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    (void)data;
    struct timeval interval = {decode_ms / 1000, (decode_ms % 1000) * 1000};
    evtimer_add(step_timer, &interval);
    for (guint i = running->len; i > 0; i--) {
        Stream_t *stream = g_ptr_array_index(running, i - 1);
        decode_token(stream);
        if (stream->state == DONE) {
            g_ptr_array_remove_index_fast(running, i - 1);
        }
    }
    start_next_prefill();
}

static void
on_sweep(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    (void)data;
    gint64 now = now_ms();
    for (guint i = running->len; i > 0; i--) {
        Stream_t *stream = g_ptr_array_index(running, i - 1);
        if (is_expired(NULL, stream, &now)) {
            g_ptr_array_remove_index_fast(running, i - 1);
        }
    }
    g_hash_table_foreach_remove(streams, is_expired, &now);
}

static gboolean
read_prompt(Stream_t *stream, const json_t *body)
{
    const json_t *messages = json_object_get(body, "messages");
    for (size_t i = 0; i < json_array_size(messages); i++) {
        const json_t *message = json_array_get(messages, i);
        g_string_append_printf(
            stream->text, "%s\n%s\n",
            json_string_value(json_object_get(message, "role")),
            json_string_value(json_object_get(message, "content")));
    }
    const char *prompt = json_string_value(json_object_get(body, "prompt"));
    g_string_append(stream->text, prompt ? prompt : "");
    return stream->text->len > 0;
}

static const char *
text_member(const json_t *body, const char *key)
{
    return json_string_value(json_object_get(body, key));
}

static gint64
number_member(const json_t *body, const char *key)
{
    return json_integer_value(json_object_get(body, key));
}

static Stream_t *
create_stream(const json_t *body, gboolean chat)
{
    Stream_t *stream = g_new0(Stream_t, 1);
    stream->text = g_string_new(NULL);
    stream->chat = chat;
    if (!read_prompt(stream, body)) {
        destroy_stream(stream);
        return NULL;
    }
    stream->seed = XXH3_64bits(stream->text->str, stream->text->len);
    const char *sent = text_member(body, "sent_text");
    g_string_append(stream->text, sent ? sent : "");
    stream->prompt_tokens = (guint)(stream->text->len / CACHE_TOKEN_BYTES) + 1;
    stream->origin.salt = hash_text(text_member(body, "cache_salt"));
    stream->origin.user = hash_text(text_member(body, "user"));
    stream->origin.weights = hash_text(weights);
    stream->priority = number_member(body, "priority");
    stream->first_position = (guint64)number_member(body, "sent_tokens");
    stream->decoded = stream->first_position;
    stream->sent = stream->first_position;
    stream->end_position = (guint64)number_member(body, "max_tokens");
    stream->order = next_order++;
    return stream;
}

static gboolean
serves_model(const char *model)
{
    g_auto(GStrv) list = g_strsplit(models, ",", -1);
    for (guint i = 0; list[i]; i++) {
        if (g_strcmp0(list[i], model) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Returns the error code for a new stream to refuse, or NULL. */
static const char *
reason_to_refuse(const json_t *body)
{
    gint64 expected = number_member(body, "expect_incarnation");
    const char *version = text_member(body, "expect_weights");
    if (Server_countDown(&refuse) || waiting->len >= queue_max) {
        return "busy";
    }
    if (leaving) {
        return "leaving";
    }
    if (expected != 0 && expected != incarnation) {
        return "wrong_incarnation";
    }
    if (!serves_model(text_member(body, "model"))) {
        return "unknown_model";
    }
    return g_strcmp0(version, weights) != 0 ? "wrong_weights" : NULL;
}

static void
refuse_request(struct evhttp_request *request, int status, const char *code,
               const char *run)
{
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      ATTEMPT_HEADER, input_header(request, ATTEMPT_HEADER));
    gboolean wrong_incarnation = strcmp(code, "wrong_incarnation") == 0;
    Server_refuse(request, status, code, run,
                  wrong_incarnation ? (guint64)incarnation : 0);
}

static void
handle_start(struct evhttp_request *request, gboolean chat)
{
    received_requests++;
    json_t *body = Server_body(request);
    const char *reason = reason_to_refuse(body);
    Stream_t *stream = reason ? NULL : create_stream(body, chat);
    if (reason) {
        refuse_request(request, HTTP_SERVUNAVAIL, reason, "not_run");
    }
    else if (!stream || stream->end_position <= stream->first_position) {
        refuse_request(request, HTTP_BADREQUEST, "bad_request", "not_run");
        g_clear_pointer(&stream, destroy_stream);
    }
    else {
        attach_reader(stream, request);
        g_strlcpy(stream->id, stream->attempt, sizeof(stream->id));
        g_hash_table_replace(streams, stream->id, stream);
        g_ptr_array_add(waiting, stream);
        start_next_prefill();
    }
    json_decref(body);
}

static void
handle_resume(struct evhttp_request *request)
{
    received_requests++;
    json_t *body = Server_body(request);
    const char *id = text_member(body, "stream");
    Stream_t *stream = id ? g_hash_table_lookup(streams, id) : NULL;
    guint64 offset = (guint64)number_member(body, "offset");
    if (!stream || offset < stream->first_position ||
        offset > stream->decoded) {
        refuse_request(request, 410, "stream_gone", "ran");
    }
    else {
        if (stream->reader) {
            cut_reader(stream);
        }
        resumed++;
        attach_reader(stream, request);
        stream->sent = offset;
        stream->silent = FALSE;
        if (stream->state != WAITING) {
            send_headers(stream);
            write_pending(stream);
        }
    }
    json_decref(body);
}

static void
handle_cancel(struct evhttp_request *request)
{
    json_t *body = Server_body(request);
    const char *id = text_member(body, "stream");
    Stream_t *stream = id ? g_hash_table_lookup(streams, id) : NULL;
    gboolean cancellable =
        stream && stream != prefilling &&
        g_strcmp0(text_member(body, "attempt"), stream->attempt) == 0;
    if (cancellable) {
        if (stream->reader) {
            cut_reader(stream);
        }
        cancelled++;
        g_ptr_array_remove(running, stream);
        g_ptr_array_remove(waiting, stream);
        g_hash_table_remove(streams, stream->id);
    }
    json_decref(body);
    Server_reply(request, HTTP_OK,
                 json_pack("{s:b}", "cancelled", cancellable));
}

static void
handle_state(struct evhttp_request *request)
{
    Server_reply(
        request, HTTP_OK,
        json_pack(
            "{s:s, s:I, s:I, s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, "
            "s:i, s:i, s:I}",
            "name", name, "asked", (json_int_t)received_requests,
            "incarnation", (json_int_t)incarnation, "weights", weights, "runs",
            (json_int_t)prefill_count, "prompt_tokens",
            (json_int_t)prompt_total, "cached_tokens",
            (json_int_t)cached_total, "made_tokens", (json_int_t)decoded_total,
            "recomputed_tokens", (json_int_t)EngineCache_recomputed(cache),
            "violations", (json_int_t)EngineCache_violations(cache), "resumed",
            (json_int_t)resumed, "cancelled", (json_int_t)cancelled, "running",
            (int)running->len, "waiting", (int)waiting->len, "blocks_held",
            (json_int_t)EngineCache_size(cache)));
}

static void
handle_control(struct evhttp_request *request)
{
    json_t *body =
        Server_control(request, parameters, G_N_ELEMENTS(parameters));
    const char *version = text_member(body, "weights");
    if (version) {
        g_strlcpy(weights, version, sizeof(weights));
    }
    if (json_is_true(json_object_get(body, "flush"))) {
        EngineCache_flush(cache);
    }
    json_decref(body);
}

static void
handle(struct evhttp_request *request, void *data)
{
    (void)data;
    const char *path = Server_path(request);
    if (strcmp(path, "/v1/completions") == 0) {
        handle_start(request, FALSE);
    }
    else if (strcmp(path, "/v1/chat/completions") == 0) {
        handle_start(request, TRUE);
    }
    else if (strcmp(path, "/v1/streams/resume") == 0) {
        handle_resume(request);
    }
    else if (strcmp(path, "/v1/streams/cancel") == 0) {
        handle_cancel(request);
    }
    else if (strcmp(path, "/v1/orders") == 0) {
        EngineOrders_handle(&server, request, weights);
    }
    else if (strcmp(path, "/v1/engine") == 0) {
        EngineOrders_show(request, weights, (guint64)incarnation);
    }
    else if (strcmp(path, "/control") == 0) {
        handle_control(request);
    }
    else if (strcmp(path, "/state") == 0) {
        handle_state(request);
    }
    else {
        refuse_request(request, HTTP_NOTFOUND, "unknown_path", "not_run");
    }
}

int
EngineStandin_run(int argc, char **argv)
{
    incarnation = g_get_real_time() / 1000;
    Options_parse(argc, argv, parameters, G_N_ELEMENTS(parameters), texts,
                  G_N_ELEMENTS(texts));
    g_strlcpy(weights, first_weights, sizeof(weights));
    cache = EngineCache_create((guint)blocks);
    streams =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, destroy_stream);
    waiting = g_ptr_array_new();
    running = g_ptr_array_new();
    Server_listen(&server, (guint16)port, handle, NULL);
    struct timeval first_step = {0, decode_ms * 1000};
    step_timer = event_new(server.base, -1, 0, on_step, NULL);
    evtimer_add(step_timer, &first_step);
    struct timeval sweep_interval = {0, 500000};
    struct event *sweep =
        event_new(server.base, -1, EV_PERSIST, on_sweep, NULL);
    event_add(sweep, &sweep_interval);
    Server_run(&server);
    return 0;
}
