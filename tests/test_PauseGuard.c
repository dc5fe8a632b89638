#include "testing.h"

#include "PauseGuard.h"

#define AIM_MS 300
#define STREAMS 200

static PauseGuard_t *guard;

static void
begin(void)
{
    guard = PauseGuard_create();
    for (guint i = 0; i < STREAMS; i++) {
        PauseGuard_noteWork(guard, i % 2 == 0, i % 2 == 0 ? 20000 : 160000);
    }
}

static void
end(void)
{
    PauseGuard_destroy(guard);
}

/* Of ten streams so many have a pause that is too long. */
static void
see_streams(guint late_of_ten)
{
    for (guint i = 0; i < STREAMS; i++) {
        gint64 pause_us = i % 10 < late_of_ten ? 320000 : 250000;
        PauseGuard_noteStream(guard, pause_us, AIM_MS);
    }
}

START_TEST(engines_are_not_divided_without_need)
{
    begin();
    ck_assert_double_eq(PauseGuard_share(guard), 0);
    see_streams(0);
    ck_assert_double_eq(PauseGuard_share(guard), 0);
    end();
}
END_TEST

START_TEST(short_prompts_get_their_part_of_the_work_and_some_more)
{
    begin();
    see_streams(3);
    ck_assert_double_gt(PauseGuard_share(guard), 0.15);
    ck_assert_double_lt(PauseGuard_share(guard), 0.35);
    end();
}
END_TEST

START_TEST(they_stay_divided_until_hardly_a_pause_is_too_long)
{
    begin();
    see_streams(3);
    for (guint i = 0; i < STREAMS; i++) {
        PauseGuard_noteStream(guard, i % 20 == 19 ? 320000 : 0, AIM_MS);
    }
    ck_assert_double_gt(PauseGuard_share(guard), 0);
    see_streams(0);
    see_streams(0);
    ck_assert_double_eq(PauseGuard_share(guard), 0);
    end();
}
END_TEST

START_TEST(a_route_without_an_aim_says_nothing)
{
    begin();
    for (guint i = 0; i < STREAMS; i++) {
        PauseGuard_noteStream(guard, 900000, 0);
    }
    ck_assert_double_eq(PauseGuard_share(guard), 0);
    end();
}
END_TEST

TESTING_MAIN("PauseGuard", engines_are_not_divided_without_need,
             short_prompts_get_their_part_of_the_work_and_some_more,
             they_stay_divided_until_hardly_a_pause_is_too_long,
             a_route_without_an_aim_says_nothing)
