#include "Attempt.h"

#include <event2/buffer.h>

#include "AttemptConnection.h"
#include "BodyFraming.h"
#include "Buffers.h"
#include "Clock.h"
#include "HttpCall.h"
#include "SseParser.h"

/* Longest body of a refusal, in bytes; a longer one ends the attempt. */
#define REFUSAL_BODY_MAX 65536
/* The timeout is rechecked no sooner than after this time. */
#define TIMEOUT_RECHECK_MIN_MS 1000

struct Attempt {
    AttemptConnection_t connection;
    const EngineWire_t *wire;
    const AttemptEvents_t *events;
    void *owner;
    char id[RANDOM_ID_LENGTH + 1];
    SseParser_t *parser;
    struct evbuffer *unparsed; /* the beginning of an event */
    GString *refusal_body;     /* of an answer without an event stream */
    EngineHead_t head;
    EngineEventFormat_t form;
    guint64 next_index;
    AttemptEnd_t fault;
    gboolean has_fault;
    gboolean has_head;
    gboolean complete;
    BodyFraming_t framing;
};

static void
Attempt_destroy(Attempt_t *this)
{
    AttemptConnection_clear(&this->connection);
    SseParser_destroy(this->parser);
    evbuffer_free(this->unparsed);
    g_string_free(this->refusal_body, TRUE);
    g_string_free(this->head.attempt, TRUE);
    g_string_free(this->form.prefix, TRUE);
    g_string_free(this->form.suffix, TRUE);
    g_free(this);
}

static void
on_reap(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Attempt_destroy(data);
}

static void
end_attempt(Attempt_t *this, AttemptEnd_t end, const EngineRefusal_t *refusal)
{
    if (AttemptConnection_close(&this->connection)) {
        this->events->ended(this->owner, end, refusal);
    }
}

/* Tokens only update last_received_ms. The timer, which fires far less often,
 * computes the remaining time and rearms itself. */
