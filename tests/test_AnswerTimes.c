#include "testing.h"

#include "AnswerTimes.h"

static void
note_times(AnswerTimes_t *times, const char *route, gint64 us, int count)
{
    for (int i = 0; i < count; i++) {
        AnswerTimes_note(times, route, 0, us);
    }
}

START_TEST(a_route_is_known_after_some_answers)
{
    AnswerTimes_t *times = AnswerTimes_create();
    ck_assert_int_eq(AnswerTimes_get(times, "a", 0).mean_us, 0);
    note_times(times, "a", 1000, 4);
    ck_assert_int_eq(AnswerTimes_get(times, "a", 0).mean_us, 0);
    note_times(times, "a", 1000, 1);
    ck_assert_int_eq(AnswerTimes_get(times, "a", 0).mean_us, 1000);
    ck_assert_int_eq(AnswerTimes_get(times, "a", 0).spread_us, 0);
    AnswerTimes_destroy(times);
}
END_TEST

START_TEST(each_route_has_its_own_times)
{
    AnswerTimes_t *times = AnswerTimes_create();
    note_times(times, "long", 2000000, 100);
    note_times(times, "short", 100000, 100);
    ck_assert_int_eq(AnswerTimes_get(times, "long", 0).mean_us, 2000000);
    ck_assert_int_eq(AnswerTimes_get(times, "short", 0).mean_us, 100000);
    AnswerTimes_destroy(times);
}
END_TEST

/* A long answer at first kept a route's mean high. */
START_TEST(the_first_answer_weighs_as_much_as_the_next_ones)
{
    AnswerTimes_t *times = AnswerTimes_create();
    AnswerTimes_note(times, "a", 0, 5000000);
    note_times(times, "a", 0, 4);
    ck_assert_int_eq(AnswerTimes_get(times, "a", 0).mean_us, 1000000);
    AnswerTimes_destroy(times);
}
END_TEST

START_TEST(the_spread_is_the_mean_deviation)
{
    AnswerTimes_t *times = AnswerTimes_create();
    for (int i = 0; i < 200; i++) {
        AnswerTimes_note(times, "a", 0, i % 2 ? 800000 : 1200000);
    }
    AnswerTime_t time = AnswerTimes_get(times, "a", 0);
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
    ck_assert_int_le(AnswerTimes_get(times, "a", 0).mean_us, 110000);
    ck_assert_int_le(AnswerTimes_get(times, "a", 0).spread_us, 10000);
    AnswerTimes_destroy(times);
}
END_TEST

/* The longest streams of a route take several times its mean. */
START_TEST(the_time_follows_the_stated_size)
{
    AnswerTimes_t *times = AnswerTimes_create();
    for (guint i = 0; i < 100; i++) {
        guint size = i % 10 == 9 ? 100 : 10;
        AnswerTimes_note(times, "a", size, size * 40000);
    }
    ck_assert_int_eq(AnswerTimes_get(times, "a", 100).mean_us, 4000000);
    ck_assert_int_eq(AnswerTimes_get(times, "a", 10).mean_us, 400000);
    ck_assert_int_ge(AnswerTimes_get(times, "a", 0).mean_us, 700000);
    ck_assert_int_le(AnswerTimes_get(times, "a", 0).mean_us, 2000000);
    AnswerTimes_destroy(times);
}
END_TEST

START_TEST(sizes_that_say_nothing_of_the_time_are_left_out)
{
    AnswerTimes_t *times = AnswerTimes_create();
    for (guint i = 0; i < 100; i++) {
        AnswerTimes_note(times, "a", i % 2 ? 1 : 1000, 500000);
    }
    ck_assert_int_eq(AnswerTimes_get(times, "a", 1000).mean_us, 500000);
    ck_assert_int_eq(AnswerTimes_get(times, "a", 1).mean_us, 500000);
    AnswerTimes_destroy(times);
}
END_TEST

TESTING_MAIN("AnswerTimes", a_route_is_known_after_some_answers,
             each_route_has_its_own_times,
             the_first_answer_weighs_as_much_as_the_next_ones,
             the_spread_is_the_mean_deviation, the_times_follow_a_change,
             the_time_follows_the_stated_size,
             sizes_that_say_nothing_of_the_time_are_left_out)
