#include "Clock.h"

static gint64 held_us; /* 0 where time goes on by itself */

void
Clock_hold(gint64 us)
{
    held_us = us;
}

gint64
Clock_nowUs(void)
{
    return held_us > 0 ? held_us : g_get_monotonic_time();
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
