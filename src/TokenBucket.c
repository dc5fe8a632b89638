#include "TokenBucket.h"

#include "Clock.h"

/* A limit without a burst, or with a tiny one, still lets through what its
 * rate makes in half a second, or requests that come two at a time would be
 * refused at a tenth of the rate. */
#define LEAST_DEPTH_S 0.5
/* Nobody is told to come back later than that: what was refused by then has
 * gone elsewhere or was given up. */
#define RETURN_MOST_MS 10000

double
TokenBucket_depth(const RateLimit_t *limit)
{
    return MAX(limit->burst, limit->per_s * LEAST_DEPTH_S);
}

void
TokenBucket_init(TokenBucket_t *this, const RateLimit_t *limit, double part,
                 gint64 now_ms)
{
    *this = (TokenBucket_t){
        .limit = *limit,
        .level = TokenBucket_depth(limit) * part,
        .filled_ms = now_ms,
    };
}

static void
fill(TokenBucket_t *this, gint64 now_ms)
{
    double passed_s =
        (double)MAX(now_ms - this->filled_ms, 0) / CLOCK_MS_PER_S;
    double gained = passed_s * this->limit.per_s;
    double depth = TokenBucket_depth(&this->limit);
    this->level = MIN(this->level + gained, depth);
    this->returning = MAX(this->returning - gained, 0);
    this->filled_ms = MAX(now_ms, this->filled_ms);
}

void
TokenBucket_setLimit(TokenBucket_t *this, const RateLimit_t *limit,
                     gint64 now_ms)
{
    if (limit->version < this->limit.version) {
        return;
    }
    fill(this, now_ms);
    this->limit = *limit;
    fill(this, now_ms);
}

gboolean
TokenBucket_take(TokenBucket_t *this, double units, gint64 now_ms)
{
    fill(this, now_ms);
    if (this->level <= 0) {
        return FALSE;
    }
    this->level -= units;
    return TRUE;
}

void
TokenBucket_spend(TokenBucket_t *this, double units, gint64 now_ms)
{
    fill(this, now_ms);
    this->level -= units;
}

void
TokenBucket_giveBack(TokenBucket_t *this, double units, gint64 now_ms)
{
    fill(this, now_ms);
    this->level = MIN(this->level + units, TokenBucket_depth(&this->limit));
}

double
TokenBucket_part(TokenBucket_t *this, gint64 now_ms)
{
    fill(this, now_ms);
    double depth = TokenBucket_depth(&this->limit);
    return depth > 0 ? this->level / depth : 0;
}

guint
TokenBucket_refuse(TokenBucket_t *this, double units, gint64 now_ms)
{
    fill(this, now_ms);
    double ahead = this->returning - MIN(this->level, 0);
    double most = this->limit.per_s * RETURN_MOST_MS / CLOCK_MS_PER_S;
    this->returning = MIN(this->returning + units, most);
    if (this->limit.per_s <= 0) {
        return RETURN_MOST_MS;
    }
    double wait_ms = ahead / this->limit.per_s * CLOCK_MS_PER_S;
    return (guint)CLAMP(wait_ms, 1, RETURN_MOST_MS);
}
