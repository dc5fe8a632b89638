#include "Attempt.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "Clock.h"
#include "HttpCall.h"
#include "SseParser.h"

/* A refusal's body is short; what is longer is not read on. */
#define REFUSAL_MAX 65536

struct Attempt {
    struct event_base *base;
    Upstream_t *upstream;
    const EngineWire_t *wire;
    const AttemptEvents_t *events;
    void *owner;
    char id[RANDOM_ID_LENGTH + 1];
    struct evhttp_connection *connection;
    struct evbuffer_cb_entry *output_watch;
    SseParser_t *parser;
    GString *refusal;     /* body of an answer that is no stream */
    struct event *watch;  /* the engine must not be silent */
    struct event *reaper; /* frees us outside of evhttp's callbacks */
    EngineHead_t head;
    EngineForm_t form;
    guint64 next_index;
    gint64 last_heard_ms;
    gint64 connect_ms;
    gint64 first_token_ms;
    gint64 token_ms;
    AttemptEnd_t fault;
    gboolean has_fault;
    gboolean sent;
    gboolean has_head;
    gboolean has_token;
    gboolean whole;
    gboolean held;
    gboolean over;
    gboolean keep; /* the connection ended cleanly and can be used again */
};

static void
Attempt_destroy(Attempt_t *this)
{
    struct bufferevent *stream =
        evhttp_connection_get_bufferevent(this->connection);
    evbuffer_remove_cb_entry(bufferevent_get_output(stream),
                             this->output_watch);
    if (this->keep && Upstream_canKeep(this->upstream)) {
        Upstream_keepConnection(this->upstream, this->connection,
                                Clock_nowMs());
    }
    else {
        evhttp_connection_free(this->connection);
    }
    event_free(this->watch);
    event_free(this->reaper);
    SseParser_destroy(this->parser);
    g_string_free(this->refusal, TRUE);
    g_string_free(this->head.attempt, TRUE);
    g_string_free(this->form.prefix, TRUE);
    g_string_free(this->form.suffix, TRUE);
    Upstream_unref(this->upstream);
    g_free(this);
}

static void
on_reap(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Attempt_destroy(data);
}

/* Returns FALSE where it was over already. */
static gboolean
close_attempt(Attempt_t *this)
{
    if (this->over) {
        return FALSE;
    }
    this->over = TRUE;
    evtimer_del(this->watch);
    Clock_arm(this->reaper, 0);
    return TRUE;
}

static void
end_attempt(Attempt_t *this, AttemptEnd_t end, const EngineRefusal_t *refusal)
{
    if (close_attempt(this)) {
        this->events->ended(this->owner, end, refusal);
    }
}

static gint64
patience(const Attempt_t *this)
{
    if (!this->sent) {
        return this->connect_ms;
    }
    return this->has_token ? this->token_ms : this->first_token_ms;
}

/* Armed again only when it fires, since a token comes far more often. */
static void
on_watch(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Attempt_t *this = data;
    gint64 left = this->last_heard_ms + patience(this) - Clock_nowMs();
    if (left > 0 || this->held) {
        Clock_arm(this->watch, MAX(left, 1000));
        return;
    }
    end_attempt(this, this->sent ? ATTEMPT_SILENT : ATTEMPT_NOT_SENT, NULL);
}

/* evhttp fills the output only once the connection stands. */
static void
on_output(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
          void *data)
{
    (void)buffer;
    Attempt_t *this = data;
    if (info->n_added > 0 && !this->sent) {
        this->sent = TRUE;
        this->last_heard_ms = Clock_nowMs();
        Clock_arm(this->watch, this->first_token_ms);
    }
}

static gboolean
set_fault(Attempt_t *this, AttemptEnd_t fault)
{
    this->fault = fault;
    this->has_fault = TRUE;
    return FALSE;
}

static gboolean
take_token(Attempt_t *this, const EngineToken_t *token)
{
    if (token->end) {
        this->whole = TRUE;
        return FALSE;
    }
    if (token->index < this->next_index) {
        return TRUE;
    }
    if (token->index > this->next_index) {
        return set_fault(this, ATTEMPT_BAD_ANSWER);
    }
    this->next_index++;
    if (!this->has_token) {
        this->has_token = TRUE;
        Clock_arm(this->watch, this->token_ms);
    }
    this->events->token(this->owner, token);
    return !this->over;
}

static gboolean
on_event(const char *id, const char *data, gsize length, void *user)
{
    Attempt_t *this = user;
    EngineToken_t token;
    json_t *keep = NULL;
    gboolean good = this->wire->read_event(&this->head, &this->form, id, data,
                                           length, &token, &keep);
    gboolean go_on =
        good ? take_token(this, &token) : set_fault(this, ATTEMPT_MISMATCH);
    json_decref(keep);
    return go_on;
}

/* evhttp throws away what a chunk callback leaves. */
static void
keep_refusal(Attempt_t *this, struct evbuffer *input)
{
    gsize length = evbuffer_get_length(input);
    if (length > 0 && this->refusal->len + length <= REFUSAL_MAX) {
        g_string_append_len(this->refusal, (char *)evbuffer_pullup(input, -1),
                            (gssize)length);
    }
}

static void
on_chunk(struct evhttp_request *request, void *data)
{
    Attempt_t *this = data;
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    if (this->over || this->has_fault || this->whole) {
        return;
    }
    this->last_heard_ms = Clock_nowMs();
    if (!this->has_head) {
        keep_refusal(this, input);
        return;
    }
    if (!SseParser_feed(this->parser, input) && !this->over && !this->whole) {
        end_attempt(this, this->has_fault ? this->fault : ATTEMPT_BAD_ANSWER,
                    NULL);
    }
}

