#include "testing.h"

#include <event2/event.h>
#include <string.h>

#include "Clock.h"
#include "Errors.h"
#include "FakeSource.h"
#include "RecordFollower.h"

/* Beyond any that a test waits for. */
#define LONG_PAUSE_MS 3600000

typedef struct {
    GString *told;
    guint64 current;
    gint64 current_at_ms;
    guint64 last_offset;
    guint lost;
    guint regained;
} Seen_t;

static FakeSource_t source;
static Seen_t seen;
static struct event_base *base;

static void
on_record(void *owner, const KeyedRecord_t *record)
{
    (void)owner;
    seen.last_offset = record->position.offset;
    g_string_append_printf(seen.told, "%s%s ", record->key->str,
                           record->value ? "" : "-");
}

static void
on_current(void *owner, StorePosition_t end, gint64 at_ms)
{
    (void)owner;
    seen.current = end.offset;
    seen.current_at_ms = at_ms;
}

static void
on_lost(void *owner, const GError *error)
{
    (void)owner;
    (void)error;
    seen.lost++;
}

static void
on_regained(void *owner)
{
    (void)owner;
    seen.regained++;
}

static const RecordFollowerEvents_t events = {on_record, on_current, on_lost,
                                              on_regained};

static RecordFollower_t *
begin(void)
{
    memset(&seen, 0, sizeof(seen));
    seen.told = g_string_new(NULL);
    base = event_base_new();
    FakeSource_init(&source, base);
    RecordFollowerSpec_t spec = {.source = &source.super, .topic = "t"};
    return RecordFollower_create(base, &spec, &events, NULL);
}

static void
end(RecordFollower_t *follower)
{
    RecordFollower_destroy(follower);
    event_base_free(base);
    g_string_free(seen.told, TRUE);
}

/* Records as "key:offset", or "key-:offset" for a removal. */
static KeyedPage_t
make_page(guint64 page_end, gboolean more, const char *text)
{
    KeyedPage_t page = FakePage_make(page_end, more);
    g_auto(GStrv) words = g_strsplit(text, " ", -1);
    for (guint i = 0; words[i] && *words[i]; i++) {
        const char *colon = strchr(words[i], ':');
        gboolean removed = colon[-1] == '-';
        gssize length = colon - words[i] - (removed ? 1 : 0);
        g_autofree char *key = g_strndup(words[i], (gsize)length);
        FakePage_add(&page, key, removed ? NULL : "v",
                     g_ascii_strtoull(colon + 1, NULL, 10));
    }
    return page;
}

static void
answer(guint64 page_end, gboolean more, const char *text)
{
    KeyedPage_t page = make_page(page_end, more, text);
    FakeSource_answer(&source, &page);
}

START_TEST(it_lists_and_reads_on_from_the_first_page)
{
    RecordFollower_t *follower = begin();
    answer(10, TRUE, "a:3");
    answer(14, FALSE, "b:12");
    FakeSource_await(&source);
    ck_assert_uint_eq(source.read_from, 10);
    answer(14, FALSE, "c:10 b:11 b:12 a-:13");
    ck_assert_str_eq(seen.told->str, "a b c a- ");
    ck_assert_uint_eq(seen.current, 14);
    end(follower);
}
END_TEST

START_TEST(not_current_before_the_end_is_read)
{
    RecordFollower_t *follower = begin();
    answer(10, FALSE, "a:3");
    ck_assert_uint_eq(seen.current, 10);
    answer(20, FALSE, "a:10 a:11");
    ck_assert_uint_eq(seen.current, 10);
    FakeSource_await(&source);
    ck_assert_uint_eq(source.read_from, 12);
    end(follower);
}
END_TEST

START_TEST(expired_records_are_listed_anew_and_removals_told)
{
    RecordFollower_t *follower = begin();
    answer(10, FALSE, "a:3 b:4");
    FakeSource_fail(&source, WT_ERROR_TRUNCATED);
    ck_assert_uint_eq(RecordFollower_position(follower).offset, 0);
    answer(90, FALSE, "b:4 c:80");
    ck_assert_str_eq(seen.told->str, "a b c a- ");
    ck_assert_uint_eq(RecordFollower_position(follower).offset, 90);
    ck_assert_uint_eq(seen.lost, 0);
    end(follower);
}
END_TEST

