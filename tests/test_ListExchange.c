#include "testing.h"

#include <event2/event.h>
#include <string.h>

#include "Clock.h"
#include "Errors.h"
#include "FakeRouters.h"
#include "UpstreamListing.h"

/* Size of the list. */
#define PAGES 40
#define PAGE_ENTRIES 10
#define ENTRIES (PAGES * PAGE_ENTRIES)
/* Time that the store takes for a page; it serves one call at a time. */
#define PAGE_US 4000
/* How long a router waits for an answer. The store still serves the call after
 * that. */
#define ANSWER_US 200000
#define POLL_MS 3000
/* Size of a value: all entries together are too long for a broadcast. */
#define VALUE_BYTES 1000
#define RETURN_MS 600000
/* Links and seeds of each router: not a full mesh. */
#define MESH 4
#define SEEDS 3
#define GOSSIP_BUDGET 20000
#define BURST_ROUTERS 32
/* Delay of a slow peer: longer than a router waits for a peer's answer. */
#define SLOW_US 700000
/* Mean number of times that a router may receive an entry. */
#define COPIES_MAX 1
/* Long enough for several failed calls, and the longest pause between two
 * calls that do not wait for a time slot. */
#define OUTAGE_MS 8000
#define PAUSE_MAX_MS 1600
/* By then the routers know each other and have read the end of the list
 * once. */
#define SETTLED_MS 2000
/* Routers of a hall that may read the complete list, for any number of
 * routers. */
#define READERS_MAX 6
/* Routers besides the one whose messages are tested; more than it serves at
 * the same time. */
#define QUERIED_PEERS 3
/* Entries of the first two pages. */
#define PAGES_TWO (2 * PAGE_ENTRIES)
/* Time in which a message arrives, shorter than any timeout of a query. */
#define TRANSIT_MS 200

typedef struct {
    RecordSource_t super;
    guint idx;
    UpstreamListing_t *listing;
    UpstreamSet_t *upstreams;
    StoreEpoch_t *epoch;
    gboolean rejected; /* the store rejects its calls */
    guint answered;    /* number of its calls that the store has answered */
} Router_t;

typedef struct {
    KeyedPageDone_t done;
    void *data;
    struct event *timer;
    guint from; /* first entry of the page */
    gboolean is_list;
    gboolean fails;
} Call_t;

typedef struct {
    Router_t *router;
    Member_t *requester;
    guint64 from;
    struct event *timer;
} DelayedAnswer_t;

static FakeRouters_t routers;
static Router_t nodes[FAKE_ROUTERS_MAX];
static HallRegions_t *regions;
static GPtrArray *calls;
static GPtrArray *delayed_answers;
static gint64 answer_delay_us;
static gint64 store_busy_until_us;
static guint pages_requested;
static guint reads_requested;
static guint records_sent; /* by peers */
static guint published;    /* number of entries in the store */

static gboolean
decode(GBytes *value, ListedUpstream_t *out, GError **error)
{
    (void)value;
    (void)error;
    g_ptr_array_add(out->spec.serves, g_string_new("m"));
    out->spec.slots = 1;
    return TRUE;
}

static KeyedPage_t
make_page(const Call_t *call)
{
    KeyedPage_t page = {.records =
                            g_ptr_array_new_with_free_func(KeyedRecord_free),
                        .end = {0, published}};
    static const char value[VALUE_BYTES];
    guint end = MIN(call->from + PAGE_ENTRIES, published);
    for (guint i = call->from; i < end; i++) {
        g_autofree char *key = g_strdup_printf("u%04u", i);
        StorePosition_t position = {0, i};
        g_ptr_array_add(page.records,
                        KeyedRecord_create(key, strlen(key),
                                           g_bytes_new(value, sizeof(value)),
                                           position));
    }
    page.more = call->is_list && end < published;
    return page;
}

static void
on_call_done(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Call_t *call = data;
    if (call->fails) {
        g_autoptr(GError) error =
            g_error_new_literal(WT_ERROR, WT_ERROR_TIMEOUT, "late");
        call->done(NULL, error, call->data);
        return;
    }
    KeyedPage_t page = make_page(call);
    call->done(&page, NULL, call->data);
    g_ptr_array_unref(page.records);
}

static void
free_call(gpointer data)
{
    Call_t *call = data;
    event_free(call->timer);
    g_free(call);
}

static void
arm_call(Call_t *call, gint64 after_us)
{
    struct timeval after = {after_us / G_USEC_PER_SEC,
                            after_us % G_USEC_PER_SEC};
    call->timer = evtimer_new(routers.base, on_call_done, call);
    evtimer_add(call->timer, &after);
    g_ptr_array_add(calls, call);
}

