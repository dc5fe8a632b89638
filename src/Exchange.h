#ifndef HEADER_Exchange
#define HEADER_Exchange
/**
 * DOC: Exchange
 *
 * The lifecycle of one request: rate limit, claim of its idempotency key if it
 * must not run twice, choice of an upstream, attempts, retries as Recovery.h
 * decides, and the answer or refusal, by the deadline at the latest. Derived
 * types (StreamExchange.h, ServiceExchange.h, RelayExchange.h) implement how
 * an attempt is made and how the caller is answered.
 */
#include "ExchangeState.h"

/**
 * struct ExchangeSpec_t - parameters common to all types of exchange
 * @id: the request's id
 * @customer: the customer's name; empty for none
 * @customer_class: the customer's class, a label of counters
 * @target: name of the model or service
 * @priority: the request's priority
 * @deadline_ms: monotonic time by which the answer must be complete
 * @repeatable: the request may run more than once
 * @max_attempts: maximum number of attempts
 * @path: path and query of the request
 * @parts: parts of the prompt that other requests may have
 * @body: body of the request; NULL if the caller asks for the remainder of a
 *     stream, which runs nothing new
 */
typedef struct {
    const char *id;
    const char *customer;
    const char *customer_class;
    const char *target;
    gint64 priority;
    gint64 deadline_ms;
    gboolean repeatable;
    guint max_attempts;
    const char *path;
    PromptParts_t parts;
    GBytes *body;
} ExchangeSpec_t;

/** Exchange_init() - initialize the base; called by the derived type's
 * constructor */
void Exchange_init(Exchange_t *this, const ExchangeClass_t *class,
                   Context_t *context, const ExchangeSpec_t *spec);

/** Exchange_clear() - free the base's members; called by the derived type's
 * destroy() */
void Exchange_clear(Exchange_t *this);

/** Exchange_begin() - count the request as open and start its deadline */
void Exchange_begin(Exchange_t *this);

/**
 * Exchange_admit() - place the request once it is admitted
 * @rate: units charged to the customer's rate limit
 * @key: the Idempotency-Key header; NULL if nothing is claimed
 *
 * The customer's rate limit must admit the request and, if the request has a
 * key and is not repeatable, the key must be claimed. Otherwise the request is
 * refused.
 */
void Exchange_admit(Exchange_t *this, const RateRequest_t *rate,
                    const char *key);

/** Exchange_place() - choose an upstream for the next attempt, unless the
 * exchange has ended or its caller has left */
void Exchange_place(Exchange_t *this);

/** Exchange_refuseWith() - answer with a refusal that may carry a retry delay,
 * and end the exchange; forwards the request in its place if @may_forward */
void Exchange_refuseWith(Exchange_t *this, const RefusalNotice_t *notice);

/** Exchange_forward() - end the exchange of a request that has not run, and
 * give the request to another router */
void Exchange_forward(Exchange_t *this);

/** Exchange_noteAttempt() - record that an attempt at an upstream starts */
void Exchange_noteAttempt(Exchange_t *this, Upstream_t *upstream,
                          const char *reason);

/** Exchange_noteNotice() - apply the notice about the upstream that the answer
 * to the current attempt carries */
void Exchange_noteNotice(const Exchange_t *this,
                         const UpstreamNotice_t *notice);

/**
 * Exchange_noteAttemptEnd() - record the end of the current attempt
 *
 * Counts it as a success or a failure of the upstream and releases the
 * upstream. Not for attempts that were closed by drop(). The derived type then
 * calls Exchange_finish() or Exchange_recover().
 */
void Exchange_noteAttemptEnd(Exchange_t *this, AttemptEnd_t end);

/**
 * Exchange_clearAvoided() - allow the next attempt to use the last upstream
 *
 * For an attempt that failed only because this router's state of the upstream
 * was out of date.
 */
void Exchange_clearAvoided(Exchange_t *this);

/**
 * Exchange_recover() - execute what Recovery.h decides after a failed attempt
 * @detail: detail of a refusal, or NULL
 */
void Exchange_recover(Exchange_t *this, AttemptEnd_t end, const char *detail);

/**
 * Exchange_mayRetry() - whether another attempt could follow if the current
 * one were given up as silent after it was sent
 */
gboolean Exchange_mayRetry(const Exchange_t *this);

/**
 * Exchange_noteSilent() - record that the current attempt is silent but is not
 * given up, as no other attempt may follow
 *
 * Logs it and counts a failure of the upstream, once per attempt. Without the
 * failure, other requests would still be sent to a stalled upstream.
 */
void Exchange_noteSilent(Exchange_t *this);

/** Exchange_finish() - end the exchange; the caller has the answer of an
 * attempt that ended as ATTEMPT_COMPLETE or ATTEMPT_CLOSED */
void Exchange_finish(Exchange_t *this, AttemptEnd_t end);

/** Exchange_refuse() - answer with a refusal and end the exchange */
void Exchange_refuse(Exchange_t *this, Refusal_t refusal, RunState_t run,
                     const char *detail);

/**
 * Exchange_noteCallerLeft() - cancel the attempt, as the caller's connection
 * has ended
 * @reason: see CallerLeft_t
 * @grace_ms: delay after which the stream at the engine is abandoned and the
 *     exchange ends; the caller may resume the stream at any router until then
 */
void Exchange_noteCallerLeft(Exchange_t *this, Refusal_t reason,
                             gint64 grace_ms);

/**
 * Exchange_noteCrashEvidence() - report the end of an attempt to the crash
 * guard if the upstream may have crashed during it or was not reached
 * @began_ms: when the attempt's answer began, monotonic; 0 if it had not
 */
void Exchange_noteCrashEvidence(const Exchange_t *this, Upstream_t *upstream,
                                AttemptEnd_t end, gint64 began_ms);

/** Exchange_noteProgress() - the answer under way has gone on */
void Exchange_noteProgress(Exchange_t *this);

/** Exchange_isQuarantined() - whether the request must not be sent, as equal
 * requests have crashed upstreams */
gboolean Exchange_isQuarantined(const Exchange_t *this);

/** Exchange_refuseQuarantined() - refuse the request as quarantined */
void Exchange_refuseQuarantined(Exchange_t *this);

/** Exchange_recheckQuarantine() - cancel and refuse the request if it has been
 * quarantined and its attempt has no first token yet; called for each open
 * exchange when a request is quarantined */
void Exchange_recheckQuarantine(void *exchange);

/** Exchange_runState() - whether the request has run so far */
RunState_t Exchange_runState(const Exchange_t *this);

#endif