static int
on_headers(struct evhttp_request *request, void *data)
{
    Attempt_t *this = data;
    if (this->over || evhttp_request_get_response_code(request) != HTTP_OK) {
        return 0;
    }
    this->last_heard_ms = Clock_nowMs();
    Http_noDelay(this->connection);
    gboolean good = this->wire->read_head(
        evhttp_request_get_input_headers(request), &this->head);
    if (g_strcmp0(this->head.attempt->str, this->id) != 0) {
        end_attempt(this, ATTEMPT_MISMATCH, NULL);
        return 0;
    }
    if (!good) {
        end_attempt(this, ATTEMPT_BAD_ANSWER, NULL);
        return 0;
    }
    this->has_head = TRUE;
    this->events->started(this->owner, &this->head);
    return 0;
}

/* Only a refusal that names this attempt can prove anything of it. */
static void
end_refused(Attempt_t *this, struct evhttp_request *request)
{
    EngineRefusal_t refusal;
    this->wire->read_refusal(evhttp_request_get_response_code(request),
                             this->refusal->str, this->refusal->len, &refusal);
    const char *attempt = evhttp_find_header(
        evhttp_request_get_input_headers(request), ATTEMPT_HEADER);
    if (g_strcmp0(attempt, this->id) != 0) {
        end_attempt(this, attempt ? ATTEMPT_MISMATCH : ATTEMPT_FAILED, NULL);
    }
    else if (refusal.final) {
        end_attempt(this, ATTEMPT_REJECTED, &refusal);
    }
    else {
        end_attempt(this, refusal.not_run ? ATTEMPT_NOT_RUN : ATTEMPT_FAILED,
                    &refusal);
    }
}

static void
on_done(struct evhttp_request *request, void *data)
{
    Attempt_t *this = data;
    int status = request ? evhttp_request_get_response_code(request) : 0;
    if (this->over) {
        return;
    }
    if (status == 0) {
        end_attempt(this, this->sent ? ATTEMPT_CUT : ATTEMPT_NOT_SENT, NULL);
        return;
    }
    this->keep = status != HTTP_OK || this->whole;
    if (status != HTTP_OK) {
        end_refused(this, request);
        return;
    }
    end_attempt(this, this->whole ? ATTEMPT_WHOLE : ATTEMPT_CUT, NULL);
}

static struct evhttp_request *
make_request(Attempt_t *this, GBytes *body)
{
    struct evhttp_request *request = evhttp_request_new(on_done, this);
    evhttp_request_set_header_cb(request, on_headers);
    evhttp_request_set_chunked_cb(request, on_chunk);
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", this->upstream->address.host);
    evhttp_add_header(headers, "Content-Type", "application/json");
    evhttp_add_header(headers, ATTEMPT_HEADER, this->id);
    gsize length = 0;
    const void *bytes = g_bytes_get_data(body, &length);
    evbuffer_add(evhttp_request_get_output_buffer(request), bytes, length);
    return request;
}

Attempt_t *
Attempt_start(struct event_base *base, const AttemptSpec_t *spec,
              const AttemptEvents_t *events, void *owner)
{
    Attempt_t *this = g_new0(Attempt_t, 1);
    this->base = base;
    this->upstream = Upstream_ref(spec->upstream);
    this->wire = spec->wire;
    this->events = events;
    this->owner = owner;
    this->next_index = spec->first_index;
    this->connect_ms = spec->connect_ms;
    this->first_token_ms = spec->first_token_ms;
    this->token_ms = spec->token_ms;
    this->last_heard_ms = Clock_nowMs();
    this->head.attempt = g_string_new(NULL);
    this->form.prefix = g_string_new(NULL);
    this->form.suffix = g_string_new(NULL);
    this->refusal = g_string_new(NULL);
    Random_id(this->id);
    this->parser = SseParser_create(on_event, this);
    this->watch = Clock_timer(base, on_watch, this);
    this->reaper = Clock_timer(base, on_reap, this);
    this->connection = Upstream_takeConnection(
        this->upstream, spec->fresh ? UPSTREAM_NO_IDLE : UPSTREAM_ANY_IDLE,
        this->last_heard_ms);
    struct bufferevent *stream =
        evhttp_connection_get_bufferevent(this->connection);
    this->output_watch =
        evbuffer_add_cb(bufferevent_get_output(stream), on_output, this);
    Clock_arm(this->watch, this->connect_ms);
    if (evhttp_make_request(this->connection, make_request(this, spec->body),
                            EVHTTP_REQ_POST, spec->path) != 0) {
        this->last_heard_ms = 0;
        Clock_arm(this->watch, 0);
    }
    return this;
}

void
Attempt_cancel(Attempt_t *this)
{
    close_attempt(this);
}

const char *
Attempt_id(const Attempt_t *this)
{
    return this->id;
}

void
Attempt_hold(Attempt_t *this)
{
    if (!this->held && !this->over) {
        this->held = TRUE;
        bufferevent_disable(
            evhttp_connection_get_bufferevent(this->connection), EV_READ);
    }
}

gboolean
Attempt_isHeld(const Attempt_t *this)
{
    return this->held;
}

void
Attempt_release(Attempt_t *this)
{
    if (this->held && !this->over) {
        this->held = FALSE;
        this->last_heard_ms = Clock_nowMs();
        bufferevent_enable(evhttp_connection_get_bufferevent(this->connection),
                           EV_READ);
    }
}

gboolean
Attempt_wasSent(const Attempt_t *this)
{
    return this->sent;
}
