#ifndef HEADER_UpstreamLimit
#define HEADER_UpstreamLimit
/**
 * DOC: UpstreamLimit
 *
 * The request rate limit of one upstream as this router knows it. Answers on
 * parallel connections can overtake each other. An answer without a limit or
 * with a higher one therefore counts only if its request was sent after the
 * current limit was learned, which proves that the upstream wrote the answer
 * later. A lower limit applies at once.
 */
#include "AdvertisedLimit.h"
#include "TokenBucket.h"

/**
 * struct UpstreamLimit_t - zeroed before the upstream advertises a limit
 * @is_named: the upstream advertises a limit
 * @per_s: requests per second of all routers together
 * @version: version of the limit; grows with each change
 * @learned_ms: when the limit last changed on this router, monotonic
 * @full_until_ms: until when the limit has no capacity left, as the router
 *     that keeps the count said, monotonic
 * @unreadable_ms: when an unreadable limit was last reported, 0 for never
 */
typedef struct {
    gboolean is_named;
    double per_s;
    guint64 version;
    gint64 learned_ms;
    gint64 full_until_ms;
    gint64 unreadable_ms;
} UpstreamLimit_t;

/**
 * struct UpstreamLimitFact_t - the limit as another router knows it; see
 * UpstreamLimit_t
 */
typedef struct {
    gboolean is_named;
    double per_s;
    guint64 version;
} UpstreamLimitFact_t;

/**
 * UpstreamLimit_noteAnswer() - learn the limit from an answer
 * @sent_ms: when the request of the answer was sent, monotonic
 *
 * Return: whether the limit has changed
 */
gboolean UpstreamLimit_noteAnswer(UpstreamLimit_t *this,
                                  const AdvertisedLimit_t *advertised,
                                  gint64 sent_ms, gint64 now_ms);

/**
 * UpstreamLimit_applyFact() - learn the limit from another router
 *
 * The newer version applies; of two limits with the same version, the lower.
 *
 * Return: whether the limit has changed
 */
gboolean UpstreamLimit_applyFact(UpstreamLimit_t *this,
                                 const UpstreamLimitFact_t *fact,
                                 gint64 now_ms);

/** UpstreamLimit_rate() - what all routers together may send; call it only
 * while @is_named is set */
RateLimit_t UpstreamLimit_rate(const UpstreamLimit_t *this);

/** UpstreamLimit_noteFull() - record that there is no capacity for @for_ms */
void UpstreamLimit_noteFull(UpstreamLimit_t *this, gint64 for_ms,
                            gint64 now_ms);

/** UpstreamLimit_fullMs() - how much longer there is no capacity; 0 if there
 * is some */
gint64 UpstreamLimit_fullMs(const UpstreamLimit_t *this, gint64 now_ms);

/** UpstreamLimit_noteReport() - whether an unreadable limit was reported
 * recently; if not, records a report now */
gboolean UpstreamLimit_noteReport(UpstreamLimit_t *this, gint64 now_ms);

#endif
