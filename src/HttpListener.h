#ifndef HEADER_HttpListener
#define HEADER_HttpListener
/**
 * DOC: HttpListener
 *
 * An address at which the router answers HTTP requests: evhttp's server with
 * what it does not do by itself. Its accept queue is long, what the kernel
 * takes of a connection is bounded, and requests are watched as they arrive
 * (RequestIntake.h, LingeringClose.h, IdleCallers.h). Handlers get heads in
 * their usual form (RequestHead.h).
 */
#include <event2/http.h>
#include <event2/listener.h>
#include <glib.h>

#include "AcceptPause.h"
#include "Context.h"
#include "RequestIntake.h"

/** HttpHandler_t - answers a request */
typedef void (*HttpHandler_t)(struct evhttp_request *request, void *context);

/**
 * struct HttpListenerSpec_t - what a listener serves
 * @context: passed to @handle
 * @intake: limits of requests that arrive
 * @setting: name of the setting that has the address, for log lines
 * @address: to listen at
 * @handle: called for each request
 * @takes_unnamed: also for those of the type METHOD_UNNAMED (RequestHead.h)
 *
 * All of it must outlive the listener.
 */
typedef struct {
    Context_t *context;
    const IntakeLimits_t *intake;
    const char *setting;
    const Address_t *address;
    HttpHandler_t handle;
    gboolean takes_unnamed;
} HttpListenerSpec_t;

/** struct HttpListener_t - opaque */
typedef struct HttpListener HttpListener_t;

/** HttpListener_create() - create a listener that is not open */
HttpListener_t *HttpListener_create(const HttpListenerSpec_t *spec);

/** HttpListener_destroy() - close the listener and its connections */
void HttpListener_destroy(HttpListener_t *this);

/**
 * HttpListener_open() - open it, and wait as long as its address may become
 * free (ListenRetry.h)
 *
 * Return: FALSE with @error of ListenRetry_run()
 */
gboolean HttpListener_open(HttpListener_t *this, GError **error);

/**
 * HttpListener_openLate() - open it now, or as soon as its address becomes
 * free (LateListener.h)
 *
 * Return: FALSE with @error of LateListener_create()
 */
gboolean HttpListener_openLate(HttpListener_t *this, GError **error);

/** HttpListener_isLate() - whether HttpListener_openLate() succeeded */
gboolean HttpListener_isLate(const HttpListener_t *this);

/** HttpListener_applyLimits() - apply the settings' limits to connections that
 * are accepted from now on */
void HttpListener_applyLimits(HttpListener_t *this);

/** HttpListener_server() - evhttp's server; NULL until it listens */
struct evhttp *HttpListener_server(const HttpListener_t *this);

/** HttpListener_socket() - the listening socket; NULL until it listens */
struct evconnlistener *HttpListener_socket(const HttpListener_t *this);

/** HttpListener_port() - the port that it listens at; 0 until it does */
guint16 HttpListener_port(const HttpListener_t *this);

/** HttpListener_takePause() - give away the pause of accept(), which the
 * caller destroys before the listener */
AcceptPause_t *HttpListener_takePause(HttpListener_t *this);

#endif
