#include "testing.h"

#include <string.h>

#include "Clock.h"
#include "Errors.h"
#include "FakeRouters.h"
#include "FakeSource.h"
#include "PeerAge.h"
#include "RouteSync.h"

#define CONFIG_KEY "config"
#define WEIGHTS_KEY "version/m"
#define MODEL "m"
#define MESH 16
/* Age assumed for versions of weights that were set before the start. */
#define UNKNOWN_AGE_MS 5000
/* Longer than any test runs. */
#define READER_WAIT_MS 100000
#define WAIT_MS 200000
/* Longer than BEHIND_CHECK_INTERVAL_MS. */
#define CHECK_INTERVAL_MS 500
/* Time without updates from peers after which a router checks the store. */
#define UPDATE_TIMEOUT_MS 1800
/* Number of readers, and of routers in tests that need non-readers as well. */
#define READERS 3
#define ROUTERS 6
/* Long enough for an unexpected call or message to occur. */
#define IDLE_MS 700
/* Time after which a router that is behind checks the store, if no peer
 * answers. */
#define PEER_CATCH_UP_TIMEOUT_MS 600
/* Duration in which a router without updates would check a failing store three
 * times if the interval did not grow. */
#define OUTAGE_MS 4600
#define OUTAGE_CHECKS_MAX 2
/* More than the time that is added to the age in a peer's message. */
#define AFTER_TRANSIT_MS (PEER_TRANSIT_MIN_MS + 150)

/* Time in which peers announce a newer end again and again; a long record
 * takes longer to arrive. */
#define ANNOUNCED_MS 350
#define ANNOUNCE_INTERVAL_MS 30
/* Longer than any test runs. */
#define CHANGE_LIMIT_MS 60000
#define LONG_RECORD_BYTES 200000
#define LONG_ANSWERS_MAX 2

/* One open call to the store. */
typedef struct {
    gboolean list;
    guint64 from;
    gint64 wait_ms;
    KeyedPageDone_t done;
    void *data;
} Call_t;

/* Unlike with FakeSource, several calls may be open and end in any order. */
typedef struct {
    RecordSource_t super;
    GArray *open; /* Call_t */
    guint made;
} Calls_t;

static Calls_t calls;
static FakeRouters_t routers;
static RouteTable_t *routes;
static ModelVersions_t *weights;
static RouteSync_t *route_sync;
static StoreEpoch_t *epoch;
static guint self; /* index of the router under test */

static void
add_call(gboolean list, guint64 from, gint64 wait_ms, KeyedPageDone_t done,
         void *data)
{
    Call_t call = {list, from, wait_ms, done, data};
    g_array_append_val(calls.open, call);
    calls.made++;
}

static void
list(RecordSource_t *super, const char *topic, const GString *after,
     KeyedPageDone_t done, void *data)
{
    (void)super;
    (void)topic;
    (void)after;
    add_call(TRUE, 0, 0, done, data);
}

static void
read_from(RecordSource_t *super, const char *topic, guint64 from,
          gint64 wait_ms, KeyedPageDone_t done, void *data)
{
    (void)super;
    (void)topic;
    add_call(FALSE, from, wait_ms, done, data);
}

static const RecordSourceClass_t class = {.list = list, .read = read_from};

/* The value of a configuration record is its version in decimal digits. */
static RouteConfig_t *
decode_config(GBytes *value, GError **error)
{
    gsize length = 0;
    const char *text = g_bytes_get_data(value, &length);
    g_autofree char *digits = g_strndup(text, length);
    guint64 version = g_ascii_strtoull(digits, NULL, 10);
    if (version == 0) {
        g_set_error_literal(error, WT_ERROR, WT_ERROR_BAD_BODY, "no version");
        return NULL;
    }
    return RouteConfig_create(version);
}

static gboolean
decode_weights(GBytes *value, GString *model, guint64 *version, GError **error)
{
    (void)error;
    gsize length = 0;
    const char *text = g_bytes_get_data(value, &length);
    g_autofree char *digits = g_strndup(text, length);
    g_string_assign(model, MODEL);
    *version = g_ascii_strtoull(digits, NULL, 10);
    return TRUE;
}

