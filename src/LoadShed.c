#include "LoadShed.h"

#include "Clock.h"
#include "Log.h"

/* A caller that comes with less than this share of the route's time has most
 * likely been refused before. */
#define REPEAT_PERCENT 85
/* Such a one is served late rather than refused again, as long as the answer
 * begins within this share of the time that is left. */
#define LATE_PERCENT 50
/* A queue is one that takes so large a part of the objective. */
#define QUEUE_PARTS 4
/* Callers wait a third of their time at the most before they come back. */
#define WAIT_PARTS 3
#define RETRY_LEAST_MS 200
/* Queues are shared by callers that come back together: the wait is that for
 * the queue to shrink to this share of the objective. */
#define CALM_PERCENT 50

static gboolean
is_repeat(const LoadShedFacts_t *facts)
{
    return facts->limit_ms > 0 &&
           facts->left_ms * 100 < facts->limit_ms * REPEAT_PERCENT;
}

static gint64
longest_wait_ms(const LoadShedFacts_t *facts)
{
    gint64 wait_ms = facts->objective_ms * facts->percent / 100;
    if (is_repeat(facts)) {
        wait_ms = MAX(wait_ms, facts->left_ms * LATE_PERCENT / 100);
    }
    return wait_ms;
}

/* Where hardly anything is ahead of it, a refusal would free nothing. */
static gboolean
is_queued(const LoadShedFacts_t *facts)
{
    gint64 ahead_us = facts->expected_us - facts->own_us;
    return ahead_us * QUEUE_PARTS > facts->objective_ms * CLOCK_US_PER_MS;
}

static guint
retry_after_ms(const LoadShedFacts_t *facts)
{
    gint64 calm_ms = facts->objective_ms * CALM_PERCENT / 100;
    gint64 wait_ms = facts->expected_us / CLOCK_US_PER_MS - calm_ms;
    gint64 most_ms = MAX(facts->left_ms / WAIT_PARTS, RETRY_LEAST_MS);
    return (guint)CLAMP(wait_ms, RETRY_LEAST_MS, most_ms);
}

LoadShedPlan_t
LoadShed_decide(const LoadShedFacts_t *facts)
{
    LoadShedPlan_t plan = {.admitted = TRUE};
    if (facts->percent == 0 || facts->objective_ms == 0 || !is_queued(facts) ||
        facts->expected_us <= longest_wait_ms(facts) * CLOCK_US_PER_MS) {
        return plan;
    }
    plan.admitted = FALSE;
    plan.retry_after_ms = retry_after_ms(facts);
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
    Log_number("objective_ms", facts->objective_ms);
    Log_number("left_ms", facts->left_ms);
    Log_number("limit_ms", facts->limit_ms);
    Log_number("retry_after_ms", plan->retry_after_ms);
    Log_end();
}
