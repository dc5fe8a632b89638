#ifndef HEADER_UpstreamGate
#define HEADER_UpstreamGate
/**
 * DOC: UpstreamGate
 *
 * Applies the rate limits that upstreams advertise to one request.
 * Each attempt, whether first, retry or resume, needs capacity of the rate
 * limit (RateLimits.h) before it is sent to such an upstream. Unused capacity
 * is refunded.
 */
#include "RateGate.h"
#include "UpstreamLimits.h"

/** Refusals by upstreams without capacity after which a request goes only to
 * upstreams without a limit; each refusal costs a round trip between routers
 */
#define UPSTREAM_GATE_REFUSALS_MAX 2

/**
 * enum UpstreamGateResult_t - result of a request for capacity
 * @UPSTREAM_GATE_OPEN: one attempt may be sent to the upstream now
 * @UPSTREAM_GATE_FULL: the upstream has no capacity
 * @UPSTREAM_GATE_PENDING: not decided yet; the callback gets the result
 */
typedef enum {
    UPSTREAM_GATE_OPEN,
    UPSTREAM_GATE_FULL,
    UPSTREAM_GATE_PENDING,
} UpstreamGateResult_t;

/** UpstreamGateDone_t - receives the result after UPSTREAM_GATE_PENDING */
typedef void (*UpstreamGateDone_t)(void *owner, UpstreamGateResult_t result);

/**
 * struct UpstreamGate_t - state of one request; zeroed before first use
 * @limits: is notified of refusals
 * @request_id: id of the request; the text belongs to the request
 * @rate: state of the request at the rate limit of @upstream
 * @subject: subject of the rate limit; names @upstream and its incarnation
 * @upstream: upstream whose capacity is requested or acquired, or NULL; holds
 *     a reference
 * @full: last upstream that had no capacity, or NULL; holds a reference
 * @refusals: number of refusals for lack of capacity
 * @answered: the result is known, or UpstreamGate_acquire() has returned; a
 *     result after that is passed to @done
 * @has_capacity: capacity for one attempt at @upstream is acquired
 * @done: called with a result that comes later
 * @owner: first argument of @done
 */
typedef struct {
    UpstreamLimits_t *limits;
    const char *request_id;
    RateGate_t rate;
    GString *subject;
    Upstream_t *upstream;
    Upstream_t *full;
    guint refusals;
    gboolean answered;
    gboolean has_capacity;
    UpstreamGateDone_t done;
    void *owner;
} UpstreamGate_t;

/**
 * struct UpstreamGateSpec_t - arguments of UpstreamGate_acquire()
 * @limits: is notified of refusals
 * @rates: rate limits that decide
 * @request_id: id of the request; must outlive the gate
 * @done: called with a result that comes later
 * @owner: first argument of @done
 */
typedef struct {
    UpstreamLimits_t *limits;
    RateLimits_t *rates;
    const char *request_id;
    UpstreamGateDone_t done;
    void *owner;
} UpstreamGateSpec_t;

/**
 * UpstreamGate_acquire() - request capacity for one attempt at an upstream
 *
 * Return: UPSTREAM_GATE_OPEN also if the upstream has no limit, or if capacity
 * at it was acquired before and not used
 */
UpstreamGateResult_t UpstreamGate_acquire(UpstreamGate_t *this,
                                          Upstream_t *upstream,
                                          const UpstreamGateSpec_t *spec);

/** UpstreamGate_permitted() - the upstream at which the request has capacity,
 * or NULL */
const Upstream_t *UpstreamGate_permitted(const UpstreamGate_t *this);

/** UpstreamGate_consume() - record that an attempt is sent to an upstream;
 * refunds capacity at another upstream */
void UpstreamGate_consume(UpstreamGate_t *this, const Upstream_t *upstream);

/** UpstreamGate_release() - cancel a pending request for capacity, refund
 * unused capacity and drop the references to upstreams */
void UpstreamGate_release(UpstreamGate_t *this);

#endif
