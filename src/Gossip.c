#include "Gossip.h"

#include <math.h>
#include <string.h>

#include "Clock.h"
#include "Log.h"
#include "MemberNews.h"
#include "Random.h"

/* How often another's heartbeat is passed on where not all are linked. */
#define HEARTBEAT_RELAYS 2
/* Peers that get a message each tick; where all are linked, all of them do
 * while there is news of upstreams. */
#define FANOUT 2
/* Largest message of news of routers: some hundred facts, so that a link that
 * is slow holds up little else. */
#define NEWS_MESSAGE_MAX 8192
/* All of 500 routers: 13 ms of a link of 20 Mbit/s. */
#define ANSWER_MESSAGE_MAX 32768
/* What one message holds beside its facts. */
#define FRAME_OVERHEAD 32
#define LEAST_MESSAGE 100

struct Gossip {
    MemberTable_t *table;
    UpstreamSet_t *upstreams;
    Counters_t *counters;
    const PeersSection_t *settings;
    GossipQueue_t *queue;
    MemberNews_t *news;
    double budget; /* bytes that may be sent now, but for news of routers */
};

typedef struct {
    Gossip_t *owner;
    gsize room;
    GPtrArray *members;
    GPtrArray *upstreams;
} Message_t;

Gossip_t *
Gossip_create(MemberTable_t *table, UpstreamSet_t *upstreams,
              Counters_t *counters, const PeersSection_t *settings)
{
    Gossip_t *this = g_new0(Gossip_t, 1);
    this->table = table;
    this->upstreams = upstreams;
    this->counters = counters;
    this->settings = settings;
    this->queue = GossipQueue_create();
    this->news = MemberNews_create(table);
    MemberNews_note(this->news, &table->self);
    return this;
}

void
Gossip_destroy(Gossip_t *this)
{
    GossipQueue_destroy(this->queue);
    MemberNews_destroy(this->news);
    g_free(this);
}

static guint
sends_wanted(const Gossip_t *this)
{
    return 2 + (guint)ceil(2.0 * log2((double)this->table->live->len + 1.0));
}

void
Gossip_spreadUpstream(Gossip_t *this, const char *name)
{
    GossipQueue_add(this->queue, FACT_UPSTREAM_NEWS, name, sends_wanted(this));
}

void
Gossip_spreadMember(Gossip_t *this, Member_t *member)
{
    MemberNews_note(this->news, member);
}

gboolean
Gossip_isMesh(const Gossip_t *this)
{
    return this->table->live->len < (guint)this->settings->mesh_routers;
}

/* In a mesh each peer hears it from here; elsewhere it is passed on. */
void
Gossip_heartbeat(Gossip_t *this)
{
    guint sends =
        Gossip_isMesh(this) ? this->table->live->len : 2 * HEARTBEAT_RELAYS;
    this->table->self.heartbeat++;
    if (sends > 0) {
        GossipQueue_add(this->queue, FACT_HEARTBEAT,
                        this->table->self.name->str, sends);
    }
}

void
Gossip_introduce(Gossip_t *this, Member_t *member)
{
    member->told = 0;
    member->sampled = 0;
    const GPtrArray *upstreams = UpstreamSet_all(this->upstreams);
    for (guint i = 0; i < upstreams->len; i++) {
        const Upstream_t *upstream = g_ptr_array_index(upstreams, i);
        if (upstream->leaving) {
            GossipQueue_add(this->queue, FACT_UPSTREAM_NEWS,
                            upstream->name->str, 2);
        }
    }
}

static gboolean
is_newer(const Member_t *member, const Wt__MemberFact *fact)
{
    if (fact->incarnation != member->incarnation) {
        return fact->incarnation > member->incarnation;
    }
    return fact->heartbeat > member->heartbeat ||
           (fact->leaving && !member->leaving) ||
           fact->fold_offset > member->fold_offset;
}

static void
read_address(Address_t *address, const char *text)
{
    const char *colon = strrchr(text, ':');
    if (colon && (gsize)(colon - text) < sizeof(address->host)) {
        g_strlcpy(address->host, text, (gsize)(colon - text) + 1);
        address->port = (guint16)g_ascii_strtoull(colon + 1, NULL, 10);
    }
}

/* A heartbeat, which has neither address nor hall, may have come before the
 * fact in full. */
