#ifndef HEADER_ExchangeCapacity
#define HEADER_ExchangeCapacity
/**
 * DOC: ExchangeCapacity
 *
 * How an exchange handles the rate limits, backoffs and departures that
 * upstreams announce: which upstreams it may use, capacity for each attempt at
 * the limit of its upstream (UpstreamGate.h), and the refusal if no upstream
 * accepts the request.
 */
#include "Exchange.h"

/** ExchangeCapacity_terms() - restrictions on the choice of an upstream */
PlacementConstraints_t ExchangeCapacity_terms(const Exchange_t *this);

/**
 * ExchangeCapacity_acquire() - whether an attempt may go to an upstream now
 *
 * If the upstream has announced a limit, this requests capacity at the
 * limit. Unless capacity is granted at once, it returns FALSE and
 * place() is called later: either the upstream is permitted by then, or it is
 * excluded as it has no capacity.
 */
gboolean ExchangeCapacity_acquire(Exchange_t *this, Upstream_t *upstream);

/** ExchangeCapacity_acquireSame() - like ExchangeCapacity_acquire(), for an
 * attempt that must go to this upstream: place() is called once the upstream
 * may have capacity and its backoff has ended */
gboolean ExchangeCapacity_acquireSame(Exchange_t *this, Upstream_t *upstream);

/** ExchangeCapacity_release() - give back the acquired capacity, as the
 * upstream can't be used */
void ExchangeCapacity_release(Exchange_t *this);

/**
 * ExchangeCapacity_refuse() - refuse the request, as no upstream was chosen
 *
 * If the answer has begun and only limits or backoffs exclude the upstreams,
 * the request is not refused: place() is called once one of them may accept
 * it.
 */
void ExchangeCapacity_refuse(Exchange_t *this, const Placement_t *placement);

#endif
