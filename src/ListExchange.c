#include "ListExchange.h"

#include <string.h>

#include "Clock.h"
#include "Log.h"
#include "PeerAge.h"
#include "Random.h"
#include "RecordRelay.h"

/* Rank key that orders the routers of a hall as readers of the list. */
#define RANK_KEY "list"
/* Delay of a reader after the router before it in rank. Reading a list of
 * 10,000 entries takes about twice as long, so a hall has a few readers. */
#define READER_STEP_MS 500
/* Interval at which the state of the list and the queries is checked. */
#define CHECK_INTERVAL_MS 50
/* After this time without an answer another peer is queried. */
#define ANSWER_TIMEOUT_MS 600
/* Size of a page: 7 ms of a 20 Mbit/s link, which answers to callers share. */
#define PAGE_BYTES 16384
/* Number of peers that are served at the same time, and how long a peer counts
 * as served after its last query. */
#define SERVED_PEERS_MAX 2
#define SERVED_EXPIRY_MS 300
/* Number of routers of a hall that may query other halls from the start, to
 * bring the list into their hall, and the delay after which the other routers
 * of the hall may do so. */
#define REMOTE_READERS_MAX 2
#define REMOTE_DELAY_MS 1500
/* One in this many queries picks its peer from all halls. */
#define REMOTE_QUERY_ONE_IN 4

typedef struct {
    GString *name; /* of the router that is served */
    gint64 last_query_ms;
} ServedPeer_t;

struct ListExchange {
    ListExchangeSpec_t spec;
    const ListCopy_t *copy;
    RecordFollower_t *follower;
    struct event *check_timer;
    StorePosition_t end; /* of the copy */
    gint64 end_ms;       /* when the topic ended at @end; 0 for never */
    gint64 ranked_ms; /* when the membership was first complete, 0: not yet */
    gint64 received_ms; /* when a peer's page was last applied */
    gint64 started_ms;  /* when the queries for this list began */
    gint64 queried_ms;  /* when @queried was sent a query; 0: no open query */
    GString *queried;   /* name of the router that was queried last */
    ServedPeer_t served[SERVED_PEERS_MAX];
};

static void
count_page(const ListExchange_t *this, const char *what)
{
    if (this->spec.counters) {
        g_autofree char *labels = g_strdup_printf("topic=\"%s\",what=\"%s\"",
                                                  this->spec.topic, what);
        Counters_add(this->spec.counters, "list_pages_total", labels, 1);
    }
}

static gboolean
is_local(const ListExchange_t *this, const Member_t *member)
{
    return strcmp(member->hall->str, Membership_hall(this->spec.membership)) ==
           0;
}

static Member_t *
find_peer(const ListExchange_t *this, gboolean local_only)
{
    const GPtrArray *members = Membership_members(this->spec.membership);
    guint start = members->len > 0 ? Random_below(members->len) : 0;
    for (guint i = 0; i < members->len; i++) {
        Member_t *member =
            g_ptr_array_index(members, (start + i) % members->len);
        if (member->link && (!local_only || is_local(this, member))) {
            return member;
        }
    }
    return NULL;
}

/* Traffic between halls is expensive: if each router fetched the list from any
 * hall, the list would cross between halls once for each router. */
gboolean
ListExchange_mayQuery(const ListExchange_t *this, const Member_t *peer,
                      gint64 waited_ms)
{
    const Membership_t *membership = this->spec.membership;
    if (is_local(this, peer) || waited_ms >= REMOTE_DELAY_MS) {
        return TRUE;
    }
    return Membership_localRank(membership, RANK_KEY,
                                Membership_hall(membership)) <
           REMOTE_READERS_MAX;
}

static Member_t *
pick_peer(const ListExchange_t *this)
{
    gint64 waited_ms =
        Clock_nowMs() - MAX(this->started_ms, this->received_ms);
    gboolean local_only = Random_below(REMOTE_QUERY_ONE_IN) > 0;
    Member_t *peer = find_peer(this, local_only);
    peer = peer ? peer : find_peer(this, FALSE);
    return peer && ListExchange_mayQuery(this, peer, waited_ms)
               ? peer
               : find_peer(this, TRUE);
}

