#include "Tickets.h"

#include "Clock.h"

/* How often tickets are looked through for those that have lapsed: a tenth of
 * the shorter of their times. */
#define TICK_MS 500

struct Tickets {
    GHashTable *by_id; /* &id -> Ticket_t */
    struct event *tick;
};

typedef struct {
    guint64 id;
    Upstream_t *upstream;
    guint64 prefix;
    guint prefix_tokens;
    guint tokens; /* still to be computed, 0 once it has begun */
    FirstToken_t first;
    gboolean begun;
    gint64 begun_ms; /* where @begun */
    gint64 placed_ms;
} Ticket_t;

static void
drop_tokens(Ticket_t *ticket)
{
    ticket->upstream->ticket_tokens -= ticket->tokens;
    ticket->tokens = 0;
}

static void
free_ticket(gpointer data)
{
    Ticket_t *ticket = data;
    drop_tokens(ticket);
    ticket->upstream->ticket_requests--;
    FirstToken_clear(&ticket->first);
    Upstream_unref(ticket->upstream);
    g_free(ticket);
}

static gboolean
has_lapsed(gpointer id, gpointer data, gpointer now_ms)
{
    (void)id;
    Ticket_t *ticket = data;
    gint64 age_ms = *(gint64 *)now_ms - ticket->placed_ms;
    return age_ms >= (ticket->begun ? TICKET_END_MS : TICKET_BEGIN_MS);
}

void
Tickets_expire(Tickets_t *this, gint64 now_ms)
{
    g_hash_table_foreach_remove(this->by_id, has_lapsed, &now_ms);
}

static void
on_tick(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Tickets_t *this = data;
    Tickets_expire(this, Clock_nowMs());
    Clock_arm(this->tick, TICK_MS);
}

Tickets_t *
Tickets_create(struct event_base *base)
{
    Tickets_t *this = g_new0(Tickets_t, 1);
    this->by_id =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_ticket);
    this->tick = Clock_timer(base, on_tick, this);
    Clock_arm(this->tick, TICK_MS);
    return this;
}

void
Tickets_destroy(Tickets_t *this)
{
    event_free(this->tick);
    g_hash_table_destroy(this->by_id);
    g_free(this);
}

void
Tickets_add(Tickets_t *this, guint64 id, const Placement_t *placement,
            const Choice_t *choice)
{
    if (Tickets_isKnown(this, id)) {
        return;
    }
    Ticket_t *ticket = g_new0(Ticket_t, 1);
    ticket->id = id;
    ticket->upstream = Upstream_ref(choice->upstream);
    ticket->prefix = placement->levels[0];
    ticket->prefix_tokens = placement->level_tokens[0];
    ticket->tokens = placement->prompt_tokens -
                     MIN(choice->expected_cached, placement->prompt_tokens);
    ticket->placed_ms = placement->now_ms;
    FirstToken_expect(&ticket->first, placement, choice);
    ticket->upstream->ticket_tokens += ticket->tokens;
    ticket->upstream->ticket_requests++;
    g_hash_table_insert(this->by_id, &ticket->id, ticket);
}

gboolean
Tickets_isKnown(const Tickets_t *this, guint64 id)
{
    return g_hash_table_contains(this->by_id, &id);
}

void
Tickets_begin(Tickets_t *this, guint64 id, Policy_t *policy, gint64 waited_us,
              gint64 now_ms)
{
    Ticket_t *ticket = g_hash_table_lookup(this->by_id, &id);
    if (!ticket || ticket->begun) {
        return;
    }
    ticket->begun = TRUE;
    ticket->begun_ms = now_ms;
    drop_tokens(ticket);
    FirstToken_learn(&ticket->first, waited_us, now_ms);
    Policy_learnPrefix(policy, ticket->prefix, ticket->prefix_tokens,
                       ticket->upstream, now_ms);
}

void
Tickets_refused(Tickets_t *this, guint64 id, gint64 now_ms)
{
    Ticket_t *ticket = g_hash_table_lookup(this->by_id, &id);
    if (ticket) {
        Upstream_notePause(ticket->upstream, UPSTREAM_SHED_PAUSE_MS, now_ms);
        Tickets_end(this, id);
    }
}

/* One that lapses tells nothing: its asker may be gone. */
static void
learn_run(const Tickets_t *this, guint64 id)
{
    const Ticket_t *ticket = g_hash_table_lookup(this->by_id, &id);
    if (ticket && ticket->begun) {
        gint64 run_ms = Clock_nowMs() - ticket->begun_ms;
        Upstream_noteRun(ticket->upstream, run_ms * CLOCK_US_PER_MS);
    }
}

void
Tickets_end(Tickets_t *this, guint64 id)
{
    learn_run(this, id);
    g_hash_table_remove(this->by_id, &id);
}
