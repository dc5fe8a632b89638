#include "Answer.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>

#include "CallerWatch.h"
#include "Clock.h"
#include "HttpCall.h"
#include "HttpReply.h"
#include "Json.h"
#include "PendingReply.h"
#include "ResetOnClose.h"

typedef struct {
    void (*token)(Answer_t *this, const char *text, gsize length,
                  const char *finish, guint64 next_offset);
    void (*finish)(Answer_t *this, guint prompt_tokens, guint64 tokens,
                   guint cached_tokens);
} AnswerClass_t;

struct Answer {
    const AnswerClass_t *class;
    CallerWatch_t *watch;
    const AnswerEvents_t *events;
    void *owner;
    gboolean chat;
    GString *id;
    GString *model_json;
    GString *resume_token; /* sealed part, without the offset */
    GString *content;      /* of an answer that is not streamed */
    GString *finish_reason;
    GString *event_prefix; /* JSON before the text, equal for all events */
    GString *out; /* events not yet handed to evhttp, or the whole body */
    struct evbuffer *chunk;
    gsize buffer_max;
    DeferredCalls_t *deferred_calls;
    gint64 created_s;
    gboolean started;
    gboolean full;
    gboolean awaits_drain; /* evhttp will call on_drained() */
};

static struct bufferevent *
bufferevent_of(const Answer_t *this)
{
    struct evhttp_connection *connection = CallerWatch_connection(this->watch);
    return connection ? evhttp_connection_get_bufferevent(connection) : NULL;
}

static void
on_caller_left(void *owner, Refusal_t reason)
{
    const Answer_t *this = owner;
    this->events->left(this->owner, reason);
}

static void
on_drained(struct evhttp_connection *connection, void *data)
{
    (void)connection;
    Answer_t *this = data;
    this->awaits_drain = FALSE;
    if (this->full) {
        this->full = FALSE;
        this->events->drained(this->owner);
    }
}

static void
start_stream(Answer_t *this)
{
    if (this->started) {
        return;
    }
    this->started = TRUE;
    struct evkeyvalq *headers =
        evhttp_request_get_output_headers(CallerWatch_request(this->watch));
    evhttp_add_header(headers, "Content-Type", "text/event-stream");
    evhttp_add_header(headers, "Cache-Control", "no-store");
    evhttp_add_header(headers, "X-Request-Id", this->id->str);
    HttpReply_startStream(CallerWatch_request(this->watch), HTTP_OK, TRUE);
}

static void
update_full(Answer_t *this)
{
    struct bufferevent *stream = bufferevent_of(this);
    gsize waiting =
        stream ? evbuffer_get_length(bufferevent_get_output(stream)) : 0;
    if (waiting + this->out->len > this->buffer_max) {
        this->full = TRUE;
    }
}

/* evhttp keeps the callback of the last chunk only. */
static void
send_chunk(Answer_t *this)
{
    struct evhttp_request *request = CallerWatch_request(this->watch);
    if (this->full == this->awaits_drain &&
        HttpReply_appendPart(request, this->chunk)) {
        return;
    }
    this->awaits_drain = this->full;
    if (this->full) {
        evhttp_send_reply_chunk_with_cb(request, this->chunk, on_drained,
                                        this);
    }
    else {
        evhttp_send_reply_chunk(request, this->chunk);
    }
}

/* Sends all events of this loop iteration as one chunk. */
static void
flush_events(Answer_t *this)
{
    struct evhttp_connection *connection = CallerWatch_connection(this->watch);
    evbuffer_add(this->chunk, this->out->str, this->out->len);
    g_string_truncate(this->out, 0);
    if (!connection) {
        return;
    }
    send_chunk(this);
    if (!this->full) {
        Http_flush(connection);
    }
}

static void
on_iteration_end(void *data)
{
    Answer_t *this = data;
    if (CallerWatch_request(this->watch) && this->out->len > 0) {
        flush_events(this);
    }
}

static void
schedule_flush(Answer_t *this, gsize length_before)
{
    if (length_before == 0) {
        DeferredCalls_add(this->deferred_calls, on_iteration_end, this);
    }
    update_full(this);
}