static gboolean
send_query(ListExchange_t *this, Member_t *peer, const ListCursor_t *cursor)
{
    Wt__ListAsk body = WT__LIST_ASK__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    body.topic = (char *)this->spec.topic;
    body.epoch = cursor->from.epoch;
    body.from = cursor->from.offset;
    body.after = (char *)cursor->after;
    message.body_case = WT__PEER_MESSAGE__BODY_LIST_ASK;
    message.list_ask = &body;
    if (!Membership_send(this->spec.membership, peer, &message)) {
        return FALSE;
    }
    g_string_assign(this->queried, peer->name->str);
    this->queried_ms = Clock_nowMs();
    return TRUE;
}

static void
continue_queries(ListExchange_t *this)
{
    ListCursor_t cursor;
    gint64 now_ms = Clock_nowMs();
    if (!RecordFollower_isListing(this->follower)) {
        return;
    }
    Clock_arm(this->check_timer, CHECK_INTERVAL_MS);
    if ((this->queried_ms > 0 &&
         now_ms - this->queried_ms < ANSWER_TIMEOUT_MS) ||
        !RecordFollower_wantsListPage(this->follower, &cursor)) {
        return;
    }
    Member_t *peer = pick_peer(this);
    if (peer) {
        send_query(this, peer, &cursor);
    }
}

static void
on_check_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    continue_queries(data);
}

ListExchange_t *
ListExchange_create(struct event_base *base, const ListExchangeSpec_t *spec,
                    const ListCopy_t *copy)
{
    ListExchange_t *this = g_new0(ListExchange_t, 1);
    this->spec = *spec;
    this->copy = copy;
    this->queried = g_string_new(NULL);
    this->check_timer = Clock_timer(base, on_check_timer, this);
    for (guint i = 0; i < SERVED_PEERS_MAX; i++) {
        this->served[i].name = g_string_new(NULL);
    }
    return this;
}

void
ListExchange_destroy(ListExchange_t *this)
{
    event_free(this->check_timer);
    g_string_free(this->queried, TRUE);
    for (guint i = 0; i < SERVED_PEERS_MAX; i++) {
        g_string_free(this->served[i].name, TRUE);
    }
    g_free(this);
}

void
ListExchange_setFollower(ListExchange_t *this, RecordFollower_t *follower)
{
    this->follower = follower;
    ListExchange_startQueries(this);
}

void
ListExchange_setCurrent(ListExchange_t *this, StorePosition_t end,
                        gint64 end_ms)
{
    this->end = end;
    this->end_ms = end_ms;
}

void
ListExchange_startQueries(ListExchange_t *this)
{
    if (!evtimer_pending(this->check_timer, NULL)) {
        this->started_ms = Clock_nowMs();
    }
    Clock_arm(this->check_timer, CHECK_INTERVAL_MS);
}

gint64
ListExchange_msUntilStoreRead(ListExchange_t *this)
{
    gint64 now_ms = Clock_nowMs();
    ListExchange_startQueries(this);
    if (!Membership_isComplete(this->spec.membership)) {
        return CHECK_INTERVAL_MS;
    }
    if (this->ranked_ms == 0) {
        this->ranked_ms = now_ms;
    }
    const Membership_t *membership = this->spec.membership;
    guint rank = Membership_localRank(membership, RANK_KEY,
                                      Membership_hall(membership));
    gint64 rank_due_ms = this->ranked_ms + (gint64)rank * READER_STEP_MS;
    gint64 due_ms = MAX(rank_due_ms, this->received_ms + ANSWER_TIMEOUT_MS);
    return MAX(due_ms - now_ms, 0);
}

/* If many peers were served at the same time over a small link, each would
 * receive the list slowly and none could pass it on soon. */
gboolean
ListExchange_mayServe(ListExchange_t *this, const Member_t *peer)
{
    gint64 now_ms = Clock_nowMs();
    ServedPeer_t *slot = NULL;
    for (guint i = 0; i < SERVED_PEERS_MAX; i++) {
        ServedPeer_t *served = &this->served[i];
        if (g_string_equal(served->name, peer->name)) {
            slot = served;
            break;
        }
        if (now_ms - served->last_query_ms >= SERVED_EXPIRY_MS) {
            slot = served;
        }
    }
    if (!slot) {
        return FALSE;
    }
    g_string_assign(slot->name, peer->name->str);
    slot->last_query_ms = now_ms;
    return TRUE;
}

