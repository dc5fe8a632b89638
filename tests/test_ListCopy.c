#include "testing.h"

#include <string.h>

#include "ListCopy.h"

#define EPOCH 3
/* As many bytes as the records of these tests have: a page of all. */
#define ALL 1000
/* More changes than are kept. */
#define TOO_MANY 5000

static ListCopy_t *copy;

static KeyedRecord_t *
make(const char *key, const char *value, guint64 offset)
{
    GBytes *bytes = value ? g_bytes_new(value, strlen(value)) : NULL;
    StorePosition_t position = {EPOCH, offset};
    return KeyedRecord_create(key, strlen(key), bytes, position);
}

static void
put(const char *key, const char *value, guint64 offset)
{
    KeyedRecord_t *record = make(key, value, offset);
    ListCopy_put(copy, record);
    KeyedRecord_free(record);
}

static void
change(const char *key, const char *value, guint64 offset)
{
    KeyedRecord_t *record = make(key, value, offset);
    ListCopy_put(copy, record);
    ListCopy_noteChange(copy, record);
    KeyedRecord_free(record);
}

static void
begin(void)
{
    copy = ListCopy_create();
    put("a", "1", 1);
    put("b", "1", 2);
    put("c", "1", 3);
    ListCopy_begin(copy, (StorePosition_t){EPOCH, 10});
}

/* What follows a place, as "key=value key- ", or NULL where it is refused. */
static char *
read_after(const char *after, guint64 from, gsize most, gboolean *more)
{
    ListPlace_t place = {after, {EPOCH, from}};
    ListPart_t part = {{0}};
    if (!ListCopy_read(copy, &place, most, &part)) {
        return NULL;
    }
    GString *text = g_string_new(NULL);
    for (guint i = 0; i < part.page.records->len; i++) {
        const KeyedRecord_t *record = g_ptr_array_index(part.page.records, i);
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
    *more = part.page.more;
    g_ptr_array_unref(part.page.records);
    return g_string_free(text, FALSE);
}

static void
assert_read(const char *after, guint64 from, gsize most, const char *expected,
            gboolean expected_more)
{
    gboolean more = FALSE;
    g_autofree char *text = read_after(after, from, most, &more);
    ck_assert_ptr_nonnull(text);
    ck_assert_str_eq(text, expected);
    ck_assert_int_eq(more, expected_more);
}

START_TEST(pages_follow_each_other_in_the_order_of_keys)
{
    begin();
    assert_read("", 0, 1, "a=1 ", TRUE);
    assert_read("a", 10, 1, "b=1 ", TRUE);
    assert_read("b", 10, 1, "c=1 ", FALSE);
    assert_read("c", 10, 1, "", FALSE);
    assert_read("", 0, ALL, "a=1 b=1 c=1 ", FALSE);
    ListCopy_destroy(copy);
}
END_TEST

/* Lists that took seconds missed what changed meanwhile. */
START_TEST(a_page_tells_what_changed_before_it)
{
    begin();
    change("a", "2", 11);
    change("b", NULL, 12);
    change("c", "2", 13);
    assert_read("b", 10, ALL, "a=2 b- c=2 ", FALSE);
    assert_read("b", 12, ALL, "b- c=2 ", FALSE);
    assert_read("", 0, ALL, "a=2 c=2 ", FALSE);
    ListCopy_destroy(copy);
}
END_TEST

START_TEST(a_place_before_the_changes_that_are_kept_is_refused)
{
    gboolean more = FALSE;
    begin();
    ck_assert_ptr_null(read_after("a", 9, ALL, &more));
    for (guint64 i = 0; i < TOO_MANY; i++) {
        change("a", "2", 10 + i);
    }
    ck_assert_ptr_null(read_after("a", 10, ALL, &more));
    assert_read("b", 10 + TOO_MANY, ALL, "c=1 ", FALSE);
    ListCopy_destroy(copy);
}
END_TEST

START_TEST(an_earlier_epoch_is_refused)
{
    ListPlace_t place = {"a", {EPOCH - 1, 100}};
    ListPart_t part = {{0}};
    begin();
    ck_assert(!ListCopy_read(copy, &place, ALL, &part));
    ListCopy_destroy(copy);
}
END_TEST

START_TEST(a_copy_that_is_not_whole_is_not_read)
{
    gboolean more = FALSE;
    copy = ListCopy_create();
    put("a", "1", 1);
    ck_assert_ptr_null(read_after("", 0, ALL, &more));
    ListCopy_destroy(copy);
}
END_TEST

TESTING_MAIN("ListCopy", pages_follow_each_other_in_the_order_of_keys,
             a_page_tells_what_changed_before_it,
             a_place_before_the_changes_that_are_kept_is_refused,
             an_earlier_epoch_is_refused, a_copy_that_is_not_whole_is_not_read)