static const PlatformForm_t form = {
    .decode_config = decode_config,
    .decode_weights = decode_weights,
    .config_topic = "t",
    .config_key = CONFIG_KEY,
    .weights_prefix = "version/",
};

static gboolean
is_reader(guint which)
{
    return Membership_localRank(routers.list[which].membership, "freshness",
                                NULL) < READERS;
}

/* Returns the index of the first reader or of the first non-reader. */
static guint
find_router(gboolean reader)
{
    guint which = 0;
    while (is_reader(which) != reader) {
        which++;
    }
    return which;
}

static void
begin_as(guint count, gboolean reader)
{
    FakeRouters_init(&routers, count, MESH);
    self = find_router(reader);
    calls = (Calls_t){.super = {.class = &class}};
    calls.open = g_array_new(FALSE, FALSE, sizeof(Call_t));
    routes = RouteTable_create();
    weights = ModelVersions_create();
    epoch = StoreEpoch_create(NULL);
    RouteSyncSpec_t spec = {.source = &calls.super,
                            .form = &form,
                            .routes = routes,
                            .weights = weights,
                            .membership = routers.list[self].membership,
                            .epoch = epoch,
                            .is_alone = TRUE,
                            .reader_wait_ms = READER_WAIT_MS,
                            .wait_ms = WAIT_MS,
                            .unknown_age_ms = UNKNOWN_AGE_MS};
    route_sync = RouteSync_create(routers.base, &spec);
}

static void
begin(guint count)
{
    begin_as(count, TRUE);
}

static void
end(void)
{
    RouteSync_destroy(route_sync);
    StoreEpoch_destroy(epoch);
    ModelVersions_destroy(weights);
    RouteTable_destroy(routes);
    g_array_unref(calls.open);
    FakeRouters_clear(&routers);
}

static void
await_calls(guint made)
{
    while (calls.made < made) {
        event_base_loop(routers.base, EVLOOP_ONCE);
    }
}

static const Call_t *
call_at(guint index)
{
    return &g_array_index(calls.open, Call_t, index);
}

static Call_t
remove_call(guint index)
{
    while (calls.open->len <= index) {
        event_base_loop(routers.base, EVLOOP_ONCE);
    }
    Call_t call = *call_at(index);
    g_array_remove_index(calls.open, index);
    return call;
}

/* Answers the open call at @index with a page of one record, or of none if
 * @key is NULL. */
static void
answer(guint index, guint64 page_end, const char *key, const char *value,
       guint64 offset)
{
    KeyedPage_t page = FakePage_make(page_end, FALSE);
    Call_t call = remove_call(index);
    if (key) {
        FakePage_add(&page, key, value, offset);
    }
    call.done(&page, NULL, call.data);
    g_ptr_array_unref(page.records);
}

static void
fail_call(guint index)
{
    g_autoptr(GError) error =
        g_error_new_literal(WT_ERROR, WT_ERROR_TIMEOUT, "x");
    Call_t call = remove_call(index);
    call.done(NULL, error, call.data);
}

static void
receive_current(guint64 offset, guint32 age_ms)
{
    Wt__ConfigCurrent message = WT__CONFIG_CURRENT__INIT;
    message.offset = offset;
    message.age_ms = age_ms;
    RouteSync_receiveCurrent(route_sync, NULL, &message);
}

static guint64
version(void)
{
    const RouteConfig_t *config = RouteTable_config(routes);
    return config ? config->version : 0;
}

static gint64
age_ms(void)
{
    return RouteTable_ageMs(routes, Clock_nowMs());
}

/* When the configuration was last known to be the newest; 0 for never. */
static gint64
current_ms(void)
{
    gint64 now_ms = Clock_nowMs();
    gint64 age = RouteTable_ageMs(routes, now_ms);
    return age == G_MAXINT64 ? 0 : now_ms - age;
}

/* Lists version 5 at offset 9; the store holds the read that follows. Messages
 * from peers after this call are newer than the list. */
static void
start_at_ten(void)
{
    answer(0, 10, CONFIG_KEY, "5", 9);
    await_calls(2);
    ck_assert_uint_eq(call_at(0)->from, 10);
    FakeRouters_run(&routers, AFTER_TRANSIT_MS);
}

