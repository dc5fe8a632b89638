/* Streams can go on at their version after a restart of all routers. */
#include "OriginRecords.h"

#include <string.h>

#include "Clock.h"
#include "Errors.h"
#include "FakeSource.h"
#include "peer.pb-c.h"
#include "testing.h"

#define WINDOW_MS 30000
#define INTERVAL_MS 40
#define RECORDED_MAX_MS 150
#define RETRY_MAX_MS 1600

static struct event_base *base;
static FakeSource_t source;
static Counters_t *counters;
static SoftwareVersions_t *versions;
static OriginRecords_t *records;
static OriginKeeper_t *keeper;
static VersionGate_t *gate;

static guint
find_owners(void *owner, const RequestDigest_t *digest, guint64 *out,
            guint max)
{
    (void)owner;
    (void)digest;
    (void)out;
    (void)max;
    return 0;
}

static void
send_message(void *owner, guint64 router, const Wt__PeerMessage *message)
{
    (void)owner;
    (void)router;
    (void)message;
}

static void
schedule_tick(void *owner, gint64 in_ms)
{
    (void)owner;
    (void)in_ms;
}

static gboolean
is_list_current(void *owner)
{
    (void)owner;
    return TRUE;
}

static gint64
list_ms(void *owner)
{
    (void)owner;
    return Clock_nowMs();
}

static void
check_list(void *owner)
{
    (void)owner;
}

static gboolean
is_store_lost(void *owner)
{
    (void)owner;
    return FALSE;
}

static void
learn(void *owner, gboolean is_urgent)
{
    (void)owner;
    OriginRecords_scheduleRead(records, is_urgent);
}

static void
record(void *owner)
{
    (void)owner;
    OriginRecords_scheduleWrite(records);
}

static gboolean
is_settled(void *owner)
{
    (void)owner;
    return TRUE;
}

static const OriginLinksClass_t links = {
    .find_owners = find_owners,
    .send = send_message,
    .schedule_tick = schedule_tick,
    .is_list_current = is_list_current,
    .list_ms = list_ms,
    .check_list = check_list,
    .is_store_lost = is_store_lost,
    .learn = learn,
    .record = record,
    .is_settled = is_settled,
};

static void
start(void)
{
    FakeSource_init(&source, base);
    versions = SoftwareVersions_create();
    SoftwareVersions_learn(versions);
    gate = VersionGate_create(versions, WINDOW_MS);
    OriginRecordsSpec_t spec = {.source = &source.super,
                                .topic = "origins",
                                .router = "r1",
                                .gate = gate,
                                .versions = versions};
    records = OriginRecords_create(base, &spec);
    OriginKeeperSpec_t keeper_spec = {.links = &links,
                                      .versions = versions,
                                      .counters = counters,
                                      .window_ms = WINDOW_MS};
    keeper = OriginKeeper_create(&keeper_spec);
    OriginRecords_setKeeper(records, keeper);
    OriginRecords_scheduleRead(records, TRUE);
}

static void
stop(void)
{
    OriginRecords_destroy(records);
    OriginKeeper_destroy(keeper);
    VersionGate_destroy(gate);
    SoftwareVersions_destroy(versions);
}

static void
begin(void)
{
    base = event_base_new();
    counters = Counters_create();
    start();
}

static void
end(void)
{
    stop();
    g_clear_pointer(&source.put_value, g_bytes_unref);
    Counters_destroy(counters);
    event_base_free(base);
}

static RequestDigest_t
digest(guint number)
{
    RequestDigest_t out = {{0}};
    memcpy(out.bytes, &number, sizeof(number));
    return out;
}

static void
begin_stream(guint number, const char *software)
{
    RequestDigest_t key = digest(number);
    OriginKeeper_begin(keeper, &key, "s", software, FALSE);
}

static void
end_stream(guint number, gboolean is_whole)
{
    RequestDigest_t key = digest(number);
    OriginKeeper_end(keeper, &key, is_whole);
}

/* Answers the read with the record of a router; none if @value is NULL. */
static void
answer_read(const char *router, GBytes *value)
{
    KeyedPage_t page = FakePage_make(1, FALSE);
    if (value) {
        StorePosition_t position = {0, 0};
        g_ptr_array_add(page.records,
                        KeyedRecord_create(router, strlen(router),
                                           g_bytes_ref(value), position));
    }
    FakeSource_answer(&source, &page);
}

static void
on_asked(void *owner, const OriginAnswer_t *answer)
{
    (void)owner;
    (void)answer;
    ck_abort();
}

static void
check_stream(guint number, const char *software, OriginSource_t expected)
{
    RequestDigest_t key = digest(number);
    OriginAnswer_t answer;
    ck_assert_ptr_null(
        OriginKeeper_ask(keeper, &key, "s", FALSE, &answer, on_asked, NULL));
    ck_assert_int_eq(answer.source, expected);
    if (software) {
        ck_assert_str_eq(answer.service, "s");
        ck_assert_str_eq(answer.software, software);
    }
}