START_TEST(an_outage_is_told_once_and_its_end)
{
    RecordFollower_t *follower = begin();
    answer(10, FALSE, "");
    FakeSource_fail(&source, WT_ERROR_CONNECT);
    FakeSource_fail(&source, WT_ERROR_REFUSED);
    ck_assert(RecordFollower_isLost(follower));
    ck_assert_uint_eq(seen.lost, 1);
    answer(10, FALSE, "");
    ck_assert(!RecordFollower_isLost(follower));
    ck_assert_uint_eq(seen.regained, 1);
    end(follower);
}
END_TEST

/* From the beginning of the list; all of it is one page. */
static gboolean
feed_list(RecordFollower_t *follower, guint64 page_end, const char *text)
{
    ListPlace_t place = {.after = ""};
    ListPart_t part = {.page = make_page(page_end, FALSE, text),
                       .reached = "z"};
    gboolean taken =
        RecordFollower_feedList(follower, &place, &part, Clock_nowMs());
    g_ptr_array_unref(part.page.records);
    return taken;
}

/* Requests reached an upstream that had left 15 s before: a router that listed
 * anew took the list of a peer that had been cut off since. */
START_TEST(a_peers_list_of_before_brings_nothing_back)
{
    RecordFollower_t *follower = begin();
    answer(10, FALSE, "a:3 b:4");
    answer(12, FALSE, "a-:11");
    FakeSource_fail(&source, WT_ERROR_TRUNCATED);
    ck_assert(!feed_list(follower, 11, "a:3 b:4"));
    ck_assert(RecordFollower_isListing(follower));
    ck_assert(feed_list(follower, 12, "b:4 c:11"));
    ck_assert_str_eq(seen.told->str, "a b a- c ");
    end(follower);
}
END_TEST

START_TEST(a_peers_list_from_before_the_first_page_is_not_taken)
{
    RecordFollower_t *follower = begin();
    answer(10, TRUE, "a:3");
    ck_assert(!feed_list(follower, 9, "a:3 b:4"));
    ck_assert(feed_list(follower, 10, "a:3 b:4"));
    end(follower);
}
END_TEST

static gboolean
feed(RecordFollower_t *follower, guint64 from, guint64 page_end,
     const char *text, gint64 at_ms)
{
    KeyedPage_t page = make_page(page_end, FALSE, text);
    gboolean taken = RecordFollower_feed(follower, from, &page, at_ms);
    g_ptr_array_unref(page.records);
    return taken;
}

START_TEST(what_a_peer_has_read_is_not_read_again)
{
    RecordFollower_t *follower = begin();
    ck_assert(!feed(follower, 0, 10, "a:3", Clock_nowMs() + 1000));
    answer(10, FALSE, "a:3");
    gint64 at_ms = Clock_nowMs() + 1000;
    ck_assert(feed(follower, 9, 20, "a:9 b:12 a-:13", at_ms));
    ck_assert_str_eq(seen.told->str, "a b a- ");
    ck_assert_uint_eq(seen.current, 20);
    ck_assert_int_eq(seen.current_at_ms, at_ms);
    FakeSource_await(&source);
    ck_assert_uint_eq(source.read_from, 20);
    end(follower);
}
END_TEST

START_TEST(a_peer_is_not_taken_where_records_are_missing)
{
    RecordFollower_t *follower = begin();
    answer(10, FALSE, "a:3");
    ck_assert(!feed(follower, 11, 20, "b:12", Clock_nowMs() + 1000));
    ck_assert(!feed(follower, 2, 9, "b:8", Clock_nowMs() + 1000));
    ck_assert_uint_eq(RecordFollower_position(follower).offset, 10);
    ck_assert_str_eq(seen.told->str, "a ");
    end(follower);
}
END_TEST

START_TEST(what_is_missing_before_a_peers_records_is_read_at_once)
{
    RecordFollower_t *follower = begin();
    answer(10, FALSE, "a:3");
    FakeSource_await(&source);
    answer(10, FALSE, "");
    RecordFollower_setReads(follower, 0, LONG_PAUSE_MS, 0);
    ck_assert(feed(follower, 10, 11, "b:10", Clock_nowMs() + 1000));
    source.read_from = 0;
    ck_assert(!feed(follower, 12, 20, "d:19", Clock_nowMs() + 2000));
    FakeSource_await(&source);
    ck_assert_uint_eq(source.read_from, 11);
    answer(20, FALSE, "c:11 d:19");
    ck_assert_str_eq(seen.told->str, "a b c d ");
    end(follower);
}
END_TEST

