#ifndef HEADER_Server
#define HEADER_Server
/**
 * DOC: Server
 *
 * What all stand-ins share: an HTTP server on loopback that prints its port,
 * JSON in and out, and numbers that can be set at run time by POST /control.
 */
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <jansson.h>

/**
 * struct Knob_t - a number that POST /control may set
 * @name: member of the JSON object
 * @value: the number
 */
typedef struct {
    const char *name;
    gint64 *value;
} Knob_t;

/**
 * struct Server_t - a running stand-in
 * @base: its loop
 * @http: its server
 * @port: where it listens on loopback
 */
typedef struct {
    struct event_base *base;
    struct evhttp *http;
    guint16 port;
} Server_t;

/**
 * struct ServerNotices_t - what a stand-in says of itself in all its answers
 * @limit_milli: requests that it takes in 1,000 seconds; below 0 for no limit
 * @leaving: it is about to end
 * @rest_ms: that it asks for where it answers 503; 0 for none
 */
typedef struct {
    gint64 limit_milli;
    gint64 leaving;
    gint64 rest_ms;
} ServerNotices_t;

/** Server_notices - in force */
extern ServerNotices_t Server_notices;

/** Server_addNotices() - to the head of an answer; Server_reply() does so by
 * itself */
void Server_addNotices(struct evhttp_request *request, int status);

/** Server_listen() - listen on 127.0.0.1; port 0 lets the system choose */
void Server_listen(Server_t *this, guint16 port,
                   void (*handle)(struct evhttp_request *, void *),
                   void *data);

/** Server_run() - print "port=N" and run until SIGTERM */
void Server_run(Server_t *this);

/** Server_path() - path of a request without its query */
const char *Server_path(struct evhttp_request *request);

/** Server_body() - body of a request as JSON, or NULL */
json_t *Server_body(struct evhttp_request *request);

/** Server_reply() - answer with JSON; takes @body over */
void Server_reply(struct evhttp_request *request, int status, json_t *body);

/** Server_refuse() - answer with a typed error */
void Server_refuse(struct evhttp_request *request, int status,
                   const char *code, const char *run, guint64 incarnation);

/** Server_drop() - close the connection without an answer */
void Server_drop(struct evhttp_request *request);

/**
 * Server_control() - set the knobs named in the body and answer with all
 *
 * Return: the body, for what else it may hold; freed by the caller
 */
json_t *Server_control(struct evhttp_request *request, const Knob_t *knobs,
                       gsize count);

/** Server_spend() - count a knob down; TRUE where it was above 0 */
gboolean Server_spend(gint64 *knob);

/** Server_after() - call once after some milliseconds */
void Server_after(Server_t *this, gint64 ms, void (*call)(void *data),
                  void *data);

#endif
