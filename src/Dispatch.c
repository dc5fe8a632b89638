#include "Dispatch.h"

#include <string.h>
#include <xxhash.h>

#include "Clock.h"
#include "Tickets.h"

/* A dispatcher that did not answer is not asked again for so long; its own
 * restart takes less. */
#define SILENCE_MS 500
/* Name of a group: its target's, cut to so many characters, a slash, the
 * digits of a number and the end. All routers must cut it alike. */
#define GROUP_TARGET_MAX 40
#define GROUP_NAME_SIZE (GROUP_TARGET_MAX + 12)

struct Dispatch {
    struct event_base *base;
    DispatchSpec_t spec;
    Tickets_t *tickets;
    GHashTable *asks; /* &ticket id -> DispatchAsk_t */
    guint64 next_id;
};

struct DispatchAsk {
    Dispatch_t *dispatch;
    DispatchTicket_t ticket;
    GString *dispatcher; /* its name, as it may be forgotten meanwhile */
    DispatchDone_t done;
    void *owner; /* for @done */
    struct event *timeout;
};

static void
free_ask(gpointer data)
{
    DispatchAsk_t *ask = data;
    event_free(ask->timeout);
    g_string_free(ask->dispatcher, TRUE);
    g_free(ask);
}

static guint32
to_32_bits(gint64 us)
{
    return (guint32)CLAMP(us, 0, G_MAXINT32);
}

static void
send_news(const Dispatch_t *this, const DispatchTicket_t *ticket,
          Wt__PlaceState state, gint64 waited_us)
{
    Wt__PlaceNews news = WT__PLACE_NEWS__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    news.ticket = ticket->id;
    news.state = state;
    news.waited_us = to_32_bits(waited_us);
    message.body_case = WT__PEER_MESSAGE__BODY_PLACE_NEWS;
    message.place_news = &news;
    PeerDatagrams_send(this->spec.datagrams, &ticket->dispatcher, &message);
}

static guint64
hash_or_zero(const Upstream_t *upstream)
{
    return upstream ? upstream->hash : 0;
}

static void
send_answer(const Dispatch_t *this, guint64 ticket, const Choice_t *choice,
            const struct sockaddr_in *to)
{
    Wt__PlaceAnswer answer = WT__PLACE_ANSWER__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    answer.ticket = ticket;
    answer.upstream = hash_or_zero(choice->upstream);
    answer.fetch_from = hash_or_zero(choice->supply.source);
    answer.supply = choice->supply.kind;
    answer.move_us = to_32_bits(choice->supply.move_us);
    answer.move_wait_us = to_32_bits(choice->supply.wait_us);
    answer.cached_tokens = choice->expected_cached;
    answer.cost_us = to_32_bits(choice->cost_us);
    answer.own_us = to_32_bits(choice->own_us);
    message.body_case = WT__PEER_MESSAGE__BODY_PLACE_ANSWER;
    message.place_answer = &answer;
    PeerDatagrams_send(this->spec.datagrams, to, &message);
}

/* The asker tells of the shared part of the prompt alone; the request's own
 * part is the last level and has no identity here. Upstreams that rest from
 * this router have not asked the asker to leave them alone. */
static Placement_t
placement_of(const Dispatch_t *this, const Wt__PlaceAsk *ask)
{
    const GPtrArray *serving =
        UpstreamSet_serving(this->spec.upstreams, ROLE_SERVICE, ask->target);
    Placement_t placement = {
        .target = ask->target,
        .serving = serving,
        .generation = UpstreamSet_generation(this->spec.upstreams),
        .level_count = 2,
        .levels = {ask->prefix, 0},
        .level_tokens = {ask->prefix_tokens, ask->prompt_tokens},
        .prompt_tokens = MAX(ask->prompt_tokens, ask->prefix_tokens),
        .groups = Dispatch_groups(this, serving->len),
        .avoid = UpstreamSet_findHash(this->spec.upstreams, ask->avoid),
        .run_us = ask->run_us,
        .latest_us = ask->latest_us,
        .ignores_rests = TRUE,
        .now_ms = Clock_nowMs(),
    };
    return placement;
}

/* A question that comes twice is answered once: the engine that was chosen is
 * busier now, so that a second answer would name another one. */
