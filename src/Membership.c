#include "Membership.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <sodium.h>
#include <string.h>

#include "AcceptPause.h"
#include "Clock.h"
#include "Gossip.h"
#include "LateListener.h"
#include "Log.h"
#include "MemberQueries.h"
#include "PeerDatagrams.h"
#include "Random.h"

#define LISTEN_SETTING "peers.listen"
#define HEARTBEAT_MS 1000
#define SEED_RETRY_MS 1000
/* A router that was not seen for this number of heartbeats is removed. */
#define HEARTBEATS_MISSED_MAX 10
/* Links that a router maintains where there are too many routers for a mesh.
 */
#define LINKS_WANTED 6
/* Links of these that are in the local hall. */
#define LINKS_LOCAL_HALL_MIN 4
/* During this time from the start, links are opened in each tick, as other
 * routers become known. The time is bounded so that a router that refuses
 * connections is not tried in each tick for longer. */
#define LINKS_EAGER_MS 3000
/* Membership is converged when the number of known routers has grown by no
 * more than one part in CONVERGED_GROWTH_DIVISOR for the idle time; with
 * queries, the number that a router knows doubles in less time. The idle time
 * has to end before routers start to list the store themselves, because no
 * router does it for all yet. With too short a time, a router that knows few
 * others ranks itself first for all work. */
#define CONVERGED_IDLE_MS 300
#define CONVERGED_GROWTH_DIVISOR 8
#define CONVERGED_MAX_MS 4000
/* Membership is complete when no new router was found for the idle time: ranks
 * are exact then. */
#define COMPLETE_IDLE_MS 1000
#define COMPLETE_MAX_MS 8000
/* Idle time to convergence of a router that knows no other: its seeds may be
 * down, and connecting to distant ones takes longer. */
#define ALONE_IDLE_MS 1000
/* Time in transit from which a message is late, and below which messages are
 * on time again. */
#define LATE_MS 500
#define ON_TIME_MS 250
/* Heartbeats of all routers per HEARTBEAT_MS, each of which takes a share of
 * the budget; with more routers, each sends less often. */
#define HEARTBEATS_PER_INTERVAL 16

typedef struct {
    Address_t address;
    PeerLink_t *link; /* link in use until its hello is received */
} Seed_t;

struct Membership {
    struct event_base *base;
    MembershipSpec_t spec;
    MemberTable_t *table;
    Gossip_t *gossip;
    GPtrArray *seeds;        /* Seed_t */
    GPtrArray *unidentified; /* PeerLink_t without a received hello */
    LateListener_t *late;
    struct evconnlistener *listener; /* NULL until the address is available */
    AcceptPause_t *pause;
    struct event *tick;
    GBytes *key;
    gint64 heartbeat_sent_ms;
    gint64 seeds_tried_ms;
    gint64 started_ms;
    guint converging_count; /* known routers at the last significant growth */
    gint64 converging_changed_ms; /* time of that growth */
    guint member_count;           /* highest number of known routers */
    gint64 member_count_changed_ms;
    gboolean converged;
    MemberQueries_t queries;
};

static const PeerLinkEvents_t link_events;

static void
send_hello(Membership_t *this, PeerLink_t *link)
{
    Wt__Hello hello = WT__HELLO__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    hello.name = this->table->self.name->str;
    hello.incarnation = this->table->self.incarnation;
    hello.callers_host = this->spec.callers.host;
    hello.callers_port = this->spec.callers.port;
    hello.pieces = TRUE;
    message.body_case = WT__PEER_MESSAGE__BODY_HELLO;
    message.hello = &hello;
    PeerLink_send(link, &message);
}

static PeerLink_t *
connect_to(Membership_t *this, const Address_t *address)
{
    PeerLink_t *link =
        PeerLink_connect(this->base, address, this->key, &link_events, this);
    g_ptr_array_add(this->unidentified, link);
    send_hello(this, link);
    return link;
}

static gboolean
is_same_address(const Address_t *a, const Address_t *b)
{
    return a->port == b->port && strcmp(a->host, b->host) == 0;
}

static gboolean
has_link_to(const Membership_t *this, const Address_t *address)
{
    for (guint i = 0; i < this->table->live->len; i++) {
        const Member_t *member = g_ptr_array_index(this->table->live, i);
        if (is_same_address(&member->address, address)) {
            return member->link != NULL;
        }
    }
    return is_same_address(&this->table->self.address, address);
}

