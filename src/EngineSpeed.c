#include "EngineSpeed.h"

#include <math.h>

/* Below, the time is that of the way and of the step that runs. */
#define TOKENS_MIN 500
/* One in five first tokens comes quicker than what is followed. */
#define QUANTILE 0.2
/* Each observation moves the estimate by about so large a share of it, at the
 * start and in the end: within 2 of 100 after some thirty. */
#define FIRST_STEP 0.5
#define LAST_STEP 0.04
#define STEP_HALVES_AFTER 6.0
/* A smaller change is not worth the look at all engines. */
#define CHANGE_LEAST 0.02
/* What an observation can be, in us a token; others are errors. */
#define LEAST_US 1.0
#define MOST_US 10000.0

void
EngineSpeed_init(EngineSpeed_t *this, double us_per_token)
{
    *this = (EngineSpeed_t){us_per_token, us_per_token, 0};
}

static double
step_of(const EngineSpeed_t *this)
{
    double step = FIRST_STEP / (1 + this->seen / STEP_HALVES_AFTER);
    return MAX(step, LAST_STEP);
}

void
EngineSpeed_note(EngineSpeed_t *this, gint64 waited_us, guint tokens)
{
    if (tokens < TOKENS_MIN) {
        return;
    }
    double seen_us = CLAMP((double)waited_us / tokens, LEAST_US, MOST_US);
    double step = step_of(this);
    double share = seen_us < this->us_per_token ? QUANTILE - 1 : QUANTILE;
    this->us_per_token *= 1 + step * share;
    this->seen++;
}

gboolean
EngineSpeed_hasChanged(EngineSpeed_t *this)
{
    if (fabs(this->us_per_token - this->told_us) <
        CHANGE_LEAST * this->told_us) {
        return FALSE;
    }
    this->told_us = this->us_per_token;
    return TRUE;
}
