#include "testing.h"

#include <string.h>

#include "Errors.h"
#include "FakeHttp.h"
#include "FleetRecords.h"

#define TIMEOUT_MS 1000

static const Address_t address = {"127.0.0.1", 1};

typedef struct {
    GString *keys;
    gboolean failed;
} Seen_t;

static void
on_page(const KeyedPage_t *page, const GError *error, void *data)
{
    Seen_t *seen = data;
    seen->failed = error != NULL;
    for (guint i = 0; page && i < page->records->len; i++) {
        const KeyedRecord_t *record = g_ptr_array_index(page->records, i);
        g_string_append_printf(seen->keys, "%s%" G_GSIZE_FORMAT " ",
                               record->key->str, record->key->len);
    }
}

static Seen_t
list(const char *answer)
{
    Seen_t seen = {.keys = g_string_new(NULL)};
    StoreEpoch_t *epoch = StoreEpoch_create(NULL);
    RecordSource_t *source =
        FleetRecords_create(NULL, &address, TIMEOUT_MS, epoch);
    RecordSource_list(source, "t", NULL, on_page, &seen);
    FakeHttp_answer(200, answer, strlen(answer));
    RecordSource_destroy(source);
    StoreEpoch_destroy(epoch);
    return seen;
}

START_TEST(keys_that_are_no_text_hide_no_others)
{
    Seen_t seen = list("{\"items\":[{\"key\":\"a\\u0000b\",\"value\":\"eA==\","
                       "\"offset\":1},{\"key\":\"\\udcff\"},{\"key\":7},5,"
                       "{\"key\":\"c\",\"value\":\"!\"}],\"end\":9}");
    ck_assert(!seen.failed);
    ck_assert_str_eq(seen.keys->str, "a3 \xEF\xBF\xBD"
                                     "3 0 0 c1 ");
    g_string_free(seen.keys, TRUE);
}
END_TEST

/* Such an answer was an empty list, which took all upstreams out of service.
 */
START_TEST(answer_of_another_form_is_an_error)
{
    static const char *const answers[] = {
        "{}",
        "{\"items\":{},\"end\":9}",
        "{\"items\":null,\"end\":9}",
        "{\"items\":\"x\",\"end\":9}",
        "{\"end\":9,\"has_more\":false}",
        "{\"items\":[]}",
        "{\"items\":[],\"end\":-1}",
        "{\"items\":[],\"end\":\"9\"}",
        "{\"items\":[],\"end\":1e3}",
        "{\"items\":[],\"end\":9,\"has_more\":true}"};
    for (gsize i = 0; i < G_N_ELEMENTS(answers); i++) {
        Seen_t seen = list(answers[i]);
        ck_assert_msg(seen.failed, "%s", answers[i]);
        g_string_free(seen.keys, TRUE);
    }
}
END_TEST

START_TEST(empty_list_is_no_error)
{
    Seen_t seen = list("{\"items\":[],\"has_more\":false,\"end\":0}");
    ck_assert(!seen.failed);
    g_string_free(seen.keys, TRUE);
}
END_TEST

static void
on_put(const GError *error, void *data)
{
    *(gboolean *)data = error == NULL;
}

static RecordSource_t *
create_source(StoreEpoch_t *epoch)
{
    return FleetRecords_create(NULL, &address, TIMEOUT_MS, epoch);
}

/* An answer that ends with its connection may be a part of the sent one. */
START_TEST(truncated_list_is_an_error)
{
    static const char text[] =
        "{\"items\":[{\"key\":\"a\",\"value\":\"eA==\",\"offset\":1},"
        "{\"key\":\"b\",\"value\":\"eQ==\",\"offset\":22}],"
        "\"has_more\":false,\"end\":23}";
    StoreEpoch_t *epoch = StoreEpoch_create(NULL);
    RecordSource_t *source = create_source(epoch);
    for (gsize length = 0; length < sizeof(text); length++) {
        Seen_t seen = {.keys = g_string_new(NULL)};
        RecordSource_list(source, "t", NULL, on_page, &seen);
        FakeHttp_answerUnframed(200, text, length);
        gboolean is_whole = length == strlen(text);
        ck_assert_msg(seen.failed == !is_whole, "%zu bytes", length);
        ck_assert_str_eq(seen.keys->str, is_whole ? "a1 b1 " : "");
        g_string_free(seen.keys, TRUE);
    }
    RecordSource_destroy(source);
    StoreEpoch_destroy(epoch);
}
END_TEST

START_TEST(truncated_answer_to_an_append_is_an_error)
{
    static const char text[] = "{\"offset\":17,\"end\":18}";
    gboolean is_put = FALSE;
    StoreEpoch_t *epoch = StoreEpoch_create(NULL);
    RecordSource_t *source = create_source(epoch);
    g_autoptr(GBytes) value = g_bytes_new_static("x", 1);
    for (gsize length = 0; length < sizeof(text); length++) {
        RecordSource_put(source, "t", "k", value, on_put, &is_put);
        FakeHttp_answerUnframed(200, text, length);
        ck_assert_msg(is_put == (length == strlen(text)), "%zu bytes", length);
    }
    RecordSource_destroy(source);
    StoreEpoch_destroy(epoch);
}
END_TEST

TESTING_MAIN("FleetRecords", truncated_list_is_an_error,
             truncated_answer_to_an_append_is_an_error,
             keys_that_are_no_text_hide_no_others,
             answer_of_another_form_is_an_error, empty_list_is_no_error)