static void
append_object_head(const Answer_t *this, GString *out, const char *object)
{
    g_string_append_printf(
        out,
        "{\"id\":\"%s\",\"object\":\"%s\",\"created\":%" G_GINT64_FORMAT
        ",\"model\":%s,\"choices\":[{\"index\":0,",
        this->id->str, object, this->created_s, this->model_json->str);
}

static void
append_finish(GString *out, const char *finish)
{
    g_string_append(out, ",\"finish_reason\":");
    if (finish) {
        Json_appendString(out, finish, -1);
    }
    else {
        g_string_append(out, "null");
    }
}

static void
build_event_prefix(Answer_t *this)
{
    if (this->event_prefix->len == 0) {
        g_string_append(this->event_prefix, "\ndata: ");
        append_object_head(this, this->event_prefix,
                           this->chat ? "chat.completion.chunk"
                                      : "text_completion");
        g_string_append(this->event_prefix,
                        this->chat ? "\"delta\":{\"content\":" : "\"text\":");
    }
}

static void
stream_token(Answer_t *this, const char *text, gsize length,
             const char *finish, guint64 next_offset)
{
    start_stream(this);
    build_event_prefix(this);
    GString *out = this->out;
    gsize length_before = out->len;
    g_string_append_len(out, "id: ", strlen("id: "));
    g_string_append_len(out, this->resume_token->str,
                        (gssize)this->resume_token->len);
    g_string_append_printf(out, ".%" G_GUINT64_FORMAT, next_offset);
    g_string_append_len(out, this->event_prefix->str,
                        (gssize)this->event_prefix->len);
    Json_appendString(out, text, (gssize)length);
    if (this->chat) {
        g_string_append_c(out, '}');
    }
    append_finish(out, finish);
    g_string_append(out, "}]}\n\n");
    schedule_flush(this, length_before);
}

static void
stream_finish(Answer_t *this, guint prompt_tokens, guint64 tokens,
              guint cached_tokens)
{
    (void)prompt_tokens;
    (void)tokens;
    (void)cached_tokens;
    start_stream(this);
    g_string_append(this->out, "data: [DONE]\n\n");
    flush_events(this);
    HttpReply_endStream(CallerWatch_detach(this->watch), this->id->str);
}

static void
collect_token(Answer_t *this, const char *text, gsize length,
              const char *finish, guint64 next_offset)
{
    (void)next_offset;
    g_string_append_len(this->content, text, (gssize)length);
    if (finish) {
        g_string_assign(this->finish_reason, finish);
    }
}

static void
send_collected(Answer_t *this, guint prompt_tokens, guint64 tokens,
               guint cached_tokens)
{
    GString *body = this->out;
    append_object_head(this, body,
                       this->chat ? "chat.completion" : "text_completion");
    g_string_append(body, this->chat ? "\"message\":{\"role\":\"assistant\","
                                       "\"content\":"
                                     : "\"text\":");
    Json_appendString(body, this->content->str, (gssize)this->content->len);
    if (this->chat) {
        g_string_append_c(body, '}');
    }
    append_finish(body, this->finish_reason->len > 0 ? this->finish_reason->str
                                                     : "stop");
    g_string_append_printf(
        body,
        "}],\"usage\":{\"prompt_tokens\":%u,\"completion_tokens\":"
        "%" G_GUINT64_FORMAT ",\"total_tokens\":%" G_GUINT64_FORMAT
        ",\"prompt_tokens_details\":{\"cached_tokens\":%u}}}",
        prompt_tokens, tokens, prompt_tokens + tokens, cached_tokens);
    struct evkeyvalq *headers =
        evhttp_request_get_output_headers(CallerWatch_request(this->watch));
    evhttp_add_header(headers, "Content-Type", "application/json");
    evhttp_add_header(headers, "X-Request-Id", this->id->str);
    evbuffer_add(this->chunk, body->str, body->len);
    HttpReply_sendBody(CallerWatch_detach(this->watch), this->id->str, HTTP_OK,
                       "OK", this->chunk, TRUE);
}

static const AnswerClass_t stream_class = {stream_token, stream_finish};
static const AnswerClass_t plain_class = {collect_token, send_collected};

