/* Fuzz targets for messages of other routers, received through links and
 * datagrams, and for records of the claim log. */
#include <arpa/inet.h>
#include <errno.h>
#include <event2/event.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ClaimIndex.h"
#include "Counters.h"
#include "Gossip.h"
#include "ListCopy.h"
#include "NoticeUpdates.h"
#include "PeerDatagrams.h"
#include "PeerLink.h"
#include "PeerMac.h"
#include "RateKeeper.h"
#include "RecordFollower.h"
#include "RecordRelay.h"
#include "targets.h"

#define MAC_KEY "0123456789abcdef0123456789abcdef"

static Upstream_t *
add_upstream(UpstreamSet_t *upstreams, const char *name)
{
    static UpstreamSpec_t spec = {.address = {"127.0.0.1", 1}, .slots = 1};
    if (!spec.hall) {
        spec.hall = g_string_new("h");
        spec.region = g_string_new("r");
        spec.serves = g_ptr_array_new();
    }
    return UpstreamSet_put(upstreams, name, &spec);
}

static Gossip_t *
create_gossip(MemberTable_t **table, UpstreamSet_t **upstreams,
              Counters_t **counters)
{
    static const PeersSection_t settings = {.gossip_budget = 100000,
                                            .mesh_routers = 4};
    *table = MemberTable_create("self", "h", 1);
    *upstreams = UpstreamSet_create(NULL, 1);
    *counters = Counters_create();
    add_upstream(*upstreams, "u1");
    return Gossip_create(*table, *upstreams, *counters, &settings);
}

/* Of two facts, the one with the larger incarnation applies, and a router
 * ignores facts about itself. */
static void
check_facts(const Wt__Gossip *message, const MemberTable_t *table,
            const UpstreamSet_t *upstreams)
{
    g_assert(table->self.incarnation == 1 && !table->self.leaving);
    for (size_t i = 0; i < message->n_members; i++) {
        const Wt__MemberFact *fact = message->members[i];
        const Member_t *member = MemberTable_find(table, fact->name);
        g_assert(member || strcmp(fact->name, "self") == 0);
        g_assert(!member || member->incarnation >= fact->incarnation);
    }
    for (size_t i = 0; i < message->n_upstreams; i++) {
        const Wt__UpstreamFact *fact = message->upstreams[i];
        const Upstream_t *upstream = UpstreamSet_find(upstreams, fact->name);
        g_assert(!upstream || upstream->incarnation >= fact->incarnation);
        g_assert(!upstream || !fact->leaving || upstream->leaving ||
                 upstream->incarnation > fact->incarnation);
    }
}

static void
receive_gossip(const Wt__Gossip *message)
{
    MemberTable_t *table = NULL;
    UpstreamSet_t *upstreams = NULL;
    Counters_t *counters = NULL;
    Gossip_t *gossip = create_gossip(&table, &upstreams, &counters);
    Gossip_receive(gossip, message, 0);
    Gossip_receive(gossip, message, 0);
    check_facts(message, table, upstreams);
    Gossip_syncPeer(gossip, MemberTable_findOrCreate(table, "linked"));
    Gossip_tick(gossip);
    Gossip_destroy(gossip);
    Counters_destroy(counters);
    UpstreamSet_destroy(upstreams);
    MemberTable_destroy(table);
}

/* Returns FALSE, as there are no peers to forward the fact to. */
static gboolean
apply_fact(void *owner, Upstream_t *upstream, const NoticeFact_t *fact)
{
    (void)owner;
    UpstreamLimit_applyFact(&upstream->limit, &fact->limit, 1);
    if (fact->leaving) {
        Upstream_noteLeaving(upstream, upstream->incarnation, 1);
    }
    return FALSE;
}

/* One upstream is listed before the message is received, the other after. */
static void
receive_notices(const Wt__NoticeNews *message)
{
    static struct event_base *base;
    base = base ? base : event_base_new();
    UpstreamSet_t *upstreams = UpstreamSet_create(base, 1);
    NoticeUpdatesSpec_t spec = {.upstreams = upstreams, .handler = apply_fact};
    const Upstream_t *first = add_upstream(upstreams, "u1");
    NoticeUpdates_t *updates = NoticeUpdates_create(base, &spec);
    NoticeUpdates_receive(updates, message);
    const Upstream_t *second = add_upstream(upstreams, "u2");
    g_assert(first->limit.per_s >= 0 &&
             first->limit.per_s <= ADVERTISED_LIMIT_MAX_PER_S);
    g_assert(second->limit.per_s >= 0 &&
             second->limit.per_s <= ADVERTISED_LIMIT_MAX_PER_S);
    NoticeUpdates_destroy(updates);
    UpstreamSet_destroy(upstreams);
}