START_TEST(page_before_the_end_does_not_refresh_the_config)
{
    begin(1);
    answer(0, 10, CONFIG_KEY, "5", 9);
    ck_assert_uint_eq(version(), 5);
    gint64 before_ms = current_ms();
    await_calls(2);
    FakeRouters_run(&routers, AFTER_TRANSIT_MS);
    answer(0, 12, CONFIG_KEY, "6", 10);
    ck_assert_int_eq(current_ms(), before_ms);
    answer(0, 12, CONFIG_KEY, "7", 11);
    ck_assert_uint_eq(version(), 7);
    ck_assert_int_gt(current_ms(), before_ms);
    end();
}
END_TEST

START_TEST(older_version_in_newer_record_is_ignored)
{
    begin(1);
    start_at_ten();
    answer(0, 11, CONFIG_KEY, "4", 10);
    ck_assert_uint_eq(version(), 5);
    answer(0, 12, CONFIG_KEY, "6", 11);
    ck_assert_uint_eq(version(), 6);
    end();
}
END_TEST

START_TEST(unreadable_or_removed_record_changes_nothing)
{
    begin(1);
    start_at_ten();
    answer(0, 11, CONFIG_KEY, "nonsense", 10);
    answer(0, 12, CONFIG_KEY, NULL, 11);
    answer(0, 13, "other", "9", 12);
    ck_assert_uint_eq(version(), 5);
    end();
}
END_TEST

START_TEST(router_at_the_same_end_is_as_fresh_as_its_peers)
{
    begin(1);
    start_at_ten();
    gint64 before_ms = current_ms();
    receive_current(10, 50);
    ck_assert_int_gt(current_ms(), before_ms);
    ck_assert_int_ge(age_ms(), 50 + PEER_TRANSIT_MIN_MS);
    ck_assert_uint_eq(calls.made, 2);
    end();
}
END_TEST

START_TEST(peer_does_not_refresh_a_router_during_its_first_list)
{
    begin(1);
    await_calls(1);
    receive_current(10, 0);
    ck_assert_int_eq(current_ms(), 0);
    ck_assert_uint_eq(version(), 0);
    end();
}
END_TEST

START_TEST(router_that_is_behind_checks_the_store_at_once)
{
    begin(1);
    start_at_ten();
    gint64 before_ms = current_ms();
    receive_current(12, 0);
    ck_assert_int_eq(current_ms(), before_ms);
    ck_assert_uint_eq(calls.made, 3);
    ck_assert_uint_eq(call_at(1)->from, 10);
    ck_assert_int_eq(call_at(1)->wait_ms, 0);
    answer(1, 12, CONFIG_KEY, "6", 11);
    ck_assert_uint_eq(version(), 6);
    ck_assert_int_gt(current_ms(), before_ms);
    end();
}
END_TEST

START_TEST(repeated_peer_updates_cause_one_store_check)
{
    begin(1);
    start_at_ten();
    receive_current(12, 100);
    receive_current(12, 50);
    receive_current(13, 0);
    ck_assert_uint_eq(calls.made, 3);
    end();
}
END_TEST

START_TEST(failed_store_check_is_repeated)
{
    begin(1);
    start_at_ten();
    receive_current(12, 0);
    fail_call(1);
    ck_assert_uint_eq(version(), 5);
    FakeRouters_run(&routers, CHECK_INTERVAL_MS);
    receive_current(12, 0);
    await_calls(4);
    answer(1, 12, CONFIG_KEY, "6", 11);
    ck_assert_uint_eq(version(), 6);
    end();
}
END_TEST

START_TEST(late_reply_to_held_read_reverts_nothing)
{
    begin(1);
    start_at_ten();
    receive_current(12, 0);
    answer(1, 12, CONFIG_KEY, "7", 11);
    gint64 before_ms = current_ms();
    answer(0, 11, CONFIG_KEY, "6", 10);
    ck_assert_uint_eq(version(), 7);
    ck_assert_int_eq(current_ms(), before_ms);
    await_calls(4);
    ck_assert_uint_eq(call_at(0)->from, 12);
    end();
}
END_TEST

