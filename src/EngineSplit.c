#include "EngineSplit.h"

#include "Clock.h"

/* Weight of one stream in the moving average of late streams: the average
 * covers about 20 streams, so that all routers react soon. */
#define LATE_GAIN 0.05
/* Fractions of late streams at which the engines are split and rejoined. */
#define SPLIT_ABOVE 0.08
#define JOIN_BELOW 0.005
/* Weight of one request in the moving average of work, which covers some
 * hundred requests. */
#define WORK_GAIN 0.01
/* Engines for short prompts beyond the fraction of the work that these cause,
 * as their streams go on after the prompt is computed. A smaller margin leaves
 * more streams with pauses over the target. */
#define EXTRA_FRACTION 0.20

struct EngineSplit {
    double late_fraction; /* of streams with a pause over the target */
    gboolean is_split;
    double short_us; /* mean work per request; long prompts count as 0 */
    double long_us;  /* the same, where short prompts count as 0 */
};

EngineSplit_t *
EngineSplit_create(void)
{
    return g_new0(EngineSplit_t, 1);
}

void
EngineSplit_destroy(EngineSplit_t *this)
{
    g_free(this);
}

void
EngineSplit_noteStream(EngineSplit_t *this, gint64 pause_us, gint64 target_ms)
{
    if (target_ms == 0) {
        return;
    }
    double is_late = pause_us > target_ms * CLOCK_US_PER_MS ? 1 : 0;
    this->late_fraction += (is_late - this->late_fraction) * LATE_GAIN;
    this->is_split = this->is_split ? this->late_fraction > JOIN_BELOW
                                    : this->late_fraction > SPLIT_ABOVE;
}

void
EngineSplit_noteWork(EngineSplit_t *this, gboolean is_short, gint64 work_us)
{
    double us = (double)work_us;
    this->short_us += ((is_short ? us : 0) - this->short_us) * WORK_GAIN;
    this->long_us += ((is_short ? 0 : us) - this->long_us) * WORK_GAIN;
}

double
EngineSplit_shortPromptFraction(const EngineSplit_t *this)
{
    double all_us = this->short_us + this->long_us;
    if (!this->is_split || all_us <= 0) {
        return 0;
    }
    return MIN(this->short_us / all_us + EXTRA_FRACTION, 1);
}