static guint
find_self(void *owner, const char *customer, guint64 out[RATE_CANDIDATES_MAX])
{
    (void)owner;
    (void)customer;
    out[0] = RATE_SELF;
    return 1;
}

static guint
count_one(void *owner)
{
    (void)owner;
    return 1;
}

static void
ignore_size(void *owner, guint routers)
{
    (void)owner;
    (void)routers;
}

static void
draw_empty_sample(void *owner, ReachSample_t *out)
{
    (void)owner;
    (void)out;
}

static void
drop_message(void *owner, guint64 router, const Wt__PeerMessage *message)
{
    (void)owner;
    (void)router;
    (void)message;
}

static void
ignore_tick(void *owner, gint64 in_ms)
{
    (void)owner;
    (void)in_ms;
}

static const RateLinksClass_t isolated_links = {
    .candidates = find_self,
    .routers = count_one,
    .fleet_size = count_one,
    .remembered_size = count_one,
    .note_fleet_size = ignore_size,
    .draw_sample = draw_empty_sample,
    .send = drop_message,
    .schedule_tick = ignore_tick,
};

/* Messages about one customer must neither delay nor refuse a request of
 * another customer. */
static void
receive_rates(const Wt__PeerMessage *message)
{
    Counters_t *counters = Counters_create();
    RateKeeper_t *keeper = RateKeeper_create(&isolated_links, NULL, counters);
    RateRequest_t request = {
        .subject = "other", .limit = {.per_s = 10, .burst = 10}, .units = 1};
    RateVerdict_t verdict = {0};
    RateKeeper_receive(keeper, message, 7);
    RateKeeper_receive(keeper, message, 8);
    RateKeeper_tick(keeper);
    RateQuery_t *query = RateLimits_acquire(RateKeeper_limits(keeper),
                                            &request, &verdict, NULL, NULL);
    g_assert(!query);
    g_assert(verdict.admitted || message->rate_ask);
    RateLimits_destroy(RateKeeper_limits(keeper));
    Counters_destroy(counters);
}

static void
ignore_list(RecordSource_t *source, const char *topic, const GString *after,
            KeyedPageDone_t done, void *data)
{
    (void)source;
    (void)topic;
    (void)after;
    (void)done;
    (void)data;
}

static void
ignore_record(void *owner, const KeyedRecord_t *record)
{
    (void)owner;
    (void)record;
}

static void
ignore_end(void *owner, StorePosition_t end, gint64 at_ms)
{
    (void)owner;
    (void)end;
    (void)at_ms;
}

/* A page that is not the last one advances the cursor, or is rejected. */
static void
receive_list_page(const Wt__ListPage *message)
{
    static const RecordSourceClass_t class = {.list = ignore_list};
    static const RecordFollowerEvents_t events = {.record = ignore_record,
                                                  .current = ignore_end};
    static struct event_base *base;
    base = base ? base : event_base_new();
    RecordSource_t source = {&class};
    RecordFollowerSpec_t spec = {.source = &source, .topic = "t"};
    RecordFollower_t *follower =
        RecordFollower_create(base, &spec, &events, NULL);
    ListPage_t part = {.page = RecordRelay_decodeRecords(message->records,
                                                         message->n_records,
                                                         message->epoch),
                       .reached = message->reached};
    ListCursor_t cursor = {message->after, {message->epoch, message->from}};
    part.page.more = message->more;
    part.page.end = (StorePosition_t){message->epoch, message->end};
    gboolean applied =
        RecordFollower_applyPeerListPage(follower, &cursor, &part, 1);
    ListCursor_t next = {""};
    gboolean wants_more = RecordFollower_wantsListPage(follower, &next);
    g_assert(!applied || wants_more == part.page.more);
    g_assert(!applied || !wants_more || strcmp(next.after, cursor.after) > 0);
    RecordFollower_applyPeerListPage(follower, &cursor, &part, 2);
    g_ptr_array_unref(part.page.records);
    RecordFollower_destroy(follower);
}

