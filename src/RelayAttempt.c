#include "RelayAttempt.h"

#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "AttemptConnection.h"
#include "Buffers.h"
#include "Clock.h"
#include "ConnectionOptions.h"
#include "Log.h"
#include "RequestHead.h"
#include "SendWatch.h"

/* TCP keepalive of a connection without traffic. */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES_MAX 2

/* The rest of an answer that says "not run" is received only so that its
 * connection can be reused, so it gets little time and few bytes. */
#define REFUSAL_REST_MS 200
#define REFUSAL_REST_MAX 65536

/* Interval between calls of @silent while the owner answers SILENCE_WAIT. */
#define SILENCE_RECHECK_MS 100
/* Shortest period of the watch timer while time is left. */
#define WATCH_MIN_MS 100
/* Bytes of a body that are held before reading is paused. */
#define HELD_MAX ((gsize)64 << 10)

struct RelayAttempt {
    AttemptConnection_t connection;
    struct event_base *base;
    const RelayUpstreamForm_t *form;
    const RelayAttemptEvents_t *events;
    void *owner;
    GString *request_id;
    RelayHead_t head;
    char *weights; /* of @head, whose headers evhttp may free before the end */
    AttemptEnd_t expected_end; /* if the body ends in an orderly way */
    gsize refusal_bytes;       /* of the body of an answer "not run" */
    gboolean has_head;
    const OrderForm_t *start_form; /* NULL if the start need not be proved */
    gboolean needs_start;
    guint64 incarnation;   /* of the upstream when the attempt began */
    gint64 connect_ms;     /* timeout of the question for the start */
    StartProof_t *proof;   /* open question, or NULL */
    struct evbuffer *held; /* body received while it is open */
    AttemptEnd_t held_end; /* if the body ended meanwhile */
    gboolean has_held_end;
    SendWatch_t *sending; /* NULL if the connection had no socket */
};

static void
RelayAttempt_destroy(RelayAttempt_t *this)
{
    AttemptConnection_t *connection = &this->connection;
    evutil_socket_t fd =
        bufferevent_getfd(AttemptConnection_bufferevent(connection));
    connection->reusable = connection->reusable && fd >= 0;
    if (this->sending) {
        SendWatch_destroy(this->sending);
    }
    AttemptConnection_clear(connection);
    evbuffer_free(this->held);
    g_string_free(this->request_id, TRUE);
    g_free(this->weights);
    g_free(this);
}

static void
on_reap(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    RelayAttempt_destroy(data);
}

/* Tells which answer ended the attempt, and on which connection it came. */
static void
log_end(const RelayAttempt_t *this, AttemptEnd_t end)
{
    const AttemptConnection_t *connection = &this->connection;
    const PooledConnection_t *pooled = connection->pooled;
    Log_begin(LOG_LEVEL_INFO, "attempt_ended");
    Log_text("request", this->request_id->str);
    Log_text("upstream", connection->upstream->name->str);
    Log_text("end", Recovery_endName(end));
    Log_number("sent", connection->sent);
    Log_number("status", this->has_head ? this->head.status : 0);
    Log_number("not_run", this->has_head && this->head.not_run);
    Log_number("unproven", this->has_head && this->head.is_unproven);
    Log_number("matches_request",
               this->has_head && this->head.matches_request);
    Log_number("broken_framing",
               AttemptConnection_hasBrokenFraming(connection));
    if (AttemptConnection_framingFault(connection)) {
        Log_text("reason", AttemptConnection_framingFault(connection));
    }
    Log_number("connection", (gint64)PooledConnection_number(pooled));
    Log_number("requests", PooledConnection_countRequests(pooled));
    Log_end();
}

static void
cancel_proof(RelayAttempt_t *this)
{
    if (this->proof) {
        StartProof_cancel(this->proof);
        this->proof = NULL;
    }
}

static void
end_attempt(RelayAttempt_t *this, AttemptEnd_t end)
{
    cancel_proof(this);
    if (AttemptConnection_close(&this->connection)) {
        if (end != ATTEMPT_COMPLETE) {
            log_end(this, end);
        }
        this->events->ended(this->owner, end,
                            this->has_head ? &this->head : NULL);
    }
}

static gboolean
is_not_run(const RelayAttempt_t *this)
{
    return this->has_head && this->expected_end == ATTEMPT_NOT_RUN;
}

static void
apply_silence_action(RelayAttempt_t *this, SilenceAction_t action)
{
    if (action == SILENCE_GIVE_UP) {
        end_attempt(this, ATTEMPT_SILENT);
    }
    else if (action == SILENCE_TAKE_BACK) {
        end_attempt(this, ATTEMPT_TAKEN_BACK);
    }
    else {
        Clock_arm(this->connection.timeout_timer, SILENCE_RECHECK_MS);
    }
}

