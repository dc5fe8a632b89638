#include "Membership.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <sodium.h>
#include <string.h>

#include "Clock.h"
#include "Errors.h"
#include "Gossip.h"
#include "MemberAsks.h"
#include "Random.h"

#define HEARTBEAT_MS 1000
#define SEED_RETRY_MS 1000
/* A router that was not heard of for so many heartbeats is taken for gone. */
#define HEARTBEATS_MISSED 10
/* Links where there are too many routers for all. */
#define LINKS_WANTED 6
/* Of these, in the own hall. */
#define LINKS_OF_HALL 4
/* Until others are known, links to them are looked for in each turn, for so
 * long from the start at the most: one that refuses must not be asked often.
 */
#define LINKS_SOON_MS 3000
/* Others are taken for known when their number has grown by less than one part
 * of so many for this time: asks double what each knows in less. It has to be
 * over when each would ask the store for itself, as nobody reads for it yet;
 * who knows few takes itself for the first of all. */
#define SETTLED_QUIET_MS 300
#define SETTLED_PARTS 8
#define SETTLED_LATEST_MS 4000
/* No router is new for so long: a rank is exact then. */
#define COMPLETE_QUIET_MS 1000
#define COMPLETE_LATEST_MS 8000
/* The same for a router that has heard of nobody: its seeds may be down, and
 * a connection takes longer where they are far. */
#define ALONE_MS 1000
/* Routers for each of which a heartbeat takes a share of the budget: with
 * more of them each beats less often. */
#define ROUTERS_A_SECOND 16

typedef struct {
    Address_t address;
    PeerLink_t *link; /* until its hello came */
} Seed_t;

struct Membership {
    struct event_base *base;
    MembershipSpec_t spec;
    MemberTable_t *table;
    Gossip_t *gossip;
    GPtrArray *seeds;   /* Seed_t */
    GPtrArray *unknown; /* PeerLink_t before their hello */
    struct evconnlistener *listener;
    struct event *tick;
    GBytes *key;
    guint16 port;
    gint64 beat_ms;
    gint64 seeds_ms;
    gint64 begun_ms;
    guint known;     /* routers heard of, as last looked at */
    gint64 known_ms; /* when that last grew */
    guint heard;     /* the same, with each single one */
    gint64 heard_ms;
    gboolean settled;
    MemberAsks_t asks;
};

static const PeerLinkEvents_t link_events;

static void
send_hello(Membership_t *this, PeerLink_t *link)
{
    Wt__Hello hello = WT__HELLO__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    hello.name = this->table->self.name->str;
    hello.incarnation = this->table->self.incarnation;
    message.body_case = WT__PEER_MESSAGE__BODY_HELLO;
    message.hello = &hello;
    PeerLink_send(link, &message);
}

static PeerLink_t *
connect_to(Membership_t *this, const Address_t *address)
{
    PeerLink_t *link =
        PeerLink_connect(this->base, address, this->key, &link_events, this);
    g_ptr_array_add(this->unknown, link);
    send_hello(this, link);
    return link;
}

static gboolean
same_address(const Address_t *a, const Address_t *b)
{
    return a->port == b->port && strcmp(a->host, b->host) == 0;
}

static gboolean
has_link_to(const Membership_t *this, const Address_t *address)
{
    for (guint i = 0; i < this->table->live->len; i++) {
        const Member_t *member = g_ptr_array_index(this->table->live, i);
        if (same_address(&member->address, address)) {
            return member->link != NULL;
        }
    }
    return same_address(&this->table->self.address, address);
}

void
Membership_addSeed(Membership_t *this, const Address_t *address)
{
    for (guint i = 0; i < this->seeds->len; i++) {
        const Seed_t *seed = g_ptr_array_index(this->seeds, i);
        if (same_address(&seed->address, address)) {
            return;
        }
    }
    Seed_t *seed = g_new0(Seed_t, 1);
    seed->address = *address;
    g_ptr_array_add(this->seeds, seed);
    this->seeds_ms = 0;
}

static guint
links_of_hall(const Membership_t *this)
{
    guint links = 0;
    for (guint i = 0; i < this->table->live->len; i++) {
        const Member_t *member = g_ptr_array_index(this->table->live, i);
        gboolean near = MemberTable_isOfHall(this->table, member);
        links += member->link && near ? 1 : 0;
    }
    return links;
}

/* With few members all are linked, with many a few, drawn by chance; returns
 * how many links were begun. */
static guint
add_links(Membership_t *this, guint most, gboolean of_hall_only)
{
    const GPtrArray *live = this->table->live;
    guint start = live->len > 0 ? Random_below(live->len) : 0;
    guint begun = 0;
    for (guint i = 0; i < live->len && begun < most; i++) {
        Member_t *member = g_ptr_array_index(live, (start + i) % live->len);
        gboolean fits =
            !of_hall_only || MemberTable_isOfHall(this->table, member);
        if (fits && !member->link && member->address.port != 0) {
            connect_to(this, &member->address);
            begun++;
        }
    }
    return begun;
}

