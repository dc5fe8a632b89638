/* What routers know of software versions survives a restart of all of them. */
#include "SoftwareRecords.h"

#include "Clock.h"
#include "Errors.h"
#include "FakeSource.h"
#include "peer.pb-c.h"
#include "testing.h"

#define WINDOW_MS 300
#define REPEAT_MS 1200

static struct event_base *base;
static FakeSource_t source;
static SoftwareVersions_t *versions;
static SoftwareRecords_t *records;
static StoreEpoch_t *epoch;
static gboolean is_first_start;

static void
begin_with(gint64 repeat_ms, StoreEpoch_t *store_epoch)
{
    base = event_base_new();
    FakeSource_init(&source, base);
    versions = SoftwareVersions_create();
    SoftwareRecordsSpec_t spec = {.source = &source.super,
                                  .topic = "software",
                                  .versions = versions,
                                  .router = "r1",
                                  .is_first_start = is_first_start,
                                  .window_ms = WINDOW_MS,
                                  .repeat_ms = repeat_ms,
                                  .epoch = store_epoch};
    records = SoftwareRecords_create(base, &spec);
    SoftwareRecords_scheduleRead(records, FALSE);
}

static void
begin(void)
{
    begin_with(0, NULL);
}

static void
end(void)
{
    SoftwareRecords_destroy(records);
    SoftwareVersions_destroy(versions);
    g_clear_pointer(&source.put_value, g_bytes_unref);
    event_base_free(base);
}

static void
answer_read(const char *service, const char *value)
{
    KeyedPage_t page = FakePage_make(1, FALSE);
    if (service) {
        FakePage_add(&page, service, value, 0);
    }
    FakeSource_answer(&source, &page);
}

/* Field 3 of SoftwareRecord, a string of two bytes. */
#define RECORD_V1 "\x1a\x02v1"
#define RECORD_V2 "\x1a\x02v2"
#define RECORD_WRITER "\x0a\x02r9"

static void
await_written(const char *first, const char *second)
{
    FakeSource_answerPut(&source, 0);
    ck_assert_str_eq(source.put_key, "s");
    ck_assert_ptr_nonnull(source.put_value);
    gsize size = 0;
    const guint8 *bytes = g_bytes_get_data(source.put_value, &size);
    Wt__SoftwareRecord *record =
        wt__software_record__unpack(NULL, size, bytes);
    ck_assert_ptr_nonnull(record);
    ck_assert_str_eq(record->router, "r1");
    ck_assert_uint_eq(record->n_software, second ? 2 : 1);
    ck_assert_str_eq(record->software[0], first);
    if (second) {
        ck_assert_str_eq(record->software[1], second);
    }
    wt__software_record__free_unpacked(record, NULL);
}

static void
put(const char *upstream, const char *software)
{
    SoftwareVersions_put(versions, upstream, "s", software, Clock_nowMs());
}

static const char *
find_only(void)
{
    return SoftwareVersions_findOnly(versions, "s", WINDOW_MS, Clock_nowMs());
}

START_TEST(a_service_with_the_record_of_its_version_had_no_other)
{
    begin();
    put("a", "v1");
    ck_assert_ptr_null(find_only());
    answer_read("s", RECORD_WRITER RECORD_V1);
    ck_assert(SoftwareVersions_isLearned(versions));
    ck_assert_str_eq(find_only(), "v1");
    end();
}
END_TEST

/* Where no record was found, the listed version was taken for the only one, by
 * this router or by those that started later and read its record. */
START_TEST(a_service_without_a_record_may_have_had_several)
{
    begin();
    gint64 listed_ms = Clock_nowMs();
    put("a", "v1");
    SoftwareRecords_scheduleRead(records, TRUE);
    answer_read(NULL, NULL);
    ck_assert(SoftwareVersions_isLearned(versions));
    ck_assert_ptr_null(find_only());
    await_written("v1", NULL);
    ck_assert_int_ge(Clock_nowMs() - listed_ms, WINDOW_MS);
    end();
}
END_TEST

/* One version had replaced the other while no router ran. */
/* Each first start cost messages and writes for as long as streams may be
 * continued. */
START_TEST(a_service_without_a_record_has_one_version_at_the_first_start)
{
    is_first_start = TRUE;
    begin();
    put("a", "v1");
    SoftwareRecords_scheduleRead(records, TRUE);
    ck_assert_ptr_null(find_only());
    answer_read(NULL, NULL);
    ck_assert_str_eq(find_only(), "v1");
    await_written("v1", NULL);
    end();
    begin();
    put("a", "v2");
    SoftwareRecords_scheduleRead(records, TRUE);
    answer_read("s", RECORD_V1);
    ck_assert_ptr_null(find_only());
    end();
    is_first_start = FALSE;
}
END_TEST

