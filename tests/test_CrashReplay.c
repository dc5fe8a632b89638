/* Loads in which requests end engines, or engines end by themselves, played
 * against what is decided of crashes. Nine engines, 60 requests a second, and
 * one request that ends engines five times a second: where nobody remembers
 * it, engines end again as soon as they are back, under it alone 131 in a
 * minute, and a third of the others is served. */
#include "CrashReplay.h"

#include "testing.h"

#define SEEDS 5
/* Sent by routers that had time to hear of the third crash. */
#define LATE_MOST 3
/* Of 1,000 proper requests, refused for crashes that are not theirs. */
#define REFUSED_OF_1000 1

typedef struct {
    guint late;
    double served;
    guint refused;
    guint proper;
} Sum_t;

static Sum_t
play(CrashMemory_t memory, guint deadly, guint lost_percent)
{
    Sum_t sum = {0};
    for (guint32 seed = 1; seed <= SEEDS; seed++) {
        CrashReplaySpec_t spec = CrashReplaySpec_default(seed);
        spec.deadly = deadly;
        spec.lost_percent = lost_percent;
        spec.lost_times = lost_percent > 0 ? 3 : 0;
        spec.lost_every_ms = 5000;
        spec.memory = memory;
        CrashReplayResult_t result = CrashReplay_run(&spec);
        sum.late = MAX(sum.late, result.late_most);
        sum.served += (double)result.served / result.proper / SEEDS;
        sum.refused += result.refused;
        sum.proper += result.proper;
    }
    return sum;
}

START_TEST(a_request_that_ends_engines_is_soon_sent_no_more)
{
    static const guint deadly[] = {1, 5, 20};
    for (gsize i = 0; i < G_N_ELEMENTS(deadly); i++) {
        Sum_t with = play(CRASH_MEMORY_ALL, deadly[i], 0);
        Sum_t without = play(CRASH_MEMORY_NONE, deadly[i], 0);
        ck_assert_uint_le(with.late, LATE_MOST);
        ck_assert_uint_gt(without.late, LATE_MOST);
        ck_assert(with.served > 2 * without.served);
    }
}
END_TEST

/* What one router learns must reach the others. */
START_TEST(each_router_by_itself_is_not_enough)
{
    ck_assert_uint_gt(play(CRASH_MEMORY_OWN, 1, 0).late, LATE_MOST);
}
END_TEST

START_TEST(engines_that_end_by_themselves_hold_nobody_back)
{
    Sum_t sum = play(CRASH_MEMORY_ALL, 0, 34);
    ck_assert_uint_le(sum.refused * 1000, sum.proper * REFUSED_OF_1000);
}
END_TEST

START_TEST(beside_one_such_request_the_others_are_served)
{
    Sum_t sum = play(CRASH_MEMORY_ALL, 1, 0);
    ck_assert_uint_le(sum.refused * 1000, sum.proper * REFUSED_OF_1000);
    ck_assert(sum.served > 0.99);
}
END_TEST

/* With several of them all nine engines are down at times; what comes again
 * and again is excused by having come through. */
START_TEST(what_came_through_before_is_excused)
{
    CrashReplaySpec_t spec = CrashReplaySpec_default(1);
    spec.deadly = 5;
    spec.memory = CRASH_MEMORY_ALL;
    guint with = CrashReplay_run(&spec).refused;
    spec.remember_ms = 0;
    ck_assert_uint_lt(2 * with, CrashReplay_run(&spec).refused);
}
END_TEST

TESTING_MAIN("CrashReplay", a_request_that_ends_engines_is_soon_sent_no_more,
             each_router_by_itself_is_not_enough,
             engines_that_end_by_themselves_hold_nobody_back,
             beside_one_such_request_the_others_are_served,
             what_came_through_before_is_excused)
