#include "AttemptConnection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>

#include "Clock.h"
#include "DescriptorReserve.h"
#include "HttpCall.h"
#include "OutgoingSocket.h"

/* Bytes that one read may add beyond the largest event, framing included. */
#define INPUT_MARGIN 65536
/* An upstream sends one when it is asked for it, and few otherwise. */
#define INTERIM_ANSWERS_MAX 16
/* Interval of the tries to connect while there is no descriptor. */
#define DESCRIPTOR_WAIT_MS 10
/* An upstream that closes a connection behind an answer has done so within
 * this time of the next request; one that fails later was at work on it. */
#define STALE_MAX_MS 1000
/* As evhttp writes EVHTTP_REQ_POST. */
#define SENT_METHOD "POST"

/* Neither end of a connection's output may be changed by others than libevent,
 * unless it is told. */
static void
write_method(AttemptConnection_t *this, struct evbuffer *buffer)
{
    if (!this->unnamed) {
        return;
    }
    evbuffer_unfreeze(buffer, TRUE);
    evbuffer_drain(buffer, strlen(SENT_METHOD));
    evbuffer_prepend(buffer, this->unnamed, strlen(this->unnamed));
    evbuffer_freeze(buffer, TRUE);
}

/* evhttp writes the request into the output buffer only once the connection is
 * established, its first line at first. */
static void
on_output(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
          void *data)
{
    AttemptConnection_t *this = data;
    if (info->n_added > 0 && !this->sent) {
        this->sent = TRUE;
        write_method(this, buffer);
        this->last_received_ms = Clock_nowMs();
        Clock_arm(this->timeout_timer, this->timeouts.first_ms);
    }
}

static void
count_input(AttemptConnection_t *this, gsize counted)
{
    if (this->input_total) {
        *this->input_total += counted;
        *this->input_total -= this->input_counted;
        this->input_counted = counted;
    }
}

static gboolean
exceeds_limits(const AttemptConnection_t *this, gsize length)
{
    return length > this->piece_max + INPUT_MARGIN ||
           (this->input_counted > 0 &&
            *this->input_total > this->input_total_max);
}

/* The timer ends the attempt, outside of the buffer's callback. */
static void
end_oversized(AttemptConnection_t *this)
{
    this->input_oversized = TRUE;
    Clock_arm(this->timeout_timer, 0);
}

/* As end_oversized(). */
static void
end_dropped(AttemptConnection_t *this)
{
    if (HeadCheck_isBroken(&this->head)) {
        Clock_arm(this->timeout_timer, 0);
    }
    else {
        end_oversized(this);
    }
}

/* As end_oversized(). */
static void
check_chunks(AttemptConnection_t *this, struct evbuffer *buffer, gsize added)
{
    gsize rest = ChunkCheck_feedTail(&this->chunks, buffer, added);
    if (ChunkCheck_isBroken(&this->chunks)) {
        Clock_arm(this->timeout_timer, 0);
    }
    if (rest > 0) {
        HeadCheck_addTrailers(&this->head);
        if (HeadCheck_drops(&this->head, buffer, rest)) {
            end_dropped(this);
        }
    }
}

static void
count_interim(AttemptConnection_t *this, guint count)
{
    this->interim_answers += count;
    if (this->interim_answers > INTERIM_ANSWERS_MAX &&
        !this->input_oversized) {
        end_oversized(this);
    }
}

static void
note_input(AttemptConnection_t *this)
{
    if (!this->has_input && this->is_reused && this->sent) {
        ConnectionKeeping_noteAnswer(&this->upstream->keeping);
    }
    this->has_input = TRUE;
}

/* evhttp passes a chunk on only once it is complete, so an endless chunk would
 * fill the input buffer without limit. */
static void
on_input(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
         void *data)
{
    AttemptConnection_t *this = data;
    if (InterimHeads_isMoving(&this->interim)) {
        return;
    }
    gboolean was_broken = AttemptConnection_hasBrokenFraming(this);
    gboolean is_dropped = HeadCheck_drops(&this->head, buffer, info->n_added);
    if (this->input_oversized || was_broken || this->closed) {
        return; /* rearming it with each read would keep it from firing */
    }
    if (is_dropped) {
        end_dropped(this);
        return;
    }
    if (info->n_added > 0) {
        note_input(this);
        count_interim(this, InterimHeads_drop(&this->interim, buffer));
    }
    check_chunks(this, buffer,
                 MIN(info->n_added, evbuffer_get_length(buffer)));
    if (this->input_oversized || HeadCheck_isBroken(&this->head)) {
        return;
    }
    gsize length = evbuffer_get_length(buffer);
    count_input(this, length > INPUT_MARGIN ? length : 0);
    if (info->n_added > 0 && exceeds_limits(this, length)) {
        end_oversized(this);
    }
}