START_TEST(a_service_with_the_record_of_another_version_had_several)
{
    begin();
    put("a", "v2");
    SoftwareRecords_scheduleRead(records, TRUE);
    answer_read("s", RECORD_V1);
    ck_assert_ptr_null(find_only());
    await_written("v1", "v2");
    await_written("v2", NULL);
    ck_assert_str_eq(find_only(), "v2");
    end();
}
END_TEST

START_TEST(a_record_of_a_version_that_left_counts_for_the_window)
{
    begin();
    put("a", "v1");
    SoftwareRecords_scheduleRead(records, TRUE);
    answer_read("s", RECORD_V1 RECORD_V2);
    gint64 read_ms = Clock_nowMs();
    ck_assert_ptr_null(find_only());
    await_written("v1", NULL);
    ck_assert_int_ge(Clock_nowMs() - read_ms, WINDOW_MS);
    ck_assert_str_eq(find_only(), "v1");
    end();
}
END_TEST

/* As builds write it that state no versions. */
START_TEST(a_record_without_versions_may_stand_for_any)
{
    begin();
    put("a", "v1");
    SoftwareRecords_scheduleRead(records, TRUE);
    answer_read("s", RECORD_WRITER);
    ck_assert(SoftwareVersions_isLearned(versions));
    ck_assert_ptr_null(find_only());
    await_written("v1", NULL);
    end();
}
END_TEST

START_TEST(more_versions_than_a_record_states_count_as_several)
{
    begin();
    answer_read(NULL, NULL);
    for (guint i = 0; i < 40; i++) {
        g_autofree char *name = g_strdup_printf("v%u", i);
        put(name, name);
    }
    FakeSource_answerPut(&source, 0);
    gsize size = 0;
    const guint8 *bytes = g_bytes_get_data(source.put_value, &size);
    Wt__SoftwareRecord *record =
        wt__software_record__unpack(NULL, size, bytes);
    ck_assert_uint_eq(record->n_software, 0);
    wt__software_record__free_unpacked(record, NULL);
    end();
}
END_TEST

START_TEST(an_unreadable_record_counts_as_one)
{
    begin();
    put("a", "v1");
    SoftwareRecords_scheduleRead(records, TRUE);
    answer_read("s", "\xff\xff");
    ck_assert_ptr_null(find_only());
    end();
}
END_TEST

START_TEST(a_failed_read_is_repeated)
{
    begin();
    FakeSource_fail(&source, WT_ERROR_CONNECT);
    ck_assert(!SoftwareVersions_isLearned(versions));
    answer_read(NULL, NULL);
    ck_assert(SoftwareVersions_isLearned(versions));
    end();
}
END_TEST

START_TEST(a_caller_that_waits_hurries_the_read)
{
    begin();
    gint64 started_ms = Clock_nowMs();
    SoftwareRecords_scheduleRead(records, TRUE);
    answer_read(NULL, NULL);
    ck_assert_int_lt(Clock_nowMs() - started_ms, 250);
    SoftwareRecords_scheduleRead(records, TRUE);
    end();
}
END_TEST

START_TEST(each_change_of_the_versions_is_written)
{
    begin();
    put("a", "v1");
    answer_read("s", RECORD_V1);
    put("b", "v2");
    await_written("v1", "v2");
    SoftwareVersions_remove(versions, "a", Clock_nowMs());
    gint64 ended_ms = Clock_nowMs();
    await_written("v2", NULL);
    ck_assert_int_ge(Clock_nowMs() - ended_ms, WINDOW_MS);
    put("c", "v1");
    await_written("v1", "v2");
    end();
}
END_TEST

/* A write that the store carried out late replaced the record, which named an
 * earlier version for good. */
START_TEST(a_changed_record_is_written_once_more)
{
    begin_with(REPEAT_MS, NULL);
    put("a", "v1");
    answer_read("s", RECORD_V1);
    put("b", "v2");
    await_written("v1", "v2");
    gint64 written_ms = Clock_nowMs();
    await_written("v1", "v2");
    ck_assert_int_ge(Clock_nowMs() - written_ms, REPEAT_MS - 50);
    end();
}
END_TEST

/* The store had the record of its copy, which named an earlier version. */
START_TEST(the_record_is_written_when_the_store_came_back_older)
{
    epoch = StoreEpoch_create(NULL);
    StoreEpoch_note(epoch, 1, "test");
    begin_with(0, epoch);
    put("a", "v1");
    answer_read("s", RECORD_V1);
    put("b", "v2");
    await_written("v1", "v2");
    StoreEpoch_note(epoch, 2, "test");
    await_written("v1", "v2");
    end();
    StoreEpoch_destroy(epoch);
}
END_TEST

