#include "testing.h"

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

TESTING_MAIN("StoreEpoch", first_epoch_is_not_counted_as_a_return,
             larger_epoch_is_a_return_and_the_earlier_epoch_is_rejected,
             store_without_epochs_is_accepted_as_epoch_zero)
