#include "testing.h"

#include "Forecast.h"

START_TEST(the_spread_is_learned_either_way)
{
    Forecast_t *forecast = Forecast_create();
    gint64 first_us = Forecast_spreadUs(forecast, "s");
    ck_assert_int_gt(first_us, 0);
    for (guint i = 0; i < 200; i++) {
        gint64 miss_us = i % 2 ? 120000 : -120000;
        Forecast_noteFirst(forecast, "s", 300000, 300000 + miss_us);
    }
    ck_assert_int_gt(Forecast_spreadUs(forecast, "s"), 110000);
    ck_assert_int_le(Forecast_spreadUs(forecast, "s"), 120000);
    ck_assert_int_eq(Forecast_spreadUs(forecast, "other"), first_us);
    Forecast_destroy(forecast);
}
END_TEST

START_TEST(one_that_hung_moves_it_little)
{
    Forecast_t *forecast = Forecast_create();
    gint64 first_us = Forecast_spreadUs(forecast, "s");
    Forecast_noteFirst(forecast, "s", 0, G_MAXINT64 / 2);
    ck_assert_int_lt(Forecast_spreadUs(forecast, "s"), 2 * first_us);
    Forecast_destroy(forecast);
}
END_TEST

TESTING_MAIN("Forecast", the_spread_is_learned_either_way,
             one_that_hung_moves_it_little)
