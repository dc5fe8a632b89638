#include "testing.h"

#include "EventPipe.h"

#include <string.h>

#define EVENT_MAX 64

static EventPipe_t *the_pipe;
static struct evbuffer *in;
static struct evbuffer *out;

static void
begin(void)
{
    the_pipe = EventPipe_create(EVENT_MAX);
    in = evbuffer_new();
    out = evbuffer_new();
}

static void
end(void)
{
    EventPipe_destroy(the_pipe);
    evbuffer_free(in);
    evbuffer_free(out);
}

static guint
feed(const char *text)
{
    evbuffer_add(in, text, strlen(text));
    return EventPipe_feed(the_pipe, in, out);
}

static void
check_out(const char *text)
{
    gsize length = evbuffer_get_length(out);
    ck_assert_uint_eq(length, strlen(text));
    if (length > 0) {
        ck_assert_int_eq(memcmp(evbuffer_pullup(out, -1), text, length), 0);
    }
}

START_TEST(only_whole_events_pass)
{
    begin();
    ck_assert_uint_eq(feed("id: 0\nda"), 0);
    check_out("");
    ck_assert_uint_eq(feed("ta: a\n\nid: 1\ndata: b\n"), 1);
    check_out("id: 0\ndata: a\n\n");
    ck_assert_uint_eq(feed("\n"), 1);
    check_out("id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
    ck_assert_str_eq(EventPipe_lastId(the_pipe), "1");
    ck_assert_uint_eq(EventPipe_passed(the_pipe), 2);
    end();
}
END_TEST

START_TEST(any_split_gives_the_same_bytes)
{
    const char *text = "id:7\r\ndata: x\r\n\r\ndata: no id\n\nid: 9\n\n";
    for (gsize step = 1; step < strlen(text); step++) {
        begin();
        for (gsize at = 0; at < strlen(text); at += step) {
            g_autofree char *piece = g_strndup(text + at, step);
            feed(piece);
        }
        check_out(text);
        ck_assert_str_eq(EventPipe_lastId(the_pipe), "9");
        end();
    }
}
END_TEST

START_TEST(a_restart_drops_the_rest_and_what_has_passed)
{
    begin();
    feed("id: 0\n\nid: 1\n\nid: 2\nda");
    EventPipe_restart(the_pipe);
    feed("id: 1\n\nid: 2\n\n");
    check_out("id: 0\n\nid: 1\n\nid: 2\n\n");
    ck_assert_uint_eq(EventPipe_passed(the_pipe), 3);
    end();
}
END_TEST

START_TEST(what_is_left_of_a_whole_stream_passes)
{
    begin();
    feed("id: 0\n\nrest");
    EventPipe_flush(the_pipe, out);
    check_out("id: 0\n\nrest");
    end();
}
END_TEST

/* Whether it comes at once or never ends, nothing of it passes. */
START_TEST(an_event_that_is_too_large_ends_the_stream)
{
    g_autofree char *large = g_strnfill(EVENT_MAX, 'x');
    for (int ended = 0; ended < 2; ended++) {
        begin();
        feed("id: 0\n\ndata: ");
        ck_assert(!EventPipe_isOverfull(the_pipe));
        ck_assert_uint_eq(feed(large), 0);
        ck_assert_uint_eq(feed(ended ? "\n\nid: 2\n\n" : "x"), 0);
        ck_assert(EventPipe_isOverfull(the_pipe));
        EventPipe_flush(the_pipe, out);
        check_out("id: 0\n\n");
        ck_assert_str_eq(EventPipe_lastId(the_pipe), "0");
        end();
    }
}
END_TEST

START_TEST(a_large_event_that_comes_at_once_does_not_pass)
{
    g_autofree char *large = g_strnfill(EVENT_MAX, 'x');
    g_autofree char *text = g_strconcat("id: 0\n\n", large, "\n\n", NULL);
    begin();
    ck_assert_uint_eq(feed(text), 1);
    ck_assert(EventPipe_isOverfull(the_pipe));
    check_out("id: 0\n\n");
    end();
}
END_TEST

START_TEST(an_event_as_large_as_the_bound_passes)
{
    g_autofree char *large = g_strnfill(EVENT_MAX - 2, 'x');
    g_autofree char *text = g_strconcat(large, "\n\n", large, "\n\n", NULL);
    begin();
    ck_assert_uint_eq(feed(text), 2);
    ck_assert(!EventPipe_isOverfull(the_pipe));
    check_out(text);
    end();
}
END_TEST

START_TEST(another_upstream_goes_on_behind_a_large_event)
{
    g_autofree char *large = g_strnfill(EVENT_MAX + 1, 'x');
    begin();
    feed("id: 0\n\n");
    feed(large);
    EventPipe_restart(the_pipe);
    ck_assert(!EventPipe_isOverfull(the_pipe));
    ck_assert_uint_eq(feed("id: 1\n\n"), 1);
    check_out("id: 0\n\nid: 1\n\n");
    end();
}
END_TEST

START_TEST(only_numbers_tell_what_has_passed)
{
    begin();
    ck_assert(!EventPipe_isNumbered(the_pipe));
    feed("id: 7\n\n");
    ck_assert(EventPipe_isNumbered(the_pipe));
    feed("id: k-8\n\n");
    ck_assert(!EventPipe_isNumbered(the_pipe));
    end();
}
END_TEST

TESTING_MAIN("EventPipe", only_whole_events_pass,
             any_split_gives_the_same_bytes,
             a_restart_drops_the_rest_and_what_has_passed,
             what_is_left_of_a_whole_stream_passes,
             an_event_that_is_too_large_ends_the_stream,
             a_large_event_that_comes_at_once_does_not_pass,
             an_event_as_large_as_the_bound_passes,
             another_upstream_goes_on_behind_a_large_event,
             only_numbers_tell_what_has_passed)
