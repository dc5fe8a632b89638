#ifndef HEADER_AttemptConnection
#define HEADER_AttemptConnection
/**
 * DOC: AttemptConnection
 *
 * The connection of one attempt to its upstream, an idle or a new one, and the
 * attempt's two timers: the timeout timer, which detects a silent upstream,
 * and the reaper, which frees the attempt outside of evhttp's callbacks. At
 * the end the connection is returned to the upstream's idle list or closed.
 */
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

#include "BodyFraming.h"
#include "ChunkCheck.h"
#include "HeadCheck.h"
#include "InterimHeads.h"
#include "Recovery.h"
#include "Upstream.h"

/**
 * struct AttemptTimeouts_t - timeouts of an attempt, in milliseconds
 * @connect_ms: until the connection is established and the request is written
 * @first_ms: from then until the first data
 * @pause_ms: from then between data
 */
typedef struct {
    gint64 connect_ms;
    gint64 first_ms;
    gint64 pause_ms;
} AttemptTimeouts_t;

/**
 * struct AttemptConnectionSpec_t - parameters of a connection
 * @upstream: the upstream to connect to
 * @request_id: id by which an answer is known to belong to the request, or
 *     NULL if each attempt has an id of its own
 * @idle_max_ms: as for Upstream_takeConnection()
 * @is_once: as for Upstream_takeConnection()
 * @is_new_work: the request must not be sent once the upstream takes no new
 *     work
 * @timeouts: timeouts of the attempt
 * @piece_max: maximum size of one event, or of an answer without events, in
 *     bytes
 * @head_max: maximum size of the response headers, in bytes
 * @input_total: counts unparsed input, together with that of others; or NULL
 * @input_total_max: maximum of @input_total, in bytes
 * @on_timeout: the timeout timer expired, @input_oversized or @withdrawn of
 *     AttemptConnection_t was set, or AttemptConnection_hasBrokenFraming()
 * holds
 * @on_reap: calls AttemptConnection_clear() and frees the attempt
 * @on_socket: the request is being sent, and the connection has a socket,
 *     whose options may be set; or NULL
 * @attempt: argument of the callbacks
 */
typedef struct {
    Upstream_t *upstream;
    const char *request_id;
    gint64 idle_max_ms;
    gboolean is_once;
    gboolean is_new_work;
    AttemptTimeouts_t timeouts;
    gsize piece_max;
    gsize head_max;
    gsize *input_total;
    gsize input_total_max;
    event_callback_fn on_timeout;
    event_callback_fn on_reap;
    void (*on_socket)(void *attempt);
    void *attempt;
} AttemptConnectionSpec_t;

/**
 * struct AttemptConnection_t - connection of an attempt, embedded in it
 * @upstream: the upstream; holds one reference
 * @pooled: the connection with the requests that it has carried
 * @evhttp: the same connection
 * @waiter: entry in the upstream's list of requests that it may withdraw
 * @output_watch: buffer callback that detects when the request is written
 * @input_watch: buffer callback that detects oversized input
 * @timeout_timer: expires when the upstream has been silent for too long
 * @descriptor_timer: tries again to connect while there is no descriptor
 * @reaper: frees the attempt once it is closed
 * @timeouts: timeouts of the attempt
 * @piece_max: maximum size of one event, or of an answer without events, in
 *     bytes
 * @input_total: as in the specification
 * @input_total_max: as in the specification
 * @on_socket: as in the specification
 * @attempt: as in the specification
 * @unsent: the request, until there is a descriptor for its connection; owned
 * @method: of the request
 * @unnamed: the method to send in place of EVHTTP_REQ_POST, or NULL
 * @uri: of the request
 * @input_counted: this connection's part of @input_total
 * @head: the check of the answer's heads
 * @chunks: the check of the body's chunks
 * @interim: the interim heads in front of the answer
 * @interim_answers: number of interim answers received
 * @framing_fault: why the framing of the answer is ambiguous, or NULL
 * @is_unreadable: evhttp could not read the answer
 * @last_received_ms: monotonic time from which the current timeout counts; the
 *     attempt sets it when data arrives
 * @taken_ms: when the connection was taken
 * @is_reused: it was open by then
 * @is_trial: it shows whether the upstream keeps its connections
 * @has_input: a byte of an answer has arrived
 * @starting: AttemptConnection_send() has not returned
 * @sent: the request may have been written
 * @has_data: the first data arrived
 * @read_paused: reading is paused
 * @input_oversized: the unparsed input is larger than @piece_max or
 *     @input_total_max allows, or a head has too many lines
 * @withdrawn: the upstream takes no new work, so the request is not sent; the
 *     timeout timer expires at once
 * @closed: the attempt ended and must not call its owner any more
 * @reusable: the response ended cleanly, so that the connection can be reused;
 *     set by the attempt
 */