START_TEST(late_reply_to_store_check_reverts_nothing)
{
    begin(1);
    start_at_ten();
    receive_current(12, 0);
    answer(0, 13, CONFIG_KEY, "8", 12);
    answer(0, 12, CONFIG_KEY, "6", 11);
    ck_assert_uint_eq(version(), 8);
    end();
}
END_TEST

START_TEST(peer_that_is_behind_changes_nothing)
{
    begin(1);
    start_at_ten();
    gint64 before_ms = current_ms();
    receive_current(9, 0);
    ck_assert_int_eq(current_ms(), before_ms);
    ck_assert_uint_eq(calls.made, 2);
    end();
}
END_TEST

/* A router at the older end would count as current by it. */
START_TEST(outdated_end_of_a_peer_is_not_relayed)
{
    begin_as(ROUTERS, TRUE);
    start_at_ten();
    FakeRouters_run(&routers, IDLE_MS);
    receive_current(9, 0);
    FakeRouters_run(&routers, IDLE_MS);
    for (guint i = 0; i < routers.count; i++) {
        const Wt__PeerMessage *message = FakeRouters_find(
            &routers, i, WT__PEER_MESSAGE__BODY_CONFIG_CURRENT);
        ck_assert(!message || message->config_current->offset == 10);
    }
    end();
}
END_TEST

/* The readers may have departed or lost their links. */
START_TEST(router_without_peer_updates_checks_the_store)
{
    begin(1);
    start_at_ten();
    gint64 began_ms = Clock_nowMs();
    receive_current(10, 0);
    await_calls(3);
    ck_assert_int_ge(Clock_nowMs() - began_ms,
                     UPDATE_TIMEOUT_MS - PEER_TRANSIT_MIN_MS);
    ck_assert_int_eq(call_at(1)->wait_ms, 0);
    answer(1, 10, NULL, NULL, 0);
    ck_assert_int_lt(age_ms(), UPDATE_TIMEOUT_MS);
    end();
}
END_TEST

START_TEST(truncated_records_are_listed_again_and_nothing_reverts)
{
    begin(1);
    start_at_ten();
    g_autoptr(GError) error =
        g_error_new_literal(WT_ERROR, WT_ERROR_TRUNCATED, "x");
    Call_t call = remove_call(0);
    call.done(NULL, error, call.data);
    ck_assert(call_at(0)->list);
    ck_assert_uint_eq(version(), 5);
    receive_current(90, 0);
    answer(0, 90, CONFIG_KEY, "6", 80);
    ck_assert_uint_eq(version(), 6);
    end();
}
END_TEST

START_TEST(newest_weights_version_is_used)
{
    begin(1);
    answer(0, 10, WEIGHTS_KEY, "3", 9);
    ck_assert_str_eq(ModelVersions_findNewest(weights, MODEL), "3");
    ck_assert_int_ge(ModelVersions_ageMs(weights, MODEL, Clock_nowMs()),
                     UNKNOWN_AGE_MS);
    answer(0, 11, WEIGHTS_KEY, "2", 10);
    ck_assert_str_eq(ModelVersions_findNewest(weights, MODEL), "3");
    answer(0, 12, WEIGHTS_KEY, "4", 11);
    ck_assert_str_eq(ModelVersions_findNewest(weights, MODEL), "4");
    ck_assert_int_lt(ModelVersions_ageMs(weights, MODEL, Clock_nowMs()),
                     UNKNOWN_AGE_MS);
    end();
}
END_TEST

START_TEST(store_holds_a_readers_read_for_reader_wait_ms)
{
    begin_as(ROUTERS, TRUE);
    answer(0, 10, CONFIG_KEY, "5", 9);
    await_calls(2);
    ck_assert_int_eq(call_at(0)->wait_ms, READER_WAIT_MS);
    end();
}
END_TEST

static Member_t *
any_peer(void)
{
    const GPtrArray *members =
        Membership_members(routers.list[self].membership);
    return g_ptr_array_index(members, 0);
}

static guint
index_of_peer(void)
{
    return (guint)g_ascii_strtoull(any_peer()->name->str + 1, NULL, 10);
}

/* Lists version 5 at offset 9 as start_at_ten(), but on a non-reader, so that
 * no read follows. */
