#include "testing.h"

#include "WeightLoadSlots.h"

#define ENGINES 9

static WeightLoadSlotsInput_t
make_input(guint outdated, guint loading)
{
    return (WeightLoadSlotsInput_t){.reachable = ENGINES,
                                    .outdated = outdated,
                                    .serving = ENGINES - outdated - loading,
                                    .loading = loading,
                                    .min_loading = 1,
                                    .loading_percent = 28};
}

/* Counts the slots that engines can acquire, all serving or all not serving.
 */
static guint
count_acquired(const WeightLoadSlotsInput_t *input, gboolean serves,
               guint engines)
{
    WeightLoadSlots_t slots = WeightLoadSlots_compute(input);
    guint count = 0;
    while (count < engines && WeightLoadSlots_isAvailable(&slots, serves)) {
        WeightLoadSlots_acquire(&slots, serves);
        count++;
    }
    return count;
}

START_TEST(percentage_of_the_engines_loads_at_once)
{
    WeightLoadSlotsInput_t none_loading = make_input(0, 0);
    WeightLoadSlotsInput_t one_loading = make_input(0, 1);
    WeightLoadSlotsInput_t two_loading = make_input(0, 2);
    ck_assert_uint_eq(count_acquired(&none_loading, TRUE, ENGINES), 2);
    ck_assert_uint_eq(count_acquired(&one_loading, TRUE, ENGINES), 1);
    ck_assert_uint_eq(count_acquired(&two_loading, TRUE, ENGINES), 0);
}
END_TEST

START_TEST(last_serving_engines_do_not_load_while_others_are_outdated)
{
    WeightLoadSlotsInput_t input = make_input(6, 0);
    ck_assert_uint_eq(count_acquired(&input, TRUE, 3), 0);
    ck_assert_uint_eq(count_acquired(&input, FALSE, 6), 5);
}
END_TEST

START_TEST(one_engine_may_load_when_the_percentage_rounds_to_zero)
{
    WeightLoadSlotsInput_t input = {
        .reachable = 2, .serving = 2, .min_loading = 1, .loading_percent = 28};
    ck_assert_uint_eq(count_acquired(&input, TRUE, 2), 1);
    input = (WeightLoadSlotsInput_t){
        .reachable = 1, .serving = 1, .min_loading = 1, .loading_percent = 28};
    ck_assert_uint_eq(count_acquired(&input, TRUE, 1), 1);
}
END_TEST

START_TEST(no_slots_without_engines)
{
    WeightLoadSlotsInput_t input = {.min_loading = 1, .loading_percent = 28};
    WeightLoadSlots_t slots = WeightLoadSlots_compute(&input);
    ck_assert_uint_eq(slots.min_serving, 0);
    ck_assert(!WeightLoadSlots_isAvailable(&slots, TRUE));
}
END_TEST

TESTING_MAIN("WeightLoadSlots", percentage_of_the_engines_loads_at_once,
             last_serving_engines_do_not_load_while_others_are_outdated,
             one_engine_may_load_when_the_percentage_rounds_to_zero,
             no_slots_without_engines)
