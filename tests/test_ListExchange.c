#include "testing.h"

#include <event2/event.h>
#include <string.h>

#include "Clock.h"
#include "Errors.h"
#include "FakeRouters.h"
#include "UpstreamListing.h"

/* A list of so many pages. */
#define PAGES 40
#define PAGE_ENTRIES 10
#define ENTRIES (PAGES * PAGE_ENTRIES)
/* What the store takes for a page, one after the other. */
#define PAGE_US 4000
/* How long a router waits for an answer; the store works on for it. */
#define ANSWER_US 200000
#define POLL_MS 3000
/* Bytes of a value, so that all entries are too long to be told over every
 * link. */
#define VALUE_BYTES 1000
#define RETURN_MS 600000
/* Routers are linked with a few others, and each knows few seeds. */
#define MESH 4
#define SEEDS 3
#define GOSSIP_BUDGET 20000
#define BURST_ROUTERS 32
/* Longer than a router waits for a peer's answer. */
#define SLOW_US 700000
/* Times that a router may be told of an entry, at the mean. */
#define TOLD_MOST 1
/* Long enough for several calls that fail, and the longest pause between two
 * that are not bound to turns. */
#define OUTAGE_MS 8000
#define PAUSE_MOST_MS 1600
/* By then they know each other and have read the end of the list once. */
#define SETTLED_MS 2000
/* Routers of a hall that may read the whole list, however many there are. */
#define READERS_MOST 6

typedef struct {
    RecordSource_t super;
    guint which;
    UpstreamListing_t *listing;
    UpstreamSet_t *upstreams;
    StoreEpoch_t *epoch;
    gboolean refused; /* the store turns it away */
    guint answered;   /* its calls that the store has answered */
} Router_t;

typedef struct {
    KeyedDone_t done;
    void *data;
    struct event *timer;
    guint from; /* first entry of a page */
    gboolean lists;
    gboolean fails;
} Call_t;

typedef struct {
    Router_t *router;
    Member_t *asker;
    guint64 from;
    struct event *timer;
} Delayed_t;

static FakeRouters_t routers;
static Router_t list[FAKE_ROUTERS_MAX];
static HallRegions_t *regions;
static GPtrArray *calls;
static GPtrArray *delayed_answers;
static gint64 answer_after_us;
static gint64 busy_until_us;
static guint pages_asked;
static guint reads_asked;
static guint records_told; /* by peers, of what they were asked for */
static guint published;    /* entries that the store has */

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
    page.more = call->lists && end < published;
    return page;
}

static void
on_timer(evutil_socket_t fd, short what, void *data)
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
arm(Call_t *call, gint64 after_us)
{
    struct timeval after = {after_us / G_USEC_PER_SEC,
                            after_us % G_USEC_PER_SEC};
    call->timer = evtimer_new(routers.base, on_timer, call);
    evtimer_add(call->timer, &after);
    g_ptr_array_add(calls, call);
}

/* The store works on for who has given up. */
static void
serve(Router_t *router, Call_t *call)
{
    gint64 now_us = g_get_monotonic_time();
    if (router->refused) {
        call->fails = TRUE;
        arm(call, PAGE_US);
        return;
    }
    router->answered++;
    busy_until_us = MAX(busy_until_us, now_us) + PAGE_US;
    call->fails = busy_until_us - now_us > ANSWER_US;
    arm(call, call->fails ? ANSWER_US : busy_until_us - now_us);
}

static Call_t *
make_call(guint from, KeyedDone_t done, void *data)
{
    Call_t *call = g_new0(Call_t, 1);
    call->done = done;
    call->data = data;
    call->from = from;
    return call;
}

static void
list_page(RecordSource_t *super, const char *topic, const char *after,
          KeyedDone_t done, void *data)
{
    (void)topic;
    guint from = after ? (guint)atoi(after + 1) + 1 : 0;
    Call_t *call = make_call(from, done, data);
    call->lists = TRUE;
    pages_asked++;
    serve((Router_t *)super, call);
}

static void
read_from(RecordSource_t *super, const char *topic, guint64 from,
          gint64 wait_ms, KeyedDone_t done, void *data)
{
    (void)topic;
    (void)wait_ms;
    reads_asked++;
    serve((Router_t *)super, make_call((guint)from, done, data));
}