/* The end of a body that is held follows it; nothing more is read. */
static void
receive_end(RelayAttempt_t *this, AttemptEnd_t end)
{
    if (!this->proof) {
        end_attempt(this, end);
    }
    else if (!this->has_held_end) {
        this->held_end = end;
        this->has_held_end = TRUE;
        evtimer_del(this->connection.timeout_timer);
        RelayAttempt_setReadPaused(this, TRUE);
    }
}

static void
on_timeout(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    RelayAttempt_t *this = data;
    AttemptConnection_t *connection = &this->connection;
    if (connection->withdrawn) {
        end_attempt(this, ATTEMPT_WITHDRAWN);
        return;
    }
    if (is_not_run(this)) {
        end_attempt(this, ATTEMPT_NOT_RUN);
        return;
    }
    if (connection->input_oversized) {
        receive_end(this, ATTEMPT_OVERSIZED);
        return;
    }
    if (AttemptConnection_hasBrokenFraming(connection)) {
        receive_end(this, ATTEMPT_BAD_ANSWER);
        return;
    }
    gint64 left_ms = AttemptConnection_remainingMs(connection);
    if (left_ms > 0 || connection->read_paused) {
        Clock_arm(connection->timeout_timer, MAX(left_ms, WATCH_MIN_MS));
        return;
    }
    if (!connection->sent) {
        end_attempt(this, ATTEMPT_NOT_SENT);
    }
    else {
        apply_silence_action(this, this->events->silent(this->owner));
    }
}

static void
skip_refusal(RelayAttempt_t *this, const struct evbuffer *input)
{
    this->refusal_bytes += evbuffer_get_length(input);
    if (this->refusal_bytes > REFUSAL_REST_MAX) {
        end_attempt(this, ATTEMPT_NOT_RUN);
    }
}

gboolean
RelayAttempt_isStartProved(const RelayAttempt_t *this)
{
    return !this->start_form ||
           (PooledConnection_start(this->connection.pooled) ==
                this->incarnation &&
            this->connection.upstream->incarnation == this->incarnation);
}

/* What broke off and is not proved is dropped: the request can be sent again,
 * as nothing was passed on. The owner may cancel the attempt as it gets the
 * data. */
static void
pass_held(RelayAttempt_t *this)
{
    gboolean is_broken = this->has_held_end &&
                         this->held_end != ATTEMPT_COMPLETE &&
                         this->held_end != ATTEMPT_CLOSED;
    gboolean is_dropped = is_broken && !RelayAttempt_isStartProved(this);
    if (!is_dropped && evbuffer_get_length(this->held) > 0) {
        this->events->data(this->owner, this->held);
    }
    if (this->has_held_end && !this->connection.closed) {
        end_attempt(this, this->held_end);
    }
}

/* A stream of an unknown start can't go on at another engine, should this one
 * stay silent. */
static gboolean
is_given_up(RelayAttempt_t *this, gboolean is_silent)
{
    return is_silent && !this->has_held_end &&
           this->events->unproved(this->owner);
}

static void
on_start_stated(void *owner, guint64 incarnation, gboolean is_silent)
{
    RelayAttempt_t *this = owner;
    this->proof = NULL;
    RelayAttempt_setReadPaused(this, FALSE);
    PooledConnection_setStart(this->connection.pooled, incarnation);
    gboolean is_other = incarnation != 0 && incarnation != this->incarnation;
    if (is_other || (this->needs_start && !RelayAttempt_isStartProved(this))) {
        end_attempt(this, ATTEMPT_OTHER_START);
    }
    else if (is_given_up(this, is_silent)) {
        end_attempt(this, ATTEMPT_SILENT);
    }
    else {
        pass_held(this);
    }
}

/* The connection is established by now, which the proof relies on. */
static void
ask_start(RelayAttempt_t *this)
{
    StartProofSpec_t spec = {
        .upstream = this->connection.upstream,
        .form = this->start_form,
        .timeout_ms = this->connect_ms,
    };
    gboolean is_body = this->expected_end == ATTEMPT_COMPLETE ||
                       this->expected_end == ATTEMPT_CLOSED;
    if (is_body && !RelayAttempt_isStartProved(this)) {
        this->proof = StartProof_ask(this->base, &spec, on_start_stated, this);
    }
}

static void
receive_data(RelayAttempt_t *this, struct evbuffer *input)
{
    if (this->proof) {
        Buffers_append(this->held, input);
        if (evbuffer_get_length(this->held) > HELD_MAX) {
            RelayAttempt_setReadPaused(this, TRUE);
        }
    }
    else {
        this->events->data(this->owner, input);
    }
}

