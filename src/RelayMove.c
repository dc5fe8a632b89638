#include "RelayMove.h"

#include "Clock.h"
#include "RelayRun.h"

/* A stream is moved if its next event is expected within this share of the
 * pause that its route aims at; the rest is for what is not foreseen. */
#define MOVE_PAUSE_PERCENT 50

static const Upstream_t *
movable_upstream(const void *stream)
{
    const RelayExchange_t *this = stream;
    return this->attempt ? this->super.upstream : NULL;
}

static const char *
movable_target(const void *stream)
{
    const RelayExchange_t *this = stream;
    return this->super.target->str;
}

/* The pause until its next event must stay one that goes unnoticed. */
static gboolean
is_near(const RelayExchange_t *this)
{
    RelayWish_t wish = RelayExchange_wish(this);
    RelayPlacing_t placing;
    wish.avoid = this->super.upstream;
    RelayPlacer_choose(this->super.context, &wish, &placing);
    return placing.choice.upstream &&
           placing.choice.cost_us <= this->route->pause_ms * CLOCK_US_PER_MS *
                                         MOVE_PAUSE_PERCENT / 100;
}

static void
move(void *stream)
{
    RelayExchange_t *this = stream;
    if (!is_near(this)) {
        return;
    }
    RelayRun_cancel(this);
    RelayMove_forbid(this);
    Exchange_noteEnd(&this->super, ATTEMPT_MOVED);
    EventPipe_restart(this->events);
    Exchange_recover(&this->super, ATTEMPT_MOVED, NULL);
}

static const MovableClass_t movable_class = {
    .upstream = movable_upstream,
    .target = movable_target,
    .move = move,
};

/* One that has begun: before that its engine would refuse it by itself. The
 * last attempt is kept for failures. */
void
RelayMove_allow(RelayExchange_t *this)
{
    if (this->route->by_prefix && Exchange_mayRepeat(&this->super)) {
        StreamMover_add(this->super.context->mover, this, &movable_class);
    }
}

void
RelayMove_forbid(RelayExchange_t *this)
{
    StreamMover_remove(this->super.context->mover, this);
}
