#include "testing.h"

#include "FleetSize.h"

/* Longer than routers are remembered. */
#define FORGOTTEN_MS 61000
#define FLEET 24

static guint
estimate(FleetSize_t *size, guint known, guint seeds_known, gint64 now_ms)
{
    FleetSizeView_t view = {.known = known,
                            .seeds = 3,
                            .seeds_known = seeds_known,
                            .is_settled = TRUE};
    return FleetSize_estimate(size, &view, now_ms);
}

START_TEST(routers_that_became_unreachable_count_on_for_a_while)
{
    FleetSize_t *size = FleetSize_create(0);
    ck_assert_uint_eq(estimate(size, FLEET, 3, 1000), FLEET);
    ck_assert_uint_eq(estimate(size, 5, 3, 2000), FLEET);
    ck_assert_uint_eq(estimate(size, 5, 3, 1000 + FORGOTTEN_MS), 5);
    FleetSize_destroy(size);
}
END_TEST

/* Each of several routers that started alone admitted a whole limit. */
START_TEST(router_that_starts_alone_does_not_take_itself_for_all)
{
    FleetSize_t *size = FleetSize_create(0);
    ck_assert_uint_gt(estimate(size, 1, 0, 1000), 8);
    ck_assert_uint_eq(estimate(size, 1, 0, FORGOTTEN_MS), 1);
    FleetSize_destroy(size);
}
END_TEST

START_TEST(router_that_was_told_the_number_does_not_guess)
{
    FleetSize_t *size = FleetSize_create(0);
    FleetSize_noteTold(size, 4, 500);
    ck_assert_uint_eq(estimate(size, 1, 0, 1000), 4);
    FleetSize_noteTold(size, G_MAXUINT, 1500);
    ck_assert_uint_eq(estimate(size, 1, 0, 2000), 4);
    FleetSize_destroy(size);
}
END_TEST

/* Two routers that tell each other what they were told never forget it. */
START_TEST(told_number_is_not_passed_on)
{
    FleetSize_t *size = FleetSize_create(0);
    FleetSize_noteTold(size, FLEET, 500);
    ck_assert_uint_eq(FleetSize_remembered(size, 2, 1000), 2);
    ck_assert_uint_eq(estimate(size, 2, 3, 1000), FLEET);
    ck_assert_uint_eq(estimate(size, 2, 3, 500 + FORGOTTEN_MS), 2);
    FleetSize_destroy(size);
}
END_TEST

START_TEST(router_without_seeds_is_alone)
{
    FleetSize_t *size = FleetSize_create(0);
    FleetSizeView_t view = {.known = 1};
    ck_assert(!FleetSize_isUsed(size));
    ck_assert_uint_eq(FleetSize_estimate(size, &view, 10), 1);
    ck_assert(FleetSize_isUsed(size));
    FleetSize_destroy(size);
}
END_TEST

TESTING_MAIN("FleetSize", routers_that_became_unreachable_count_on_for_a_while,
             router_that_starts_alone_does_not_take_itself_for_all,
             router_that_was_told_the_number_does_not_guess,
             told_number_is_not_passed_on, router_without_seeds_is_alone)
