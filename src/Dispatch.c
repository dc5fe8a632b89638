#include "Dispatch.h"

#include <string.h>
#include <xxhash.h>

#include "Clock.h"
#include "PromptTime.h"
#include "Tickets.h"

/* How long a dispatcher that did not answer is not queried again; a router
 * restarts in less. */
#define UNANSWERED_BACKOFF_MS 500
/* The name of a group is its target's name, cut to GROUP_TARGET_MAX
 * characters, a slash and the group's number. All routers must cut the target
 * to the same length, as the dispatcher is ranked by this name. */
#define GROUP_TARGET_MAX 40
#define GROUP_NAME_SIZE (GROUP_TARGET_MAX + 12)
/* Queries in a row that a dispatcher of partitioned groups leaves unanswered
 * before the next one in rank is asked: two dispatchers of one group reserve
 * different engines, and a single answer may be lost. */
#define UNANSWERED_MAX 2
/* Longest wait for a dispatcher of partitioned groups, as a fraction of the
 * objective of urgent requests: an engine chosen without its knowledge takes
 * longer than that. */
#define TIMEOUT_FRACTION 0.25
/* Its upper limit, whatever the objective: some round trips between regions.
 */
#define TIMEOUT_MAX_MS 100

struct Dispatch {
    struct event_base *base;
    DispatchSpec_t spec;
    Tickets_t *tickets;
    DispatchGroups_t *groups;
    GHashTable *unanswered;   /* name of a dispatcher -> queries in a row */
    GHashTable *prompt_times; /* target -> PromptTime_t */
    GHashTable *queries;      /* &ticket.id -> DispatchQuery_t */
    guint64 next_id;
};

struct DispatchQuery {
    Dispatch_t *dispatch;
    DispatchTicket_t ticket;
    GString *target;
    gboolean is_partitioned;  /* groups of the target are */
    gint64 left_ms;           /* see DispatchAdmission_t */
    GString *dispatcher_name; /* copied, as the member may be removed */
    DispatchDone_t done;
    void *owner; /* argument of @done */
    struct event *timeout;
};

static void
free_query(gpointer data)
{
    DispatchQuery_t *query = data;
    event_free(query->timeout);
    g_string_free(query->target, TRUE);
    g_string_free(query->dispatcher_name, TRUE);
    g_free(query);
}

static void
send_update(const Dispatch_t *this, const DispatchTicket_t *ticket,
            Wt__PlaceState state, gint64 waited_us)
{
    Wt__PlaceNews update = WT__PLACE_NEWS__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    update.ticket = ticket->id;
    update.state = state;
    update.waited_us = DispatchMessages_clampUs(waited_us);
    message.body_case = WT__PEER_MESSAGE__BODY_PLACE_NEWS;
    message.place_news = &update;
    PeerDatagrams_send(this->spec.datagrams, &ticket->dispatcher, &message);
}

/* Learned time to compute prompts of a target, created if there is none. */
static PromptTime_t *
find_prompt_time(Dispatch_t *this, const char *target,
                 const Upstream_t *upstream)
{
    PromptTime_t *time = g_hash_table_lookup(this->prompt_times, target);
    if (!time) {
        time = PromptTime_create(upstream->prefill_us_per_token);
        g_hash_table_insert(this->prompt_times, g_strdup(target), time);
    }
    return time;
}

static void
set_speed(const Dispatch_t *this, const char *target, double us_per_token)
{
    const GPtrArray *serving =
        UpstreamSet_findServing(this->spec.upstreams, ROLE_SERVICE, target);
    for (guint i = 0; i < serving->len; i++) {
        Upstream_t *upstream = g_ptr_array_index(serving, i);
        upstream->prefill_us_per_token = us_per_token;
    }
}

static void
send_answer(const Dispatch_t *this, guint64 ticket, const Choice_t *choice,
            const GroupDecision_t *decision, const struct sockaddr_in *to)
{
    Wt__PlaceAnswer answer = WT__PLACE_ANSWER__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    answer.ticket = ticket;
    DispatchMessages_fillAnswer(&answer, choice, decision);
    message.body_case = WT__PEER_MESSAGE__BODY_PLACE_ANSWER;
    message.place_answer = &answer;
    PeerDatagrams_send(this->spec.datagrams, to, &message);
}

