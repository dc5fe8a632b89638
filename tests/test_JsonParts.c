#include "testing.h"

#include <string.h>

#include "Errors.h"
#include "Json.h"
#include "JsonParts.h"

static JsonParts_t *
create(const char *text)
{
    return JsonParts_create(text, strlen(text), NULL);
}

static void
append_value(const json_t *value, void *data)
{
    char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
    g_string_append_printf(data, "%s;", text);
    free(text);
}

static void
check_list(const char *text, const char *expected)
{
    JsonParts_t *parts = create(text);
    ck_assert_msg(parts != NULL, "%s", text);
    GString *values = g_string_new(NULL);
    ck_assert(JsonParts_readList(parts, "a", append_value, values, NULL));
    ck_assert_str_eq(values->str, expected);
    ck_assert(JsonParts_checkRest(parts, NULL));
    g_string_free(values, TRUE);
    JsonParts_destroy(parts);
}

START_TEST(values_are_read_in_their_order)
{
    check_list("{\"a\":[1, {\"b\":[2,3]} ,[4],\"x\",null]}",
               "1;{\"b\":[2,3]};[4];\"x\";null;");
    check_list("{\"b\":[7],\"a\":[1],\"c\":[[8]]}", "1;");
    check_list("{\"a\":[\"],[\\\"\", 2]}", "\"],[\\\"\";2;");
    check_list("{\"\\u0061\":[1]}", "1;");
}
END_TEST

START_TEST(members_without_values_are_empty)
{
    check_list("{\"a\":[ \n]}", "");
    check_list("{\"b\":{\"a\":[1]}}", "");
    check_list("{\"a\":{\"b\":1}}", "");
    check_list("{\"a\":1}", "");
    check_list("{}", "");
}
END_TEST

START_TEST(other_members_are_in_the_root)
{
    JsonParts_t *parts = create("{\"a\":[1],\"b\":{\"c\":[5,6]},\"d\":2}");
    const json_t *root = JsonParts_root(parts);
    ck_assert_int_eq(Json_getInteger(root, "d", 0), 2);
    const json_t *nested = json_object_get(root, "b");
    ck_assert_uint_eq(json_array_size(json_object_get(nested, "c")), 2);
    JsonParts_destroy(parts);
}
END_TEST

static gboolean
is_read(const char *text)
{
    g_autoptr(GError) error = NULL;
    JsonParts_t *parts = JsonParts_create(text, strlen(text), &error);
    gboolean is_valid = parts && JsonParts_checkRest(parts, &error);
    g_clear_pointer(&parts, JsonParts_destroy);
    ck_assert(is_valid || g_error_matches(error, WT_ERROR, WT_ERROR_BAD_BODY));
    return is_valid;
}

/* A text is read in parts if it can be read as a whole. */
static void
check_same(const char *text)
{
    json_t *whole = Json_parse(text, strlen(text), NULL);
    ck_assert_msg(is_read(text) == (whole != NULL), "%s", text);
    json_decref(whole);
}

START_TEST(malformed_texts_are_errors)
{
    static const char *const texts[] = {
        "",
        "[",
        "[1]",
        "[[1]]",
        "{",
        "{}",
        "{\"a\":[",
        "{\"a\":[1",
        "{\"a\":[1]",
        "{\"a\":[1,]}",
        "{\"a\":[,1]}",
        "{\"a\":[,]}",
        "{\"a\":[1}",
        "{\"a\":[1}]}",
        "{\"a\":[{]}]}",
        "{\"a\":[{]}",
        "{\"a\":[1]]}",
        "{\"a\":[1 2]}",
        "{\"a\" [1]}",
        "{[1]:1}",
        "{\"a\":[\"]}",
        "{\"a\":[\"\\",
        "{\"a\":[1],\"a\":[2]}",
        "{\"a\":[1],\"b\":x}",
        "{\"a\":[x]}",
        "{\"a\":[1]}x",
        "{\"a\":[1]}[2]",
        "{\"a\":1 [2]}",
        "{\"a\":[{\"b\":1,\"b\":2}]}",
        "{\"a\":[]}",
        "{\"a\":[\v1]}",
        "{\"a\":[\v]}",
        "{\"a\":[\f]}",
    };
    for (gsize i = 0; i < G_N_ELEMENTS(texts); i++) {
        check_same(texts[i]);
    }
}
END_TEST

#define MANY_TEXTS 200000
#define TEXT_PARTS 12

/* Texts of random pieces. */
START_TEST(texts_are_read_in_parts_if_they_are_read_as_a_whole)
{
    static const char *const pieces[] = {
        "{", "}", "[", "]", "\"a\":", ",", "1", "\"", " ", "\"b\":"};
    GRand *draw = g_rand_new_with_seed(1);
    for (guint i = 0; i < MANY_TEXTS; i++) {
        GString *text = g_string_new("{\"a\":[");
        gint32 count = g_rand_int_range(draw, 1, TEXT_PARTS);
        for (gint32 j = 0; j < count; j++) {
            gint32 at = g_rand_int_range(draw, 0, G_N_ELEMENTS(pieces));
            g_string_append(text, pieces[at]);
        }
        check_same(text->str);
        g_string_append(text, "]}");
        check_same(text->str);
        g_string_free(text, TRUE);
    }
    g_rand_free(draw);
}
END_TEST

static void
check_depth(guint depth, const char *start, const char *end)
{
    GString *text = g_string_new(NULL);
    for (guint i = 0; i < depth; i++) {
        g_string_append(text, i == 0 ? "{\"a\":" : start);
    }
    g_string_append_c(text, '1');
    for (guint i = 0; i < depth; i++) {
        g_string_append(text, i + 1 == depth ? "}" : end);
    }
    ck_assert_int_eq(is_read(text->str), depth <= JSON_DEPTH_MAX);
    check_same(text->str);
    g_string_free(text, TRUE);
}

START_TEST(values_nested_too_deep_are_an_error)
{
    check_depth(JSON_DEPTH_MAX, "[", "]");
    check_depth(JSON_DEPTH_MAX, "{\"a\":", "}");
    check_depth(JSON_DEPTH_MAX + 1, "[", "]");
    check_depth(JSON_DEPTH_MAX + 1, "{\"a\":", "}");
}
END_TEST

static gboolean
is_list_read(const char *text, gsize length)
{
    JsonParts_t *parts = JsonParts_create(text, length, NULL);
    gboolean is_read =
        parts && JsonParts_readList(parts, "a", NULL, NULL, NULL);
    if (parts) {
        JsonParts_destroy(parts);
    }
    return is_read;
}

START_TEST(a_zero_byte_is_no_blank)
{
    static const char text[] = "{\"a\":[\0]}";
    json_t *whole = Json_parse(text, sizeof(text) - 1, NULL);
    ck_assert_ptr_null(whole);
    ck_assert(!is_list_read(text, sizeof(text) - 1));
}
END_TEST

TESTING_MAIN("JsonParts", values_are_read_in_their_order,
             members_without_values_are_empty, other_members_are_in_the_root,
             malformed_texts_are_errors,
             texts_are_read_in_parts_if_they_are_read_as_a_whole,
             values_nested_too_deep_are_an_error, a_zero_byte_is_no_blank)
