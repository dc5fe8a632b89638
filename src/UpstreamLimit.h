#ifndef HEADER_UpstreamLimit
#define HEADER_UpstreamLimit
/**
 * DOC: UpstreamLimit
 *
 * The request rate limit of one upstream, as this router knows it. Answers on
 * parallel connections overtake each other, so that an answer without the
 * limit, or with a higher one, counts only where its request was sent after
 * the limit was learned: its head was made later, then. A lower limit counts
 * at once.
 */
#include "NamedLimit.h"
#include "TokenBucket.h"

/**
 * struct UpstreamLimit_t - zeroed while none was named
 * @is_named: there is a limit
 * @per_s: requests a second of all routers together
 * @version: of what is known; grows with each change
 * @learned_ms: when it last changed here, monotonic
 * @full_until_ms: no room is left until then, by the word of the router that
 *     keeps the count, monotonic
 * @unreadable_ms: when an unreadable one was last reported, 0 for never
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
 * struct UpstreamLimitFact_t - what another router knows; see UpstreamLimit_t
 */
typedef struct {
    gboolean is_named;
    double per_s;
    guint64 version;
} UpstreamLimitFact_t;

/**
 * UpstreamLimit_noteAnswer() - learn from an answer
 * @sent_ms: when its request was sent, monotonic
 *
 * Return: whether that is news
 */
gboolean UpstreamLimit_noteAnswer(UpstreamLimit_t *this,
                                  const NamedLimit_t *said, gint64 sent_ms,
                                  gint64 now_ms);

/**
 * UpstreamLimit_takeFact() - learn from another router
 *
 * The newer version holds; of two with the same, the lower limit.
 *
 * Return: whether that is news
 */
gboolean UpstreamLimit_takeFact(UpstreamLimit_t *this,
                                const UpstreamLimitFact_t *fact,
                                gint64 now_ms);

/** UpstreamLimit_rate() - what all routers together may send; only of one that
 * is named */
RateLimit_t UpstreamLimit_rate(const UpstreamLimit_t *this);

/** UpstreamLimit_noteFull() - no room for so long */
void UpstreamLimit_noteFull(UpstreamLimit_t *this, gint64 for_ms,
                            gint64 now_ms);

/** UpstreamLimit_fullMs() - for how long that still holds, 0 for not */
gint64 UpstreamLimit_fullMs(const UpstreamLimit_t *this, gint64 now_ms);

/** UpstreamLimit_isReported() - whether an unreadable limit was reported
 * lately; if not, it counts as reported now */
gboolean UpstreamLimit_isReported(UpstreamLimit_t *this, gint64 now_ms);

#endif
