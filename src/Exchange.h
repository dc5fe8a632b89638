#ifndef HEADER_Exchange
#define HEADER_Exchange
/**
 * DOC: Exchange
 *
 * The life of one admitted request, whatever its form: it is claimed where
 * it may run only once, placed, attempted, placed again where Recovery.h
 * allows, and answered or refused by its deadline at the latest. A form
 * (StreamExchange.h, ServiceExchange.h, RelayExchange.h) extends it with how
 * an attempt is made and how the caller is answered.
 */
#include "ExchangeState.h"

/**
 * struct ExchangeSpec_t - what every form knows at admission; see Exchange_t
 * @id: of the request
 * @customer: whose it is; empty for none
 * @customer_class: for counters
 * @target: model or service
 * @priority: of the request
 * @deadline_ms: monotonic
 * @repeatable: running it again does no harm
 * @max_attempts: most attempts
 * @path: with its query
 * @body: its bytes; NULL for the rest of a stream, which runs nothing
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
    GBytes *body;
} ExchangeSpec_t;

/** Exchange_init() - called by a form once it has made its struct */
void Exchange_init(Exchange_t *this, const ExchangeClass_t *class,
                   Context_t *context, const ExchangeSpec_t *spec);

/** Exchange_clear() - called by a form's destroy() */
void Exchange_clear(Exchange_t *this);

/**
 * Exchange_begin() - count the request and start its deadline
 */
void Exchange_begin(Exchange_t *this);

/**
 * Exchange_enter() - place it once its customer's limit leaves room and, where
 * it may run only once, its key is claimed
 * @rate: what it takes; its customer is the exchange's
 * @key: the Idempotency-Key as it came; NULL where nothing is claimed
 */
void Exchange_enter(Exchange_t *this, const RateRequest_t *rate,
                    const char *key);

/** Exchange_place() - choose an upstream for the next attempt, unless nothing
 * may follow; for the parts of an exchange */
void Exchange_place(Exchange_t *this);

/** Exchange_refuseWith() - tell the caller that it gets no answer and when to
 * come back, and end */
void Exchange_refuseWith(Exchange_t *this, const RefusalNotice_t *notice);

/** Exchange_noteAttempt() - an attempt at an upstream starts now */
void Exchange_noteAttempt(Exchange_t *this, Upstream_t *upstream,
                          const char *reason);

/** Exchange_noteNotice() - what the answer to its attempt says of the upstream
 */
void Exchange_noteNotice(const Exchange_t *this,
                         const UpstreamNotice_t *notice);

/**
 * Exchange_noteEnd() - an attempt ended by itself
 *
 * It counts for or against the upstream, and is dropped. The form goes on
 * with Exchange_finish() or Exchange_recover().
 */
void Exchange_noteEnd(Exchange_t *this, AttemptEnd_t end);

/**
 * Exchange_avoidNone() - the upstream of the last attempt is as good as any
 *
 * Only what was known of it was out of date.
 */
void Exchange_avoidNone(Exchange_t *this);

/**
 * Exchange_recover() - do what Recovery.h decides after a failed attempt
 * @detail: for a refusal, or NULL
 */
void Exchange_recover(Exchange_t *this, AttemptEnd_t end, const char *detail);

/**
 * Exchange_mayRepeat() - whether an attempt that is given up now, after it
 * was sent, could be followed by another one
 */
gboolean Exchange_mayRepeat(const Exchange_t *this);

/**
 * Exchange_noteKept() - the attempt under way is silent, and is waited for as
 * none may follow it
 *
 * It is told of once, and counts as a failure of its upstream, or others would
 * be sent to one that stands still.
 */
void Exchange_noteKept(Exchange_t *this);

/** Exchange_finish() - the caller has its whole answer */
void Exchange_finish(Exchange_t *this);

/** Exchange_refuse() - tell the caller that it gets no answer, and end */
void Exchange_refuse(Exchange_t *this, Refusal_t refusal, RunState_t run,
                     const char *detail);

/**
 * Exchange_leave() - the caller is gone
 * @grace_ms: how long until what the form keeps up is abandoned
 */
void Exchange_leave(Exchange_t *this, gint64 grace_ms);

/** Exchange_noteLost() - an attempt ended at an upstream, which may have ended
 * under it */
void Exchange_noteLost(const Exchange_t *this, Upstream_t *upstream,
                       AttemptEnd_t end);

/** Exchange_isHeld() - whether it must not be sent, as upstreams have ended
 * under requests like it */
gboolean Exchange_isHeld(const Exchange_t *this);

/** Exchange_refuseHeld() - tell the caller so */
void Exchange_refuseHeld(Exchange_t *this);

/** Exchange_recheck() - a request is held back from now on: where it is this
 * one, and its attempt waits in an upstream's queue, it is taken from there */
void Exchange_recheck(void *exchange);

/** Exchange_runState() - what is known of the request so far */
RunState_t Exchange_runState(const Exchange_t *this);

#endif