static Wt__ListRefusal
read_copy(ListExchange_t *this, const Member_t *from,
          const ListCursor_t *cursor, ListPage_t *out)
{
    gboolean complete = this->end_ms > 0 && this->follower &&
                        !RecordFollower_isListing(this->follower) &&
                        this->end.epoch >= cursor->from.epoch;
    if (!complete) {
        return WT__LIST_REFUSAL__NOT_KNOWN;
    }
    if (!ListExchange_mayServe(this, from)) {
        return WT__LIST_REFUSAL__BUSY;
    }
    return ListCopy_readPage(this->copy, cursor, PAGE_BYTES, out)
               ? WT__LIST_REFUSAL__NONE
               : WT__LIST_REFUSAL__TOO_OLD;
}

static void
send_page(const ListExchange_t *this, Member_t *to, Wt__ListPage *page,
          const GPtrArray *records)
{
    guint record_count = records ? records->len : 0;
    g_autofree Wt__TopicRecord *list =
        g_new(Wt__TopicRecord, record_count + 1);
    g_autofree Wt__TopicRecord **pointers =
        g_new(Wt__TopicRecord *, record_count + 1);
    for (guint i = 0; i < record_count; i++) {
        RecordRelay_encodeRecord(&list[i], g_ptr_array_index(records, i));
        pointers[i] = &list[i];
    }
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    page->n_records = record_count;
    page->records = pointers;
    message.body_case = WT__PEER_MESSAGE__BODY_LIST_PAGE;
    message.list_page = page;
    Membership_sendLong(this->spec.membership, to, &message);
}

void
ListExchange_answerQuery(ListExchange_t *this, Member_t *from,
                         const Wt__ListAsk *query)
{
    ListCursor_t cursor = {query->after, {query->epoch, query->from}};
    ListPage_t list_page = {{0}};
    Wt__ListPage page = WT__LIST_PAGE__INIT;
    page.topic = (char *)this->spec.topic;
    page.after = query->after;
    page.from = query->from;
    page.epoch = this->end.epoch;
    page.refusal = read_copy(this, from, &cursor, &list_page);
    if (page.refusal == WT__LIST_REFUSAL__NONE) {
        page.reached = (char *)list_page.reached;
        page.more = list_page.page.more;
        page.end = this->end.offset;
        page.age_ms = PeerAge_of(this->end_ms);
    }
    count_page(this,
               page.refusal == WT__LIST_REFUSAL__NONE ? "told" : "refused");
    send_page(this, from, &page, list_page.page.records);
    if (list_page.page.records) {
        g_ptr_array_unref(list_page.page.records);
    }
}

/* The peer that sent the page is queried for the next one at once. */
static void
apply_page(ListExchange_t *this, Member_t *from, const Wt__ListPage *page)
{
    ListPage_t list_page = {.page = RecordRelay_decodeRecords(
                                page->records, page->n_records, page->epoch),
                            .reached = page->reached};
    ListCursor_t cursor = {page->after, {page->epoch, page->from}};
    list_page.page.end = (StorePosition_t){page->epoch, page->end};
    list_page.page.more = page->more;
    gboolean applied = RecordFollower_applyPeerListPage(
        this->follower, &cursor, &list_page,
        PeerAge_atMs(page->age_ms, Member_transitMs(from)));
    g_ptr_array_unref(list_page.page.records);
    count_page(this, applied ? "taken" : "passed_over");
    if (!applied) {
        return;
    }
    this->received_ms = Clock_nowMs();
    ListCursor_t next;
    if (RecordFollower_wantsListPage(this->follower, &next)) {
        send_query(this, from, &next);
    }
}

/* A page is applied only if it answers the open query to that peer. */
void
ListExchange_receivePage(ListExchange_t *this, Member_t *from,
                         const Wt__ListPage *page)
{
    if (this->queried_ms == 0 || !g_string_equal(this->queried, from->name)) {
        count_page(this, "not_asked");
        return;
    }
    this->queried_ms = 0;
    if (page->refusal == WT__LIST_REFUSAL__TOO_OLD) {
        RecordFollower_restartPeerList(this->follower);
    }
    if (page->refusal != WT__LIST_REFUSAL__NONE ||
        !StoreEpoch_note(this->spec.epoch, page->epoch, "peer")) {
        count_page(this, "not_got");
        return;
    }
    apply_page(this, from, page);
}
