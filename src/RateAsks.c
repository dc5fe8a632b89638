#include "RateAsks.h"

#include "Clock.h"

struct RateAsks {
    RateLinks_t *links;
    GHashTable *by_ticket; /* &ticket -> RateAsk_t */
    GQueue *waiting;       /* RateAsk_t in the order in which they fall due */
};

static void
free_ask(gpointer data)
{
    RateAsk_t *ask = data;
    g_string_free(ask->subject, TRUE);
    g_free(ask);
}

RateAsks_t *
RateAsks_create(RateLinks_t *links)
{
    RateAsks_t *this = g_new0(RateAsks_t, 1);
    this->links = links;
    this->by_ticket =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_ask);
    this->waiting = g_queue_new();
    return this;
}

void
RateAsks_destroy(RateAsks_t *this)
{
    g_queue_free(this->waiting);
    g_hash_table_destroy(this->by_ticket);
    g_free(this);
}

RateAsk_t *
RateAsks_add(RateAsks_t *this, void *asker, const RateRequest_t *request)
{
    RateAsk_t *ask = g_new0(RateAsk_t, 1);
    ask->asker = asker;
    ask->ticket = RateLinks_nextTicket(this->links);
    ask->subject = g_string_new(request->subject);
    ask->limit = request->limit;
    ask->units = request->units;
    g_hash_table_insert(this->by_ticket, &ask->ticket, ask);
    RateAsks_wait(this, ask, RATE_STEP_ASKED);
    return ask;
}

/* All wait for the same time, so that the order in which they began is that in
 * which they fall due. */
void
RateAsks_wait(RateAsks_t *this, RateAsk_t *ask, RateStep_t step)
{
    ask->step = step;
    ask->late_ms = Clock_nowMs() + RATE_WAIT_MS;
    g_queue_remove(this->waiting, ask);
    g_queue_push_tail(this->waiting, ask);
    RateLinks_wake(this->links, RATE_WAIT_MS);
}

RateAsk_t *
RateAsks_find(const RateAsks_t *this, guint64 ticket)
{
    return g_hash_table_lookup(this->by_ticket, &ticket);
}

RateAsk_t *
RateAsks_firstLate(const RateAsks_t *this, gint64 now_ms)
{
    RateAsk_t *ask = g_queue_peek_head(this->waiting);
    return ask && ask->late_ms <= now_ms ? ask : NULL;
}

void
RateAsks_wakeAgain(const RateAsks_t *this, gint64 now_ms)
{
    const RateAsk_t *next = g_queue_peek_head(this->waiting);
    if (next) {
        RateLinks_wake(this->links, next->late_ms - now_ms);
    }
}

/* The question is gone before its owner hears, who may ask again. */
void
RateAsks_finish(RateAsks_t *this, RateAsk_t *ask, const RateVerdict_t *verdict)
{
    RateDone_t done = ask->cancelled ? NULL : ask->done;
    void *owner = ask->owner;
    g_queue_remove(this->waiting, ask);
    g_hash_table_remove(this->by_ticket, &ask->ticket);
    if (done) {
        done(owner, verdict);
    }
}

RateRequest_t
RateAsk_request(const RateAsk_t *this)
{
    return (RateRequest_t){
        .subject = this->subject->str,
        .limit = this->limit,
        .units = this->units,
    };
}
