#include "KeyedLog.h"

#include <string.h>

#include "Errors.h"
#include "testing.h"

/* Maximum number of records in the answer to a read. */
#define READ_MAX 2

/* A log of one stream in memory. It calls the callbacks synchronously. */
typedef struct {
    LogClient_t super;
    GPtrArray *records; /* GBytes */
    guint64 start;      /* offset of the oldest retained record */
    guint64 epoch;
    gboolean will_return; /* comes back older after the next read */
} FakeLog_t;

static FakeLog_t fake;
static RecordSource_t *keyed;
static GString *page_text; /* "key=value " of each record of a page */
static guint64 page_end;
static int failures;

static void
unref_bytes(gpointer bytes)
{
    g_bytes_unref(bytes);
}

static void
append(LogClient_t *this, const char *stream, GBytes *record,
       LogAppended_t done, void *data)
{
    (void)this;
    (void)stream;
    g_ptr_array_add(fake.records, g_bytes_ref(record));
    done(fake.records->len - 1, NULL, data);
}

static void
answer_truncated(LogRead_t done, void *data)
{
    LogRecords_t records = {.start = fake.start};
    g_autoptr(GError) error =
        g_error_new_literal(WT_ERROR, WT_ERROR_TRUNCATED, "gone");
    done(&records, error, data);
}

/* Loses all records but the first and appends others at their offsets. */
static void
come_back_older(void)
{
    fake.epoch++;
    g_ptr_array_set_size(fake.records, 1);
    for (guint i = 0; i <= READ_MAX; i++) {
        g_autoptr(GBytes) value = g_bytes_new("9", 1);
        g_ptr_array_add(fake.records, KeyedRecord_encode("z", value));
    }
}

static void
read_log(LogClient_t *this, const char *stream, guint64 from, gint64 wait_ms,
         LogRead_t done, void *data)
{
    (void)this;
    (void)stream;
    (void)wait_ms;
    if (from < fake.start) {
        answer_truncated(done, data);
        return;
    }
    LogRecords_t records = {.first = from,
                            .records =
                                g_ptr_array_new_with_free_func(unref_bytes),
                            .start = fake.start,
                            .head = fake.records->len,
                            .epoch = fake.epoch};
    for (guint i = 0; i < READ_MAX && from + i < fake.records->len; i++) {
        GBytes *record = g_ptr_array_index(fake.records, from + i);
        g_ptr_array_add(records.records, g_bytes_ref(record));
    }
    gboolean will_return = fake.will_return;
    fake.will_return = FALSE;
    if (will_return) {
        come_back_older();
    }
    done(&records, NULL, data);
    g_ptr_array_unref(records.records);
}

static const LogClientClass_t class = {.append = append, .read = read_log};

static void
on_page(const KeyedPage_t *page, const GError *error, void *data)
{
    (void)data;
    failures += error ? 1 : 0;
    g_string_truncate(page_text, 0);
    for (guint i = 0; page && i < page->records->len; i++) {
        const KeyedRecord_t *record = g_ptr_array_index(page->records, i);
        gsize size = 0;
        const char *value =
            record->value ? g_bytes_get_data(record->value, &size) : "-";
        g_string_append_printf(page_text, "%s=%.*s ", record->key->str,
                               record->value ? (int)size : 1, value);
    }
    page_end = page ? page->end.offset : 0;
}

static void
on_put(const GError *error, void *data)
{
    (void)data;
    failures += error ? 1 : 0;
}

static void
put(const char *key, const char *value)
{
    g_autoptr(GBytes) bytes = value ? g_bytes_new(value, strlen(value)) : NULL;
    RecordSource_put(keyed, "t", key, bytes, on_put, NULL);
}

static void
begin(void)
{
    fake = (FakeLog_t){.super = {.class = &class},
                       .records = g_ptr_array_new_with_free_func(unref_bytes)};
    keyed = KeyedLog_create(&fake.super);
    page_text = g_string_new(NULL);
    failures = 0;
}

static void
end(void)
{
    RecordSource_destroy(keyed);
    g_ptr_array_unref(fake.records);
    g_string_free(page_text, TRUE);
}

START_TEST(list_has_the_newest_value_of_each_key)
{
    begin();
    put("a", "1");
    put("b", "1");
    put("a", "2");
    put("b", NULL);
    put("c", "3");
    RecordSource_list(keyed, "t", NULL, on_page, NULL);
    ck_assert_int_eq(failures, 0);
    ck_assert_ptr_nonnull(strstr(page_text->str, "a=2 "));
    ck_assert_ptr_nonnull(strstr(page_text->str, "c=3 "));
    ck_assert_ptr_null(strstr(page_text->str, "b="));
    ck_assert_uint_eq(page_end, 5);
    end();
}
END_TEST

START_TEST(list_starts_at_the_oldest_retained_record)
{
    begin();
    put("a", "1");
    put("b", "2");
    put("c", "3");
    fake.start = 1;
    RecordSource_list(keyed, "t", NULL, on_page, NULL);
    ck_assert_int_eq(failures, 0);
    ck_assert_ptr_null(strstr(page_text->str, "a="));
    ck_assert_ptr_nonnull(strstr(page_text->str, "b=2 "));
    ck_assert_ptr_nonnull(strstr(page_text->str, "c=3 "));
    end();
}
END_TEST

START_TEST(read_includes_removals)
{
    begin();
    put("a", "1");
    put("a", NULL);
    RecordSource_read(keyed, "t", 0, 0, on_page, NULL);
    ck_assert_str_eq(page_text->str, "a=1 a=- ");
    ck_assert_uint_eq(page_end, 2);
    fake.start = 1;
    RecordSource_read(keyed, "t", 0, 0, on_page, NULL);
    ck_assert_int_eq(failures, 1);
    end();
}
END_TEST

START_TEST(list_of_an_empty_log_is_empty)
{
    begin();
    RecordSource_list(keyed, "t", NULL, on_page, NULL);
    ck_assert_str_eq(page_text->str, "");
    ck_assert_int_eq(failures, 0);
    end();
}
END_TEST

START_TEST(list_does_not_mix_records_of_two_epochs)
{
    begin();
    for (guint i = 0; i <= READ_MAX; i++) {
        g_autofree char *key = g_strdup_printf("k%u", i);
        put(key, "1");
    }
    fake.will_return = TRUE;
    RecordSource_list(keyed, "t", NULL, on_page, NULL);
    ck_assert_int_eq(failures, 0);
    ck_assert_ptr_nonnull(strstr(page_text->str, "k0=1 "));
    ck_assert_ptr_nonnull(strstr(page_text->str, "z=9 "));
    ck_assert_ptr_null(strstr(page_text->str, "k1="));
    end();
}
END_TEST

TESTING_MAIN("KeyedLog", list_does_not_mix_records_of_two_epochs,
             list_has_the_newest_value_of_each_key,
             list_starts_at_the_oldest_retained_record, read_includes_removals,
             list_of_an_empty_log_is_empty)
