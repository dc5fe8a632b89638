#include "testing.h"

#include "OrderPath.h"

#define ENGINES 9
#define LEASE_MS 3000
#define START_MS 100000
/* Within which a path to no engine has to be given up. */
#define GIVE_UP_MS 1000

static gboolean
update(OrderPath_t *path, guint engines, guint unreachable, gint64 now_ms)
{
    OrderPathInput_t input = {
        .engines = engines, .unreachable = unreachable, .lease_ms = LEASE_MS};
    return OrderPath_update(path, &input, now_ms);
}

static gint64
run_until_lost(OrderPath_t *path, guint engines, guint unreachable)
{
    gint64 now_ms = START_MS;
    while (!OrderPath_isLost(path) && now_ms < START_MS + 2 * GIVE_UP_MS) {
        now_ms += 50;
        update(path, engines, unreachable, now_ms);
    }
    return now_ms - START_MS;
}

START_TEST(a_path_to_no_engine_is_lost)
{
    OrderPath_t path = {0};
    ck_assert_int_le(run_until_lost(&path, ENGINES, ENGINES), GIVE_UP_MS);
    ck_assert(OrderPath_isLost(&path));
}
END_TEST

START_TEST(a_router_that_reaches_no_engine_takes_no_lease)
{
    OrderPath_t path = {0};
    update(&path, ENGINES, ENGINES, START_MS);
    ck_assert(OrderPath_isBlocked(&path));
    ck_assert(!OrderPath_isLost(&path));
}
END_TEST

START_TEST(one_reachable_engine_keeps_the_path)
{
    OrderPath_t path = {0};
    run_until_lost(&path, ENGINES, ENGINES - 1);
    ck_assert(!OrderPath_isBlocked(&path));
}
END_TEST

START_TEST(a_single_dead_engine_keeps_the_path)
{
    OrderPath_t path = {0};
    run_until_lost(&path, 1, 1);
    ck_assert(!OrderPath_isBlocked(&path));
    run_until_lost(&path, 0, 0);
    ck_assert(!OrderPath_isBlocked(&path));
}
END_TEST

START_TEST(a_silent_moment_does_not_lose_the_path)
{
    OrderPath_t path = {0};
    update(&path, ENGINES, ENGINES, START_MS);
    update(&path, ENGINES, ENGINES, START_MS + 500);
    update(&path, ENGINES, 0, START_MS + 550);
    ck_assert(!update(&path, ENGINES, ENGINES, START_MS + 1000));
    ck_assert(!OrderPath_isLost(&path));
}
END_TEST

START_TEST(a_lost_path_is_not_in_use_again_within_a_lease)
{
    OrderPath_t path = {0};
    gint64 lost_ms = START_MS + run_until_lost(&path, ENGINES, ENGINES);
    ck_assert(!update(&path, ENGINES, 0, lost_ms + 100));
    ck_assert(OrderPath_isBlocked(&path));
    ck_assert(update(&path, ENGINES, 0, lost_ms + LEASE_MS));
    ck_assert(!OrderPath_isBlocked(&path));
}
END_TEST

START_TEST(a_router_without_any_path_gives_up_at_once)
{
    OrderPath_t path = {0};
    OrderPathInput_t input = {
        .engines = ENGINES, .has_no_path = TRUE, .lease_ms = LEASE_MS};
    ck_assert(OrderPath_update(&path, &input, START_MS));
    ck_assert(OrderPath_isLost(&path));
}
END_TEST

TESTING_MAIN("OrderPath", a_router_without_any_path_gives_up_at_once,
             a_path_to_no_engine_is_lost,
             a_router_that_reaches_no_engine_takes_no_lease,
             one_reachable_engine_keeps_the_path,
             a_single_dead_engine_keeps_the_path,
             a_silent_moment_does_not_lose_the_path,
             a_lost_path_is_not_in_use_again_within_a_lease)
