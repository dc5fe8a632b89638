#ifndef HEADER_RelayExchangeState
#define HEADER_RelayExchangeState
/**
 * DOC: RelayExchangeState
 *
 * What the parts of a relayed request's life share, for them alone: its
 * beginning and end (RelayExchange.c), where it goes (RelayDispatch.h), its
 * attempts (RelayRun.h) and its moves to other engines (RelayMove.h).
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
 * struct RelayRunEvents_t - what is told and asked of the attempt under way
 * @begun: its first event has come
 * @heard: more of its answer has come
 * @may_follow: whether another attempt may follow it; else sets the reason
 * @go_beside: its upstream is silent: try another one beside it; FALSE where
 *     its answer has not begun, or what comes twice could not be told, so that
 *     it is given up first
 * @broke_off: it is over and was not whole; TRUE where another one has taken
 *     its place
 * @over: it is over, and none has taken its place
 */
typedef struct {
    void (*begun)(RelayExchange_t *this);
    void (*heard)(RelayExchange_t *this);
    gboolean (*may_follow)(const RelayExchange_t *this, Refusal_t *refusal);
    gboolean (*go_beside)(RelayExchange_t *this);
    gboolean (*broke_off)(RelayExchange_t *this);
    void (*over)(RelayExchange_t *this);
} RelayRunEvents_t;

/**
 * struct RelayExchange_t - a request under way
 * @super: of every request
 * @form: of the platform
 * @config: version that it was admitted under; held
 * @route: of @config
 * @customer: of @config, or NULL
 * @request: what its head says
 * @request_body: its bytes
 * @answer: to the caller
 * @run_events: of its attempts
 * @attempt: under way, or NULL
 * @feedback: what the attempt tells of its upstream
 * @move: to another engine, under way beside @attempt, or NULL
 * @ask: question to the dispatcher under way, or NULL
 * @ticket: of the attempt
 * @events: of a stream, else NULL
 * @body: of a whole answer
 * @passing: events on their way to the caller
 * @first_us: from its start to the first event of all; 0 for none yet
 * @event_us: when the last event was passed on, monotonic; 0 for none yet
 * @pause_us: longest time between two events
 * @unrun: attempts that did not run
 * @is_stream: the answer under way is a stream
 * @has_answer: a failure of the upstream to pass on
 * @kept_for: why the attempt under way is not given up although its upstream
 *     is silent, REFUSAL_COUNT for none
 * @beside_ms: from when on another upstream may be tried beside a silent one,
 *     monotonic
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
    DispatchQuery_t *ask;
    DispatchTicket_t ticket;
    EventPipe_t *events;
    struct evbuffer *body;
    struct evbuffer *passing;
    gint64 first_us;
    gint64 event_us;
    gint64 pause_us;
    guint unrun;
    gboolean is_stream;
    gboolean has_answer;
    Refusal_t kept_for;
    gint64 beside_ms;
};

/** RelayExchange_wish() - what it asks of an upstream; valid as long as it */
RelayWish_t RelayExchange_wish(const RelayExchange_t *this);

/** RelayExchange_endTicket() - its dispatcher need not count it any more;
 * may be called again */
void RelayExchange_endTicket(RelayExchange_t *this);

/** RelayExchange_closeIfStopping() - tell the caller to come back elsewhere
 * where the router stops; called as late as the head goes out, as the stop
 * may begin before that */
void RelayExchange_closeIfStopping(const RelayExchange_t *this);

#endif
