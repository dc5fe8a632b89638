#include "HttpCall.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/bufferevent_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "Buffers.h"
#include "ChunkCheck.h"
#include "Clock.h"
#include "DescriptorReserve.h"
#include "Errors.h"
#include "HeadCheck.h"
#include "InterimHeads.h"
#include "OutgoingSocket.h"

/* Longer answers are long. */
#define LONG_ANSWER_BYTES 16384
/* An answer without a byte for this time has stalled. */
#define STALL_MS 500

/* Bytes received of all open calls. */
static gsize total_bytes;

struct HttpCall {
    struct evhttp_connection *connection;
    struct event *deadline;
    struct event *connect_deadline;
    struct event *silence;
    struct event *reaper; /* frees the call outside of evhttp's callbacks */
    HttpCallDone_t done;
    void *data;
    gboolean starting; /* HttpCall_start() has not returned */
    gboolean sent;     /* some bytes were or may have been sent */
    gboolean answered;
    gboolean is_too_long;
    gboolean accepts_close_delimited;
    gint64 late_ms; /* 0 for never, or if it was reported */
    BodyFraming_t framing;
    HeadCheck_t head;
    ChunkCheck_t chunks;
    gsize answer_max;
    gsize received_bytes;
    InterimHeads_t interim;
    struct evbuffer *body;
    const char *framing_fault; /* of the head, or NULL */
    gint64 received_ms;        /* when the last of them came */
    GList link;                /* in open_calls */
};

static GQueue open_calls; /* HttpCall_t */

void
Http_setNoDelay(struct evhttp_connection *connection)
{
    struct bufferevent *bev = evhttp_connection_get_bufferevent(connection);
    int on = 1;
    setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &on,
               sizeof(on));
}

void
Http_stopReadTimeout(struct evhttp_connection *connection)
{
    struct bufferevent *bev = evhttp_connection_get_bufferevent(connection);
    struct timeval write = bev->timeout_write;
    bufferevent_set_timeouts(bev, NULL, &write);
}

/* evhttp has one timeout for both directions. */
void
Http_startReadTimeout(struct evhttp_connection *connection)
{
    struct bufferevent *bev = evhttp_connection_get_bufferevent(connection);
    struct timeval both = bev->timeout_write;
    bufferevent_set_timeouts(bev, &both, &both);
}

gint64
Http_timeoutMs(struct evhttp_connection *connection)
{
    struct bufferevent *bev = evhttp_connection_get_bufferevent(connection);
    return (gint64)bev->timeout_write.tv_sec * 1000 +
           bev->timeout_write.tv_usec / 1000;
}

void
Http_flush(struct evhttp_connection *connection)
{
    struct bufferevent *bev = evhttp_connection_get_bufferevent(connection);
    struct evbuffer *output = bufferevent_get_output(bev);
    /* The bufferevent freezes its output except during its own writes. */
    evbuffer_unfreeze(output, 1);
    evbuffer_write(output, bufferevent_getfd(bev));
    evbuffer_freeze(output, 1);
    if (evbuffer_get_length(output) == 0) {
        bufferevent_disable(bev, EV_WRITE);
    }
}

/* A reset makes the kernel discard what it has not delivered. After a plain
 * close it would go on to send the request, for minutes if need be. */
void
Http_abort(struct evhttp_connection *connection)
{
    struct bufferevent *bev = evhttp_connection_get_bufferevent(connection);
    struct linger discard = {.l_onoff = 1, .l_linger = 0};
    evutil_socket_t fd = bufferevent_getfd(bev);
    if (fd >= 0) {
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
    }
    evhttp_connection_free(connection);
}

static void
HttpCall_destroy(HttpCall_t *this)
{
    if (this->answered) {
        evhttp_connection_free(this->connection);
    }
    else {
        Http_abort(this->connection);
    }
    InterimHeads_clear(&this->interim);
    evbuffer_free(this->body);
    total_bytes -= this->received_bytes;
    g_queue_unlink(&open_calls, &this->link);
    event_free(this->deadline);
    event_free(this->connect_deadline);
    event_free(this->silence);
    event_free(this->reaper);
    g_free(this);
}

static void
on_reap(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    HttpCall_destroy(data);
}

