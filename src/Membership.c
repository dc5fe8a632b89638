#include "Membership.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <math.h>
#include <sodium.h>
#include <string.h>
#include <xxhash.h>

#include "Clock.h"
#include "Errors.h"
#include "GossipQueue.h"
#include "Log.h"
#include "Random.h"

#define TICK_MS 100
#define HEARTBEAT_MS 1000
#define SEED_RETRY_MS 1000
/* A router that was not heard of for so many heartbeats is taken for gone. */
#define HEARTBEATS_MISSED 10
/* Peers that get a message each tick. */
#define FANOUT 2
/* With more members than that, links go to a few of them only. */
#define FULL_MESH_MAX 16
#define LINKS_WANTED 6
/* What one message may hold beside its facts. */
#define FRAME_OVERHEAD 32
#define LEAST_MESSAGE 100

typedef struct {
    Address_t address;
    PeerLink_t *link; /* until its hello came */
} Seed_t;

struct Membership {
    struct event_base *base;
    MembershipSpec_t spec;
    Member_t self;
    GHashTable *members; /* name -> Member_t */
    GPtrArray *live;     /* Member_t, by name */
    GPtrArray *seeds;    /* Seed_t */
    GPtrArray *unknown;  /* PeerLink_t before their hello */
    GossipQueue_t *queue;
    struct evconnlistener *listener;
    struct event *tick;
    GBytes *key;
    guint16 port;
    double budget; /* bytes that may be sent now */
    gint64 beat_ms;
    gint64 seeds_ms;
};

typedef struct {
    Membership_t *owner;
    gsize room;
    GPtrArray *members;
    GPtrArray *upstreams;
} Message_t;

static const PeerLinkEvents_t link_events;

/* Members: */

static void
Member_destroy(gpointer data)
{
    Member_t *member = data;
    if (member->link) {
        PeerLink_close(member->link);
    }
    g_string_free(member->name, TRUE);
    g_string_free(member->hall, TRUE);
    g_free(member);
}

static gint
compare_members(gconstpointer a, gconstpointer b)
{
    const Member_t *left = *(Member_t *const *)a;
    const Member_t *right = *(Member_t *const *)b;
    return strcmp(left->name->str, right->name->str);
}

static void
list_live(Membership_t *this)
{
    GHashTableIter iter;
    gpointer member = NULL;
    g_ptr_array_set_size(this->live, 0);
    g_hash_table_iter_init(&iter, this->members);
    while (g_hash_table_iter_next(&iter, NULL, &member)) {
        g_ptr_array_add(this->live, member);
    }
    g_ptr_array_sort(this->live, compare_members);
}

static Member_t *
find_or_make(Membership_t *this, const char *name)
{
    Member_t *member = g_hash_table_lookup(this->members, name);
    if (member) {
        return member;
    }
    member = g_new0(Member_t, 1);
    member->name = g_string_new(name);
    member->hall = g_string_new(NULL);
    member->heard_ms = Clock_nowMs();
    g_hash_table_insert(this->members, member->name->str, member);
    list_live(this);
    Log_begin(LOG_LEVEL_INFO, "member_joined");
    Log_text("member", name);
    Log_number("members", this->live->len);
    Log_end();
    return member;
}

static guint
sends_wanted(const Membership_t *this)
{
    return 2 + (guint)ceil(2.0 * log2((double)this->live->len + 1.0));
}

static void
spread(Membership_t *this, FactKind_t kind, const char *name)
{
    GossipQueue_add(this->queue, kind, name, sends_wanted(this));
}

/* Seeds and links: */