/* A call that times out still occupies the store. */
static void
queue_call(Router_t *router, Call_t *call)
{
    gint64 now_us = g_get_monotonic_time();
    if (router->rejected) {
        call->fails = TRUE;
        arm_call(call, PAGE_US);
        return;
    }
    router->answered++;
    store_busy_until_us = MAX(store_busy_until_us, now_us) + PAGE_US;
    call->fails = store_busy_until_us - now_us > ANSWER_US;
    arm_call(call, call->fails ? ANSWER_US : store_busy_until_us - now_us);
}

static Call_t *
make_call(guint from, KeyedPageDone_t done, void *data)
{
    Call_t *call = g_new0(Call_t, 1);
    call->done = done;
    call->data = data;
    call->from = from;
    return call;
}

static void
serve_list(RecordSource_t *super, const char *topic, const GString *after,
           KeyedPageDone_t done, void *data)
{
    (void)topic;
    guint from = after ? (guint)atoi(after->str + 1) + 1 : 0;
    Call_t *call = make_call(from, done, data);
    call->is_list = TRUE;
    pages_requested++;
    queue_call((Router_t *)super, call);
}

static void
serve_read(RecordSource_t *super, const char *topic, guint64 from,
           gint64 wait_ms, KeyedPageDone_t done, void *data)
{
    (void)topic;
    (void)wait_ms;
    reads_requested++;
    queue_call((Router_t *)super, make_call((guint)from, done, data));
}

static const RecordSourceClass_t class = {.list = serve_list,
                                          .read = serve_read};

static void
on_answer_due(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    const DelayedAnswer_t *delayed = data;
    Wt__TopicAsk ask = WT__TOPIC_ASK__INIT;
    ask.from = delayed->from;
    UpstreamListing_answerQuery(delayed->router->listing, delayed->requester,
                                &ask);
}

/* Answers with a delay, as over a busy link. */
static void
delay_answer(Router_t *router, Member_t *requester, const Wt__TopicAsk *ask)
{
    DelayedAnswer_t *delayed = g_new0(DelayedAnswer_t, 1);
    struct timeval after = {0, (suseconds_t)answer_delay_us};
    delayed->router = router;
    delayed->requester = requester;
    delayed->from = ask->from;
    delayed->timer = evtimer_new(routers.base, on_answer_due, delayed);
    evtimer_add(delayed->timer, &after);
    g_ptr_array_add(delayed_answers, delayed);
}

static void
free_delayed(gpointer data)
{
    DelayedAnswer_t *delayed = data;
    event_free(delayed->timer);
    g_free(delayed);
}

static void
receive(void *handler_data, Member_t *from, const Wt__PeerMessage *message)
{
    Router_t *this = handler_data;
    switch (message->body_case) {
    case WT__PEER_MESSAGE__BODY_LIST_ASK:
        UpstreamListing_answerListQuery(this->listing, from,
                                        message->list_ask);
        break;
    case WT__PEER_MESSAGE__BODY_LIST_PAGE:
        UpstreamListing_receivePage(this->listing, from, message->list_page);
        break;
    case WT__PEER_MESSAGE__BODY_TOPIC_ASK:
        delay_answer(this, from, message->topic_ask);
        break;
    case WT__PEER_MESSAGE__BODY_TOPIC_PART:
        records_sent += message->topic_part->n_records;
        UpstreamListing_receive(this->listing, from, message->topic_part);
        break;
    default:
        break;
    }
}

static void
start_router(guint idx, gboolean rejected)
{
    Router_t *this = &nodes[idx];
    *this = (Router_t){.super = {.class = &class}, .rejected = rejected};
    this->upstreams = UpstreamSet_create(routers.base, 1);
    this->epoch = StoreEpoch_create(NULL);
    UpstreamListingSpec_t spec = {
        .source = &this->super,
        .topic = "t",
        .decode = decode,
        .upstreams = this->upstreams,
        .membership = routers.list[idx].membership,
        .epoch = this->epoch,
        .regions = regions,
        .poll_ms = POLL_MS,
        .return_ms = RETURN_MS,
    };
    this->listing = UpstreamListing_create(routers.base, &spec);
    routers.list[idx].handler = receive;
    routers.list[idx].handler_data = this;
}

/* The store rejects the calls of the first @rejected routers. */
static void
setup(guint count, guint rejected)
{
    calls = g_ptr_array_new_with_free_func(free_call);
    delayed_answers = g_ptr_array_new_with_free_func(free_delayed);
    regions = HallRegions_create(NULL, NULL, "r");
    store_busy_until_us = 0;
    pages_requested = 0;
    reads_requested = 0;
    published = ENTRIES;
    FakeRouters_start(&routers, count, MESH, SEEDS, GOSSIP_BUDGET);
    for (guint i = 0; i < count; i++) {
        start_router(i, i < rejected);
    }
}