void
Membership_addSeed(Membership_t *this, const Address_t *address)
{
    for (guint i = 0; i < this->seeds->len; i++) {
        const Seed_t *seed = g_ptr_array_index(this->seeds, i);
        if (is_same_address(&seed->address, address)) {
            return;
        }
    }
    Seed_t *seed = g_new0(Seed_t, 1);
    seed->address = *address;
    g_ptr_array_add(this->seeds, seed);
    this->seeds_tried_ms = 0;
}

static guint
count_local_hall_links(const Membership_t *this)
{
    guint links = 0;
    for (guint i = 0; i < this->table->live->len; i++) {
        const Member_t *member = g_ptr_array_index(this->table->live, i);
        gboolean local = MemberTable_isInLocalHall(this->table, member);
        links += member->link && local ? 1 : 0;
    }
    return links;
}

/* Opens links to random members that have none. Returns the number of links
 * started. */
static guint
add_links(Membership_t *this, guint max, gboolean local_hall_only)
{
    const GPtrArray *live = this->table->live;
    guint start = live->len > 0 ? Random_below(live->len) : 0;
    guint started = 0;
    for (guint i = 0; i < live->len && started < max; i++) {
        Member_t *member = g_ptr_array_index(live, (start + i) % live->len);
        gboolean fits =
            !local_hall_only || MemberTable_isInLocalHall(this->table, member);
        if (fits && !member->link && member->address.port != 0) {
            connect_to(this, &member->address);
            started++;
        }
    }
    return started;
}

/* Opens missing links: to all members in a mesh, otherwise to LINKS_WANTED of
 * them, most in the local hall, so that updates seldom cross between halls. */
static void
maintain_links(Membership_t *this)
{
    guint links =
        MemberTable_countLinks(this->table) + this->unidentified->len;
    guint wanted =
        Gossip_isMesh(this->gossip) ? this->table->live->len : LINKS_WANTED;
    if (links >= wanted) {
        return;
    }
    guint local = count_local_hall_links(this) + this->unidentified->len;
    guint missing = LINKS_LOCAL_HALL_MIN - MIN(local, LINKS_LOCAL_HALL_MIN);
    links += add_links(this, MIN(wanted - links, missing), TRUE);
    add_links(this, wanted - MIN(links, wanted), FALSE);
}

static void
connect_seeds(Membership_t *this)
{
    guint links = MemberTable_countLinks(this->table);
    for (guint i = 0; i < this->seeds->len && links < LINKS_WANTED; i++) {
        Seed_t *seed = g_ptr_array_index(this->seeds, i);
        if (!seed->link && !has_link_to(this, &seed->address)) {
            seed->link = connect_to(this, &seed->address);
        }
    }
}

static void
remove_unidentified(Membership_t *this, const PeerLink_t *link)
{
    g_ptr_array_remove_fast(this->unidentified, (gpointer)link);
    for (guint i = 0; i < this->seeds->len; i++) {
        Seed_t *seed = g_ptr_array_index(this->seeds, i);
        if (seed->link == link) {
            seed->link = NULL;
        }
    }
}

static void
on_link_closed(void *owner, PeerLink_t *link)
{
    Membership_t *this = owner;
    Member_t *member = MemberTable_findLink(this->table, link);
    remove_unidentified(this, link);
    if (member) {
        member->link = NULL;
    }
}

static void
note_callers(Member_t *member, const Wt__Hello *hello)
{
    gboolean is_valid = hello->callers_port <= G_MAXUINT16 &&
                        strlen(hello->callers_host) < ADDRESS_HOST_SIZE;
    member->callers = (Address_t){0};
    if (is_valid) {
        g_strlcpy(member->callers.host, hello->callers_host,
                  ADDRESS_HOST_SIZE);
        member->callers.port = (guint16)hello->callers_port;
    }
}

/* If two routers have opened links to each other at the same time, both keep
 * the link opened by the router with the smaller name. */
