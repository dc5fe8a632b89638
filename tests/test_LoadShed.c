#include "testing.h"

#include "LoadShed.h"

#define OBJECTIVE_MS 600
#define COMPUTE_MS 100
#define SPREAD_MS 50
/* MARGIN_SPREADS times the spread; 9 of 10 first tokens are later than
 * expected by no more. */
#define MARGIN_MS 80
#define LEFT_MS 4000

static LoadShedInput_t
make_input(gint64 expected_ms)
{
    return (LoadShedInput_t){.expected_us = expected_ms * 1000,
                             .own_us = COMPUTE_MS * 1000,
                             .spread_us = SPREAD_MS * 1000,
                             .objective_ms = OBJECTIVE_MS,
                             .left_ms = LEFT_MS};
}

static LoadShedDecision_t
decide(gint64 expected_ms)
{
    LoadShedInput_t input = make_input(expected_ms);
    return LoadShed_decide(&input);
}

START_TEST(a_request_that_can_meet_the_objective_is_admitted)
{
    ck_assert(decide(0).admitted);
    ck_assert(decide(OBJECTIVE_MS - MARGIN_MS).admitted);
}
END_TEST

START_TEST(a_request_that_would_be_late_is_shed)
{
    ck_assert(!decide(OBJECTIVE_MS - MARGIN_MS + 1).admitted);
    ck_assert(!decide(3000).admitted);
}
END_TEST

START_TEST(the_retry_time_covers_the_excess_queue)
{
    for (guint i = 0; i < 100; i++) {
        guint after_ms = decide(1000).retry_after_ms;
        ck_assert_uint_ge(after_ms, 1000 + MARGIN_MS - OBJECTIVE_MS);
        ck_assert_uint_le(after_ms, LEFT_MS / 3);
    }
}
END_TEST

START_TEST(retry_times_are_spread)
{
    guint min_ms = G_MAXUINT;
    guint max_ms = 0;
    for (guint i = 0; i < 100; i++) {
        guint after_ms = decide(700).retry_after_ms;
        min_ms = MIN(min_ms, after_ms);
        max_ms = MAX(max_ms, after_ms);
    }
    ck_assert_uint_ge(max_ms - min_ms, 150);
}
END_TEST

START_TEST(the_retry_time_is_limited_by_the_remaining_time)
{
    LoadShedInput_t input = make_input(9000);
    input.left_ms = 3900;
    ck_assert_uint_eq(LoadShed_decide(&input).retry_after_ms, 1300);
    input.left_ms = 300;
    ck_assert_uint_eq(LoadShed_decide(&input).retry_after_ms, 200);
}
END_TEST

START_TEST(a_queue_within_the_error_margin_sheds_nothing)
{
    LoadShedInput_t input = make_input(560);
    input.own_us = 490000;
    ck_assert(LoadShed_decide(&input).admitted);
    input.own_us = 470000;
    ck_assert(!LoadShed_decide(&input).admitted);
}
END_TEST

START_TEST(a_request_expected_after_its_deadline_is_shed)
{
    LoadShedInput_t input = make_input(LEFT_MS);
    ck_assert(!LoadShed_decide(&input).admitted);
    input.own_us = input.expected_us;
    ck_assert(!LoadShed_decide(&input).admitted);
}
END_TEST

START_TEST(a_prompt_longer_than_the_objective_is_admitted)
{
    LoadShedInput_t input = make_input(900);
    input.own_us = OBJECTIVE_MS * 1000 + 1;
    ck_assert(LoadShed_decide(&input).admitted);
    input.own_us = OBJECTIVE_MS * 1000;
    ck_assert(!LoadShed_decide(&input).admitted);
}
END_TEST

/* In bursts during roll-outs of weights, requests waited in engine queues for
 * seconds until the weight update was overdue or their caller's deadline had
 * passed; 4 in 100 failed. First tokens came late, the learned estimate error
 * grew to 0.4 s, and its margin exceeded the objective. Every prompt then
 * counted as longer than the objective, so that requests were admitted that
 * were expected to begin after 2 to 6 s. In the log, request_placed shows a
 * cost_us of seconds and request_shed a spread_us of which 1.6 times exceeds
 * objective_ms. */
START_TEST(large_estimate_errors_admit_nothing_to_a_long_queue)
{
    LoadShedInput_t input = make_input(3000);
    for (gint64 spread_ms = SPREAD_MS; spread_ms <= 500; spread_ms += 50) {
        input.spread_us = spread_ms * 1000;
        LoadShedDecision_t decision = LoadShed_decide(&input);
        ck_assert(!decision.admitted);
        ck_assert_uint_eq(decision.retry_after_ms, LEFT_MS / 3);
    }
}
END_TEST

START_TEST(without_an_objective_all_requests_are_admitted)
{
    LoadShedInput_t input = make_input(3000);
    input.objective_ms = 0;
    ck_assert(LoadShed_decide(&input).admitted);
}
END_TEST

TESTING_MAIN("LoadShed", a_request_that_can_meet_the_objective_is_admitted,
             a_request_that_would_be_late_is_shed,
             the_retry_time_covers_the_excess_queue, retry_times_are_spread,
             the_retry_time_is_limited_by_the_remaining_time,
             a_queue_within_the_error_margin_sheds_nothing,
             a_request_expected_after_its_deadline_is_shed,
             a_prompt_longer_than_the_objective_is_admitted,
             large_estimate_errors_admit_nothing_to_a_long_queue,
             without_an_objective_all_requests_are_admitted)
