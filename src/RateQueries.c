#include "RateQueries.h"

#include "Clock.h"

struct RateQueries {
    RateLinks_t *links;
    GHashTable *by_ticket; /* &ticket -> RateQuery_t */
    GQueue *waiting;       /* RateQuery_t, ordered by deadline */
};

static void
free_query(gpointer data)
{
    RateQuery_t *query = data;
    g_string_free(query->subject, TRUE);
    g_free(query);
}

RateQueries_t *
RateQueries_create(RateLinks_t *links)
{
    RateQueries_t *this = g_new0(RateQueries_t, 1);
    this->links = links;
    this->by_ticket =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_query);
    this->waiting = g_queue_new();
    return this;
}

void
RateQueries_destroy(RateQueries_t *this)
{
    g_queue_free(this->waiting);
    g_hash_table_destroy(this->by_ticket);
    g_free(this);
}

RateQuery_t *
RateQueries_add(RateQueries_t *this, void *requester,
                const RateRequest_t *request)
{
    RateQuery_t *query = g_new0(RateQuery_t, 1);
    query->requester = requester;
    query->ticket = RateLinks_nextTicket(this->links);
    query->subject = g_string_new(request->subject);
    query->limit = request->limit;
    query->units = request->units;
    g_hash_table_insert(this->by_ticket, &query->ticket, query);
    RateQueries_awaitReply(this, query, RATE_STEP_QUERIED);
    return query;
}

/* All steps have the same timeout, so appending keeps the queue ordered by
 * deadline. */
void
RateQueries_awaitReply(RateQueries_t *this, RateQuery_t *query,
                       RateStep_t step)
{
    query->step = step;
    query->deadline_ms = Clock_nowMs() + RATE_REPLY_TIMEOUT_MS;
    g_queue_remove(this->waiting, query);
    g_queue_push_tail(this->waiting, query);
    RateLinks_scheduleTick(this->links, RATE_REPLY_TIMEOUT_MS);
}

RateQuery_t *
RateQueries_find(const RateQueries_t *this, guint64 ticket)
{
    return g_hash_table_lookup(this->by_ticket, &ticket);
}

RateQuery_t *
RateQueries_firstOverdue(const RateQueries_t *this, gint64 now_ms)
{
    RateQuery_t *query = g_queue_peek_head(this->waiting);
    return query && query->deadline_ms <= now_ms ? query : NULL;
}

void
RateQueries_scheduleTick(const RateQueries_t *this, gint64 now_ms)
{
    const RateQuery_t *next = g_queue_peek_head(this->waiting);
    if (next) {
        RateLinks_scheduleTick(this->links, next->deadline_ms - now_ms);
    }
}

/* Removes the query before the callback runs, as the callback may start a new
 * query. */
void
RateQueries_finish(RateQueries_t *this, RateQuery_t *query,
                   const RateVerdict_t *verdict)
{
    RateDone_t done = query->cancelled ? NULL : query->done;
    void *owner = query->owner;
    g_queue_remove(this->waiting, query);
    g_hash_table_remove(this->by_ticket, &query->ticket);
    if (done) {
        done(owner, verdict);
    }
}

RateRequest_t
RateQuery_request(const RateQuery_t *this)
{
    return (RateRequest_t){
        .subject = this->subject->str,
        .limit = this->limit,
        .units = this->units,
    };
}