Answer_t *
Answer_create(struct event_base *base, const AnswerSpec_t *spec,
              const AnswerEvents_t *events, void *owner)
{
    Answer_t *this = g_new0(Answer_t, 1);
    this->class = spec->stream ? &stream_class : &plain_class;
    this->events = events;
    this->owner = owner;
    this->chat = spec->chat;
    this->id = g_string_new(spec->id);
    this->model_json = g_string_new(NULL);
    Json_appendString(this->model_json, spec->model, -1);
    this->resume_token = g_string_new(NULL);
    this->content = g_string_new(NULL);
    this->finish_reason = g_string_new(NULL);
    this->event_prefix = g_string_new(NULL);
    this->out = g_string_sized_new(512);
    this->chunk = evbuffer_new();
    this->buffer_max = spec->buffer_max;
    this->deferred_calls = spec->deferred_calls;
    this->created_s = Clock_wallMs() / 1000;
    this->watch =
        CallerWatch_create(base, spec->request, on_caller_left, this);
    return this;
}

void
Answer_destroy(Answer_t *this)
{
    CallerWatch_destroy(this->watch);
    DeferredCalls_remove(this->deferred_calls, this);
    g_string_free(this->id, TRUE);
    g_string_free(this->model_json, TRUE);
    g_string_free(this->resume_token, TRUE);
    g_string_free(this->content, TRUE);
    g_string_free(this->finish_reason, TRUE);
    g_string_free(this->event_prefix, TRUE);
    g_string_free(this->out, TRUE);
    evbuffer_free(this->chunk);
    g_free(this);
}

void
Answer_setResumeToken(Answer_t *this, const GString *sealed)
{
    g_string_assign(this->resume_token, sealed->str);
}

void
Answer_writeToken(Answer_t *this, const char *text, gsize length,
                  const char *finish, guint64 next_offset)
{
    if (CallerWatch_request(this->watch)) {
        this->class->token(this, text, length, finish, next_offset);
    }
}

void
Answer_finish(Answer_t *this, guint prompt_tokens, guint64 tokens,
              guint cached_tokens)
{
    if (CallerWatch_request(this->watch)) {
        this->class->finish(this, prompt_tokens, tokens, cached_tokens);
    }
}

/* Closes the connection after the error event, without the last chunk. */
static void
on_error_event_sent(struct evhttp_connection *connection, void *data)
{
    (void)data;
    evhttp_connection_free(connection);
}

static void
abort_stream(Answer_t *this, const RefusalNotice_t *notice)
{
    GString *body = Refusal_body(notice->refusal, notice->run, notice->detail);
    g_string_append_printf(this->out, "event: error\ndata: %s\n\n", body->str);
    g_string_free(body, TRUE);
    evbuffer_add(this->chunk, this->out->str, this->out->len);
    struct evhttp_request *request = CallerWatch_detach(this->watch);
    if (!evhttp_request_get_connection(request)) {
        evhttp_send_reply_end(request);
        return;
    }
    /* The event ends a chunk. */
    ResetOnClose_remove(evhttp_request_get_connection(request));
    PendingReply_watch(request, this->id->str);
    evhttp_send_reply_chunk_with_cb(request, this->chunk, on_error_event_sent,
                                    NULL);
}

void
Answer_refuse(Answer_t *this, const RefusalNotice_t *notice)
{
    if (!CallerWatch_request(this->watch)) {
        return;
    }
    if (this->started) {
        abort_stream(this, notice);
        return;
    }
    Http_refuse(CallerWatch_detach(this->watch), this->id->str, notice);
}

gboolean
Answer_isFull(const Answer_t *this)
{
    return this->full;
}

void
Http_refuse(struct evhttp_request *request, const char *id,
            const RefusalNotice_t *notice)
{
    const RefusalSpec_t *spec = Refusal_spec(notice->refusal);
    guint retry_after_ms = Refusal_retryAfterMs(notice);
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Content-Type", "application/json");
    evhttp_add_header(headers, "X-Request-Id", id);
    if (retry_after_ms > 0) {
        g_autofree char *wait =
            g_strdup_printf("%u", (retry_after_ms + 999) / 1000);
        evhttp_add_header(headers, "Retry-After", wait);
    }
    GString *text = Refusal_body(notice->refusal, notice->run, notice->detail);
    struct evbuffer *body = evbuffer_new();
    evbuffer_add(body, text->str, text->len);
    HttpReply_sendBody(request, id, spec->status, spec->code, body, TRUE);
    evbuffer_free(body);
    g_string_free(text, TRUE);
}
