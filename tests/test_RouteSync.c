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
/* Age of versions that were named before the start. */
#define UNKNOWN_AGE_MS 5000
/* Waits that no test sees the end of. */
#define READER_WAIT_MS 100000
#define WAIT_MS 200000
/* Longer than a router waits before it asks for what peers know. */
#define ASK_OVER_MS 500
/* What it takes until a router that is told nothing asks for itself. */
#define UNTOLD_MS 1800
/* Routers that ask the store often, and enough for some that do not. */
#define READERS 3
#define MANY 6
/* Longer than a call that is not made takes to be made. */
#define QUIET_MS 700
/* What it takes until peers that do not answer are given up. */
#define BEHIND_MOST_MS 600
/* In which a router that is told nothing would ask three times, if it did not
 * leave more time to a store that fails. */
#define OUTAGE_MS 4600
#define OUTAGE_ASKS_MOST 2
/* More than is added to the age of what a peer tells. */
#define NEWS_AFTER_MS (PEER_TRANSIT_MAX_MS + 150)

/* One call to the store that a test has not answered. */
typedef struct {
    gboolean list;
    guint64 from;
    gint64 wait_ms;
    KeyedPageDone_t done;
    void *data;
} Call_t;

/* Unlike FakeSource, several calls may be open, and end in any order. */
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
static guint self; /* the router whose part is tested */

static void
add_call(gboolean list, guint64 from, gint64 wait_ms, KeyedPageDone_t done,
         void *data)
{
    Call_t call = {list, from, wait_ms, done, data};
    g_array_append_val(calls.open, call);
    calls.made++;
}

