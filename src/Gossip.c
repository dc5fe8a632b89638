#include "Gossip.h"

#include <math.h>
#include <string.h>

#include "Clock.h"
#include "Log.h"
#include "MemberUpdates.h"
#include "Random.h"

/* Number of times that a peer's heartbeat is forwarded where not all routers
 * are linked with each other. */
#define HEARTBEAT_FORWARDS 2
/* Number of peers that get a message each tick. In a mesh, all peers get one
 * while updates of upstreams are queued. */
#define FANOUT_PEERS 2
/* Largest message of updates about routers: some hundred facts, so that a
 * message delays other traffic on a slow link only briefly. */
#define UPDATE_MESSAGE_MAX_BYTES 8192
/* Holds all of 500 routers, and takes 13 ms on a link of 20 Mbit/s. */
#define REPLY_MESSAGE_MAX_BYTES 32768
/* Bytes reserved in a message for all but its facts. */
#define FRAME_OVERHEAD_BYTES 32
#define MESSAGE_MIN_BYTES 100

struct Gossip {
    MemberTable_t *table;
    UpstreamSet_t *upstreams;
    Counters_t *counters;
    const PeersSection_t *settings;
    GossipQueue_t *queue;
    MemberUpdates_t *updates;
    /* Bytes that may be sent now; updates about routers have an allowance. */
    double budget;
};

typedef struct {
    Gossip_t *owner;
    gsize capacity;
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
    this->updates = MemberUpdates_create(table);
    MemberUpdates_note(this->updates, &table->self);
    return this;
}

void
Gossip_destroy(Gossip_t *this)
{
    GossipQueue_destroy(this->queue);
    MemberUpdates_destroy(this->updates);
    g_free(this);
}

static guint
count_sends(const Gossip_t *this)
{
    return 2 + (guint)ceil(2.0 * log2((double)this->table->live->len + 1.0));
}

void
Gossip_spreadUpstream(Gossip_t *this, const char *name)
{
    GossipQueue_add(this->queue, FACT_UPSTREAM_UPDATE, name,
                    count_sends(this));
}

void
Gossip_spreadMember(Gossip_t *this, Member_t *member)
{
    MemberUpdates_note(this->updates, member);
}

gboolean
Gossip_isMesh(const Gossip_t *this)
{
    return this->table->live->len < (guint)this->settings->mesh_routers;
}

/* The number of sends differs: in a mesh every peer receives the heartbeat
 * from this router, otherwise peers forward it. */
void
Gossip_spreadHeartbeat(Gossip_t *this)
{
    guint sends =
        Gossip_isMesh(this) ? this->table->live->len : 2 * HEARTBEAT_FORWARDS;
    this->table->self.heartbeat++;
    if (sends > 0) {
        GossipQueue_add(this->queue, FACT_HEARTBEAT,
                        this->table->self.name->str, sends);
    }
}

