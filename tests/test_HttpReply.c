/* What a caller's socket sees of replies that end, break off or are reset. */
#include "testing.h"

#include "HttpReply.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>

#include "ReplyClient.h"
#include "ResetOnClose.h"

#define EVENT "data: x\n\n"

static void
send_event(struct evhttp_request *request, gboolean is_end_proven)
{
    struct evbuffer *event = evbuffer_new();
    evbuffer_add(event, EVENT, strlen(EVENT));
    HttpReply_startStream(request, HTTP_OK, is_end_proven);
    evhttp_send_reply_chunk(request, event);
    evbuffer_free(event);
}

static void
stream_and_end(struct evhttp_request *request)
{
    send_event(request, FALSE);
    ck_assert(HttpReply_isCloseDelimited(request));
    HttpReply_endStream(request, NULL);
}

static void
stream_only(struct evhttp_request *request)
{
    send_event(request, FALSE);
}

static void
stream_proven(struct evhttp_request *request)
{
    send_event(request, TRUE);
    HttpReply_endStream(request, NULL);
}

static void
send_body(struct evhttp_request *request)
{
    struct evbuffer *body = evbuffer_new();
    evbuffer_add(body, "body", 4);
    HttpReply_sendBody(request, NULL, HTTP_OK, NULL, body, TRUE);
    evbuffer_free(body);
}

static const char request_1_1[] =
    "GET / HTTP/1.1\r\nHost: h\r\nConnection: keep-alive\r\n\r\n";
static const char request_1_0[] =
    "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n";

START_TEST(reply_without_a_frame_ends_with_its_connection)
{
    ReplyClient_connect(request_1_1, stream_and_end);
    ck_assert_int_eq(ReplyClient_readUntil(G_MAXSIZE), 0);
    ck_assert(g_str_has_prefix(ReplyClient_received()->str, "HTTP/1.1 200"));
    ck_assert(g_str_has_suffix(ReplyClient_received()->str, "\r\n\r\n" EVENT));
    ck_assert(ReplyClient_hasReceived("Connection: close"));
    ck_assert(!ReplyClient_hasReceived("keep-alive"));
    ck_assert(!ReplyClient_hasReceived("Content-Length"));
    ck_assert(!ReplyClient_hasReceived("Transfer-Encoding"));
    ReplyClient_close();
}
END_TEST

START_TEST(reply_that_breaks_off_is_reset)
{
    ReplyClient_connect(request_1_1, stream_only);
    ck_assert_int_eq(ReplyClient_readUntil(strlen("HTTP/1.1 200")), 1);
    ResetOnClose_close(ReplyClient_serverSide());
    ck_assert_int_eq(ReplyClient_readUntil(G_MAXSIZE), -1);
    ReplyClient_close();
}
END_TEST

START_TEST(all_open_replies_are_reset_at_once)
{
    ReplyClient_connect(request_1_1, stream_only);
    ck_assert_int_eq(ReplyClient_readUntil(strlen("HTTP/1.1 200")), 1);
    ResetOnClose_resetAll();
    ck_assert_int_eq(ReplyClient_readUntil(G_MAXSIZE), -1);
    ReplyClient_close();
}
END_TEST

START_TEST(proven_stream_has_chunks)
{
    ReplyClient_connect(request_1_1, stream_proven);
    ck_assert_int_eq(ReplyClient_readUntil(strlen("HTTP/1.1 200")), 1);
    while (!g_str_has_suffix(ReplyClient_received()->str, "0\r\n\r\n")) {
        ck_assert_int_eq(
            ReplyClient_readUntil(ReplyClient_received()->len + 1), 1);
    }
    ck_assert(ReplyClient_hasReceived("Transfer-Encoding: chunked"));
    ReplyClient_close();
}
END_TEST

START_TEST(stream_for_http_1_0_ends_with_its_connection)
{
    ReplyClient_connect(request_1_0, stream_proven);
    ck_assert_int_eq(ReplyClient_readUntil(G_MAXSIZE), 0);
    ck_assert(g_str_has_suffix(ReplyClient_received()->str, "\r\n\r\n" EVENT));
    ck_assert(!ReplyClient_hasReceived("Content-Length"));
    ReplyClient_close();
}
END_TEST

START_TEST(body_for_http_1_0_has_a_length)
{
    ReplyClient_connect("GET / HTTP/1.0\r\n\r\n", send_body);
    ck_assert_int_eq(ReplyClient_readUntil(G_MAXSIZE), 0);
    ck_assert(ReplyClient_hasReceived("Content-Length: 4\r\n"));
    ck_assert(g_str_has_suffix(ReplyClient_received()->str, "\r\n\r\nbody"));
    ReplyClient_close();
}
END_TEST

#define PARTS 1000

/* Returns how many of them were added behind what waits. */
static guint
append_parts(struct evhttp_request *request)
{
    struct evbuffer *part = evbuffer_new();
    guint appended = 0;
    for (guint i = 0; i < PARTS; i++) {
        evbuffer_add(part, EVENT, strlen(EVENT));
        appended += HttpReply_appendPart(request, part) ? 1 : 0;
    }
    evbuffer_free(part);
    return appended;
}