static const RecordSourceClass_t class = {.list = list_page,
                                          .read = read_from};

static void
on_delayed(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    const Delayed_t *delayed = data;
    Wt__TopicAsk ask = WT__TOPIC_ASK__INIT;
    ask.from = delayed->from;
    UpstreamListing_answer(delayed->router->listing, delayed->asker, &ask);
}

/* As over a link that has much to carry. */
static void
answer_later(Router_t *router, Member_t *asker, const Wt__TopicAsk *ask)
{
    Delayed_t *delayed = g_new0(Delayed_t, 1);
    struct timeval after = {0, (suseconds_t)answer_after_us};
    delayed->router = router;
    delayed->asker = asker;
    delayed->from = ask->from;
    delayed->timer = evtimer_new(routers.base, on_delayed, delayed);
    evtimer_add(delayed->timer, &after);
    g_ptr_array_add(delayed_answers, delayed);
}

static void
free_delayed(gpointer data)
{
    Delayed_t *delayed = data;
    event_free(delayed->timer);
    g_free(delayed);
}

static void
take(void *taker, Member_t *from, const Wt__PeerMessage *message)
{
    Router_t *this = taker;
    switch (message->body_case) {
    case WT__PEER_MESSAGE__BODY_LIST_ASK:
        UpstreamListing_takeAsk(this->listing, from, message->list_ask);
        break;
    case WT__PEER_MESSAGE__BODY_LIST_PAGE:
        UpstreamListing_takePage(this->listing, from, message->list_page);
        break;
    case WT__PEER_MESSAGE__BODY_TOPIC_ASK:
        answer_later(this, from, message->topic_ask);
        break;
    case WT__PEER_MESSAGE__BODY_TOPIC_PART:
        records_told += message->topic_part->n_records;
        UpstreamListing_take(this->listing, from, message->topic_part);
        break;
    default:
        break;
    }
}

static void
start(guint which, gboolean refused)
{
    Router_t *this = &list[which];
    *this = (Router_t){.super = {.class = &class}, .refused = refused};
    this->upstreams = UpstreamSet_create(routers.base, 1);
    this->epoch = StoreEpoch_create(NULL);
    UpstreamListingSpec_t spec = {
        .source = &this->super,
        .topic = "t",
        .decode = decode,
        .upstreams = this->upstreams,
        .membership = routers.list[which].membership,
        .epoch = this->epoch,
        .regions = regions,
        .poll_ms = POLL_MS,
        .return_ms = RETURN_MS,
    };
    this->listing = UpstreamListing_create(routers.base, &spec);
    routers.list[which].take = take;
    routers.list[which].taker = this;
}

/* The first of so many are turned away by the store. */
static void
begin(guint count, guint refused)
{
    calls = g_ptr_array_new_with_free_func(free_call);
    delayed_answers = g_ptr_array_new_with_free_func(free_delayed);
    regions = HallRegions_create(NULL, NULL, "r");
    busy_until_us = 0;
    pages_asked = 0;
    reads_asked = 0;
    published = ENTRIES;
    FakeRouters_start(&routers, count, MESH, SEEDS, GOSSIP_BUDGET);
    for (guint i = 0; i < count; i++) {
        start(i, i < refused);
    }
}

static void
end(void)
{
    for (guint i = 0; i < routers.count; i++) {
        routers.list[i].take = NULL;
        UpstreamListing_destroy(list[i].listing);
        UpstreamSet_destroy(list[i].upstreams);
        StoreEpoch_destroy(list[i].epoch);
    }
    g_ptr_array_unref(calls);
    g_ptr_array_unref(delayed_answers);
    HallRegions_destroy(regions);
    FakeRouters_clear(&routers);
}

static gboolean
all_know_all(const FakeRouters_t *all)
{
    for (guint i = 0; i < all->count; i++) {
        if (UpstreamSet_all(list[i].upstreams)->len < ENTRIES) {
            return FALSE;
        }
    }
    return TRUE;
}

/* Returns the pages that the store was asked for. */
static guint
play_start(guint count)
{
    begin(count, 0);
    FakeRouters_await(&routers, all_know_all);
    guint asked = pages_asked;
    end();
    return asked;
}

