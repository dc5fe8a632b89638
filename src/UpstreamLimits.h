#ifndef HEADER_UpstreamLimits
#define HEADER_UpstreamLimits
/**
 * DOC: UpstreamLimits
 *
 * Learns the request rate limits of upstreams (UpstreamLimit.h) from their
 * answers.
 */
#include "Counters.h"
#include "Upstream.h"

/** struct UpstreamLimits_t - opaque */
typedef struct UpstreamLimits UpstreamLimits_t;

/** UpstreamLimits_create() - @counters must outlive it */
UpstreamLimits_t *UpstreamLimits_create(Counters_t *counters);

/** UpstreamLimits_destroy() - free it */
void UpstreamLimits_destroy(UpstreamLimits_t *this);

/**
 * UpstreamLimits_noteAnswer() - an upstream has answered
 * @said: of its limit
 * @sent_ms: when the request was sent, monotonic
 * @request_id: of the request
 */
void UpstreamLimits_noteAnswer(UpstreamLimits_t *this, Upstream_t *upstream,
                               const NamedLimit_t *said, gint64 sent_ms,
                               const char *request_id);

#endif
