#include "MemoryLimit.h"

#include <stdio.h>
#include <sys/resource.h>
#include <unistd.h>

#include "Log.h"

/* Share of the room that answers may use beside the bodies of requests. */
#define ANSWERS_PERCENT 15

/** struct Usage_t - bytes that the limits of a process count */
typedef struct {
    gint64 address_space;
    gint64 data;
} Usage_t;

static Usage_t
read_usage(void)
{
    long long size = 0;
    long long data = 0;
    gint64 page = sysconf(_SC_PAGESIZE);
    FILE *file = fopen("/proc/self/statm", "re");
    if (file) {
        if (fscanf(file, "%lld %*d %*d %*d %*d %lld", &size, &data) != 2) {
            size = 0;
            data = 0;
        }
        fclose(file);
    }
    return (Usage_t){size * page, data * page};
}

static gint64
room_within(int resource, gint64 used)
{
    struct rlimit limit;
    if (getrlimit(resource, &limit) != 0 ||
        limit.rlim_cur >= (rlim_t)G_MAXINT64) {
        return G_MAXINT64;
    }
    return MAX((gint64)limit.rlim_cur - used, 0);
}

gint64
MemoryLimit_room(void)
{
    Usage_t usage = read_usage();
    return MIN(room_within(RLIMIT_AS, usage.address_space),
               room_within(RLIMIT_DATA, usage.data));
}

void
MemoryLimit_fit(LimitsSection_t *limits, gint64 room)
{
    gint64 most = MAX(room, 1); /* 0 is no limit */
    if (limits->memory > 0 && limits->memory <= most) {
        return;
    }
    if (most == G_MAXINT64) {
        return;
    }
    limits->memory = most;
    limits->answers_max =
        MIN(limits->answers_max, most / 100 * ANSWERS_PERCENT);
    Log_begin(LOG_LEVEL_WARNING, "memory_limited");
    Log_number("memory", limits->memory);
    Log_number("answers_max", limits->answers_max);
    Log_end();
}
