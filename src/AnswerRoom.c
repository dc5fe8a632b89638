#include "AnswerRoom.h"

#include "Clock.h"
#include "Log.h"
#include "PendingReply.h"

#define TICK_MS 50
/* What one answer may add before the room is looked at again. */
#define STEP_BYTES ((gsize)64 << 10)

struct AnswerRoom {
    struct event *timer;
    const gsize *arriving;
    gsize max;
    GQueue waiting;        /* AnswerWaiter_t, in turn */
    AnswerWaiter_t *first; /* goes on beyond the bound, or NULL */
};

static gsize
held_bytes(const AnswerRoom_t *this)
{
    return *this->arriving + PendingReply_bytes();
}

/* The other half is for the first of those that wait. */
static gboolean
is_full(const AnswerRoom_t *this, gsize added)
{
    return *this->arriving + added > this->max / 2 ||
           held_bytes(this) + added > this->max;
}

/* Beyond a half, callers that read nothing are given up, so that others may
 * wait for that. */
static gboolean
is_mostly_pending(const AnswerRoom_t *this)
{
    return PendingReply_bytes() > this->max / 2;
}

static gboolean
needs_first(const AnswerRoom_t *this)
{
    return !this->first && !is_mostly_pending(this);
}

static void
log_step(const AnswerRoom_t *this, const char *event)
{
    gint64 arriving = (gint64)(*this->arriving);
    Log_begin(LOG_LEVEL_INFO, event);
    Log_number("arriving_bytes", arriving);
    Log_number("pending_bytes", (gint64)PendingReply_bytes());
    Log_number("answers_max", (gint64)this->max);
    Log_number("waiting", this->waiting.length);
    Log_end();
}

static void
resume_waiter(AnswerRoom_t *this, AnswerWaiter_t *waiter)
{
    g_queue_unlink(&this->waiting, &waiter->link);
    waiter->is_waiting = FALSE;
    if (this->waiting.length == 0) {
        log_step(this, "answers_resumed");
    }
    waiter->resume(waiter->owner);
}

static void
resume_next(AnswerRoom_t *this)
{
    resume_waiter(this, this->waiting.head->data);
}

/* The next one may have ended by the time it is looked at. */
static AnswerWaiter_t *
find_passable(const AnswerRoom_t *this)
{
    for (const GList *link = this->waiting.head; link; link = link->next) {
        AnswerWaiter_t *waiter = link->data;
        if (waiter->may_pass) {
            return waiter;
        }
    }
    return NULL;
}

/* Each holds less then. */
static void
resume_passable(AnswerRoom_t *this)
{
    AnswerWaiter_t *waiter = NULL;
    while (is_mostly_pending(this) && (waiter = find_passable(this))) {
        resume_waiter(this, waiter);
    }
}

static void
resume_waiting(AnswerRoom_t *this)
{
    resume_passable(this);
    for (gsize added = 0; this->waiting.length > 0 && !is_full(this, added);
         added += STEP_BYTES) {
        resume_next(this);
    }
    if (this->waiting.length > 0 && needs_first(this)) {
        this->first = this->waiting.head->data;
        resume_next(this);
    }
}

static void
give_up_stalled(const AnswerRoom_t *this)
{
    gint64 now_ms = Clock_nowMs();
    if (!is_mostly_pending(this)) {
        return;
    }
    PendingReply_noteProgress(now_ms);
    while (is_mostly_pending(this) &&
           PendingReply_giveUp(now_ms, ANSWER_ROOM_STALL_MS)) {
    }
}

static void
on_tick(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    AnswerRoom_t *this = data;
    give_up_stalled(this);
    resume_waiting(this);
    if (this->waiting.length > 0 || is_mostly_pending(this)) {
        Clock_arm(this->timer, TICK_MS);
    }
}

/* Ticks while somebody waits for room. */
static void
begin_ticks(const AnswerRoom_t *this)
{
    if (!evtimer_pending(this->timer, NULL)) {
        Clock_arm(this->timer, TICK_MS);
    }
}

AnswerRoom_t *
AnswerRoom_create(struct event_base *base, const gsize *arriving, gsize max)
{
    AnswerRoom_t *this = g_new0(AnswerRoom_t, 1);
    this->arriving = arriving;
    this->max = max;
    this->timer = Clock_timer(base, on_tick, this);
    return this;
}

void
AnswerRoom_destroy(AnswerRoom_t *this)
{
    while (this->waiting.length > 0) {
        AnswerWaiter_t *waiter = g_queue_pop_head_link(&this->waiting)->data;
        waiter->is_waiting = FALSE;
    }
    event_free(this->timer);
    g_free(this);
}

void
AnswerRoom_setMax(AnswerRoom_t *this, gsize max)
{
    this->max = max;
}

gboolean
AnswerRoom_isUsedUp(const AnswerRoom_t *this)
{
    gboolean is_used_up =
        held_bytes(this) > this->max && is_mostly_pending(this);
    if (is_used_up) {
        begin_ticks(this);
    }
    return is_used_up;
}

void
AnswerWaiter_init(AnswerWaiter_t *this, AnswerRoom_t *room,
                  void (*resume)(void *owner), void *owner)
{
    *this = (AnswerWaiter_t){.resume = resume, .owner = owner, .room = room};
    this->link.data = this;
}

void
AnswerWaiter_clear(AnswerWaiter_t *this)
{
    if (this->is_waiting) {
        this->is_waiting = FALSE;
        g_queue_unlink(&this->room->waiting, &this->link);
    }
    if (this->room->first == this) {
        this->room->first = NULL;
        Clock_arm(this->room->timer, 0);
    }
}

static gboolean
is_short(const AnswerRoom_t *room, gsize received)
{
    return received > ANSWER_ROOM_FREE_MAX && is_full(room, 0);
}

static void
wait(AnswerWaiter_t *this)
{
    if (this->is_waiting) {
        return;
    }
    this->is_waiting = TRUE;
    g_queue_push_tail_link(&this->room->waiting, &this->link);
    begin_ticks(this->room);
    if (this->room->waiting.length == 1) {
        log_step(this->room, "answers_wait");
    }
}

gboolean
AnswerWaiter_mustWait(AnswerWaiter_t *this, gsize received)
{
    AnswerRoom_t *room = this->room;
    if (!is_short(room, received) || room->first == this) {
        return FALSE;
    }
    if (needs_first(room)) {
        room->first = this;
        return FALSE;
    }
    wait(this);
    return TRUE;
}

gboolean
AnswerWaiter_mustPass(const AnswerWaiter_t *this, gsize received)
{
    const AnswerRoom_t *room = this->room;
    gboolean must_pass =
        this->may_pass && is_short(room, received) && is_mostly_pending(room);
    if (must_pass) {
        begin_ticks(room);
    }
    return must_pass;
}
