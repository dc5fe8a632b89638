/* What a caller's socket sees of replies that end, break off or are reset. */
#include "testing.h"

#include "HttpReply.h"

#include <event2/buffer.h>
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

static void
send_last_body(struct evhttp_request *request)
{
    HttpReply_closeAfter(request);
    send_body(request);
}

/* A caller of HTTP/1.0 that keeps its connection was told both. */
START_TEST(last_reply_states_the_close_alone)
{
    ReplyClient_connect("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
                        send_last_body);
    ck_assert_int_eq(ReplyClient_readUntil(G_MAXSIZE), 0);
    ck_assert(ReplyClient_hasReceived("Connection: close\r\n"));
    ck_assert(!ReplyClient_hasReceived("keep-alive"));
    ck_assert(ReplyClient_hasReceived("Content-Length: 4\r\n"));
    ReplyClient_close();
}
END_TEST

TESTING_MAIN("HttpReply", reply_without_a_frame_ends_with_its_connection,
             reply_that_breaks_off_is_reset,
             all_open_replies_are_reset_at_once, proven_stream_has_chunks,
             stream_for_http_1_0_ends_with_its_connection,
             body_for_http_1_0_has_a_length, last_reply_states_the_close_alone)
