#include "HttpListener.h"

#include <errno.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "IdleCallers.h"
#include "InputHold.h"
#include "LateListener.h"
#include "LingeringClose.h"
#include "ListenRetry.h"
#include "Log.h"
#include "RequestHead.h"
#include "SocketBuffers.h"

struct HttpListener {
    HttpListenerSpec_t spec;
    struct evhttp *server; /* NULL until it listens */
    struct evconnlistener *socket;
    guint16 port;
    LateListener_t *late; /* NULL if it is waited for */
    AcceptPause_t *pause; /* NULL until it listens, and once given away */
};

HttpListener_t *
HttpListener_create(const HttpListenerSpec_t *spec)
{
    HttpListener_t *this = g_new0(HttpListener_t, 1);
    this->spec = *spec;
    return this;
}

void
HttpListener_destroy(HttpListener_t *this)
{
    if (this->late) {
        LateListener_destroy(this->late);
    }
    if (this->pause) {
        AcceptPause_destroy(this->pause);
    }
    if (this->server) {
        evhttp_free(this->server);
    }
    g_free(this);
}

/* Returns the actual port, as the system chooses one for port 0. */
static guint16
get_bound_port(evutil_socket_t fd)
{
    struct sockaddr_in address = {0};
    socklen_t size = sizeof(address);
    getsockname(fd, (struct sockaddr *)&address, &size);
    return ntohs(address.sin_port);
}

/* Applies to new connections only; open ones keep their limits. */
static void
set_limits(const HttpListener_t *this, struct evhttp *server)
{
    const LimitsSection_t *limits = &this->spec.context->settings->limits;
    struct timeval timeout = {limits->read_timeout_ms / 1000,
                              (limits->read_timeout_ms % 1000) * 1000};
    evhttp_set_max_headers_size(server, limits->max_header);
    evhttp_set_max_body_size(server, limits->max_body);
    evhttp_set_timeout_tv(server, &timeout);
    /* An upstream's answer without one has none. */
    evhttp_set_default_content_type(server, NULL);
}

/* Connections beyond the 128 that evhttp asks for would be made a second later
 * or not at all, while the router does not accept for a moment. */
static void
widen_backlog(evutil_socket_t fd)
{
    if (listen(fd, LISTEN_BACKLOG) != 0) {
        Log_begin(LOG_LEVEL_WARNING, "backlog_not_widened");
        Log_text("error", g_strerror(errno));
        Log_end();
    }
}

static struct bufferevent *
create_connection(struct event_base *base, void *data)
{
    const HttpListener_t *this = data;
    struct bufferevent *bev =
        bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    RequestIntake_watch(bev, this->spec.intake);
    LingeringClose_watch(bev);
    IdleCallers_watchNew(bev);
    return bev;
}

static void
note_bound(HttpListener_t *this, struct evhttp *server,
           struct evhttp_bound_socket *bound)
{
    evutil_socket_t fd = evhttp_bound_socket_get_fd(bound);
    this->server = server;
    this->socket = evhttp_bound_socket_get_listener(bound);
    this->port = get_bound_port(fd);
    this->pause = AcceptPause_create(this->spec.context->base, this->socket,
                                     this->spec.setting);
    widen_backlog(fd);
    SocketBuffers_limit(fd, SOCKET_CALLER);
}

static void
on_request(struct evhttp_request *request, void *data)
{
    const HttpListener_t *this = data;
    InputHold_begin(request);
    RequestHead_normalize(request);
    if (!RequestHead_hasVersion(request)) {
        evhttp_send_error(request, HTTP_BADREQUEST, NULL);
        return;
    }
    if (!this->spec.takes_unnamed && RequestIntake_isAmbiguous(request)) {
        evhttp_send_error(request, HTTP_BADREQUEST, NULL);
        return;
    }
    if (request->type == METHOD_UNNAMED && !this->spec.takes_unnamed) {
        evhttp_send_error(request, HTTP_NOTIMPLEMENTED, NULL);
        return;
    }
    RequestIntake_noteTaken(request);
    this->spec.handle(request, this->spec.context);
}

static gboolean
open_server(void *owner)
{
    HttpListener_t *this = owner;
    const HttpListenerSpec_t *spec = &this->spec;
    struct evhttp *server = evhttp_new(spec->context->base);
    evhttp_set_gencb(server, on_request, this);
    set_limits(this, server);
    evhttp_set_bevcb(server, create_connection, this);
    struct evhttp_bound_socket *bound = evhttp_bind_socket_with_handle(
        server, spec->address->host, spec->address->port);
    if (!bound) {
        int code = errno;
        evhttp_free(server);
        errno = code;
        return FALSE;
    }
    note_bound(this, server, bound);
    return TRUE;
}

static ListenRetry_t
make_retry(HttpListener_t *this)
{
    return (ListenRetry_t){.setting = this->spec.setting,
                           .address = this->spec.address,
                           .open = open_server,
                           .owner = this};
}

gboolean
HttpListener_open(HttpListener_t *this, GError **error)
{
    ListenRetry_t retry = make_retry(this);
    return ListenRetry_run(&retry, error);
}

gboolean
HttpListener_openLate(HttpListener_t *this, GError **error)
{
    ListenRetry_t retry = make_retry(this);
    this->late = LateListener_create(this->spec.context->base, &retry, error);
    return this->late != NULL;
}

gboolean
HttpListener_isLate(const HttpListener_t *this)
{
    return this->late != NULL;
}

void
HttpListener_applyLimits(HttpListener_t *this)
{
    if (this->server) {
        set_limits(this, this->server);
    }
}

struct evhttp *
HttpListener_server(const HttpListener_t *this)
{
    return this->server;
}

struct evconnlistener *
HttpListener_socket(const HttpListener_t *this)
{
    return this->socket;
}

guint16
HttpListener_port(const HttpListener_t *this)
{
    return this->port;
}

AcceptPause_t *
HttpListener_takePause(HttpListener_t *this)
{
    return g_steal_pointer(&this->pause);
}
