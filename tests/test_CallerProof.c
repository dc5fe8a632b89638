/* Callers that have closed their sending side, and callers that have left. */
#include "testing.h"

#include "CallerProof.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>
#include <sys/socket.h>

#include "HttpReply.h"
#include "ReplyClient.h"

#define REQUEST "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
#define OLD_REQUEST "POST / HTTP/1.0\r\nContent-Length: 1\r\n\r\nx"
#define INTERIM "HTTP/1.1 100 Continue\r\n\r\n"
/* Within which work for a caller that has left must end. */
#define GONE_MS 500
/* What is left of it for what the work takes to end. */
#define NOTICED_MS 300
#define LONG_WAIT_MS 4000
/* Of one request, beside that of its Expect header. */
#define INTERIM_MAX 4

static struct evhttp_request *open_request;
static CallerProof_t *proof;
static guint gone;

static void
on_gone(void *owner)
{
    ck_assert_ptr_eq(owner, &gone);
    g_clear_pointer(&proof, CallerProof_destroy);
    gone++;
}

static void
keep(struct evhttp_request *request)
{
    open_request = request;
}

/* The caller has sent its request. */
static void
connect_caller(const char *request)
{
    gone = 0;
    open_request = NULL;
    ReplyClient_connect(request, keep);
    while (!open_request) {
        event_base_loop(ReplyClient_base(), EVLOOP_ONCE);
    }
}

static void
begin(void)
{
    proof =
        CallerProof_create(ReplyClient_base(), open_request, on_gone, &gone);
}

static void
end(void)
{
    g_clear_pointer(&proof, CallerProof_destroy);
    ReplyClient_close();
}

static void
begin_stream(gboolean is_end_proven)
{
    HttpReply_startStream(open_request, HTTP_OK, is_end_proven);
    ReplyClient_run(20);
}

static void
send_chunk(const char *text)
{
    struct evbuffer *chunk = evbuffer_new();
    evbuffer_add(chunk, text, strlen(text));
    evhttp_send_reply_chunk(open_request, chunk);
    evbuffer_free(chunk);
    ReplyClient_run(20);
}

static void
send_answer(void)
{
    struct evbuffer *body = evbuffer_new();
    evbuffer_add(body, "whole", 5);
    HttpReply_sendBody(open_request, NULL, HTTP_OK, NULL, body, TRUE);
    evbuffer_free(body);
}

/* The system of one that leaves bytes unread resets the connection. */
static void
leave_having_read(const char *text)
{
    while (!ReplyClient_hasReceived(text)) {
        ck_assert_int_eq(
            ReplyClient_readUntil(ReplyClient_received()->len + 1), 1);
    }
    ReplyClient_leave();
}

static guint
count(const char *text)
{
    guint found = 0;
    const char *at = ReplyClient_received()->str;
    while ((at = strstr(at, text)) != NULL) {
        found++;
        at += strlen(text);
    }
    return found;
}

/* Returns the linger time of the server's socket, -1 without one. */
static int
linger_s(void)
{
    struct linger linger = {0};
    socklen_t size = sizeof(linger);
    struct bufferevent *stream =
        evhttp_connection_get_bufferevent(ReplyClient_serverSide());
    getsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &linger,
               &size);
    return linger.l_onoff ? linger.l_linger : -1;
}

START_TEST(caller_that_waits_gets_its_answer_behind_interim_ones)
{
    connect_caller(REQUEST);
    ReplyClient_endInput();
    begin();
    ReplyClient_run(GONE_MS);
    ck_assert_uint_eq(gone, 0);
    g_clear_pointer(&proof, CallerProof_destroy);
    send_answer();
    ck_assert_int_eq(ReplyClient_readUntil(G_MAXSIZE), 0);
    ck_assert_uint_ge(count(INTERIM), 2);
    ck_assert_uint_le(count(INTERIM), 4);
    ck_assert(g_str_has_suffix(ReplyClient_received()->str, "\r\n\r\nwhole"));
    end();
}
END_TEST

/* Readers that bound their number gave up. */
START_TEST(interim_answers_are_few)
{
    connect_caller(REQUEST);
    ReplyClient_endInput();
    begin();
    ReplyClient_run(LONG_WAIT_MS);
    ck_assert_uint_eq(gone, 0);
    g_clear_pointer(&proof, CallerProof_destroy);
    send_answer();
    ck_assert_int_eq(ReplyClient_readUntil(G_MAXSIZE), 0);
    ck_assert_uint_ge(count(INTERIM), 2);
    ck_assert_uint_le(count(INTERIM), INTERIM_MAX);
    ck_assert(g_str_has_suffix(ReplyClient_received()->str, "\r\n\r\nwhole"));
    end();
}
END_TEST

/* A reset is no proof of ours, and is seen without one. */
START_TEST(reset_is_noticed_once_no_more_is_sent)
{
    connect_caller(REQUEST);
    ReplyClient_endInput();
    begin();
    ReplyClient_run(LONG_WAIT_MS);
    ReplyClient_leave();
    ReplyClient_run(NOTICED_MS);
    ck_assert_uint_eq(gone, 1);
    end();
}
END_TEST

START_TEST(caller_that_has_left_is_noticed)
{
    static const char *const requests[] = {REQUEST, OLD_REQUEST};
    for (gsize i = 0; i < G_N_ELEMENTS(requests); i++) {
        connect_caller(requests[i]);
        ReplyClient_leave();
        begin();
        ReplyClient_run(NOTICED_MS);
        ck_assert_uint_eq(gone, i == 0 ? 1 : 0);
        end();
    }
}
END_TEST

