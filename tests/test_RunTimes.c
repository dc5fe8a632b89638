#include "testing.h"

#include "RunTimes.h"

START_TEST(the_expected_time_is_zero_before_any_stream)
{
    RunTimes_t *times = RunTimes_create();
    ck_assert_int_eq(RunTimes_expectedUs(times, "a"), 0);
    RunTimes_destroy(times);
}
END_TEST

START_TEST(each_route_has_its_own_mean)
{
    RunTimes_t *times = RunTimes_create();
    for (int i = 0; i < 100; i++) {
        RunTimes_note(times, "long", 2000000 + (i % 2) * 400000);
        RunTimes_note(times, "short", 100000);
    }
    ck_assert_int_ge(RunTimes_expectedUs(times, "long"), 2100000);
    ck_assert_int_le(RunTimes_expectedUs(times, "long"), 2300000);
    ck_assert_int_le(RunTimes_expectedUs(times, "short"), 100000);
    ck_assert_int_ge(RunTimes_expectedUs(times, "short"), 99000);
    RunTimes_destroy(times);
}
END_TEST

START_TEST(the_mean_follows_a_change)
{
    RunTimes_t *times = RunTimes_create();
    RunTimes_note(times, "a", 1000000);
    for (int i = 0; i < 50; i++) {
        RunTimes_note(times, "a", 100000);
    }
    ck_assert_int_le(RunTimes_expectedUs(times, "a"), 110000);
    RunTimes_destroy(times);
}
END_TEST

TESTING_MAIN("RunTimes", the_expected_time_is_zero_before_any_stream,
             each_route_has_its_own_mean, the_mean_follows_a_change)
