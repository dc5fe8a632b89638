#include "Arrivals.h"

#include "Clock.h"

#define CHECK_MS 100
/* A check that comes later than this follows a time in which the process did
 * not run, and nothing of what came meanwhile was read. */
#define LATE_MS 400
/* Time without progress after which a request gives way to memory that is
 * short, and to bodies that wait: half of the time that they wait at most. */
#define STALL_SHORT_MS 1000
#define STALL_AWAITED_MS 5000

struct Arrivals {
    ArrivalsSpec_t spec;
    GQueue requests; /* Arrival_t, the longest without progress first */
    struct event *timer;
    gint64 checked_ms;
};

static void
arm(Arrivals_t *this)
{
    if (this->requests.length > 0 && !evtimer_pending(this->timer, NULL)) {
        Clock_arm(this->timer, CHECK_MS);
    }
}

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Arrivals_t *this = data;
    Arrivals_check(this, Clock_nowMs());
    arm(this);
}

Arrivals_t *
Arrivals_create(struct event_base *base, const ArrivalsSpec_t *spec)
{
    Arrivals_t *this = g_new0(Arrivals_t, 1);
    this->spec = *spec;
    g_queue_init(&this->requests);
    this->timer = Clock_timer(base, on_timer, this);
    return this;
}

void
Arrivals_destroy(Arrivals_t *this)
{
    event_free(this->timer);
    g_free(this);
}

void
Arrival_note(Arrival_t *this, Arrivals_t *arrivals, gint64 now_ms)
{
    this->progress_ms = now_ms;
    this->link.data = this;
    if (this->arrivals) {
        g_queue_unlink(&arrivals->requests, &this->link);
    }
    else if (arrivals->requests.length == 0) {
        arrivals->checked_ms = now_ms;
    }
    this->arrivals = arrivals;
    g_queue_push_tail_link(&arrivals->requests, &this->link);
    arm(arrivals);
}

void
Arrival_remove(Arrival_t *this)
{
    if (this->arrivals) {
        g_queue_unlink(&this->arrivals->requests, &this->link);
        this->arrivals = NULL;
    }
}

void
Arrivals_dropGone(Arrivals_t *this)
{
    GList *link = this->requests.head;
    while (link) {
        const Arrival_t *request = link->data;
        link = link->next;
        this->spec.is_gone(request->owner);
    }
}

/* Requests that give way are removed. */
static void
free_memory(Arrivals_t *this, gint64 now_ms)
{
    gsize excess = MemoryUse_excess(this->spec.memory, now_ms);
    gsize freed = 0;
    GList *link = this->requests.head;
    while (link && freed < excess) {
        const Arrival_t *request = link->data;
        gsize bytes = request->bytes;
        link = link->next;
        if (now_ms - request->progress_ms < STALL_SHORT_MS) {
            return;
        }
        if (this->spec.give_way(request->owner, ARRIVAL_SHORT)) {
            freed += bytes;
        }
    }
}

static const Arrival_t *
find_awaited(const Arrivals_t *this, gint64 now_ms)
{
    for (const GList *link = this->requests.head; link; link = link->next) {
        const Arrival_t *request = link->data;
        if (now_ms - request->progress_ms < STALL_AWAITED_MS) {
            return NULL;
        }
        if (request->room > 0) {
            return request;
        }
    }
    return NULL;
}

/* One at a time, as the next check shows what its room has served for. */
static void
free_room(Arrivals_t *this, gint64 now_ms)
{
    const Arrival_t *request = find_awaited(this, now_ms);
    if (request && BodyBudget_waiting(this->spec.budget) > 0) {
        this->spec.give_way(request->owner, ARRIVAL_AWAITED);
    }
}

void
Arrivals_check(Arrivals_t *this, gint64 now_ms)
{
    gboolean is_late = now_ms - this->checked_ms > LATE_MS;
    this->checked_ms = now_ms;
    Arrivals_dropGone(this);
    if (is_late) {
        return;
    }
    free_room(this, now_ms);
    if (MemoryUse_level(this->spec.memory, now_ms) == MEMORY_EASY) {
        return;
    }
    MemoryUse_trim(this->spec.memory, now_ms);
    free_memory(this, now_ms);
}
