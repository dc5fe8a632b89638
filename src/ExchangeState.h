#ifndef HEADER_ExchangeState
#define HEADER_ExchangeState
/**
 * DOC: ExchangeState
 *
 * The state of an exchange (Exchange.h), visible to its derived types, to its
 * log lines and to ExchangeCapacity.h.
 */
#include "Context.h"
#include "OnceGuard.h"
#include "RateGate.h"
#include "Recovery.h"
#include "RequestHashes.h"
#include "UpstreamGate.h"

typedef struct Exchange Exchange_t;

/**
 * struct ExchangeClass_t - functions of a derived type
 * @destroy: call Exchange_clear() and free the exchange
 * @place: choose an upstream and start an attempt, or refuse the request
 * @drop: close the current attempt; returns whether its request may have been
 *     sent
 * @refuse: send a refusal, unless the caller has left
 * @may_forward: whether another router is to serve a request that has not run
 *     and would be refused here; may be NULL
 * @forward: give the request to another router, as the exchange has ended
 *     without an answer; NULL if @may_forward is
 * @add_recovery_input: set the members of the recovery input that the derived
 *     type knows; may be NULL
 * @resume: request the remainder of the stream from the same upstream; may be
 *     NULL
 * @abandon: cancel the stream at the engine, as it is not resumed any more;
 *     may be NULL
 * @log_end: add key-value pairs to the request_done log line; may be NULL
 */
typedef struct {
    void (*destroy)(Exchange_t *this);
    void (*place)(Exchange_t *this);
    gboolean (*drop)(Exchange_t *this);
    void (*refuse)(Exchange_t *this, const RefusalNotice_t *notice);
    gboolean (*may_forward)(const Exchange_t *this, Refusal_t refusal);
    void (*forward)(Exchange_t *this);
    void (*add_recovery_input)(const Exchange_t *this, RecoveryInput_t *input);
    void (*resume)(Exchange_t *this);
    void (*abandon)(Exchange_t *this);
    void (*log_end)(const Exchange_t *this);
} ExchangeClass_t;

/**
 * struct Exchange - base of the derived types
 * @class: functions of the derived type
 * @context: parts of the router
 * @id: the request's id
 * @customer: the customer's name; empty for none
 * @customer_class: the customer's class, a label of counters
 * @target: name of the model or service
 * @priority: the request's priority
 * @started_us: monotonic time of Exchange_init()
 * @deadline_ms: monotonic time by which the answer must be complete
 * @repeatable: the request may run more than once
 * @max_attempts: maximum number of attempts
 * @rate_gate: the request's charge to the customer's rate limit
 * @upstream_gate: the request's charge to the limit of an upstream
 * @needs_same_upstream: the next attempt is a resume, which must use the same
 *     upstream and waits for capacity there
 * @key: the Idempotency-Key, or NULL if nothing is claimed
 * @once_guard: claim of @key, or NULL
 * @request_hashes: identity of the request for the crash guard; NULL without a
 *     body
 * @deadline_timer: fires every DEADLINE_CHECK_MS and at the deadline
 * @next_timer: delays the next attempt, then the end of the grace period, then
 *     the destruction
 * @trace: the request's trace
 * @attempt_trace: trace of the last attempt
 * @upstream: upstream of the current attempt, or NULL
 * @origin: origin of notices in the current attempt's answer
 * @avoid: upstream of the previous attempt, or NULL
 * @attempts: number of attempts so far
 * @sent: an attempt was sent and the upstream has not reported it as not run
 * @silence_counted: the current attempt is silent and was counted as a failure
 * @begun_noted: the crash guard knows that the answer under way has begun
 * @caller_left: the caller's connection has ended
 * @left_reason: why, if it has
 * @over: the exchange has ended; only its destruction follows
 */
struct Exchange {
    const ExchangeClass_t *class;
    Context_t *context;
    GString *id;
    GString *customer;
    GString *customer_class;
    GString *target;
    gint64 priority;
    gint64 started_us;
    gint64 deadline_ms;
    gboolean repeatable;
    guint max_attempts;
    RateGate_t rate_gate;
    UpstreamGate_t upstream_gate;
    gboolean needs_same_upstream;
    GString *key;
    OnceGuard_t *once_guard;
    RequestHashes_t *request_hashes;
    struct event *deadline_timer;
    struct event *next_timer;
    Trace_t *trace;
    TraceAttempt_t *attempt_trace;
    Upstream_t *upstream;
    NoticeOrigin_t origin;
    Upstream_t *avoid;
    guint attempts;
    gboolean sent;
    gboolean silence_counted;
    gboolean begun_noted;
    gboolean caller_left;
    Refusal_t left_reason;
    gboolean over;
};

#endif
