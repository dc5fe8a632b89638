#include "Answer.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>

#include "CallerWatch.h"
#include "Clock.h"
#include "HttpCall.h"
#include "Json.h"
#include "PendingReply.h"

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
    GString *sealed;
    GString *text; /* of a plain answer, as JSON without its quotes */
    GString *last_finish;
    GString *head; /* of each event, the same for all of a stream */
    GString *line; /* events of this turn, or scratch */
    struct evbuffer *chunk;
    gsize buffer_max;
    TurnEnd_t *turn_end;
    gint64 created_s;
    gboolean begun;
    gboolean full;
};

static struct bufferevent *
stream_of(const Answer_t *this)
{
    struct evhttp_connection *connection = CallerWatch_connection(this->watch);
    return connection ? evhttp_connection_get_bufferevent(connection) : NULL;
}

static void
on_left(void *owner)
{
    const Answer_t *this = owner;
    this->events->left(this->owner);
}

static void
on_drained(struct evhttp_connection *connection, void *data)
{
    (void)connection;
    Answer_t *this = data;
    if (this->full) {
        this->full = FALSE;
        this->events->drained(this->owner);
    }
}

static void
begin_stream(Answer_t *this)
{
    if (this->begun) {
        return;
    }
    this->begun = TRUE;
    struct evkeyvalq *headers =
        evhttp_request_get_output_headers(CallerWatch_request(this->watch));
    evhttp_add_header(headers, "Content-Type", "text/event-stream");
    evhttp_add_header(headers, "Cache-Control", "no-store");
    evhttp_add_header(headers, "X-Request-Id", this->id->str);
    evhttp_send_reply_start(CallerWatch_request(this->watch), HTTP_OK, "OK");
}

static void
note_fullness(Answer_t *this)
{
    struct bufferevent *stream = stream_of(this);
    gsize waiting =
        stream ? evbuffer_get_length(bufferevent_get_output(stream)) : 0;
    if (waiting + this->line->len > this->buffer_max) {
        this->full = TRUE;
    }
}

/* One chunk for all events of this turn. */
static void
send_lines(Answer_t *this)
{
    struct evhttp_connection *connection = CallerWatch_connection(this->watch);
    evbuffer_add(this->chunk, this->line->str, this->line->len);
    g_string_truncate(this->line, 0);
    if (this->full) {
        evhttp_send_reply_chunk_with_cb(CallerWatch_request(this->watch),
                                        this->chunk, on_drained, this);
    }
    else if (connection) {
        evhttp_send_reply_chunk(CallerWatch_request(this->watch), this->chunk);
        Http_flush(connection);
    }
}

static void
on_turn_end(void *data)
{
    Answer_t *this = data;
    if (CallerWatch_request(this->watch) && this->line->len > 0) {
        send_lines(this);
    }
}

static void
send_later(Answer_t *this, gsize length_before)
{
    if (length_before == 0) {
        TurnEnd_add(this->turn_end, on_turn_end, this);
    }
    note_fullness(this);
}

static void
append_head(const Answer_t *this, GString *out, const char *object)
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

/* Made once for all tokens of a stream. */
static void
make_head(Answer_t *this)
{
    if (this->head->len == 0) {
        g_string_append(this->head, "\ndata: ");
        append_head(this, this->head,
                    this->chat ? "chat.completion.chunk" : "text_completion");
        g_string_append(this->head,
                        this->chat ? "\"delta\":{\"content\":" : "\"text\":");
    }
}

static void
stream_token(Answer_t *this, const char *text, gsize length,
             const char *finish, guint64 next_offset)
{
    begin_stream(this);
    make_head(this);
    GString *line = this->line;
    gsize length_before = line->len;
    g_string_append_len(line, "id: ", strlen("id: "));
    g_string_append_len(line, this->sealed->str, (gssize)this->sealed->len);
    g_string_append_printf(line, ".%" G_GUINT64_FORMAT, next_offset);
    g_string_append_len(line, this->head->str, (gssize)this->head->len);
    Json_appendString(line, text, (gssize)length);
    if (this->chat) {
        g_string_append_c(line, '}');
    }
    append_finish(line, finish);
    g_string_append(line, "}]}\n\n");
    send_later(this, length_before);
}