static void
on_timeout(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Attempt_t *this = data;
    AttemptConnection_t *connection = &this->connection;
    if (connection->withdrawn) {
        end_attempt(this, ATTEMPT_WITHDRAWN, NULL);
        return;
    }
    if (connection->input_oversized) {
        end_attempt(this, ATTEMPT_OVERSIZED, NULL);
        return;
    }
    if (AttemptConnection_hasBrokenFraming(connection)) {
        end_attempt(this, ATTEMPT_BAD_ANSWER, NULL);
        return;
    }
    gint64 left_ms = AttemptConnection_remainingMs(connection);
    if (left_ms > 0 || connection->read_paused) {
        Clock_arm(connection->timeout_timer,
                  MAX(left_ms, TIMEOUT_RECHECK_MIN_MS));
        return;
    }
    if (!connection->sent) {
        end_attempt(this, ATTEMPT_NOT_SENT, NULL);
    }
    else if (this->events->silent(this->owner)) {
        end_attempt(this, ATTEMPT_SILENT, NULL);
    }
    else {
        Clock_arm(connection->timeout_timer, TIMEOUT_RECHECK_MIN_MS);
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
receive_token(Attempt_t *this, const EngineToken_t *token)
{
    if (token->end) {
        this->complete = TRUE;
        return FALSE;
    }
    if (token->index < this->next_index) {
        return TRUE;
    }
    if (token->index > this->next_index) {
        return set_fault(this, ATTEMPT_BAD_ANSWER);
    }
    this->next_index++;
    AttemptConnection_noteData(&this->connection);
    this->events->token(this->owner, token);
    return !this->connection.closed;
}

static gboolean
on_event(const char *id, const char *data, gsize length, void *user)
{
    Attempt_t *this = user;
    EngineToken_t token;
    json_t *parsed = NULL;
    gboolean good = this->wire->read_event(&this->head, &this->form, id, data,
                                           length, &token, &parsed);
    gboolean proceed =
        good ? receive_token(this, &token) : set_fault(this, ATTEMPT_MISMATCH);
    json_decref(parsed);
    return proceed;
}

/* evhttp discards the bytes that a chunk callback does not read. */
static void
store_refusal_body(Attempt_t *this, struct evbuffer *input)
{
    gsize length = evbuffer_get_length(input);
    if (this->refusal_body->len + length > REFUSAL_BODY_MAX) {
        end_attempt(this, ATTEMPT_OVERSIZED, NULL);
    }
    else if (length > 0) {
        g_string_append_len(this->refusal_body,
                            (char *)evbuffer_pullup(input, -1),
                            (gssize)length);
    }
}

static void
on_chunk(struct evhttp_request *request, void *data)
{
    Attempt_t *this = data;
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    if (this->connection.closed || this->has_fault || this->complete) {
        return;
    }
    this->connection.last_received_ms = Clock_nowMs();
    if (AttemptConnection_hasBrokenFraming(&this->connection)) {
        end_attempt(this, ATTEMPT_BAD_ANSWER, NULL);
        return;
    }
    if (!this->has_head) {
        store_refusal_body(this, input);
        return;
    }
    Buffers_append(this->unparsed, input);
    if (!SseParser_feed(this->parser, this->unparsed) &&
        !this->connection.closed && !this->complete) {
        end_attempt(this, this->has_fault ? this->fault : ATTEMPT_OVERSIZED,
                    NULL);
    }
}

/* Ignores the notice of an answer without this attempt's id, which may be
 * stale. */
static void
report_notice(Attempt_t *this, struct evhttp_request *request)
{
    struct evkeyvalq *headers = evhttp_request_get_input_headers(request);
    const char *attempt = evhttp_find_header(headers, ATTEMPT_HEADER);
    if (g_strcmp0(attempt, this->id) == 0) {
        UpstreamNotice_t notice = UpstreamNotice_read(
            &this->wire->notices, evhttp_request_get_response_code(request),
            headers);
        this->events->answered(this->owner, &notice);
    }
}

static int
on_headers(struct evhttp_request *request, void *data)
{
    Attempt_t *this = data;
    if (this->connection.closed ||
        AttemptConnection_skipInterim(&this->connection, request)) {
        return 0;
    }
    this->framing = AttemptConnection_receiveBody(&this->connection, request);
    report_notice(this, request);
    if (evhttp_request_get_response_code(request) != HTTP_OK) {
        return 0;
    }
    this->connection.last_received_ms = Clock_nowMs();
    Http_setNoDelay(this->connection.evhttp);
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

/* Only a refusal that carries this attempt's id proves that the request was
 * rejected or not run. */
static void
end_refused(Attempt_t *this, struct evhttp_request *request)
{
    EngineRefusal_t refusal;
    this->wire->read_refusal(evhttp_request_get_response_code(request),
                             this->refusal_body->str, this->refusal_body->len,
                             &refusal);
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

/* Called before on_done(). */
static void
on_error(enum evhttp_request_error error, void *data)
{
    Attempt_t *this = data;
    AttemptConnection_noteError(&this->connection, error);
}

static void
on_done(struct evhttp_request *request, void *data)
{
    Attempt_t *this = data;
    int status = request ? evhttp_request_get_response_code(request) : 0;
    if (this->connection.closed ||
        AttemptConnection_failsToStart(&this->connection)) {
        return;
    }
    if (AttemptConnection_hasBrokenFraming(&this->connection)) {
        end_attempt(this, ATTEMPT_BAD_ANSWER, NULL);
        return;
    }
    if (status == 0) {
        end_attempt(this, AttemptConnection_cutEnd(&this->connection), NULL);
        return;
    }
    this->connection.reusable =
        (status != HTTP_OK || this->complete) &&
        BodyFraming_endsBeforeConnection(this->framing);
    if (status != HTTP_OK) {
        end_refused(this, request);
        return;
    }
    end_attempt(this, this->complete ? ATTEMPT_COMPLETE : ATTEMPT_CUT, NULL);
}

static struct evhttp_request *
make_request(Attempt_t *this, GBytes *body)
{
    struct evhttp_request *request = evhttp_request_new(on_done, this);
    evhttp_request_set_header_cb(request, on_headers);
    evhttp_request_set_error_cb(request, on_error);
    evhttp_request_set_chunked_cb(request, on_chunk);
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host",
                      this->connection.upstream->address.host);
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
    AttemptConnectionSpec_t connection = {
        .upstream = spec->upstream,
        .idle_max_ms = spec->fresh ? UPSTREAM_NO_IDLE : UPSTREAM_ANY_IDLE,
        .is_new_work = !spec->is_resume,
        .timeouts = {spec->connect_ms, spec->first_token_ms, spec->token_ms},
        .piece_max = spec->event_max,
        .head_max = spec->head_max,
        .on_timeout = on_timeout,
        .on_reap = on_reap,
        .attempt = this,
    };
    this->wire = spec->wire;
    this->events = events;
    this->owner = owner;
    this->next_index = spec->first_index;
    this->head.attempt = g_string_new(NULL);
    this->form.prefix = g_string_new(NULL);
    this->form.suffix = g_string_new(NULL);
    this->refusal_body = g_string_new(NULL);
    this->unparsed = evbuffer_new();
    Random_id(this->id);
    this->parser = SseParser_create(spec->event_max, on_event, this);
    AttemptConnection_init(&this->connection, base, &connection);
    AttemptConnection_send(&this->connection, make_request(this, spec->body),
                           EVHTTP_REQ_POST, spec->path);
    return this;
}

void
Attempt_cancel(Attempt_t *this)
{
    AttemptConnection_close(&this->connection);
}

void
Attempt_fail(Attempt_t *this, AttemptEnd_t end)
{
    end_attempt(this, end, NULL);
}

void
Attempt_pauseReading(Attempt_t *this)
{
    if (!this->connection.read_paused && !this->connection.closed) {
        AttemptConnection_setReadPaused(&this->connection, TRUE);
    }
}

gboolean
Attempt_isReadingPaused(const Attempt_t *this)
{
    return this->connection.read_paused;
}

void
Attempt_resumeReading(Attempt_t *this)
{
    if (this->connection.read_paused && !this->connection.closed) {
        AttemptConnection_setReadPaused(&this->connection, FALSE);
        this->connection.last_received_ms = Clock_nowMs();
    }
}

gboolean
Attempt_wasSent(const Attempt_t *this)
{
    return this->connection.sent;
}
