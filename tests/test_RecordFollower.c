#include "testing.h"

#include <event2/event.h>
#include <string.h>

#include "Clock.h"
#include "Errors.h"
#include "FakeSource.h"
#include "RecordFollower.h"

/* Longer than any test runs. */
#define LONG_PAUSE_MS 3600000

typedef struct {
    GString *reported;
    guint64 current;
    gint64 current_at_ms;
    guint64 last_offset;
    guint lost;
    guint restored;
} Seen_t;

static FakeSource_t source;
static Seen_t seen;
static struct event_base *base;

static void
on_record(void *owner, const KeyedRecord_t *record)
{
    (void)owner;
    seen.last_offset = record->position.offset;
    g_string_append_printf(seen.reported, "%s%s ", record->key->str,
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
    seen.restored++;
}

static const RecordFollowerEvents_t events = {on_record, on_current, on_lost,
                                              on_regained};

static RecordFollower_t *
setup(void)
{
    memset(&seen, 0, sizeof(seen));
    seen.reported = g_string_new(NULL);
    base = event_base_new();
    FakeSource_init(&source, base);
    RecordFollowerSpec_t spec = {.source = &source.super, .topic = "t"};
    return RecordFollower_create(base, &spec, &events, NULL);
}

static void
teardown(RecordFollower_t *follower)
{
    RecordFollower_destroy(follower);
    event_base_free(base);
    g_string_free(seen.reported, TRUE);
}

/* Records as "key:offset", or "key-:offset" for a removal. */
static KeyedPage_t
make_page(guint64 page_end, gboolean more, const char *text)
{
    KeyedPage_t page = FakePage_make(page_end, more);
    g_auto(GStrv) entries = g_strsplit(text, " ", -1);
    for (guint i = 0; entries[i] && *entries[i]; i++) {
        const char *colon = strchr(entries[i], ':');
        gboolean removed = colon[-1] == '-';
        gssize length = colon - entries[i] - (removed ? 1 : 0);
        g_autofree char *key = g_strndup(entries[i], (gsize)length);
        FakePage_add(&page, key, removed ? NULL : "v",
                     g_ascii_strtoull(colon + 1, NULL, 10));
    }
    return page;
}

static void
answer_call(guint64 page_end, gboolean more, const char *text)
{
    KeyedPage_t page = make_page(page_end, more, text);
    FakeSource_answer(&source, &page);
}

START_TEST(reads_on_from_the_end_at_the_first_list_page)
{
    RecordFollower_t *follower = setup();
    answer_call(10, TRUE, "a:3");
    answer_call(14, FALSE, "b:12");
    FakeSource_await(&source);
    ck_assert_uint_eq(source.read_from, 10);
    answer_call(14, FALSE, "c:10 b:11 b:12 a-:13");
    ck_assert_str_eq(seen.reported->str, "a b c a- ");
    ck_assert_uint_eq(seen.current, 14);
    teardown(follower);
}
END_TEST

START_TEST(not_current_before_the_end_is_read)
{
    RecordFollower_t *follower = setup();
    answer_call(10, FALSE, "a:3");
    ck_assert_uint_eq(seen.current, 10);
    answer_call(20, FALSE, "a:10 a:11");
    ck_assert_uint_eq(seen.current, 10);
    FakeSource_await(&source);
    ck_assert_uint_eq(source.read_from, 12);
    teardown(follower);
}
END_TEST

START_TEST(expired_records_are_listed_again_and_removals_reported)
{
    RecordFollower_t *follower = setup();
    answer_call(10, FALSE, "a:3 b:4");
    FakeSource_fail(&source, WT_ERROR_TRUNCATED);
    ck_assert_uint_eq(RecordFollower_position(follower).offset, 0);
    answer_call(90, FALSE, "b:4 c:80");
    ck_assert_str_eq(seen.reported->str, "a b c a- ");
    ck_assert_uint_eq(RecordFollower_position(follower).offset, 90);
    ck_assert_uint_eq(seen.lost, 0);
    teardown(follower);
}
END_TEST

START_TEST(outage_and_its_end_are_reported_once)
{
    RecordFollower_t *follower = setup();
    answer_call(10, FALSE, "");
    FakeSource_fail(&source, WT_ERROR_CONNECT);
    FakeSource_fail(&source, WT_ERROR_REFUSED);
    ck_assert(RecordFollower_isLost(follower));
    ck_assert_uint_eq(seen.lost, 1);
    answer_call(10, FALSE, "");
    ck_assert(!RecordFollower_isLost(follower));
    ck_assert_uint_eq(seen.restored, 1);
    teardown(follower);
}
END_TEST

/* Applies a peer's list that has one page. */
static gboolean
apply_list(RecordFollower_t *follower, guint64 page_end, const char *text)
{
    ListCursor_t place = {.after = ""};
    ListPage_t list_page = {.page = make_page(page_end, FALSE, text),
                            .reached = "z"};
    gboolean applied = RecordFollower_applyPeerListPage(
        follower, &place, &list_page, Clock_nowMs());
    g_ptr_array_unref(list_page.page.records);
    return applied;
}

/* Requests reached an upstream 15 s after it had left: a router that listed
 * again applied the list of a peer that had been cut off before the upstream
 * left. */
START_TEST(outdated_list_of_a_peer_restores_no_removed_key)
{
    RecordFollower_t *follower = setup();
    answer_call(10, FALSE, "a:3 b:4");
    answer_call(12, FALSE, "a-:11");
    FakeSource_fail(&source, WT_ERROR_TRUNCATED);
    ck_assert(!apply_list(follower, 11, "a:3 b:4"));
    ck_assert(RecordFollower_isListing(follower));
    ck_assert(apply_list(follower, 12, "b:4 c:11"));
    ck_assert_str_eq(seen.reported->str, "a b a- c ");
    teardown(follower);
}
END_TEST

START_TEST(peer_list_older_than_the_first_page_is_not_applied)
{
    RecordFollower_t *follower = setup();
    answer_call(10, TRUE, "a:3");
    ck_assert(!apply_list(follower, 9, "a:3 b:4"));
    ck_assert(apply_list(follower, 10, "a:3 b:4"));
    teardown(follower);
}
END_TEST

static gboolean
apply_records(RecordFollower_t *follower, guint64 from, guint64 page_end,
              const char *text, gint64 at_ms)
{
    KeyedPage_t page = make_page(page_end, FALSE, text);
    gboolean applied =
        RecordFollower_applyPeerRecords(follower, from, &page, at_ms);
    g_ptr_array_unref(page.records);
    return applied;
}

START_TEST(records_from_a_peer_are_not_read_again)
{
    RecordFollower_t *follower = setup();
    ck_assert(!apply_records(follower, 0, 10, "a:3", Clock_nowMs() + 1000));
    answer_call(10, FALSE, "a:3");
    gint64 at_ms = Clock_nowMs() + 1000;
    ck_assert(apply_records(follower, 9, 20, "a:9 b:12 a-:13", at_ms));
    ck_assert_str_eq(seen.reported->str, "a b a- ");
    ck_assert_uint_eq(seen.current, 20);
    ck_assert_int_eq(seen.current_at_ms, at_ms);
    FakeSource_await(&source);
    ck_assert_uint_eq(source.read_from, 20);
    teardown(follower);
}
END_TEST

START_TEST(peer_records_after_a_gap_are_not_applied)
{
    RecordFollower_t *follower = setup();
    answer_call(10, FALSE, "a:3");
    ck_assert(!apply_records(follower, 11, 20, "b:12", Clock_nowMs() + 1000));
    ck_assert(!apply_records(follower, 2, 9, "b:8", Clock_nowMs() + 1000));
    ck_assert_uint_eq(RecordFollower_position(follower).offset, 10);
    ck_assert_str_eq(seen.reported->str, "a ");
    teardown(follower);
}
END_TEST

START_TEST(gap_before_peer_records_is_read_at_once)
{
    RecordFollower_t *follower = setup();
    answer_call(10, FALSE, "a:3");
    FakeSource_await(&source);
    answer_call(10, FALSE, "");
    RecordFollower_setReadTiming(follower, 0, LONG_PAUSE_MS, 0);
    ck_assert(apply_records(follower, 10, 11, "b:10", Clock_nowMs() + 1000));
    source.read_from = 0;
    ck_assert(!apply_records(follower, 12, 20, "d:19", Clock_nowMs() + 2000));
    FakeSource_await(&source);
    ck_assert_uint_eq(source.read_from, 11);
    answer_call(20, FALSE, "c:11 d:19");
    ck_assert_str_eq(seen.reported->str, "a b c d ");
    teardown(follower);
}
END_TEST

START_TEST(peer_records_read_after_a_failure_end_the_outage)
{
    RecordFollower_t *follower = setup();
    answer_call(10, FALSE, "a:3");
    FakeSource_fail(&source, WT_ERROR_CONNECT);
    ck_assert(RecordFollower_isLost(follower));
    ck_assert(apply_records(follower, 10, 11, "a-:10", Clock_nowMs() + 1000));
    ck_assert(!RecordFollower_isLost(follower));
    ck_assert_uint_eq(seen.restored, 0);
    teardown(follower);
}
END_TEST

START_TEST(older_time_of_the_same_end_is_not_applied)
{
    RecordFollower_t *follower = setup();
    answer_call(10, FALSE, "a:3");
    gint64 known_ms = seen.current_at_ms;
    ck_assert(!apply_records(follower, 10, 10, "", known_ms));
    ck_assert(apply_records(follower, 10, 10, "", known_ms + 1000));
    ck_assert(!apply_records(follower, 10, 10, "", known_ms + 500));
    ck_assert_int_eq(seen.current_at_ms, known_ms + 1000);
    teardown(follower);
}
END_TEST

START_TEST(same_end_by_another_path_is_not_applied)
{
    RecordFollower_t *follower = setup();
    answer_call(10, FALSE, "a:3");
    gint64 at_ms = seen.current_at_ms + 1000;
    ck_assert(apply_records(follower, 10, 20, "b:12", at_ms));
    ck_assert(!apply_records(follower, 10, 20, "b:12", at_ms + 1));
    ck_assert(!apply_records(follower, 10, 20, "b:12", at_ms + 199));
    ck_assert(apply_records(follower, 10, 20, "b:12", at_ms + 200));
    ck_assert_str_eq(seen.reported->str, "a b ");
    teardown(follower);
}
END_TEST

START_TEST(answer_older_than_peer_records_changes_nothing)
{
    RecordFollower_t *follower = setup();
    answer_call(10, FALSE, "a:3");
    FakeSource_await(&source);
    gint64 at_ms = Clock_nowMs() + 1000;
    ck_assert(apply_records(follower, 10, 20, "a-:15", at_ms));
    answer_call(12, FALSE, "a:10 a:11");
    ck_assert_str_eq(seen.reported->str, "a a- ");
    ck_assert_uint_eq(RecordFollower_position(follower).offset, 20);
    ck_assert_int_eq(seen.current_at_ms, at_ms);
    teardown(follower);
}
END_TEST

START_TEST(removal_found_by_a_list_is_newer_than_peer_records)
{
    RecordFollower_t *follower = setup();
    answer_call(10, FALSE, "a:3 b:4");
    FakeSource_fail(&source, WT_ERROR_TRUNCATED);
    answer_call(90, FALSE, "b:4");
    ck_assert_str_eq(seen.reported->str, "a b a- ");
    ck_assert_uint_ge(seen.last_offset, 90);
    teardown(follower);
}
END_TEST

/* Returns a follower that has read the records and is in a long pause. */
static RecordFollower_t *
setup_pausing(const char *records)
{
    RecordFollower_t *follower = setup();
    answer_call(10, FALSE, records);
    FakeSource_await(&source);
    answer_call(10, FALSE, "");
    RecordFollower_setReadTiming(follower, 0, LONG_PAUSE_MS, 0);
    answer_call(10, FALSE, "");
    return follower;
}

/* A configuration came into force 5.8 s after it was accepted, and requests
 * were refused for stale state meanwhile: the routers that read for all were
 * cut off from the store, and the store compacted the topic. The checks of the
 * other routers were answered that the offset had expired, which counted as no
 * answer, so these routers waited out their long pause. */
START_TEST(expired_offset_of_a_check_is_listed_again_at_once)
{
    RecordFollower_t *follower = setup_pausing("a:3 b:4");
    RecordFollower_checkEnd(follower, STORE_PEERS_SILENT);
    FakeSource_fail(&source, WT_ERROR_TRUNCATED);
    answer_call(90, FALSE, "b:4 c:80");
    ck_assert_str_eq(seen.reported->str, "a b c a- ");
    ck_assert_uint_eq(RecordFollower_position(follower).offset, 90);
    ck_assert_uint_eq(RecordFollower_failedChecks(follower), 0);
    ck_assert_uint_eq(seen.lost, 0);
    teardown(follower);
}
END_TEST

START_TEST(check_does_not_restart_a_list_in_progress)
{
    RecordFollower_t *follower = setup_pausing("a:3");
    RecordFollower_checkEnd(follower, STORE_PEERS_SILENT);
    FakeSource_fail(&source, WT_ERROR_TRUNCATED);
    RecordFollower_checkEnd(follower, STORE_PEERS_SILENT);
    answer_call(90, TRUE, "c:80");
    answer_call(90, FALSE, "d:81");
    ck_assert_str_eq(seen.reported->str, "a c d a- ");
    teardown(follower);
}
END_TEST

/* Answers as a store that was restored from an older copy. */
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

/* Routers used an old configuration for seconds after a newer one had been
 * acknowledged: the store was restored from an older copy and assigned offsets
 * again, and records below the last known offset of a key were dropped as
 * older. The newer records had offsets 3 to 6, and offset 6 was known. */
START_TEST(records_of_a_later_epoch_are_newer_at_any_offset)
{
    RecordFollower_t *follower = setup();
    answer_call(10, FALSE, "a:3 b:9");
    FakeSource_await(&source);
    RecordFollower_beginEpoch(follower, 0);
    source.done = NULL; /* the answer to that call is ignored */
    answer_of_next_epoch(5, "b:4");
    ck_assert_str_eq(seen.reported->str, "a b b a- ");
    FakeSource_await(&source);
    ck_assert_uint_eq(source.read_from, 5);
    answer_of_next_epoch(6, "b:5");
    ck_assert_str_eq(seen.reported->str, "a b b a- b ");
    ck_assert_uint_eq(seen.current, 6);
    teardown(follower);
}
END_TEST

START_TEST(answer_from_before_an_epoch_change_is_not_applied)
{
    RecordFollower_t *follower = setup();
    answer_call(10, FALSE, "a:3");
    FakeSource_await(&source);
    KeyedPageDone_t done = source.done;
    void *data = source.data;
    RecordFollower_beginEpoch(follower, 0);
    source.done = NULL;
    FakeSource_await(&source);
    KeyedPage_t late = make_page(11, FALSE, "a:10");
    done(&late, NULL, data);
    g_ptr_array_unref(late.records);
    ck_assert_str_eq(seen.reported->str, "a ");
    answer_of_next_epoch(5, "a:4");
    ck_assert_str_eq(seen.reported->str, "a a ");
    ck_assert_uint_eq(RecordFollower_position(follower).epoch, 1);
    teardown(follower);
}
END_TEST

START_TEST(peer_records_of_another_epoch_are_not_applied)
{
    RecordFollower_t *follower = setup();
    answer_call(10, FALSE, "a:3");
    RecordFollower_beginEpoch(follower, 0);
    source.done = NULL;
    answer_of_next_epoch(5, "a:4");
    ck_assert(!apply_records(follower, 5, 20, "b:12", Clock_nowMs() + 1000));
    ck_assert_uint_eq(RecordFollower_position(follower).offset, 5);
    ck_assert_str_eq(seen.reported->str, "a a ");
    teardown(follower);
}
END_TEST

/* A call whose answer is late, and stays open. */
typedef struct {
    KeyedPageDone_t done;
    void *data;
} LateCall_t;

static LateCall_t
delay_call(void)
{
    FakeSource_await(&source);
    LateCall_t call = {source.done, source.data};
    FakeSource_fail(&source, WT_ERROR_LATE);
    return call;
}

static void
answer_late_call(const LateCall_t *call, guint64 page_end, const char *text)
{
    KeyedPage_t page = make_page(page_end, FALSE, text);
    call->done(&page, NULL, call->data);
    g_ptr_array_unref(page.records);
}

/* A store whose answers took longer than the timeout was as good as down. */
START_TEST(late_answer_is_applied)
{
    RecordFollower_t *follower = setup();
    answer_call(10, FALSE, "a:3");
    gint64 sent_ms = Clock_nowMs();
    LateCall_t call = delay_call();
    ck_assert(RecordFollower_isLost(follower));
    FakeSource_await(&source);
    answer_late_call(&call, 11, "b:10");
    ck_assert(!RecordFollower_isLost(follower));
    ck_assert_uint_eq(seen.restored, 0);
    ck_assert_str_eq(seen.reported->str, "a b ");
    ck_assert_uint_eq(seen.current, 11);
    ck_assert_int_le(seen.current_at_ms, sent_ms);
    teardown(follower);
}
END_TEST

START_TEST(late_answer_moves_nothing_back)
{
    RecordFollower_t *follower = setup();
    answer_call(10, FALSE, "a:3");
    LateCall_t call = delay_call();
    answer_call(12, FALSE, "b:10 a:11");
    gint64 current_at_ms = seen.current_at_ms;
    answer_late_call(&call, 11, "b:10");
    ck_assert_str_eq(seen.reported->str, "a b a ");
    ck_assert_uint_eq(RecordFollower_position(follower).offset, 12);
    ck_assert_int_eq(seen.current_at_ms, current_at_ms);
    teardown(follower);
}
END_TEST

START_TEST(late_list_is_applied_once)
{
    RecordFollower_t *follower = setup();
    LateCall_t first = delay_call();
    LateCall_t second = delay_call();
    answer_late_call(&first, 10, "a:3");
    answer_late_call(&second, 11, "b:10");
    ck_assert_str_eq(seen.reported->str, "a ");
    ck_assert_uint_eq(seen.current, 10);
    teardown(follower);
}
END_TEST

START_TEST(late_answer_from_before_an_epoch_change_is_not_applied)
{
    RecordFollower_t *follower = setup();
    answer_call(10, FALSE, "a:3");
    LateCall_t call = delay_call();
    RecordFollower_beginEpoch(follower, 0);
    answer_of_next_epoch(5, "a:4");
    answer_late_call(&call, 11, "b:10");
    ck_assert_str_eq(seen.reported->str, "a a ");
    ck_assert_uint_eq(RecordFollower_position(follower).offset, 5);
    teardown(follower);
}
END_TEST

START_TEST(late_check_is_applied)
{
    RecordFollower_t *follower = setup();
    answer_call(10, FALSE, "a:3");
    FakeSource_await(&source);
    ck_assert(RecordFollower_checkEnd(follower, STORE_BEHIND));
    LateCall_t check = delay_call();
    ck_assert_uint_eq(RecordFollower_failedChecks(follower), 1);
    answer_late_call(&check, 11, "b:10");
    ck_assert_uint_eq(RecordFollower_failedChecks(follower), 0);
    ck_assert_str_eq(seen.reported->str, "a b ");
    teardown(follower);
}
END_TEST

START_TEST(late_call_that_fails_is_no_second_failure)
{
    RecordFollower_t *follower = setup();
    answer_call(10, FALSE, "a:3");
    LateCall_t call = delay_call();
    answer_call(10, FALSE, "");
    g_autoptr(GError) error =
        g_error_new_literal(WT_ERROR, WT_ERROR_TIMEOUT, "x");
    call.done(NULL, error, call.data);
    ck_assert(!RecordFollower_isLost(follower));
    ck_assert_uint_eq(seen.lost, 1);
    teardown(follower);
}
END_TEST

static void
add_bytes_key(KeyedPage_t *page, const char *key, gsize length)
{
    StorePosition_t position = {.offset = page->end.offset - 1};
    g_ptr_array_add(
        page->records,
        KeyedRecord_create(key, length, g_bytes_new_static("v", 1), position));
}

/* A key with NUL was taken for the key that its first bytes are. */
START_TEST(records_whose_keys_can_be_no_names_are_left_out)
{
    RecordFollower_t *follower = setup();
    KeyedPage_t page = make_page(10, FALSE, "a:3");
    add_bytes_key(&page, "a\0b", 3);
    add_bytes_key(&page, "", 0);
    add_bytes_key(&page, "\xff", 1);
    add_bytes_key(&page, "c\r\nd", 4);
    add_bytes_key(&page, "\xEF\xBF\xBD", 3);
    add_bytes_key(&page, "\xC3\xA9", 2);
    FakeSource_answer(&source, &page);
    ck_assert_str_eq(seen.reported->str, "a \xC3\xA9 ");
    answer_call(12, FALSE, "a:10 b:11");
    ck_assert_str_eq(seen.reported->str, "a \xC3\xA9 a b ");
    ck_assert_uint_eq(seen.current, 12);
    teardown(follower);
}
END_TEST

/* The store was called without pause while its list repeated a page. */
START_TEST(page_that_repeats_the_last_is_a_failure)
{
    RecordFollower_t *follower = setup();
    answer_call(10, TRUE, "a:3 b:4");
    answer_call(10, TRUE, "c:5 b:4");
    ck_assert(RecordFollower_isLost(follower));
    answer_call(10, TRUE, "");
    ck_assert_uint_eq(seen.lost, 1);
    answer_call(10, TRUE, "a:3");
    answer_call(10, FALSE, "b:4");
    ck_assert(!RecordFollower_isLost(follower));
    ck_assert_str_eq(seen.reported->str, "a b ");
    teardown(follower);
}
END_TEST

TESTING_MAIN("RecordFollower", reads_on_from_the_end_at_the_first_list_page,
             outdated_list_of_a_peer_restores_no_removed_key,
             peer_list_older_than_the_first_page_is_not_applied,
             not_current_before_the_end_is_read,
             expired_records_are_listed_again_and_removals_reported,
             outage_and_its_end_are_reported_once,
             records_from_a_peer_are_not_read_again,
             peer_records_after_a_gap_are_not_applied,
             gap_before_peer_records_is_read_at_once,
             peer_records_read_after_a_failure_end_the_outage,
             older_time_of_the_same_end_is_not_applied,
             same_end_by_another_path_is_not_applied,
             answer_older_than_peer_records_changes_nothing,
             removal_found_by_a_list_is_newer_than_peer_records,
             expired_offset_of_a_check_is_listed_again_at_once,
             check_does_not_restart_a_list_in_progress,
             records_of_a_later_epoch_are_newer_at_any_offset,
             answer_from_before_an_epoch_change_is_not_applied,
             peer_records_of_another_epoch_are_not_applied,
             late_answer_is_applied, late_answer_moves_nothing_back,
             late_list_is_applied_once,
             late_answer_from_before_an_epoch_change_is_not_applied,
             late_check_is_applied, late_call_that_fails_is_no_second_failure,
             records_whose_keys_can_be_no_names_are_left_out,
             page_that_repeats_the_last_is_a_failure)
