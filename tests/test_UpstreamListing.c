#include "testing.h"

#include <event2/event.h>
#include <string.h>

#include "Clock.h"
#include "Errors.h"
#include "FakeSource.h"
#include "PeerAge.h"
#include "UpstreamListing.h"

/* Short, so that a test need not wait for the next read. */
#define POLL_MS 1
/* Longer than any test runs. */
#define RETURN_MS 600000
/* Exceeds PEER_TRANSIT_MIN_MS, which is added to a message's age. */
#define PEER_DELAY_US ((PEER_TRANSIT_MIN_MS + 10) * CLOCK_US_PER_MS)

/* At least the time between reads for callers that wait. */
#define CHECK_INTERVAL_MS 100

/* For which a router is away. */
#define MISSED_MS 60000

/* Exceeds the time within which the list counts as up to date. */
#define OLD_MS (POLL_MS + 700)

#define WINDOW_MS 30000

/* Length of a long list. */
#define MANY 500
/* Maximum number of index rebuilds for one target and one look-up. */
#define REBUILDS_MAX 4

static FakeSource_t source;
static StoreEpoch_t *epoch;
static struct event_base *base;
static UpstreamSet_t *upstreams;
static HallRegions_t *regions;
static guint decoded;
static SoftwareVersions_t *versions; /* NULL for none */

/* Entries have the form TARGET[:INCARNATION], and the target is also the hall;
 * an entry that begins with "!" is not a valid upstream. */
static gboolean
decode(GBytes *value, ListedUpstream_t *out, GError **error)
{
    decoded++;
    gsize length = 0;
    const char *text = g_bytes_get_data(value, &length);
    g_autofree char *copy = g_strndup(text, length);
    char *colon = strchr(copy, ':');
    if (*copy == '!') {
        g_set_error(error, WT_ERROR, WT_ERROR_BAD_BODY, "no upstream");
        return FALSE;
    }
    if (colon) {
        *colon = '\0';
        out->incarnation = g_ascii_strtoull(colon + 1, NULL, 10);
    }
    g_ptr_array_add(out->spec.serves, g_string_new(copy));
    g_string_assign(out->spec.hall, copy);
    out->spec.slots = 1;
    return TRUE;
}

static UpstreamListing_t *
begin(void)
{
    epoch = StoreEpoch_create(NULL);
    decoded = 0;
    base = event_base_new();
    FakeSource_init(&source, base);
    upstreams = UpstreamSet_create(base, 1);
    if (!regions) {
        regions = HallRegions_create(NULL, NULL, "r");
    }
    UpstreamListingSpec_t spec = {.source = &source.super,
                                  .topic = "t",
                                  .decode = decode,
                                  .upstreams = upstreams,
                                  .epoch = epoch,
                                  .poll_ms = POLL_MS,
                                  .return_ms = RETURN_MS,
                                  .regions = regions,
                                  .versions = versions};
    return UpstreamListing_create(base, &spec);
}

static void
end(UpstreamListing_t *listing)
{
    UpstreamListing_destroy(listing);
    HallRegions_destroy(regions);
    regions = NULL;
    StoreEpoch_destroy(epoch);
    UpstreamSet_destroy(upstreams);
    event_base_free(base);
}

/* Answers the open call with one record; @value is NULL for a removal. */
static void
answer(guint64 offset, const char *key, const char *value)
{
    KeyedPage_t page = FakePage_make(offset + 1, FALSE);
    FakePage_add(&page, key, value, offset);
    FakeSource_answer(&source, &page);
}

static guint
serving(const char *target)
{
    return UpstreamSet_findServing(upstreams, 0, target)->len;
}

/* Answers the open call with a list of @count new upstreams. */
static void
answer_many(guint64 offset, guint count, const char *target)
{
    KeyedPage_t page = FakePage_make(offset + count, FALSE);
    for (guint i = 0; i < count; i++) {
        g_autofree char *key = g_strdup_printf("u%04u", i);
        FakePage_add(&page, key, target, offset + i);
    }
    FakeSource_answer(&source, &page);
}

static double *
speed_of(const char *name)
{
    return &UpstreamSet_find(upstreams, name)->prefill_us_per_token;
}