static void
stream_finish(Answer_t *this, guint prompt_tokens, guint64 tokens,
              guint cached_tokens)
{
    (void)prompt_tokens;
    (void)tokens;
    (void)cached_tokens;
    begin_stream(this);
    g_string_append(this->line, "data: [DONE]\n\n");
    send_lines(this);
    struct evhttp_request *request = CallerWatch_end(this->watch);
    PendingReply_watch(request);
    evhttp_send_reply_end(request);
}

static void
plain_token(Answer_t *this, const char *text, gsize length, const char *finish,
            guint64 next_offset)
{
    (void)next_offset;
    g_string_append_len(this->text, text, (gssize)length);
    if (finish) {
        g_string_assign(this->last_finish, finish);
    }
}

static void
plain_finish(Answer_t *this, guint prompt_tokens, guint64 tokens,
             guint cached_tokens)
{
    GString *body = this->line;
    append_head(this, body,
                this->chat ? "chat.completion" : "text_completion");
    g_string_append(body, this->chat ? "\"message\":{\"role\":\"assistant\","
                                       "\"content\":"
                                     : "\"text\":");
    Json_appendString(body, this->text->str, (gssize)this->text->len);
    if (this->chat) {
        g_string_append_c(body, '}');
    }
    append_finish(body, this->last_finish->len > 0 ? this->last_finish->str
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
    struct evhttp_request *request = CallerWatch_end(this->watch);
    PendingReply_watch(request);
    evhttp_send_reply(request, HTTP_OK, "OK", this->chunk);
}

static const AnswerClass_t stream_class = {stream_token, stream_finish};
static const AnswerClass_t plain_class = {plain_token, plain_finish};

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
    this->sealed = g_string_new(NULL);
    this->text = g_string_new(NULL);
    this->last_finish = g_string_new(NULL);
    this->head = g_string_new(NULL);
    this->line = g_string_sized_new(512);
    this->chunk = evbuffer_new();
    this->buffer_max = spec->buffer_max;
    this->turn_end = spec->turn_end;
    this->created_s = Clock_wallMs() / 1000;
    this->watch = CallerWatch_create(base, spec->request, on_left, this);
    return this;
}

void
Answer_destroy(Answer_t *this)
{
    CallerWatch_destroy(this->watch);
    TurnEnd_remove(this->turn_end, this);
    g_string_free(this->id, TRUE);
    g_string_free(this->model_json, TRUE);
    g_string_free(this->sealed, TRUE);
    g_string_free(this->text, TRUE);
    g_string_free(this->last_finish, TRUE);
    g_string_free(this->head, TRUE);
    g_string_free(this->line, TRUE);
    evbuffer_free(this->chunk);
    g_free(this);
}

void
Answer_setToken(Answer_t *this, const GString *sealed)
{
    g_string_assign(this->sealed, sealed->str);
}

void
Answer_token(Answer_t *this, const char *text, gsize length,
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

/* Once the error event has gone out, the chunked body stays without its end.
 */
static void
on_error_sent(struct evhttp_connection *connection, void *data)
{
    (void)data;
    evhttp_connection_free(connection);
}

static void
break_off(Answer_t *this, const RefusalNotice_t *notice)
{
    GString *body = Refusal_body(notice->refusal, notice->run, notice->detail);
    g_string_append_printf(this->line, "event: error\ndata: %s\n\n",
                           body->str);
    g_string_free(body, TRUE);
    evbuffer_add(this->chunk, this->line->str, this->line->len);
    struct evhttp_request *request = CallerWatch_end(this->watch);
    if (!evhttp_request_get_connection(request)) {
        evhttp_send_reply_end(request);
        return;
    }
    PendingReply_watch(request);
    evhttp_send_reply_chunk_with_cb(request, this->chunk, on_error_sent, NULL);
}

void
Answer_refuse(Answer_t *this, const RefusalNotice_t *notice)
{
    if (!CallerWatch_request(this->watch)) {
        return;
    }
    if (this->begun) {
        break_off(this, notice);
        return;
    }
    Http_refuse(CallerWatch_end(this->watch), this->id->str, notice);
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
    PendingReply_watch(request);
    evhttp_send_reply(request, spec->status, spec->code, body);
    evbuffer_free(body);
    g_string_free(text, TRUE);
}