gboolean
AttemptConnection_skipInterim(AttemptConnection_t *this,
                              struct evhttp_request *request)
{
    if (!BodyFraming_skipInterim(request)) {
        return FALSE;
    }
    count_interim(this, 1);
    return TRUE;
}

BodyFraming_t
AttemptConnection_receiveBody(AttemptConnection_t *this,
                              struct evhttp_request *request)
{
    struct evbuffer *input =
        bufferevent_get_input(AttemptConnection_bufferevent(this));
    BodyFraming_t framing = BodyFraming_receive(request, &this->framing_fault);
    if (framing == BODY_CHUNKED) {
        ChunkCheck_begin(&this->chunks);
        check_chunks(this, input, evbuffer_get_length(input));
    }
    return framing;
}

void
AttemptConnection_noteError(AttemptConnection_t *this,
                            enum evhttp_request_error error)
{
    this->is_unreadable = error == EVREQ_HTTP_INVALID_HEADER;
}

gboolean
AttemptConnection_hasBrokenFraming(const AttemptConnection_t *this)
{
    return this->is_unreadable || ChunkCheck_isBroken(&this->chunks) ||
           HeadCheck_isBroken(&this->head);
}

const char *
AttemptConnection_framingFault(const AttemptConnection_t *this)
{
    const char *fault = HeadCheck_fault(&this->head);
    if (!fault && ChunkCheck_isBroken(&this->chunks)) {
        fault = "the framing of the answer's chunks is broken";
    }
    if (!fault && this->is_unreadable) {
        fault = "the answer's head or framing can't be read";
    }
    return fault ? fault : this->framing_fault;
}

/* Keeps evhttp from writing the request. The connection is freed in a later
 * loop iteration and may be established by then, although the request counts
 * as not sent and may be running at another upstream. */
static void
detach_callbacks(AttemptConnection_t *this)
{
    bufferevent_setcb(AttemptConnection_bufferevent(this), NULL, NULL, NULL,
                      NULL);
}

static void
on_withdraw(void *owner)
{
    AttemptConnection_t *this = owner;
    if (!this->sent && !this->closed) {
        detach_callbacks(this);
        this->withdrawn = TRUE;
        Clock_arm(this->timeout_timer, 0);
    }
}

static void on_descriptor_timer(evutil_socket_t fd, short what, void *data);

void
AttemptConnection_init(AttemptConnection_t *this, struct event_base *base,
                       const AttemptConnectionSpec_t *spec)
{
    *this = (AttemptConnection_t){
        .upstream = Upstream_ref(spec->upstream),
        .timeouts = spec->timeouts,
        .piece_max = spec->piece_max,
        .input_total = spec->input_total,
        .input_total_max = spec->input_total_max,
        .on_socket = spec->on_socket,
        .attempt = spec->attempt,
        .last_received_ms = Clock_nowMs(),
    };
    this->descriptor_timer = Clock_timer(base, on_descriptor_timer, this);
    this->timeout_timer = Clock_timer(base, spec->on_timeout, spec->attempt);
    this->reaper = Clock_timer(base, spec->on_reap, spec->attempt);
    this->pooled = Upstream_takeConnection(this->upstream, spec->idle_max_ms,
                                           spec->request_id, spec->is_once,
                                           this->last_received_ms);
    this->taken_ms = this->last_received_ms;
    this->is_reused = PooledConnection_hasSocket(this->pooled);
    this->is_trial = this->is_reused &&
                     ConnectionKeeping_beginTrial(&this->upstream->keeping);
    this->evhttp = PooledConnection_evhttp(this->pooled);
    PooledConnection_addRequest(this->pooled, spec->request_id);
    evhttp_connection_set_max_headers_size(this->evhttp,
                                           (ev_ssize_t)spec->head_max);
    this->waiter = (UpstreamWaiter_t){.withdraw = on_withdraw, .owner = this};
    if (spec->is_new_work) {
        Upstream_addWaiter(this->upstream, &this->waiter);
    }
    struct evbuffer *output =
        bufferevent_get_output(AttemptConnection_bufferevent(this));
    this->output_watch = evbuffer_add_cb(output, on_output, this);
    struct evbuffer *input =
        bufferevent_get_input(AttemptConnection_bufferevent(this));
    this->input_watch = evbuffer_add_cb(input, on_input, this);
    Clock_arm(this->timeout_timer, this->timeouts.connect_ms);
}

static void
end_soon(AttemptConnection_t *this)
{
    this->last_received_ms = 0;
    Clock_arm(this->timeout_timer, 0);
}

static gboolean
has_socket(const AttemptConnection_t *this)
{
    return bufferevent_getfd(AttemptConnection_bufferevent(this)) >= 0;
}