/* The connection is freed in a later loop iteration. If it were set up before
 * that, evhttp would send the request, although it counts as not sent. */
static void
forbid_sending(const HttpCall_t *this)
{
    if (this->sent) {
        return;
    }
    struct bufferevent *bev =
        evhttp_connection_get_bufferevent(this->connection);
    bufferevent_setcb(bev, NULL, NULL, NULL, NULL);
}

static void
stop_timers(const HttpCall_t *this)
{
    evtimer_del(this->deadline);
    evtimer_del(this->connect_deadline);
    evtimer_del(this->silence);
}

/* Ends the call and invokes the callback, once. The callback may start or
 * cancel other calls. */
static void
finish(HttpCall_t *this, const HttpAnswer_t *answer, const GError *error)
{
    HttpCallDone_t done = this->done;
    if (!done) {
        return;
    }
    this->done = NULL;
    this->answered = answer != NULL;
    forbid_sending(this);
    stop_timers(this);
    Clock_arm(this->reaper, 0);
    done(answer, error, this->data);
}

static void
fail(HttpCall_t *this, ErrorKind_t kind, const char *reason)
{
    g_autoptr(GError) error =
        g_error_new_literal(WT_ERROR, (gint)kind, reason);
    finish(this, NULL, error);
}

static gboolean
has_broken_framing(const HttpCall_t *this)
{
    return ChunkCheck_isBroken(&this->chunks) ||
           HeadCheck_isBroken(&this->head);
}

static gboolean
is_misframed(const HttpCall_t *this)
{
    return has_broken_framing(this) || this->framing_fault;
}

static void
fail_misframed(HttpCall_t *this)
{
    const char *fault = HeadCheck_fault(&this->head);
    if (!fault) {
        fault = this->framing_fault
                    ? this->framing_fault
                    : "the framing of the answer's chunks is broken";
    }
    fail(this, WT_ERROR_BAD_ANSWER, fault);
}

static void
on_deadline(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    HttpCall_t *this = data;
    if (this->is_too_long) {
        fail(this, WT_ERROR_BAD_ANSWER, "the answer is too long");
    }
    else if (is_misframed(this)) {
        fail_misframed(this);
    }
    else if (this->sent) {
        fail(this, WT_ERROR_TIMEOUT, "no answer in time");
    }
    else {
        fail(this, WT_ERROR_CONNECT, "no connection in time");
    }
}

static void
on_connect_deadline(evutil_socket_t fd, short what, void *data)
{
    HttpCall_t *this = data;
    if (!this->sent) {
        on_deadline(fd, what, data);
    }
}

static void
on_silence(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    HttpCall_t *this = data;
    g_autoptr(GError) error =
        g_error_new_literal(WT_ERROR, WT_ERROR_LATE, "no answer in time");
    this->late_ms = 0;
    this->done(NULL, error, this->data);
}

static gboolean
exceeds_limits(const HttpCall_t *this)
{
    return HeadCheck_isTooLong(&this->head) ||
           this->received_bytes > this->answer_max ||
           (this->received_bytes > HTTP_SHORT_ANSWER_MAX &&
            total_bytes > HTTP_LIST_ANSWER_MAX);
}

/* The deadline timer ends the call, outside of the buffer's callback. */
static void
check_length(HttpCall_t *this)
{
    if (this->done && !this->is_too_long && exceeds_limits(this)) {
        this->is_too_long = TRUE;
        Clock_arm(this->deadline, 0);
    }
}

/* As check_length(); only the first broken byte sets the timer. */
static void
drop_broken_head(HttpCall_t *this, struct evbuffer *buffer, gsize added)
{
    gboolean was_broken = HeadCheck_isBroken(&this->head);
    (void)HeadCheck_drops(&this->head, buffer, added);
    if (this->done && !was_broken && HeadCheck_isBroken(&this->head)) {
        Clock_arm(this->deadline, 0);
    }
}

/* As check_length(). */
static void
check_chunks(HttpCall_t *this, struct evbuffer *buffer, gsize added)
{
    if (!this->done || has_broken_framing(this)) {
        return;
    }
    gsize rest = ChunkCheck_feedTail(&this->chunks, buffer, added);
    if (ChunkCheck_isBroken(&this->chunks)) {
        Clock_arm(this->deadline, 0);
    }
    if (rest > 0) {
        HeadCheck_addTrailers(&this->head);
        drop_broken_head(this, buffer, rest);
        check_length(this);
    }
}

