#include "EngineSpeed.h"

#include <math.h>

/* For shorter prompts the network and the engine's current step make up most
 * of the delay. */
#define TOKENS_MIN 500
/* Quantile of the delays that is followed: one in five is shorter. */
#define QUANTILE 0.2
/* Relative step of the estimate for each observation. It shrinks from the
 * first value to the last one and halves after STEP_HALVES_AFTER observations;
 * the estimate is within 2 % after about thirty. */
#define FIRST_STEP 0.5
#define LAST_STEP 0.04
#define STEP_HALVES_AFTER 6.0
/* A smaller relative change does not justify an update of all engines. */
#define CHANGE_MIN 0.02
/* Range of a plausible observation; others are clamped to it. */
#define US_PER_TOKEN_MIN 1.0
#define US_PER_TOKEN_MAX 10000.0

void
EngineSpeed_init(EngineSpeed_t *this, double us_per_token)
{
    *this = (EngineSpeed_t){us_per_token, us_per_token, 0};
}

static double
current_step(const EngineSpeed_t *this)
{
    double step = FIRST_STEP / (1 + this->samples / STEP_HALVES_AFTER);
    return MAX(step, LAST_STEP);
}

void
EngineSpeed_note(EngineSpeed_t *this, gint64 waited_us, guint tokens)
{
    if (tokens < TOKENS_MIN) {
        return;
    }
    double observed_us =
        CLAMP((double)waited_us / tokens, US_PER_TOKEN_MIN, US_PER_TOKEN_MAX);
    double step = current_step(this);
    double direction =
        observed_us < this->us_per_token ? QUANTILE - 1 : QUANTILE;
    this->us_per_token *= 1 + step * direction;
    this->samples++;
}

gboolean
EngineSpeed_consumeChange(EngineSpeed_t *this)
{
    if (fabs(this->us_per_token - this->published_us_per_token) <
        CHANGE_MIN * this->published_us_per_token) {
        return FALSE;
    }
    this->published_us_per_token = this->us_per_token;
    return TRUE;
}
