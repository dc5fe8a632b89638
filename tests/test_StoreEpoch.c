#include "testing.h"

#include "Errors.h"
#include "StoreEpoch.h"

static Counters_t *counters;
static StoreEpoch_t *epoch;

static void
begin(void)
{
    counters = Counters_create();
    epoch = StoreEpoch_create(counters);
}

static void
end(void)
{
    StoreEpoch_destroy(epoch);
    Counters_destroy(counters);
}

static guint64
count_returns(void)
{
    return Counters_value(counters, "store_returns_total", NULL);
}

START_TEST(first_epoch_is_not_counted_as_a_return)
{
    begin();
    ck_assert(StoreEpoch_note(epoch, 3, "answer"));
    ck_assert_uint_eq(StoreEpoch_newest(epoch), 3);
    ck_assert_uint_eq(count_returns(), 0);
    end();
}
END_TEST

START_TEST(larger_epoch_is_a_return_and_the_earlier_epoch_is_rejected)
{
    begin();
    ck_assert(StoreEpoch_note(epoch, 3, "answer"));
    ck_assert(StoreEpoch_note(epoch, 4, "answer"));
    ck_assert(!StoreEpoch_note(epoch, 3, "answer"));
    ck_assert(StoreEpoch_note(epoch, 4, "answer"));
    ck_assert_uint_eq(StoreEpoch_newest(epoch), 4);
    ck_assert_uint_eq(count_returns(), 1);
    end();
}
END_TEST

START_TEST(store_without_epochs_is_accepted_as_epoch_zero)
{
    begin();
    ck_assert(StoreEpoch_note(epoch, 0, "answer"));
    ck_assert(StoreEpoch_note(epoch, 0, "answer"));
    ck_assert_uint_eq(count_returns(), 0);
    ck_assert(StoreEpoch_note(epoch, 1, "answer"));
    ck_assert_uint_eq(count_returns(), 1);
    end();
}
END_TEST

/* After one answer with such an epoch, all later ones were of an earlier one:
 * routers followed no topic any more. */
START_TEST(epoch_that_is_no_number_in_range_is_not_noted)
{
    static const char *const texts[] = {"-1",
                                        "99999999999999999999999",
                                        "18446744073709551615",
                                        "9007199254740993",
                                        "",
                                        "x",
                                        "4x",
                                        " 4",
                                        "1e3",
                                        "4.0"};
    begin();
    ck_assert(StoreEpoch_check(epoch, "3", NULL));
    for (gsize i = 0; i < G_N_ELEMENTS(texts); i++) {
        g_autoptr(GError) error = NULL;
        ck_assert_msg(!StoreEpoch_check(epoch, texts[i], &error), "%s",
                      texts[i]);
        ck_assert(g_error_matches(error, WT_ERROR, WT_ERROR_BAD_ANSWER));
    }
    ck_assert(StoreEpoch_check(epoch, "3", NULL));
    ck_assert_uint_eq(count_returns(), 0);
    end();
}
END_TEST

TESTING_MAIN("StoreEpoch", epoch_that_is_no_number_in_range_is_not_noted,
             first_epoch_is_not_counted_as_a_return,
             larger_epoch_is_a_return_and_the_earlier_epoch_is_rejected,
             store_without_epochs_is_accepted_as_epoch_zero)
