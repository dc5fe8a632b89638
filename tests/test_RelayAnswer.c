/* No part of an upstream's answer is sent as a whole one. */
#include "testing.h"

#include "RelayAnswer.h"

#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <string.h>
#include <sys/queue.h>

#include "RelayForm.h"
#include "ReplyClient.h"

#define REQUEST "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
#define FORWARDED                                                             \
    "GET / HTTP/1.1\r\nHost: h\r\n" RELAY_FORWARDED_BY                        \
    ": r1\r\nConnection: close\r\n\r\n"
#define BODY "0123456789"
#define BODY_BYTES "10"

#define BUFFER_MAX 65536
#define PIECE_BYTES 4096
/* So much that the process alone uses little of it. */
#define MEMORY_MAX ((gssize)100 << 30)

static RelayAnswer_t *answer;
static MemoryUse_t *memory;

static void
on_event(void *owner)
{
    (void)owner;
}

static void
on_left(void *owner, Refusal_t reason)
{
    (void)owner;
    (void)reason;
}

static const RelayAnswerEvents_t events = {
    .caller_left = on_left,
    .drained = on_event,
};

static void
create_answer(struct evhttp_request *request)
{
    RelayAnswerSpec_t spec = {
        .request = request,
        .id = "r",
        .id_header = "X-Id",
        .buffer_max = BUFFER_MAX,
        .memory = memory,
    };
    answer = RelayAnswer_create(ReplyClient_base(), &spec, &events, NULL);
}

static void
set_up_with(const char *request)
{
    answer = NULL;
    ReplyClient_connect(request, create_answer);
    while (!answer) {
        event_base_loop(ReplyClient_base(), EVLOOP_ONCE);
    }
}

static void
set_up(void)
{
    set_up_with(REQUEST);
}

static void
set_head(int status, BodyFraming_t framing)
{
    struct evkeyvalq headers;
    TAILQ_INIT(&headers);
    if (framing == BODY_LENGTH) {
        evhttp_add_header(&headers, "Content-Length", BODY_BYTES);
    }
    RelayAnswer_setHead(answer, status, framing, &headers);
    evhttp_clear_headers(&headers);
}

static void
send_complete(gsize length)
{
    struct evbuffer *body = evbuffer_new();
    evbuffer_add(body, BODY, length);
    RelayAnswer_sendComplete(answer, body);
    evbuffer_free(body);
}

/* Returns how the connection ended, as ReplyClient_readUntil(). */
static int
read_all(void)
{
    int end = ReplyClient_readUntil(G_MAXSIZE);
    RelayAnswer_destroy(answer);
    return end;
}

static void
ck_assert_refused(void)
{
    read_all();
    ck_assert(ReplyClient_hasReceived("HTTP/1.1 502 "));
    ck_assert(!ReplyClient_hasReceived(BODY));
    ReplyClient_close();
}

START_TEST(whole_answer_is_sent)
{
    static const BodyFraming_t framings[] = {BODY_LENGTH, BODY_CHUNKED,
                                             BODY_CLOSE_DELIMITED};
    for (gsize i = 0; i < G_N_ELEMENTS(framings); i++) {
        set_up();
        set_head(HTTP_OK, framings[i]);
        RelayAnswer_setReceived(answer);
        send_complete(strlen(BODY));
        ck_assert_int_eq(read_all(), 0);
        ck_assert(ReplyClient_hasReceived("HTTP/1.1 200 "));
        ck_assert(ReplyClient_hasReceived(BODY));
        ReplyClient_close();
    }
}
END_TEST

START_TEST(answer_that_has_not_ended_is_refused)
{
    static const BodyFraming_t framings[] = {BODY_LENGTH, BODY_CHUNKED,
                                             BODY_CLOSE_DELIMITED};
    for (gsize i = 0; i < G_N_ELEMENTS(framings); i++) {
        set_up();
        set_head(HTTP_OK, framings[i]);
        send_complete(strlen(BODY));
        ck_assert_refused();
    }
}
END_TEST

START_TEST(answer_shorter_than_stated_is_refused)
{
    set_up();
    set_head(HTTP_OK, BODY_LENGTH);
    RelayAnswer_setReceived(answer);
    send_complete(strlen(BODY) - 1);
    ck_assert_refused();
}
END_TEST

START_TEST(answer_that_replaces_a_whole_error_is_refused_until_it_ends)
{
    set_up();
    set_head(HTTP_INTERNAL, BODY_LENGTH);
    RelayAnswer_setReceived(answer);
    set_head(HTTP_OK, BODY_CHUNKED);
    send_complete(strlen(BODY));
    ck_assert_refused();
}
END_TEST

