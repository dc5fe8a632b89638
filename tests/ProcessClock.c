#include "ProcessClock.h"

#include <errno.h>
#include <glib.h>
#include <sys/epoll.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#define NS_PER_S 1000000000
#define NS_PER_MS 1000000

/* These take the place of the C library's for the whole process, also in
 * programs that never start the clock. */
int clock_gettime(clockid_t clock, struct timespec *out);
int clock_nanosleep(clockid_t clock, int flags, const struct timespec *time,
                    struct timespec *left);
int nanosleep(const struct timespec *time, struct timespec *left);

static gboolean is_started;
static gint64 stalled_ns;
static gint64 real_before_ns;
static gint64 run_before_ns;
static gint64 waited_ns; /* since then, as long as was asked for */

static gint64
to_ns(const struct timespec *time)
{
    return (gint64)time->tv_sec * NS_PER_S + time->tv_nsec;
}

static gint64
read_ns(clockid_t clock)
{
    struct timespec now = {0};
    syscall(SYS_clock_gettime, clock, &now);
    return to_ns(&now);
}

/* Without other threads, the process has run or waited. */
static void
advance(void)
{
    gint64 real_ns = read_ns(CLOCK_BOOTTIME);
    gint64 run_ns = read_ns(CLOCK_PROCESS_CPUTIME_ID);
    gint64 counted_ns = run_ns - run_before_ns + waited_ns;
    stalled_ns += MAX(real_ns - real_before_ns - counted_ns, 0);
    real_before_ns = real_ns;
    run_before_ns = run_ns;
    waited_ns = 0;
}

void
ProcessClock_start(void)
{
    if (!is_started) {
        is_started = TRUE;
        real_before_ns = read_ns(CLOCK_BOOTTIME);
        run_before_ns = read_ns(CLOCK_PROCESS_CPUTIME_ID);
        waited_ns = 0;
    }
}

static gboolean
advances_so(clockid_t clock)
{
    return clock == CLOCK_MONOTONIC || clock == CLOCK_MONOTONIC_COARSE ||
           clock == CLOCK_BOOTTIME;
}

int
clock_gettime(clockid_t clock, struct timespec *out)
{
    if (!is_started || !advances_so(clock)) {
        return (int)syscall(SYS_clock_gettime, clock, out);
    }
    advance();
    /* A second reading would run ahead of what the next one may return. */
    gint64 now_ns = real_before_ns - stalled_ns;
    out->tv_sec = now_ns / NS_PER_S;
    out->tv_nsec = now_ns % NS_PER_S;
    return 0;
}

static void
note_wait(gint64 began_ns, gint64 asked_ns)
{
    waited_ns += MIN(read_ns(CLOCK_BOOTTIME) - began_ns, asked_ns);
}

int
epoll_wait(int epfd, struct epoll_event *events, int maxevents, int timeout)
{
    gint64 began_ns = read_ns(CLOCK_BOOTTIME);
    int count = (int)syscall(SYS_epoll_pwait, epfd, events, maxevents, timeout,
                             NULL, 0);
    note_wait(began_ns,
              timeout < 0 ? G_MAXINT64 : (gint64)timeout * NS_PER_MS);
    return count;
}

int
nanosleep(const struct timespec *time, struct timespec *left)
{
    gint64 began_ns = read_ns(CLOCK_BOOTTIME);
    int result = (int)syscall(SYS_nanosleep, time, left);
    note_wait(began_ns, to_ns(time));
    return result;
}

/* The result is the error, unlike that of other calls. */
int
clock_nanosleep(clockid_t clock, int flags, const struct timespec *time,
                struct timespec *left)
{
    gint64 began_ns = read_ns(CLOCK_BOOTTIME);
    gint64 asked_ns =
        to_ns(time) - (flags & TIMER_ABSTIME ? read_ns(clock) : 0);
    long result = syscall(SYS_clock_nanosleep, clock, flags, time, left);
    note_wait(began_ns, MAX(asked_ns, 0));
    return result < 0 ? errno : 0;
}
