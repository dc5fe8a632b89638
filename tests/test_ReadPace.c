#include "testing.h"

#include "ReadPace.h"

#define WAIT_MS 8000
/* Calls a second that a reader in a loop may make at most. */
#define CALLS_MAX 10

START_TEST(records_are_read_without_a_pause)
{
    ReadPace_t pace = {0};
    for (gint64 now_ms = 0; now_ms < 1000; now_ms++) {
        ReadPace_noteSent(&pace, WAIT_MS, now_ms);
        ck_assert_int_eq(ReadPace_pauseMs(&pace, TRUE, now_ms), 0);
    }
}
END_TEST

START_TEST(a_read_that_was_held_is_followed_at_once)
{
    ReadPace_t pace = {0};
    gint64 waits_ms[] = {1, 50, 700, WAIT_MS};
    gint64 now_ms = 0;
    for (guint i = 0; i < 100; i++) {
        gint64 wait_ms = waits_ms[i % G_N_ELEMENTS(waits_ms)];
        ReadPace_noteSent(&pace, wait_ms, now_ms);
        now_ms += wait_ms;
        ck_assert_int_eq(ReadPace_pauseMs(&pace, FALSE, now_ms), 0);
    }
}
END_TEST

static void
check_loop(gint64 wait_ms)
{
    ReadPace_t pace = {0};
    guint calls = 0;
    for (gint64 now_ms = 0; now_ms < 10000; calls++) {
        ReadPace_noteSent(&pace, wait_ms, now_ms);
        now_ms += ReadPace_pauseMs(&pace, FALSE, now_ms);
        ck_assert_uint_lt(calls, 10 * CALLS_MAX);
    }
}

START_TEST(answers_without_records_do_not_make_a_loop)
{
    check_loop(0);
    check_loop(WAIT_MS);
}
END_TEST

START_TEST(a_record_ends_the_pauses)
{
    ReadPace_t pace = {0};
    for (guint i = 0; i < 100; i++) {
        ReadPace_noteSent(&pace, WAIT_MS, 0);
        ck_assert_int_le(ReadPace_pauseMs(&pace, FALSE, 0), READ_PACE_MAX_MS);
    }
    ReadPace_noteSent(&pace, WAIT_MS, 0);
    ck_assert_int_eq(ReadPace_pauseMs(&pace, TRUE, 0), 0);
    ReadPace_noteSent(&pace, WAIT_MS, 0);
    ck_assert_int_eq(ReadPace_pauseMs(&pace, FALSE, 0), 0);
}
END_TEST

TESTING_MAIN("ReadPace", records_are_read_without_a_pause,
             a_read_that_was_held_is_followed_at_once,
             answers_without_records_do_not_make_a_loop,
             a_record_ends_the_pauses)