/* The requester sends the identity of the shared part of the prompt only; the
 * last level, the request's own part, gets the identity 0. Backoffs are
 * ignored, as an upstream asked this router for them, not the requester. */
static Placement_t
make_placement(const Dispatch_t *this, const Wt__PlaceAsk *query)
{
    const GPtrArray *serving = UpstreamSet_findServing(
        this->spec.upstreams, ROLE_SERVICE, query->target);
    Placement_t placement = {
        .target = query->target,
        .serving = serving,
        .generation = UpstreamSet_generation(this->spec.upstreams),
        .level_count = 2,
        .levels = {query->prefix, 0},
        .level_tokens = {query->prefix_tokens, query->prompt_tokens},
        .prompt_tokens = MAX(query->prompt_tokens, query->prefix_tokens),
        .groups = Dispatch_groupsOf(this, query->target, serving),
        .group = query->group,
        .urgent = query->urgent,
        .urgent_objective_us = query->urgent_objective_us,
        .partitions = this->spec.partitions,
        .avoid = UpstreamSet_findByHash(this->spec.upstreams, query->avoid),
        .run_us = query->run_us,
        .latest_us = query->latest_us,
        .ignores_backoffs = TRUE,
        .now_ms = Clock_nowMs(),
    };
    return placement;
}

static void
count_decision(const Dispatch_t *this, const GroupDecision_t *decision)
{
    g_autofree char *labels = g_strdup_printf(
        "verdict=\"%s\"", GroupAdmission_name(decision->verdict));
    Counters_add(this->spec.counters, "group_decisions_total", labels, 1);
    if (decision->is_return) {
        Counters_add(this->spec.counters,
                     decision->verdict == GROUP_ADMITTED
                         ? "promises_kept_total"
                         : "promises_broken_total",
                     NULL, 1);
    }
}

GroupDecision_t
Dispatch_decide(Dispatch_t *this, const Placement_t *placement,
                const Choice_t *choice, const DispatchAdmission_t *admission)
{
    GroupDecision_t decision = {.verdict = GROUP_ADMITTED};
    DispatchGroups_measure(
        placement, choice,
        find_prompt_time(this, placement->target, choice->upstream));
    if (choice->side == 0 || admission->left_ms <= 0) {
        return decision;
    }
    GroupRequest_t request = {
        .placement = placement,
        .choice = choice,
        .customer = admission->customer,
        .key = admission->key,
        .left_ms = admission->left_ms,
        .has_next = admission->has_next,
    };
    decision = DispatchGroups_decide(this->groups, &request);
    count_decision(this, &decision);
    return decision;
}

/* A duplicate query is not answered: the first one made the chosen engine
 * busier, so a second answer might name another engine. */
static void
receive_query(Dispatch_t *this, const Wt__PlaceAsk *query,
              const struct sockaddr_in *from)
{
    if (Tickets_isOpen(this->tickets, query->ticket)) {
        return;
    }
    Placement_t placement = make_placement(this, query);
    this->spec.prefer(this->spec.owner, *query->model ? query->model : NULL,
                      &placement);
    Choice_t choice = Policy_choose(this->spec.policy, &placement);
    GroupDecision_t decision = {.verdict = GROUP_ADMITTED};
    if (choice.upstream) {
        DispatchAdmission_t admission = {query->customer, query->request,
                                         query->left_ms, query->has_next};
        decision = Dispatch_decide(this, &placement, &choice, &admission);
    }
    if (choice.upstream && decision.verdict == GROUP_ADMITTED) {
        Tickets_add(this->tickets, query->ticket, &placement, &choice);
        Policy_commit(this->spec.policy, &placement, &choice);
    }
    Counters_add(this->spec.counters, "places_answered_total", NULL, 1);
    send_answer(this, query->ticket, &choice, &decision, from);
}

/* The query is removed before the callback runs, which may start another. */
static void
finish_query(DispatchQuery_t *query, const DispatchAnswer_t *answer)
{
    DispatchDone_t done = query->done;
    void *owner = query->owner;
    g_hash_table_remove(query->dispatch->queries, &query->ticket.id);
    done(owner, answer);
}

/* A dispatcher that sees other engines may divide them into more groups. */
static gboolean
has_group(const Dispatch_t *this, const char *target, guint group)
{
    const GPtrArray *serving =
        UpstreamSet_findServing(this->spec.upstreams, ROLE_SERVICE, target);
    return group < Dispatch_groupsOf(this, target, serving);
}

