#include "Allocator.h"

#include <malloc.h>

/* A block from here on has pages of its own. */
#define OWN_PAGES_BYTES (64 * 1024)
/* Free bytes at the end of the heap that are kept. */
#define KEPT_BYTES (256 * 1024)
#define LONG_TEXT ((gsize)256 * 1024)

void
Allocator_init(void)
{
    mallopt(M_MMAP_THRESHOLD, OWN_PAGES_BYTES);
    mallopt(M_TRIM_THRESHOLD, KEPT_BYTES);
    mallopt(M_ARENA_MAX, 1);
}

void
Allocator_giveBack(gsize bytes)
{
    if (bytes >= LONG_TEXT) {
        malloc_trim(0);
    }
}
