/* What a process uses of its memory, and what is left. */
#include "MemoryUse.h"

#include <string.h>

#include "testing.h"

#define MIB ((gsize)1 << 20)
#define LATER_MS 1000

START_TEST(pages_in_use_are_counted)
{
    MemoryUse_t *use = MemoryUse_create(0);
    gsize before = MemoryUse_used(use, 1);
    ck_assert_uint_gt(before, 0);
    char *pages = g_malloc(16 * MIB);
    memset(pages, 1, 16 * MIB);
    gsize after = MemoryUse_used(use, LATER_MS);
    ck_assert_uint_ge(after, before + 12 * MIB);
    ck_assert_int_eq(pages[MIB], 1);
    g_free(pages);
    MemoryUse_destroy(use);
}
END_TEST

START_TEST(bytes_of_others_are_counted)
{
    MemoryUse_t *use = MemoryUse_create(0);
    gsize before = MemoryUse_used(use, 1);
    MemoryUse_add(use, (gssize)(5 * MIB));
    ck_assert_uint_eq(MemoryUse_used(use, 1), before + 5 * MIB);
    MemoryUse_add(use, -(gssize)(5 * MIB));
    ck_assert_uint_eq(MemoryUse_used(use, 1), before);
    MemoryUse_destroy(use);
}
END_TEST

START_TEST(room_is_what_is_left_without_the_reserve)
{
    MemoryUse_t *use = MemoryUse_create(0);
    ck_assert_uint_eq(MemoryUse_room(use, 1), G_MAXSIZE);
    gsize used = MemoryUse_used(use, 1);
    MemoryUse_setMax(use, 2 * used);
    ck_assert_uint_gt(MemoryUse_room(use, 1), used / 2);
    ck_assert_uint_lt(MemoryUse_room(use, 1), used);
    MemoryUse_setMax(use, used);
    ck_assert_uint_eq(MemoryUse_room(use, 1), 0);
    MemoryUse_destroy(use);
}
END_TEST

START_TEST(the_level_follows_the_use)
{
    MemoryUse_t *use = MemoryUse_create(0);
    ck_assert_int_eq(MemoryUse_level(use, 1), MEMORY_EASY);
    gsize used = MemoryUse_used(use, 1);
    MemoryUse_setMax(use, used * 2);
    ck_assert_int_eq(MemoryUse_level(use, 1), MEMORY_EASY);
    MemoryUse_setMax(use, used * 5 / 4);
    ck_assert_int_eq(MemoryUse_level(use, 1), MEMORY_TIGHT);
    MemoryUse_setMax(use, used);
    ck_assert_int_eq(MemoryUse_level(use, 1), MEMORY_FULL);
    MemoryUse_destroy(use);
}
END_TEST

TESTING_MAIN("MemoryUse", pages_in_use_are_counted,
             bytes_of_others_are_counted,
             room_is_what_is_left_without_the_reserve,
             the_level_follows_the_use)