static void
teardown(void)
{
    for (guint i = 0; i < routers.count; i++) {
        routers.list[i].handler = NULL;
        UpstreamListing_destroy(nodes[i].listing);
        UpstreamSet_destroy(nodes[i].upstreams);
        StoreEpoch_destroy(nodes[i].epoch);
    }
    g_ptr_array_unref(calls);
    g_ptr_array_unref(delayed_answers);
    HallRegions_destroy(regions);
    FakeRouters_clear(&routers);
}

static gboolean
all_have_the_list(const FakeRouters_t *all)
{
    for (guint i = 0; i < all->count; i++) {
        if (UpstreamSet_all(nodes[i].upstreams)->len < ENTRIES) {
            return FALSE;
        }
    }
    return TRUE;
}

/* Returns the number of pages that were requested from the store. */
static guint
run_start(guint count)
{
    setup(count, 0);
    FakeRouters_await(&routers, all_have_the_list);
    guint requested = pages_requested;
    teardown();
    return requested;
}

/* When all routers started together, none became ready: each read the complete
 * list, the store fell behind, calls timed out and were repeated forever. */
START_TEST(few_routers_read_the_list_from_the_store_at_a_start)
{
    const guint counts[] = {12, 24, 48};
    for (guint i = 0; i < G_N_ELEMENTS(counts); i++) {
        guint requested = run_start(counts[i]);
        ck_assert_uint_le(requested, counts[i] + READERS_MAX * PAGES);
    }
}
END_TEST

static gboolean
all_have_the_first_page(const FakeRouters_t *all)
{
    for (guint i = 0; i < all->count; i++) {
        if (UpstreamSet_all(nodes[i].upstreams)->len < PAGE_ENTRIES) {
            return FALSE;
        }
    }
    return TRUE;
}

static void
run_burst(guint count)
{
    setup(count, 0);
    published = PAGE_ENTRIES;
    FakeRouters_await(&routers, all_have_the_first_page);
    FakeRouters_run(&routers, SETTLED_MS);
    reads_requested = 0;
    records_sent = 0;
    published = ENTRIES;
    FakeRouters_await(&routers, all_have_the_list);
    FakeRouters_run(&routers, SETTLED_MS);
    teardown();
}

/* Upstreams that start together with the routers are listed within seconds.
 * The updates were too long for a broadcast, so every router read them from
 * the store, together with all heartbeats, and never stopped. */
START_TEST(burst_of_entries_is_read_from_the_store_by_few_routers)
{
    answer_delay_us = 0;
    run_burst(BURST_ROUTERS);
    ck_assert_uint_le(reads_requested, READERS_MAX * PAGES);
}
END_TEST

/* A router whose peer was late queried another peer and continued with both,
 * so that each late answer added one more sequence of queries. */
START_TEST(slow_peers_send_missing_records_once)
{
    answer_delay_us = SLOW_US;
    run_burst(BURST_ROUTERS);
    ck_assert_uint_le(records_sent, COPIES_MAX * BURST_ROUTERS * ENTRIES);
}
END_TEST

static void
drop_message(void *handler_data, Member_t *from,
             const Wt__PeerMessage *message)
{
    (void)handler_data;
    (void)from;
    (void)message;
}

/* Lets all routers have the first page of the list. From then on the first one
 * receives only what a test passes to it, and what it sends is collected. */
static void
setup_single_listing(void)
{
    setup(QUERIED_PEERS + 1, 0);
    published = PAGE_ENTRIES;
    FakeRouters_await(&routers, all_have_the_first_page);
    FakeRouters_run(&routers, SETTLED_MS);
    routers.list[0].handler = drop_message;
    for (guint i = 1; i < routers.count; i++) {
        routers.list[i].handler = NULL;
    }
}

static Member_t *
find_member(guint idx)
{
    const GPtrArray *members = Membership_members(routers.list[0].membership);
    for (guint i = 0; i < members->len; i++) {
        Member_t *member = g_ptr_array_index(members, i);
        if (g_string_equal(member->name,
                           routers.list[idx].settings.router.name)) {
            return member;
        }
    }
    g_error("router %u is not known", idx);
}

/* A peer reports a later end of the topic, or refuses to send the records up
 * to it. */
static void
receive_end(guint peer, guint end, gboolean refused)
{
    Wt__TopicPart part = WT__TOPIC_PART__INIT;
    part.from = end;
    part.end = end;
    part.partial = refused;
    part.refused = refused;
    UpstreamListing_receive(nodes[0].listing, find_member(peer), &part);
}

static guint
count_queries(guint peer)
{
    return FakeRouters_count(&routers, peer, WT__PEER_MESSAGE__BODY_TOPIC_ASK);
}

/* The router waited for the answer of a busy peer, and then for the next
 * report, until it read the records from the store. */