static gboolean
tells_place(const Member_t *member, const Wt__MemberFact *fact)
{
    return *fact->hall && fact->incarnation == member->incarnation &&
           member->placed_incarnation != fact->incarnation;
}

static void
take_place(Member_t *member, const Wt__MemberFact *fact)
{
    if (*fact->hall) {
        read_address(&member->address, fact->address);
        g_string_assign(member->hall, fact->hall);
        member->placed_incarnation = fact->incarnation;
    }
}

static void
take_newer(Gossip_t *this, Member_t *member, const Wt__MemberFact *fact)
{
    gboolean reborn = fact->incarnation > member->incarnation;
    gboolean news = reborn || tells_place(member, fact) ||
                    fact->leaving != member->leaving ||
                    fact->fold_offset > member->fold_offset;
    member->leaving = fact->leaving || (member->leaving && !reborn);
    member->incarnation = fact->incarnation;
    member->heartbeat =
        reborn ? fact->heartbeat : MAX(member->heartbeat, fact->heartbeat);
    member->fold_offset = MAX(member->fold_offset, fact->fold_offset);
    member->heard_ms = Clock_nowMs();
    take_place(member, fact);
    if (news) {
        Gossip_spreadMember(this, member);
    }
    else if (!Gossip_isMesh(this)) {
        GossipQueue_add(this->queue, FACT_HEARTBEAT, fact->name,
                        HEARTBEAT_RELAYS);
    }
}

static void
take_member(Gossip_t *this, const Wt__MemberFact *fact)
{
    if (strcmp(fact->name, this->table->self.name->str) == 0) {
        return;
    }
    Member_t *member = MemberTable_findOrMake(this->table, fact->name);
    if (is_newer(member, fact)) {
        take_newer(this, member, fact);
    }
    else if (tells_place(member, fact)) {
        take_place(member, fact);
        Gossip_spreadMember(this, member);
    }
}

/* Returns whether the weights are news; what is older than what is known
 * here is passed over. */
static gboolean
take_report(Upstream_t *upstream, const Wt__UpstreamFact *fact, gint64 now_ms)
{
    gint64 at_ms = now_ms - fact->age_ms;
    if (fact->incarnation != upstream->incarnation ||
        at_ms <= upstream->reported_at_ms) {
        return FALSE;
    }
    gboolean news =
        *fact->weights && strcmp(upstream->weights->str, fact->weights) != 0;
    if (news) {
        Upstream_noteWeights(upstream, fact->weights);
    }
    upstream->reported_at_ms = at_ms;
    upstream->reported_running = fact->running;
    upstream->reported_tokens = (gint64)fact->waiting_tokens;
    return news;
}

/* A pause is told with what is left of it, as clocks are not compared. Only
 * other weights or time end it: a peer that has not heard of it says nothing
 * of its end. */
static gboolean
take_pause(Upstream_t *upstream, const Wt__UpstreamFact *fact, gint64 now_ms)
{
    if (fact->pausing_ms == 0 || upstream->paused_until_ms > now_ms ||
        strcmp(upstream->weights->str, fact->weights) != 0) {
        return FALSE;
    }
    Upstream_notePause(upstream, fact->pausing_ms, now_ms);
    return TRUE;
}

static void
take_upstream(Gossip_t *this, const Wt__UpstreamFact *fact)
{
    Upstream_t *upstream = UpstreamSet_find(this->upstreams, fact->name);
    if (!upstream) {
        return;
    }
    gint64 now_ms = Clock_nowMs();
    gboolean news =
        Upstream_noteIncarnation(upstream, fact->incarnation, now_ms);
    gboolean leaves =
        fact->leaving &&
        Upstream_noteLeaving(upstream, fact->incarnation, now_ms);
    news = take_report(upstream, fact, now_ms) || news;
    news = take_pause(upstream, fact, now_ms) || news;
    if (leaves) {
        Log_begin(LOG_LEVEL_INFO, "upstream_leaving");
        Log_text("upstream", fact->name);
        Log_text("source", "peer");
        Log_end();
        news = TRUE;
    }
    if (news) {
        Gossip_spreadUpstream(this, fact->name);
    }
}

void
Gossip_take(Gossip_t *this, const Wt__Gossip *message)
{
    for (size_t i = 0; i < message->n_members; i++) {
        take_member(this, message->members[i]);
    }
    for (size_t i = 0; i < message->n_upstreams; i++) {
        take_upstream(this, message->upstreams[i]);
    }
}