/* A restart of all 300 routers delayed the first answer by many seconds, and
 * each router used 2 s of CPU time: for each of 3,000 listed upstreams the
 * speed of another upstream of its service was looked up, which rebuilt the
 * indexes of the set. Now one upstream per target is cached. */
START_TEST(a_long_list_does_not_rebuild_the_indexes_for_each_entry)
{
    UpstreamListing_t *listing = begin();
    answer_many(1, MANY, "m");
    ck_assert_uint_eq(serving("m"), MANY);
    ck_assert_uint_le(UpstreamSet_generation(upstreams), REBUILDS_MAX);
    end(listing);
}
END_TEST

START_TEST(a_new_upstream_gets_the_speed_of_another_of_its_target)
{
    UpstreamListing_t *listing = begin();
    answer(1, "a", "m");
    *speed_of("a") = 3;
    answer(2, "b", "m");
    ck_assert(*speed_of("b") == 3);
    answer(3, "c", "n");
    ck_assert(*speed_of("c") != 3);
    *speed_of("a") = 4;
    answer(4, "d", "m");
    ck_assert(*speed_of("d") == 4);
    end(listing);
}
END_TEST

START_TEST(the_speed_of_a_removed_or_changed_upstream_is_not_used)
{
    UpstreamListing_t *listing = begin();
    answer(1, "a", "m");
    answer(2, "b", "m");
    *speed_of("a") = 3;
    *speed_of("b") = 5;
    answer(3, "a", NULL);
    answer(4, "c", "m");
    ck_assert(*speed_of("c") == 5);
    *speed_of("c") = 7;
    answer(5, "b", "n");
    answer(6, "d", "m");
    ck_assert(*speed_of("d") == 7);
    end(listing);
}
END_TEST

static GPtrArray *
create_names(const char *first, const char *second)
{
    GPtrArray *list = g_ptr_array_new();
    g_ptr_array_add(list, g_string_new(first));
    g_ptr_array_add(list, g_string_new(second));
    return list;
}

static void
free_names(GPtrArray *list)
{
    for (guint i = 0; i < list->len; i++) {
        g_string_free(g_ptr_array_index(list, i), TRUE);
    }
    g_ptr_array_unref(list);
}

static const char *
region_of(const char *name)
{
    return UpstreamSet_find(upstreams, name)->region->str;
}

/* The lease holders of two regions both sent orders to all engines, because
 * each router assigned all engines to its own region. */
START_TEST(an_engine_belongs_to_the_region_of_its_hall)
{
    GPtrArray *halls = create_names("north-a", "south-a");
    GPtrArray *hall_regions = create_names("north", "south");
    regions = HallRegions_create(halls, hall_regions, "north");
    UpstreamListing_t *listing = begin();
    answer(1, "a", "north-a");
    answer(2, "b", "south-a");
    answer(3, "c", "unknown-a");
    ck_assert_str_eq(region_of("a"), "north");
    ck_assert_str_eq(region_of("b"), "south");
    ck_assert_str_eq(region_of("c"), "");
    free_names(halls);
    free_names(hall_regions);
    end(listing);
}
END_TEST

START_TEST(an_unchanged_entry_is_not_decoded_again)
{
    UpstreamListing_t *listing = begin();
    answer(1, "a", "m");
    answer(2, "a", "m");
    answer(3, "a", "m");
    ck_assert_uint_eq(decoded, 1);
    ck_assert_uint_eq(serving("m"), 1);
    end(listing);
}
END_TEST

START_TEST(equal_entries_of_two_upstreams_are_both_decoded)
{
    UpstreamListing_t *listing = begin();
    answer(1, "a", "m");
    answer(2, "b", "m");
    ck_assert_uint_eq(decoded, 2);
    ck_assert_uint_eq(serving("m"), 2);
    end(listing);
}
END_TEST

START_TEST(an_upstream_listed_again_with_the_same_entry_serves)
{
    UpstreamListing_t *listing = begin();
    answer(1, "a", "m");
    answer(2, "a", NULL);
    ck_assert_uint_eq(serving("m"), 0);
    ck_assert_uint_eq(UpstreamSet_all(upstreams)->len, 0);
    answer(3, "a", "m");
    ck_assert_uint_eq(decoded, 2);
    ck_assert_uint_eq(serving("m"), 1);
    end(listing);
}
END_TEST

