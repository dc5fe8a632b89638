#include "testing.h"

#include <event2/buffer.h>
#include <string.h>

#include "InputRewrite.h"

#define FIRST "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx"
#define UNNAMED "FOO / HTTP/1.1\r\nHost: h\r\n"
#define NAMED "POST / HTTP/1.1\r\nWheattiller-Method: FOO\r\nHost: h\r\n"
#define LENGTH "Content-Length: 1\r\n\r\nx"
#define BROKEN "X-A: b\n\r\n"
#define CHUNKED "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
#define REFUSED "refused\r\n"

static struct evbuffer *buffer;
static RequestFraming_t *framing;

static void
setup(void)
{
    buffer = evbuffer_new();
    framing = RequestFraming_create(NULL, NULL);
}

static void
teardown(void)
{
    evbuffer_free(buffer);
    RequestFraming_destroy(framing);
}

static void
receive(const char *bytes, gsize length)
{
    evbuffer_add(buffer, bytes, length);
    InputRewrite_feed(buffer, framing, length);
}

static void
ck_assert_input(const char *expected)
{
    gsize length = evbuffer_get_length(buffer);
    g_autofree char *text =
        g_strndup((const char *)evbuffer_pullup(buffer, -1), length);
    ck_assert_str_eq(text, expected);
}

/* As evhttp takes a request that was read. */
static void
drain_all(void)
{
    evbuffer_drain(buffer, evbuffer_get_length(buffer));
}

/* In parts of each size. */
static void
ck_assert_refused(const char *sound, const char *left, const char *next)
{
    g_autofree char *bytes = g_strconcat(sound, next, NULL);
    g_autofree char *expected = g_strconcat(left, REFUSED, NULL);
    gsize length = strlen(bytes);
    for (gsize step = 1; step <= length; step++) {
        setup();
        for (gsize at = 0; at < length; at += step) {
            receive(bytes + at, MIN(step, length - at));
        }
        InputRewrite_refuseLast(buffer, framing);
        ck_assert_input(expected);
        teardown();
    }
}

/* Its block of a kilobyte became a part of the body. */
START_TEST(data_of_a_chunk_does_not_end_the_input)
{
    setup();
    receive(CHUNKED "1\r\nx", strlen(CHUNKED "1\r\nx"));
    ck_assert_input(CHUNKED "1\r\nx\r\n");
    drain_all();
    receive("\r\n2\r\ny", strlen("\r\n2\r\ny"));
    ck_assert_input("\r\n2\r\ny");
    receive("z", 1);
    ck_assert_input("\r\n2\r\nyz\r\n");
    drain_all();
    receive("\r\n0\r\n\r\n", strlen("\r\n0\r\n\r\n"));
    ck_assert_input("\r\n0\r\n\r\n");
    ck_assert(!RequestFraming_isUnderWay(framing));
    teardown();
}
END_TEST

/* Whatever part of it was received last. */
START_TEST(a_request_with_chunks_is_refused_whole)
{
    static const char bytes[] = FIRST CHUNKED "1\r\nx\r\n2\r\nyz\r\n";
    for (gsize length = strlen(FIRST) + 1; length < sizeof(bytes); length++) {
        for (gsize step = 1; step <= length; step++) {
            setup();
            for (gsize at = 0; at < length; at += step) {
                receive(bytes + at, MIN(step, length - at));
            }
            InputRewrite_refuseLast(buffer, framing);
            ck_assert_input(FIRST REFUSED);
            teardown();
        }
    }
}
END_TEST

START_TEST(what_is_sound_stays_without_empty_lines)
{
    setup();
    receive("\r\n" FIRST "\r\n", strlen("\r\n" FIRST "\r\n"));
    ck_assert_input(FIRST);
    teardown();
}
END_TEST

START_TEST(methods_get_a_name)
{
    const char *two = UNNAMED LENGTH UNNAMED LENGTH;
    setup();
    receive(two, strlen(two));
    ck_assert_input(NAMED LENGTH NAMED LENGTH);
    teardown();
}
END_TEST

START_TEST(the_last_bytes_are_dropped)
{
    setup();
    receive(FIRST FIRST, strlen(FIRST FIRST));
    InputRewrite_dropLast(buffer, strlen(FIRST) + 1);
    ck_assert_uint_eq(evbuffer_get_length(buffer), strlen(FIRST) - 1);
    teardown();
}
END_TEST

START_TEST(only_the_request_under_way_is_replaced)
{
    ck_assert_refused(FIRST, FIRST, "GET / HTTP/1.1\r\n" BROKEN);
    ck_assert_refused(FIRST "\r\n" FIRST, FIRST FIRST, " ");
    ck_assert_refused(FIRST, FIRST, "POST / HTTP/1.1\r\nHos");
    ck_assert_refused("", "", "GET / HTTP/1.1\r\n" BROKEN);
}
END_TEST

/* The line that names its method stayed as a part of a request. */
START_TEST(a_request_of_another_method_is_replaced_whole)
{
    ck_assert_refused(FIRST, FIRST, UNNAMED BROKEN);
    ck_assert_refused(UNNAMED LENGTH, NAMED LENGTH, UNNAMED BROKEN);
    ck_assert_refused(UNNAMED LENGTH FIRST, NAMED LENGTH FIRST,
                      "GET / HTTP/1.1\r\n" BROKEN);
}
END_TEST

/* A request counted as one behind others, whose refusal waited for them. */
START_TEST(bytes_of_a_request_count_what_was_put_in)
{
    setup();
    receive(FIRST, strlen(FIRST));
    drain_all();
    receive(UNNAMED, strlen(UNNAMED));
    ck_assert_uint_eq(RequestFraming_bytes(framing),
                      evbuffer_get_length(buffer));
    teardown();
}
END_TEST

TESTING_MAIN("InputRewrite", data_of_a_chunk_does_not_end_the_input,
             a_request_with_chunks_is_refused_whole,
             what_is_sound_stays_without_empty_lines, methods_get_a_name,
             the_last_bytes_are_dropped,
             only_the_request_under_way_is_replaced,
             a_request_of_another_method_is_replaced_whole,
             bytes_of_a_request_count_what_was_put_in)
