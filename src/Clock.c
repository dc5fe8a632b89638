#include "Clock.h"

#include <time.h>

#define US_PER_S 1000000
#define NS_PER_US 1000

static gint64 frozen_us; /* 0 if the time is not frozen */

void
Clock_freeze(gint64 us)
{
    frozen_us = us;
}

/* CLOCK_MONOTONIC does not advance while the machine is suspended. Data from
 * before a suspension of 30 s would count as fresh after it, and a key that
 * was revoked in the meantime would be accepted. */
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
    return frozen_us > 0 ? frozen_us : boot_us();
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
    gint64 wait_ms = MAX(ms, 0);
    struct timeval time = {wait_ms / 1000, (wait_ms % 1000) * 1000};
    evtimer_add(timer, &time);
}