/* The blocks that hold what waits, without the first one. */
static gsize
waiting_blocks(struct evhttp_request *request)
{
    struct bufferevent *stream = evhttp_connection_get_bufferevent(
        evhttp_request_get_connection(request));
    struct evbuffer *output = bufferevent_get_output(stream);
    return (gsize)evbuffer_peek(output, -1, NULL, NULL, 0) - 1;
}

static void
stream_parts(struct evhttp_request *request)
{
    send_event(request, TRUE);
    ck_assert_uint_eq(append_parts(request), PARTS);
    ck_assert_uint_lt(waiting_blocks(request), PARTS / 10);
    HttpReply_endStream(request, NULL);
}

static void
stream_parts_without_an_end(struct evhttp_request *request)
{
    send_event(request, FALSE);
    ck_assert_uint_eq(append_parts(request), PARTS);
    HttpReply_endStream(request, NULL);
}

static void
stream_nothing(struct evhttp_request *request)
{
    HttpReply_startStream(request, HTTP_NOCONTENT, TRUE);
    ck_assert_uint_eq(append_parts(request), 0);
    HttpReply_endStream(request, NULL);
}

static guint
count_received(const char *text)
{
    g_auto(GStrv) parts = g_strsplit(ReplyClient_received()->str, text, -1);
    return g_strv_length(parts) - 1;
}

/* Each was held in its own block. */
START_TEST(parts_that_wait_share_their_blocks)
{
    ReplyClient_connect(request_1_1, stream_parts);
    ck_assert_int_eq(ReplyClient_readUntil(strlen("HTTP/1.1 200")), 1);
    while (!g_str_has_suffix(ReplyClient_received()->str, "0\r\n\r\n")) {
        ck_assert_int_eq(
            ReplyClient_readUntil(ReplyClient_received()->len + 1), 1);
    }
    ck_assert_uint_eq(count_received("9\r\n" EVENT "\r\n"), 1 + PARTS);
    ReplyClient_close();
}
END_TEST

START_TEST(parts_without_a_frame_have_no_chunks)
{
    ReplyClient_connect(request_1_1, stream_parts_without_an_end);
    ck_assert_int_eq(ReplyClient_readUntil(G_MAXSIZE), 0);
    ck_assert_uint_eq(count_received(EVENT), 1 + PARTS);
    ck_assert(!ReplyClient_hasReceived("9\r\n"));
    ReplyClient_close();
}
END_TEST

START_TEST(answers_without_a_body_get_no_parts)
{
    ReplyClient_connect("GET / HTTP/1.1\r\nConnection: close\r\n\r\n",
                        stream_nothing);
    ck_assert_int_eq(ReplyClient_readUntil(G_MAXSIZE), 0);
    ck_assert(g_str_has_suffix(ReplyClient_received()->str, "\r\n\r\n"));
    ck_assert(!ReplyClient_hasReceived(EVENT));
    ReplyClient_close();
}
END_TEST

static void
send_last_body(struct evhttp_request *request)
{
    HttpReply_closeAfter(request);
    send_body(request);
}

static void
send_body_and_close(struct evhttp_request *request)
{
    HttpReply_close(request);
    send_body(request);
}

/* A caller took "Connection: close" and "keep-alive" in one head for either.
 */
static void
check_close(const char *request, void (*handle)(struct evhttp_request *))
{
    ReplyClient_connect(request, handle);
    ck_assert_int_eq(ReplyClient_readUntil(G_MAXSIZE), 0);
    const char *head = ReplyClient_received()->str;
    const char *first = strstr(head, "Connection: ");
    ck_assert_ptr_nonnull(first);
    ck_assert(g_str_has_prefix(first, "Connection: close\r\n"));
    ck_assert_ptr_null(strstr(first + 1, "Connection: "));
    ck_assert(ReplyClient_hasReceived("Content-Length: 4\r\n"));
    ck_assert(g_str_has_suffix(head, "\r\n\r\nbody"));
    ReplyClient_close();
}

START_TEST(last_reply_of_a_kept_http_1_0_connection_only_says_close)
{
    check_close(request_1_0, send_last_body);
    check_close(request_1_0, send_body_and_close);
    check_close(request_1_1, send_last_body);
    check_close(request_1_1, send_body_and_close);
}
END_TEST

TESTING_MAIN("HttpReply", parts_that_wait_share_their_blocks,
             parts_without_a_frame_have_no_chunks,
             answers_without_a_body_get_no_parts,
             reply_without_a_frame_ends_with_its_connection,
             reply_that_breaks_off_is_reset,
             all_open_replies_are_reset_at_once, proven_stream_has_chunks,
             stream_for_http_1_0_ends_with_its_connection,
             body_for_http_1_0_has_a_length,
             last_reply_of_a_kept_http_1_0_connection_only_says_close)
