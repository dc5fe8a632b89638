#include "AcceptHold.h"

#include "Clock.h"
#include "Log.h"

/* Interval between calls of is_known(). Listing the store takes 10 to 120 ms,
 * so that several checks fall into that time; the timer stops when the hold
 * ends. */
#define CHECK_INTERVAL_MS 5

struct AcceptHold {
    AcceptHoldSpec_t spec;
    struct event *check_timer;
    gint64 started_ms;
    gboolean is_over;
};

static void
end_hold(AcceptHold_t *this, const char *reason)
{
    this->is_over = TRUE;
    evconnlistener_enable(this->spec.listener);
    Log_begin(LOG_LEVEL_INFO, "callers_accepted");
    Log_text("reason", reason);
    Log_number("held_ms", Clock_nowMs() - this->started_ms);
    Log_end();
}

static void
on_check(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    AcceptHold_t *this = data;
    if (this->spec.is_known(this->spec.owner)) {
        end_hold(this, "known");
    }
    else if (Clock_nowMs() - this->started_ms >= ACCEPT_HOLD_MAX_MS) {
        end_hold(this, "waited_long");
    }
    else {
        Clock_arm(this->check_timer, CHECK_INTERVAL_MS);
    }
}

AcceptHold_t *
AcceptHold_create(struct event_base *base, const AcceptHoldSpec_t *spec)
{
    AcceptHold_t *this = g_new0(AcceptHold_t, 1);
    this->spec = *spec;
    this->started_ms = Clock_nowMs();
    this->check_timer = Clock_timer(base, on_check, this);
    evconnlistener_disable(spec->listener);
    Clock_arm(this->check_timer, CHECK_INTERVAL_MS);
    return this;
}

void
AcceptHold_destroy(AcceptHold_t *this)
{
    event_free(this->check_timer);
    g_free(this);
}

void
AcceptHold_end(AcceptHold_t *this)
{
    if (!this->is_over) {
        evtimer_del(this->check_timer);
        end_hold(this, "stopping");
    }
}

gboolean
AcceptHold_isOver(const AcceptHold_t *this)
{
    return this->is_over;
}
