#include "AcceptHold.h"

#include "Clock.h"
#include "Log.h"

/* How often it is looked whether enough is known: some in the 10 to 120 ms
 * that a list of the store takes; none follow afterwards. */
#define LOOK_EVERY_MS 5

struct AcceptHold {
    AcceptHoldSpec_t spec;
    struct event *look;
    gint64 began_ms;
    gboolean over;
};

static void
end(AcceptHold_t *this, const char *reason)
{
    this->over = TRUE;
    evconnlistener_enable(this->spec.listener);
    Log_begin(LOG_LEVEL_INFO, "callers_accepted");
    Log_text("reason", reason);
    Log_number("held_ms", Clock_nowMs() - this->began_ms);
    Log_end();
}

static void
on_look(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    AcceptHold_t *this = data;
    if (this->spec.is_known(this->spec.owner)) {
        end(this, "known");
    }
    else if (Clock_nowMs() - this->began_ms >= ACCEPT_HOLD_MS) {
        end(this, "waited_long");
    }
    else {
        Clock_arm(this->look, LOOK_EVERY_MS);
    }
}

AcceptHold_t *
AcceptHold_create(struct event_base *base, const AcceptHoldSpec_t *spec)
{
    AcceptHold_t *this = g_new0(AcceptHold_t, 1);
    this->spec = *spec;
    this->began_ms = Clock_nowMs();
    this->look = Clock_timer(base, on_look, this);
    evconnlistener_disable(spec->listener);
    Clock_arm(this->look, LOOK_EVERY_MS);
    return this;
}

void
AcceptHold_destroy(AcceptHold_t *this)
{
    event_free(this->look);
    g_free(this);
}

gboolean
AcceptHold_isOver(const AcceptHold_t *this)
{
    return this->over;
}
