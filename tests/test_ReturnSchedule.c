#include "testing.h"

#include "Random.h"
#include "ReturnSchedule.h"

#define SEED 7
#define START_MS 1000000
#define LONGEST_MS 4000

static guint
promise(ReturnSchedule_t *schedule, guint64 key, gint64 fits_ms,
        double room_per_s, gint64 now_ms)
{
    ReturnRequest_t request = {key, fits_ms, room_per_s, LONGEST_MS};
    return ReturnSchedule_promise(schedule, &request, now_ms);
}

START_TEST(callers_refused_together_leave_most_of_the_room_to_new_ones)
{
    Random_seed(SEED);
    ReturnSchedule_t *schedule = ReturnSchedule_create(4096);
    guint per_second[LONGEST_MS / 1000 + 1] = {0};
    for (guint64 key = 0; key < 150; key++) {
        guint wait_ms = promise(schedule, key, 0, 250, START_MS);
        ck_assert_uint_ge(wait_ms, 200);
        per_second[(wait_ms - 200) / 1000]++;
    }
    for (guint i = 0; i < 3; i++) {
        ck_assert_uint_ge(per_second[i], 49);
        ck_assert_uint_le(per_second[i], 51);
    }
    ReturnSchedule_destroy(schedule);
}
END_TEST

START_TEST(first_caller_returns_when_the_queue_has_gone)
{
    Random_seed(SEED);
    ReturnSchedule_t *schedule = ReturnSchedule_create(4096);
    guint wait_ms = promise(schedule, 1, 700, 500, START_MS);
    ck_assert_uint_ge(wait_ms, 700);
    ck_assert_uint_lt(wait_ms, 710);
    ReturnSchedule_destroy(schedule);
}
END_TEST

START_TEST(caller_that_cannot_wait_gets_no_promise_and_no_turn)
{
    Random_seed(SEED);
    ReturnSchedule_t *schedule = ReturnSchedule_create(4096);
    ck_assert_uint_eq(promise(schedule, 1, 5000, 100, START_MS), LONGEST_MS);
    ck_assert_uint_eq(promise(schedule, 2, 0, 0, START_MS), LONGEST_MS);
    ck_assert_uint_lt(promise(schedule, 3, 0, 100, START_MS), 220);
    gint64 later_ms = START_MS + LONGEST_MS;
    ck_assert(!ReturnSchedule_claim(schedule, 1, later_ms));
    ck_assert(!ReturnSchedule_claim(schedule, 2, later_ms));
    ReturnSchedule_destroy(schedule);
}
END_TEST

START_TEST(promise_holds_once_around_its_time)
{
    Random_seed(SEED);
    ReturnSchedule_t *schedule = ReturnSchedule_create(4096);
    gint64 due_ms = START_MS + promise(schedule, 1, 500, 100, START_MS);
    ck_assert(!ReturnSchedule_claim(schedule, 1, due_ms - 200));
    ck_assert(!ReturnSchedule_claim(schedule, 2, due_ms));
    ck_assert(ReturnSchedule_claim(schedule, 1, due_ms - 100));
    ck_assert(!ReturnSchedule_claim(schedule, 1, due_ms));
    due_ms = START_MS + promise(schedule, 3, 500, 100, START_MS);
    ck_assert(!ReturnSchedule_claim(schedule, 3, due_ms + 1500));
    ReturnSchedule_destroy(schedule);
}
END_TEST

START_TEST(caller_that_is_refused_again_has_one_promise)
{
    Random_seed(SEED);
    ReturnSchedule_t *schedule = ReturnSchedule_create(4096);
    promise(schedule, 1, 300, 100, START_MS);
    gint64 due_ms = START_MS + promise(schedule, 1, 900, 100, START_MS);
    ck_assert_uint_eq(ReturnSchedule_countDue(schedule, 2000, START_MS), 1);
    ck_assert(!ReturnSchedule_claim(schedule, 1, START_MS + 300));
    ck_assert(ReturnSchedule_claim(schedule, 1, due_ms));
    ck_assert_uint_eq(ReturnSchedule_countDue(schedule, 2000, START_MS), 0);
    ReturnSchedule_destroy(schedule);
}
END_TEST

START_TEST(room_is_kept_for_callers_that_are_about_to_return)
{
    Random_seed(SEED);
    ReturnSchedule_t *schedule = ReturnSchedule_create(4096);
    for (guint64 key = 0; key < 100; key++) {
        promise(schedule, key, 1000, 500, START_MS);
    }
    ck_assert_uint_eq(ReturnSchedule_countDue(schedule, 500, START_MS), 0);
    guint due = ReturnSchedule_countDue(schedule, 500, START_MS + 1000);
    ck_assert_uint_ge(due, 50);
    ck_assert_uint_le(due, 55);
    /* Those that have not come by then won't. */
    ck_assert_uint_eq(ReturnSchedule_countDue(schedule, 500, START_MS + 2300),
                      0);
    ReturnSchedule_destroy(schedule);
}
END_TEST

START_TEST(more_callers_than_are_kept_are_still_spread)
{
    Random_seed(SEED);
    ReturnSchedule_t *schedule = ReturnSchedule_create(10);
    guint last_ms = 0;
    for (guint64 key = 0; key < 100; key++) {
        last_ms = promise(schedule, key, 0, 500, START_MS);
    }
    ck_assert_uint_ge(last_ms, 1100);
    ck_assert_uint_eq(ReturnSchedule_countDue(schedule, 4000, START_MS), 10);
    /* The places of promises that nobody claimed are free again. */
    gint64 later_ms = START_MS + 60000;
    promise(schedule, 1000, 0, 100, later_ms);
    ck_assert_uint_eq(ReturnSchedule_countDue(schedule, 4000, later_ms), 1);
    ck_assert(ReturnSchedule_claim(schedule, 1000, later_ms + 200));
    ReturnSchedule_destroy(schedule);
}
END_TEST

TESTING_MAIN("ReturnSchedule",
             callers_refused_together_leave_most_of_the_room_to_new_ones,
             first_caller_returns_when_the_queue_has_gone,
             caller_that_cannot_wait_gets_no_promise_and_no_turn,
             promise_holds_once_around_its_time,
             caller_that_is_refused_again_has_one_promise,
             room_is_kept_for_callers_that_are_about_to_return,
             more_callers_than_are_kept_are_still_spread)