static void
receive_hello(Membership_t *this, PeerLink_t *link, const Wt__Hello *hello)
{
    remove_unidentified(this, link);
    gint order = strcmp(this->table->self.name->str, hello->name);
    if (order == 0) {
        PeerLink_close(link);
        return;
    }
    Member_t *member = MemberTable_findOrCreate(this->table, hello->name);
    if (member->link && PeerLink_isOutgoing(link) != (order < 0)) {
        PeerLink_close(link);
        return;
    }
    if (member->link) {
        PeerLink_close(member->link);
    }
    member->link = link;
    member->is_late = FALSE;
    if (hello->pieces) {
        PeerLink_allowPieces(link);
    }
    note_callers(member, hello);
    member->is_incoming = !PeerLink_isOutgoing(link);
    member->last_seen_ms = Clock_nowMs();
    if (hello->incarnation > member->incarnation) {
        member->incarnation = hello->incarnation;
        member->heartbeat = 0;
        member->leaving = FALSE;
    }
    Gossip_syncPeer(this->gossip, member);
    if (this->spec.linked) {
        this->spec.linked(this->spec.data, member);
    }
}

static void
answer_members_query(Membership_t *this, Member_t *from,
                     const Wt__MembersAsk *query)
{
    GPtrArray *unknown = MemberQueries_receive(this->table, from, query);
    Gossip_sendMembers(this->gossip, from, unknown);
    g_ptr_array_unref(unknown);
}

/* Logs once when the messages of a peer begin to take long, and once when they
 * are on time again. */
static void
note_transit(const Membership_t *this, Member_t *from, gint64 transit_ms)
{
    gboolean is_late = transit_ms >= (from->is_late ? ON_TIME_MS : LATE_MS);
    if (transit_ms >= LATE_MS) {
        Counters_add(this->spec.counters, "peer_late_messages_total", NULL, 1);
    }
    if (is_late == from->is_late) {
        return;
    }
    from->is_late = is_late;
    Log_begin(LOG_LEVEL_INFO, is_late ? "peer_late" : "peer_on_time");
    Log_text("router", from->name->str);
    Log_number("transit_ms", transit_ms);
    Log_end();
}

static void
on_message(void *owner, PeerLink_t *link, const Wt__PeerMessage *message)
{
    Membership_t *this = owner;
    if (message->body_case == WT__PEER_MESSAGE__BODY_HELLO) {
        receive_hello(this, link, message->hello);
        return;
    }
    Member_t *from = MemberTable_findLink(this->table, link);
    if (!from) {
        return;
    }
    note_transit(this, from, PeerLink_transitMs(link));
    if (message->body_case == WT__PEER_MESSAGE__BODY_GOSSIP) {
        Gossip_receive(this->gossip, message->gossip,
                       PeerLink_transitMs(link));
        return;
    }
    if (message->body_case == WT__PEER_MESSAGE__BODY_MEMBERS_ASK) {
        answer_members_query(this, from, message->members_ask);
        return;
    }
    this->spec.message(this->spec.data, from, message);
}

static const PeerLinkEvents_t link_events = {
    .message = on_message,
    .closed = on_link_closed,
};

static gint64
heartbeat_interval_ms(const Membership_t *this)
{
    gint64 routers = (gint64)this->table->live->len + 1;
    return MAX(HEARTBEAT_MS, routers * HEARTBEAT_MS / HEARTBEATS_PER_INTERVAL);
}

static void
send_heartbeat(Membership_t *this, gint64 now_ms)
{
    gint64 interval_ms = heartbeat_interval_ms(this);
    if (now_ms - this->heartbeat_sent_ms < interval_ms) {
        return;
    }
    this->heartbeat_sent_ms = now_ms;
    MemberTable_logJoinedCount(this->table);
    Gossip_spreadHeartbeat(this->gossip);
    MemberTable_expire(this->table, HEARTBEATS_MISSED_MAX * interval_ms);
}

static void
update_convergence(Membership_t *this, gint64 now_ms)
{
    if (this->table->live->len >
        this->converging_count +
            this->converging_count / CONVERGED_GROWTH_DIVISOR) {
        this->converging_count = this->table->live->len;
        this->converging_changed_ms = now_ms;
    }
    if (this->table->live->len > this->member_count) {
        this->member_count = this->table->live->len;
        this->member_count_changed_ms = now_ms;
    }
    gint64 idle_ms =
        this->converging_count > 0 ? CONVERGED_IDLE_MS : ALONE_IDLE_MS;
    this->converged = this->converged ||
                      now_ms - this->converging_changed_ms >= idle_ms ||
                      now_ms - this->started_ms >= CONVERGED_MAX_MS;
}