static void
start_without_reads(void)
{
    begin_as(ROUTERS, FALSE);
    answer(0, 10, CONFIG_KEY, "5", 9);
    FakeRouters_run(&routers, IDLE_MS);
}

static void
receive_current_from_peer(guint64 offset)
{
    Wt__ConfigCurrent message = WT__CONFIG_CURRENT__INIT;
    message.offset = offset;
    RouteSync_receiveCurrent(route_sync, any_peer(), &message);
}

static void
receive_record(guint64 from, guint64 page_end, char *value, guint64 offset)
{
    Wt__TopicRecord record = WT__TOPIC_RECORD__INIT;
    Wt__TopicRecord *records[] = {&record};
    Wt__TopicPart part = WT__TOPIC_PART__INIT;
    record.key = (char *)CONFIG_KEY;
    record.value.data = (guint8 *)value;
    record.value.len = strlen(value);
    record.offset = offset;
    part.from = from;
    part.end = page_end;
    part.n_records = 1;
    part.records = records;
    RouteSync_receivePart(route_sync, any_peer(), &part);
}

/* Guards against store calls by non-readers: each of 295 routers made 7 to 8
 * calls for new records in the first seconds and one for each record that
 * operators wrote, which was most of the calls of a day without faults. Each
 * router had its own held read, and acted as a reader until it knew the other
 * routers. */
START_TEST(non_reader_makes_no_store_call_for_new_records)
{
    start_without_reads();
    ck_assert_uint_eq(calls.made, 1);
    receive_record(10, 12, "6", 11);
    ck_assert_uint_eq(version(), 6);
    ck_assert_uint_eq(calls.made, 1);
    end();
}
END_TEST

static void
receive_end(guint64 page_end)
{
    Wt__TopicPart part = WT__TOPIC_PART__INIT;
    part.from = page_end;
    part.end = page_end;
    RouteSync_receivePart(route_sync, any_peer(), &part);
}

/* A long record was read from the store by every router that was told of its
 * end, beside the query to the peer that told it. */
START_TEST(end_of_a_long_record_causes_no_store_call)
{
    start_without_reads();
    receive_current_from_peer(12);
    receive_end(12);
    FakeRouters_run(&routers, PEER_CATCH_UP_TIMEOUT_MS / 2);
    ck_assert_uint_eq(calls.made, 1);
    receive_record(10, 12, "6", 11);
    ck_assert_uint_eq(version(), 6);
    end();
}
END_TEST

static gboolean
peer_was_queried(const FakeRouters_t *all)
{
    return FakeRouters_count(all, index_of_peer(),
                             WT__PEER_MESSAGE__BODY_TOPIC_ASK) > 0;
}

START_TEST(router_that_is_behind_queries_a_peer_then_the_store)
{
    start_without_reads();
    receive_current_from_peer(12);
    FakeRouters_await(&routers, peer_was_queried);
    const Wt__PeerMessage *query = FakeRouters_find(
        &routers, index_of_peer(), WT__PEER_MESSAGE__BODY_TOPIC_ASK);
    ck_assert_uint_eq(query->topic_ask->from, 10);
    ck_assert_uint_eq(calls.made, 1);
    FakeRouters_run(&routers, PEER_CATCH_UP_TIMEOUT_MS + IDLE_MS);
    ck_assert_uint_eq(calls.made, 2);
    answer(0, 12, CONFIG_KEY, "6", 11);
    ck_assert_uint_eq(version(), 6);
    FakeRouters_run(&routers, IDLE_MS);
    ck_assert_uint_eq(calls.made, 2);
    end();
}
END_TEST

static guint
count_queries(void)
{
    guint queries = 0;
    for (guint i = 0; i < routers.count; i++) {
        queries +=
            FakeRouters_count(&routers, i, WT__PEER_MESSAGE__BODY_TOPIC_ASK);
    }
    return queries;
}

/* A router queried its peers for a long record again and again while the first
 * answer was on its way, and all answers shared its link. */
START_TEST(record_on_its_way_is_not_queried_again)
{
    start_without_reads();
    gint64 end_ms = Clock_nowMs() + ANNOUNCED_MS;
    while (Clock_nowMs() < end_ms) {
        receive_current_from_peer(12);
        FakeRouters_run(&routers, ANNOUNCE_INTERVAL_MS);
    }
    ck_assert_uint_eq(count_queries(), 1);
    end();
}
END_TEST