/* A record that other routers had not read yet was replaced. */
START_TEST(nothing_is_written_before_the_record_is_read)
{
    begin();
    FakeSource_fail(&source, WT_ERROR_CONNECT);
    put("a", "v1");
    put("b", "v2");
    FakeSource_await(&source);
    ck_assert_ptr_null(source.put_done);
    ck_assert_ptr_null(source.put_value);
    end();
}
END_TEST

/* Field 4, a string of two bytes; fields 6 and 7, one start. */
#define RECORD_FIRST_V1 "\x22\x02v1"
#define RECORD_START                                                          \
    "\x32\x08"                                                                \
    "AAAAAAAA"                                                                \
    "\x38\x01"
#define START G_GUINT64_CONSTANT(0x4141414141414141)

static void
put_start(const char *upstream, const char *software, guint64 start)
{
    put(upstream, software);
    SoftwareVersions_noteStart(versions, upstream, start);
}

static void
await_starts(guint count)
{
    FakeSource_answerPut(&source, 0);
    gsize size = 0;
    const guint8 *bytes = g_bytes_get_data(source.put_value, &size);
    Wt__SoftwareRecord *record =
        wt__software_record__unpack(NULL, size, bytes);
    ck_assert(record->states_starts);
    ck_assert_uint_eq(record->n_starts, count);
    wt__software_record__free_unpacked(record, NULL);
}

/* Upstreams that are replaced one by one would all be missing in the record.
 */
START_TEST(the_record_names_upstreams_that_serve)
{
    begin();
    put_start("a", "v1", 5);
    answer_read("s", RECORD_V1);
    await_starts(1);
    put_start("b", "v1", 6);
    put_start("c", "v1", 7);
    await_starts(3);
    end();
}
END_TEST

/* Until the window is over this router does not know whether another version
 * was used meanwhile. */
START_TEST(the_record_names_no_upstream_that_shows_nothing)
{
    begin();
    put_start("a", "v1", 5);
    SoftwareRecords_scheduleRead(records, TRUE);
    answer_read("s", RECORD_V1 RECORD_START);
    gint64 read_ms = Clock_nowMs();
    await_starts(1);
    ck_assert_int_ge(Clock_nowMs() - read_ms, WINDOW_MS - 50);
    end();
}
END_TEST

/* A version that came back counted as the base without a pause. */
START_TEST(a_base_is_served_if_an_upstream_of_the_record_is_listed)
{
    begin();
    put_start("a", "v1", 5);
    put_start("b", "v2", 6);
    SoftwareRecords_scheduleRead(records, TRUE);
    answer_read("s", RECORD_V1 RECORD_START);
    ck_assert_str_eq(SoftwareVersions_findBase(versions, "s"), "v1");
    ck_assert(!SoftwareVersions_isBaseServed(versions, "s"));
    put_start("c", "v1", START);
    ck_assert(SoftwareVersions_isBaseServed(versions, "s"));
    end();
}
END_TEST

/* The first version, which another one had replaced, passed for the base once
 * it came back. */
START_TEST(the_only_version_of_a_record_is_the_base)
{
    begin();
    put("a", "v2");
    put("b", "v1");
    SoftwareRecords_scheduleRead(records, TRUE);
    answer_read("s", RECORD_V2 RECORD_FIRST_V1);
    ck_assert_str_eq(SoftwareVersions_findBase(versions, "s"), "v2");
    end();
}
END_TEST

TESTING_MAIN("SoftwareRecords",
             a_service_with_the_record_of_its_version_had_no_other,
             a_service_without_a_record_may_have_had_several,
             a_service_without_a_record_has_one_version_at_the_first_start,
             a_service_with_the_record_of_another_version_had_several,
             a_record_of_a_version_that_left_counts_for_the_window,
             a_record_without_versions_may_stand_for_any,
             more_versions_than_a_record_states_count_as_several,
             an_unreadable_record_counts_as_one, a_failed_read_is_repeated,
             a_caller_that_waits_hurries_the_read,
             each_change_of_the_versions_is_written,
             a_changed_record_is_written_once_more,
             the_record_is_written_when_the_store_came_back_older,
             nothing_is_written_before_the_record_is_read,
             the_record_names_upstreams_that_serve,
             the_record_names_no_upstream_that_shows_nothing,
             a_base_is_served_if_an_upstream_of_the_record_is_listed,
             the_only_version_of_a_record_is_the_base)
