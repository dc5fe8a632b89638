#include "testing.h"

#include <string.h>

#include "Errors.h"
#include "Prompt.h"

static Prompt_t *
parse(gboolean chat, const char *text)
{
    gboolean bad_json = FALSE;
    g_autoptr(GError) error = NULL;
    Prompt_t *prompt =
        Prompt_create(chat, text, strlen(text), &bad_json, &error);
    ck_assert_int_eq(prompt == NULL, error != NULL);
    return prompt;
}

static void
assert_refused(gboolean chat, const char *text)
{
    ck_assert_ptr_null(parse(chat, text));
}

START_TEST(fields_are_read)
{
    Prompt_t *prompt = parse(FALSE, "{\"model\":\"m:a\",\"prompt\":\"hello\","
                                    "\"max_tokens\":7,\"stream\":true}");
    ck_assert_str_eq(prompt->model->str, "m");
    ck_assert_str_eq(prompt->adapter->str, "a");
    ck_assert_uint_eq(prompt->max_tokens, 7);
    ck_assert(prompt->stream);
    ck_assert_uint_eq(prompt->length, 5);
    ck_assert_uint_eq(prompt->level_count, 0);
    Prompt_destroy(prompt);
}
END_TEST

START_TEST(wrong_types_are_refused)
{
    assert_refused(FALSE, "{\"model\":\"\",\"prompt\":\"x\"}");
    assert_refused(FALSE, "{\"model\":\"m\",\"prompt\":[]}");
    assert_refused(FALSE, "{\"model\":\"m\",\"prompt\":\"\"}");
    assert_refused(FALSE, "{\"model\":\"m\",\"prompt\":\"x\",\"n\":2}");
    assert_refused(
        FALSE, "{\"model\":\"m\",\"prompt\":\"x\",\"temperature\":\"hot\"}");
    assert_refused(FALSE,
                   "{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":1.5}");
    assert_refused(FALSE,
                   "{\"model\":\"m\",\"prompt\":\"x\",\"prompt_levels\":[2]}");
    assert_refused(TRUE, "{\"model\":\"m\",\"messages\":[1]}");
    assert_refused(TRUE, "{\"model\":\"m\",\"messages\":{}}");
}
END_TEST

START_TEST(levels_follow_the_messages)
{
    static const char *const format =
        "{\"model\":\"m\",\"messages\":["
        "{\"role\":\"system\",\"content\":\"%s\"},"
        "{\"role\":\"user\",\"content\":\"%s\"},"
        "{\"role\":\"user\",\"content\":\"%s\"}]}";
    g_autofree char *one = g_strdup_printf(format, "pre", "history", "q1");
    g_autofree char *two = g_strdup_printf(format, "pre", "history", "q2");
    g_autofree char *three = g_strdup_printf(format, "pre", "hi", "storyq1");
    Prompt_t *a = parse(TRUE, one);
    Prompt_t *b = parse(TRUE, two);
    Prompt_t *c = parse(TRUE, three);
    ck_assert_uint_eq(a->level_count, 2);
    ck_assert_uint_eq(a->levels[0].hash, c->levels[0].hash);
    ck_assert_uint_eq(a->levels[1].hash, b->levels[1].hash);
    ck_assert_uint_ne(a->levels[1].hash, c->levels[1].hash);
    Prompt_destroy(a);
    Prompt_destroy(b);
    Prompt_destroy(c);
}
END_TEST

START_TEST(role_is_part_of_the_prefix)
{
    Prompt_t *a = parse(TRUE, "{\"model\":\"m\",\"messages\":["
                              "{\"role\":\"system\",\"content\":\"x\"},"
                              "{\"role\":\"user\",\"content\":\"q\"}]}");
    Prompt_t *b = parse(TRUE, "{\"model\":\"m\",\"messages\":["
                              "{\"role\":\"user\",\"content\":\"x\"},"
                              "{\"role\":\"user\",\"content\":\"q\"}]}");
    ck_assert_uint_ne(a->levels[0].hash, b->levels[0].hash);
    Prompt_destroy(a);
    Prompt_destroy(b);
}
END_TEST

START_TEST(marked_levels_are_used_and_default_ones_added)
{
    Prompt_t *marked = parse(FALSE, "{\"model\":\"m\",\"prompt\":\"abcdef\","
                                    "\"prompt_levels\":[2,4]}");
    ck_assert_uint_eq(marked->level_count, 2);
    ck_assert_uint_eq(marked->levels[1].end, 4);
    Prompt_destroy(marked);
    GString *text = g_string_new("{\"model\":\"m\",\"prompt\":\"");
    for (int i = 0; i < 3000; i++) {
        g_string_append_c(text, 'x');
    }
    g_string_append(text, "\"}");
    Prompt_t *unmarked = parse(FALSE, text->str);
    ck_assert_uint_eq(unmarked->level_count, 3);
    ck_assert_uint_eq(unmarked->levels[2].end, 2048);
    Prompt_destroy(unmarked);
    g_string_free(text, TRUE);
}
END_TEST

START_TEST(levels_are_bounded)
{
    GString *text = g_string_new("{\"model\":\"m\",\"messages\":[");
    for (int i = 0; i < 100; i++) {
        g_string_append_printf(text,
                               "%s{\"role\":\"user\",\"content\":\"m%d\"}",
                               i > 0 ? "," : "", i);
    }
    g_string_append(text, "]}");
    Prompt_t *prompt = parse(TRUE, text->str);
    ck_assert_uint_eq(prompt->level_count, PROMPT_LEVELS_MAX);
    Prompt_destroy(prompt);
    g_string_free(text, TRUE);
}
END_TEST

/* Each value took some hundred bytes of memory, for two of the body. */
START_TEST(a_body_of_many_values_is_refused)
{
    GString *text = g_string_new("{\"model\":\"m\",\"prompt\":\"x\",\"a\":[");
    for (int i = 0; i < 70000; i++) {
        g_string_append(text, "[],");
    }
    g_string_append(text, "1]}");
    gboolean bad_json = FALSE;
    g_autoptr(GError) error = NULL;
    ck_assert_ptr_null(
        Prompt_create(FALSE, text->str, text->len, &bad_json, &error));
    ck_assert(bad_json);
    ck_assert(g_error_matches(error, WT_ERROR, WT_ERROR_BAD_BODY));
    g_string_free(text, TRUE);
}
END_TEST

TESTING_MAIN("Prompt", fields_are_read, wrong_types_are_refused,
             levels_follow_the_messages, role_is_part_of_the_prefix,
             marked_levels_are_used_and_default_ones_added, levels_are_bounded,
             a_body_of_many_values_is_refused)
