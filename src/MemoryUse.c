#include "MemoryUse.h"

#include <errno.h>
#include <fcntl.h>
#include <malloc.h>
#include <stdio.h>
#include <unistd.h>

#include "Log.h"

/* The kernel's count costs a system call. */
#define MEASURE_MS 20
/* What is taken between two measurements, and by those who don't ask. */
#define RESERVE_PERCENT 10
#define TIGHT_PERCENT 70
#define FULL_PERCENT 82
#define STATM_MAX 128
/* Giving pages back costs a walk through the heap. */
#define TRIM_MS 250
/* While calls may be refused for want of them. */
#define TRIM_FULL_MS 50
/* Part of its memory that the program may need for itself. */
#define OWN_PARTS 4

/* Of a sanitizer's allocator, which keeps what is freed; NULL without one. */
extern size_t __sanitizer_get_current_allocated_bytes(void)
    __attribute__((weak));

struct MemoryUse {
    int statm; /* descriptor, or -1 */
    gsize page_bytes;
    gsize max;
    gsize added;
    gsize own;          /* of the process itself */
    gint64 measured_ms; /* 0 if never */
    gint64 trimmed_ms;
};

MemoryUse_t *
MemoryUse_create(gsize max)
{
    MemoryUse_t *this = g_new0(MemoryUse_t, 1);
    this->max = max;
    this->page_bytes = (gsize)sysconf(_SC_PAGESIZE);
    this->statm = open("/proc/self/statm", O_RDONLY | O_CLOEXEC);
    if (this->statm < 0) {
        Log_begin(LOG_LEVEL_WARNING, "memory_not_measured");
        Log_text("error", g_strerror(errno));
        Log_end();
    }
    return this;
}

void
MemoryUse_destroy(MemoryUse_t *this)
{
    if (this->statm >= 0) {
        close(this->statm);
    }
    g_free(this);
}

void
MemoryUse_setMax(MemoryUse_t *this, gsize max)
{
    this->max = max;
}

void
MemoryUse_add(MemoryUse_t *this, gssize bytes)
{
    this->added += (gsize)bytes;
}

/* The last figure stays if there is no newer one. */
static void
measure_resident(MemoryUse_t *this)
{
    char text[STATM_MAX];
    unsigned long long pages = 0;
    ssize_t length =
        this->statm >= 0 ? pread(this->statm, text, sizeof(text) - 1, 0) : -1;
    if (length <= 0) {
        return;
    }
    text[length] = '\0';
    if (sscanf(text, "%*u %llu", &pages) == 1) {
        this->own = (gsize)pages * this->page_bytes;
    }
}

/* What a sanitizer needs besides is not the program's, and no refusal would
 * free it. */
static void
measure(MemoryUse_t *this)
{
    if (__sanitizer_get_current_allocated_bytes) {
        this->own = __sanitizer_get_current_allocated_bytes();
        return;
    }
    measure_resident(this);
}

gsize
MemoryUse_used(MemoryUse_t *this, gint64 now_ms)
{
    if (this->measured_ms == 0 || now_ms - this->measured_ms >= MEASURE_MS) {
        measure(this);
        this->measured_ms = now_ms;
    }
    return this->own + this->added;
}

gsize
MemoryUse_own(const MemoryUse_t *this)
{
    return this->own;
}

gsize
MemoryUse_max(const MemoryUse_t *this)
{
    return this->max;
}

gsize
MemoryUse_fit(gsize max, gsize own)
{
    if (max == 0 || own <= max / OWN_PARTS) {
        return max;
    }
    Log_begin(LOG_LEVEL_WARNING, "memory_not_kept");
    Log_number("memory", (gint64)max);
    Log_number("own", (gint64)own);
    Log_end();
    return 0;
}

static gint64
trim_interval(MemoryUse_t *this, gint64 now_ms)
{
    return MemoryUse_level(this, now_ms) == MEMORY_FULL ? TRIM_FULL_MS
                                                        : TRIM_MS;
}

void
MemoryUse_trim(MemoryUse_t *this, gint64 now_ms)
{
    if (now_ms - this->trimmed_ms >= trim_interval(this, now_ms)) {
        malloc_trim(0);
        this->trimmed_ms = now_ms;
        this->measured_ms = 0;
    }
}

gsize
MemoryUse_excess(MemoryUse_t *this, gint64 now_ms)
{
    gsize easy = this->max / 100 * TIGHT_PERCENT;
    gsize used = MemoryUse_used(this, now_ms);
    return this->max > 0 && used > easy ? used - easy : 0;
}

gsize
MemoryUse_room(MemoryUse_t *this, gint64 now_ms)
{
    gsize most = this->max / 100 * (100 - RESERVE_PERCENT);
    gsize used = MemoryUse_used(this, now_ms);
    if (this->max == 0) {
        return G_MAXSIZE;
    }
    return most > used ? most - used : 0;
}

MemoryLevel_t
MemoryUse_level(MemoryUse_t *this, gint64 now_ms)
{
    return MemoryUse_levelWith(this, 0, now_ms);
}

MemoryLevel_t
MemoryUse_levelWith(MemoryUse_t *this, gsize more, gint64 now_ms)
{
    gsize used = MemoryUse_used(this, now_ms) + more;
    gsize percent = this->max / 100;
    if (this->max == 0 || used <= percent * TIGHT_PERCENT) {
        return MEMORY_EASY;
    }
    return used <= percent * FULL_PERCENT ? MEMORY_TIGHT : MEMORY_FULL;
}
