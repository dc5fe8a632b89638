#include "testing.h"

#include "SseParser.h"

#define EVENT_MAX (1U << 20)

static GString *seen;

static gboolean
on_event(const char *id, const char *data, gsize length, void *user)
{
    g_string_append_printf(seen, "%s|%.*s;", id ? id : "-", (int)length, data);
    return user == NULL;
}

static gboolean
feed_all(const char *text, gsize step, void *user)
{
    SseParser_t *parser = SseParser_create(EVENT_MAX, on_event, user);
    struct evbuffer *input = evbuffer_new();
    gsize length = strlen(text);
    gboolean good = TRUE;
    seen = g_string_new(NULL);
    for (gsize at = 0; at < length && good; at += step) {
        evbuffer_add(input, text + at, MIN(step, length - at));
        good = SseParser_feed(parser, input);
    }
    evbuffer_free(input);
    SseParser_destroy(parser);
    return good;
}

static void
assert_events(const char *text, const char *expected)
{
    for (gsize step = 1; step < 20; step += 3) {
        ck_assert(feed_all(text, step, NULL));
        ck_assert_str_eq(seen->str, expected);
        g_string_free(seen, TRUE);
    }
}

START_TEST(events_do_not_depend_on_input_chunks)
{
    assert_events("id: 1\ndata: one\n\ndata: two\n\n", "1|one;-|two;");
    assert_events("id:1\r\ndata:one\r\n\r\n", "1|one;");
}
END_TEST

START_TEST(comments_other_fields_and_empty_events_are_ignored)
{
    assert_events(": comment\nretry: 5\n\nid: 7\n\ndata: x\n\n", "-|x;");
    assert_events("database: no\ndata\n\n", "");
}
END_TEST

START_TEST(data_of_several_lines_is_joined)
{
    assert_events("data: a\ndata: b\n\n", "-|a\nb;");
}
END_TEST

START_TEST(event_without_end_is_not_reported)
{
    assert_events("data: whole\n\ndata: part\n", "-|whole;");
}
END_TEST

START_TEST(callback_stops_parsing)
{
    int stop = 1;
    ck_assert(!feed_all("data: a\n\ndata: b\n\n", 100, &stop));
    ck_assert_str_eq(seen->str, "-|a;");
    g_string_free(seen, TRUE);
}
END_TEST

START_TEST(too_long_line_is_an_error)
{
    GString *line = g_string_new("data: ");
    for (guint i = 0; i < EVENT_MAX + 10; i++) {
        g_string_append_c(line, 'x');
    }
    ck_assert(!feed_all(line->str, 65536, NULL));
    g_string_free(line, TRUE);
    g_string_free(seen, TRUE);
}
END_TEST

START_TEST(event_of_too_many_lines_is_an_error)
{
    GString *lines = g_string_new("data: whole\n\n");
    while (lines->len <= EVENT_MAX + 20) {
        g_string_append(lines, ": not a field that is used\n");
    }
    ck_assert(!feed_all(lines->str, 65536, NULL));
    ck_assert_str_eq(seen->str, "-|whole;");
    g_string_free(lines, TRUE);
    g_string_free(seen, TRUE);
}
END_TEST

START_TEST(event_limit_applies_to_single_events)
{
    GString *events = g_string_new(NULL);
    while (events->len <= EVENT_MAX + 20) {
        g_string_append(events, ": a sign of life\n\n");
    }
    ck_assert(feed_all(events->str, 65536, NULL));
    g_string_free(events, TRUE);
    g_string_free(seen, TRUE);
}
END_TEST

TESTING_MAIN("SseParser", events_do_not_depend_on_input_chunks,
             comments_other_fields_and_empty_events_are_ignored,
             data_of_several_lines_is_joined,
             event_without_end_is_not_reported, callback_stops_parsing,
             too_long_line_is_an_error, event_of_too_many_lines_is_an_error,
             event_limit_applies_to_single_events)
