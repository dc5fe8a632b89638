/**
 * DOC: suspended_clock
 *
 * Simulates a suspended machine in a router that preloads this library:
 * CLOCK_BOOTTIME and CLOCK_REALTIME, which continue during a suspension, are
 * advanced by the number of seconds in the file named by SUSPENDED_CLOCK.
 */
#include <stdio.h>
#include <stdlib.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

int clock_gettime(clockid_t clock, struct timespec *out);

static long
suspended_s(void)
{
    const char *path = getenv("SUSPENDED_CLOCK");
    FILE *file = path ? fopen(path, "r") : NULL;
    long seconds = 0;
    if (!file) {
        return 0;
    }
    if (fscanf(file, "%ld", &seconds) != 1) {
        seconds = 0;
    }
    fclose(file);
    return seconds;
}

int
clock_gettime(clockid_t clock, struct timespec *out)
{
    int failed = (int)syscall(SYS_clock_gettime, clock, out);
    if (clock == CLOCK_BOOTTIME || clock == CLOCK_REALTIME) {
        out->tv_sec += suspended_s();
    }
    return failed;
}