static void
on_tick(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Membership_t *this = data;
    gint64 now_ms = Clock_nowMs();
    send_heartbeat(this, now_ms);
    update_convergence(this, now_ms);
    if (now_ms - this->seeds_tried_ms >= SEED_RETRY_MS) {
        this->seeds_tried_ms = now_ms;
        connect_seeds(this);
        maintain_links(this);
    }
    else if (now_ms - this->started_ms < LINKS_EAGER_MS) {
        maintain_links(this);
    }
    /* Also where all known routers fit into a mesh: if the allowances of its
     * peers are spent, a router knows no others than these peers. */
    MemberQueries_tick(&this->queries, this->table, now_ms);
    Gossip_tick(this->gossip);
    Clock_arm(this->tick, GOSSIP_TICK_MS);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int length, void *data)
{
    (void)listener;
    (void)address;
    (void)length;
    Membership_t *this = data;
    PeerLink_t *link =
        PeerLink_accept(this->base, fd, this->key, &link_events, this);
    g_ptr_array_add(this->unidentified, link);
    send_hello(this, link);
}

static gboolean
open_listener(void *owner)
{
    Membership_t *this = owner;
    struct sockaddr_in address =
        PeerDatagrams_toSockaddr(&this->spec.settings->peers.listen);
    struct sockaddr_in bound = {0};
    socklen_t size = sizeof(bound);
    this->listener = evconnlistener_new_bind(
        this->base, on_accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
        LISTEN_BACKLOG, (struct sockaddr *)&address, sizeof(address));
    if (!this->listener) {
        return FALSE;
    }
    this->pause =
        AcceptPause_create(this->base, this->listener, LISTEN_SETTING);
    getsockname(evconnlistener_get_fd(this->listener),
                (struct sockaddr *)&bound, &size);
    this->table->self.address.port = ntohs(bound.sin_port);
    return TRUE;
}

/* Without the listener, links are opened from this side alone. */
static gboolean
start_listening(Membership_t *this, GError **error)
{
    const Address_t *address = &this->spec.settings->peers.listen;
    ListenRetry_t retry = {.setting = LISTEN_SETTING,
                           .address = address,
                           .open = open_listener,
                           .owner = this};
    this->table->self.address = *address;
    this->late = LateListener_create(this->base, &retry, error);
    return this->late != NULL;
}

/* Derives the key for messages between peers from the sealing key, so that
 * each purpose has a key of its own. */
static GBytes *
derive_key(GBytes *seal)
{
    static const char purpose[] = "peers";
    guint8 key[crypto_generichash_KEYBYTES];
    gsize size = 0;
    const guint8 *bytes = g_bytes_get_data(seal, &size);
    crypto_generichash(key, sizeof(key), (const guint8 *)purpose,
                       sizeof(purpose), bytes, size);
    return g_bytes_new(key, sizeof(key));
}

Membership_t *
Membership_create(struct event_base *base, const MembershipSpec_t *spec,
                  GError **error)
{
    const Settings_t *settings = spec->settings;
    Membership_t *this = g_new0(Membership_t, 1);
    this->base = base;
    this->spec = *spec;
    this->table =
        MemberTable_create(settings->router.name->str,
                           settings->router.hall->str, spec->incarnation);
    this->table->self.link_mbit = (guint32)settings->router.link_mbit;
    this->gossip = Gossip_create(this->table, spec->upstreams, spec->counters,
                                 &settings->peers);
    this->seeds = g_ptr_array_new_with_free_func(g_free);
    this->unidentified = g_ptr_array_new();
    this->key = derive_key(settings->keys.seal);
    this->tick = Clock_timer(base, on_tick, this);
    this->started_ms = Clock_nowMs();
    this->converging_changed_ms = this->started_ms;
    this->member_count_changed_ms = this->started_ms;
    MemberQueries_init(&this->queries, this->started_ms);
    if (!start_listening(this, error)) {
        Membership_destroy(this);
        return NULL;
    }
    const GArray *seeds = settings->peers.seeds;
    for (guint i = 0; seeds && i < seeds->len; i++) {
        Membership_addSeed(this, &g_array_index(seeds, Address_t, i));
    }
    Clock_arm(this->tick, 0);
    return this;
}