static void
on_chunk(struct evhttp_request *request, void *data)
{
    RelayAttempt_t *this = data;
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    if (this->connection.closed) {
        return;
    }
    this->connection.last_received_ms = Clock_nowMs();
    if (is_not_run(this)) {
        skip_refusal(this, input);
        return;
    }
    if (!this->has_head) {
        return;
    }
    if (AttemptConnection_hasBrokenFraming(&this->connection)) {
        receive_end(this, ATTEMPT_BAD_ANSWER);
        return;
    }
    AttemptConnection_noteData(&this->connection);
    receive_data(this, input);
}

/* A successful answer must carry the upstream's signature. This router
 * requests no Content-Encoding, so an encoded body does not come from the
 * upstream. */
static AttemptEnd_t
classify_head(const RelayHead_t *head, const struct evkeyvalq *headers)
{
    if (!head->matches_request) {
        return ATTEMPT_MISMATCH;
    }
    if (head->not_run) {
        return ATTEMPT_NOT_RUN;
    }
    if (head->framing == BODY_AMBIGUOUS || head->is_contradictory) {
        return ATTEMPT_BAD_ANSWER;
    }
    if (head->status >= HTTP_INTERNAL || head->is_unproven) {
        return ATTEMPT_FAILED;
    }
    gboolean is_trusted = head->has_signature || head->status >= HTTP_MOVEPERM;
    if (!is_trusted || evhttp_find_header(headers, "Content-Encoding")) {
        return ATTEMPT_BAD_ANSWER;
    }
    return head->framing == BODY_CLOSE_DELIMITED ? ATTEMPT_CLOSED
                                                 : ATTEMPT_COMPLETE;
}

static int
on_headers(struct evhttp_request *request, void *data)
{
    RelayAttempt_t *this = data;
    if (this->connection.closed ||
        AttemptConnection_skipInterim(&this->connection, request)) {
        return 0;
    }
    struct evkeyvalq *headers = evhttp_request_get_input_headers(request);
    this->connection.last_received_ms = Clock_nowMs();
    Upstream_noteReachable(this->connection.upstream,
                           this->connection.last_received_ms);
    ConnectionOptions_strip(headers, this->form->kept_headers);
    BodyFraming_t framing =
        AttemptConnection_receiveBody(&this->connection, request);
    this->form->read_head(evhttp_request_get_response_code(request), headers,
                          this->request_id->str,
                          this->connection.upstream->name->str, &this->head);
    this->weights = g_strdup(this->head.weights);
    this->head.weights = this->weights;
    this->head.framing = framing;
    this->expected_end = classify_head(&this->head, headers);
    this->has_head = TRUE;
    if (this->head.matches_request) {
        this->events->answered(this->owner, &this->head);
    }
    if (this->connection.closed) {
        return 0;
    }
    if (this->expected_end == ATTEMPT_MISMATCH ||
        this->expected_end == ATTEMPT_BAD_ANSWER) {
        end_attempt(this, this->expected_end);
    }
    else if (this->expected_end == ATTEMPT_NOT_RUN) {
        Clock_arm(this->connection.timeout_timer, REFUSAL_REST_MS);
    }
    else {
        ask_start(this);
        this->events->head(this->owner, &this->head, headers);
    }
    return 0;
}

/* Bytes after a complete answer belong to no request. */
static gboolean
has_trailing_bytes(const RelayAttempt_t *this)
{
    struct bufferevent *stream =
        AttemptConnection_bufferevent(&this->connection);
    return evbuffer_get_length(bufferevent_get_input(stream)) > 0;
}

static gboolean
is_reusable(const RelayAttempt_t *this)
{
    return BodyFraming_endsBeforeConnection(this->head.framing) &&
           !AttemptConnection_hasBrokenFraming(&this->connection) &&
           !has_trailing_bytes(this);
}

/* Called before on_done(). */
static void
on_error(enum evhttp_request_error error, void *data)
{
    RelayAttempt_t *this = data;
    AttemptConnection_noteError(&this->connection, error);
}

static void
on_done(struct evhttp_request *request, void *data)
{
    RelayAttempt_t *this = data;
    int status = request ? evhttp_request_get_response_code(request) : 0;
    if (this->connection.closed ||
        AttemptConnection_failsToStart(&this->connection)) {
        return;
    }
    if (is_not_run(this)) {
        this->connection.reusable = status != 0 && is_reusable(this);
        end_attempt(this, ATTEMPT_NOT_RUN);
    }
    else if (AttemptConnection_hasBrokenFraming(&this->connection)) {
        receive_end(this, ATTEMPT_BAD_ANSWER);
    }
    else if (status == 0 || !this->has_head) {
        receive_end(this, AttemptConnection_cutEnd(&this->connection));
    }
    else {
        this->connection.reusable = is_reusable(this);
        receive_end(this, this->expected_end);
    }
}

static void
set_socket_option(evutil_socket_t fd, int level, int option, int value)
{
    setsockopt(fd, level, option, &value, sizeof(value));
}

