#ifndef HEADER_AllocatedBytes
#define HEADER_AllocatedBytes
/**
 * DOC: AllocatedBytes
 *
 * What the allocator holds for the program.
 */
#include <glib.h>
#include <malloc.h>

/* Of a sanitizer's allocator; NULL without one. */
extern size_t __sanitizer_get_current_allocated_bytes(void)
    __attribute__((weak));

/** AllocatedBytes_now() - bytes allocated and not freed */
static inline gsize
AllocatedBytes_now(void)
{
    if (__sanitizer_get_current_allocated_bytes) {
        return __sanitizer_get_current_allocated_bytes();
    }
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

#endif
