#include "testing.h"

#include <event2/event.h>
#include <string.h>

#include "Clock.h"
#include "Errors.h"
#include "FakeSource.h"
#include "PeerAge.h"
#include "UpstreamListing.h"

/* So short that a test need not wait for the next read. */
#define POLL_MS 1
/* So long that no test sees its end. */
#define RETURN_MS 600000
/* More than a message's transit, which adds to its age. */
#define TOLD_AFTER_US ((PEER_TRANSIT_MAX_MS + 10) * CLOCK_US_PER_MS)

/* Upstreams of a long list. */
#define MANY 500
/* Times that the set may be put in order for one target and one question. */
#define ORDERED_MOST 4

static FakeSource_t source;
static StoreEpoch_t *epoch;
static struct event_base *base;
static UpstreamSet_t *upstreams;
static HallRegions_t *regions;
static guint decoded;

/* An entry's value is the target that the upstream serves, and behind a colon
 * the number of its start; "!" names no upstream. Its target is also its hall.
 */
static gboolean
decode(GBytes *value, ListedUpstream_t *out, GError **error)
{
    decoded++;
    gsize length = 0;
    const char *text = g_bytes_get_data(value, &length);
    g_autofree char *copy = g_strndup(text, length);
    char *number = strchr(copy, ':');
    if (*copy == '!') {
        g_set_error(error, WT_ERROR, WT_ERROR_BAD_BODY, "no upstream");
        return FALSE;
    }
    if (number) {
        *number = '\0';
        out->incarnation = g_ascii_strtoull(number + 1, NULL, 10);
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
                                  .regions = regions};
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

/* Answers the next call with one record; @value is NULL for a removal. */
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
    return UpstreamSet_serving(upstreams, 0, target)->len;
}

/* Answers the next call with a list of so many new upstreams. */
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

/* Symptom: after all of 300 routers had started anew the first answer came
 * after many seconds, and each had used 2 s of processor time. Sequence: a
 * router starts and lists 3,000 upstreams. Cause: for each entry the speed of
 * another upstream of its service was asked for, by which the whole set was
 * put in order anew. Settled by remembering one upstream for each target. */
START_TEST(a_long_list_is_not_put_in_order_for_each_entry)
{
    UpstreamListing_t *listing = begin();
    answer_many(1, MANY, "m");
    ck_assert_uint_eq(serving("m"), MANY);
    ck_assert_uint_le(UpstreamSet_generation(upstreams), ORDERED_MOST);
    end(listing);
}
END_TEST

START_TEST(a_new_upstream_is_as_fast_as_another_of_its_target)
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