typedef struct {
    Upstream_t *upstream;
    PooledConnection_t *pooled;
    struct evhttp_connection *evhttp;
    UpstreamWaiter_t waiter;
    struct evbuffer_cb_entry *output_watch;
    struct evbuffer_cb_entry *input_watch;
    struct event *timeout_timer;
    struct event *descriptor_timer;
    struct event *reaper;
    AttemptTimeouts_t timeouts;
    gsize piece_max;
    gsize *input_total;
    gsize input_total_max;
    void (*on_socket)(void *attempt);
    void *attempt;
    struct evhttp_request *unsent;
    enum evhttp_cmd_type method;
    char *unnamed;
    char *uri;
    gsize input_counted;
    HeadCheck_t head;
    ChunkCheck_t chunks;
    InterimHeads_t interim;
    guint interim_answers;
    const char *framing_fault;
    gboolean is_unreadable;
    gint64 last_received_ms;
    gint64 taken_ms;
    gboolean is_reused;
    gboolean is_trial;
    gboolean has_input;
    gboolean starting;
    gboolean sent;
    gboolean has_data;
    gboolean read_paused;
    gboolean input_oversized;
    gboolean withdrawn;
    gboolean closed;
    gboolean reusable;
} AttemptConnection_t;

/** AttemptConnection_init() - take a connection and start the timeout timer */
void AttemptConnection_init(AttemptConnection_t *this, struct event_base *base,
                            const AttemptConnectionSpec_t *spec);

/** AttemptConnection_setMethod() - a method that evhttp has no name for, which
 * is sent in place of EVHTTP_REQ_POST; or NULL */
void AttemptConnection_setMethod(AttemptConnection_t *this,
                                 const char *unnamed);

/**
 * AttemptConnection_send() - send the request
 *
 * Waits for a descriptor if there is none (DescriptorReserve.h). If evhttp
 * fails to send it, the timeout timer expires at once.
 */
void AttemptConnection_send(AttemptConnection_t *this,
                            struct evhttp_request *request,
                            enum evhttp_cmd_type method, const char *uri);

/**
 * AttemptConnection_failsToStart() - whether evhttp reports the end of the
 * request before AttemptConnection_send() returns
 *
 * It does so if the connection fails at once, such as for want of a route or a
 * descriptor. The owner does not know the attempt by then, so the timeout
 * timer ends it.
 */
gboolean AttemptConnection_failsToStart(AttemptConnection_t *this);

/** AttemptConnection_bufferevent() - the connection's bufferevent */
struct bufferevent *
AttemptConnection_bufferevent(const AttemptConnection_t *this);

/** AttemptConnection_noteData() - note that data arrived; @pause_ms applies
 * from now on */
void AttemptConnection_noteData(AttemptConnection_t *this);

/** AttemptConnection_skipInterim() - as BodyFraming_skipInterim(); too many
 * interim answers count as oversized input */
gboolean AttemptConnection_skipInterim(AttemptConnection_t *this,
                                       struct evhttp_request *request);

/**
 * AttemptConnection_receiveBody() - as BodyFraming_receive(); checks the
 * chunks of the body from now on. Must be called before headers are read.
 */
BodyFraming_t AttemptConnection_receiveBody(AttemptConnection_t *this,
                                            struct evhttp_request *request);

/** AttemptConnection_noteError() - must be called from the request's error
 * callback; an answer that evhttp can't read has broken framing */
void AttemptConnection_noteError(AttemptConnection_t *this,
                                 enum evhttp_request_error error);

/** AttemptConnection_hasBrokenFraming() - whether a line of a head or the
 * framing of the body is broken, so that evhttp may misread the answer; the
 * timeout timer expires at once */
gboolean AttemptConnection_hasBrokenFraming(const AttemptConnection_t *this);

/** AttemptConnection_framingFault() - why the head, the chunks or their
 * framing were refused, as a phrase for logs; or NULL */
const char *AttemptConnection_framingFault(const AttemptConnection_t *this);

/**
 * AttemptConnection_cutEnd() - how the attempt ended if its connection did
 *
 * The upstream may have closed a connection that was used before while the
 * request was on its way. If no byte of an answer came, that says nothing of
 * the upstream's state.
 *
 * Return: ATTEMPT_NOT_SENT, ATTEMPT_STALE or ATTEMPT_CUT
 */
AttemptEnd_t AttemptConnection_cutEnd(AttemptConnection_t *this);

/** AttemptConnection_remainingMs() - time until the current timeout; 0 or less
 * once it has expired */
gint64 AttemptConnection_remainingMs(const AttemptConnection_t *this);

/** AttemptConnection_setReadPaused() - pause or resume reading */
void AttemptConnection_setReadPaused(AttemptConnection_t *this,
                                     gboolean read_paused);

/**
 * AttemptConnection_close() - end the attempt and schedule the reaper
 *
 * Return: FALSE if it was closed already
 */
gboolean AttemptConnection_close(AttemptConnection_t *this);

/** AttemptConnection_clear() - return the connection to the upstream or close
 * it, and free the other members */
void AttemptConnection_clear(AttemptConnection_t *this);

#endif
