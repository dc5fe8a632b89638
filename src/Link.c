#include "Link.h"

#include <math.h>

#include "Clock.h"

/* What was learned of a link counts half after so long: a queue of moves of
 * some hundred milliseconds has changed by then. */
#define EXCESS_HALF_LIFE_MS 400.0
/* Share of a new observation in what is known. */
#define EXCESS_GAIN 0.4

gint64
Link_ownUs(const Link_t *this, gint64 now_us)
{
    return MAX(this->busy_until_us - now_us, 0);
}

void
Link_begin(Link_t *giver, Link_t *taker, gint64 move_us, gint64 now_us)
{
    gint64 begin_us =
        now_us + MAX(Link_ownUs(giver, now_us), Link_ownUs(taker, now_us));
    giver->busy_until_us = begin_us + move_us;
    taker->busy_until_us = begin_us + move_us;
}

static double
excess_us(const Link_t *this, gint64 now_ms)
{
    double age_ms = (double)(now_ms - this->excess_at_ms);
    return this->excess_us * exp2(-age_ms / EXCESS_HALF_LIFE_MS);
}

gint64
Link_waitUs(const Link_t *this, gint64 now_us)
{
    return Link_ownUs(this, now_us) + this->others_us +
           (gint64)excess_us(this, now_us / CLOCK_US_PER_MS);
}

void
Link_noteExcess(Link_t *this, gint64 more_us, gint64 now_ms)
{
    double known_us = excess_us(this, now_ms);
    double seen_us = MAX(known_us + (double)more_us, 0.0);
    this->excess_us = known_us + (seen_us - known_us) * EXCESS_GAIN;
    this->excess_at_ms = now_ms;
}
