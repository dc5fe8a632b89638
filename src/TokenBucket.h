#ifndef HEADER_TokenBucket
#define HEADER_TokenBucket
/**
 * DOC: TokenBucket
 *
 * A token bucket that may go into debt. It refills at a steady rate up to its
 * depth, and each request takes units from it. A request is admitted while the
 * level is above 0, even if it takes more than the level; the difference
 * becomes a debt that the refill pays off. A request larger than the depth is
 * therefore admitted in its turn, and no request that fits is refused. In any
 * span of time the bucket admits at most the rate times the span, plus the
 * depth, plus one request.
 *
 * A refusal states when to retry. The time lies after those of the requests
 * refused before, since they will retry as well. If all refused requests were
 * given the same time, all but the first would be refused again.
 */
#include <glib.h>

/**
 * struct RateLimit_t - a rate limit
 * @per_s: units per second; 0 for no limit
 * @burst: units that may be taken at once after an idle time
 * @version: version of the setting that the limit comes from; a limit with a
 *     higher version replaces it
 * @exact: each request has to query the keeper of the count, whatever the
 *     level
 */
typedef struct {
    double per_s;
    double burst;
    guint64 version;
    gboolean exact;
} RateLimit_t;

/**
 * struct TokenBucket_t - bucket of one limit
 * @limit: limit in force
 * @level: units left; below 0 while the bucket is in debt
 * @retrying: units of refused requests whose retry time has not come yet
 * @filled_ms: when @level and @retrying were last updated, monotonic
 */
typedef struct {
    RateLimit_t limit;
    double level;
    double retrying;
    gint64 filled_ms;
} TokenBucket_t;

/** TokenBucket_depth() - most units that a limit admits at once */
double TokenBucket_depth(const RateLimit_t *limit);

/**
 * TokenBucket_init() - initialize a bucket
 * @fraction: initial level as a fraction of the depth
 */
void TokenBucket_init(TokenBucket_t *this, const RateLimit_t *limit,
                      double fraction, gint64 now_ms);

/** TokenBucket_setLimit() - replace the limit, unless @limit has an older
 * version */
void TokenBucket_setLimit(TokenBucket_t *this, const RateLimit_t *limit,
                          gint64 now_ms);

/** TokenBucket_take() - admit a request; FALSE if the bucket is empty */
gboolean TokenBucket_take(TokenBucket_t *this, double units, gint64 now_ms);

/** TokenBucket_charge() - subtract units that a router has already admitted;
 * may put the bucket into debt */
void TokenBucket_charge(TokenBucket_t *this, double units, gint64 now_ms);

/** TokenBucket_refund() - return units that were taken and not used */
void TokenBucket_refund(TokenBucket_t *this, double units, gint64 now_ms);

/** TokenBucket_fraction() - level as a fraction of the depth; 1 when full */
double TokenBucket_fraction(TokenBucket_t *this, gint64 now_ms);

/**
 * TokenBucket_noteRefused() - record that a request was refused
 *
 * Return: after how many ms the request may be retried
 */
guint TokenBucket_noteRefused(TokenBucket_t *this, double units,
                              gint64 now_ms);

#endif