/* Setting them again on a reused connection is harmless. */
static void
set_socket_options(const RelayAttempt_t *this)
{
    evutil_socket_t fd =
        bufferevent_getfd(AttemptConnection_bufferevent(&this->connection));
    set_socket_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    set_socket_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_socket_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
    set_socket_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
    set_socket_option(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES_MAX);
}

/* As a connection that was reset. */
static void
on_dead(void *owner)
{
    RelayAttempt_t *this = owner;
    receive_end(this, this->connection.sent ? ATTEMPT_CUT : ATTEMPT_NOT_SENT);
}

/* An upstream that lost power or its network link closes no connection. */
static void
on_socket(void *data)
{
    RelayAttempt_t *this = data;
    SendWatchSpec_t spec = {
        .bev = AttemptConnection_bufferevent(&this->connection),
        .request_id = this->request_id->str,
        .upstream = this->connection.upstream->name->str,
        .dead = on_dead,
        .owner = this,
    };
    set_socket_options(this);
    this->sending = SendWatch_create(this->base, &spec);
}

static void
release_body(const void *bytes, size_t length, void *body)
{
    (void)bytes;
    (void)length;
    g_bytes_unref(body);
}

static struct evhttp_request *
build_request(RelayAttempt_t *this, const RelayAttemptSpec_t *spec)
{
    struct evhttp_request *request = evhttp_request_new(on_done, this);
    struct evkeyvalq *out = evhttp_request_get_output_headers(request);
    evhttp_request_set_header_cb(request, on_headers);
    evhttp_request_set_error_cb(request, on_error);
    evhttp_request_set_chunked_cb(request, on_chunk);
    this->form->write_head(evhttp_request_get_input_headers(spec->request),
                           spec->order, out);
    gsize length = 0;
    const void *bytes = g_bytes_get_data(spec->body, &length);
    if (length > 0) {
        /* evhttp sends a body with any method but adds Content-Length for some
         * methods only. */
        g_autofree char *text = g_strdup_printf("%" G_GSIZE_FORMAT, length);
        evhttp_add_header(out, "Content-Length", text);
        evbuffer_add_reference(evhttp_request_get_output_buffer(request),
                               bytes, length, release_body,
                               g_bytes_ref(spec->body));
    }
    return request;
}

RelayAttempt_t *
RelayAttempt_start(struct event_base *base, const RelayAttemptSpec_t *spec,
                   const RelayAttemptEvents_t *events, void *owner)
{
    RelayAttempt_t *this = g_new0(RelayAttempt_t, 1);
    AttemptConnectionSpec_t connection = {
        .upstream = spec->upstream,
        .request_id = spec->request_id,
        .idle_max_ms = spec->idle_max_ms,
        .is_once = spec->is_once,
        .is_new_work = TRUE,
        .timeouts = {spec->connect_ms, spec->first_ms, spec->pause_ms},
        .piece_max = spec->piece_max,
        .head_max = spec->head_max,
        .input_total = spec->input_total,
        .input_total_max = spec->input_total_max,
        .on_timeout = on_timeout,
        .on_reap = on_reap,
        .on_socket = on_socket,
        .attempt = this,
    };
    this->form = spec->form;
    this->events = events;
    this->owner = owner;
    this->base = base;
    this->held = evbuffer_new();
    this->start_form = spec->start_form;
    this->needs_start = spec->needs_start;
    this->incarnation = spec->upstream->incarnation;
    this->connect_ms = spec->connect_ms;
    this->request_id = g_string_new(spec->request_id);
    AttemptConnection_init(&this->connection, base, &connection);
    AttemptConnection_setMethod(&this->connection,
                                RequestHead_unnamedMethod(spec->request));
    AttemptConnection_send(&this->connection, build_request(this, spec),
                           RequestHead_methodToSend(spec->request),
                           evhttp_request_get_uri(spec->request));
    return this;
}

void
RelayAttempt_setOwner(RelayAttempt_t *this, const RelayAttemptEvents_t *events,
                      void *owner)
{
    this->events = events;
    this->owner = owner;
}

void
RelayAttempt_cancel(RelayAttempt_t *this)
{
    cancel_proof(this);
    AttemptConnection_close(&this->connection);
}

void
RelayAttempt_fail(RelayAttempt_t *this, AttemptEnd_t end)
{
    end_attempt(this, end);
}

gboolean
RelayAttempt_wasSent(const RelayAttempt_t *this)
{
    return this->connection.sent && !is_not_run(this);
}

void
RelayAttempt_setReadPaused(RelayAttempt_t *this, gboolean read_paused)
{
    AttemptConnection_t *connection = &this->connection;
    if (connection->read_paused == read_paused || connection->closed) {
        return;
    }
    AttemptConnection_setReadPaused(connection, read_paused);
    connection->last_received_ms = Clock_nowMs();
}