/* An added route was refused as unknown by a router that knew of a newer
 * configuration, but did not have it yet. */
START_TEST(configuration_that_peers_have_replaced_is_not_the_newest)
{
    start_without_reads();
    ck_assert(RouteTable_isNewest(routes, CHANGE_LIMIT_MS));
    ck_assert(!RouteTable_isOverdue(routes, 0));
    receive_current_from_peer(12);
    ck_assert(!RouteTable_isNewest(routes, CHANGE_LIMIT_MS));
    ck_assert(!RouteTable_isOverdue(routes, CHANGE_LIMIT_MS));
    ck_assert(RouteTable_isOverdue(routes, 0));
    receive_record(10, 12, "6", 11);
    ck_assert(RouteTable_isNewest(routes, CHANGE_LIMIT_MS));
    ck_assert(!RouteTable_isOverdue(routes, 0));
    end();
}
END_TEST

START_TEST(proof_after_a_peers_word_outweighs_it)
{
    start_without_reads();
    receive_current_from_peer(12);
    RouteTable_noteCurrent(routes, Clock_nowMs());
    ck_assert(RouteTable_isNewest(routes, CHANGE_LIMIT_MS));
    end();
}
END_TEST

START_TEST(querying_peer_gets_the_newest_record_of_each_key)
{
    start_without_reads();
    receive_record(10, 12, "6", 11);
    Wt__TopicAsk ask = WT__TOPIC_ASK__INIT;
    ask.from = 10;
    RouteSync_answerQuery(route_sync, any_peer(), &ask);
    FakeRouters_run(&routers, IDLE_MS);
    const Wt__PeerMessage *part_message = FakeRouters_find(
        &routers, index_of_peer(), WT__PEER_MESSAGE__BODY_TOPIC_PART);
    ck_assert_ptr_nonnull(part_message);
    ck_assert_uint_eq(part_message->topic_part->from, 10);
    ck_assert_uint_eq(part_message->topic_part->end, 12);
    ck_assert_uint_eq(part_message->topic_part->n_records, 1);
    ck_assert_uint_eq(part_message->topic_part->records[0]->offset, 11);
    end();
}
END_TEST

/* A router sent a long record to all its peers at once, and each of them got
 * it late. */
START_TEST(few_long_records_are_sent_at_the_same_time)
{
    start_without_reads();
    g_autofree char *value = g_strnfill(LONG_RECORD_BYTES, 'x');
    *value = '6';
    receive_record(10, 12, value, 11);
    const GPtrArray *members =
        Membership_members(routers.list[self].membership);
    Wt__TopicAsk ask = WT__TOPIC_ASK__INIT;
    ask.from = 10;
    for (guint i = 0; i < members->len; i++) {
        RouteSync_answerQuery(route_sync, g_ptr_array_index(members, i), &ask);
    }
    FakeRouters_run(&routers, IDLE_MS);
    guint answers = 0;
    for (guint i = 0; i < routers.count; i++) {
        answers +=
            FakeRouters_count(&routers, i, WT__PEER_MESSAGE__BODY_TOPIC_PART);
    }
    ck_assert_uint_eq(answers, LONG_ANSWERS_MAX);
    end();
}
END_TEST

START_TEST(peer_at_the_same_offset_gets_no_answer)
{
    start_without_reads();
    Wt__TopicAsk ask = WT__TOPIC_ASK__INIT;
    ask.from = 10;
    RouteSync_answerQuery(route_sync, any_peer(), &ask);
    FakeRouters_run(&routers, IDLE_MS);
    ck_assert_uint_eq(FakeRouters_count(&routers, index_of_peer(),
                                        WT__PEER_MESSAGE__BODY_TOPIC_PART),
                      0);
    end();
}
END_TEST

