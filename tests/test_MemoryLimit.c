/* What the system lets a process use, and the settings that follow from it. */
#include "MemoryLimit.h"

#include <sys/resource.h>

#include "testing.h"

#define MIB ((gint64)1 << 20)
/* More than sanitizers map. */
#define LIMIT ((gint64)1 << 50)

static gint64
room_with_limit(int resource)
{
    struct rlimit usual;
    ck_assert_int_eq(getrlimit(resource, &usual), 0);
    struct rlimit limit = {.rlim_cur = LIMIT, .rlim_max = usual.rlim_max};
    ck_assert_int_eq(setrlimit(resource, &limit), 0);
    gint64 room = MemoryLimit_room();
    ck_assert_int_eq(setrlimit(resource, &usual), 0);
    return room;
}

static void
check_fit(gint64 memory, gint64 room, gint64 fit_memory, gint64 fit_answers)
{
    LimitsSection_t limits = {.memory = memory, .answers_max = 16 * MIB};
    MemoryLimit_fit(&limits, room);
    ck_assert_int_eq(limits.memory, fit_memory);
    ck_assert_int_eq(limits.answers_max, fit_answers);
}

START_TEST(what_is_in_use_is_no_room)
{
    ck_assert_int_eq(MemoryLimit_room(), G_MAXINT64);
    ck_assert_int_lt(room_with_limit(RLIMIT_AS), LIMIT);
    ck_assert_int_lt(room_with_limit(RLIMIT_DATA), LIMIT);
    ck_assert_int_gt(room_with_limit(RLIMIT_AS), 0);
    ck_assert_int_gt(room_with_limit(RLIMIT_DATA), 0);
}
END_TEST

START_TEST(settings_within_the_room_remain)
{
    check_fit(96 * MIB, G_MAXINT64, 96 * MIB, 16 * MIB);
    check_fit(96 * MIB, 96 * MIB, 96 * MIB, 16 * MIB);
    check_fit(0, G_MAXINT64, 0, 16 * MIB);
}
END_TEST

START_TEST(settings_beyond_the_room_are_lowered)
{
    check_fit(96 * MIB, 100, 100, 15);
    check_fit(0, 100, 100, 15);
    check_fit(0, 1000 * MIB, 1000 * MIB, 16 * MIB);
}
END_TEST

/* No limit at all would follow from a memory of 0. */
START_TEST(no_room_is_not_no_limit)
{
    check_fit(96 * MIB, 0, 1, 0);
}
END_TEST

TESTING_MAIN("MemoryLimit", what_is_in_use_is_no_room,
             settings_within_the_room_remain,
             settings_beyond_the_room_are_lowered, no_room_is_not_no_limit)