static Wt__OriginRecord *
unpack_written(void)
{
    gsize size = 0;
    ck_assert_ptr_nonnull(source.put_value);
    const guint8 *bytes = g_bytes_get_data(source.put_value, &size);
    return wt__origin_record__unpack(NULL, size, bytes);
}

static gsize
count_written(void)
{
    Wt__OriginRecord *message = unpack_written();
    gsize count = 0;
    for (gsize i = 0; i < message->n_groups; i++) {
        count += message->groups[i]->digests.len / REQUEST_DIGEST_BYTES;
    }
    wt__origin_record__free_unpacked(message, NULL);
    return count;
}

/* Restarts the router with what it has written as the record of a router. */
static void
restart_with_record_of(const char *router)
{
    g_autoptr(GBytes) value = g_bytes_ref(source.put_value);
    g_clear_pointer(&source.put_value, g_bytes_unref);
    stop();
    start();
    answer_read(router, value);
}

START_TEST(streams_are_known_after_a_restart)
{
    begin();
    answer_read(NULL, NULL);
    begin_stream(1, "v1");
    FakeSource_answerPut(&source, 0);
    begin_stream(2, "v2");
    FakeSource_answerPut(&source, 0);
    ck_assert_str_eq(source.put_key, "r1");
    ck_assert_uint_eq(count_written(), 2);
    check_stream(1, "v1", ORIGIN_FROM_HERE);
    restart_with_record_of("r2");
    check_stream(1, "v1", ORIGIN_FROM_STORE);
    check_stream(2, "v2", ORIGIN_FROM_STORE);
    check_stream(3, NULL, ORIGIN_FROM_NOBODY);
    end();
}
END_TEST

/* The second restart comes before the streams were continued. */
START_TEST(a_router_records_its_earlier_streams_again)
{
    begin();
    answer_read(NULL, NULL);
    begin_stream(1, "v1");
    FakeSource_answerPut(&source, 0);
    restart_with_record_of("r1");
    begin_stream(2, "v2");
    FakeSource_answerPut(&source, 0);
    ck_assert_uint_eq(count_written(), 2);
    end();
}
END_TEST

/* It was left out of the record if another router told of it before the read,
 * or had it in its record as well. */
START_TEST(a_router_records_an_earlier_stream_that_is_known_already)
{
    begin();
    answer_read(NULL, NULL);
    begin_stream(1, "v1");
    FakeSource_answerPut(&source, 0);
    g_autoptr(GBytes) value = g_bytes_ref(source.put_value);
    g_clear_pointer(&source.put_value, g_bytes_unref);
    stop();
    start();
    RequestDigest_t key = digest(1);
    OriginKeeper_restore(keeper, &key, "s", "v1", FALSE);
    answer_read("r1", value);
    begin_stream(2, "v2");
    FakeSource_answerPut(&source, 0);
    ck_assert_uint_eq(count_written(), 2);
    end();
}
END_TEST

/* The streams of many other routers took the place of those that ran here. */
START_TEST(restored_streams_displace_none_that_run)
{
    begin();
    begin_stream(1, "v1");
    for (guint i = 0; i < STREAM_ORIGINS_MAX + 10; i++) {
        RequestDigest_t key = digest(100 + i);
        OriginKeeper_restore(keeper, &key, "s", "v2", FALSE);
    }
    ck_assert_uint_le(OriginKeeper_count(keeper), STREAM_ORIGINS_MAX);
    check_stream(1, "v1", ORIGIN_FROM_HERE);
    end();
}
END_TEST

START_TEST(a_router_does_not_record_the_streams_of_others)
{
    begin();
    answer_read(NULL, NULL);
    begin_stream(1, "v1");
    FakeSource_answerPut(&source, 0);
    restart_with_record_of("r2");
    begin_stream(2, "v2");
    FakeSource_answerPut(&source, 0);
    ck_assert_uint_eq(count_written(), 1);
    end();
}
END_TEST

/* The streams of an earlier process would be lost. */
START_TEST(nothing_is_written_before_the_records_are_read)
{
    begin();
    begin_stream(1, "v1");
    FakeSource_fail(&source, WT_ERROR_CONNECT);
    FakeSource_await(&source);
    ck_assert_ptr_null(source.put_value);
    answer_read(NULL, NULL);
    FakeSource_answerPut(&source, 0);
    ck_assert_uint_eq(count_written(), 1);
    end();
}
END_TEST

/* Callers were refused for many seconds after the store was back. */
START_TEST(failed_calls_are_repeated_within_what_callers_wait)
{
    begin();
    for (guint i = 0; i < 4; i++) {
        FakeSource_fail(&source, WT_ERROR_CONNECT);
    }
    gint64 failed_ms = Clock_nowMs();
    answer_read(NULL, NULL);
    ck_assert_int_lt(Clock_nowMs() - failed_ms, RETRY_MAX_MS);
    begin_stream(1, "v1");
    for (guint i = 0; i < 4; i++) {
        FakeSource_answerPut(&source, WT_ERROR_CONNECT);
    }
    failed_ms = Clock_nowMs();
    FakeSource_answerPut(&source, 0);
    ck_assert_int_lt(Clock_nowMs() - failed_ms, RETRY_MAX_MS);
    end();
}
END_TEST

