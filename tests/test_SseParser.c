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

START_TEST(events_are_found_however_the_bytes_come)
{
    assert_events("id: 1\ndata: one\n\ndata: two\n\n", "1|one;-|two;");
    assert_events("id:1\r\ndata:one\r\n\r\n", "1|one;");
}
END_TEST

START_TEST(comments_other_fields_and_empty_events_are_passed_over)
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

START_TEST(event_without_its_end_is_not_given)
{
    assert_events("data: whole\n\ndata: part\n", "-|whole;");
}
END_TEST

START_TEST(callback_can_stop)
{
    int stop = 1;
    ck_assert(!feed_all("data: a\n\ndata: b\n\n", 100, &stop));
    ck_assert_str_eq(seen->str, "-|a;");
    g_string_free(seen, TRUE);
}
END_TEST

START_TEST(endless_line_is_a_fault)
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

START_TEST(event_of_endless_lines_is_a_fault)
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

START_TEST(many_events_are_no_large_event)
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

TESTING_MAIN("SseParser", events_are_found_however_the_bytes_come,
             comments_other_fields_and_empty_events_are_passed_over,
             data_of_several_lines_is_joined,
             event_without_its_end_is_not_given, callback_can_stop,
             endless_line_is_a_fault, event_of_endless_lines_is_a_fault,
             many_events_are_no_large_event)