START_TEST(what_a_peer_read_after_a_failure_ends_the_outage)
{
    RecordFollower_t *follower = begin();
    answer(10, FALSE, "a:3");
    FakeSource_fail(&source, WT_ERROR_CONNECT);
    ck_assert(RecordFollower_isLost(follower));
    ck_assert(feed(follower, 10, 11, "a-:10", Clock_nowMs() + 1000));
    ck_assert(!RecordFollower_isLost(follower));
    ck_assert_uint_eq(seen.regained, 0);
    end(follower);
}
END_TEST

START_TEST(a_peer_that_knew_it_earlier_is_not_taken)
{
    RecordFollower_t *follower = begin();
    answer(10, FALSE, "a:3");
    gint64 known_ms = seen.current_at_ms;
    ck_assert(!feed(follower, 10, 10, "", known_ms));
    ck_assert(feed(follower, 10, 10, "", known_ms + 1000));
    ck_assert(!feed(follower, 10, 10, "", known_ms + 500));
    ck_assert_int_eq(seen.current_at_ms, known_ms + 1000);
    end(follower);
}
END_TEST

START_TEST(the_same_end_by_another_way_is_no_news)
{
    RecordFollower_t *follower = begin();
    answer(10, FALSE, "a:3");
    gint64 at_ms = seen.current_at_ms + 1000;
    ck_assert(feed(follower, 10, 20, "b:12", at_ms));
    ck_assert(!feed(follower, 10, 20, "b:12", at_ms + 1));
    ck_assert(!feed(follower, 10, 20, "b:12", at_ms + 199));
    ck_assert(feed(follower, 10, 20, "b:12", at_ms + 200));
    ck_assert_str_eq(seen.told->str, "a b ");
    end(follower);
}
END_TEST

START_TEST(an_answer_that_is_older_than_a_peers_word_changes_nothing)
{
    RecordFollower_t *follower = begin();
    answer(10, FALSE, "a:3");
    FakeSource_await(&source);
    gint64 at_ms = Clock_nowMs() + 1000;
    ck_assert(feed(follower, 10, 20, "a-:15", at_ms));
    answer(12, FALSE, "a:10 a:11");
    ck_assert_str_eq(seen.told->str, "a a- ");
    ck_assert_uint_eq(RecordFollower_position(follower).offset, 20);
    ck_assert_int_eq(seen.current_at_ms, at_ms);
    end(follower);
}
END_TEST

START_TEST(a_removal_found_by_a_list_is_newer_than_what_peers_know)
{
    RecordFollower_t *follower = begin();
    answer(10, FALSE, "a:3 b:4");
    FakeSource_fail(&source, WT_ERROR_TRUNCATED);
    answer(90, FALSE, "b:4");
    ck_assert_str_eq(seen.told->str, "a b a- ");
    ck_assert_uint_ge(seen.last_offset, 90);
    end(follower);
}
END_TEST

/* One that has read the records and is in a long pause. */
static RecordFollower_t *
begin_pausing(const char *records)
{
    RecordFollower_t *follower = begin();
    answer(10, FALSE, records);
    FakeSource_await(&source);
    answer(10, FALSE, "");
    RecordFollower_setReads(follower, 0, LONG_PAUSE_MS, 0);
    answer(10, FALSE, "");
    return follower;
}

/* Symptom: an accepted configuration was in force 5.8 s after its acceptance,
 * and requests were refused for old state in the seconds before.
 * Sequence: the routers that read for all are cut off from the store, it
 * compacts its topic, the others ask it by themselves.
 * Cause: the answer that the asked offset has expired was counted as no
 * answer, and a router that does not read for all waits for its long pause.
 * Settled by: such an answer begins a new list at once. */
START_TEST(an_asked_offset_that_has_expired_is_listed_anew_at_once)
{
    RecordFollower_t *follower = begin_pausing("a:3 b:4");
    RecordFollower_ask(follower, STORE_UNTOLD);
    FakeSource_fail(&source, WT_ERROR_TRUNCATED);
    answer(90, FALSE, "b:4 c:80");
    ck_assert_str_eq(seen.told->str, "a b c a- ");
    ck_assert_uint_eq(RecordFollower_position(follower).offset, 90);
    ck_assert_uint_eq(RecordFollower_unanswered(follower), 0);
    ck_assert_uint_eq(seen.lost, 0);
    end(follower);
}
END_TEST