/* A page that is not the last one advances the cursor from any position. */
static void
receive_list_query(const Wt__ListAsk *message)
{
    ListCopy_t *copy = ListCopy_create();
    GString key = {.str = "u1", .len = strlen("u1")};
    KeyedRecord_t record = {
        .key = &key, .value = g_bytes_new_static("v", 1), .position = {1, 1}};
    ListCopy_put(copy, &record);
    ListCopy_startChanges(copy, (StorePosition_t){1, 2});
    ListCopy_noteChange(copy, &record);
    ListCursor_t cursor = {message->after, {message->epoch, message->from}};
    ListPage_t part = {{0}};
    if (ListCopy_readPage(copy, &cursor, 1, &part)) {
        g_assert(!part.page.more || strcmp(part.reached, cursor.after) > 0);
        g_ptr_array_unref(part.page.records);
    }
    ListCopy_destroy(copy);
    g_bytes_unref(record.value);
}

int
Fuzz_peerMessages(const uint8_t *data, size_t size)
{
    GBytes *key = g_bytes_new_static(MAC_KEY, strlen(MAC_KEY));
    guint8 mac[PEER_MAC_BYTES];
    PeerMac_compute(key, data, size, mac);
    g_assert(PeerMac_verify(key, data, size, mac));
    g_assert(size < PEER_MAC_BYTES || !PeerMac_verify(key, data, size, data));
    g_bytes_unref(key);
    Wt__PeerMessage *message = wt__peer_message__unpack(NULL, size, data);
    if (!message) {
        return 0;
    }
    if (message->body_case == WT__PEER_MESSAGE__BODY_GOSSIP) {
        receive_gossip(message->gossip);
    }
    if (message->body_case == WT__PEER_MESSAGE__BODY_LIST_PAGE) {
        receive_list_page(message->list_page);
    }
    if (message->body_case == WT__PEER_MESSAGE__BODY_LIST_ASK) {
        receive_list_query(message->list_ask);
    }
    if (message->body_case == WT__PEER_MESSAGE__BODY_RATE_ASK ||
        message->body_case == WT__PEER_MESSAGE__BODY_RATE_ANSWER) {
        receive_rates(message);
    }
    if (message->body_case == WT__PEER_MESSAGE__BODY_NOTICE_NEWS) {
        receive_notices(message->notice_news);
    }
    wt__peer_message__free_unpacked(message, NULL);
    return 0;
}

typedef struct {
    guint messages;
    guint closed;
} LinkCounts_t;

static void
on_message(void *owner, PeerLink_t *link, const Wt__PeerMessage *message)
{
    (void)link;
    (void)message;
    ((LinkCounts_t *)owner)->messages++;
}

static void
on_closed(void *owner, PeerLink_t *link)
{
    (void)link;
    ((LinkCounts_t *)owner)->closed++;
}

/* Sends bytes to the link; EPIPE means that the link has closed meanwhile. */
static void
send_piece(struct event_base *base, int fd, const uint8_t *data, size_t size)
{
    ssize_t sent = send(fd, data, size, MSG_NOSIGNAL);
    g_assert(sent == (ssize_t)size || (sent < 0 && errno == EPIPE));
    event_base_loop(base, EVLOOP_NONBLOCK);
    event_base_loop(base, EVLOOP_NONBLOCK);
}

/* Counts the events of a link that receives the data in two pieces. */
static LinkCounts_t
send_pieces(GBytes *key, const uint8_t *data, size_t size, size_t first)
{
    static const PeerLinkEvents_t events = {.message = on_message,
                                            .closed = on_closed};
    static struct event_base *base;
    LinkCounts_t counts = {0, 0};
    int sockets[2];
    base = base ? base : event_base_new();
    g_assert_cmpint(
        socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets), ==, 0);
    PeerLink_t *link =
        PeerLink_accept(base, sockets[0], key, &events, &counts);
    send_piece(base, sockets[1], data, first);
    send_piece(base, sockets[1], data + first, size - first);
    if (counts.closed == 0) {
        PeerLink_close(link);
    }
    event_base_loop(base, EVLOOP_NONBLOCK);
    event_base_loop(base, EVLOOP_NONBLOCK);
    close(sockets[1]);
    return counts;
}

/* A link delivers no message without a valid MAC. With a valid MAC, it
 * delivers a well-formed message exactly once, and any other message closes
 * the link. */
int
Fuzz_peerLink(const uint8_t *data, size_t size)
{
    GBytes *key = g_bytes_new_static(MAC_KEY, strlen(MAC_KEY));
    LinkCounts_t counts = send_pieces(key, data, size, size / 2);
    g_assert_cmpuint(counts.messages, ==, 0);
    gsize framed_size = sizeof(guint32) + PEER_MAC_BYTES + size;
    g_autofree guint8 *framed = g_malloc(framed_size);
    guint32 head = htonl((guint32)size);
    memcpy(framed, &head, sizeof(head));
    PeerMac_compute(key, data, size, framed + sizeof(head));
    memcpy(framed + sizeof(head) + PEER_MAC_BYTES, data, size);
    counts = send_pieces(key, framed, framed_size,
                         size > 0 ? data[0] % framed_size : 0);
    g_assert_cmpuint(counts.messages + counts.closed, ==, 1);
    g_bytes_unref(key);
    return 0;
}

