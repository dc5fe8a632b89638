#include "LocalShare.h"

#include <math.h>

#include "Clock.h"
#include "Random.h"

/* Time constant of the decay of the admitted units: short compared with
 * changes of a customer's load, long compared with the time between its
 * requests at one of many routers. */
#define DECAY_MS 2000.0
/* Number of different initial levels for an exact limit. */
#define START_STEPS 1024

static void
decay(LocalShare_t *this, gint64 now_ms)
{
    gint64 elapsed_ms = MAX(now_ms - this->used_ms, 0);
    this->used *= exp(-(double)elapsed_ms / DECAY_MS);
    this->used_ms = now_ms;
}

void
LocalShare_noteAdmitted(LocalShare_t *this, double units, gint64 now_ms)
{
    decay(this, now_ms);
    this->used = MAX(this->used + units, 0);
}

static RateLimit_t
compute_share(LocalShare_t *this, const LocalShareInput_t *input,
              gint64 now_ms)
{
    double routers = MAX(input->routers, 1);
    RateLimit_t share = input->limit;
    share.per_s /= routers;
    share.burst /= routers;
    decay(this, now_ms);
    if (!input->exhausted && !input->limit.exact) {
        double used_per_s = this->used / (DECAY_MS / CLOCK_MS_PER_S);
        share.per_s = MAX(share.per_s, used_per_s);
        share.per_s = MIN(share.per_s, input->limit.per_s);
    }
    return share;
}

/* Each router's share of an exact limit is less than one request. Random
 * initial debts spread the first requests of the routers over time; otherwise
 * every router would admit one request at the same moment. */
static void
init_bucket(LocalShare_t *this, const LocalShareInput_t *input,
            const RateLimit_t *share, double units, gint64 now_ms)
{
    TokenBucket_init(&this->bucket, share, input->exhausted ? 0 : 1, now_ms);
    if (share->exact) {
        this->bucket.level = -units * Random_below(START_STEPS) / START_STEPS;
    }
    this->started = TRUE;
}

gboolean
LocalShare_take(LocalShare_t *this, const LocalShareInput_t *input,
                double units, gint64 now_ms)
{
    RateLimit_t share = compute_share(this, input, now_ms);
    if (!this->started) {
        init_bucket(this, input, &share, units, now_ms);
    }
    TokenBucket_setLimit(&this->bucket, &share, now_ms);
    if (input->exhausted && !share.exact && this->bucket.level < units) {
        return FALSE;
    }
    return TokenBucket_take(&this->bucket, units, now_ms);
}

guint
LocalShare_noteRefused(LocalShare_t *this, double units, gint64 now_ms)
{
    return TokenBucket_noteRefused(&this->bucket, units, now_ms);
}
