#ifndef HEADER_AttemptConnection
#define HEADER_AttemptConnection
/**
 * DOC: AttemptConnection
 *
 * The connection that one attempt has to its upstream, an idle one or a new
 * one, and the two timers of the attempt: one that sees when the upstream is
 * silent for too long, and one that frees the attempt outside of evhttp's
 * callbacks. In the end the connection goes back to the upstream or is
 * closed.
 */
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

#include "Upstream.h"

/**
 * struct Patience_t - how long an upstream may be silent, in milliseconds
 * @connect_ms: until the connection stands
 * @first_ms: from then on until the first data
 * @pause_ms: from then on between data
 */
typedef struct {
    gint64 connect_ms;
    gint64 first_ms;
    gint64 pause_ms;
} Patience_t;

/**
 * struct AttemptConnectionSpec_t - what it needs
 * @upstream: whose connection is taken
 * @idle_max_ms: as for Upstream_takeConnection()
 * @is_new_work: it is not sent where the upstream takes no new work any more
 * @patience: with its upstream
 * @piece_max: most bytes of one event, or of an answer without events
 * @head_max: most bytes of the answer's head
 * @on_watch: the time of the watch is over, or too much came at once
 * @on_reap: calls AttemptConnection_clear() and frees the attempt
 * @attempt: data of both callbacks
 */
typedef struct {
    Upstream_t *upstream;
    gint64 idle_max_ms;
    gboolean is_new_work;
    Patience_t patience;
    gsize piece_max;
    gsize head_max;
    event_callback_fn on_watch;
    event_callback_fn on_reap;
    void *attempt;
} AttemptConnectionSpec_t;

/**
 * struct AttemptConnection_t - part of an attempt
 * @upstream: one reference
 * @evhttp: the connection itself
 * @waiter: of the upstream, which may withdraw the request
 * @output_watch: sees when the request is written
 * @input_watch: sees when too much waits to be parsed
 * @watch: runs until the upstream was silent for too long
 * @reaper: runs once the attempt is over
 * @patience: with the upstream
 * @piece_max: most bytes of one event, or of an answer without events
 * @last_heard_ms: monotonic time of the last sign of life; set by the attempt
 * @sent: the request may have been written
 * @has_data: the first data came
 * @held: nothing is read for now
 * @overfull: more than one event may have waits to be parsed
 * @withdrawn: it is not sent, as the upstream takes no new work any more; the
 *     watch runs out at once
 * @over: no event may be told any more
 * @keep: it ended cleanly and can be used again; set by the attempt
 */
typedef struct {
    Upstream_t *upstream;
    struct evhttp_connection *evhttp;
    UpstreamWaiter_t waiter;
    struct evbuffer_cb_entry *output_watch;
    struct evbuffer_cb_entry *input_watch;
    struct event *watch;
    struct event *reaper;
    Patience_t patience;
    gsize piece_max;
    gint64 last_heard_ms;
    gboolean sent;
    gboolean has_data;
    gboolean held;
    gboolean overfull;
    gboolean withdrawn;
    gboolean over;
    gboolean keep;
} AttemptConnection_t;

/** AttemptConnection_init() - take a connection and start the watch */
void AttemptConnection_init(AttemptConnection_t *this, struct event_base *base,
                            const AttemptConnectionSpec_t *spec);

/**
 * AttemptConnection_send() - send the request
 *
 * Where that fails, the watch runs out at once.
 */
void AttemptConnection_send(AttemptConnection_t *this,
                            struct evhttp_request *request,
                            enum evhttp_cmd_type method, const char *uri);

/** AttemptConnection_stream() - what the connection reads and writes */
struct bufferevent *AttemptConnection_stream(const AttemptConnection_t *this);

/** AttemptConnection_noteData() - data came: the pauses count from now on */
void AttemptConnection_noteData(AttemptConnection_t *this);

/** AttemptConnection_leftMs() - how much longer it may be silent; 0 or less
 * once that was too long */
gint64 AttemptConnection_leftMs(const AttemptConnection_t *this);

/** AttemptConnection_hold() - read no more, or read on */
void AttemptConnection_hold(AttemptConnection_t *this, gboolean held);

/**
 * AttemptConnection_close() - the attempt is over; the reaper comes next
 *
 * Return: FALSE where it was over already
 */
gboolean AttemptConnection_close(AttemptConnection_t *this);

/** AttemptConnection_clear() - give the connection back or close it, and free
 * the rest */
void AttemptConnection_clear(AttemptConnection_t *this);

#endif