START_TEST(an_upstream_that_changed_its_target_is_found_for_the_new_one_only)
{
    UpstreamListing_t *listing = begin();
    answer(1, "a", "m");
    ck_assert_uint_eq(serving("m"), 1);
    answer(2, "a", "n");
    ck_assert_uint_eq(serving("m"), 0);
    ck_assert_uint_eq(serving("n"), 1);
    end(listing);
}
END_TEST

/* Passes on a peer's message with one record, the one after offset 1. */
static void
receive_record(UpstreamListing_t *listing, const char *key, const char *value,
               guint32 regained_age_ms)
{
    Wt__TopicPart part = WT__TOPIC_PART__INIT;
    Wt__TopicRecord record = WT__TOPIC_RECORD__INIT;
    Wt__TopicRecord *records = &record;
    record.key = (char *)key;
    record.value.data = (guint8 *)value;
    record.value.len = value ? strlen(value) : 0;
    record.offset = 2;
    part.from = 2;
    part.end = 3;
    part.regained_age_ms = regained_age_ms;
    part.n_records = 1;
    part.records = &records;
    g_usleep(PEER_DELAY_US);
    UpstreamListing_receive(listing, NULL, &part);
}

START_TEST(entries_from_a_peer_are_applied)
{
    UpstreamListing_t *listing = begin();
    answer(1, "a", "m");
    receive_record(listing, "b", "m", 0);
    ck_assert_uint_eq(serving("m"), 2);
    end(listing);
}
END_TEST

START_TEST(a_removal_from_a_peer_is_applied)
{
    UpstreamListing_t *listing = begin();
    answer(1, "a", "m");
    receive_record(listing, "a", NULL, 0);
    ck_assert_uint_eq(serving("m"), 0);
    end(listing);
}
END_TEST

START_TEST(a_removal_from_a_peer_after_an_outage_keeps_the_upstream)
{
    UpstreamListing_t *listing = begin();
    answer(1, "a", "m");
    receive_record(listing, "a", NULL, 1);
    ck_assert_uint_eq(serving("m"), 1);
    end(listing);
}
END_TEST

/* The same outage with a grace period that was changed to 0. */
START_TEST(a_changed_grace_period_applies_from_the_next_outage)
{
    UpstreamListing_t *listing = begin();
    UpstreamListing_setTimes(listing, POLL_MS, 0);
    answer(1, "a", "m");
    receive_record(listing, "a", NULL, 1);
    ck_assert_uint_eq(serving("m"), 0);
    end(listing);
}
END_TEST

static Upstream_t *
find_upstream(const char *name)
{
    return UpstreamSet_find(upstreams, name);
}

/* An upstream that crashed and restarted with the same name and address was
 * assumed to retain its memory, stayed ejected, and the results of its orders
 * were ignored, as only its name identified it. Its entry's incarnation now
 * distinguishes the starts. */
START_TEST(a_restarted_upstream_loses_the_state_of_its_former_incarnation)
{
    UpstreamListing_t *listing = begin();
    answer(1, "a", "m:100");
    Upstream_t *upstream = find_upstream("a");
    MemoryMark_t mark = EngineMemory_mark(&upstream->memory);
    upstream->leaving = TRUE;
    upstream->replaced = TRUE;
    upstream->wait_us = 50000;
    Upstream_noteUnloading(upstream, 60000, Clock_nowMs());
    Upstream_noteFailure(upstream, 1, 60000, Clock_nowMs());
    ck_assert(!Upstream_isUsable(upstream, Clock_nowMs()));
    ck_assert(EngineMemory_retains(&upstream->memory, &mark, 1000, 0));
    answer(2, "a", "m:200");
    ck_assert_ptr_eq(find_upstream("a"), upstream);
    ck_assert_uint_eq(upstream->incarnation, 200);
    ck_assert(Upstream_isUsable(upstream, Clock_nowMs()));
    ck_assert(!upstream->replaced);
    ck_assert_int_eq(Upstream_waitUs(upstream, Clock_nowMs()), 0);
    ck_assert_int_eq(Upstream_unloadingMs(upstream, Clock_nowMs()), 0);
    ck_assert(!EngineMemory_retains(&upstream->memory, &mark, 1000, 0));
    end(listing);
}
END_TEST

