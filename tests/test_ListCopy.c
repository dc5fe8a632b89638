#include "testing.h"

#include <string.h>

#include "ListCopy.h"

#define EPOCH 3
/* More bytes than the records of these tests have: one page for all. */
#define ALL_BYTES 1000
#define LONG_BYTES 800000
#define LONG_CHANGES 200
/* Of these, at least so many are kept, and fewer than so many. */
#define LONG_KEPT_MIN 2
#define LONG_KEPT_MAX 8
/* More changes than the log of changes holds. */
#define CHANGES_BEYOND_LOG 5000

static ListCopy_t *copy;

static KeyedRecord_t *
make_record(const char *key, const char *value, guint64 offset)
{
    GBytes *bytes = value ? g_bytes_new(value, strlen(value)) : NULL;
    StorePosition_t position = {EPOCH, offset};
    return KeyedRecord_create(key, strlen(key), bytes, position);
}

static void
put_record(const char *key, const char *value, guint64 offset)
{
    KeyedRecord_t *record = make_record(key, value, offset);
    ListCopy_put(copy, record);
    KeyedRecord_free(record);
}

static void
apply_change(const char *key, const char *value, guint64 offset)
{
    KeyedRecord_t *record = make_record(key, value, offset);
    ListCopy_put(copy, record);
    ListCopy_noteChange(copy, record);
    KeyedRecord_free(record);
}

static void
setup(void)
{
    copy = ListCopy_create();
    put_record("a", "1", 1);
    put_record("b", "1", 2);
    put_record("c", "1", 3);
    ListCopy_startChanges(copy, (StorePosition_t){EPOCH, 10});
}

/* Returns the page after a cursor as "key=value key- ", or NULL if the cursor
 * is refused. */
static char *
read_after(const char *after, guint64 from, gsize max_bytes, gboolean *more)
{
    ListCursor_t cursor = {after, {EPOCH, from}};
    ListPage_t list_page = {{0}};
    if (!ListCopy_readPage(copy, &cursor, max_bytes, &list_page)) {
        return NULL;
    }
    GString *text = g_string_new(NULL);
    for (guint i = 0; i < list_page.page.records->len; i++) {
        const KeyedRecord_t *record =
            g_ptr_array_index(list_page.page.records, i);
        g_string_append(text, record->key->str);
        if (record->value) {
            gsize length = 0;
            const char *value = g_bytes_get_data(record->value, &length);
            g_string_append_printf(text, "=%.*s ", (int)length, value);
        }
        else {
            g_string_append(text, "- ");
        }
    }
    *more = list_page.page.more;
    g_ptr_array_unref(list_page.page.records);
    return g_string_free(text, FALSE);
}

static void
assert_read(const char *after, guint64 from, gsize max_bytes,
            const char *expected, gboolean expected_more)
{
    gboolean more = FALSE;
    g_autofree char *text = read_after(after, from, max_bytes, &more);
    ck_assert_ptr_nonnull(text);
    ck_assert_str_eq(text, expected);
    ck_assert_int_eq(more, expected_more);
}

START_TEST(pages_are_in_the_order_of_keys)
{
    setup();
    assert_read("", 0, 1, "a=1 ", TRUE);
    assert_read("a", 10, 1, "b=1 ", TRUE);
    assert_read("b", 10, 1, "c=1 ", FALSE);
    assert_read("c", 10, 1, "", FALSE);
    assert_read("", 0, ALL_BYTES, "a=1 b=1 c=1 ", FALSE);
    ListCopy_destroy(copy);
}
END_TEST

/* A list that took seconds to read missed the changes made meanwhile. */
START_TEST(page_has_changes_of_earlier_keys)
{
    setup();
    apply_change("a", "2", 11);
    apply_change("b", NULL, 12);
    apply_change("c", "2", 13);
    assert_read("b", 10, ALL_BYTES, "a=2 b- c=2 ", FALSE);
    assert_read("b", 12, ALL_BYTES, "b- c=2 ", FALSE);
    assert_read("", 0, ALL_BYTES, "a=2 c=2 ", FALSE);
    ListCopy_destroy(copy);
}
END_TEST

START_TEST(cursor_older_than_the_change_log_is_refused)
{
    gboolean more = FALSE;
    setup();
    ck_assert_ptr_null(read_after("a", 9, ALL_BYTES, &more));
    for (guint64 i = 0; i < CHANGES_BEYOND_LOG; i++) {
        apply_change("a", "2", 10 + i);
    }
    ck_assert_ptr_null(read_after("a", 10, ALL_BYTES, &more));
    assert_read("b", 10 + CHANGES_BEYOND_LOG, ALL_BYTES, "c=1 ", FALSE);
    ListCopy_destroy(copy);
}
END_TEST

/* Machines of 88 MB ran out of memory after some hundred changes of a
 * configuration of 0.8 MB, each of which was kept whole. */
START_TEST(changes_of_long_records_are_bounded_by_their_bytes)
{
    g_autofree char *value = g_strnfill(LONG_BYTES, 'x');
    setup();
    for (guint64 i = 0; i < LONG_CHANGES; i++) {
        apply_change("a", value, 10 + i);
    }
    g_autoptr(GPtrArray) changes = g_ptr_array_new();
    StorePosition_t end = {EPOCH, 10 + LONG_CHANGES};
    StorePosition_t kept_from = {EPOCH, 10 + LONG_CHANGES - LONG_KEPT_MIN};
    StorePosition_t first = {EPOCH, 10 + LONG_CHANGES - LONG_KEPT_MAX};
    ck_assert(ListCopy_readChanges(copy, kept_from, G_MAXSIZE, changes, &end));
    ck_assert(!ListCopy_readChanges(copy, first, G_MAXSIZE, changes, &end));
    ListCopy_destroy(copy);
}
END_TEST

START_TEST(cursor_of_an_earlier_epoch_is_refused)
{
    ListCursor_t cursor = {"a", {EPOCH - 1, 100}};
    ListPage_t list_page = {{0}};
    setup();
    ck_assert(!ListCopy_readPage(copy, &cursor, ALL_BYTES, &list_page));
    ListCopy_destroy(copy);
}
END_TEST

START_TEST(incomplete_copy_is_not_read)
{
    gboolean more = FALSE;
    copy = ListCopy_create();
    put_record("a", "1", 1);
    ck_assert_ptr_null(read_after("", 0, ALL_BYTES, &more));
    ListCopy_destroy(copy);
}
END_TEST

TESTING_MAIN("ListCopy", pages_are_in_the_order_of_keys,
             page_has_changes_of_earlier_keys,
             cursor_older_than_the_change_log_is_refused,
             changes_of_long_records_are_bounded_by_their_bytes,
             cursor_of_an_earlier_epoch_is_refused,
             incomplete_copy_is_not_read)