START_TEST(router_queries_a_peer_for_the_version_the_store_lost)
{
    start_without_reads();
    gint64 before_ms = current_ms();
    Wt__ConfigCurrent update = WT__CONFIG_CURRENT__INIT;
    update.offset = 10;
    update.version = 8;
    RouteSync_receiveCurrent(route_sync, any_peer(), &update);
    ck_assert_int_eq(current_ms(), before_ms);
    FakeRouters_await(&routers, peer_was_queried);
    const Wt__PeerMessage *query = FakeRouters_find(
        &routers, index_of_peer(), WT__PEER_MESSAGE__BODY_TOPIC_ASK);
    ck_assert_uint_eq(query->topic_ask->version, 5);
    Wt__TopicRecord record = WT__TOPIC_RECORD__INIT;
    Wt__TopicRecord *records[] = {&record};
    Wt__TopicPart part = WT__TOPIC_PART__INIT;
    record.key = CONFIG_KEY;
    record.value = (ProtobufCBinaryData){1, (guint8 *)"8"};
    part.apart = TRUE;
    part.n_records = 1;
    part.records = records;
    RouteSync_receivePart(route_sync, any_peer(), &part);
    ck_assert_uint_eq(version(), 8);
    end();
}
END_TEST

START_TEST(peer_with_older_version_gets_the_lost_records)
{
    start_without_reads();
    StoreEpoch_note(epoch, 0, "test");
    StoreEpoch_note(epoch, 1, "test");
    Wt__TopicAsk ask = WT__TOPIC_ASK__INIT;
    ask.epoch = 1;
    ask.from = 3;
    ask.version = 4;
    RouteSync_answerQuery(route_sync, any_peer(), &ask);
    FakeRouters_run(&routers, IDLE_MS);
    const Wt__PeerMessage *part_message = FakeRouters_find(
        &routers, index_of_peer(), WT__PEER_MESSAGE__BODY_TOPIC_PART);
    ck_assert_ptr_nonnull(part_message);
    ck_assert(part_message->topic_part->apart);
    ck_assert_str_eq(part_message->topic_part->records[0]->key, CONFIG_KEY);
    end();
}
END_TEST

/* While a reader receives a long record, no router knows a newer end. */
START_TEST(router_waits_for_a_reader_that_is_receiving)
{
    start_without_reads();
    gint64 end_ms = Clock_nowMs() + UPDATE_TIMEOUT_MS;
    while (Clock_nowMs() < end_ms) {
        Wt__ConfigCurrent message = WT__CONFIG_CURRENT__INIT;
        message.receiving_age_ms = 1;
        RouteSync_receiveCurrent(route_sync, any_peer(), &message);
        FakeRouters_run(&routers, CHECK_INTERVAL_MS / 2);
    }
    ck_assert_uint_eq(calls.made, 1);
    FakeRouters_run(&routers, UPDATE_TIMEOUT_MS);
    ck_assert_uint_eq(calls.made, 2);
    end();
}
END_TEST

static Member_t *
other_peer(void)
{
    const GPtrArray *members =
        Membership_members(routers.list[self].membership);
    return g_ptr_array_index(members, 1);
}

static gboolean
other_peer_was_queried(const FakeRouters_t *all)
{
    guint which =
        (guint)g_ascii_strtoull(other_peer()->name->str + 1, NULL, 10);
    return FakeRouters_count(all, which, WT__PEER_MESSAGE__BODY_TOPIC_ASK) > 0;
}

START_TEST(peer_that_is_busy_is_replaced_at_once)
{
    Wt__TopicPatch refusal = WT__TOPIC_PATCH__INIT;
    Wt__ConfigCurrent message = WT__CONFIG_CURRENT__INIT;
    refusal.refused = TRUE;
    message.offset = 12;
    start_without_reads();
    RouteSync_receiveCurrent(route_sync, any_peer(), &message);
    RouteSync_receiveCurrent(route_sync, other_peer(), &message);
    FakeRouters_await(&routers, peer_was_queried);
    ck_assert_uint_eq(count_queries(), 1);
    RouteSync_receivePatch(route_sync, any_peer(), &refusal);
    FakeRouters_await(&routers, other_peer_was_queried);
    ck_assert_uint_eq(calls.made, 1);
    end();
}
END_TEST

/* With answers of the store that take 2.4 s, a reader that left the records to
 * its own read was outdated for 0.7 s more, and refused callers. */