/* What the dispatcher has learned serves this router while the dispatcher does
 * not answer. */
static void
learn_partition(const Dispatch_t *this, const DispatchQuery_t *query,
                const Wt__PlaceAnswer *answer)
{
    if (!this->spec.partitions) {
        return;
    }
    if (has_group(this, query->target->str, answer->group)) {
        GroupPartitions_noteReported(this->spec.partitions, query->target->str,
                                     answer->group, answer->reserved,
                                     Clock_nowMs());
    }
    double us_per_token = DispatchMessages_readUsPerToken(answer);
    if (us_per_token > 0) {
        set_speed(this, query->target->str, us_per_token);
    }
}

/* An answer to a query that was cancelled or has timed out ends its ticket. */
/* The refusal of a request that must not be refused counts as no answer. */
static void
receive_answer(Dispatch_t *this, const Wt__PlaceAnswer *answer,
               const struct sockaddr_in *from)
{
    DispatchQuery_t *query =
        g_hash_table_lookup(this->queries, &answer->ticket);
    DispatchTicket_t ticket = {answer->ticket, *from};
    if (!query) {
        send_update(this, &ticket, WT__PLACE_STATE__ENDED, 0);
        return;
    }
    const GPtrArray *serving = UpstreamSet_findServing(
        this->spec.upstreams, ROLE_SERVICE, query->target->str);
    Wt__PlaceAnswer bounded = *answer;
    if (DispatchMessages_boundAnswer(&bounded, serving->len, query->left_ms)) {
        Counters_add(this->spec.counters, "place_answers_absurd_total", NULL,
                     1);
    }
    DispatchAnswer_t result = {
        .choice = DispatchMessages_readChoice(&bounded, this->spec.upstreams),
        .ticket = ticket,
        .decision = DispatchMessages_readDecision(&bounded),
    };
    if (result.decision.verdict != GROUP_ADMITTED) {
        result.ticket.id = 0;
    }
    if (result.decision.verdict != GROUP_ADMITTED && query->left_ms == 0) {
        result.choice.upstream = NULL;
        result.decision.verdict = GROUP_ADMITTED;
    }
    g_hash_table_remove(this->unanswered, query->dispatcher_name->str);
    learn_partition(this, query, &bounded);
    finish_query(query, &result);
}

/* Learns the time of a prompt from an engine that had nothing else to do. In a
 * partitioned group it is used for all engines of the target. */
static void
learn_first_token(Dispatch_t *this, const Wt__PlaceNews *update)
{
    gint64 now_ms = Clock_nowMs();
    TicketFirstToken_t first =
        Tickets_noteFirstToken(this->tickets, update->ticket,
                               this->spec.policy, update->waited_us, now_ms);
    if (!first.found_idle) {
        return;
    }
    PromptTime_t *time = find_prompt_time(this, first.target, first.upstream);
    PromptTime_note(time, first.tokens, update->waited_us);
    if (this->spec.partitions &&
        GroupPartitions_isPartitioned(this->spec.partitions, first.target,
                                      now_ms)) {
        set_speed(this, first.target, PromptTime_usPerToken(time));
    }
}

static void
receive_update(Dispatch_t *this, const Wt__PlaceNews *update)
{
    switch (update->state) {
    case WT__PLACE_STATE__BEGUN:
        learn_first_token(this, update);
        break;
    case WT__PLACE_STATE__REFUSED:
        Tickets_noteRefusal(this->tickets, update->ticket, Clock_nowMs());
        break;
    default:
        Tickets_end(this->tickets, update->ticket);
    }
}

static void
on_message(void *owner, const Wt__PeerMessage *message,
           const struct sockaddr_in *from)
{
    Dispatch_t *this = owner;
    switch (message->body_case) {
    case WT__PEER_MESSAGE__BODY_PLACE_ASK:
        receive_query(this, message->place_ask, from);
        break;
    case WT__PEER_MESSAGE__BODY_PLACE_ANSWER:
        receive_answer(this, message->place_answer, from);
        break;
    case WT__PEER_MESSAGE__BODY_PLACE_NEWS:
        receive_update(this, message->place_news);
        break;
    default:
        break;
    }
}

/* Counts a query that the dispatcher did not answer. Returns TRUE if another
 * one is to be asked for a while. */