/* An answer that arrives slowly is not late: a repeated call would compete
 * with it for the same link. */
static void
on_input(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
         void *data)
{
    HttpCall_t *this = data;
    if (InterimHeads_isMoving(&this->interim)) {
        return;
    }
    if (info->n_added > 0) {
        this->received_bytes += info->n_added;
        total_bytes += info->n_added;
        this->received_ms = Clock_nowMs();
        drop_broken_head(this, buffer, info->n_added);
        check_length(this);
        (void)InterimHeads_drop(&this->interim, buffer);
        check_chunks(this, buffer,
                     MIN(info->n_added, evbuffer_get_length(buffer)));
    }
    if (info->n_added > 0 && this->done && this->late_ms > 0) {
        Clock_arm(this->silence, this->late_ms);
    }
}

/* evhttp writes to the output buffer only after the connection is set up. */
static void
on_output(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
          void *data)
{
    (void)buffer;
    HttpCall_t *this = data;
    if (info->n_added > 0) {
        this->sent = TRUE;
    }
}

static int
on_headers(struct evhttp_request *request, void *data)
{
    HttpCall_t *this = data;
    struct evbuffer *input = bufferevent_get_input(
        evhttp_connection_get_bufferevent(this->connection));
    if (BodyFraming_skipInterim(request)) {
        return 0;
    }
    this->framing = BodyFraming_receive(request, &this->framing_fault);
    if (this->framing_fault && this->done) {
        Clock_arm(this->deadline, 0);
    }
    if (this->framing == BODY_CHUNKED) {
        ChunkCheck_begin(&this->chunks);
        check_chunks(this, input, evbuffer_get_length(input));
    }
    return 0;
}

/* evhttp would keep each read in a block of its own. */
static void
on_body(struct evhttp_request *request, void *data)
{
    HttpCall_t *this = data;
    if (this->done && !this->is_too_long) {
        Buffers_append(this->body, evhttp_request_get_input_buffer(request));
    }
}

/* Called before on_answer(). */
static void
on_error(enum evhttp_request_error error, void *data)
{
    HttpCall_t *this = data;
    if (this->framing_fault) {
        return;
    }
    if (error == EVREQ_HTTP_INVALID_HEADER) {
        this->framing_fault = "the answer's head or framing can't be read";
    }
    else if (error == EVREQ_HTTP_DATA_TOO_LONG) {
        this->framing_fault = "the answer's trailers are too long";
    }
}

static gboolean
is_acceptable(const HttpCall_t *this)
{
    return BodyFraming_endsBeforeConnection(this->framing) ||
           (this->framing == BODY_CLOSE_DELIMITED &&
            this->accepts_close_delimited);
}

/* evhttp reports a connection that fails at once, such as for want of a route
 * or a descriptor, before it returns from evhttp_make_request(). The owner
 * does not know the call by then. */
static void
on_answer(struct evhttp_request *request, void *data)
{
    HttpCall_t *this = data;
    int status = request ? evhttp_request_get_response_code(request) : 0;
    if (this->starting) {
        Clock_arm(this->deadline, 0);
        return;
    }
    if (is_misframed(this)) {
        fail_misframed(this);
        return;
    }
    if (status == 0) {
        fail(this, this->sent ? WT_ERROR_CUT : WT_ERROR_CONNECT,
             this->sent ? "the connection closed before the answer ended"
                        : "not connected");
        return;
    }
    if (!is_acceptable(this)) {
        fail(this, WT_ERROR_BAD_ANSWER, "the end of the answer is not marked");
        return;
    }
    gsize length = evbuffer_get_length(this->body);
    HttpAnswer_t answer = {
        .status = status,
        .framing = this->framing,
        .headers = evhttp_request_get_input_headers(request),
        .body = length > 0 ? (char *)evbuffer_pullup(this->body, -1) : "",
        .length = length,
    };
    finish(this, &answer, NULL);
}

/* evhttp sends a body with any method but adds its length for some methods
 * only. */
