#include "LinkClock.h"

#define NONE G_MAXINT64
/* Larger times and differences are not from a clock of a link. */
#define TIME_MAX_MS (G_GINT64_CONSTANT(1) << 40)

void
LinkClock_init(LinkClock_t *this, gint64 now_ms)
{
    *this = (LinkClock_t){
        .start_ms = now_ms,
        .window_ms = now_ms,
        .ahead_ms = {NONE, NONE},
    };
}

static gint64
smallest_ahead_ms(const LinkClock_t *this)
{
    return MIN(this->ahead_ms[0], this->ahead_ms[1]);
}

static void
begin_window(LinkClock_t *this, gint64 now_ms)
{
    gint64 passed_ms = now_ms - this->window_ms;
    if (passed_ms < LINK_CLOCK_WINDOW_MS) {
        return;
    }
    this->ahead_ms[1] = passed_ms < (gint64)2 * LINK_CLOCK_WINDOW_MS
                            ? this->ahead_ms[0]
                            : NONE;
    this->ahead_ms[0] = NONE;
    this->window_ms = now_ms;
}

void
LinkClock_stamp(const LinkClock_t *this, gint64 now_ms, Wt__LinkTime *out)
{
    gint64 ahead_ms = smallest_ahead_ms(this);
    wt__link_time__init(out);
    out->sent_ms = (guint64)(now_ms - this->start_ms);
    out->has_heard = ahead_ms != NONE;
    out->ahead_ms = out->has_heard ? ahead_ms : 0;
}

static gboolean
is_plausible(const Wt__LinkTime *time)
{
    return time->sent_ms <= TIME_MAX_MS && time->ahead_ms <= TIME_MAX_MS &&
           time->ahead_ms >= -TIME_MAX_MS;
}

gint64
LinkClock_receive(LinkClock_t *this, const Wt__LinkTime *time, gint64 now_ms)
{
    if (!time || !is_plausible(time)) {
        return 0;
    }
    gint64 elapsed_ms = now_ms - this->start_ms;
    gint64 sent_ms = (gint64)time->sent_ms;
    begin_window(this, now_ms);
    this->ahead_ms[0] = MIN(this->ahead_ms[0], elapsed_ms - sent_ms);
    return time->has_heard ? MAX(elapsed_ms - sent_ms + time->ahead_ms, 0)
                           : elapsed_ms;
}