static gboolean
note_unanswered(const Dispatch_t *this, const DispatchQuery_t *query)
{
    const char *name = query->dispatcher_name->str;
    if (!query->is_partitioned) {
        return TRUE;
    }
    guint count =
        GPOINTER_TO_UINT(g_hash_table_lookup(this->unanswered, name)) + 1;
    if (count >= UNANSWERED_MAX) {
        g_hash_table_remove(this->unanswered, name);
        return TRUE;
    }
    g_hash_table_insert(this->unanswered, g_strdup(name),
                        GUINT_TO_POINTER(count));
    return FALSE;
}

/* The dispatcher may have received the query and opened a ticket for it, so
 * the ticket is ended. */
static void
on_timeout(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    DispatchQuery_t *query = data;
    Dispatch_t *this = query->dispatch;
    DispatchAnswer_t no_answer = {.choice = {.reason = "unanswered"}};
    if (note_unanswered(this, query)) {
        Membership_noteUnreachable(this->spec.membership,
                                   query->dispatcher_name->str,
                                   Clock_nowMs() + UNANSWERED_BACKOFF_MS);
    }
    Counters_add(this->spec.counters, "places_unanswered_total", NULL, 1);
    send_update(this, &query->ticket, WT__PLACE_STATE__ENDED, 0);
    finish_query(query, &no_answer);
}

/* A dispatcher keeps the tickets of all routers in one table. Ids start at a
 * hash of the router's address and start time, which makes it unlikely that
 * two processes use the same ids. */
static guint64
make_first_ticket_id(const Address_t *listen)
{
    g_autofree char *process_name = g_strdup_printf(
        "%s:%u %" G_GINT64_FORMAT, listen->host, listen->port, Clock_wallMs());
    return XXH3_64bits(process_name, strlen(process_name));
}

static void
free_prompt_time(gpointer data)
{
    PromptTime_destroy(data);
}

Dispatch_t *
Dispatch_create(struct event_base *base, const DispatchSpec_t *spec)
{
    Dispatch_t *this = g_new0(Dispatch_t, 1);
    this->base = base;
    this->spec = *spec;
    this->tickets = Tickets_create(base);
    this->groups = DispatchGroups_create();
    this->unanswered =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    this->prompt_times = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                               free_prompt_time);
    this->queries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_query);
    this->next_id = make_first_ticket_id(Membership_address(spec->membership));
    PeerDatagrams_addHandler(spec->datagrams, on_message, this);
    return this;
}

void
Dispatch_destroy(Dispatch_t *this)
{
    Tickets_destroy(this->tickets);
    DispatchGroups_destroy(this->groups);
    g_hash_table_destroy(this->prompt_times);
    g_hash_table_destroy(this->unanswered);
    g_hash_table_destroy(this->queries);
    g_free(this);
}

/* The number of groups is a power of two, so that it seldom changes when an
 * engine is added or removed. */
guint
Dispatch_countGroups(const Dispatch_t *this, guint engines)
{
    guint groups = 1;
    if (Membership_isMesh(this->spec.membership)) {
        return groups;
    }
    while (groups * 2 * DISPATCH_GROUP_SIZE <= engines) {
        groups *= 2;
    }
    return groups;
}

guint
Dispatch_nextGroup(guint64 key, guint refused, guint groups)
{
    if (groups < 2) {
        return 0;
    }
    guint step = 1 + (guint)(key % (groups - 1));
    return 1 + (refused + step) % groups;
}

/* Entries of upstreams that have crashed remain in the list for some seconds,
 * beside those that replace them. */
static guint
count_able(const GPtrArray *serving)
{
    guint count = 0;
    for (guint i = 0; i < serving->len; i++) {
        const Upstream_t *upstream = g_ptr_array_index(serving, i);
        gboolean is_gone =
            upstream->removed || upstream->replaced || upstream->leaving;
        count += is_gone || upstream->suspect ? 0 : 1;
    }
    return count;
}

guint
Dispatch_groupsOf(const Dispatch_t *this, const char *target,
                  const GPtrArray *serving)
{
    gboolean is_partitioned =
        this->spec.partitions &&
        GroupPartitions_isPartitioned(this->spec.partitions, target,
                                      Clock_nowMs());
    return Dispatch_countGroups(this, is_partitioned ? count_able(serving)
                                                     : serving->len);
}