static void
add_body(struct evhttp_request *request, GBytes *body)
{
    gsize length = 0;
    const void *bytes = g_bytes_get_data(body, &length);
    if (length > 0) {
        g_autofree char *text = g_strdup_printf("%" G_GSIZE_FORMAT, length);
        evhttp_add_header(evhttp_request_get_output_headers(request),
                          "Content-Length", text);
        evbuffer_add(evhttp_request_get_output_buffer(request), bytes, length);
    }
}

static void
fill_request(struct evhttp_request *request, const HttpCallSpec_t *spec)
{
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", spec->address->host);
    evhttp_add_header(headers, "Connection", "close");
    for (const HttpHeader_t *at = spec->headers; at && at->name; at++) {
        evhttp_add_header(headers, at->name, at->value);
    }
    if (spec->body) {
        add_body(request, spec->body);
    }
}

static SocketKind_t
socket_kind(const HttpCallSpec_t *spec)
{
    gboolean is_short = spec->answer_max <= HTTP_SHORT_ANSWER_MAX;
    return is_short || spec->is_one_of_many ? SOCKET_SHORT_CALL : SOCKET_CALL;
}

HttpCall_t *
HttpCall_start(struct event_base *base, const HttpCallSpec_t *spec,
               HttpCallDone_t done, void *data)
{
    HttpCall_t *this = g_new0(HttpCall_t, 1);
    this->starting = TRUE;
    this->done = done;
    this->data = data;
    this->accepts_close_delimited = spec->accepts_close_delimited;
    this->late_ms = spec->late_ms;
    this->answer_max = spec->answer_max;
    this->head.takes_folds = !spec->refuses_folds;
    this->body = evbuffer_new();
    this->link.data = this;
    g_queue_push_tail_link(&open_calls, &this->link);
    this->deadline = Clock_timer(base, on_deadline, this);
    this->connect_deadline = Clock_timer(base, on_connect_deadline, this);
    this->silence = Clock_timer(base, on_silence, this);
    this->reaper = Clock_timer(base, on_reap, this);
    this->connection = evhttp_connection_base_new(
        base, NULL, spec->address->host, spec->address->port);
    evhttp_connection_set_max_headers_size(this->connection,
                                           HTTP_ANSWER_HEAD_MAX);
    struct bufferevent *bev =
        evhttp_connection_get_bufferevent(this->connection);
    evbuffer_add_cb(bufferevent_get_output(bev), on_output, this);
    evbuffer_add_cb(bufferevent_get_input(bev), on_input, this);
    struct evhttp_request *request = evhttp_request_new(on_answer, this);
    evhttp_request_set_header_cb(request, on_headers);
    evhttp_request_set_chunked_cb(request, on_body);
    evhttp_request_set_error_cb(request, on_error);
    fill_request(request, spec);
    Clock_arm(this->deadline, spec->timeout_ms);
    if (spec->connect_timeout_ms > 0) {
        Clock_arm(this->connect_deadline, spec->connect_timeout_ms);
    }
    if (spec->late_ms > 0) {
        Clock_arm(this->silence, spec->late_ms);
    }
    (void)DescriptorReserve_release();
    if (evhttp_make_request(this->connection, request, spec->method,
                            spec->path) != 0) {
        Clock_arm(this->deadline, 0);
    }
    OutgoingSocket_prepare(bev, socket_kind(spec));
    this->starting = FALSE;
    return this;
}

gboolean
HttpCall_isReceiving(const HttpCall_t *this)
{
    return this->received_bytes > LONG_ANSWER_BYTES &&
           Clock_nowMs() - this->received_ms < STALL_MS;
}

gboolean
HttpCall_wasSent(const HttpCall_t *this)
{
    return this->sent;
}

void
HttpCall_cancel(HttpCall_t *this)
{
    this->done = NULL;
    forbid_sending(this);
    stop_timers(this);
    Clock_arm(this->reaper, 0);
}

void
HttpCall_abandonAll(void)
{
    while (open_calls.length > 0) {
        HttpCall_destroy(open_calls.head->data);
    }
}

GBytes *
Http_copyBody(struct evhttp_request *request)
{
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    gsize length = evbuffer_get_length(input);
    return g_bytes_new(length > 0 ? evbuffer_pullup(input, -1) : NULL, length);
}