#define KEY_COUNT 4
#define ATTEMPT_COUNT 8

/* State of a second implementation of the claim rules, against which the index
 * is checked. */
typedef struct {
    gboolean ran[KEY_COUNT];
    gboolean is_void[ATTEMPT_COUNT];
} Expected_t;

static ClaimId_t
make_id(guint number)
{
    ClaimId_t id;
    memset(&id, (int)number, sizeof(id));
    return id;
}

static gboolean
is_granted(const ClaimIndex_t *index, guint key, guint attempt)
{
    ClaimId_t key_id = make_id(key);
    ClaimId_t attempt_id = make_id(attempt);
    return ClaimIndex_verdict(index, &key_id, &attempt_id) ==
           WT__CLAIM_VERDICT__GRANTED;
}

static gboolean
has_claim(const ClaimIndex_t *index, guint key)
{
    ClaimId_t id = make_id(key);
    return ClaimIndex_hasClaim(index, &id);
}

static void
fold_entry(ClaimIndex_t *index, guint key, guint attempt, Wt__ClaimKind kind)
{
    ClaimId_t key_id = make_id(key);
    ClaimId_t attempt_id = make_id(attempt);
    Wt__ClaimEntry entry = WT__CLAIM_ENTRY__INIT;
    Wt__ClaimEntry *entries[] = {&entry};
    Wt__ClaimRecord record = WT__CLAIM_RECORD__INIT;
    entry.kind = kind;
    entry.key.data = key_id.bytes;
    entry.key.len = sizeof(key_id);
    entry.attempt.data = attempt_id.bytes;
    entry.attempt.len = sizeof(attempt_id);
    record.n_entries = 1;
    record.entries = entries;
    ClaimIndex_fold(index, &record);
}

/* Applies an entry to the expected state. Returns whether the attempt must be
 * granted after the entry. */
static gboolean
update_expected(Expected_t *this, const ClaimIndex_t *index, guint key,
                guint attempt, Wt__ClaimKind kind)
{
    gboolean granted = is_granted(index, key, attempt);
    gboolean was_void = this->is_void[attempt];
    switch (kind) {
    case WT__CLAIM_KIND__CLAIM:
        this->is_void[attempt] =
            was_void || (has_claim(index, key) && !granted);
        return granted || (!has_claim(index, key) && !was_void);
    case WT__CLAIM_KIND__RELEASE:
        this->is_void[attempt] = TRUE;
        return granted && this->ran[key];
    case WT__CLAIM_KIND__OUTCOME:
        this->ran[key] = this->ran[key] || granted;
        return granted;
    default:
        return granted;
    }
}

static guint
count_granted(const ClaimIndex_t *index, guint key)
{
    guint granted = 0;
    for (guint i = 0; i < ATTEMPT_COUNT; i++) {
        granted += is_granted(index, key, i) ? 1 : 0;
    }
    return granted;
}

static void
fold_raw(ClaimIndex_t *index, const uint8_t *data, size_t size)
{
    Wt__ClaimRecord *record = wt__claim_record__unpack(NULL, size, data);
    if (record) {
        ClaimIndex_fold(index, record);
        wt__claim_record__free_unpacked(record, NULL);
    }
}

/* Each three bytes form an entry: key, attempt, kind. At most one attempt of a
 * key is granted. Afterwards the whole input is folded as a packed record. */
int
Fuzz_claims(const uint8_t *data, size_t size)
{
    ClaimIndex_t *index = ClaimIndex_create();
    Expected_t expected = {0};
    for (size_t at = 0; at + 3 <= size; at += 3) {
        guint key = data[at] % KEY_COUNT;
        guint attempt = data[at + 1] % ATTEMPT_COUNT;
        Wt__ClaimKind kind = (Wt__ClaimKind)(data[at + 2] % 4);
        gboolean granted =
            update_expected(&expected, index, key, attempt, kind);
        fold_entry(index, key, attempt, kind);
        g_assert(is_granted(index, key, attempt) == granted);
        g_assert_cmpuint(count_granted(index, key), ==,
                         has_claim(index, key) ? 1 : 0);
    }
    fold_raw(index, data, size);
    ClaimIndex_expire(index, 1);
    ClaimIndex_destroy(index);
    return 0;
}
