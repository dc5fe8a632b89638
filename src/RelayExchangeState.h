#ifndef HEADER_RelayExchangeState
#define HEADER_RelayExchangeState
/**
 * DOC: RelayExchangeState
 *
 * State of a relayed request, private to the modules that implement it: start
 * and end (RelayExchange.c), choice of the upstream (RelayDispatch.h),
 * attempts (RelayRun.h) and moves to other engines (RelayMove.h).
 */
#include "EventPipe.h"
#include "Exchange.h"
#include "PlatformForm.h"
#include "RelayAnswer.h"
#include "RelayAttempt.h"
#include "RelayFeedback.h"
#include "RelayPlacer.h"

/** struct RelayMove_t - opaque; see RelayMove.h */
typedef struct RelayMove RelayMove_t;

typedef struct RelayExchange RelayExchange_t;

/**
 * struct RelayRunEvents_t - callbacks about the attempt under way
 * @first_event: the attempt's first event was received
 * @events_received: complete events were received
 * @may_retry: returns whether another attempt may follow this one, or sets the
 *     reason why not
 * @hedge: the upstream is silent: start a hedged attempt at another one.
 *     Returns FALSE if the caller has nothing of the answer yet or repeated
 *     events could not be recognized; the attempt must then end before another
 *     one starts
 * @fail_over: the attempt ended without a complete answer; returns TRUE if the
 *     hedged attempt has replaced it
 * @ended: the attempt ended and no hedged attempt has replaced it
 */
typedef struct {
    void (*first_event)(RelayExchange_t *this);
    void (*events_received)(RelayExchange_t *this);
    gboolean (*may_retry)(const RelayExchange_t *this, Refusal_t *refusal);
    gboolean (*hedge)(RelayExchange_t *this);
    gboolean (*fail_over)(RelayExchange_t *this);
    void (*ended)(RelayExchange_t *this);
} RelayRunEvents_t;

/**
 * struct RelayOrigin_t - what the upstreams of a stream must have in common
 * with the one that began it; see RelayOrigin.h
 * @resumes: id of the request that brought the caller the stream's first
 * event; NULL if it names none
 * @software: software version that began the stream; NULL while the caller has
 *     none of it, empty if it is not known
 * @digest: identifies the stream that the caller continues
 * @own_digest: identifies the stream by this request
 * @query: query for the version that began the stream, or NULL
 * @may_change: when it was sent, the stream might have begun at another
 * service
 * @is_resolved: the version was found, or the stream begins here
 * @is_begun: the caller gets events
 */
typedef struct {
    GString *resumes;
    GString *software;
    RequestDigest_t digest;
    RequestDigest_t own_digest;
    OriginQuery_t *query;
    gboolean may_change;
    gboolean is_resolved;
    gboolean is_begun;
} RelayOrigin_t;

/**
 * struct RelayExchange_t - a relayed request under way
 * @super: base of all exchanges
 * @form: the platform's wire format
 * @config: configuration that the request was admitted under; one reference
 * @route: route in @config
 * @customer: customer in @config, or NULL
 * @request: the parsed head
 * @request_body: the caller's body
 * @answer: answer to the caller; NULL after the request was forwarded
 * @run_events: callbacks about the attempts
 * @attempt: attempt under way, or NULL
 * @feedback: observations about the attempt's upstream
 * @move: move to another engine, in parallel to @attempt, or NULL
 * @query: query to the dispatcher under way, or NULL
 * @ticket: dispatcher's ticket of the attempt
 * @admission: what the dispatcher's admission depends on
 * @next_group: the group that is asked after another one has refused the
 *     request, plus 1; 0 if none was asked
 * @event_pipe: events of a stream; NULL for a route without streams
 * @answer_body: body of an answer that is not a stream, until it is complete
 * @answer_waiter: waits while there is no room for it
 * @outgoing: events to be sent to the caller next
 * @origin: what the stream's upstreams must have in common
 * @framing: how the last attempt's answer marks its end
 * @first_us: time from the request's start to its first event; 0 for none yet
 * @last_event_us: when the last event was forwarded, monotonic; 0 for none yet
 * @max_pause_us: longest time between two events
 * @not_run_attempts: number of attempts that did not run
 * @is_unsent: nothing was sent to the upstream of the last attempt
 * @was_stale: the last attempt met the end of a connection used before
 * @is_stream: the answer under way is a stream
 * @is_in_parts: the answer under way is no stream, and is passed on as it
 *     arrives (RelayBody.h), so that no other can take its place
 * @part_bytes: bytes of the body that were received by then and since
 * @is_whole: the caller was sent the whole answer
 * @has_upstream_error: @answer_body is an upstream's error answer that may be
 *     forwarded
 * @keep_reason: why the attempt under way is kept although its upstream is
 *     silent; REFUSAL_COUNT for none
 * @is_lost: the attempt's engine has said that nothing more comes of it
 * @next_hedge_ms: earliest time of the next hedged attempt, monotonic
 */
struct RelayExchange {
    Exchange_t super;
    const PlatformForm_t *form;
    RouteConfig_t *config;
    const Route_t *route;
    const RouteCustomer_t *customer;
    RelayRequest_t request;
    GBytes *request_body;
    RelayAnswer_t *answer;
    const RelayRunEvents_t *run_events;
    RelayAttempt_t *attempt;
    RelayFeedback_t feedback;
    RelayMove_t *move;
    DispatchQuery_t *query;
    DispatchTicket_t ticket;
    DispatchAdmission_t admission;
    guint next_group;
    EventPipe_t *event_pipe;
    AnswerBuffer_t *answer_body;
    AnswerWaiter_t answer_waiter;
    struct evbuffer *outgoing;
    RelayOrigin_t origin;
    BodyFraming_t framing;
    gint64 first_us;
    gint64 last_event_us;
    gint64 max_pause_us;
    guint not_run_attempts;
    gboolean is_unsent;
    gboolean was_stale;
    gboolean is_stream;
    gboolean is_in_parts;
    gsize part_bytes;
    gboolean is_whole;
    gboolean has_upstream_error;
    Refusal_t keep_reason;
    gboolean is_lost;
    gint64 next_hedge_ms;
};

/** RelayExchange_placementInput() - what the choice of an upstream depends on;
 * valid as long as the exchange */
RelayPlacementInput_t
RelayExchange_placementInput(const RelayExchange_t *this);

/** RelayExchange_rank() - rank of the request: that of its customer, if it has
 * one, else that of its route */
guint RelayExchange_rank(const RelayExchange_t *this);

/** RelayExchange_endTicket() - notify the dispatcher to stop counting the
 * request; may be called again */
void RelayExchange_endTicket(RelayExchange_t *this);

/** RelayExchange_closeIfStopping() - close the caller's connection after the
 * answer if the router is stopping, so that the caller reconnects to another
 * router. Called just before the head is sent, as the router may begin to stop
 * while the request runs. */
void RelayExchange_closeIfStopping(const RelayExchange_t *this);

#endif