static gboolean
is_told_to_try_another(const char *request, Refusal_t refusal, RunState_t run)
{
    set_up_with(request);
    RelayAnswer_refuse(answer, refusal, run, NULL);
    ck_assert_int_eq(read_all(), 0);
    gboolean is_told = ReplyClient_hasReceived(RELAY_TRY_ANOTHER);
    ReplyClient_close();
    return is_told;
}

/* Its caller got 503 although another router could have served it. */
START_TEST(router_is_told_that_another_may_serve_what_outlasts_a_stop)
{
    ck_assert(is_told_to_try_another(FORWARDED, REFUSAL_STOPPING, RUN_NOT));
    ck_assert(!is_told_to_try_another(FORWARDED, REFUSAL_STOPPING, RUN_MAYBE));
    ck_assert(
        !is_told_to_try_another(FORWARDED, REFUSAL_NO_UPSTREAM, RUN_NOT));
    ck_assert(!is_told_to_try_another(REQUEST, REFUSAL_STOPPING, RUN_NOT));
}
END_TEST

static gboolean
is_told_of_service(const char *request, Refusal_t refusal, gboolean unreached)
{
    set_up_with(request);
    if (unreached) {
        RelayAnswer_setServiceUnreached(answer);
    }
    RelayAnswer_refuse(answer, refusal, RUN_NOT, NULL);
    ck_assert_int_eq(read_all(), 0);
    gboolean is_told = ReplyClient_hasReceived(
        RELAY_TRY_ANOTHER ": " RELAY_REFUSES_SERVICE "\r\n");
    ReplyClient_close();
    return is_told;
}

START_TEST(router_is_told_of_a_service_that_is_not_reached_here)
{
    ck_assert(is_told_of_service(FORWARDED, REFUSAL_NO_UPSTREAM, TRUE));
    ck_assert(!is_told_of_service(FORWARDED, REFUSAL_NO_UPSTREAM, FALSE));
    ck_assert(!is_told_of_service(FORWARDED, REFUSAL_OVERLOADED, TRUE));
    ck_assert(!is_told_of_service(REQUEST, REFUSAL_NO_UPSTREAM, TRUE));
}
END_TEST

START_TEST(stream_that_has_not_ended_is_broken_off)
{
    set_up();
    set_head(HTTP_OK, BODY_CHUNKED);
    struct evbuffer *data = evbuffer_new();
    evbuffer_add(data, BODY, strlen(BODY));
    RelayAnswer_sendData(answer, data);
    evbuffer_free(data);
    RelayAnswer_finishStream(answer);
    read_all();
    ck_assert(ReplyClient_hasReceived(BODY));
    ck_assert(!ReplyClient_hasReceived("\r\n0\r\n\r\n"));
    ReplyClient_close();
}
END_TEST

/* Returns the bytes that wait in the process when it must be read no further.
 */
static gsize
buffer_until_full(gssize percent_used)
{
    gssize used = MEMORY_MAX / 100 * percent_used;
    MemoryUse_setMax(memory, MEMORY_MAX);
    MemoryUse_add(memory, used);
    char piece[PIECE_BYTES] = {0};
    struct evbuffer *data = evbuffer_new();
    set_up();
    set_head(HTTP_OK, BODY_CHUNKED);
    while (!RelayAnswer_isFull(answer)) {
        evbuffer_add(data, piece, sizeof(piece));
        RelayAnswer_sendData(answer, data);
    }
    struct bufferevent *stream =
        evhttp_connection_get_bufferevent(ReplyClient_serverSide());
    gsize waiting = evbuffer_get_length(bufferevent_get_output(stream));
    evbuffer_free(data);
    RelayAnswer_destroy(answer);
    ReplyClient_close();
    MemoryUse_add(memory, -used);
    return waiting;
}

START_TEST(streams_buffer_less_while_memory_is_short)
{
    memory = MemoryUse_create(0);
    ck_assert_uint_gt(buffer_until_full(50), BUFFER_MAX);
    gsize tight = buffer_until_full(77);
    ck_assert_uint_gt(tight, ANSWER_OUTPUT_FREE_MAX);
    ck_assert_uint_lt(tight, ANSWER_OUTPUT_FREE_MAX + 2 * PIECE_BYTES);
    ck_assert_uint_lt(buffer_until_full(95), 2 * PIECE_BYTES);
    MemoryUse_destroy(g_steal_pointer(&memory));
}
END_TEST

TESTING_MAIN("RelayAnswer", streams_buffer_less_while_memory_is_short,
             whole_answer_is_sent,
             router_is_told_of_a_service_that_is_not_reached_here,
             router_is_told_that_another_may_serve_what_outlasts_a_stop,
             answer_that_has_not_ended_is_refused,
             answer_shorter_than_stated_is_refused,
             answer_that_replaces_a_whole_error_is_refused_until_it_ends,
             stream_that_has_not_ended_is_broken_off)