START_TEST(writes_are_an_interval_apart)
{
    begin();
    answer_read(NULL, NULL);
    begin_stream(1, "v1");
    FakeSource_answerPut(&source, 0);
    gint64 written_ms = Clock_nowMs();
    for (guint i = 2; i <= 10; i++) {
        begin_stream(i, "v1");
    }
    FakeSource_answerPut(&source, 0);
    ck_assert_int_ge(Clock_nowMs() - written_ms, INTERVAL_MS - 1);
    ck_assert_uint_eq(count_written(), 10);
    end();
}
END_TEST

/* Streams of the last 200 ms before a loss of all routers were refused. */
START_TEST(a_stream_is_recorded_soon_after_another)
{
    begin();
    answer_read(NULL, NULL);
    begin_stream(1, "v1");
    FakeSource_answerPut(&source, 0);
    gint64 begun_ms = Clock_nowMs();
    begin_stream(2, "v1");
    FakeSource_answerPut(&source, 0);
    ck_assert_int_lt(Clock_nowMs() - begun_ms, RECORDED_MAX_MS);
    ck_assert_uint_eq(count_written(), 2);
    end();
}
END_TEST

/* Its caller may have lost the end of a whole stream on the way. */
START_TEST(a_stream_that_ended_is_recorded_for_a_while)
{
    gint64 started_us = Clock_nowUs();
    begin();
    answer_read(NULL, NULL);
    begin_stream(1, "v1");
    begin_stream(2, "v1");
    begin_stream(3, "v1");
    end_stream(1, TRUE);
    end_stream(2, FALSE);
    FakeSource_answerPut(&source, 0);
    ck_assert_uint_eq(count_written(), 3);
    Clock_freeze(started_us + (gint64)10000000);
    begin_stream(4, "v1");
    FakeSource_answerPut(&source, 0);
    ck_assert_uint_eq(count_written(), 3);
    Clock_freeze(started_us + (gint64)60000000);
    begin_stream(5, "v1");
    FakeSource_answerPut(&source, 0);
    ck_assert_uint_eq(count_written(), 3);
    end();
}
END_TEST

START_TEST(a_record_has_a_bound)
{
    begin();
    answer_read(NULL, NULL);
    begin_stream(1, "v1");
    FakeSource_answerPut(&source, 0);
    for (guint i = 2; i <= ORIGIN_RECORD_STREAMS_MAX + 10; i++) {
        begin_stream(i, "v1");
    }
    FakeSource_answerPut(&source, 0);
    ck_assert_uint_eq(count_written(), ORIGIN_RECORD_STREAMS_MAX);
    restart_with_record_of("r2");
    check_stream(10, NULL, ORIGIN_FROM_NOBODY);
    check_stream(11, "v1", ORIGIN_FROM_STORE);
    end();
}
END_TEST

START_TEST(records_that_are_old_or_malformed_are_ignored)
{
    begin();
    guint8 bytes[REQUEST_DIGEST_BYTES + 3] = {0};
    Wt__OriginGroup group = WT__ORIGIN_GROUP__INIT;
    Wt__OriginGroup *pointer = &group;
    Wt__OriginRecord message = WT__ORIGIN_RECORD__INIT;
    guint8 packed[256];
    group.service = "s";
    group.software = "v1";
    group.digests.data = bytes;
    group.digests.len = sizeof(bytes);
    message.groups = &pointer;
    message.n_groups = 1;
    message.wall_ms = Clock_wallMs() - 3600 * 1000;
    gsize size = wt__origin_record__pack(&message, packed);
    g_autoptr(GBytes) old = g_bytes_new(packed, size);
    answer_read("r2", old);
    check_stream(0, NULL, ORIGIN_FROM_NOBODY);
    stop();
    start();
    message.wall_ms = Clock_wallMs();
    size = wt__origin_record__pack(&message, packed);
    g_autoptr(GBytes) uneven = g_bytes_new(packed, size);
    answer_read("r2", uneven);
    ck_assert_uint_eq(OriginKeeper_count(keeper), 1);
    stop();
    start();
    g_autoptr(GBytes) broken = g_bytes_new("\xff\xff", 2);
    answer_read("r2", broken);
    check_stream(0, NULL, ORIGIN_FROM_NOBODY);
    end();
}
END_TEST

TESTING_MAIN("OriginRecords", streams_are_known_after_a_restart,
             a_router_records_its_earlier_streams_again,
             a_router_records_an_earlier_stream_that_is_known_already,
             restored_streams_displace_none_that_run,
             a_router_does_not_record_the_streams_of_others,
             nothing_is_written_before_the_records_are_read,
             failed_calls_are_repeated_within_what_callers_wait,
             writes_are_an_interval_apart,
             a_stream_is_recorded_soon_after_another,
             a_stream_that_ended_is_recorded_for_a_while, a_record_has_a_bound,
             records_that_are_old_or_malformed_are_ignored)