static void
send_query(Dispatch_t *this, const DispatchQuery_t *query,
           const Placement_t *placement, const char *model,
           const DispatchAdmission_t *admission)
{
    Wt__PlaceAsk body = WT__PLACE_ASK__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    body.ticket = query->ticket.id;
    DispatchMessages_fillQuery(&body, placement, model, admission);
    message.body_case = WT__PEER_MESSAGE__BODY_PLACE_ASK;
    message.place_ask = &body;
    PeerDatagrams_send(this->spec.datagrams, &query->ticket.dispatcher,
                       &message);
}

static Member_t *
find_dispatcher(const Dispatch_t *this, const Placement_t *placement,
                const Choice_t *choice)
{
    char group[GROUP_NAME_SIZE];
    guint number = placement->group > 0 ? placement->group - 1 : choice->group;
    if (!PeerDatagrams_isOpen(this->spec.datagrams)) {
        return NULL;
    }
    g_snprintf(group, sizeof(group), "%.*s/%u", GROUP_TARGET_MAX,
               placement->target, number);
    return Membership_findReachableOwner(this->spec.membership, group,
                                         Clock_nowMs());
}

static gint64
timeout_ms(const DispatchQuery_t *query, const Placement_t *placement)
{
    gint64 patient_ms =
        (gint64)((double)placement->urgent_objective_us * TIMEOUT_FRACTION) /
        CLOCK_US_PER_MS;
    return query->is_partitioned
               ? CLAMP(patient_ms, DISPATCH_TIMEOUT_MS, TIMEOUT_MAX_MS)
               : DISPATCH_TIMEOUT_MS;
}

static DispatchQuery_t *
create_query(Dispatch_t *this, const Member_t *dispatcher,
             const Placement_t *placement)
{
    DispatchQuery_t *query = g_new0(DispatchQuery_t, 1);
    query->dispatch = this;
    query->target = g_string_new(placement->target);
    query->is_partitioned =
        this->spec.partitions &&
        GroupPartitions_isPartitioned(this->spec.partitions, placement->target,
                                      Clock_nowMs());
    query->ticket.id = ++this->next_id;
    query->ticket.dispatcher = PeerDatagrams_toSockaddr(&dispatcher->address);
    query->dispatcher_name = g_string_new(dispatcher->name->str);
    query->timeout = Clock_timer(this->base, on_timeout, query);
    Clock_arm(query->timeout, timeout_ms(query, placement));
    g_hash_table_insert(this->queries, &query->ticket.id, query);
    return query;
}

DispatchQuery_t *
Dispatch_query(Dispatch_t *this, const Placement_t *placement,
               const char *model, const Choice_t *choice,
               const DispatchAdmission_t *admission, DispatchDone_t done,
               void *owner)
{
    Member_t *dispatcher = placement->groups > 1 && placement->level_count > 0
                               ? find_dispatcher(this, placement, choice)
                               : NULL;
    if (!dispatcher) {
        return NULL;
    }
    DispatchQuery_t *query = create_query(this, dispatcher, placement);
    query->left_ms = MAX(admission->left_ms, 0);
    query->done = done;
    query->owner = owner;
    send_query(this, query, placement, model, admission);
    return query;
}

void
Dispatch_cancelQuery(DispatchQuery_t *query)
{
    Dispatch_t *this = query->dispatch;
    send_update(this, &query->ticket, WT__PLACE_STATE__ENDED, 0);
    g_hash_table_remove(this->queries, &query->ticket.id);
}

void
Dispatch_reportFirstToken(const Dispatch_t *this,
                          const DispatchTicket_t *ticket, gint64 waited_us)
{
    if (ticket->id != 0) {
        send_update(this, ticket, WT__PLACE_STATE__BEGUN, waited_us);
    }
}

static void
end_ticket(const Dispatch_t *this, DispatchTicket_t *ticket,
           Wt__PlaceState state)
{
    if (ticket->id != 0) {
        send_update(this, ticket, state, 0);
        ticket->id = 0;
    }
}

void
Dispatch_reportRefusal(const Dispatch_t *this, DispatchTicket_t *ticket)
{
    end_ticket(this, ticket, WT__PLACE_STATE__REFUSED);
}

void
Dispatch_endTicket(const Dispatch_t *this, DispatchTicket_t *ticket)
{
    end_ticket(this, ticket, WT__PLACE_STATE__ENDED);
}
