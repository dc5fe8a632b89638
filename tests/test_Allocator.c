/* Pages of blocks that were freed. */
#include "Allocator.h"

#include <string.h>

#include "MemoryUse.h"
#include "testing.h"

#define MIB ((gsize)1 << 20)
#define BLOCKS 4000
#define BLOCK_BYTES 8000
#define SMALL_BYTES 64
#define LONG_BYTES MIB

/* Sanitizers have an allocator of their own, which keeps what is freed. */
#ifdef __SANITIZE_ADDRESS__
#define MEASURES_MEMORY 0
#else
#define MEASURES_MEMORY 1
#endif

static gsize
measure(void)
{
    MemoryUse_t *memory = MemoryUse_create(0);
    gsize used = MemoryUse_used(memory, 1);
    MemoryUse_destroy(memory);
    return used;
}

/* Blocks of which others remain between them, as those of parsed texts. */
static gsize
use_and_free(void *left[BLOCKS])
{
    static void *blocks[BLOCKS];
    for (guint i = 0; i < BLOCKS; i++) {
        blocks[i] = g_malloc(BLOCK_BYTES);
        memset(blocks[i], 1, BLOCK_BYTES);
        left[i] = g_malloc(SMALL_BYTES);
    }
    gsize most = measure();
    for (guint i = 0; i < BLOCKS; i++) {
        g_free(blocks[i]);
    }
    return most;
}

START_TEST(pages_are_given_back_after_a_long_text)
{
    void *left[BLOCKS];
    Allocator_init();
    gsize most = use_and_free(left);
    gsize freed = measure();
    Allocator_giveBack(1);
    ck_assert_uint_gt(measure() + MIB, freed);
    Allocator_giveBack(LONG_BYTES);
    ck_assert(!MEASURES_MEMORY || measure() + BLOCKS * BLOCK_BYTES / 4 < most);
    for (guint i = 0; i < BLOCKS; i++) {
        g_free(left[i]);
    }
}
END_TEST

START_TEST(large_block_has_pages_of_its_own)
{
    Allocator_init();
    char *first = g_malloc(16 * MIB);
    memset(first, 1, 16 * MIB);
    g_free(first); /* raises the usual limits of the C library */
    char *block = g_malloc(4 * MIB);
    memset(block, 1, 4 * MIB);
    void *later = g_malloc(SMALL_BYTES);
    gsize used = measure();
    g_free(block);
    ck_assert(!MEASURES_MEMORY || measure() + 3 * MIB <= used);
    g_free(later);
}
END_TEST

TESTING_MAIN("Allocator", large_block_has_pages_of_its_own,
             pages_are_given_back_after_a_long_text)