static void
send_request(AttemptConnection_t *this)
{
    struct evhttp_request *request = g_steal_pointer(&this->unsent);
    this->starting = TRUE;
    if (evhttp_make_request(this->evhttp, request, this->method, this->uri) !=
        0) {
        end_soon(this);
    }
    this->starting = FALSE;
    OutgoingSocket_prepare(AttemptConnection_bufferevent(this),
                           SOCKET_UPSTREAM);
    if (this->on_socket && has_socket(this)) {
        this->on_socket(this->attempt);
    }
}

/* A connection that fails for want of a descriptor would look like an upstream
 * that can't be reached. */
static void
send_or_wait(AttemptConnection_t *this)
{
    if (has_socket(this) || DescriptorReserve_release()) {
        send_request(this);
    }
    else {
        Clock_arm(this->descriptor_timer, DESCRIPTOR_WAIT_MS);
    }
}

static void
on_descriptor_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    send_or_wait(data);
}

void
AttemptConnection_setMethod(AttemptConnection_t *this, const char *unnamed)
{
    this->unnamed = g_strdup(unnamed);
}

void
AttemptConnection_send(AttemptConnection_t *this,
                       struct evhttp_request *request,
                       enum evhttp_cmd_type method, const char *uri)
{
    this->unsent = request;
    this->method = method;
    this->uri = g_strdup(uri);
    send_or_wait(this);
}

gboolean
AttemptConnection_failsToStart(AttemptConnection_t *this)
{
    if (this->starting) {
        end_soon(this);
    }
    return this->starting;
}

struct bufferevent *
AttemptConnection_bufferevent(const AttemptConnection_t *this)
{
    return evhttp_connection_get_bufferevent(this->evhttp);
}

void
AttemptConnection_noteData(AttemptConnection_t *this)
{
    if (!this->has_data) {
        this->has_data = TRUE;
        Clock_arm(this->timeout_timer, this->timeouts.pause_ms);
    }
}

static gint64
current_timeout_ms(const AttemptConnection_t *this)
{
    if (!this->sent) {
        return this->timeouts.connect_ms;
    }
    return this->has_data ? this->timeouts.pause_ms : this->timeouts.first_ms;
}

AttemptEnd_t
AttemptConnection_cutEnd(AttemptConnection_t *this)
{
    gint64 now_ms = Clock_nowMs();
    if (!this->sent) {
        return ATTEMPT_NOT_SENT;
    }
    if (!this->is_reused || this->has_input ||
        now_ms - this->taken_ms >= STALE_MAX_MS) {
        return ATTEMPT_CUT;
    }
    ConnectionKeeping_noteClosed(
        &this->upstream->keeping,
        PooledConnection_idleMs(this->pooled, now_ms));
    return ATTEMPT_STALE;
}

gint64
AttemptConnection_remainingMs(const AttemptConnection_t *this)
{
    return this->last_received_ms + current_timeout_ms(this) - Clock_nowMs();
}

void
AttemptConnection_setReadPaused(AttemptConnection_t *this,
                                gboolean read_paused)
{
    this->read_paused = read_paused;
    if (read_paused) {
        bufferevent_disable(AttemptConnection_bufferevent(this), EV_READ);
    }
    else {
        bufferevent_enable(AttemptConnection_bufferevent(this), EV_READ);
    }
}

gboolean
AttemptConnection_close(AttemptConnection_t *this)
{
    if (this->closed) {
        return FALSE;
    }
    this->closed = TRUE;
    if (!this->sent) {
        detach_callbacks(this);
    }
    evtimer_del(this->timeout_timer);
    evtimer_del(this->descriptor_timer);
    Clock_arm(this->reaper, 0);
    return TRUE;
}

static void
end_trial(AttemptConnection_t *this)
{
    if (this->is_trial) {
        ConnectionKeeping_endTrial(&this->upstream->keeping);
    }
}

void
AttemptConnection_clear(AttemptConnection_t *this)
{
    struct evbuffer *output =
        bufferevent_get_output(AttemptConnection_bufferevent(this));
    struct evbuffer *input =
        bufferevent_get_input(AttemptConnection_bufferevent(this));
    evbuffer_remove_cb_entry(output, this->output_watch);
    evbuffer_remove_cb_entry(input, this->input_watch);
    InterimHeads_clear(&this->interim);
    end_trial(this);
    count_input(this, 0);
    if (this->unsent) {
        evhttp_request_free(this->unsent);
    }
    g_free(this->unnamed);
    g_free(this->uri);
    if (!this->reusable) {
        Http_abort(PooledConnection_release(this->pooled));
    }
    else if (Upstream_canPoolConnection(this->upstream) &&
             !PooledConnection_isUsedUp(this->pooled) &&
             !DescriptorReserve_isShort()) {
        Upstream_poolConnection(this->upstream, this->pooled, Clock_nowMs());
    }
    else {
        PooledConnection_destroy(this->pooled);
    }
    event_free(this->timeout_timer);
    event_free(this->descriptor_timer);
    event_free(this->reaper);
    Upstream_removeWaiter(this->upstream, &this->waiter);
    Upstream_unref(this->upstream);
}
