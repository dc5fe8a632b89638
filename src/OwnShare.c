#include "OwnShare.h"

#include <math.h>

#include "Clock.h"
#include "Random.h"

/* What was let in fades by this time: short against a change of a customer's
 * load, long against the pause between its requests at one router of many. */
#define FADE_MS 2000.0
/* Places of a turn that a router draws by chance. */
#define TURNS 1024

static void
fade(OwnShare_t *this, gint64 now_ms)
{
    gint64 passed_ms = MAX(now_ms - this->used_ms, 0);
    this->used *= exp(-(double)passed_ms / FADE_MS);
    this->used_ms = now_ms;
}

void
OwnShare_note(OwnShare_t *this, double units, gint64 now_ms)
{
    fade(this, now_ms);
    this->used = MAX(this->used + units, 0);
}

static RateLimit_t
share_of(OwnShare_t *this, const OwnShareFacts_t *facts, gint64 now_ms)
{
    double routers = MAX(facts->routers, 1);
    RateLimit_t share = facts->limit;
    share.per_s /= routers;
    share.burst /= routers;
    fade(this, now_ms);
    if (!facts->pressed && !facts->limit.exact) {
        double used_per_s = this->used / (FADE_MS / CLOCK_MS_PER_S);
        share.per_s = MAX(share.per_s, used_per_s);
        share.per_s = MIN(share.per_s, facts->limit.per_s);
    }
    return share;
}

/* Of an exact limit each router has less than one request; their turns come at
 * different times, as all of them at once would be as many as there are
 * routers. */
static void
begin(OwnShare_t *this, const OwnShareFacts_t *facts, const RateLimit_t *share,
      double units, gint64 now_ms)
{
    TokenBucket_init(&this->bucket, share, facts->pressed ? 0 : 1, now_ms);
    if (share->exact) {
        this->bucket.level = -units * Random_below(TURNS) / TURNS;
    }
    this->begun = TRUE;
}

gboolean
OwnShare_take(OwnShare_t *this, const OwnShareFacts_t *facts, double units,
              gint64 now_ms)
{
    RateLimit_t share = share_of(this, facts, now_ms);
    if (!this->begun) {
        begin(this, facts, &share, units, now_ms);
    }
    TokenBucket_setLimit(&this->bucket, &share, now_ms);
    if (facts->pressed && !share.exact && this->bucket.level < units) {
        return FALSE;
    }
    return TokenBucket_take(&this->bucket, units, now_ms);
}

guint
OwnShare_refuse(OwnShare_t *this, double units, gint64 now_ms)
{
    return TokenBucket_refuse(&this->bucket, units, now_ms);
}
