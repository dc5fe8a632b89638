#ifndef HEADER_Server
#define HEADER_Server
/**
 * DOC: Server
 *
 * Shared code of the stand-ins: an HTTP server on loopback that prints its
 * port, JSON requests and answers, and integer parameters that POST /control
 * sets at run time.
 */
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <jansson.h>

/**
 * struct Parameter_t - an integer that POST /control and the command line set
 * @name: member of the JSON object and name of the option
 * @value: the variable
 */
typedef struct {
    const char *name;
    gint64 *value;
} Parameter_t;

/**
 * struct Server_t - a running stand-in
 * @base: event loop
 * @http: HTTP server
 * @port: port on Server_host
 */
typedef struct {
    struct event_base *base;
    struct evhttp *http;
    guint16 port;
} Server_t;

/**
 * struct ServerNotices_t - notices that a stand-in adds to its answers
 * @limit_milli: X-Request-Limit, in requests per 1,000 seconds; negative for
 *     none
 * @leaving: nonzero to send X-Leaving
 * @rest_ms: backoff, sent as Retry-After with status 503; 0 for none
 */
typedef struct {
    gint64 limit_milli;
    gint64 leaving;
    gint64 rest_ms;
} ServerNotices_t;

/** Server_notices - current notices */
extern ServerNotices_t Server_notices;

/** Server_addNotices() - add the notices to the headers of an answer.
 * Server_reply() calls it; a streamed answer has to. */
void Server_addNotices(struct evhttp_request *request, int status);

/** Server_host - loopback address to listen on, which the command line sets */
extern const char *Server_host;

/** Server_listen() - listen on Server_host; port 0 selects a free port;
 * exits with 1 if the port can't be bound */
void Server_listen(Server_t *this, guint16 port,
                   void (*handle)(struct evhttp_request *, void *),
                   void *data);

/** Server_run() - print "port=N" and run until SIGTERM */
void Server_run(Server_t *this);

/** Server_path() - path of a request, without the query string */
const char *Server_path(struct evhttp_request *request);

/** Server_body() - parse the body of a request; NULL if it is empty or
 * not JSON */
json_t *Server_body(struct evhttp_request *request);

/** Server_reply() - answer with JSON; takes ownership of @body */
void Server_reply(struct evhttp_request *request, int status, json_t *body);

/**
 * Server_refuse() - answer with an error
 * @code: the error's type
 * @run: whether the request ran: "not_run", "ran" or "may_have_run"
 * @incarnation: added to the error unless 0
 */
void Server_refuse(struct evhttp_request *request, int status,
                   const char *code, const char *run, guint64 incarnation);

/** Server_drop() - close the connection without an answer */
void Server_drop(struct evhttp_request *request);

/**
 * Server_control() - set the parameters that the body names and answer with
 * the values of all
 *
 * Return: the body, for members that are no parameters; the caller releases it
 */
json_t *Server_control(struct evhttp_request *request,
                       const Parameter_t *parameters, gsize count);

/** Server_countDown() - decrement a counter of faults to inject; FALSE if it
 * was not above 0 */
gboolean Server_countDown(gint64 *counter);

/** Server_callAfter() - call a function once after a delay */
void Server_callAfter(Server_t *this, gint64 ms, void (*call)(void *data),
                      void *data);

#endif
