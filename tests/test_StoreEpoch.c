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
returns(void)
{
    return Counters_value(counters, "store_returns_total", NULL);
}

START_TEST(the_first_epoch_is_no_return)
{
    begin();
    ck_assert(StoreEpoch_note(epoch, 3, "answer"));
    ck_assert_uint_eq(StoreEpoch_newest(epoch), 3);
    ck_assert_uint_eq(returns(), 0);
    end();
}
END_TEST

START_TEST(a_larger_one_is_a_return_and_the_one_before_is_old)
{
    begin();
    ck_assert(StoreEpoch_note(epoch, 3, "answer"));
    ck_assert(StoreEpoch_note(epoch, 4, "answer"));
    ck_assert(!StoreEpoch_note(epoch, 3, "answer"));
    ck_assert(StoreEpoch_note(epoch, 4, "answer"));
    ck_assert_uint_eq(StoreEpoch_newest(epoch), 4);
    ck_assert_uint_eq(returns(), 1);
    end();
}
END_TEST

START_TEST(a_store_that_tells_none_has_one)
{
    begin();
    ck_assert(StoreEpoch_note(epoch, 0, "answer"));
    ck_assert(StoreEpoch_note(epoch, 0, "answer"));
    ck_assert_uint_eq(returns(), 0);
    ck_assert(StoreEpoch_note(epoch, 1, "answer"));
    ck_assert_uint_eq(returns(), 1);
    end();
}
END_TEST

TESTING_MAIN("StoreEpoch", the_first_epoch_is_no_return,
             a_larger_one_is_a_return_and_the_one_before_is_old,
             a_store_that_tells_none_has_one)