START_TEST(a_list_under_way_is_not_begun_again_by_what_was_asked)
{
    RecordFollower_t *follower = begin_pausing("a:3");
    RecordFollower_ask(follower, STORE_UNTOLD);
    FakeSource_fail(&source, WT_ERROR_TRUNCATED);
    RecordFollower_ask(follower, STORE_UNTOLD);
    answer(90, TRUE, "c:80");
    answer(90, FALSE, "d:81");
    ck_assert_str_eq(seen.told->str, "a c d a- ");
    end(follower);
}
END_TEST

/* What the store has after it came back from an older copy. */
static void
answer_of_next_epoch(guint64 page_end, const char *text)
{
    KeyedPage_t page = make_page(page_end, FALSE, text);
    page.end.epoch = 1;
    for (guint i = 0; i < page.records->len; i++) {
        KeyedRecord_t *record = g_ptr_array_index(page.records, i);
        record->position.epoch = 1;
    }
    FakeSource_answer(&source, &page);
}

/* Routers kept a configuration for seconds after a newer one had been
 * acknowledged: the store had come back older and given offsets out again, and
 * all records below the offset known of a key were dropped as older. The newer
 * ones had offsets 3 to 6 where 6 was known. */
START_TEST(records_of_a_later_epoch_are_newer_whatever_their_offsets)
{
    RecordFollower_t *follower = begin();
    answer(10, FALSE, "a:3 b:9");
    FakeSource_await(&source);
    RecordFollower_beginEpoch(follower, 0);
    source.done = NULL; /* that call's answer counts no more */
    answer_of_next_epoch(5, "b:4");
    ck_assert_str_eq(seen.told->str, "a b b a- ");
    FakeSource_await(&source);
    ck_assert_uint_eq(source.read_from, 5);
    answer_of_next_epoch(6, "b:5");
    ck_assert_str_eq(seen.told->str, "a b b a- b ");
    ck_assert_uint_eq(seen.current, 6);
    end(follower);
}
END_TEST

START_TEST(what_was_asked_before_a_return_is_not_taken_after_it)
{
    RecordFollower_t *follower = begin();
    answer(10, FALSE, "a:3");
    FakeSource_await(&source);
    KeyedDone_t done = source.done;
    void *data = source.data;
    RecordFollower_beginEpoch(follower, 0);
    source.done = NULL;
    FakeSource_await(&source);
    KeyedPage_t late = make_page(11, FALSE, "a:10");
    done(&late, NULL, data);
    g_ptr_array_unref(late.records);
    ck_assert_str_eq(seen.told->str, "a ");
    answer_of_next_epoch(5, "a:4");
    ck_assert_str_eq(seen.told->str, "a a ");
    ck_assert_uint_eq(RecordFollower_position(follower).epoch, 1);
    end(follower);
}
END_TEST

START_TEST(what_a_peer_tells_of_another_epoch_is_not_taken)
{
    RecordFollower_t *follower = begin();
    answer(10, FALSE, "a:3");
    RecordFollower_beginEpoch(follower, 0);
    source.done = NULL;
    answer_of_next_epoch(5, "a:4");
    ck_assert(!feed(follower, 5, 20, "b:12", Clock_nowMs() + 1000));
    ck_assert_uint_eq(RecordFollower_position(follower).offset, 5);
    ck_assert_str_eq(seen.told->str, "a a ");
    end(follower);
}
END_TEST

TESTING_MAIN("RecordFollower", it_lists_and_reads_on_from_the_first_page,
             a_peers_list_of_before_brings_nothing_back,
             a_peers_list_from_before_the_first_page_is_not_taken,
             not_current_before_the_end_is_read,
             expired_records_are_listed_anew_and_removals_told,
             an_outage_is_told_once_and_its_end,
             what_a_peer_has_read_is_not_read_again,
             a_peer_is_not_taken_where_records_are_missing,
             what_is_missing_before_a_peers_records_is_read_at_once,
             what_a_peer_read_after_a_failure_ends_the_outage,
             a_peer_that_knew_it_earlier_is_not_taken,
             the_same_end_by_another_way_is_no_news,
             an_answer_that_is_older_than_a_peers_word_changes_nothing,
             a_removal_found_by_a_list_is_newer_than_what_peers_know,
             an_asked_offset_that_has_expired_is_listed_anew_at_once,
             a_list_under_way_is_not_begun_again_by_what_was_asked,
             records_of_a_later_epoch_are_newer_whatever_their_offsets,
             what_was_asked_before_a_return_is_not_taken_after_it,
             what_a_peer_tells_of_another_epoch_is_not_taken)