START_TEST(reader_queries_a_peer_beside_its_own_read)
{
    begin_as(ROUTERS, TRUE);
    answer(0, 10, CONFIG_KEY, "5", 9);
    await_calls(2);
    FakeRouters_run(&routers, AFTER_TRANSIT_MS);
    receive_current_from_peer(12);
    FakeRouters_await(&routers, peer_was_queried);
    ck_assert_uint_eq(calls.made, 2);
    end();
}
END_TEST

/* A patch that builds on a record that this router lacks. */
START_TEST(patch_that_cant_be_used_leads_to_a_query)
{
    Wt__RecordPatch record = WT__RECORD_PATCH__INIT;
    Wt__RecordPatch *records[] = {&record};
    Wt__TopicPatch patch = WT__TOPIC_PATCH__INIT;
    record.key = (char *)CONFIG_KEY;
    record.offset = 11;
    record.has_base = TRUE;
    record.base_offset = 7;
    patch.from = 10;
    patch.end = 12;
    patch.n_records = 1;
    patch.records = records;
    start_without_reads();
    RouteSync_receivePatch(route_sync, any_peer(), &patch);
    FakeRouters_await(&routers, peer_was_queried);
    ck_assert_uint_eq(version(), 5);
    end();
}
END_TEST

/* The records in a delayed message are valid; the age in it is not. */
START_TEST(record_delayed_in_this_router_refreshes_nothing)
{
    start_without_reads();
    gint64 before_ms = current_ms();
    g_usleep(1000 * CLOCK_US_PER_MS);
    receive_record(10, 12, "6", 11);
    ck_assert_uint_eq(version(), 6);
    ck_assert_int_eq(current_ms(), before_ms);
    end();
}
END_TEST

/* Guards against constant load on a store that is down: each of hundreds of
 * routers called it about once a second, as the interval between failed checks
 * did not grow. */
START_TEST(failing_store_is_checked_with_backoff)
{
    start_without_reads();
    gint64 end_ms = Clock_nowMs() + OUTAGE_MS;
    while (Clock_nowMs() < end_ms) {
        FakeRouters_run(&routers, CHECK_INTERVAL_MS / 10);
        if (calls.open->len > 0) {
            fail_call(0);
        }
    }
    ck_assert_uint_ge(calls.made, 2);
    ck_assert_uint_le(calls.made, 1 + OUTAGE_CHECKS_MAX);
    end();
}
END_TEST

TESTING_MAIN("RouteSync", page_before_the_end_does_not_refresh_the_config,
             older_version_in_newer_record_is_ignored,
             unreadable_or_removed_record_changes_nothing,
             router_at_the_same_end_is_as_fresh_as_its_peers,
             peer_does_not_refresh_a_router_during_its_first_list,
             router_that_is_behind_checks_the_store_at_once,
             repeated_peer_updates_cause_one_store_check,
             failed_store_check_is_repeated,
             late_reply_to_held_read_reverts_nothing,
             late_reply_to_store_check_reverts_nothing,
             peer_that_is_behind_changes_nothing,
             outdated_end_of_a_peer_is_not_relayed,
             router_without_peer_updates_checks_the_store,
             truncated_records_are_listed_again_and_nothing_reverts,
             newest_weights_version_is_used,
             store_holds_a_readers_read_for_reader_wait_ms,
             non_reader_makes_no_store_call_for_new_records,
             end_of_a_long_record_causes_no_store_call,
             router_that_is_behind_queries_a_peer_then_the_store,
             record_on_its_way_is_not_queried_again,
             configuration_that_peers_have_replaced_is_not_the_newest,
             proof_after_a_peers_word_outweighs_it,
             querying_peer_gets_the_newest_record_of_each_key,
             few_long_records_are_sent_at_the_same_time,
             peer_at_the_same_offset_gets_no_answer,
             router_queries_a_peer_for_the_version_the_store_lost,
             peer_with_older_version_gets_the_lost_records,
             router_waits_for_a_reader_that_is_receiving,
             peer_that_is_busy_is_replaced_at_once,
             reader_queries_a_peer_beside_its_own_read,
             patch_that_cant_be_used_leads_to_a_query,
             record_delayed_in_this_router_refreshes_nothing,
             failing_store_is_checked_with_backoff)
