/* Records with keys on a plain log. */
#include "KeyedLog.h"

#include <string.h>

#include "Errors.h"
#include "testing.h"

/* What a read answers at the most. */
#define READ_MOST 2

/* A log in memory, of one stream, that answers at once. */
typedef struct {
    LogClient_t super;
    GPtrArray *records; /* GBytes */
    guint64 start;      /* older ones are gone */
    guint64 epoch;
    gboolean returns; /* it comes back older after the next read */
} FakeLog_t;

static FakeLog_t fake;
static RecordSource_t *keyed;
static GString *seen; /* "key=value " of each record of a page */
static guint64 seen_end;
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

/* All but the first record is lost, and others come in their place. */
static void
come_back_older(void)
{
    fake.epoch++;
    g_ptr_array_set_size(fake.records, 1);
    for (guint i = 0; i <= READ_MOST; i++) {
        g_autoptr(GBytes) value = g_bytes_new("9", 1);
        g_ptr_array_add(fake.records, KeyedRecord_join("z", value));
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
    for (guint i = 0; i < READ_MOST && from + i < fake.records->len; i++) {
        GBytes *record = g_ptr_array_index(fake.records, from + i);
        g_ptr_array_add(records.records, g_bytes_ref(record));
    }
    gboolean returns = fake.returns;
    fake.returns = FALSE;
    if (returns) {
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
    g_string_truncate(seen, 0);
    for (guint i = 0; page && i < page->records->len; i++) {
        const KeyedRecord_t *record = g_ptr_array_index(page->records, i);
        gsize size = 0;
        const char *value =
            record->value ? g_bytes_get_data(record->value, &size) : "-";
        g_string_append_printf(seen, "%s=%.*s ", record->key->str,
                               record->value ? (int)size : 1, value);
    }
    seen_end = page ? page->end.offset : 0;
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
    seen = g_string_new(NULL);
    failures = 0;
}

static void
end(void)
{
    RecordSource_destroy(keyed);
    g_ptr_array_unref(fake.records);
    g_string_free(seen, TRUE);
}

START_TEST(a_list_has_the_newest_of_each_key)
{
    begin();
    put("a", "1");
    put("b", "1");
    put("a", "2");
    put("b", NULL);
    put("c", "3");
    RecordSource_list(keyed, "t", NULL, on_page, NULL);
    ck_assert_int_eq(failures, 0);
    ck_assert_ptr_nonnull(strstr(seen->str, "a=2 "));
    ck_assert_ptr_nonnull(strstr(seen->str, "c=3 "));
    ck_assert_ptr_null(strstr(seen->str, "b="));
    ck_assert_uint_eq(seen_end, 5);
    end();
}
END_TEST

START_TEST(a_list_begins_where_the_log_does)
{
    begin();
    put("a", "1");
    put("b", "2");
    put("c", "3");
    fake.start = 1;
    RecordSource_list(keyed, "t", NULL, on_page, NULL);
    ck_assert_int_eq(failures, 0);
    ck_assert_ptr_null(strstr(seen->str, "a="));
    ck_assert_ptr_nonnull(strstr(seen->str, "b=2 "));
    ck_assert_ptr_nonnull(strstr(seen->str, "c=3 "));
    end();
}
END_TEST

START_TEST(a_read_tells_removals_as_well)
{
    begin();
    put("a", "1");
    put("a", NULL);
    RecordSource_read(keyed, "t", 0, 0, on_page, NULL);
    ck_assert_str_eq(seen->str, "a=1 a=- ");
    ck_assert_uint_eq(seen_end, 2);
    fake.start = 1;
    RecordSource_read(keyed, "t", 0, 0, on_page, NULL);
    ck_assert_int_eq(failures, 1);
    end();
}
END_TEST

START_TEST(an_empty_list_is_empty)
{
    begin();
    RecordSource_list(keyed, "t", NULL, on_page, NULL);
    ck_assert_str_eq(seen->str, "");
    ck_assert_int_eq(failures, 0);
    end();
}
END_TEST

START_TEST(a_list_does_not_mix_what_was_there_before_a_return)
{
    begin();
    for (guint i = 0; i <= READ_MOST; i++) {
        g_autofree char *key = g_strdup_printf("k%u", i);
        put(key, "1");
    }
    fake.returns = TRUE;
    RecordSource_list(keyed, "t", NULL, on_page, NULL);
    ck_assert_int_eq(failures, 0);
    ck_assert_ptr_nonnull(strstr(seen->str, "k0=1 "));
    ck_assert_ptr_nonnull(strstr(seen->str, "z=9 "));
    ck_assert_ptr_null(strstr(seen->str, "k1="));
    end();
}
END_TEST

TESTING_MAIN("KeyedLog", a_list_does_not_mix_what_was_there_before_a_return,
             a_list_has_the_newest_of_each_key,
             a_list_begins_where_the_log_does, a_read_tells_removals_as_well,
             an_empty_list_is_empty)