void
Membership_destroy(Membership_t *this)
{
    if (this->late) {
        LateListener_destroy(this->late);
    }
    if (this->listener) {
        AcceptPause_destroy(this->pause);
        evconnlistener_free(this->listener);
    }
    event_free(this->tick);
    for (guint i = 0; i < this->unidentified->len; i++) {
        PeerLink_close(g_ptr_array_index(this->unidentified, i));
    }
    g_ptr_array_unref(this->unidentified);
    g_ptr_array_unref(this->seeds);
    Gossip_destroy(this->gossip);
    MemberTable_destroy(this->table);
    g_bytes_unref(this->key);
    g_free(this);
}

guint16
Membership_port(const Membership_t *this)
{
    return this->table->self.address.port;
}

void
Membership_setFoldOffset(Membership_t *this, guint64 fold_offset)
{
    if (fold_offset != this->table->self.fold_offset) {
        this->table->self.fold_offset = fold_offset;
        Gossip_spreadMember(this->gossip, &this->table->self);
    }
}

void
Membership_setLeaving(Membership_t *this)
{
    this->table->self.leaving = TRUE;
    Gossip_spreadMember(this->gossip, &this->table->self);
}

void
Membership_spreadUpstream(Membership_t *this, const char *name)
{
    Gossip_spreadUpstream(this->gossip, name);
}

const GPtrArray *
Membership_members(const Membership_t *this)
{
    return this->table->live;
}

gboolean
Membership_isMember(const Membership_t *this, const char *name)
{
    return MemberTable_find(this->table, name) != NULL;
}

guint
Membership_countActive(const Membership_t *this)
{
    return MemberTable_countActive(this->table);
}

gboolean
Membership_isConverged(const Membership_t *this)
{
    return this->converged;
}

gboolean
Membership_isComplete(const Membership_t *this)
{
    gint64 now_ms = Clock_nowMs();
    return now_ms - this->member_count_changed_ms >= COMPLETE_IDLE_MS ||
           now_ms - this->started_ms >= COMPLETE_MAX_MS;
}

gboolean
Membership_isMesh(const Membership_t *this)
{
    return Gossip_isMesh(this->gossip);
}

Member_t *
Membership_findOwner(const Membership_t *this, const char *key)
{
    return MemberTable_findOwner(this->table, key);
}

Member_t *
Membership_findReachableOwner(const Membership_t *this, const char *key,
                              gint64 now_ms)
{
    return MemberTable_findReachableOwner(this->table, key, now_ms);
}

guint
Membership_findFirst(const Membership_t *this, const char *key,
                     const Member_t **out, guint max)
{
    return MemberTable_findFirst(this->table, key, out, max);
}

void
Membership_noteUnreachable(Membership_t *this, const char *name,
                           gint64 until_ms)
{
    Member_t *member = MemberTable_find(this->table, name);
    if (member) {
        member->unreachable_until_ms = until_ms;
    }
}

const Address_t *
Membership_address(const Membership_t *this)
{
    return &this->table->self.address;
}

const char *
Membership_hall(const Membership_t *this)
{
    return this->table->self.hall->str;
}

GBytes *
Membership_key(const Membership_t *this)
{
    return this->key;
}

guint
Membership_localRank(const Membership_t *this, const char *key,
                     const char *hall)
{
    return MemberTable_localRank(this->table, key, hall);
}

guint
Membership_rankByLink(const Membership_t *this, const char *key)
{
    return MemberTable_rankByLink(this->table, key);
}

static void
count_sent(const Membership_t *this, gsize bytes)
{
    Counters_add(this->spec.counters, "peer_bytes_sent_total",
                 "kind=\"calls\"", (gint64)bytes);
}

gboolean
Membership_send(Membership_t *this, Member_t *member,
                const Wt__PeerMessage *message)
{
    if (!member->link) {
        return FALSE;
    }
    count_sent(this, PeerLink_send(member->link, message));
    return TRUE;
}

gboolean
Membership_sendLong(Membership_t *this, Member_t *member,
                    const Wt__PeerMessage *message)
{
    if (!member->link) {
        return FALSE;
    }
    count_sent(this, PeerLink_sendLong(member->link, message));
    return TRUE;
}

void
Membership_broadcast(Membership_t *this, const Wt__PeerMessage *message)
{
    const GPtrArray *linked = MemberTable_listLinked(this->table);
    guint max =
        Membership_isMesh(this) ? linked->len : MEMBER_TABLE_UPDATE_PEERS;
    for (guint i = 0; i < MIN(linked->len, max); i++) {
        Membership_send(this, g_ptr_array_index(linked, i), message);
    }
}
