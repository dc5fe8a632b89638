#include "testing.h"

#include "StopOutlook.h"

START_TEST(a_request_of_an_unknown_route_is_not_outlasting)
{
    StopOutlook_t outlook = {.stop_left_ms = 1, .deadline_left_ms = 20000};
    ck_assert(!StopOutlook_isOutlasting(&outlook));
    ck_assert_int_eq(StopOutlook_neededMs(&outlook), 0);
}
END_TEST

START_TEST(a_request_that_usually_takes_longer_is_outlasting)
{
    StopOutlook_t outlook = {
        .stop_left_ms = 999, .deadline_left_ms = 20000, .mean_us = 1000000};
    ck_assert(StopOutlook_isOutlasting(&outlook));
    outlook.stop_left_ms = 1000;
    ck_assert(!StopOutlook_isOutlasting(&outlook));
}
END_TEST

/* Half of the requests take longer than the mean. */
START_TEST(the_spread_counts)
{
    StopOutlook_t outlook = {.stop_left_ms = 1599,
                             .deadline_left_ms = 20000,
                             .mean_us = 1000000,
                             .spread_us = 300000};
    ck_assert_int_eq(StopOutlook_neededMs(&outlook), 1600);
    ck_assert(StopOutlook_isOutlasting(&outlook));
    outlook.stop_left_ms = 1600;
    ck_assert(!StopOutlook_isOutlasting(&outlook));
}
END_TEST

START_TEST(a_deadline_before_the_end_of_the_stop_comes_first)
{
    StopOutlook_t outlook = {
        .stop_left_ms = 500, .deadline_left_ms = 500, .mean_us = 1000000};
    ck_assert(!StopOutlook_isOutlasting(&outlook));
    outlook.deadline_left_ms = 501;
    ck_assert(StopOutlook_isOutlasting(&outlook));
}
END_TEST

TESTING_MAIN("StopOutlook", a_request_of_an_unknown_route_is_not_outlasting,
             a_request_that_usually_takes_longer_is_outlasting,
             the_spread_counts,
             a_deadline_before_the_end_of_the_stop_comes_first)