/* Most links stay in the own hall, so that news seldom crosses to another. */
static void
keep_links(Membership_t *this)
{
    guint links = MemberTable_links(this->table) + this->unknown->len;
    guint wanted =
        Gossip_isMesh(this->gossip) ? this->table->live->len : LINKS_WANTED;
    if (links >= wanted) {
        return;
    }
    guint near = links_of_hall(this) + this->unknown->len;
    guint missing = LINKS_OF_HALL - MIN(near, LINKS_OF_HALL);
    links += add_links(this, MIN(wanted - links, missing), TRUE);
    add_links(this, wanted - MIN(links, wanted), FALSE);
}

static void
try_seeds(Membership_t *this)
{
    guint links = MemberTable_links(this->table);
    for (guint i = 0; i < this->seeds->len && links < LINKS_WANTED; i++) {
        Seed_t *seed = g_ptr_array_index(this->seeds, i);
        if (!seed->link && !has_link_to(this, &seed->address)) {
            seed->link = connect_to(this, &seed->address);
        }
    }
}

static void
forget_unknown(Membership_t *this, const PeerLink_t *link)
{
    g_ptr_array_remove_fast(this->unknown, (gpointer)link);
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
    forget_unknown(this, link);
    if (member) {
        member->link = NULL;
    }
}

/* Where both made a link at once, both keep that of the smaller name. */
static void
take_hello(Membership_t *this, PeerLink_t *link, const Wt__Hello *hello)
{
    forget_unknown(this, link);
    gint order = strcmp(this->table->self.name->str, hello->name);
    if (order == 0) {
        PeerLink_close(link);
        return;
    }
    Member_t *member = MemberTable_findOrMake(this->table, hello->name);
    if (member->link && PeerLink_isOutgoing(link) != (order < 0)) {
        PeerLink_close(link);
        return;
    }
    if (member->link) {
        PeerLink_close(member->link);
    }
    member->link = link;
    member->asked = !PeerLink_isOutgoing(link);
    member->heard_ms = Clock_nowMs();
    if (hello->incarnation > member->incarnation) {
        member->incarnation = hello->incarnation;
        member->heartbeat = 0;
        member->leaving = FALSE;
    }
    Gossip_introduce(this->gossip, member);
    if (this->spec.linked) {
        this->spec.linked(this->spec.data, member);
    }
}

static void
answer_ask(Membership_t *this, Member_t *from, const Wt__MembersAsk *asked)
{
    GPtrArray *unknown = MemberAsks_take(this->table, from, asked);
    Gossip_sendMembers(this->gossip, from, unknown);
    g_ptr_array_unref(unknown);
}

static void
on_message(void *owner, PeerLink_t *link, const Wt__PeerMessage *message)
{
    Membership_t *this = owner;
    if (message->body_case == WT__PEER_MESSAGE__BODY_HELLO) {
        take_hello(this, link, message->hello);
        return;
    }
    Member_t *from = MemberTable_findLink(this->table, link);
    if (!from) {
        return;
    }
    if (message->body_case == WT__PEER_MESSAGE__BODY_GOSSIP) {
        Gossip_take(this->gossip, message->gossip);
        return;
    }
    if (message->body_case == WT__PEER_MESSAGE__BODY_MEMBERS_ASK) {
        answer_ask(this, from, message->members_ask);
        return;
    }
    this->spec.message(this->spec.data, from, message);
}

static const PeerLinkEvents_t link_events = {
    .message = on_message,
    .closed = on_link_closed,
};

static gint64
heartbeat_ms(const Membership_t *this)
{
    gint64 routers = (gint64)this->table->live->len + 1;
    return MAX(HEARTBEAT_MS, routers * HEARTBEAT_MS / ROUTERS_A_SECOND);
}

static void
beat(Membership_t *this, gint64 now_ms)
{
    gint64 every_ms = heartbeat_ms(this);
    if (now_ms - this->beat_ms < every_ms) {
        return;
    }
    this->beat_ms = now_ms;
    MemberTable_logUnnamed(this->table);
    Gossip_heartbeat(this->gossip);
    MemberTable_expire(this->table, HEARTBEATS_MISSED * every_ms);
}

static void
note_known(Membership_t *this, gint64 now_ms)
{
    if (this->table->live->len > this->known + this->known / SETTLED_PARTS) {
        this->known = this->table->live->len;
        this->known_ms = now_ms;
    }
    if (this->table->live->len > this->heard) {
        this->heard = this->table->live->len;
        this->heard_ms = now_ms;
    }
    gint64 quiet_ms = this->known > 0 ? SETTLED_QUIET_MS : ALONE_MS;
    this->settled = this->settled || now_ms - this->known_ms >= quiet_ms ||
                    now_ms - this->begun_ms >= SETTLED_LATEST_MS;
}

