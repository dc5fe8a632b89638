/* Quarantines survive a restart of all routers in the platform's store. */
#include "CrashRecords.h"

#include <string.h>

#include "CrashUpdates.h"
#include "Errors.h"
#include "FakeSource.h"
#include "testing.h"

#define CRASH 77

static struct event_base *base;
static FakeSource_t source;
static CrashRecords_t *records;
static guint read_all;   /* calls of on_read_all() */
static GPtrArray *found; /* digests of the records read, as text */

static void
on_read(void *owner, const Wt__CrashRecord *record)
{
    (void)owner;
    RequestDigest_t digest;
    char *text = g_malloc(REQUEST_DIGEST_TEXT + 1);
    memcpy(digest.bytes, record->fact->digest.data, sizeof(digest.bytes));
    RequestDigest_write(&digest, text);
    g_ptr_array_add(found, text);
}

static void
on_read_all(void *owner)
{
    (void)owner;
    read_all++;
}

static void
begin(void)
{
    base = event_base_new();
    found = g_ptr_array_new_with_free_func(g_free);
    FakeSource_init(&source, base);
    CrashRecordsSpec_t spec = {.source = &source.super,
                               .topic = "crashes",
                               .read = on_read,
                               .read_all = on_read_all};
    records = CrashRecords_create(base, &spec);
}

static void
end(void)
{
    CrashRecords_destroy(records);
    g_clear_pointer(&source.put_value, g_bytes_unref);
    g_ptr_array_unref(found);
    event_base_free(base);
}

static CrashEntry_t
entry_of(guint8 number)
{
    return (CrashEntry_t){.digest = {{number}},
                          .customer_hash = 1,
                          .marks = {{.crash = CRASH}},
                          .mark_count = 1};
}

static void
answer_with_empty_page(void)
{
    KeyedPage_t page = FakePage_make(0, FALSE);
    FakeSource_answer(&source, &page);
}

START_TEST(written_record_is_read_after_restart)
{
    begin();
    answer_with_empty_page();
    CrashEntry_t entry = entry_of(5);
    CrashRecords_store(records, &entry);
    GBytes *value = g_bytes_ref(source.put_value);
    char *key = g_strdup(source.put_key);
    FakeSource_answerPut(&source, 0);
    end();
    begin();
    KeyedPage_t page = FakePage_make(1, FALSE);
    g_ptr_array_add(page.records, KeyedRecord_create(key, strlen(key), value,
                                                     (StorePosition_t){0}));
    FakePage_add(&page, "bad", "no record at all", 1);
    FakeSource_answer(&source, &page);
    ck_assert_uint_eq(found->len, 1);
    ck_assert_str_eq(g_ptr_array_index(found, 0), key);
    g_free(key);
    end();
}
END_TEST

START_TEST(all_pages_of_the_list_are_read)
{
    begin();
    KeyedPage_t page = FakePage_make(9, TRUE);
    FakePage_add(&page, "a", "x", 0);
    FakeSource_answer(&source, &page);
    answer_with_empty_page();
    ck_assert_ptr_null(source.done);
    end();
}
END_TEST

START_TEST(failed_calls_to_the_store_are_retried)
{
    begin();
    FakeSource_fail(&source, WT_ERROR_CONNECT);
    answer_with_empty_page();
    CrashEntry_t entry = entry_of(5);
    CrashRecords_store(records, &entry);
    FakeSource_answerPut(&source, WT_ERROR_TIMEOUT);
    ck_assert_ptr_null(source.put_done);
    FakeSource_answerPut(&source, 0);
    ck_assert_ptr_null(source.put_done);
    end();
}
END_TEST

START_TEST(newest_change_of_a_request_is_written_last)
{
    begin();
    answer_with_empty_page();
    CrashEntry_t entry = entry_of(5);
    CrashRecords_store(records, &entry);
    CrashRecords_remove(records, &entry.digest);
    ck_assert_ptr_nonnull(source.put_value);
    FakeSource_answerPut(&source, 0);
    ck_assert_ptr_nonnull(source.put_done);
    ck_assert_ptr_null(source.put_value);
    FakeSource_answerPut(&source, 0);
    ck_assert_ptr_null(source.put_done);
    end();
}
END_TEST

START_TEST(records_received_from_a_peer_are_not_read)
{
    begin();
    CrashRecords_skipRead(records);
    event_base_dispatch(base);
    ck_assert_ptr_null(source.done);
    CrashEntry_t entry = entry_of(5);
    CrashRecords_store(records, &entry);
    ck_assert_ptr_nonnull(source.put_done);
    FakeSource_answerPut(&source, 0);
    end();
}
END_TEST

START_TEST(read_all_is_called_once_at_the_end)
{
    read_all = 0;
    begin();
    KeyedPage_t page = FakePage_make(9, TRUE);
    FakePage_add(&page, "a", "x", 0);
    FakeSource_answer(&source, &page);
    ck_assert_uint_eq(read_all, 0);
    answer_with_empty_page();
    ck_assert_uint_eq(read_all, 1);
    end();
}
END_TEST

TESTING_MAIN("CrashRecords", written_record_is_read_after_restart,
             all_pages_of_the_list_are_read,
             failed_calls_to_the_store_are_retried,
             newest_change_of_a_request_is_written_last,
             records_received_from_a_peer_are_not_read,
             read_all_is_called_once_at_the_end)
