#include "testing.h"

#include "EngineQueue.h"

#define RUN_US 1600000.0

static gint64
wait_us(guint slots, guint requests, double run_us)
{
    EngineQueueFacts_t facts = {slots, requests, run_us};
    return EngineQueue_waitUs(&facts);
}

START_TEST(with_a_free_slot_nothing_waits)
{
    ck_assert_int_eq(wait_us(16, 0, RUN_US), 0);
    ck_assert_int_eq(wait_us(16, 15, RUN_US), 0);
}
END_TEST

START_TEST(with_all_slots_taken_one_has_to_end_for_each_before)
{
    ck_assert_int_eq(wait_us(16, 16, RUN_US), 100000);
    ck_assert_int_eq(wait_us(16, 20, RUN_US), 500000);
    ck_assert_int_eq(wait_us(1, 1, RUN_US), (gint64)RUN_US);
}
END_TEST

START_TEST(what_is_not_known_says_nothing)
{
    ck_assert_int_eq(wait_us(0, 100, RUN_US), 0);
    ck_assert_int_eq(wait_us(16, 100, 0), 0);
}
END_TEST

TESTING_MAIN("EngineQueue", with_a_free_slot_nothing_waits,
             with_all_slots_taken_one_has_to_end_for_each_before,
             what_is_not_known_says_nothing)
