#include "Tickets.h"

#include "Clock.h"

/* A tenth of the shorter lifetime. */
#define EXPIRY_INTERVAL_MS 500

struct Tickets {
    GHashTable *by_id; /* &id -> Ticket_t */
    struct event *expiry_timer;
};

typedef struct {
    guint64 id;
    Upstream_t *upstream;
    guint64 prefix;
    guint prefix_tokens;
    guint tokens;          /* prompt tokens not computed yet; 0 once begun */
    guint computed_tokens; /* prompt tokens that the upstream computes */
    gint64 own_us;         /* expected time to compute them */
    gboolean found_idle;   /* see TicketFirstToken_t */
    GString *target;
    GroupPartitions_t *partitions; /* NULL if the group is not partitioned */
    guint group;
    gboolean urgent;
    FirstTokenEstimate_t first_token;
    gboolean begun;
    gint64 begun_ms; /* 0 unless @begun */
    gint64 placed_ms;
} Ticket_t;

static void
remove_tokens(Ticket_t *ticket)
{
    ticket->upstream->ticket_tokens -= ticket->tokens;
    ticket->tokens = 0;
    if (!ticket->begun) {
        EngineBacklog_remove(&ticket->upstream->backlog, Clock_nowUs());
    }
}

static void
free_ticket(gpointer data)
{
    Ticket_t *ticket = data;
    remove_tokens(ticket);
    ticket->upstream->ticket_requests--;
    FirstTokenEstimate_clear(&ticket->first_token);
    Upstream_unref(ticket->upstream);
    g_string_free(ticket->target, TRUE);
    g_free(ticket);
}

static gboolean
is_expired(gpointer id, gpointer data, gpointer now_ms)
{
    (void)id;
    Ticket_t *ticket = data;
    gint64 age_ms = *(gint64 *)now_ms - ticket->placed_ms;
    return age_ms >=
           (ticket->begun ? TICKET_TIMEOUT_MS : TICKET_FIRST_TOKEN_TIMEOUT_MS);
}

void
Tickets_expire(Tickets_t *this, gint64 now_ms)
{
    g_hash_table_foreach_remove(this->by_id, is_expired, &now_ms);
}

static void
on_tick(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Tickets_t *this = data;
    Tickets_expire(this, Clock_nowMs());
    Clock_arm(this->expiry_timer, EXPIRY_INTERVAL_MS);
}

Tickets_t *
Tickets_create(struct event_base *base)
{
    Tickets_t *this = g_new0(Tickets_t, 1);
    this->by_id =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_ticket);
    this->expiry_timer = Clock_timer(base, on_tick, this);
    Clock_arm(this->expiry_timer, EXPIRY_INTERVAL_MS);
    return this;
}

void
Tickets_destroy(Tickets_t *this)
{
    event_free(this->expiry_timer);
    g_hash_table_destroy(this->by_id);
    g_free(this);
}

/* The first token of a request shows how long its prompt took to compute only
 * if it did not wait for others or for a transfer. */
static gboolean
finds_idle(const Choice_t *choice)
{
    const Upstream_t *upstream = choice->upstream;
    gboolean is_moved = choice->supply.kind == SUPPLY_ENGINE ||
                        choice->supply.kind == SUPPLY_STORE;
    return !is_moved && upstream->backlog.open == 0 &&
           upstream->pending_tokens == 0 &&
           Upstream_countRequests(upstream) < upstream->slots;
}

static void
fill_group(Ticket_t *ticket, const Placement_t *placement,
           const Choice_t *choice)
{
    ticket->target = g_string_new(placement->target);
    ticket->partitions = choice->side > 0 ? placement->partitions : NULL;
    ticket->group = choice->group;
    ticket->urgent = Choice_isUrgent(choice, placement);
}

void
Tickets_add(Tickets_t *this, guint64 id, const Placement_t *placement,
            const Choice_t *choice)
{
    if (Tickets_isOpen(this, id)) {
        return;
    }
    Ticket_t *ticket = g_new0(Ticket_t, 1);
    ticket->id = id;
    ticket->upstream = Upstream_ref(choice->upstream);
    ticket->prefix = placement->levels[0];
    ticket->prefix_tokens = placement->level_tokens[0];
    ticket->tokens = placement->prompt_tokens -
                     MIN(choice->expected_cached, placement->prompt_tokens);
    ticket->computed_tokens = ticket->tokens;
    ticket->own_us = MIN(choice->own_us, ENGINE_BACKLOG_PROMPT_MAX_US);
    ticket->found_idle = finds_idle(choice);
    ticket->placed_ms = placement->now_ms;
    fill_group(ticket, placement, choice);
    EngineBacklog_add(&ticket->upstream->backlog, ticket->own_us,
                      Clock_nowUs());
    FirstTokenEstimate_expect(&ticket->first_token, placement, choice);
    ticket->upstream->ticket_tokens += ticket->tokens;
    ticket->upstream->ticket_requests++;
    g_hash_table_insert(this->by_id, &ticket->id, ticket);
}

gboolean
Tickets_isOpen(const Tickets_t *this, guint64 id)
{
    return g_hash_table_contains(this->by_id, &id);
}

TicketFirstToken_t
Tickets_noteFirstToken(Tickets_t *this, guint64 id, Policy_t *policy,
                       gint64 waited_us, gint64 now_ms)
{
    Ticket_t *ticket = g_hash_table_lookup(this->by_id, &id);
    if (!ticket || ticket->begun) {
        return (TicketFirstToken_t){0};
    }
    remove_tokens(ticket);
    ticket->begun = TRUE;
    ticket->begun_ms = now_ms;
    FirstTokenEstimate_learn(&ticket->first_token, waited_us, now_ms);
    Policy_learnPrefix(policy, ticket->prefix, ticket->prefix_tokens,
                       ticket->upstream, now_ms);
    return (TicketFirstToken_t){ticket->upstream, ticket->target->str,
                                ticket->computed_tokens, ticket->found_idle};
}

void
Tickets_noteRefusal(Tickets_t *this, guint64 id, gint64 now_ms)
{
    Ticket_t *ticket = g_hash_table_lookup(this->by_id, &id);
    if (ticket) {
        Upstream_notePause(ticket->upstream, UPSTREAM_SHED_PAUSE_MS, now_ms);
        Tickets_end(this, id);
    }
}

static void
note_held_slot(const Ticket_t *ticket, gint64 run_us)
{
    if (ticket->partitions) {
        GroupPartition_noteRun(GroupPartitions_get(ticket->partitions,
                                                   ticket->target->str,
                                                   ticket->group),
                               ticket->urgent, run_us + ticket->own_us);
    }
}

/* Expired tickets are not learned from, as their requester may have stopped
 * before the request ended. */
static void
note_run(const Tickets_t *this, guint64 id)
{
    const Ticket_t *ticket = g_hash_table_lookup(this->by_id, &id);
    if (ticket && ticket->begun) {
        gint64 run_us = (Clock_nowMs() - ticket->begun_ms) * CLOCK_US_PER_MS;
        Upstream_noteRunTime(ticket->upstream, run_us);
        note_held_slot(ticket, run_us);
    }
}

void
Tickets_end(Tickets_t *this, guint64 id)
{
    note_run(this, id);
    g_hash_table_remove(this->by_id, &id);
}
