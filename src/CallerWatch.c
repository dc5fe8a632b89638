#include "CallerWatch.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <poll.h>

#include "CallerProof.h"
#include "HttpCall.h"
#include "ResetOnClose.h"
#include "SocketUse.h"

/* Interval between looks at a connection with bytes that wait. */
#define LOOK_US 100000

struct CallerWatch {
    struct evhttp_request *request; /* NULL after it ended or was detached */
    struct event *closed_event;     /* fires when the caller may have left */
    CallerProof_t *proof;           /* NULL until its input has ended */
    CallerLeft_t left;
    void *owner;
};

struct evhttp_request *
CallerWatch_request(const CallerWatch_t *this)
{
    return this->request;
}

struct evhttp_connection *
CallerWatch_connection(const CallerWatch_t *this)
{
    return this->request ? evhttp_request_get_connection(this->request) : NULL;
}

struct evhttp_request *
CallerWatch_detach(CallerWatch_t *this)
{
    struct evhttp_request *request = this->request;
    struct evhttp_connection *connection = CallerWatch_connection(this);
    if (connection) {
        evhttp_connection_set_closecb(connection, NULL, NULL);
    }
    if (this->closed_event) {
        event_free(this->closed_event);
        this->closed_event = NULL;
    }
    g_clear_pointer(&this->proof, CallerProof_destroy);
    this->request = NULL;
    return request;
}

void
CallerWatch_closeConnection(CallerWatch_t *this)
{
    struct evhttp_request *request = CallerWatch_detach(this);
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request);
    if (connection) {
        ResetOnClose_close(connection);
    }
    else {
        evhttp_send_reply_end(request); /* only frees the request */
    }
}

static gboolean
has_ended_input(evutil_socket_t fd)
{
    struct pollfd state = {.fd = fd, .events = POLLRDHUP};
    return poll(&state, 1, 0) > 0 && (state.revents & POLLRDHUP) != 0;
}

/* evhttp closes a connection as well if it can't write for its timeout. */
static Refusal_t
reason_of(evutil_socket_t fd)
{
    return CallerProof_isReset(fd) && !SocketUse_isGivenUp(fd)
               ? REFUSAL_CALLER_LEFT
               : REFUSAL_ANSWER_NOT_READ;
}

static void
on_close(struct evhttp_connection *connection, void *data)
{
    CallerWatch_t *this = data;
    Refusal_t reason = reason_of(
        bufferevent_getfd(evhttp_connection_get_bufferevent(connection)));
    struct evhttp_request *request = CallerWatch_detach(this);
    ResetOnClose_forget(connection);
    if (!evhttp_request_get_connection(request)) {
        evhttp_send_reply_end(request); /* only frees the request */
    }
    this->left(this->owner, reason);
}

static void on_closed(evutil_socket_t fd, short what, void *data);

/* Bytes that wait, such as those of a next request, would make it readable
 * all the time. */
static void
look_at_times(CallerWatch_t *this, evutil_socket_t fd)
{
    struct timeval interval = {0, LOOK_US};
    struct event_base *base = event_get_base(this->closed_event);
    event_free(this->closed_event);
    this->closed_event =
        event_new(base, fd, EV_CLOSED | EV_PERSIST, on_closed, this);
    event_add(this->closed_event, &interval);
}

static void
on_gone(void *owner)
{
    CallerWatch_t *this = owner;
    Refusal_t reason = reason_of(bufferevent_getfd(
        evhttp_connection_get_bufferevent(CallerWatch_connection(this))));
    CallerWatch_closeConnection(this);
    this->left(this->owner, reason);
}

static void
begin_proof(CallerWatch_t *this)
{
    struct event_base *base = event_get_base(this->closed_event);
    event_free(this->closed_event);
    this->closed_event = NULL;
    this->proof = CallerProof_create(base, this->request, on_gone, this);
}

static void
on_closed(evutil_socket_t fd, short what, void *data)
{
    CallerWatch_t *this = data;
    if (CallerProof_isReset(fd)) {
        on_gone(this);
    }
    else if (has_ended_input(fd)) {
        begin_proof(this);
    }
    else if (what & EV_READ) {
        look_at_times(this, fd);
    }
}

/* libevent reports a reset as readable, and not as closed. */
static void
watch_end(CallerWatch_t *this, struct event_base *base, evutil_socket_t fd)
{
    this->closed_event =
        event_new(base, fd, EV_CLOSED | EV_READ, on_closed, this);
    event_add(this->closed_event, NULL);
}

CallerWatch_t *
CallerWatch_create(struct event_base *base, struct evhttp_request *request,
                   CallerLeft_t left, void *owner)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request);
    CallerWatch_t *this = g_new0(CallerWatch_t, 1);
    this->request = request;
    this->left = left;
    this->owner = owner;
    evhttp_connection_set_closecb(connection, on_close, this);
    Http_stopReadTimeout(connection);
    evutil_socket_t fd =
        bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    watch_end(this, base, fd);
    return this;
}

void
CallerWatch_destroy(CallerWatch_t *this)
{
    g_assert(!this->request);
    g_free(this);
}