static void
take_ask(Dispatch_t *this, const Wt__PlaceAsk *ask,
         const struct sockaddr_in *from)
{
    if (Tickets_isKnown(this->tickets, ask->ticket)) {
        return;
    }
    Placement_t placement = placement_of(this, ask);
    this->spec.prefer(this->spec.owner, *ask->model ? ask->model : NULL,
                      &placement);
    Choice_t choice = Policy_choose(this->spec.policy, &placement);
    if (choice.upstream) {
        Tickets_add(this->tickets, ask->ticket, &placement, &choice);
        Policy_begin(this->spec.policy, &placement, &choice);
    }
    Counters_add(this->spec.counters, "places_answered_total", NULL, 1);
    send_answer(this, ask->ticket, &choice, from);
}

/* A router of another build may know more kinds. */
static SupplyKind_t
supply_of(const Wt__PlaceAnswer *answer)
{
    return answer->supply <= SUPPLY_COMPUTED ? (SupplyKind_t)answer->supply
                                             : SUPPLY_UNKNOWN;
}

static Choice_t
choice_of(const Dispatch_t *this, const Wt__PlaceAnswer *answer)
{
    const UpstreamSet_t *upstreams = this->spec.upstreams;
    return (Choice_t){
        .upstream = UpstreamSet_findHash(upstreams, answer->upstream),
        .reason = "dispatched",
        .expected_cached = answer->cached_tokens,
        .cost_us = answer->cost_us,
        .own_us = answer->own_us,
        .supply =
            {
                .kind = supply_of(answer),
                .tokens = answer->cached_tokens,
                .move_us = answer->move_us,
                .wait_us = answer->move_wait_us,
                .source = UpstreamSet_findHash(upstreams, answer->fetch_from),
            },
    };
}

/* The question is gone before its asker hears, who may ask again. */
static void
finish_ask(DispatchAsk_t *ask, const Choice_t *choice,
           const DispatchTicket_t *ticket)
{
    DispatchDone_t done = ask->done;
    void *owner = ask->owner;
    g_hash_table_remove(ask->dispatch->asks, &ask->ticket.id);
    done(owner, choice, ticket);
}

/* The asker may be gone, or may have chosen for itself by now. */
static void
take_answer(Dispatch_t *this, const Wt__PlaceAnswer *answer,
            const struct sockaddr_in *from)
{
    DispatchAsk_t *ask = g_hash_table_lookup(this->asks, &answer->ticket);
    DispatchTicket_t ticket = {answer->ticket, *from};
    if (!ask) {
        send_news(this, &ticket, WT__PLACE_STATE__ENDED, 0);
        return;
    }
    Choice_t choice = choice_of(this, answer);
    finish_ask(ask, &choice, &ticket);
}

static void
take_news(const Dispatch_t *this, const Wt__PlaceNews *news)
{
    gint64 now_ms = Clock_nowMs();
    switch (news->state) {
    case WT__PLACE_STATE__BEGUN:
        Tickets_begin(this->tickets, news->ticket, this->spec.policy,
                      news->waited_us, now_ms);
        break;
    case WT__PLACE_STATE__REFUSED:
        Tickets_refused(this->tickets, news->ticket, now_ms);
        break;
    default:
        Tickets_end(this->tickets, news->ticket);
    }
}

static void
on_message(void *owner, const Wt__PeerMessage *message,
           const struct sockaddr_in *from)
{
    Dispatch_t *this = owner;
    switch (message->body_case) {
    case WT__PEER_MESSAGE__BODY_PLACE_ASK:
        take_ask(this, message->place_ask, from);
        break;
    case WT__PEER_MESSAGE__BODY_PLACE_ANSWER:
        take_answer(this, message->place_answer, from);
        break;
    case WT__PEER_MESSAGE__BODY_PLACE_NEWS:
        take_news(this, message->place_news);
        break;
    default:
        break;
    }
}

/* Nobody knows whether the question arrived, so that the ticket is ended. */
static void
on_timeout(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    DispatchAsk_t *ask = data;
    Dispatch_t *this = ask->dispatch;
    DispatchTicket_t none = {0};
    Choice_t nothing = {.reason = "unanswered"};
    Membership_noteUnanswered(this->spec.membership, ask->dispatcher->str,
                              Clock_nowMs() + SILENCE_MS);
    Counters_add(this->spec.counters, "places_unanswered_total", NULL, 1);
    send_news(this, &ask->ticket, WT__PLACE_STATE__ENDED, 0);
    finish_ask(ask, &nothing, &none);
}

/* Tickets of all routers lie in one table of their dispatcher, so that each
 * process counts on from a number of its own. */
static guint64
first_id(const Address_t *listen)
{
    g_autofree char *process = g_strdup_printf(
        "%s:%u %" G_GINT64_FORMAT, listen->host, listen->port, Clock_wallMs());
    return XXH3_64bits(process, strlen(process));
}

