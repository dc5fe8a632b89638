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

/** UpstreamLimits_create() - both arguments must outlive it */
UpstreamLimits_t *UpstreamLimits_create(Membership_t *membership,
                                        Counters_t *counters);

/** UpstreamLimits_destroy() - free it */
void UpstreamLimits_destroy(UpstreamLimits_t *this);

/**
 * UpstreamLimits_noteAnswer() - learn a limit from an upstream's answer
 * @advertised: limit that the answer advertises
 * @sent_ms: when the request was sent, monotonic
 * @request_id: id of the request; NULL for a call by the router itself
 *
 * Return: whether the limit has changed
 */
gboolean UpstreamLimits_noteAnswer(UpstreamLimits_t *this,
                                   Upstream_t *upstream,
                                   const AdvertisedLimit_t *advertised,
                                   gint64 sent_ms, const char *request_id);

/** UpstreamLimits_applyFact() - learn a limit from a peer; returns whether it
 * has changed */
gboolean UpstreamLimits_applyFact(const UpstreamLimits_t *this,
                                  Upstream_t *upstream,
                                  const UpstreamLimitFact_t *fact);

/**
 * UpstreamLimits_noteRefused() - record that an upstream's limit has refused a
 * request
 * @verdict: the refusal, with its source and duration
 */
void UpstreamLimits_noteRefused(UpstreamLimits_t *this, Upstream_t *upstream,
                                const RateVerdict_t *verdict,
                                const char *request_id);

/**
 * UpstreamLimits_retryAfterMs() - when to retry a request that the limits of
 * all its upstreams refuse
 * @capacity: of the upstreams that could serve the request but for their
 *     limits
 *
 * The time lies after those of the requests refused before, since they will
 * retry as well.
 */
guint UpstreamLimits_retryAfterMs(UpstreamLimits_t *this, const char *target,
                                  const LimitedCapacity_t *capacity);

#endif