START_TEST(an_older_incarnation_does_not_end_leaving)
{
    UpstreamListing_t *listing = begin();
    answer(1, "a", "m:200");
    Upstream_noteLeaving(find_upstream("a"), 200, 0);
    answer(2, "a", "m:100");
    answer(3, "a", "m:200");
    ck_assert_uint_eq(find_upstream("a")->incarnation, 200);
    ck_assert(find_upstream("a")->leaving);
    end(listing);
}
END_TEST

START_TEST(an_unreadable_entry_removes_only_its_own_upstream)
{
    UpstreamListing_t *listing = begin();
    answer(1, "a", "m");
    answer(2, "b", "!");
    ck_assert_uint_eq(serving("m"), 1);
    ck_assert_ptr_null(find_upstream("b"));
    answer(3, "b", "!");
    ck_assert_uint_eq(decoded, 2);
    answer(4, "b", "m");
    ck_assert_uint_eq(serving("m"), 2);
    answer(5, "a", "!");
    ck_assert_uint_eq(serving("m"), 1);
    ck_assert_ptr_nonnull(find_upstream("b"));
    answer(6, "a", "m");
    ck_assert_uint_eq(serving("m"), 2);
    end(listing);
}
END_TEST

/* A store restored from an older copy lists an upstream as it was before its
 * last start, at an address that another upstream may use by now. */
START_TEST(an_entry_of_a_former_incarnation_is_ignored)
{
    UpstreamListing_t *listing = begin();
    answer(0, "a", "t:200");
    answer(1, "a", "u:100");
    const Upstream_t *upstream = find_upstream("a");
    ck_assert_uint_eq(upstream->incarnation, 200);
    const GString *target = g_ptr_array_index(upstream->serves, 0);
    ck_assert_str_eq(target->str, "t");
    end(listing);
}
END_TEST

static void
check_listed_anew(gint64 after_ms, const char *expected)
{
    versions = SoftwareVersions_create();
    UpstreamListing_t *listing = begin();
    UpstreamListing_setTimes(listing, POLL_MS, RETURN_MS);
    answer(1, "u", "m");
    gint64 start_ms = Clock_nowMs();
    Clock_freeze((start_ms + RETURN_MS) * CLOCK_US_PER_MS);
    ck_assert_ptr_nonnull(
        SoftwareVersions_findOnly(versions, "m", RETURN_MS, Clock_nowMs()));
    answer(2, "u", "m");
    Clock_freeze((start_ms + RETURN_MS + after_ms) * CLOCK_US_PER_MS);
    FakeSource_fail(&source, WT_ERROR_TRUNCATED);
    answer(9, "u", "m:1");
    const char *only =
        SoftwareVersions_findOnly(versions, "m", RETURN_MS, Clock_nowMs());
    ck_assert_str_eq(only ? "known" : "unknown", expected);
    ck_assert_ptr_nonnull(
        SoftwareVersions_findSole(versions, "m", RETURN_MS, Clock_nowMs()));
    Clock_freeze(0);
    end(listing);
    SoftwareVersions_destroy(versions);
    versions = NULL;
}

/* A version that had come and gone while the router was away was overlooked.
 */
START_TEST(a_list_read_anew_after_long_does_not_show_a_single_version)
{
    check_listed_anew(MISSED_MS, "unknown");
}
END_TEST

START_TEST(a_list_read_anew_at_once_shows_a_single_version)
{
    check_listed_anew(1, "known");
}
END_TEST

