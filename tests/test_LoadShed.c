#include "testing.h"

#include "LoadShed.h"

static LoadShedFacts_t
facts(gint64 expected_ms, gint64 left_ms)
{
    return (LoadShedFacts_t){.expected_us = expected_ms * 1000,
                             .objective_ms = 600,
                             .percent = 100,
                             .left_ms = left_ms,
                             .limit_ms = 4000};
}

static LoadShedPlan_t
decide(gint64 expected_ms, gint64 left_ms)
{
    LoadShedFacts_t known = facts(expected_ms, left_ms);
    return LoadShed_decide(&known);
}

START_TEST(what_can_be_in_time_is_placed)
{
    ck_assert(decide(0, 4000).admitted);
    ck_assert(decide(600, 4000).admitted);
}
END_TEST

START_TEST(what_would_be_late_is_refused_with_the_time_to_come_back)
{
    LoadShedPlan_t plan = decide(1000, 4000);
    ck_assert(!plan.admitted);
    ck_assert_uint_eq(plan.retry_after_ms, 700);
}
END_TEST

START_TEST(the_wait_is_one_that_callers_keep)
{
    ck_assert_uint_eq(decide(9000, 3900).retry_after_ms, 1300);
    ck_assert_uint_eq(decide(9000, 300).retry_after_ms, 200);
    ck_assert_uint_eq(decide(601, 4000).retry_after_ms, 301);
}
END_TEST

START_TEST(who_comes_back_is_rather_served_late)
{
    ck_assert(decide(1000, 3000).admitted);
    ck_assert(!decide(1600, 3000).admitted);
}
END_TEST

START_TEST(what_is_late_by_its_own_length_is_placed)
{
    LoadShedFacts_t known = facts(900, 4000);
    known.own_us = 800000;
    ck_assert(LoadShed_decide(&known).admitted);
    known.own_us = 700000;
    ck_assert(!LoadShed_decide(&known).admitted);
}
END_TEST

START_TEST(without_a_limit_or_objective_all_are_placed)
{
    LoadShedFacts_t known = facts(9000, 4000);
    known.percent = 0;
    ck_assert(LoadShed_decide(&known).admitted);
    known = facts(9000, 4000);
    known.objective_ms = 0;
    ck_assert(LoadShed_decide(&known).admitted);
    known = facts(700, 1000);
    known.limit_ms = 0;
    ck_assert(!LoadShed_decide(&known).admitted);
}
END_TEST

TESTING_MAIN("LoadShed", what_can_be_in_time_is_placed,
             what_would_be_late_is_refused_with_the_time_to_come_back,
             the_wait_is_one_that_callers_keep,
             who_comes_back_is_rather_served_late,
             what_is_late_by_its_own_length_is_placed,
             without_a_limit_or_objective_all_are_placed)
