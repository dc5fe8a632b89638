#include "RateCounts.h"

#include "Clock.h"

/* Between two looks at who is reached, and whether this process stood still;
 * the second one comes as soon as who was asked at the first can have
 * answered, so that a new keeper of a part of the routers lets in its part
 * only. */
#define LOOK_MS 250
#define SECOND_LOOK_MS 30
/* Who is reached is looked at for so long after a customer was near its limit:
 * with the whole limit in between, a part of the routers would fill its count
 * again and again. */
#define REACH_MS 2000
/* A look that comes so late means that this process stood still, while others
 * took over its counts. */
#define STOOD_STILL_MS 1000
#define SWEEP_LOOKS 64

struct RateCounts {
    RateLinks_t *links;
    RateRoll_t *roll;
    RateBook_t *book;
    Reach_t *reach;
    gint64 looked_ms;  /* 0 while no count is kept */
    gint64 due_ms;     /* when to look again */
    gint64 pressed_ms; /* when a subject was last near its limit */
    guint looks;
};

RateCounts_t *
RateCounts_create(RateLinks_t *links, RateRoll_t *roll)
{
    RateCounts_t *this = g_new0(RateCounts_t, 1);
    this->links = links;
    this->roll = roll;
    this->book = RateBook_create();
    this->reach = Reach_create();
    return this;
}

void
RateCounts_destroy(RateCounts_t *this)
{
    RateBook_destroy(this->book);
    Reach_destroy(this->reach);
    g_free(this);
}

typedef struct {
    const RateLinks_t *links;
    const char *subject;
    RateRuling_t ruling;
} Closing_t;

static void
tell_closed(guint64 from, void *data)
{
    const Closing_t *closing = data;
    if (from != RATE_SELF) {
        RateLinks_answer(closing->links, from, closing->subject, 0,
                         &closing->ruling);
    }
}

static void
keep_looking(RateCounts_t *this, gint64 now_ms)
{
    if (this->looked_ms == 0) {
        this->looked_ms = now_ms;
        this->due_ms = now_ms;
        this->looks = 0;
        RateLinks_wake(this->links, 0);
    }
}

RateRuling_t
RateCounts_rule(RateCounts_t *this, const RateClaim_t *claim)
{
    gint64 now_ms = Clock_nowMs();
    keep_looking(this, now_ms);
    RateBook_setReach(this->book, Reach_fraction(this->reach));
    RateRuling_t ruling = RateBook_rule(this->book, claim, now_ms);
    if (ruling.closed_now) {
        Closing_t closing = {this->links, claim->subject, ruling};
        RateBook_forEachAsker(this->book, claim->subject, now_ms, tell_closed,
                              &closing);
    }
    return ruling;
}

void
RateCounts_drop(RateCounts_t *this, const char *subject)
{
    RateBook_drop(this->book, subject);
}

void
RateCounts_noteAnswer(RateCounts_t *this, guint64 ticket)
{
    Reach_noteAnswer(this->reach, ticket);
}

static void
send_probe(void *owner, guint64 router, guint64 ticket)
{
    RateLinks_probe(owner, router, ticket);
}

static void
look_at_reach(RateCounts_t *this, gint64 now_ms)
{
    ReachSample_t sample = {0};
    if (RateBook_isPressed(this->book, now_ms)) {
        this->pressed_ms = now_ms;
    }
    if (now_ms - this->pressed_ms > REACH_MS) {
        Reach_reset(this->reach);
        return;
    }
    this->links->class->draw(this->links->owner, &sample);
    Reach_startRound(this->reach, &sample, send_probe, this->links);
}

static void
call_roll(const char *subject, void *data)
{
    RateRoll_call(data, subject);
}

static void
forget(RateCounts_t *this)
{
    RateBook_forget(this->book);
    Reach_reset(this->reach);
    this->looks = 0;
}

void
RateCounts_tick(RateCounts_t *this, gint64 now_ms)
{
    if (this->looked_ms == 0 || now_ms < this->due_ms) {
        return;
    }
    if (now_ms - this->looked_ms > STOOD_STILL_MS) {
        forget(this);
    }
    if (++this->looks % SWEEP_LOOKS == 0) {
        RateBook_sweep(this->book, now_ms);
    }
    look_at_reach(this, now_ms);
    RateBook_forEach(this->book, call_roll, this->roll);
    gboolean keeps = RateBook_counts(this->book) > 0;
    this->looked_ms = keeps ? now_ms : 0;
    this->due_ms = now_ms + (this->looks == 1 ? SECOND_LOOK_MS : LOOK_MS);
}

gint64
RateCounts_dueMs(const RateCounts_t *this)
{
    return this->looked_ms > 0 ? this->due_ms : 0;
}
