/* The end of a caller's input, and what else follows its request, is not read
 * before the answer was sent. */
#include "testing.h"

#include "InputHold.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>

#include "PendingReply.h"
#include "ReplyClient.h"

#define REQUEST "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
/* More than the kernel takes at once. */
#define LONG_BYTES ((gsize)16 << 20)

static struct evhttp_request *open_request;
static guint requests;

static void
keep(struct evhttp_request *request)
{
    open_request = request;
    requests++;
}

static void
connect_caller(const char *sent)
{
    requests = 0;
    open_request = NULL;
    ReplyClient_connect(sent, keep);
    ReplyClient_run(20);
    ck_assert_uint_eq(requests, 1);
}

static void
answer(gsize length)
{
    struct evbuffer *body = evbuffer_new();
    char *bytes = g_malloc(length);
    memset(bytes, 'a', length);
    evbuffer_add(body, bytes, length);
    evhttp_send_reply(open_request, HTTP_OK, NULL, body);
    evbuffer_free(body);
    g_free(bytes);
}

START_TEST(long_answer_is_sent_behind_the_end_of_input)
{
    connect_caller(REQUEST);
    ReplyClient_endInput();
    answer(LONG_BYTES);
    ck_assert_int_eq(ReplyClient_readUntil(G_MAXSIZE), 0);
    ck_assert_uint_gt(ReplyClient_received()->len, LONG_BYTES);
    ReplyClient_close();
}
END_TEST

START_TEST(long_answer_whose_end_is_awaited_is_sent)
{
    connect_caller(REQUEST);
    ReplyClient_endInput();
    PendingReply_watch(open_request, "r");
    answer(LONG_BYTES);
    ck_assert_uint_eq(PendingReply_count(), 1);
    ck_assert_int_eq(ReplyClient_readUntil(G_MAXSIZE), 0);
    ck_assert_uint_gt(ReplyClient_received()->len, LONG_BYTES);
    ck_assert_uint_eq(PendingReply_count(), 0);
    ReplyClient_close();
}
END_TEST

START_TEST(requests_behind_are_answered_in_turn)
{
    connect_caller(REQUEST REQUEST REQUEST);
    ReplyClient_endInput();
    for (guint i = 1; i <= 3; i++) {
        ck_assert_uint_eq(requests, i);
        answer(i);
        ReplyClient_run(20);
    }
    ck_assert_int_eq(ReplyClient_readUntil(G_MAXSIZE), 0);
    ck_assert(ReplyClient_hasReceived("\r\n\r\naHTTP/1.1 200"));
    ck_assert(g_str_has_suffix(ReplyClient_received()->str, "\r\n\r\naaa"));
    ReplyClient_close();
}
END_TEST

/* As RequestIntake sets it where there is no room for a next body. */
START_TEST(limit_on_reading_is_kept)
{
    struct timeval tick = {0, 1000};
    struct ev_token_bucket_cfg *slow = ev_token_bucket_cfg_new(
        1, 1, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, &tick);
    connect_caller(REQUEST);
    struct bufferevent *stream =
        evhttp_connection_get_bufferevent(ReplyClient_serverSide());
    InputHold_end(ReplyClient_serverSide());
    ck_assert_ptr_null(bufferevent_get_token_bucket_cfg(stream));
    bufferevent_set_rate_limit(stream, slow);
    InputHold_begin(open_request);
    ck_assert_int_lt(bufferevent_get_read_limit(stream), 0);
    answer(1);
    ReplyClient_run(20);
    ck_assert_ptr_eq(bufferevent_get_token_bucket_cfg(stream), slow);
    ck_assert_int_ge(bufferevent_get_read_limit(stream), 0);
    ReplyClient_close();
    ev_token_bucket_cfg_free(slow);
}
END_TEST

TESTING_MAIN("InputHold", long_answer_is_sent_behind_the_end_of_input,
             long_answer_whose_end_is_awaited_is_sent,
             requests_behind_are_answered_in_turn, limit_on_reading_is_kept)