START_TEST(the_speed_of_one_that_left_or_changed_is_not_taken)
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
names(const char *one, const char *other)
{
    GPtrArray *found = g_ptr_array_new();
    g_ptr_array_add(found, g_string_new(one));
    g_ptr_array_add(found, g_string_new(other));
    return found;
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

/* The holders of the leases of two regions both gave orders to all engines:
 * each router took the engines of the other region for those of its own. */
START_TEST(an_engine_belongs_to_the_region_of_its_hall)
{
    GPtrArray *halls = names("north-a", "south-a");
    GPtrArray *of_halls = names("north", "south");
    regions = HallRegions_create(halls, of_halls, "north");
    UpstreamListing_t *listing = begin();
    answer(1, "a", "north-a");
    answer(2, "b", "south-a");
    answer(3, "c", "unknown-a");
    ck_assert_str_eq(region_of("a"), "north");
    ck_assert_str_eq(region_of("b"), "south");
    ck_assert_str_eq(region_of("c"), "");
    free_names(halls);
    free_names(of_halls);
    end(listing);
}
END_TEST

START_TEST(an_entry_that_says_the_same_is_not_read_again)
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

START_TEST(entries_are_known_by_their_own_names)
{
    UpstreamListing_t *listing = begin();
    answer(1, "a", "m");
    answer(2, "b", "m");
    ck_assert_uint_eq(decoded, 2);
    ck_assert_uint_eq(serving("m"), 2);
    end(listing);
}
END_TEST

START_TEST(an_upstream_that_comes_back_with_the_same_entry_serves)
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

START_TEST(an_upstream_that_serves_another_target_is_found_for_that_only)
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

/* A peer tells of one record after the one at offset 1. */
static void
tell(UpstreamListing_t *listing, const char *key, const char *value,
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
    g_usleep(TOLD_AFTER_US);
    UpstreamListing_take(listing, NULL, &part);
}

START_TEST(entries_that_a_peer_has_read_are_taken)
{
    UpstreamListing_t *listing = begin();
    answer(1, "a", "m");
    tell(listing, "b", "m", 0);
    ck_assert_uint_eq(serving("m"), 2);
    end(listing);
}
END_TEST

START_TEST(a_removal_that_a_peer_has_read_is_taken)
{
    UpstreamListing_t *listing = begin();
    answer(1, "a", "m");
    tell(listing, "a", NULL, 0);
    ck_assert_uint_eq(serving("m"), 0);
    end(listing);
}
END_TEST

START_TEST(an_entry_that_lapsed_in_an_outage_may_come_back_also_by_a_peer)
{
    UpstreamListing_t *listing = begin();
    answer(1, "a", "m");
    tell(listing, "a", NULL, 1);
    ck_assert_uint_eq(serving("m"), 1);
    end(listing);
}
END_TEST

/* The same outage, after the setting was lowered to nothing. */
START_TEST(another_time_for_the_return_counts_from_the_next_outage)
{
    UpstreamListing_t *listing = begin();
    UpstreamListing_setTimes(listing, POLL_MS, 0);
    answer(1, "a", "m");
    tell(listing, "a", NULL, 1);
    ck_assert_uint_eq(serving("m"), 0);
    end(listing);
}
END_TEST

static Upstream_t *
upstream_of(const char *name)
{
    return UpstreamSet_find(upstreams, name);
}

/*
 * Symptom: an upstream that had started again under its name was taken to hold
 * what it had held before, stayed ejected, and its orders were not believed.
 * Sequence: it crashes and comes back with the same name and address. Cause:
 * the name alone told one start from another. Settled by the number of its
 * start, which its entry tells.
 */
START_TEST(an_upstream_that_starts_again_holds_nothing_of_before)
{
    UpstreamListing_t *listing = begin();
    answer(1, "a", "m:100");
    Upstream_t *upstream = upstream_of("a");
    MemoryMark_t mark = EngineMemory_mark(&upstream->memory);
    upstream->leaving = TRUE;
    upstream->replaced = TRUE;
    upstream->wait_us = 50000;
    Upstream_noteUnloading(upstream, 60000, Clock_nowMs());
    Upstream_noteFailure(upstream, 1, 60000, Clock_nowMs());
    ck_assert(!Upstream_isUsable(upstream, Clock_nowMs()));
    ck_assert(EngineMemory_retains(&upstream->memory, &mark, 1000, 0));
    answer(2, "a", "m:200");
    ck_assert_ptr_eq(upstream_of("a"), upstream);
    ck_assert_uint_eq(upstream->incarnation, 200);
    ck_assert(Upstream_isUsable(upstream, Clock_nowMs()));
    ck_assert(!upstream->replaced);
    ck_assert_int_eq(Upstream_waitUs(upstream, Clock_nowMs()), 0);
    ck_assert_int_eq(Upstream_unloadingMs(upstream, Clock_nowMs()), 0);
    ck_assert(!EngineMemory_retains(&upstream->memory, &mark, 1000, 0));
    end(listing);
}
END_TEST

START_TEST(an_older_start_changes_nothing)
{
    UpstreamListing_t *listing = begin();
    answer(1, "a", "m:200");
    Upstream_noteLeaving(upstream_of("a"), 200, 0);
    answer(2, "a", "m:100");
    answer(3, "a", "m:200");
    ck_assert_uint_eq(upstream_of("a")->incarnation, 200);
    ck_assert(upstream_of("a")->leaving);
    end(listing);
}
END_TEST

START_TEST(an_entry_that_names_no_upstream_leaves_the_others)
{
    UpstreamListing_t *listing = begin();
    answer(1, "a", "m");
    answer(2, "b", "!");
    ck_assert_uint_eq(serving("m"), 1);
    ck_assert_ptr_null(upstream_of("b"));
    answer(3, "b", "!");
    ck_assert_uint_eq(decoded, 2);
    answer(4, "b", "m");
    ck_assert_uint_eq(serving("m"), 2);
    answer(5, "a", "!");
    ck_assert_uint_eq(serving("m"), 1);
    ck_assert_ptr_nonnull(upstream_of("b"));
    answer(6, "a", "m");
    ck_assert_uint_eq(serving("m"), 2);
    end(listing);
}
END_TEST

/* A store that has come back older lists an upstream as it was before its last
 * start: at its former address, which may be another one's by now. */
START_TEST(an_entry_of_a_former_start_changes_nothing)
{
    UpstreamListing_t *listing = begin();
    answer(0, "a", "t:200");
    answer(1, "a", "u:100");
    const Upstream_t *upstream = upstream_of("a");
    ck_assert_uint_eq(upstream->incarnation, 200);
    const GString *target = g_ptr_array_index(upstream->serves, 0);
    ck_assert_str_eq(target->str, "t");
    end(listing);
}
END_TEST

TESTING_MAIN("UpstreamListing",
             an_upstream_that_starts_again_holds_nothing_of_before,
             an_older_start_changes_nothing,
             an_entry_that_names_no_upstream_leaves_the_others,
             a_long_list_is_not_put_in_order_for_each_entry,
             a_new_upstream_is_as_fast_as_another_of_its_target,
             the_speed_of_one_that_left_or_changed_is_not_taken,
             an_engine_belongs_to_the_region_of_its_hall,
             an_entry_that_says_the_same_is_not_read_again,
             entries_are_known_by_their_own_names,
             an_upstream_that_comes_back_with_the_same_entry_serves,
             an_upstream_that_serves_another_target_is_found_for_that_only,
             entries_that_a_peer_has_read_are_taken,
             a_removal_that_a_peer_has_read_is_taken,
             an_entry_that_lapsed_in_an_outage_may_come_back_also_by_a_peer,
             another_time_for_the_return_counts_from_the_next_outage,
             an_entry_of_a_former_start_changes_nothing)