START_TEST(router_refused_by_a_busy_peer_queries_another)
{
    setup_single_listing();
    receive_end(1, ENTRIES, FALSE);
    receive_end(2, ENTRIES, FALSE);
    receive_end(1, PAGE_ENTRIES, TRUE);
    FakeRouters_run(&routers, TRANSIT_MS);
    ck_assert_uint_eq(count_queries(1), 1);
    ck_assert_uint_eq(count_queries(2), 1);
    ck_assert_uint_eq(count_queries(3), 0);
    teardown();
}
END_TEST

/* A late refusal added one more sequence of queries. */
START_TEST(refusal_of_another_peer_than_the_queried_one_is_ignored)
{
    setup_single_listing();
    receive_end(1, ENTRIES, FALSE);
    receive_end(2, ENTRIES, FALSE);
    receive_end(3, PAGE_ENTRIES, TRUE);
    FakeRouters_run(&routers, TRANSIT_MS);
    ck_assert_uint_eq(count_queries(1), 1);
    ck_assert_uint_eq(count_queries(2), 0);
    teardown();
}
END_TEST

static guint
count_refusals(guint peer)
{
    const GPtrArray *received = routers.list[peer].received;
    guint refusals = 0;
    for (guint i = 0; i < received->len; i++) {
        const Wt__PeerMessage *message = g_ptr_array_index(received, i);
        refusals += message->body_case == WT__PEER_MESSAGE__BODY_TOPIC_PART &&
                    message->topic_part->refused;
    }
    return refusals;
}

/* A router that was not served waited for an answer that never came. */
START_TEST(busy_peer_refuses_a_query)
{
    Wt__TopicAsk query = WT__TOPIC_ASK__INIT;
    guint refused = 0;
    setup_single_listing();
    query.from = PAGE_ENTRIES;
    published = PAGES_TWO;
    while (UpstreamSet_all(nodes[0].upstreams)->len < PAGES_TWO) {
        event_base_loop(routers.base, EVLOOP_ONCE);
    }
    Clock_freeze(Clock_nowUs());
    for (guint i = 1; i < routers.count; i++) {
        UpstreamListing_answerQuery(nodes[0].listing, find_member(i), &query);
    }
    Clock_freeze(0);
    FakeRouters_run(&routers, TRANSIT_MS);
    for (guint i = 1; i < routers.count; i++) {
        refused += count_refusals(i);
    }
    ck_assert_uint_ge(refused, 1);
    ck_assert_uint_lt(refused, QUERIED_PEERS);
    teardown();
}
END_TEST

START_TEST(routers_rejected_by_the_store_get_the_list_from_peers)
{
    setup(12, 6);
    FakeRouters_await(&routers, all_have_the_list);
    teardown();
}
END_TEST

static void
isolate_routers(gboolean rejected)
{
    for (guint i = 0; i < routers.count; i++) {
        nodes[i].rejected = rejected;
        nodes[i].answered = 0;
        routers.list[i].handler = drop_message;
    }
}

/* Requests reached an upstream 14 s after it had left: a router whose call to
 * the store failed retried it only 21 s later, and no peer could send it the
 * removal. */
START_TEST(failed_call_is_retried_within_the_leaving_time)
{
    setup(12, 0);
    FakeRouters_await(&routers, all_have_the_list);
    FakeRouters_run(&routers, SETTLED_MS);
    isolate_routers(TRUE);
    FakeRouters_run(&routers, OUTAGE_MS);
    isolate_routers(FALSE);
    FakeRouters_run(&routers, POLL_MS + PAUSE_MAX_MS);
    for (guint i = 0; i < routers.count; i++) {
        ck_assert_uint_gt(nodes[i].answered, 0);
    }
    teardown();
}
END_TEST

START_TEST(router_with_part_of_the_list_serves)
{
    setup(1, 0);
    while (UpstreamSet_all(nodes[0].upstreams)->len == 0) {
        event_base_loop(routers.base, EVLOOP_ONCE);
    }
    ck_assert_uint_lt(UpstreamSet_all(nodes[0].upstreams)->len, ENTRIES);
    ck_assert(UpstreamListing_isKnown(nodes[0].listing));
    teardown();
}
END_TEST

TESTING_MAIN("ListExchange",
             few_routers_read_the_list_from_the_store_at_a_start,
             burst_of_entries_is_read_from_the_store_by_few_routers,
             slow_peers_send_missing_records_once,
             router_refused_by_a_busy_peer_queries_another,
             refusal_of_another_peer_than_the_queried_one_is_ignored,
             busy_peer_refuses_a_query,
             routers_rejected_by_the_store_get_the_list_from_peers,
             failed_call_is_retried_within_the_leaving_time,
             router_with_part_of_the_list_serves)