static void
list(RecordSource_t *super, const char *topic, const char *after,
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

/* A configuration's value is its version in digits. */
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
reads_for_others(guint which)
{
    return Membership_localRank(routers.list[which].membership, "freshness",
                                NULL) < READERS;
}

/* A router that reads for others, or one that they read for. */
static guint
find_router(gboolean reader)
{
    guint which = 0;
    while (reads_for_others(which) != reader) {
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
call_at(guint place)
{
    return &g_array_index(calls.open, Call_t, place);
}

static Call_t
take_call(guint place)
{
    while (calls.open->len <= place) {
        event_base_loop(routers.base, EVLOOP_ONCE);
    }
    Call_t call = *call_at(place);
    g_array_remove_index(calls.open, place);
    return call;
}

/* Ends the call at a place of those that are open; the page holds one record,
 * or none where there is no key. */
static void
answer(guint place, guint64 page_end, const char *key, const char *value,
       guint64 offset)
{
    KeyedPage_t page = FakePage_make(page_end, FALSE);
    Call_t call = take_call(place);
    if (key) {
        FakePage_add(&page, key, value, offset);
    }
    call.done(&page, NULL, call.data);
    g_ptr_array_unref(page.records);
}

static void
end_with_error(guint place)
{
    g_autoptr(GError) error =
        g_error_new_literal(WT_ERROR, WT_ERROR_TIMEOUT, "x");
    Call_t call = take_call(place);
    call.done(NULL, error, call.data);
}

static void
tell(guint64 offset, guint32 age_ms)
{
    Wt__ConfigCurrent message = WT__CONFIG_CURRENT__INIT;
    message.offset = offset;
    message.age_ms = age_ms;
    RouteSync_take(route_sync, NULL, &message);
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

/* When it was last known that there is nothing newer, 0 for never. */
static gint64
current_ms(void)
{
    gint64 now_ms = Clock_nowMs();
    gint64 age = RouteTable_ageMs(routes, now_ms);
    return age == G_MAXINT64 ? 0 : now_ms - age;
}

/* Version 5 at offset 9; the read that follows is held by the store. What
 * peers tell from then on is newer. */
static void
start_at_ten(void)
{
    answer(0, 10, CONFIG_KEY, "5", 9);
    await_calls(2);
    ck_assert_uint_eq(call_at(0)->from, 10);
    FakeRouters_run(&routers, NEWS_AFTER_MS);
}

START_TEST(it_is_not_fresh_before_the_end_was_read)
{
    begin(1);
    answer(0, 10, CONFIG_KEY, "5", 9);
    ck_assert_uint_eq(version(), 5);
    gint64 before_ms = current_ms();
    await_calls(2);
    FakeRouters_run(&routers, NEWS_AFTER_MS);
    answer(0, 12, CONFIG_KEY, "6", 10);
    ck_assert_int_eq(current_ms(), before_ms);
    answer(0, 12, CONFIG_KEY, "7", 11);
    ck_assert_uint_eq(version(), 7);
    ck_assert_int_gt(current_ms(), before_ms);
    end();
}
END_TEST

START_TEST(an_older_version_in_a_newer_record_is_passed_over)
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

START_TEST(what_can_not_be_read_or_was_removed_changes_nothing)
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

START_TEST(who_has_read_to_the_same_end_is_as_fresh_as_its_peers)
{
    begin(1);
    start_at_ten();
    gint64 before_ms = current_ms();
    tell(10, 50);
    ck_assert_int_gt(current_ms(), before_ms);
    ck_assert_int_ge(age_ms(), 50 + PEER_TRANSIT_MAX_MS);
    ck_assert_uint_eq(calls.made, 2);
    end();
}
END_TEST

START_TEST(during_its_first_list_no_peer_makes_it_fresh)
{
    begin(1);
    await_calls(1);
    tell(10, 0);
    ck_assert_int_eq(current_ms(), 0);
    ck_assert_uint_eq(version(), 0);
    end();
}
END_TEST

START_TEST(who_is_behind_asks_at_once_and_is_not_fresh)
{
    begin(1);
    start_at_ten();
    gint64 before_ms = current_ms();
    tell(12, 0);
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

START_TEST(peers_that_say_so_again_are_not_asked_about_again)
{
    begin(1);
    start_at_ten();
    tell(12, 100);
    tell(12, 50);
    tell(13, 0);
    ck_assert_uint_eq(calls.made, 3);
    end();
}
END_TEST

START_TEST(a_question_that_was_lost_is_asked_again)
{
    begin(1);
    start_at_ten();
    tell(12, 0);
    end_with_error(1);
    ck_assert_uint_eq(version(), 5);
    FakeRouters_run(&routers, ASK_OVER_MS);
    tell(12, 0);
    await_calls(4);
    answer(1, 12, CONFIG_KEY, "6", 11);
    ck_assert_uint_eq(version(), 6);
    end();
}
END_TEST

START_TEST(a_held_read_that_comes_late_takes_nothing_back)
{
    begin(1);
    start_at_ten();
    tell(12, 0);
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

START_TEST(a_late_answer_to_a_question_takes_nothing_back)
{
    begin(1);
    start_at_ten();
    tell(12, 0);
    answer(0, 13, CONFIG_KEY, "8", 12);
    answer(0, 12, CONFIG_KEY, "6", 11);
    ck_assert_uint_eq(version(), 8);
    end();
}
END_TEST

START_TEST(peers_that_are_behind_change_nothing)
{
    begin(1);
    start_at_ten();
    gint64 before_ms = current_ms();
    tell(9, 0);
    ck_assert_int_eq(current_ms(), before_ms);
    ck_assert_uint_eq(calls.made, 2);
    end();
}
END_TEST

/* Those that read for all may be gone, or cut off. */
START_TEST(who_is_told_nothing_asks_for_itself)
{
    begin(1);
    start_at_ten();
    gint64 began_ms = Clock_nowMs();
    tell(10, 0);
    await_calls(3);
    ck_assert_int_ge(Clock_nowMs() - began_ms,
                     UNTOLD_MS - PEER_TRANSIT_MAX_MS);
    ck_assert_int_eq(call_at(1)->wait_ms, 0);
    answer(1, 10, NULL, NULL, 0);
    ck_assert_int_lt(age_ms(), UNTOLD_MS);
    end();
}
END_TEST

START_TEST(records_that_are_gone_are_listed_anew_and_nothing_reverts)
{
    begin(1);
    start_at_ten();
    g_autoptr(GError) error =
        g_error_new_literal(WT_ERROR, WT_ERROR_TRUNCATED, "x");
    Call_t call = take_call(0);
    call.done(NULL, error, call.data);
    ck_assert(call_at(0)->list);
    ck_assert_uint_eq(version(), 5);
    tell(90, 0);
    answer(0, 90, CONFIG_KEY, "6", 80);
    ck_assert_uint_eq(version(), 6);
    end();
}
END_TEST

START_TEST(of_versions_of_weights_the_newest_holds)
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

START_TEST(the_read_of_a_reader_is_held_as_long_as_it_may_wait)
{
    begin_as(MANY, TRUE);
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
place_of_peer(void)
{
    return (guint)g_ascii_strtoull(any_peer()->name->str + 1, NULL, 10);
}

/* Version 5 at offset 9, as for start_at_ten(), but no read follows. */
static void
start_untold(void)
{
    begin_as(MANY, FALSE);
    answer(0, 10, CONFIG_KEY, "5", 9);
    FakeRouters_run(&routers, QUIET_MS);
}

static void
tell_as_peer(guint64 offset)
{
    Wt__ConfigCurrent message = WT__CONFIG_CURRENT__INIT;
    message.offset = offset;
    RouteSync_take(route_sync, any_peer(), &message);
}

static void
tell_record(guint64 from, guint64 page_end, char *value, guint64 offset)
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
    RouteSync_takePart(route_sync, &part);
}

/* Symptom: 295 routers made 7 to 8 calls each for what is new in the first
 * seconds, and one for each record that operators wrote, most of the calls of
 * a day without any fault.
 * Sequence: a router has listed the records and others read for it.
 * Cause: each router held a read of its own, and took itself for one that
 * reads for others until it knew them.
 * Settled by: the paths of calls in the lines of 43 routers. */
START_TEST(who_is_read_for_makes_no_call_for_what_is_new)
{
    start_untold();
    ck_assert_uint_eq(calls.made, 1);
    tell_record(10, 12, "6", 11);
    ck_assert_uint_eq(version(), 6);
    ck_assert_uint_eq(calls.made, 1);
    end();
}
END_TEST

static gboolean
peer_was_asked(const FakeRouters_t *all)
{
    return FakeRouters_count(all, place_of_peer(),
                             WT__PEER_MESSAGE__BODY_TOPIC_ASK) > 0;
}

START_TEST(who_is_behind_asks_a_peer_and_then_the_store)
{
    start_untold();
    tell_as_peer(12);
    FakeRouters_await(&routers, peer_was_asked);
    const Wt__PeerMessage *asked = FakeRouters_find(
        &routers, place_of_peer(), WT__PEER_MESSAGE__BODY_TOPIC_ASK);
    ck_assert_uint_eq(asked->topic_ask->from, 10);
    ck_assert_uint_eq(calls.made, 1);
    FakeRouters_run(&routers, BEHIND_MOST_MS + QUIET_MS);
    ck_assert_uint_eq(calls.made, 2);
    answer(0, 12, CONFIG_KEY, "6", 11);
    ck_assert_uint_eq(version(), 6);
    FakeRouters_run(&routers, QUIET_MS);
    ck_assert_uint_eq(calls.made, 2);
    end();
}
END_TEST

START_TEST(a_peer_that_asks_gets_the_newest_record_of_each_key)
{
    start_untold();
    tell_record(10, 12, "6", 11);
    Wt__TopicAsk ask = WT__TOPIC_ASK__INIT;
    ask.from = 10;
    RouteSync_answer(route_sync, any_peer(), &ask);
    FakeRouters_run(&routers, QUIET_MS);
    const Wt__PeerMessage *told = FakeRouters_find(
        &routers, place_of_peer(), WT__PEER_MESSAGE__BODY_TOPIC_PART);
    ck_assert_ptr_nonnull(told);
    ck_assert_uint_eq(told->topic_part->from, 10);
    ck_assert_uint_eq(told->topic_part->end, 12);
    ck_assert_uint_eq(told->topic_part->n_records, 1);
    ck_assert_uint_eq(told->topic_part->records[0]->offset, 11);
    end();
}
END_TEST

START_TEST(a_peer_that_knows_as_much_gets_no_answer)
{
    start_untold();
    Wt__TopicAsk ask = WT__TOPIC_ASK__INIT;
    ask.from = 10;
    RouteSync_answer(route_sync, any_peer(), &ask);
    FakeRouters_run(&routers, QUIET_MS);
    ck_assert_uint_eq(FakeRouters_count(&routers, place_of_peer(),
                                        WT__PEER_MESSAGE__BODY_TOPIC_PART),
                      0);
    end();
}
END_TEST

START_TEST(a_peer_is_asked_for_the_version_that_the_store_has_lost)
{
    start_untold();
    gint64 before_ms = current_ms();
    Wt__ConfigCurrent told = WT__CONFIG_CURRENT__INIT;
    told.offset = 10;
    told.version = 8;
    RouteSync_take(route_sync, any_peer(), &told);
    ck_assert_int_eq(current_ms(), before_ms);
    FakeRouters_await(&routers, peer_was_asked);
    const Wt__PeerMessage *asked = FakeRouters_find(
        &routers, place_of_peer(), WT__PEER_MESSAGE__BODY_TOPIC_ASK);
    ck_assert_uint_eq(asked->topic_ask->version, 5);
    Wt__TopicRecord record = WT__TOPIC_RECORD__INIT;
    Wt__TopicRecord *records[] = {&record};
    Wt__TopicPart part = WT__TOPIC_PART__INIT;
    record.key = CONFIG_KEY;
    record.value = (ProtobufCBinaryData){1, (guint8 *)"8"};
    part.apart = TRUE;
    part.n_records = 1;
    part.records = records;
    RouteSync_takePart(route_sync, &part);
    ck_assert_uint_eq(version(), 8);
    end();
}
END_TEST

START_TEST(who_asks_with_an_older_version_is_told_what_the_store_has_lost)
{
    start_untold();
    StoreEpoch_note(epoch, 0, "test");
    StoreEpoch_note(epoch, 1, "test");
    Wt__TopicAsk ask = WT__TOPIC_ASK__INIT;
    ask.epoch = 1;
    ask.from = 3;
    ask.version = 4;
    RouteSync_answer(route_sync, any_peer(), &ask);
    FakeRouters_run(&routers, QUIET_MS);
    const Wt__PeerMessage *told = FakeRouters_find(
        &routers, place_of_peer(), WT__PEER_MESSAGE__BODY_TOPIC_PART);
    ck_assert_ptr_nonnull(told);
    ck_assert(told->topic_part->apart);
    ck_assert_str_eq(told->topic_part->records[0]->key, CONFIG_KEY);
    end();
}
END_TEST

/* Records hold whenever they come, but not how fresh they are. */
START_TEST(a_record_that_waited_here_makes_nothing_fresh)
{
    start_untold();
    gint64 before_ms = current_ms();
    g_usleep(1000 * CLOCK_US_PER_MS);
    tell_record(10, 12, "6", 11);
    ck_assert_uint_eq(version(), 6);
    ck_assert_int_eq(current_ms(), before_ms);
    end();
}
END_TEST

/* Symptom: while the store was down each of hundreds of routers called it
 * about once a second. Cause: an answer that failed was asked for again after
 * the same time. Settled by: the count of calls of days with an outage. */
START_TEST(a_store_that_fails_is_asked_less_and_less_often)
{
    start_untold();
    gint64 end_ms = Clock_nowMs() + OUTAGE_MS;
    while (Clock_nowMs() < end_ms) {
        FakeRouters_run(&routers, ASK_OVER_MS / 10);
        if (calls.open->len > 0) {
            end_with_error(0);
        }
    }
    ck_assert_uint_ge(calls.made, 2);
    ck_assert_uint_le(calls.made, 1 + OUTAGE_ASKS_MOST);
    end();
}
END_TEST

TESTING_MAIN("RouteSync", it_is_not_fresh_before_the_end_was_read,
             an_older_version_in_a_newer_record_is_passed_over,
             what_can_not_be_read_or_was_removed_changes_nothing,
             who_has_read_to_the_same_end_is_as_fresh_as_its_peers,
             during_its_first_list_no_peer_makes_it_fresh,
             who_is_behind_asks_at_once_and_is_not_fresh,
             peers_that_say_so_again_are_not_asked_about_again,
             a_question_that_was_lost_is_asked_again,
             a_held_read_that_comes_late_takes_nothing_back,
             a_late_answer_to_a_question_takes_nothing_back,
             peers_that_are_behind_change_nothing,
             who_is_told_nothing_asks_for_itself,
             records_that_are_gone_are_listed_anew_and_nothing_reverts,
             of_versions_of_weights_the_newest_holds,
             the_read_of_a_reader_is_held_as_long_as_it_may_wait,
             who_is_read_for_makes_no_call_for_what_is_new,
             who_is_behind_asks_a_peer_and_then_the_store,
             a_peer_that_asks_gets_the_newest_record_of_each_key,
             a_peer_that_knows_as_much_gets_no_answer,
             a_peer_is_asked_for_the_version_that_the_store_has_lost,
             who_asks_with_an_older_version_is_told_what_the_store_has_lost,
             a_record_that_waited_here_makes_nothing_fresh,
             a_store_that_fails_is_asked_less_and_less_often)