/* A heartbeat needs no more than the number; the rest is known. */
static Wt__MemberFact *
make_member_fact(const Member_t *member, gboolean in_full)
{
    Wt__MemberFact *fact = g_new0(Wt__MemberFact, 1);
    wt__member_fact__init(fact);
    fact->name = member->name->str;
    fact->incarnation = member->incarnation;
    fact->address = in_full ? g_strdup_printf("%s:%u", member->address.host,
                                              member->address.port)
                            : g_strdup("");
    fact->hall = in_full ? member->hall->str : (char *)"";
    fact->heartbeat = member->heartbeat;
    fact->leaving = member->leaving;
    fact->fold_offset = member->fold_offset;
    return fact;
}

static void
free_member_fact(gpointer data)
{
    Wt__MemberFact *fact = data;
    g_free(fact->address);
    g_free(fact);
}

static Wt__UpstreamFact *
make_upstream_fact(const Upstream_t *upstream)
{
    Wt__UpstreamFact *fact = g_new0(Wt__UpstreamFact, 1);
    wt__upstream_fact__init(fact);
    fact->name = upstream->name->str;
    fact->incarnation = upstream->incarnation;
    fact->leaving = upstream->leaving;
    fact->weights = upstream->weights->str;
    fact->pausing_ms =
        (guint32)MAX(upstream->paused_until_ms - Clock_nowMs(), 0);
    fact->running = upstream->reported_running;
    fact->waiting_tokens = (guint64)upstream->reported_tokens;
    fact->age_ms =
        (guint32)MIN(Clock_nowMs() - upstream->reported_at_ms, G_MAXINT32);
    return fact;
}

static gboolean
add_fact(Message_t *message, GPtrArray *list, gpointer fact, gsize size)
{
    if (size > message->room) {
        return FALSE;
    }
    message->room -= size;
    g_ptr_array_add(list, fact);
    return TRUE;
}

/* Where a router listens may not be known yet; it has news again then. */
static gboolean
take_member_fact(Message_t *message, const Member_t *member, gboolean in_full)
{
    if (member->address.port == 0) {
        return TRUE;
    }
    Wt__MemberFact *fact = make_member_fact(member, in_full);
    gsize size = wt__member_fact__get_packed_size(fact) + 2;
    if (!add_fact(message, message->members, fact, size)) {
        free_member_fact(fact);
        return FALSE;
    }
    return TRUE;
}

static gboolean
take_heartbeat(Message_t *message, const char *name)
{
    const Gossip_t *this = message->owner;
    const Member_t *member = strcmp(name, this->table->self.name->str) == 0
                                 ? &this->table->self
                                 : MemberTable_find(this->table, name);
    return !member || take_member_fact(message, member, FALSE);
}

static gboolean
take_upstream_fact(Message_t *message, const char *name)
{
    const Upstream_t *upstream =
        UpstreamSet_find(message->owner->upstreams, name);
    if (!upstream) {
        return TRUE;
    }
    Wt__UpstreamFact *fact = make_upstream_fact(upstream);
    gsize size = wt__upstream_fact__get_packed_size(fact) + 2;
    if (!add_fact(message, message->upstreams, fact, size)) {
        g_free(fact);
        return FALSE;
    }
    return TRUE;
}

static gboolean
take_fact(FactKind_t kind, const char *name, void *data)
{
    return kind == FACT_HEARTBEAT ? take_heartbeat(data, name)
                                  : take_upstream_fact(data, name);
}

static Message_t
begin_message(Gossip_t *this, gsize room)
{
    return (Message_t){
        .owner = this,
        .room = room - FRAME_OVERHEAD,
        .members = g_ptr_array_new_with_free_func(free_member_fact),
        .upstreams = g_ptr_array_new_with_free_func(g_free),
    };
}

/* Returns the bytes sent. */
static gsize
send_message(const Gossip_t *this, const Member_t *member,
             const Message_t *message)
{
    gsize bytes = 0;
    if (message->members->len + message->upstreams->len > 0) {
        Wt__Gossip gossip = WT__GOSSIP__INIT;
        Wt__PeerMessage frame = WT__PEER_MESSAGE__INIT;
        gossip.n_members = message->members->len;
        gossip.members = (Wt__MemberFact **)message->members->pdata;
        gossip.n_upstreams = message->upstreams->len;
        gossip.upstreams = (Wt__UpstreamFact **)message->upstreams->pdata;
        frame.body_case = WT__PEER_MESSAGE__BODY_GOSSIP;
        frame.gossip = &gossip;
        bytes = PeerLink_send(member->link, &frame);
        Counters_add(this->counters, "peer_bytes_sent_total",
                     "kind=\"gossip\"", bytes);
    }
    g_ptr_array_unref(message->members);
    g_ptr_array_unref(message->upstreams);
    return bytes;
}

