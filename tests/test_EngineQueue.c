#include "testing.h"

#include "EngineQueue.h"

#define RUN_US 1600000.0

static gint64
wait_us(guint slots, guint requests, double run_us)
{
    EngineQueueInput_t input = {slots, requests, run_us};
    return EngineQueue_waitUs(&input);
}

START_TEST(there_is_no_wait_with_a_free_slot)
{
    ck_assert_int_eq(wait_us(16, 0, RUN_US), 0);
    ck_assert_int_eq(wait_us(16, 15, RUN_US), 0);
}
END_TEST

START_TEST(each_queued_request_waits_for_one_more_end)
{
    ck_assert_int_eq(wait_us(16, 16, RUN_US), 100000);
    ck_assert_int_eq(wait_us(16, 20, RUN_US), 500000);
    ck_assert_int_eq(wait_us(1, 1, RUN_US), (gint64)RUN_US);
}
END_TEST

START_TEST(there_is_no_wait_where_slots_or_run_time_are_unknown)
{
    ck_assert_int_eq(wait_us(0, 100, RUN_US), 0);
    ck_assert_int_eq(wait_us(16, 100, 0), 0);
}
END_TEST

TESTING_MAIN("EngineQueue", there_is_no_wait_with_a_free_slot,
             each_queued_request_waits_for_one_more_end,
             there_is_no_wait_where_slots_or_run_time_are_unknown)