/* All routers started and none was ready: each read the whole list, the store
 * fell behind, answers came after their time, and all asked again for good. */
START_TEST(a_start_asks_the_store_for_a_list_a_few_times_however_many_routers)
{
    const guint counts[] = {12, 24, 48};
    for (guint i = 0; i < G_N_ELEMENTS(counts); i++) {
        guint asked = play_start(counts[i]);
        ck_assert_uint_le(asked, counts[i] + READERS_MOST * PAGES);
    }
}
END_TEST

static gboolean
all_know_first(const FakeRouters_t *all)
{
    for (guint i = 0; i < all->count; i++) {
        if (UpstreamSet_all(list[i].upstreams)->len < PAGE_ENTRIES) {
            return FALSE;
        }
    }
    return TRUE;
}

static void
play_burst(guint count)
{
    begin(count, 0);
    published = PAGE_ENTRIES;
    FakeRouters_await(&routers, all_know_first);
    FakeRouters_run(&routers, SETTLED_MS);
    reads_asked = 0;
    records_told = 0;
    published = ENTRIES;
    FakeRouters_await(&routers, all_know_all);
    FakeRouters_run(&routers, SETTLED_MS);
    end();
}

/* Upstreams that start with the routers come to the list within seconds: that
 * was more than is told over each link, so that every router read all of it
 * from the store, with all heartbeats, for as long as the day lasted. */
START_TEST(what_comes_at_once_is_read_by_few_and_asked_for_by_the_rest)
{
    answer_after_us = 0;
    play_burst(BURST_ROUTERS);
    ck_assert_uint_le(reads_asked, READERS_MOST * PAGES);
}
END_TEST

/* Who did not get an answer soon asked another one, went on with both, and
 * each further one that was late made one more. */
START_TEST(what_is_missing_is_told_about_once_also_by_slow_peers)
{
    answer_after_us = SLOW_US;
    play_burst(BURST_ROUTERS);
    ck_assert_uint_le(records_told, TOLD_MOST * BURST_ROUTERS * ENTRIES);
}
END_TEST

START_TEST(routers_that_the_store_turns_away_get_the_list_from_peers)
{
    begin(12, 6);
    FakeRouters_await(&routers, all_know_all);
    end();
}
END_TEST

static void
take_nothing(void *taker, Member_t *from, const Wt__PeerMessage *message)
{
    (void)taker;
    (void)from;
    (void)message;
}

static void
cut_off(gboolean refused)
{
    for (guint i = 0; i < routers.count; i++) {
        list[i].refused = refused;
        list[i].answered = 0;
        routers.list[i].take = take_nothing;
    }
}

/* Requests reached an upstream 14 s after it had left: a router that the store
 * had not answered called it again 21 s later, and no peer could tell it. */
START_TEST(a_call_that_failed_is_repeated_within_the_time_of_a_leaving)
{
    begin(12, 0);
    FakeRouters_await(&routers, all_know_all);
    FakeRouters_run(&routers, SETTLED_MS);
    cut_off(TRUE);
    FakeRouters_run(&routers, OUTAGE_MS);
    cut_off(FALSE);
    FakeRouters_run(&routers, POLL_MS + PAUSE_MOST_MS);
    for (guint i = 0; i < routers.count; i++) {
        ck_assert_uint_gt(list[i].answered, 0);
    }
    end();
}
END_TEST

START_TEST(a_router_that_knows_a_part_serves)
{
    begin(1, 0);
    while (UpstreamSet_all(list[0].upstreams)->len == 0) {
        event_base_loop(routers.base, EVLOOP_ONCE);
    }
    ck_assert_uint_lt(UpstreamSet_all(list[0].upstreams)->len, ENTRIES);
    ck_assert(UpstreamListing_isKnown(list[0].listing));
    end();
}
END_TEST

TESTING_MAIN(
    "ListExchange",
    a_start_asks_the_store_for_a_list_a_few_times_however_many_routers,
    what_comes_at_once_is_read_by_few_and_asked_for_by_the_rest,
    what_is_missing_is_told_about_once_also_by_slow_peers,
    routers_that_the_store_turns_away_get_the_list_from_peers,
    a_call_that_failed_is_repeated_within_the_time_of_a_leaving,
    a_router_that_knows_a_part_serves)