static void
send_gossip(Gossip_t *this, const Member_t *member, gsize room)
{
    Message_t message = begin_message(this, room);
    GossipQueue_fill(this->queue, take_fact, &message);
    this->budget -= (double)send_message(this, member, &message);
}

static void
send_news(Gossip_t *this, Member_t *peer, gboolean fed)
{
    gsize room = MIN(MemberNews_allowance(this->news), NEWS_MESSAGE_MAX);
    const GPtrArray *pending = room >= LEAST_MESSAGE
                                   ? MemberNews_pending(this->news, peer, fed)
                                   : NULL;
    if (!pending) {
        return;
    }
    Message_t message = begin_message(this, room);
    for (guint i = 0; i < pending->len; i++) {
        const Member_t *member = g_ptr_array_index(pending, i);
        if (!take_member_fact(&message, member, TRUE)) {
            break;
        }
        MemberNews_told(peer, member, fed);
    }
    MemberNews_spend(this->news, send_message(this, peer, &message));
}

/* An answer is one message of what is asked for; its size is bounded, and the
 * asker asks again for the rest. */
void
Gossip_sendMembers(Gossip_t *this, const Member_t *to,
                   const GPtrArray *members)
{
    Message_t message = begin_message(this, ANSWER_MESSAGE_MAX);
    for (guint i = 0; i < members->len; i++) {
        const Member_t *member = g_ptr_array_index(members, i);
        if (!take_member_fact(&message, member, TRUE)) {
            break;
        }
    }
    send_message(this, to, &message);
}

/* Those that are told of a few routers only come first: they need little, and
 * have nobody else to hear it from. */
static void
send_all_news(Gossip_t *this)
{
    MemberNews_grow(this->news, this->settings->gossip_budget, GOSSIP_TICK_MS);
    const GPtrArray *linked = MemberTable_linked(this->table);
    for (guint i = linked->len; i > 0; i--) {
        Member_t *member = g_ptr_array_index(linked, i - 1);
        send_news(this, member, i <= MEMBER_TABLE_FED);
    }
}

/* The budget is a hard limit: what it does not cover now waits. */
static void
send_to_some(Gossip_t *this)
{
    gint64 rate = this->settings->gossip_budget;
    this->budget = MIN(this->budget + (double)rate * GOSSIP_TICK_MS / 1000.0,
                       (double)rate);
    guint links = MemberTable_links(this->table);
    gboolean urgent = Gossip_isMesh(this) &&
                      GossipQueue_has(this->queue, FACT_UPSTREAM_NEWS);
    guint fanout = urgent ? links : MIN(FANOUT, links);
    guint start =
        this->table->live->len > 0 ? Random_below(this->table->live->len) : 0;
    guint sent = 0;
    for (guint i = 0; i < this->table->live->len && sent < fanout; i++) {
        Member_t *member = g_ptr_array_index(
            this->table->live, (start + i) % this->table->live->len);
        if (!member->link) {
            continue;
        }
        sent++;
        if (this->budget >= LEAST_MESSAGE) {
            send_gossip(this, member, (gsize)this->budget);
        }
    }
}

/* Load is the least urgent; each tick offers what answers have reported. */
static void
offer_loads(Gossip_t *this, gint64 now_ms)
{
    const GPtrArray *upstreams = UpstreamSet_all(this->upstreams);
    for (guint i = 0; i < upstreams->len; i++) {
        const Upstream_t *upstream = g_ptr_array_index(upstreams, i);
        if (now_ms - upstream->reported_at_ms < GOSSIP_TICK_MS) {
            GossipQueue_add(this->queue, FACT_UPSTREAM_LOAD,
                            upstream->name->str, 1);
        }
    }
}

void
Gossip_tick(Gossip_t *this)
{
    offer_loads(this, Clock_nowMs());
    send_all_news(this);
    send_to_some(this);
}