/* Callers that wait at once would each read the list. */
START_TEST(the_end_of_the_list_is_read_once_for_callers_that_wait)
{
    UpstreamListing_t *listing = begin();
    UpstreamListing_setTimes(listing, RETURN_MS, RETURN_MS);
    answer(1, "u", "m");
    gint64 asked_ms = Clock_nowMs() + 1;
    Clock_freeze(asked_ms * CLOCK_US_PER_MS);
    ck_assert_int_lt(UpstreamListing_endMs(listing), asked_ms);
    UpstreamListing_checkEnd(listing);
    ck_assert_ptr_nonnull(source.done);
    ck_assert_int_lt(UpstreamListing_endMs(listing), asked_ms);
    answer(2, "v", "m");
    ck_assert_int_ge(UpstreamListing_endMs(listing), asked_ms);
    ck_assert_uint_eq(serving("m"), 2);
    UpstreamListing_checkEnd(listing);
    ck_assert_ptr_null(source.done);
    Clock_freeze((asked_ms + CHECK_INTERVAL_MS) * CLOCK_US_PER_MS);
    UpstreamListing_checkEnd(listing);
    ck_assert_ptr_nonnull(source.done);
    FakeSource_fail(&source, WT_ERROR_TIMEOUT);
    ck_assert_int_eq(UpstreamListing_endMs(listing), asked_ms);
    Clock_freeze(0);
    end(listing);
}
END_TEST

/* Begins with a service that had a single version. */
static UpstreamListing_t *
begin_with_version(void)
{
    versions = SoftwareVersions_create();
    SoftwareVersions_noteBefore(versions, "m", "", Clock_nowMs());
    SoftwareVersions_learn(versions);
    UpstreamListing_t *listing = begin();
    answer(1, "a", "m");
    return listing;
}

static gboolean
has_one_version(void)
{
    return SoftwareVersions_findOnly(versions, "m", WINDOW_MS,
                                     Clock_nowMs()) != NULL;
}

static void
end_with_version(UpstreamListing_t *listing)
{
    end(listing);
    SoftwareVersions_destroy(versions);
    versions = NULL;
}

/* A router that had been cut off took the version that it found for the only
 * one, as upstreams of another one had come and gone meanwhile. */
START_TEST(versions_that_came_and_went_unseen_make_a_service_unknown)
{
    UpstreamListing_t *listing = begin_with_version();
    ck_assert(has_one_version());
    g_usleep(OLD_MS * 1000);
    FakeSource_fail(&source, WT_ERROR_TRUNCATED);
    answer(1, "a", "m");
    ck_assert(!has_one_version());
    end_with_version(listing);
}
END_TEST

START_TEST(a_list_read_again_in_time_shows_all_versions)
{
    UpstreamListing_t *listing = begin_with_version();
    FakeSource_fail(&source, WT_ERROR_TRUNCATED);
    answer(1, "a", "m");
    ck_assert(has_one_version());
    end_with_version(listing);
}
END_TEST

START_TEST(a_removal_of_an_unseen_upstream_makes_services_unknown)
{
    UpstreamListing_t *listing = begin_with_version();
    receive_record(listing, "a", "m", 0);
    ck_assert(has_one_version());
    answer(3, "b", NULL);
    ck_assert(!has_one_version());
    end_with_version(listing);
}
END_TEST

TESTING_MAIN("UpstreamListing",
             versions_that_came_and_went_unseen_make_a_service_unknown,
             a_list_read_again_in_time_shows_all_versions,
             a_removal_of_an_unseen_upstream_makes_services_unknown,
             the_end_of_the_list_is_read_once_for_callers_that_wait,
             a_list_read_anew_after_long_does_not_show_a_single_version,
             a_list_read_anew_at_once_shows_a_single_version,
             a_restarted_upstream_loses_the_state_of_its_former_incarnation,
             an_older_incarnation_does_not_end_leaving,
             an_unreadable_entry_removes_only_its_own_upstream,
             a_long_list_does_not_rebuild_the_indexes_for_each_entry,
             a_new_upstream_gets_the_speed_of_another_of_its_target,
             the_speed_of_a_removed_or_changed_upstream_is_not_used,
             an_engine_belongs_to_the_region_of_its_hall,
             an_unchanged_entry_is_not_decoded_again,
             equal_entries_of_two_upstreams_are_both_decoded,
             an_upstream_listed_again_with_the_same_entry_serves,
             an_upstream_that_changed_its_target_is_found_for_the_new_one_only,
             entries_from_a_peer_are_applied, a_removal_from_a_peer_is_applied,
             a_removal_from_a_peer_after_an_outage_keeps_the_upstream,
             a_changed_grace_period_applies_from_the_next_outage,
             an_entry_of_a_former_incarnation_is_ignored)