void
Gossip_syncPeer(Gossip_t *this, Member_t *member)
{
    member->sent_seq = 0;
    member->sampled_count = 0;
    const GPtrArray *upstreams = UpstreamSet_all(this->upstreams);
    for (guint i = 0; i < upstreams->len; i++) {
        const Upstream_t *upstream = g_ptr_array_index(upstreams, i);
        if (upstream->leaving) {
            GossipQueue_add(this->queue, FACT_UPSTREAM_UPDATE,
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
parse_address(Address_t *address, const char *text)
{
    const char *colon = strrchr(text, ':');
    if (colon && (gsize)(colon - text) < sizeof(address->host)) {
        g_strlcpy(address->host, text, (gsize)(colon - text) + 1);
        address->port = (guint16)g_ascii_strtoull(colon + 1, NULL, 10);
    }
}

/* Whether a fact is the first to carry the address and hall for its
 * incarnation. A heartbeat carries neither, and may arrive before the full
 * fact. */
static gboolean
adds_address(const Member_t *member, const Wt__MemberFact *fact)
{
    return *fact->hall && fact->incarnation == member->incarnation &&
           member->address_incarnation != fact->incarnation;
}

static void
apply_address(Member_t *member, const Wt__MemberFact *fact)
{
    if (*fact->hall) {
        parse_address(&member->address, fact->address);
        g_string_assign(member->hall, fact->hall);
        member->link_mbit = fact->link_mbit;
        member->address_incarnation = fact->incarnation;
    }
}

static void
apply_newer(Gossip_t *this, Member_t *member, const Wt__MemberFact *fact)
{
    gboolean restarted = fact->incarnation > member->incarnation;
    gboolean changed = restarted || adds_address(member, fact) ||
                       fact->leaving != member->leaving ||
                       fact->fold_offset > member->fold_offset;
    member->leaving = fact->leaving || (member->leaving && !restarted);
    member->incarnation = fact->incarnation;
    member->heartbeat =
        restarted ? fact->heartbeat : MAX(member->heartbeat, fact->heartbeat);
    member->fold_offset = MAX(member->fold_offset, fact->fold_offset);
    member->last_seen_ms = Clock_nowMs();
    apply_address(member, fact);
    if (changed) {
        Gossip_spreadMember(this, member);
    }
    else if (!Gossip_isMesh(this)) {
        GossipQueue_add(this->queue, FACT_HEARTBEAT, fact->name,
                        HEARTBEAT_FORWARDS);
    }
}

static void
apply_member(Gossip_t *this, const Wt__MemberFact *fact)
{
    if (strcmp(fact->name, this->table->self.name->str) == 0) {
        return;
    }
    Member_t *member = MemberTable_findOrCreate(this->table, fact->name);
    if (is_newer(member, fact)) {
        apply_newer(this, member, fact);
    }
    else if (adds_address(member, fact)) {
        apply_address(member, fact);
        Gossip_spreadMember(this, member);
    }
}

/* Ignores a report that is not newer than the known one. Returns whether the
 * weights have changed. */
static gboolean
apply_load_report(Upstream_t *upstream, const Wt__UpstreamFact *fact,
                  gint64 sent_ms)
{
    gint64 at_ms = sent_ms - fact->age_ms;
    if (fact->incarnation != upstream->incarnation ||
        at_ms <= upstream->reported_at_ms) {
        return FALSE;
    }
    gboolean changed =
        *fact->weights && strcmp(upstream->weights->str, fact->weights) != 0;
    if (changed) {
        Upstream_noteWeights(upstream, fact->weights);
    }
    upstream->reported_at_ms = at_ms;
    upstream->reported_running = fact->running;
    upstream->reported_tokens = (gint64)fact->waiting_tokens;
    return changed;
}

/* A fact carries the remaining time of a pause, because the clocks of routers
 * are not compared. A pause ends only by other weights or by time: a fact
 * without a pause may come from a peer that has not received the pause yet. */
static gboolean
apply_pause(Upstream_t *upstream, const Wt__UpstreamFact *fact, gint64 now_ms)
{
    if (fact->pausing_ms == 0 || upstream->paused_until_ms > now_ms ||
        strcmp(upstream->weights->str, fact->weights) != 0) {
        return FALSE;
    }
    Upstream_notePause(upstream, fact->pausing_ms, now_ms);
    return TRUE;
}

static void
apply_upstream(Gossip_t *this, const Wt__UpstreamFact *fact, gint64 transit_ms)
{
    Upstream_t *upstream = UpstreamSet_find(this->upstreams, fact->name);
    if (!upstream) {
        return;
    }
    gint64 now_ms = Clock_nowMs();
    gboolean changed =
        Upstream_noteIncarnation(upstream, fact->incarnation, now_ms);
    gboolean leaving =
        fact->leaving &&
        Upstream_noteLeaving(upstream, fact->incarnation, now_ms);
    changed =
        apply_load_report(upstream, fact, now_ms - transit_ms) || changed;
    changed = apply_pause(upstream, fact, now_ms) || changed;
    if (leaving) {
        Log_begin(LOG_LEVEL_INFO, "upstream_leaving");
        Log_text("upstream", fact->name);
        Log_text("source", "peer");
        Log_end();
        changed = TRUE;
    }
    if (changed) {
        Gossip_spreadUpstream(this, fact->name);
    }
}

void
Gossip_receive(Gossip_t *this, const Wt__Gossip *message, gint64 transit_ms)
{
    for (size_t i = 0; i < message->n_members; i++) {
        apply_member(this, message->members[i]);
    }
    for (size_t i = 0; i < message->n_upstreams; i++) {
        apply_upstream(this, message->upstreams[i], transit_ms);
    }
}

/* A heartbeat is sent without address and hall, which the receivers have from
 * the full fact. */
static Wt__MemberFact *
make_member_fact(const Member_t *member, gboolean is_full)
{
    Wt__MemberFact *fact = g_new0(Wt__MemberFact, 1);
    wt__member_fact__init(fact);
    fact->name = member->name->str;
    fact->incarnation = member->incarnation;
    fact->address = is_full ? g_strdup_printf("%s:%u", member->address.host,
                                              member->address.port)
                            : g_strdup("");
    fact->hall = is_full ? member->hall->str : (char *)"";
    fact->link_mbit = is_full ? member->link_mbit : 0;
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
append_if_fits(Message_t *message, GPtrArray *list, gpointer fact, gsize size)
{
    if (size > message->capacity) {
        return FALSE;
    }
    message->capacity -= size;
    g_ptr_array_add(list, fact);
    return TRUE;
}

/* Skips a router whose address is not known yet; the router is queued again
 * when the address arrives. */
static gboolean
append_member_fact(Message_t *message, const Member_t *member,
                   gboolean is_full)
{
    if (member->address.port == 0) {
        return TRUE;
    }
    Wt__MemberFact *fact = make_member_fact(member, is_full);
    gsize size = wt__member_fact__get_packed_size(fact) + 2;
    if (!append_if_fits(message, message->members, fact, size)) {
        free_member_fact(fact);
        return FALSE;
    }
    return TRUE;
}

static gboolean
append_heartbeat(Message_t *message, const char *name)
{
    const Gossip_t *this = message->owner;
    const Member_t *member = strcmp(name, this->table->self.name->str) == 0
                                 ? &this->table->self
                                 : MemberTable_find(this->table, name);
    return !member || append_member_fact(message, member, FALSE);
}

static gboolean
append_upstream_fact(Message_t *message, const char *name)
{
    const Upstream_t *upstream =
        UpstreamSet_find(message->owner->upstreams, name);
    if (!upstream) {
        return TRUE;
    }
    Wt__UpstreamFact *fact = make_upstream_fact(upstream);
    gsize size = wt__upstream_fact__get_packed_size(fact) + 2;
    if (!append_if_fits(message, message->upstreams, fact, size)) {
        g_free(fact);
        return FALSE;
    }
    return TRUE;
}

static gboolean
append_fact(FactKind_t kind, const char *name, void *data)
{
    return kind == FACT_HEARTBEAT ? append_heartbeat(data, name)
                                  : append_upstream_fact(data, name);
}

static Message_t
begin_message(Gossip_t *this, gsize capacity)
{
    return (Message_t){
        .owner = this,
        .capacity = capacity - FRAME_OVERHEAD_BYTES,
        .members = g_ptr_array_new_with_free_func(free_member_fact),
        .upstreams = g_ptr_array_new_with_free_func(g_free),
    };
}

/* Frees the facts of the message. Returns the bytes sent. */
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
send_gossip(Gossip_t *this, const Member_t *member, gsize capacity)
{
    Message_t message = begin_message(this, capacity);
    GossipQueue_offerFacts(this->queue, append_fact, &message);
    this->budget -= (double)send_message(this, member, &message);
}

static void
send_updates(Gossip_t *this, Member_t *peer, gboolean send_all)
{
    gsize capacity =
        MIN(MemberUpdates_allowance(this->updates), UPDATE_MESSAGE_MAX_BYTES);
    const GPtrArray *pending =
        capacity >= MESSAGE_MIN_BYTES
            ? MemberUpdates_listPending(this->updates, peer, send_all)
            : NULL;
    if (!pending) {
        return;
    }
    Message_t message = begin_message(this, capacity);
    for (guint i = 0; i < pending->len; i++) {
        const Member_t *member = g_ptr_array_index(pending, i);
        if (!append_member_fact(&message, member, TRUE)) {
            break;
        }
        MemberUpdates_noteSent(peer, member, send_all);
    }
    MemberUpdates_charge(this->updates, send_message(this, peer, &message));
}

/* The reply is a single message of bounded size; the requester queries again
 * for the remaining routers. */
void
Gossip_sendMembers(Gossip_t *this, const Member_t *to,
                   const GPtrArray *members)
{
    Message_t message = begin_message(this, REPLY_MESSAGE_MAX_BYTES);
    for (guint i = 0; i < members->len; i++) {
        const Member_t *member = g_ptr_array_index(members, i);
        if (!append_member_fact(&message, member, TRUE)) {
            break;
        }
    }
    send_message(this, to, &message);
}

/* Peers at the end of the list, which get only a sample of the routers, are
 * served first: they need few bytes and have no other source. */
static void
send_all_updates(Gossip_t *this)
{
    MemberUpdates_refillAllowance(this->updates, this->settings->gossip_budget,
                                  GOSSIP_TICK_MS);
    const GPtrArray *linked = MemberTable_listLinked(this->table);
    for (guint i = linked->len; i > 0; i--) {
        Member_t *member = g_ptr_array_index(linked, i - 1);
        send_updates(this, member, i <= MEMBER_TABLE_UPDATE_PEERS);
    }
}

/* Facts that the budget does not cover stay queued for a later tick. */
static void
send_queued_facts(Gossip_t *this)
{
    gint64 rate = this->settings->gossip_budget;
    this->budget = MIN(this->budget + (double)rate * GOSSIP_TICK_MS / 1000.0,
                       (double)rate);
    guint links = MemberTable_countLinks(this->table);
    gboolean urgent = Gossip_isMesh(this) &&
                      GossipQueue_hasKind(this->queue, FACT_UPSTREAM_UPDATE);
    guint fanout = urgent ? links : MIN(FANOUT_PEERS, links);
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
        if (this->budget >= MESSAGE_MIN_BYTES) {
            send_gossip(this, member, (gsize)this->budget);
        }
    }
}

/* Queues the load of upstreams that responses have reported since the last
 * tick. */
static void
queue_load_reports(Gossip_t *this, gint64 now_ms)
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
    queue_load_reports(this, Clock_nowMs());
    send_all_updates(this);
    send_queued_facts(this);
}
