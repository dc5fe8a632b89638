#include "testing.h"

#include "EventPipe.h"

#include <string.h>
#include <time.h>

#define EVENT_MAX 64
#define LONG_EVENT_MAX ((gsize)256 << 10)

static EventPipe_t *event_pipe;
static struct evbuffer *in;
static struct evbuffer *out;

static void
set_up(void)
{
    event_pipe = EventPipe_create(EVENT_MAX);
    in = evbuffer_new();
    out = evbuffer_new();
}

static void
tear_down(void)
{
    EventPipe_destroy(event_pipe);
    evbuffer_free(in);
    evbuffer_free(out);
}

static guint
feed(const char *text)
{
    evbuffer_add(in, text, strlen(text));
    return EventPipe_feed(event_pipe, in, out);
}

static void
assert_output(const char *text)
{
    gsize length = evbuffer_get_length(out);
    ck_assert_uint_eq(length, strlen(text));
    if (length > 0) {
        ck_assert_int_eq(memcmp(evbuffer_pullup(out, -1), text, length), 0);
    }
}

START_TEST(only_complete_events_pass)
{
    set_up();
    ck_assert_uint_eq(feed("id: 0\nda"), 0);
    assert_output("");
    ck_assert_uint_eq(feed("ta: a\n\nid: 1\ndata: b\n"), 1);
    assert_output("id: 0\ndata: a\n\n");
    ck_assert_uint_eq(feed("\n"), 1);
    assert_output("id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
    ck_assert_str_eq(EventPipe_lastId(event_pipe), "1");
    ck_assert_uint_eq(EventPipe_countPassed(event_pipe), 2);
    tear_down();
}
END_TEST

START_TEST(output_does_not_depend_on_input_chunks)
{
    const char *text = "id:7\r\ndata: x\r\n\r\ndata: no id\n\nid: 9\n\n";
    for (gsize step = 1; step < strlen(text); step++) {
        set_up();
        for (gsize at = 0; at < strlen(text); at += step) {
            g_autofree char *piece = g_strndup(text + at, step);
            feed(piece);
        }
        assert_output(text);
        ck_assert_str_eq(EventPipe_lastId(event_pipe), "9");
        tear_down();
    }
}
END_TEST

START_TEST(restart_drops_the_partial_event_and_duplicates)
{
    set_up();
    feed("id: 0\n\nid: 1\n\nid: 2\nda");
    EventPipe_restart(event_pipe);
    feed("id: 1\n\nid: 2\n\n");
    assert_output("id: 0\n\nid: 1\n\nid: 2\n\n");
    ck_assert_uint_eq(EventPipe_countPassed(event_pipe), 3);
    tear_down();
}
END_TEST

START_TEST(flush_passes_the_remainder_of_a_complete_stream)
{
    set_up();
    feed("id: 0\n\nrest");
    EventPipe_flush(event_pipe, out);
    assert_output("id: 0\n\nrest");
    tear_down();
}
END_TEST

/* No part of a too large event passes, whether its end arrives or not. */
START_TEST(too_large_event_ends_the_stream)
{
    g_autofree char *large = g_strnfill(EVENT_MAX, 'x');
    for (int ended = 0; ended < 2; ended++) {
        set_up();
        feed("id: 0\n\ndata: ");
        ck_assert(!EventPipe_isEventTooLarge(event_pipe));
        ck_assert_uint_eq(feed(large), 0);
        ck_assert_uint_eq(feed(ended ? "\n\nid: 2\n\n" : "x"), 0);
        ck_assert(EventPipe_isEventTooLarge(event_pipe));
        EventPipe_flush(event_pipe, out);
        assert_output("id: 0\n\n");
        ck_assert_str_eq(EventPipe_lastId(event_pipe), "0");
        tear_down();
    }
}
END_TEST

START_TEST(too_large_event_received_at_once_does_not_pass)
{
    g_autofree char *large = g_strnfill(EVENT_MAX, 'x');
    g_autofree char *text = g_strconcat("id: 0\n\n", large, "\n\n", NULL);
    set_up();
    ck_assert_uint_eq(feed(text), 1);
    ck_assert(EventPipe_isEventTooLarge(event_pipe));
    assert_output("id: 0\n\n");
    tear_down();
}
END_TEST

START_TEST(event_of_the_maximum_size_passes)
{
    g_autofree char *large = g_strnfill(EVENT_MAX - 2, 'x');
    g_autofree char *text = g_strconcat(large, "\n\n", large, "\n\n", NULL);
    set_up();
    ck_assert_uint_eq(feed(text), 2);
    ck_assert(!EventPipe_isEventTooLarge(event_pipe));
    assert_output(text);
    tear_down();
}
END_TEST

START_TEST(stream_continues_on_another_upstream_after_a_too_large_event)
{
    g_autofree char *large = g_strnfill(EVENT_MAX + 1, 'x');
    set_up();
    feed("id: 0\n\n");
    feed(large);
    EventPipe_restart(event_pipe);
    ck_assert(!EventPipe_isEventTooLarge(event_pipe));
    ck_assert_uint_eq(feed("id: 1\n\n"), 1);
    assert_output("id: 0\n\nid: 1\n\n");
    tear_down();
}
END_TEST

START_TEST(only_numeric_ids_identify_duplicates)
{
    set_up();
    ck_assert(!EventPipe_hasNumericId(event_pipe));
    feed("id: 7\n\n");
    ck_assert(EventPipe_hasNumericId(event_pipe));
    feed("id: k-8\n\n");
    ck_assert(!EventPipe_hasNumericId(event_pipe));
    tear_down();
}
END_TEST

START_TEST(an_event_is_incomplete_without_its_blank_line)
{
    set_up();
    ck_assert(!EventPipe_isInsideEvent(event_pipe));
    feed("id: 0\ndata: a\n\n");
    ck_assert(!EventPipe_isInsideEvent(event_pipe));
    feed("\r\n");
    ck_assert(!EventPipe_isInsideEvent(event_pipe));
    feed("id: 1\ndata: b\n");
    ck_assert(EventPipe_isInsideEvent(event_pipe));
    feed("\n");
    ck_assert(!EventPipe_isInsideEvent(event_pipe));
    feed("d");
    ck_assert(EventPipe_isInsideEvent(event_pipe));
    ck_assert_uint_eq(EventPipe_pendingBytes(event_pipe), 1);
    EventPipe_restart(event_pipe);
    ck_assert(!EventPipe_isInsideEvent(event_pipe));
    tear_down();
}
END_TEST

/* Each piece was searched with all that came before it, for tens of seconds.
 */
START_TEST(a_long_event_in_small_pieces_takes_little_processor_time)
{
    event_pipe = EventPipe_create(LONG_EVENT_MAX);
    in = evbuffer_new();
    out = evbuffer_new();
    clock_t began = clock();
    for (gsize size = 0; size < LONG_EVENT_MAX; size += strlen("x:x\n")) {
        ck_assert_uint_eq(feed("x:x\n"), 0);
    }
    ck_assert_int_lt((clock() - began) / CLOCKS_PER_SEC, 1);
    ck_assert(!EventPipe_isEventTooLarge(event_pipe));
    tear_down();
}
END_TEST

/* The end of an event that arrives in parts. */
START_TEST(the_end_of_an_event_is_found_behind_searched_bytes)
{
    const char *ends[] = {"\n\n", "\r\n\r\n"};
    for (gsize i = 0; i < G_N_ELEMENTS(ends); i++) {
        set_up();
        feed("data: a");
        for (const char *at = ends[i]; *at; at++) {
            char byte[] = {*at, '\0'};
            ck_assert_uint_eq(feed(byte), at[1] == '\0' ? 1 : 0);
        }
        ck_assert_uint_eq(EventPipe_pendingBytes(event_pipe), 0);
        tear_down();
    }
}
END_TEST

/* The id of an event may be as long as the event. */
START_TEST(the_last_id_counts_until_the_end)
{
    gsize total = 0;
    set_up();
    EventPipe_shareLimit(event_pipe, &total, 1000);
    ck_assert_uint_eq(feed("id: abcdef\ndata: a\n\nda"), 1);
    ck_assert_uint_eq(total, strlen("abcdef") + strlen("da"));
    EventPipe_restart(event_pipe);
    ck_assert_uint_eq(total, strlen("abcdef"));
    tear_down();
    ck_assert_uint_eq(total, 0);
}
END_TEST

TESTING_MAIN("EventPipe", only_complete_events_pass,
             an_event_is_incomplete_without_its_blank_line,
             output_does_not_depend_on_input_chunks,
             restart_drops_the_partial_event_and_duplicates,
             flush_passes_the_remainder_of_a_complete_stream,
             too_large_event_ends_the_stream,
             too_large_event_received_at_once_does_not_pass,
             event_of_the_maximum_size_passes,
             stream_continues_on_another_upstream_after_a_too_large_event,
             only_numeric_ids_identify_duplicates,
             a_long_event_in_small_pieces_takes_little_processor_time,
             the_end_of_an_event_is_found_behind_searched_bytes,
             the_last_id_counts_until_the_end)
