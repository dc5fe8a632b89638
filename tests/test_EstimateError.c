#include "testing.h"

#include "EstimateError.h"

START_TEST(the_mean_error_covers_early_and_late_first_tokens)
{
    EstimateError_t *estimate_error = EstimateError_create();
    gint64 initial_us = EstimateError_spreadUs(estimate_error, "s");
    ck_assert_int_gt(initial_us, 0);
    for (guint i = 0; i < 200; i++) {
        gint64 error_us = i % 2 ? 120000 : -120000;
        EstimateError_noteFirst(estimate_error, "s", 300000,
                                300000 + error_us);
    }
    ck_assert_int_gt(EstimateError_spreadUs(estimate_error, "s"), 110000);
    ck_assert_int_le(EstimateError_spreadUs(estimate_error, "s"), 120000);
    ck_assert_int_eq(EstimateError_spreadUs(estimate_error, "other"),
                     initial_us);
    EstimateError_destroy(estimate_error);
}
END_TEST

START_TEST(a_hung_request_changes_the_mean_error_little)
{
    EstimateError_t *estimate_error = EstimateError_create();
    gint64 initial_us = EstimateError_spreadUs(estimate_error, "s");
    EstimateError_noteFirst(estimate_error, "s", 0, G_MAXINT64 / 2);
    ck_assert_int_lt(EstimateError_spreadUs(estimate_error, "s"),
                     2 * initial_us);
    EstimateError_destroy(estimate_error);
}
END_TEST

TESTING_MAIN("EstimateError",
             the_mean_error_covers_early_and_late_first_tokens,
             a_hung_request_changes_the_mean_error_little)
