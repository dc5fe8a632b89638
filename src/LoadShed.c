#include "LoadShed.h"

#include "Clock.h"
#include "Log.h"
#include "Random.h"

/* So many times the mean miss leave nine of ten in time, where misses are
 * spread as of many small causes. */
#define SPREADS 1.6
/* Nobody is asked to come back sooner: a few round trips. */
#define RETRY_LEAST_MS 200
/* Callers wait a third of their time at the most before they come back. */
#define WAIT_PARTS 3

static gint64
margin_us(gint64 spread_us)
{
    return (gint64)(SPREADS * (double)spread_us);
}

gint64
LoadShed_latestUs(gint64 objective_ms, gint64 spread_us)
{
    return objective_ms * CLOCK_US_PER_MS - margin_us(spread_us);
}

static gint64
ahead_us(const LoadShedFacts_t *facts)
{
    return MAX(facts->expected_us - facts->own_us, 0);
}

/* Whether one that comes now would begin in time after so much. */
static gboolean
is_in_time(const LoadShedFacts_t *facts, gint64 begins_us)
{
    return begins_us <=
           LoadShed_latestUs(facts->objective_ms, facts->spread_us);
}

/* A queue that is no longer than what estimates are off by may be none. */
static gboolean
is_queued(const LoadShedFacts_t *facts)
{
    return ahead_us(facts) > margin_us(facts->spread_us);
}

static gboolean
is_hopeless(const LoadShedFacts_t *facts)
{
    return facts->expected_us >= facts->left_ms * CLOCK_US_PER_MS;
}

/* When it would be in time if nothing came before it; by up to half of the
 * queue later, so that those who are refused together come back apart. */
static guint
retry_after_ms(const LoadShedFacts_t *facts)
{
    gint64 ahead_ms = ahead_us(facts) / CLOCK_US_PER_MS;
    gint64 room_ms =
        (facts->expected_us + margin_us(facts->spread_us)) / CLOCK_US_PER_MS -
        facts->objective_ms;
    gint64 wait_ms = room_ms + Random_below((guint32)ahead_ms / 2 + 1);
    gint64 most_ms = MAX(facts->left_ms / WAIT_PARTS, RETRY_LEAST_MS);
    return (guint)CLAMP(wait_ms, RETRY_LEAST_MS, most_ms);
}

/* A prompt that takes longer than the objective is late without any queue.
 * What estimates are off by does not count here: once they are off by more
 * than the objective, the shortest prompt would be let into any queue, which
 * makes estimates worse still. */
static gboolean
is_late_alone(const LoadShedFacts_t *facts)
{
    return facts->own_us > facts->objective_ms * CLOCK_US_PER_MS;
}

/* The queue is kept so short that one who comes for the first time can be in
 * time; those who come again wait for the same. Where these were let to wait
 * as long as they would, days of high load were worth 0.36 instead of 0.49
 * (mean of 16 runs each). */
static gboolean
is_admitted(const LoadShedFacts_t *facts)
{
    if (facts->objective_ms == 0) {
        return TRUE;
    }
    if (is_hopeless(facts)) {
        return FALSE;
    }
    return is_in_time(facts, facts->expected_us) || !is_queued(facts) ||
           is_late_alone(facts);
}

LoadShedPlan_t
LoadShed_decide(const LoadShedFacts_t *facts)
{
    LoadShedPlan_t plan = {.admitted = is_admitted(facts)};
    if (!plan.admitted) {
        plan.retry_after_ms = retry_after_ms(facts);
    }
    return plan;
}

void
LoadShed_log(const LoadShedFacts_t *facts, const LoadShedPlan_t *plan,
             const char *request, const char *upstream)
{
    Log_begin(LOG_LEVEL_INFO, "request_shed");
    Log_text("request", request);
    Log_text("upstream", upstream);
    Log_number("expected_us", facts->expected_us);
    Log_number("own_us", facts->own_us);
    Log_number("spread_us", facts->spread_us);
    Log_number("objective_ms", facts->objective_ms);
    Log_number("left_ms", facts->left_ms);
    Log_number("retry_after_ms", plan->retry_after_ms);
    Log_end();
}