/* Its system has sent the end before, and says nothing as it closes. */
START_TEST(caller_that_leaves_later_is_noticed)
{
    connect_caller(REQUEST);
    ReplyClient_endInput();
    begin();
    leave_having_read(INTERIM);
    ReplyClient_run(NOTICED_MS);
    ck_assert_uint_eq(gone, 1);
    end();
}
END_TEST

START_TEST(caller_that_leaves_a_silent_stream_is_noticed)
{
    connect_caller(REQUEST);
    begin_stream(TRUE);
    send_chunk("one");
    leave_having_read("one");
    begin();
    ReplyClient_run(NOTICED_MS);
    ck_assert_uint_eq(gone, 1);
    end();
}
END_TEST

START_TEST(silent_stream_goes_on_behind_zeros)
{
    connect_caller(REQUEST);
    begin_stream(TRUE);
    send_chunk("one");
    ReplyClient_endInput();
    begin();
    ReplyClient_run(GONE_MS);
    ck_assert_uint_eq(gone, 0);
    ck_assert_int_eq(linger_s(), 0);
    send_chunk("two");
    ReplyClient_run(GONE_MS);
    g_clear_pointer(&proof, CallerProof_destroy);
    HttpReply_endStream(open_request, NULL);
    ck_assert_int_eq(ReplyClient_readUntil(G_MAXSIZE), 0);
    ck_assert_uint_eq(count(INTERIM), 0);
    ck_assert(g_regex_match_simple(
        "\r\n\r\n3\r\none\r\n0{2,4}3\r\ntwo\r\n0{3,5}\r\n\r\n$",
        ReplyClient_received()->str, 0, 0));
    end();
}
END_TEST

START_TEST(size_of_a_chunk_stays_short)
{
    connect_caller(REQUEST);
    begin_stream(TRUE);
    send_chunk("one");
    ReplyClient_endInput();
    begin();
    ReplyClient_run(2500);
    g_clear_pointer(&proof, CallerProof_destroy);
    send_chunk("two");
    HttpReply_endStream(open_request, NULL);
    ck_assert_int_eq(ReplyClient_readUntil(G_MAXSIZE), 0);
    ck_assert(g_regex_match_simple("one\r\n0{8}3\r\ntwo\r\n0\r\n\r\n$",
                                   ReplyClient_received()->str, 0, 0));
    end();
}
END_TEST

/* A reader may take a zero and the end of the connection for the last chunk.
 */
START_TEST(stream_that_ends_behind_a_zero_is_reset)
{
    connect_caller(REQUEST);
    begin_stream(TRUE);
    send_chunk("one");
    ReplyClient_endInput();
    begin();
    ReplyClient_run(100);
    ck_assert_int_eq(linger_s(), 0);
    end();
}
END_TEST

/* It can take no byte that is not part of its answer. */
START_TEST(body_that_ends_with_its_connection_stays_as_it_is)
{
    connect_caller(OLD_REQUEST);
    ReplyClient_endInput();
    begin();
    ReplyClient_run(GONE_MS);
    begin_stream(TRUE);
    send_chunk("one");
    ReplyClient_run(GONE_MS);
    ck_assert_uint_eq(gone, 0);
    g_clear_pointer(&proof, CallerProof_destroy);
    HttpReply_endStream(open_request, NULL);
    ck_assert_int_eq(ReplyClient_readUntil(G_MAXSIZE), 0);
    ck_assert_uint_eq(count("HTTP/1.1 100"), 0);
    ck_assert(g_str_has_suffix(ReplyClient_received()->str, "\r\n\r\none"));
    end();
}
END_TEST

START_TEST(next_bytes_of_such_a_body_show_that_its_caller_left)
{
    connect_caller(REQUEST);
    begin_stream(FALSE);
    send_chunk("one");
    leave_having_read("one");
    begin();
    ReplyClient_run(NOTICED_MS);
    ck_assert_uint_eq(gone, 0);
    send_chunk("two");
    ReplyClient_run(NOTICED_MS);
    ck_assert_uint_eq(gone, 1);
    end();
}
END_TEST

static void
on_closed(struct evhttp_connection *connection, void *data)
{
    (void)connection;
    (void)data;
    g_clear_pointer(&proof, CallerProof_destroy);
}

/* evhttp takes the connection from the request before it tells of the end. */
START_TEST(evhttp_may_notice_first)
{
    connect_caller(REQUEST);
    begin_stream(TRUE);
    send_chunk("one");
    ReplyClient_endInput();
    begin();
    evhttp_connection_set_closecb(ReplyClient_serverSide(), on_closed, NULL);
    bufferevent_trigger_event(
        evhttp_connection_get_bufferevent(ReplyClient_serverSide()),
        BEV_EVENT_WRITING | BEV_EVENT_ERROR, 0);
    ck_assert_ptr_null(proof);
    ck_assert_ptr_null(evhttp_request_get_connection(open_request));
    evhttp_send_reply_end(open_request); /* only frees the request */
    end();
}
END_TEST

TESTING_MAIN("CallerProof", evhttp_may_notice_first,
             caller_that_waits_gets_its_answer_behind_interim_ones,
             interim_answers_are_few, reset_is_noticed_once_no_more_is_sent,
             caller_that_has_left_is_noticed,
             caller_that_leaves_later_is_noticed,
             caller_that_leaves_a_silent_stream_is_noticed,
             silent_stream_goes_on_behind_zeros, size_of_a_chunk_stays_short,
             stream_that_ends_behind_a_zero_is_reset,
             body_that_ends_with_its_connection_stays_as_it_is,
             next_bytes_of_such_a_body_show_that_its_caller_left)
