#include "testing.h"

#include "AnswerTimes.h"

static void
note_times(AnswerTimes_t *times, const char *route, gint64 us, int count)
{
    for (int i = 0; i < count; i++) {
        AnswerTimes_note(times, route, us);
    }
}

START_TEST(a_route_is_known_after_some_answers)
{
    AnswerTimes_t *times = AnswerTimes_create();
    ck_assert_int_eq(AnswerTimes_get(times, "a").mean_us, 0);
    note_times(times, "a", 1000, 4);
    ck_assert_int_eq(AnswerTimes_get(times, "a").mean_us, 0);
    note_times(times, "a", 1000, 1);
    ck_assert_int_eq(AnswerTimes_get(times, "a").mean_us, 1000);
    ck_assert_int_eq(AnswerTimes_get(times, "a").spread_us, 0);
    AnswerTimes_destroy(times);
}
END_TEST

START_TEST(each_route_has_its_own_times)
{
    AnswerTimes_t *times = AnswerTimes_create();
    note_times(times, "long", 2000000, 100);
    note_times(times, "short", 100000, 100);
    ck_assert_int_eq(AnswerTimes_get(times, "long").mean_us, 2000000);
    ck_assert_int_eq(AnswerTimes_get(times, "short").mean_us, 100000);
    AnswerTimes_destroy(times);
}
END_TEST

/* A long answer at first kept a route's mean high. */
START_TEST(the_first_answer_weighs_as_much_as_the_next_ones)
{
    AnswerTimes_t *times = AnswerTimes_create();
    AnswerTimes_note(times, "a", 5000000);
    note_times(times, "a", 0, 4);
    ck_assert_int_eq(AnswerTimes_get(times, "a").mean_us, 1000000);
    AnswerTimes_destroy(times);
}
END_TEST

START_TEST(the_spread_is_the_mean_deviation)
{
    AnswerTimes_t *times = AnswerTimes_create();
    for (int i = 0; i < 200; i++) {
        AnswerTimes_note(times, "a", i % 2 ? 800000 : 1200000);
    }
    AnswerTime_t time = AnswerTimes_get(times, "a");
    ck_assert_int_ge(time.mean_us, 950000);
    ck_assert_int_le(time.mean_us, 1050000);
    ck_assert_int_ge(time.spread_us, 180000);
    ck_assert_int_le(time.spread_us, 240000);
    AnswerTimes_destroy(times);
}
END_TEST

START_TEST(the_times_follow_a_change)
{
    AnswerTimes_t *times = AnswerTimes_create();
    note_times(times, "a", 1000000, 50);
    note_times(times, "a", 100000, 100);
    ck_assert_int_le(AnswerTimes_get(times, "a").mean_us, 110000);
    ck_assert_int_le(AnswerTimes_get(times, "a").spread_us, 10000);
    AnswerTimes_destroy(times);
}
END_TEST

TESTING_MAIN("AnswerTimes", a_route_is_known_after_some_answers,
             each_route_has_its_own_times,
             the_first_answer_weighs_as_much_as_the_next_ones,
             the_spread_is_the_mean_deviation, the_times_follow_a_change)
