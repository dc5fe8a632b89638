#ifndef HEADER_TokenBucket
#define HEADER_TokenBucket
/**
 * DOC: TokenBucket
 *
 * What is left of a limit: it fills at a steady rate up to its depth, and each
 * request takes from it. Whoever comes while anything is left is let in, and
 * what it takes beyond that is owed, so that a request larger than the depth
 * is served in its turn, and none is refused that fits. In any span of time at
 * most the rate times the span, the depth and one request are taken.
 *
 * Whoever is refused is told when to come back: behind those that were refused
 * before, as they will be back as well. Without that all of them were told the
 * same moment, and all but the first were refused a second time.
 */
#include <glib.h>

/**
 * struct RateLimit_t - what may be taken
 * @per_s: units a second; 0 for no limit
 * @burst: units on top, after a rest
 * @version: of what says so; a later one replaces it
 * @exact: nothing is let in unasked, however much is left
 */
typedef struct {
    double per_s;
    double burst;
    guint64 version;
    gboolean exact;
} RateLimit_t;

/**
 * struct TokenBucket_t - one limit in use
 * @limit: in force
 * @level: units that are left; below 0 while some are owed
 * @returning: units of those refused that have not been able to come back
 * @filled_ms: when both were brought up to date, monotonic
 */
typedef struct {
    RateLimit_t limit;
    double level;
    double returning;
    gint64 filled_ms;
} TokenBucket_t;

/** TokenBucket_depth() - units that a limit lets through at once */
double TokenBucket_depth(const RateLimit_t *limit);

/** TokenBucket_init() - a bucket in which a part of its depth is left */
void TokenBucket_init(TokenBucket_t *this, const RateLimit_t *limit,
                      double part, gint64 now_ms);

/** TokenBucket_setLimit() - another limit from now on; one of an older version
 * is passed over */
void TokenBucket_setLimit(TokenBucket_t *this, const RateLimit_t *limit,
                          gint64 now_ms);

/** TokenBucket_take() - let a request in; FALSE where nothing is left */
gboolean TokenBucket_take(TokenBucket_t *this, double units, gint64 now_ms);

/** TokenBucket_spend() - what was let in elsewhere; may leave it in debt */
void TokenBucket_spend(TokenBucket_t *this, double units, gint64 now_ms);

/** TokenBucket_giveBack() - what was taken and not used */
void TokenBucket_giveBack(TokenBucket_t *this, double units, gint64 now_ms);

/** TokenBucket_part() - how much of the depth is left, 1 for all */
double TokenBucket_part(TokenBucket_t *this, gint64 now_ms);

/**
 * TokenBucket_refuse() - a request was refused
 *
 * Return: in how many ms it may come back
 */
guint TokenBucket_refuse(TokenBucket_t *this, double units, gint64 now_ms);

#endif
