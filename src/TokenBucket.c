#include "TokenBucket.h"

#include "Clock.h"

/* The depth is at least what the rate yields in this time, also for a limit
 * with a tiny burst or none. With less, requests that arrive two at a time
 * would be refused at as little as a tenth of the rate. */
#define MIN_DEPTH_S 0.5
/* Longest retry time: by then a refused request was retried on another
 * upstream or abandoned. */
#define RETRY_AFTER_MAX_MS 10000

double
TokenBucket_depth(const RateLimit_t *limit)
{
    return MAX(limit->burst, limit->per_s * MIN_DEPTH_S);
}

void
TokenBucket_init(TokenBucket_t *this, const RateLimit_t *limit,
                 double fraction, gint64 now_ms)
{
    *this = (TokenBucket_t){
        .limit = *limit,
        .level = TokenBucket_depth(limit) * fraction,
        .filled_ms = now_ms,
    };
}

static void
refill(TokenBucket_t *this, gint64 now_ms)
{
    double elapsed_s =
        (double)MAX(now_ms - this->filled_ms, 0) / CLOCK_MS_PER_S;
    double added = elapsed_s * this->limit.per_s;
    double depth = TokenBucket_depth(&this->limit);
    this->level = MIN(this->level + added, depth);
    this->retrying = MAX(this->retrying - added, 0);
    this->filled_ms = MAX(now_ms, this->filled_ms);
}

void
TokenBucket_setLimit(TokenBucket_t *this, const RateLimit_t *limit,
                     gint64 now_ms)
{
    if (limit->version < this->limit.version) {
        return;
    }
    refill(this, now_ms);
    this->limit = *limit;
    refill(this, now_ms);
}

gboolean
TokenBucket_take(TokenBucket_t *this, double units, gint64 now_ms)
{
    refill(this, now_ms);
    if (this->level <= 0) {
        return FALSE;
    }
    this->level -= units;
    return TRUE;
}

void
TokenBucket_charge(TokenBucket_t *this, double units, gint64 now_ms)
{
    refill(this, now_ms);
    this->level -= units;
}

void
TokenBucket_refund(TokenBucket_t *this, double units, gint64 now_ms)
{
    refill(this, now_ms);
    this->level = MIN(this->level + units, TokenBucket_depth(&this->limit));
}

double
TokenBucket_fraction(TokenBucket_t *this, gint64 now_ms)
{
    refill(this, now_ms);
    double depth = TokenBucket_depth(&this->limit);
    return depth > 0 ? this->level / depth : 0;
}

guint
TokenBucket_noteRefused(TokenBucket_t *this, double units, gint64 now_ms)
{
    refill(this, now_ms);
    double ahead_units = this->retrying - MIN(this->level, 0);
    double max_units = this->limit.per_s * RETRY_AFTER_MAX_MS / CLOCK_MS_PER_S;
    this->retrying = MIN(this->retrying + units, max_units);
    if (this->limit.per_s <= 0) {
        return RETRY_AFTER_MAX_MS;
    }
    double wait_ms = ahead_units / this->limit.per_s * CLOCK_MS_PER_S;
    return (guint)CLAMP(wait_ms, 1, RETRY_AFTER_MAX_MS);
}