Dispatch_t *
Dispatch_create(struct event_base *base, const DispatchSpec_t *spec)
{
    Dispatch_t *this = g_new0(Dispatch_t, 1);
    this->base = base;
    this->spec = *spec;
    this->tickets = Tickets_create(base);
    this->asks =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_ask);
    this->next_id = first_id(Membership_address(spec->membership));
    PeerDatagrams_listen(spec->datagrams, on_message, this);
    return this;
}

void
Dispatch_destroy(Dispatch_t *this)
{
    Tickets_destroy(this->tickets);
    g_hash_table_destroy(this->asks);
    g_free(this);
}

/* A power of two, so that an engine that comes or goes seldom changes it. */
guint
Dispatch_groups(const Dispatch_t *this, guint engines)
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

static void
send_ask(Dispatch_t *this, const DispatchAsk_t *ask,
         const Placement_t *placement, const char *model)
{
    Wt__PlaceAsk question = WT__PLACE_ASK__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    guint shared = Placement_sharedLevel(placement);
    question.ticket = ask->ticket.id;
    question.target = (char *)placement->target;
    question.model = (char *)(model ? model : "");
    question.prefix = placement->levels[shared];
    question.prefix_tokens = placement->level_tokens[shared];
    question.prompt_tokens = placement->prompt_tokens;
    question.avoid = hash_or_zero(placement->avoid);
    question.run_us = to_32_bits(placement->run_us);
    question.latest_us = to_32_bits(placement->latest_us);
    message.body_case = WT__PEER_MESSAGE__BODY_PLACE_ASK;
    message.place_ask = &question;
    PeerDatagrams_send(this->spec.datagrams, &ask->ticket.dispatcher,
                       &message);
}

static Member_t *
find_dispatcher(const Dispatch_t *this, const Placement_t *placement,
                const Choice_t *choice)
{
    char group[GROUP_NAME_SIZE];
    g_snprintf(group, sizeof(group), "%.*s/%u", GROUP_TARGET_MAX,
               placement->target, choice->group);
    return Membership_answering(this->spec.membership, group, Clock_nowMs());
}

static DispatchAsk_t *
create_ask(Dispatch_t *this, const Member_t *dispatcher)
{
    DispatchAsk_t *ask = g_new0(DispatchAsk_t, 1);
    ask->dispatch = this;
    ask->ticket.id = ++this->next_id;
    ask->ticket.dispatcher = PeerDatagrams_address(&dispatcher->address);
    ask->dispatcher = g_string_new(dispatcher->name->str);
    ask->timeout = Clock_timer(this->base, on_timeout, ask);
    Clock_arm(ask->timeout, DISPATCH_WAIT_MS);
    g_hash_table_insert(this->asks, &ask->ticket.id, ask);
    return ask;
}

DispatchAsk_t *
Dispatch_ask(Dispatch_t *this, const Placement_t *placement, const char *model,
             const Choice_t *choice, DispatchDone_t done, void *owner)
{
    Member_t *dispatcher = placement->groups > 1 && placement->level_count > 0
                               ? find_dispatcher(this, placement, choice)
                               : NULL;
    if (!dispatcher) {
        return NULL;
    }
    DispatchAsk_t *ask = create_ask(this, dispatcher);
    ask->done = done;
    ask->owner = owner;
    send_ask(this, ask, placement, model);
    return ask;
}

void
Dispatch_cancel(DispatchAsk_t *ask)
{
    Dispatch_t *this = ask->dispatch;
    send_news(this, &ask->ticket, WT__PLACE_STATE__ENDED, 0);
    g_hash_table_remove(this->asks, &ask->ticket.id);
}

void
Dispatch_begin(const Dispatch_t *this, const DispatchTicket_t *ticket,
               gint64 waited_us)
{
    if (ticket->id != 0) {
        send_news(this, ticket, WT__PLACE_STATE__BEGUN, waited_us);
    }
}

static void
end_ticket(const Dispatch_t *this, DispatchTicket_t *ticket,
           Wt__PlaceState state)
{
    if (ticket->id != 0) {
        send_news(this, ticket, state, 0);
        ticket->id = 0;
    }
}

void
Dispatch_refused(const Dispatch_t *this, DispatchTicket_t *ticket)
{
    end_ticket(this, ticket, WT__PLACE_STATE__REFUSED);
}

void
Dispatch_end(const Dispatch_t *this, DispatchTicket_t *ticket)
{
    end_ticket(this, ticket, WT__PLACE_STATE__ENDED);
}
