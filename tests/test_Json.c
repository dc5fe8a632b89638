#include "testing.h"

#include <string.h>

#include "Errors.h"
#include "Json.h"

static json_t *
parse_repaired(const char *text)
{
    return Json_parseRepaired(text, strlen(text), NULL);
}

static void
check_key(const char *text, const char *expected, gsize length)
{
    json_t *body = parse_repaired(text);
    const json_t *key = json_object_get(body, "key");
    ck_assert_msg(json_is_string(key), "%s", text);
    ck_assert_uint_eq(json_string_length(key), length);
    ck_assert_mem_eq(json_string_value(key), expected, length);
    json_decref(body);
}

START_TEST(strings_that_are_no_text_are_repaired)
{
    check_key("{\"key\": \"a\\u0000b\"}", "a\0b", 3);
    check_key("{\"key\": \"a\xff\"}", "a\xEF\xBF\xBD", 4);
    check_key("{\"key\": \"\\ud800\"}", "\xEF\xBF\xBD", 3);
    check_key("{\"key\": \"\\udcff\\udcfe\"}", "\xEF\xBF\xBD\xEF\xBF\xBD", 6);
    check_key("{\"key\": \"\\ud800\\ud83d\\ude00\"}",
              "\xEF\xBF\xBD\xF0\x9F\x98\x80", 7);
    check_key("{\"key\": \"\\\\ud800\xff\"}", "\\ud800\xEF\xBF\xBD", 9);
}
END_TEST

START_TEST(text_that_ends_within_an_escape_is_an_error)
{
    static const char *const texts[] = {"{\"key\": \"\\",
                                        "{\"key\": \"\\u",
                                        "{\"key\": \"\\ud8",
                                        "{\"key\": \"\\ud800",
                                        "{\"key\": \"\\ud800\\u",
                                        "",
                                        "\\",
                                        "{",
                                        "[1]"};
    for (gsize i = 0; i < G_N_ELEMENTS(texts); i++) {
        g_autoptr(GError) error = NULL;
        ck_assert_ptr_null(
            Json_parseRepaired(texts[i], strlen(texts[i]), &error));
        ck_assert(g_error_matches(error, WT_ERROR, WT_ERROR_BAD_BODY));
    }
}
END_TEST

static gboolean
is_parsed(guint depth, const char *opening, const char *closing)
{
    GString *text = g_string_new("{\"a\":");
    for (guint i = 1; i < depth; i++) {
        g_string_append(text, opening);
    }
    g_string_append(text, "\"[{\\\"[\"");
    for (guint i = 1; i < depth; i++) {
        g_string_append(text, closing);
    }
    g_string_append_c(text, '}');
    json_t *body = Json_parse(text->str, text->len, NULL);
    gboolean parsed = body != NULL;
    json_decref(body);
    g_string_free(text, TRUE);
    return parsed;
}

/* A process with a small stack ended while it parsed deep values. */
START_TEST(values_nested_too_deep_are_an_error)
{
    ck_assert(is_parsed(JSON_DEPTH_MAX, "[", "]"));
    ck_assert(is_parsed(JSON_DEPTH_MAX, "{\"[\":", "}"));
    ck_assert(!is_parsed(JSON_DEPTH_MAX + 1, "[", "]"));
    ck_assert(!is_parsed(JSON_DEPTH_MAX + 1, "{\"]\":", "}"));
}
END_TEST

START_TEST(siblings_are_no_deeper)
{
    GString *text = g_string_new("{\"a\":[1");
    for (guint i = 0; i < 4 * JSON_DEPTH_MAX; i++) {
        g_string_append(text, ",[{}]");
    }
    g_string_append(text, "]}");
    json_t *body = Json_parse(text->str, text->len, NULL);
    ck_assert_ptr_nonnull(body);
    json_decref(body);
    g_string_free(text, TRUE);
}
END_TEST

START_TEST(values_are_counted_outside_of_strings)
{
    const char *text = "{\"a,[{\":[1,2,[]],\"b\":\"\\\",,\"}";
    ck_assert(!Json_hasMoreValues(text, strlen(text), 8));
    ck_assert(Json_hasMoreValues(text, strlen(text), 4));
    ck_assert(!Json_hasMoreValues("", 0, 1));
}
END_TEST

TESTING_MAIN("Json", values_nested_too_deep_are_an_error,
             siblings_are_no_deeper, strings_that_are_no_text_are_repaired,
             text_that_ends_within_an_escape_is_an_error,
             values_are_counted_outside_of_strings)
