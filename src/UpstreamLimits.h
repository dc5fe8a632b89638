#ifndef HEADER_UpstreamLimits
#define HEADER_UpstreamLimits
/**
 * DOC: UpstreamLimits
 *
 * Learns the request rate limits of upstreams (UpstreamLimit.h) from their
 * answers and from the other routers.
 */
#include "Counters.h"
#include "Membership.h"
#include "Policy.h"
#include "RateLimits.h"

/** struct UpstreamLimits_t - opaque */
typedef struct UpstreamLimits UpstreamLimits_t;

/** UpstreamLimits_create() - both must outlive it */
UpstreamLimits_t *UpstreamLimits_create(Membership_t *membership,
                                        Counters_t *counters);

/** UpstreamLimits_destroy() - free it */
void UpstreamLimits_destroy(UpstreamLimits_t *this);

/**
 * UpstreamLimits_noteAnswer() - an upstream has answered
 * @said: of its limit
 * @sent_ms: when the request was sent, monotonic
 * @request_id: of the request; NULL for a call of the router's own
 *
 * Return: whether that is news
 */
gboolean UpstreamLimits_noteAnswer(UpstreamLimits_t *this,
                                   Upstream_t *upstream,
                                   const NamedLimit_t *said, gint64 sent_ms,
                                   const char *request_id);

/** UpstreamLimits_takeFact() - what a peer knows; whether that is news */
gboolean UpstreamLimits_takeFact(const UpstreamLimits_t *this,
                                 Upstream_t *upstream,
                                 const UpstreamLimitFact_t *fact);

/**
 * UpstreamLimits_noteRefused() - there is no room for a request
 * @verdict: by whose word, and for how long
 */
void UpstreamLimits_noteRefused(UpstreamLimits_t *this, Upstream_t *upstream,
                                const RateVerdict_t *verdict,
                                const char *request_id);

/**
 * UpstreamLimits_retryAfterMs() - when a request that none has room for may
 * come back
 * @room: of the upstreams that would take it otherwise
 *
 * Behind those that were refused before, as they will be back as well.
 */
guint UpstreamLimits_retryAfterMs(UpstreamLimits_t *this, const char *target,
                                  const LimitedCapacity_t *room);

#endif