static void
on_tick(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Membership_t *this = data;
    gint64 now_ms = Clock_nowMs();
    beat(this, now_ms);
    note_known(this, now_ms);
    if (now_ms - this->seeds_ms >= SEED_RETRY_MS) {
        this->seeds_ms = now_ms;
        try_seeds(this);
        keep_links(this);
    }
    else if (now_ms - this->begun_ms < LINKS_SOON_MS) {
        keep_links(this);
    }
    if (!Gossip_isMesh(this->gossip)) {
        MemberAsks_tick(&this->asks, this->table, now_ms);
    }
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
    g_ptr_array_add(this->unknown, link);
    send_hello(this, link);
}

static gboolean
start_listening(Membership_t *this, GError **error)
{
    const Address_t *address = &this->spec.settings->peers.listen;
    struct sockaddr_in place = {.sin_family = AF_INET,
                                .sin_port = htons(address->port)};
    socklen_t size = sizeof(place);
    inet_pton(AF_INET, address->host, &place.sin_addr);
    this->listener = evconnlistener_new_bind(
        this->base, on_accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
        -1, (struct sockaddr *)&place, sizeof(place));
    if (!this->listener) {
        g_set_error(error, WT_ERROR, WT_ERROR_LISTEN, "can't listen on %s:%u",
                    address->host, address->port);
        return FALSE;
    }
    getsockname(evconnlistener_get_fd(this->listener),
                (struct sockaddr *)&place, &size);
    this->port = ntohs(place.sin_port);
    this->table->self.address = *address;
    this->table->self.address.port = this->port;
    return TRUE;
}

/* Peers speak under a key of their own, made from the one that seals. */
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
    this->gossip = Gossip_create(this->table, spec->upstreams, spec->counters,
                                 &settings->peers);
    this->seeds = g_ptr_array_new_with_free_func(g_free);
    this->unknown = g_ptr_array_new();
    this->key = derive_key(settings->keys.seal);
    this->tick = Clock_timer(base, on_tick, this);
    this->begun_ms = Clock_nowMs();
    this->known_ms = this->begun_ms;
    this->heard_ms = this->begun_ms;
    MemberAsks_init(&this->asks, this->begun_ms);
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
    if (this->listener) {
        evconnlistener_free(this->listener);
    }
    event_free(this->tick);
    for (guint i = 0; i < this->unknown->len; i++) {
        PeerLink_close(g_ptr_array_index(this->unknown, i));
    }
    g_ptr_array_unref(this->unknown);
    g_ptr_array_unref(this->seeds);
    Gossip_destroy(this->gossip);
    MemberTable_destroy(this->table);
    g_bytes_unref(this->key);
    g_free(this);
}

guint16
Membership_port(const Membership_t *this)
{
    return this->port;
}

void
Membership_setOffset(Membership_t *this, guint64 fold_offset)
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
Membership_noteUpstream(Membership_t *this, const char *name)
{
    Gossip_spreadUpstream(this->gossip, name);
}

const GPtrArray *
Membership_members(const Membership_t *this)
{
    return this->table->live;
}

guint
Membership_live(const Membership_t *this)
{
    return MemberTable_liveCount(this->table);
}

gboolean
Membership_isSettled(const Membership_t *this)
{
    return this->settled;
}

gboolean
Membership_isComplete(const Membership_t *this)
{
    gint64 now_ms = Clock_nowMs();
    return now_ms - this->heard_ms >= COMPLETE_QUIET_MS ||
           now_ms - this->begun_ms >= COMPLETE_LATEST_MS;
}

gboolean
Membership_isMesh(const Membership_t *this)
{
    return Gossip_isMesh(this->gossip);
}

Member_t *
Membership_owner(const Membership_t *this, const char *key)
{
    return MemberTable_owner(this->table, key);
}

Member_t *
Membership_answering(const Membership_t *this, const char *key, gint64 now_ms)
{
    return MemberTable_answering(this->table, key, now_ms);
}

guint
Membership_first(const Membership_t *this, const char *key,
                 const Member_t **out, guint most)
{
    return MemberTable_first(this->table, key, out, most);
}

void
Membership_noteUnanswered(Membership_t *this, const char *name,
                          gint64 until_ms)
{
    Member_t *member = MemberTable_find(this->table, name);
    if (member) {
        member->unanswered_until_ms = until_ms;
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
Membership_rank(const Membership_t *this, const char *key, const char *hall)
{
    return MemberTable_rank(this->table, key, hall);
}

gboolean
Membership_send(Membership_t *this, Member_t *member,
                const Wt__PeerMessage *message)
{
    if (!member->link) {
        return FALSE;
    }
    Counters_add(this->spec.counters, "peer_bytes_sent_total",
                 "kind=\"calls\"", PeerLink_send(member->link, message));
    return TRUE;
}

void
Membership_sendAll(Membership_t *this, const Wt__PeerMessage *message)
{
    const GPtrArray *linked = MemberTable_linked(this->table);
    guint most = Membership_isMesh(this) ? linked->len : MEMBER_TABLE_FED;
    for (guint i = 0; i < MIN(linked->len, most); i++) {
        Membership_send(this, g_ptr_array_index(linked, i), message);
    }
}
