#include "PromptTime.h"

#include <math.h>

/* Weight that an observation keeps with each further one of its kind, so that
 * the line covers about the last hundred of each. */
#define KEEP 0.99
/* Prompts from this length on are long. Short prompts may outnumber them by
 * twenty to one, and would displace them, if both were one kind. */
#define LONG_TOKENS 1000
/* Fixed part without observations: the network and one step of an engine. It
 * counts as one observation, so that prompts of one length suffice to learn
 * the slope. */
#define INITIAL_BASE_US 20000.0
/* Observations of which a single one can't set the line. */
#define SAMPLES_MIN 8
/* Sum of the squared deviations of the lengths from their mean. First tokens
 * that vary by 10 ms put the slope off by 10 ms divided by its root, which is
 * 2.5 us a token. */
#define SPREAD_MIN (4000.0 * 4000.0)
/* A first token that takes longer than so many times the expected time has met
 * a fault or a queue, and counts as this much. */
#define OUTLIER_FACTOR 2.0
/* Longest plausible fixed part. */
#define BASE_US_MAX 100000.0

/* Weighted sums over observations. */
typedef struct {
    double weight;
    double tokens;
    double us;
    double tokens_tokens;
    double tokens_us;
} Sums_t;

struct PromptTime {
    Sums_t short_sums;
    Sums_t long_sums;
    guint samples; /* up to SAMPLES_MIN */
    gboolean is_learned;
    double base_us;
    double us_per_token;
};

PromptTime_t *
PromptTime_create(double us_per_token)
{
    PromptTime_t *this = g_new0(PromptTime_t, 1);
    this->base_us = INITIAL_BASE_US;
    this->us_per_token = CLAMP(us_per_token, PROMPT_TIME_SLOPE_US_MIN,
                               PROMPT_TIME_SLOPE_US_MAX);
    return this;
}

void
PromptTime_destroy(PromptTime_t *this)
{
    g_free(this);
}

static double
expected_us(const PromptTime_t *this, guint tokens)
{
    return this->base_us + this->us_per_token * tokens;
}

static double
plausible_us(const PromptTime_t *this, guint tokens, gint64 waited_us)
{
    double max_us = BASE_US_MAX + PROMPT_TIME_SLOPE_US_MAX * tokens;
    if (this->is_learned) {
        max_us = MIN(max_us, OUTLIER_FACTOR * expected_us(this, tokens));
    }
    return CLAMP((double)waited_us, 0, max_us);
}

static void
add_observation(Sums_t *sums, double tokens, double us)
{
    sums->weight = sums->weight * KEEP + 1;
    sums->tokens = sums->tokens * KEEP + tokens;
    sums->us = sums->us * KEEP + us;
    sums->tokens_tokens = sums->tokens_tokens * KEEP + tokens * tokens;
    sums->tokens_us = sums->tokens_us * KEEP + tokens * us;
}

static Sums_t
all_sums(const PromptTime_t *this)
{
    const Sums_t *a = &this->short_sums;
    const Sums_t *b = &this->long_sums;
    return (Sums_t){
        .weight = a->weight + b->weight + 1,
        .tokens = a->tokens + b->tokens,
        .us = a->us + b->us + INITIAL_BASE_US,
        .tokens_tokens = a->tokens_tokens + b->tokens_tokens,
        .tokens_us = a->tokens_us + b->tokens_us,
    };
}

/* The slope is fitted again to a base that had to be clamped. */
static void
fit_line(PromptTime_t *this, const Sums_t *sums, double spread)
{
    double slope_us =
        (sums->tokens_us - sums->tokens * sums->us / sums->weight) / spread;
    double base_us = (sums->us - slope_us * sums->tokens) / sums->weight;
    this->base_us = CLAMP(base_us, 0, BASE_US_MAX);
    slope_us =
        (sums->tokens_us - this->base_us * sums->tokens) / sums->tokens_tokens;
    this->us_per_token =
        CLAMP(slope_us, PROMPT_TIME_SLOPE_US_MIN, PROMPT_TIME_SLOPE_US_MAX);
}

void
PromptTime_note(PromptTime_t *this, guint tokens, gint64 waited_us)
{
    double us = plausible_us(this, tokens, waited_us);
    gboolean is_long = tokens >= LONG_TOKENS;
    add_observation(is_long ? &this->long_sums : &this->short_sums, tokens,
                    us);
    this->samples = MIN(this->samples + 1, SAMPLES_MIN);
    Sums_t sums = all_sums(this);
    double spread =
        sums.tokens_tokens - sums.tokens * sums.tokens / sums.weight;
    if (this->samples == SAMPLES_MIN && spread >= SPREAD_MIN) {
        fit_line(this, &sums, spread);
        this->is_learned = TRUE;
    }
}

gint64
PromptTime_baseUs(const PromptTime_t *this)
{
    return (gint64)this->base_us;
}

gint64
PromptTime_computeUs(const PromptTime_t *this, guint tokens)
{
    return (gint64)(this->us_per_token * tokens);
}

double
PromptTime_usPerToken(const PromptTime_t *this)
{
    return this->us_per_token;
}
