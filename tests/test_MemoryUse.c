/* What a process uses of its memory, and what is left. */
#include "MemoryUse.h"

#include <string.h>

#include "testing.h"

#define PARTS 4096
#define PART_BYTES 8192
#define SOON_MS 100
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

START_TEST(the_excess_is_what_is_not_easy)
{
    MemoryUse_t *use = MemoryUse_create(0);
    MemoryUse_add(use, (gssize)(100 * MIB));
    ck_assert_uint_eq(MemoryUse_excess(use, 1), 0);
    MemoryUse_setMax(use, 100 * MIB);
    ck_assert_uint_ge(MemoryUse_excess(use, 1), 30 * MIB);
    MemoryUse_add(use, -(gssize)(90 * MIB));
    ck_assert_uint_eq(MemoryUse_excess(use, 1), 0);
    MemoryUse_destroy(use);
}
END_TEST

static void
fill_parts(char **parts)
{
    for (guint i = 0; i < PARTS; i++) {
        parts[i] = g_malloc(PART_BYTES);
        memset(parts[i], 1, PART_BYTES);
    }
}

/* The last one keeps the pages below it in the heap. */
static void
free_most_parts(char **parts)
{
    for (guint i = 0; i < PARTS - 1; i++) {
        g_free(parts[i]);
    }
}

START_TEST(freed_pages_are_given_back)
{
    char *parts[PARTS];
    MemoryUse_t *use = MemoryUse_create(0);
    fill_parts(parts);
    gsize before = MemoryUse_used(use, LATER_MS);
    free_most_parts(parts);
    MemoryUse_trim(use, 2 * LATER_MS);
    gsize after = MemoryUse_used(use, 2 * LATER_MS);
    ck_assert_uint_lt(after, before - 16 * MIB);
    g_free(parts[PARTS - 1]);
    MemoryUse_destroy(use);
}
END_TEST

START_TEST(freed_pages_are_given_back_soon_while_memory_is_full)
{
    char *parts[PARTS];
    MemoryUse_t *use = MemoryUse_create(0);
    fill_parts(parts);
    MemoryUse_trim(use, LATER_MS);
    gsize before = MemoryUse_used(use, LATER_MS + SOON_MS);
    MemoryUse_setMax(use, before);
    free_most_parts(parts);
    MemoryUse_trim(use, LATER_MS + SOON_MS);
    gsize after = MemoryUse_used(use, LATER_MS + SOON_MS);
    ck_assert_uint_lt(after, before - 16 * MIB);
    g_free(parts[PARTS - 1]);
    MemoryUse_destroy(use);
}
END_TEST

/* A sanitizer keeps freed memory, which no refusal makes room for. */
START_TEST(memory_that_was_freed_is_not_in_use)
{
    enum { ROUNDS = 64 };
    MemoryUse_t *use = MemoryUse_create(0);
    gsize before = MemoryUse_used(use, LATER_MS);
    for (guint i = 0; i < ROUNDS; i++) {
        char *pages = g_malloc(MIB);
        memset(pages, 1, MIB);
        ck_assert_int_eq(pages[i], 1);
        g_free(pages);
    }
    gsize after = MemoryUse_used(use, 2 * LATER_MS);
    ck_assert_uint_lt(after, before + 16 * MIB);
    MemoryUse_destroy(use);
}
END_TEST

START_TEST(a_limit_that_the_program_fills_is_not_kept)
{
    ck_assert_uint_eq(MemoryUse_fit(0, MIB), 0);
    ck_assert_uint_eq(MemoryUse_fit(4 * MIB, MIB), 4 * MIB);
    ck_assert_uint_eq(MemoryUse_fit(4 * MIB, MIB + 1), 0);
}
END_TEST

TESTING_MAIN("MemoryUse", pages_in_use_are_counted,
             bytes_of_others_are_counted,
             room_is_what_is_left_without_the_reserve,
             the_level_follows_the_use, the_excess_is_what_is_not_easy,
             freed_pages_are_given_back,
             freed_pages_are_given_back_soon_while_memory_is_full,
             memory_that_was_freed_is_not_in_use,
             a_limit_that_the_program_fills_is_not_kept)
