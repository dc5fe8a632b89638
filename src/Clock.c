#include "Clock.h"

#include <time.h>

#define US_PER_S 1000000
#define NS_PER_US 1000

static gint64 held_us; /* 0 where time goes on by itself */

void
Clock_hold(gint64 us)
{
    held_us = us;
}

/* CLOCK_MONOTONIC stands still while a machine is suspended: what was known
 * before a suspension of 30 s would count as fresh after it, and a key that
 * was revoked meanwhile would be let in. */
static gint64
boot_us(void)
{
    struct timespec now;
    clock_gettime(CLOCK_BOOTTIME, &now);
    return (gint64)now.tv_sec * US_PER_S + now.tv_nsec / NS_PER_US;
}

gint64
Clock_nowUs(void)
{
    return held_us > 0 ? held_us : boot_us();
}

gint64
Clock_nowMs(void)
{
    return Clock_nowUs() / CLOCK_US_PER_MS;
}

gint64
Clock_wallMs(void)
{
    return g_get_real_time() / CLOCK_US_PER_MS;
}

struct event *
Clock_timer(struct event_base *base, event_callback_fn callback, void *data)
{
    return evtimer_new(base, callback, data);
}

void
Clock_arm(struct event *timer, gint64 ms)
{
    gint64 wait = MAX(ms, 0);
    struct timeval time = {wait / 1000, (wait % 1000) * 1000};
    evtimer_add(timer, &time);
}