static void
send_hello(Membership_t *this, PeerLink_t *link)
{
    Wt__Hello hello = WT__HELLO__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    hello.name = this->self.name->str;
    hello.incarnation = this->self.incarnation;
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
    for (guint i = 0; i < this->live->len; i++) {
        const Member_t *member = g_ptr_array_index(this->live, i);
        if (same_address(&member->address, address)) {
            return member->link != NULL;
        }
    }
    return same_address(&this->self.address, address);
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
count_links(const Membership_t *this)
{
    guint links = 0;
    for (guint i = 0; i < this->live->len; i++) {
        const Member_t *member = g_ptr_array_index(this->live, i);
        links += member->link ? 1 : 0;
    }
    return links;
}

/* With few members all are linked, with many a few, drawn by chance. */
static void
keep_links(Membership_t *this)
{
    gboolean mesh = this->live->len < FULL_MESH_MAX;
    guint wanted = mesh ? this->live->len : LINKS_WANTED;
    guint links = count_links(this) + this->unknown->len;
    guint start = this->live->len > 0 ? Random_below(this->live->len) : 0;
    for (guint i = 0; i < this->live->len && links < wanted; i++) {
        Member_t *member =
            g_ptr_array_index(this->live, (start + i) % this->live->len);
        if (!member->link && member->address.port != 0) {
            connect_to(this, &member->address);
            links++;
        }
    }
}

static void
try_seeds(Membership_t *this)
{
    guint links = count_links(this);
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

static Member_t *
member_of_link(const Membership_t *this, const PeerLink_t *link)
{
    for (guint i = 0; i < this->live->len; i++) {
        Member_t *member = g_ptr_array_index(this->live, i);
        if (member->link == link) {
            return member;
        }
    }
    return NULL;
}

static void
on_link_closed(void *owner, PeerLink_t *link)
{
    Membership_t *this = owner;
    Member_t *member = member_of_link(this, link);
    forget_unknown(this, link);
    if (member) {
        member->link = NULL;
    }
}

/* A new link learns of all members, within the budget. */
static void
introduce_all(Membership_t *this)
{
    spread(this, FACT_MEMBER_NEWS, this->self.name->str);
    for (guint i = 0; i < this->live->len; i++) {
        const Member_t *member = g_ptr_array_index(this->live, i);
        GossipQueue_add(this->queue, FACT_HEARTBEAT, member->name->str, 1);
    }
    const GPtrArray *upstreams = UpstreamSet_all(this->spec.upstreams);
    for (guint i = 0; i < upstreams->len; i++) {
        const Upstream_t *upstream = g_ptr_array_index(upstreams, i);
        if (upstream->leaving) {
            GossipQueue_add(this->queue, FACT_UPSTREAM_NEWS,
                            upstream->name->str, 2);
        }
    }
}

/* Where both made a link at once, both keep that of the smaller name. */
static void
take_hello(Membership_t *this, PeerLink_t *link, const Wt__Hello *hello)
{
    forget_unknown(this, link);
    gint order = strcmp(this->self.name->str, hello->name);
    if (order == 0) {
        PeerLink_close(link);
        return;
    }
    Member_t *member = find_or_make(this, hello->name);
    if (member->link && PeerLink_isOutgoing(link) != (order < 0)) {
        PeerLink_close(link);
        return;
    }
    if (member->link) {
        PeerLink_close(member->link);
    }
    member->link = link;
    member->heard_ms = Clock_nowMs();
    if (hello->incarnation > member->incarnation) {
        member->incarnation = hello->incarnation;
        member->heartbeat = 0;
        member->leaving = FALSE;
    }
    introduce_all(this);
}

/* Facts that come: */

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

static void
take_member(Membership_t *this, const Wt__MemberFact *fact)
{
    if (strcmp(fact->name, this->self.name->str) == 0) {
        return;
    }
    Member_t *member = find_or_make(this, fact->name);
    if (!is_newer(member, fact)) {
        return;
    }
    gboolean reborn = fact->incarnation > member->incarnation;
    gboolean news = reborn || fact->leaving != member->leaving ||
                    fact->fold_offset > member->fold_offset;
    member->leaving = fact->leaving || (member->leaving && !reborn);
    member->incarnation = fact->incarnation;
    member->heartbeat =
        reborn ? fact->heartbeat : MAX(member->heartbeat, fact->heartbeat);
    member->fold_offset = MAX(member->fold_offset, fact->fold_offset);
    member->heard_ms = Clock_nowMs();
    read_address(&member->address, fact->address);
    g_string_assign(member->hall, fact->hall);
    spread(this, news ? FACT_MEMBER_NEWS : FACT_HEARTBEAT, fact->name);
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

static void
take_upstream(Membership_t *this, const Wt__UpstreamFact *fact)
{
    Upstream_t *upstream = UpstreamSet_find(this->spec.upstreams, fact->name);
    if (!upstream) {
        return;
    }
    gint64 now_ms = Clock_nowMs();
    gboolean was_leaving = upstream->leaving;
    gboolean news =
        Upstream_noteIncarnation(upstream, fact->incarnation, now_ms);
    if (fact->leaving) {
        Upstream_noteLeaving(upstream, fact->incarnation);
    }
    news = take_report(upstream, fact, now_ms) || news;
    if (upstream->leaving && !was_leaving) {
        Log_begin(LOG_LEVEL_INFO, "upstream_leaving");
        Log_text("upstream", fact->name);
        Log_text("source", "peer");
        Log_end();
        news = TRUE;
    }
    if (news) {
        spread(this, FACT_UPSTREAM_NEWS, fact->name);
    }
}

static void
take_gossip(Membership_t *this, const Wt__Gossip *gossip)
{
    for (size_t i = 0; i < gossip->n_members; i++) {
        take_member(this, gossip->members[i]);
    }
    for (size_t i = 0; i < gossip->n_upstreams; i++) {
        take_upstream(this, gossip->upstreams[i]);
    }
}

static void
on_message(void *owner, PeerLink_t *link, const Wt__PeerMessage *message)
{
    Membership_t *this = owner;
    if (message->body_case == WT__PEER_MESSAGE__BODY_HELLO) {
        take_hello(this, link, message->hello);
        return;
    }
    Member_t *from = member_of_link(this, link);
    if (!from) {
        return;
    }
    if (message->body_case == WT__PEER_MESSAGE__BODY_GOSSIP) {
        take_gossip(this, message->gossip);
        return;
    }
    this->spec.message(this->spec.data, from, message);
}

static const PeerLinkEvents_t link_events = {
    .message = on_message,
    .closed = on_link_closed,
};

/* Facts that go: */

static Wt__MemberFact *
make_member_fact(const Member_t *member)
{
    Wt__MemberFact *fact = g_new0(Wt__MemberFact, 1);
    wt__member_fact__init(fact);
    fact->name = member->name->str;
    fact->incarnation = member->incarnation;
    fact->address =
        g_strdup_printf("%s:%u", member->address.host, member->address.port);
    fact->hall = member->hall->str;
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

static gboolean
take_member_fact(Message_t *message, const char *name)
{
    const Membership_t *this = message->owner;
    const Member_t *member = strcmp(name, this->self.name->str) == 0
                                 ? &this->self
                                 : g_hash_table_lookup(this->members, name);
    if (!member || member->address.port == 0) {
        return TRUE;
    }
    Wt__MemberFact *fact = make_member_fact(member);
    gsize size = wt__member_fact__get_packed_size(fact) + 2;
    if (!add_fact(message, message->members, fact, size)) {
        free_member_fact(fact);
        return FALSE;
    }
    return TRUE;
}

static gboolean
take_upstream_fact(Message_t *message, const char *name)
{
    const Upstream_t *upstream =
        UpstreamSet_find(message->owner->spec.upstreams, name);
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
    gboolean is_member = kind == FACT_MEMBER_NEWS || kind == FACT_HEARTBEAT;
    return is_member ? take_member_fact(data, name)
                     : take_upstream_fact(data, name);
}

static void
count_sent(Membership_t *this, const char *kind, gsize bytes)
{
    g_autofree char *labels = g_strdup_printf("kind=\"%s\"", kind);
    Counters_add(this->spec.counters, "peer_bytes_sent_total", labels, bytes);
}

static void
send_gossip(Membership_t *this, Member_t *member, gsize room)
{
    Message_t message = {
        .owner = this,
        .room = room - FRAME_OVERHEAD,
        .members = g_ptr_array_new_with_free_func(free_member_fact),
        .upstreams = g_ptr_array_new_with_free_func(g_free),
    };
    GossipQueue_fill(this->queue, take_fact, &message);
    if (message.members->len + message.upstreams->len > 0) {
        Wt__Gossip gossip = WT__GOSSIP__INIT;
        Wt__PeerMessage frame = WT__PEER_MESSAGE__INIT;
        gossip.n_members = message.members->len;
        gossip.members = (Wt__MemberFact **)message.members->pdata;
        gossip.n_upstreams = message.upstreams->len;
        gossip.upstreams = (Wt__UpstreamFact **)message.upstreams->pdata;
        frame.body_case = WT__PEER_MESSAGE__BODY_GOSSIP;
        frame.gossip = &gossip;
        gsize bytes = PeerLink_send(member->link, &frame);
        this->budget -= (double)bytes;
        count_sent(this, "gossip", bytes);
    }
    g_ptr_array_unref(message.members);
    g_ptr_array_unref(message.upstreams);
}

/* The budget is a hard limit: what it does not cover now waits. */
static void
gossip(Membership_t *this)
{
    gint64 rate = this->spec.settings->peers.gossip_budget;
    this->budget =
        MIN(this->budget + (double)rate * TICK_MS / 1000.0, (double)rate);
    guint links = count_links(this);
    guint start = this->live->len > 0 ? Random_below(this->live->len) : 0;
    guint sent = 0;
    for (guint i = 0; i < this->live->len && sent < MIN(FANOUT, links); i++) {
        Member_t *member =
            g_ptr_array_index(this->live, (start + i) % this->live->len);
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
offer_loads(Membership_t *this, gint64 now_ms)
{
    const GPtrArray *upstreams = UpstreamSet_all(this->spec.upstreams);
    for (guint i = 0; i < upstreams->len; i++) {
        const Upstream_t *upstream = g_ptr_array_index(upstreams, i);
        if (now_ms - upstream->reported_at_ms < TICK_MS) {
            GossipQueue_add(this->queue, FACT_UPSTREAM_LOAD,
                            upstream->name->str, 1);
        }
    }
}

static gboolean
is_gone(gpointer name, gpointer value, gpointer now)
{
    const Member_t *member = value;
    gint64 limit = (gint64)HEARTBEATS_MISSED * HEARTBEAT_MS;
    if (*(gint64 *)now - member->heard_ms < limit) {
        return FALSE;
    }
    Log_begin(LOG_LEVEL_WARNING, "member_gone");
    Log_text("member", name);
    Log_end();
    return TRUE;
}

static void
beat(Membership_t *this, gint64 now_ms)
{
    if (now_ms - this->beat_ms < HEARTBEAT_MS) {
        return;
    }
    this->beat_ms = now_ms;
    this->self.heartbeat++;
    spread(this, FACT_HEARTBEAT, this->self.name->str);
    if (g_hash_table_foreach_remove(this->members, is_gone, &now_ms) > 0) {
        list_live(this);
    }
}

static void
on_tick(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Membership_t *this = data;
    gint64 now_ms = Clock_nowMs();
    beat(this, now_ms);
    if (now_ms - this->seeds_ms >= SEED_RETRY_MS) {
        this->seeds_ms = now_ms;
        try_seeds(this);
        keep_links(this);
    }
    offer_loads(this, now_ms);
    gossip(this);
    Clock_arm(this->tick, TICK_MS);
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
    this->self.address = *address;
    this->self.address.port = this->port;
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
    this->self.name = g_string_new(settings->router.name->str);
    this->self.hall = g_string_new(settings->router.hall->str);
    this->self.incarnation = spec->incarnation;
    this->members =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, Member_destroy);
    this->live = g_ptr_array_new();
    this->seeds = g_ptr_array_new_with_free_func(g_free);
    this->unknown = g_ptr_array_new();
    this->queue = GossipQueue_create();
    this->key = derive_key(settings->keys.seal);
    this->tick = Clock_timer(base, on_tick, this);
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
    g_ptr_array_unref(this->live);
    g_hash_table_destroy(this->members);
    GossipQueue_destroy(this->queue);
    g_bytes_unref(this->key);
    g_string_free(this->self.name, TRUE);
    g_string_free(this->self.hall, TRUE);
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
    if (fold_offset != this->self.fold_offset) {
        this->self.fold_offset = fold_offset;
        spread(this, FACT_MEMBER_NEWS, this->self.name->str);
    }
}

void
Membership_setLeaving(Membership_t *this)
{
    this->self.leaving = TRUE;
    spread(this, FACT_MEMBER_NEWS, this->self.name->str);
}

void
Membership_noteUpstream(Membership_t *this, const char *name)
{
    spread(this, FACT_UPSTREAM_NEWS, name);
}

const GPtrArray *
Membership_members(const Membership_t *this)
{
    return this->live;
}

guint
Membership_live(const Membership_t *this)
{
    guint count = this->self.leaving ? 0 : 1;
    for (guint i = 0; i < this->live->len; i++) {
        const Member_t *member = g_ptr_array_index(this->live, i);
        count += member->leaving ? 0 : 1;
    }
    return MAX(count, 1);
}

static guint64
weight_of(const Member_t *member, const char *key)
{
    guint64 seed = XXH3_64bits(key, strlen(key));
    return XXH3_64bits_withSeed(member->name->str, member->name->len, seed);
}

Member_t *
Membership_owner(const Membership_t *this, const char *key)
{
    Member_t *best = NULL;
    guint64 most = this->self.leaving ? 0 : weight_of(&this->self, key);
    for (guint i = 0; i < this->live->len; i++) {
        Member_t *member = g_ptr_array_index(this->live, i);
        guint64 weight = member->leaving ? 0 : weight_of(member, key);
        if (weight > most) {
            most = weight;
            best = member;
        }
    }
    return best;
}

guint
Membership_rank(const Membership_t *this, const char *key, const char *hall)
{
    guint rank = 0;
    guint64 own = weight_of(&this->self, key);
    for (guint i = 0; i < this->live->len; i++) {
        const Member_t *member = g_ptr_array_index(this->live, i);
        if ((!hall || strcmp(member->hall->str, hall) == 0) &&
            !member->leaving && weight_of(member, key) > own) {
            rank++;
        }
    }
    return rank;
}

gboolean
Membership_send(Membership_t *this, Member_t *member,
                const Wt__PeerMessage *message)
{
    if (!member->link) {
        return FALSE;
    }
    count_sent(this, "calls", PeerLink_send(member->link, message));
    return TRUE;
}
