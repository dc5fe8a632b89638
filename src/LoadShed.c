#include "LoadShed.h"

#include "Clock.h"
#include "Log.h"
#include "Random.h"

/* Safety margin in mean estimate errors: 9 of 10 requests meet the objective
 * if the errors are normally distributed. */
#define MARGIN_SPREADS 1.6
/* A few round trips. */
#define RETRY_AFTER_MIN_MS 200
/* Callers wait at most their remaining time divided by this before a retry. */
#define RETRY_AFTER_MAX_DIVISOR 3

static gint64
margin_us(gint64 spread_us)
{
    return (gint64)(MARGIN_SPREADS * (double)spread_us);
}

gint64
LoadShed_latestUs(gint64 objective_ms, gint64 spread_us)
{
    return objective_ms * CLOCK_US_PER_MS - margin_us(spread_us);
}

static gint64
queue_us(const LoadShedInput_t *input)
{
    return MAX(input->expected_us - input->own_us, 0);
}

static gboolean
meets_objective(const LoadShedInput_t *input, gint64 expected_us)
{
    return expected_us <=
           LoadShed_latestUs(input->objective_ms, input->spread_us);
}

/* A queue shorter than the estimate's margin of error may be empty. */
static gboolean
is_queued(const LoadShedInput_t *input)
{
    return queue_us(input) > margin_us(input->spread_us);
}

static gboolean
exceeds_caller_timeout(const LoadShedInput_t *input)
{
    return input->expected_us >= input->left_ms * CLOCK_US_PER_MS;
}

/* The time until the queue has shrunk enough for the request to be in time if
 * no other request arrives, plus a random part of up to half of the queue, so
 * that callers shed together do not retry together. */
static guint
compute_retry_after_ms(const LoadShedInput_t *input)
{
    gint64 queue_ms = queue_us(input) / CLOCK_US_PER_MS;
    gint64 excess_ms =
        (input->expected_us + margin_us(input->spread_us)) / CLOCK_US_PER_MS -
        input->objective_ms;
    gint64 wait_ms = excess_ms + Random_below((guint32)queue_ms / 2 + 1);
    gint64 max_ms =
        MAX(input->left_ms / RETRY_AFTER_MAX_DIVISOR, RETRY_AFTER_MIN_MS);
    return (guint)CLAMP(wait_ms, RETRY_AFTER_MIN_MS, max_ms);
}

/* A prompt that takes longer to compute than the objective is late even with
 * an empty queue. The margin is not applied here: once it exceeded the
 * objective, even the shortest prompt would be admitted to any queue, which
 * makes the estimates worse still. */
static gboolean
is_late_unqueued(const LoadShedInput_t *input)
{
    return input->own_us > input->objective_ms * CLOCK_US_PER_MS;
}

/* Keeps the queue short enough for a new request to meet the objective. A
 * retry of a shed request follows the same rule: admitting retries to any
 * queue that they have time for lowers the total value of the answers under
 * high load. */
static gboolean
is_admitted(const LoadShedInput_t *input)
{
    if (input->objective_ms == 0) {
        return TRUE;
    }
    if (exceeds_caller_timeout(input)) {
        return FALSE;
    }
    return meets_objective(input, input->expected_us) || !is_queued(input) ||
           is_late_unqueued(input);
}

LoadShedDecision_t
LoadShed_decide(const LoadShedInput_t *input)
{
    LoadShedDecision_t decision = {.admitted = is_admitted(input)};
    if (!decision.admitted) {
        decision.retry_after_ms = compute_retry_after_ms(input);
    }
    return decision;
}

void
LoadShed_log(const LoadShedInput_t *input, const LoadShedDecision_t *decision,
             const char *request, const char *upstream)
{
    Log_begin(LOG_LEVEL_INFO, "request_shed");
    Log_text("request", request);
    Log_text("upstream", upstream);
    Log_number("expected_us", input->expected_us);
    Log_number("own_us", input->own_us);
    Log_number("spread_us", input->spread_us);
    Log_number("objective_ms", input->objective_ms);
    Log_number("left_ms", input->left_ms);
    Log_number("retry_after_ms", decision->retry_after_ms);
    Log_end();
}
