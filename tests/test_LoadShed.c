#include "testing.h"

#include "LoadShed.h"

#define OBJECTIVE_MS 600
#define OWN_MS 100
#define SPREAD_MS 50
/* Nine of ten are not off by more. */
#define MARGIN_MS 80
#define LEFT_MS 4000

static LoadShedFacts_t
facts(gint64 expected_ms)
{
    return (LoadShedFacts_t){.expected_us = expected_ms * 1000,
                             .own_us = OWN_MS * 1000,
                             .spread_us = SPREAD_MS * 1000,
                             .objective_ms = OBJECTIVE_MS,
                             .left_ms = LEFT_MS};
}

static LoadShedPlan_t
decide(gint64 expected_ms)
{
    LoadShedFacts_t known = facts(expected_ms);
    return LoadShed_decide(&known);
}

START_TEST(what_can_be_in_time_is_placed)
{
    ck_assert(decide(0).admitted);
    ck_assert(decide(OBJECTIVE_MS - MARGIN_MS).admitted);
}
END_TEST

START_TEST(what_would_be_late_is_refused)
{
    ck_assert(!decide(OBJECTIVE_MS - MARGIN_MS + 1).admitted);
    ck_assert(!decide(3000).admitted);
}
END_TEST

START_TEST(it_may_come_back_when_there_is_room)
{
    for (guint i = 0; i < 100; i++) {
        guint after_ms = decide(1000).retry_after_ms;
        ck_assert_uint_ge(after_ms, 1000 + MARGIN_MS - OBJECTIVE_MS);
        ck_assert_uint_le(after_ms, LEFT_MS / 3);
    }
}
END_TEST

START_TEST(those_who_come_back_are_spread)
{
    guint least = G_MAXUINT;
    guint most = 0;
    for (guint i = 0; i < 100; i++) {
        guint after_ms = decide(700).retry_after_ms;
        least = MIN(least, after_ms);
        most = MAX(most, after_ms);
    }
    ck_assert_uint_ge(most - least, 150);
}
END_TEST

START_TEST(the_wait_is_one_that_callers_keep)
{
    LoadShedFacts_t known = facts(9000);
    known.left_ms = 3900;
    ck_assert_uint_eq(LoadShed_decide(&known).retry_after_ms, 1300);
    known.left_ms = 300;
    ck_assert_uint_eq(LoadShed_decide(&known).retry_after_ms, 200);
}
END_TEST

START_TEST(a_queue_that_may_be_none_refuses_nobody)
{
    LoadShedFacts_t known = facts(560);
    known.own_us = 490000;
    ck_assert(LoadShed_decide(&known).admitted);
    known.own_us = 470000;
    ck_assert(!LoadShed_decide(&known).admitted);
}
END_TEST

START_TEST(what_cannot_begin_while_its_caller_waits_is_refused)
{
    LoadShedFacts_t known = facts(LEFT_MS);
    ck_assert(!LoadShed_decide(&known).admitted);
    known.own_us = known.expected_us;
    ck_assert(!LoadShed_decide(&known).admitted);
}
END_TEST

START_TEST(what_is_late_by_its_own_length_is_placed)
{
    LoadShedFacts_t known = facts(900);
    known.own_us = OBJECTIVE_MS * 1000 + 1;
    ck_assert(LoadShed_decide(&known).admitted);
    known.own_us = OBJECTIVE_MS * 1000;
    ck_assert(!LoadShed_decide(&known).admitted);
}
END_TEST

/* Symptom: in bursts beside roll-outs of weights requests waited for seconds
 * at engines and ended there, taken back as the engine's weights were overdue
 * or because their caller's time was over; 4 in 100 failed.
 * Sequence: queues grew, first tokens came later than expected, the learned
 * miss grew to 0.4 s; from then on hardly anything was refused, and requests
 * were placed that were expected to begin after 2 to 6 s.
 * Cause: what nine of ten estimates are off by was then more than the
 * objective, so that every prompt, however short, counted as one that is late
 * by its own length, which is let into any queue.
 * Settled by: request_placed with cost_us of seconds, and request_shed with
 * spread_us of which 1.6 times is more than objective_ms. */
START_TEST(estimates_that_are_far_off_let_nobody_into_a_long_queue)
{
    LoadShedFacts_t known = facts(3000);
    for (gint64 spread_ms = SPREAD_MS; spread_ms <= 500; spread_ms += 50) {
        known.spread_us = spread_ms * 1000;
        LoadShedPlan_t plan = LoadShed_decide(&known);
        ck_assert(!plan.admitted);
        ck_assert_uint_eq(plan.retry_after_ms, LEFT_MS / 3);
    }
}
END_TEST

START_TEST(without_an_objective_all_are_placed)
{
    LoadShedFacts_t known = facts(3000);
    known.objective_ms = 0;
    ck_assert(LoadShed_decide(&known).admitted);
}
END_TEST

TESTING_MAIN("LoadShed", what_can_be_in_time_is_placed,
             what_would_be_late_is_refused,
             it_may_come_back_when_there_is_room,
             those_who_come_back_are_spread, the_wait_is_one_that_callers_keep,
             a_queue_that_may_be_none_refuses_nobody,
             what_cannot_begin_while_its_caller_waits_is_refused,
             what_is_late_by_its_own_length_is_placed,
             estimates_that_are_far_off_let_nobody_into_a_long_queue,
             without_an_objective_all_are_placed)
