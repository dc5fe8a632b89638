/* Whole answers that callers did not read took a router's memory. */
#include "AnswerRoom.h"

#include <event2/buffer.h>

#include "Clock.h"
#include "HttpReply.h"
#include "PendingReply.h"
#include "ReplyClient.h"
#include "testing.h"

#define ROOM ((gsize)100000)
#define LARGE ((gsize)16 << 20) /* more than the kernel's buffers hold */

static const char request[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

static gsize arriving;
static AnswerRoom_t *room;
static AnswerWaiter_t waiters[3];
static guint resumed[3];

static void
on_resume(void *owner)
{
    (*(guint *)owner)++;
}

static void
begin(void)
{
    arriving = 0;
    room = AnswerRoom_create(ReplyClient_base(), &arriving, ROOM);
    for (guint i = 0; i < G_N_ELEMENTS(waiters); i++) {
        resumed[i] = 0;
        AnswerWaiter_init(&waiters[i], room, on_resume, &resumed[i]);
    }
}

static void
end(void)
{
    for (guint i = 0; i < G_N_ELEMENTS(waiters); i++) {
        AnswerWaiter_clear(&waiters[i]);
    }
    AnswerRoom_destroy(room);
    ReplyClient_close();
}

static void
send_large(struct evhttp_request *http)
{
    struct evbuffer *body = evbuffer_new();
    void *bytes = g_malloc0(LARGE);
    evbuffer_add(body, bytes, LARGE);
    g_free(bytes);
    HttpReply_sendBody(http, "large", HTTP_OK, NULL, body, TRUE);
    evbuffer_free(body);
}

static void
send_nothing(struct evhttp_request *http)
{
    evhttp_send_reply(http, HTTP_NOCONTENT, NULL, NULL);
}

static void
run(gint64 ms)
{
    gint64 until_ms = Clock_nowMs() + ms;
    while (Clock_nowMs() < until_ms) {
        struct timeval step = {0, 10000};
        event_base_loopexit(ReplyClient_base(), &step);
        event_base_dispatch(ReplyClient_base());
    }
}

static void
connect_unread(void)
{
    ReplyClient_connect(request, send_large);
    ck_assert_int_eq(ReplyClient_readUntil(1), 1);
    begin();
    ck_assert_uint_gt(PendingReply_bytes(), ROOM);
    ck_assert_uint_eq(PendingReply_count(), 1);
}

START_TEST(answers_go_on_while_there_is_room)
{
    ReplyClient_connect(request, send_nothing);
    begin();
    arriving = ROOM / 2;
    ck_assert(!AnswerWaiter_mustWait(&waiters[0], ROOM / 2));
    ck_assert(!AnswerRoom_isUsedUp(room));
    end();
}
END_TEST

START_TEST(one_of_those_that_arrive_goes_on_and_the_others_follow_in_turn)
{
    ReplyClient_connect(request, send_nothing);
    begin();
    arriving = ROOM / 2 + 1;
    ck_assert(!AnswerWaiter_mustWait(&waiters[0], ANSWER_ROOM_FREE_MAX + 1));
    ck_assert(AnswerWaiter_mustWait(&waiters[1], ANSWER_ROOM_FREE_MAX + 1));
    ck_assert(AnswerWaiter_mustWait(&waiters[2], ANSWER_ROOM_FREE_MAX + 1));
    ck_assert(!AnswerWaiter_mustWait(&waiters[0], ROOM));
    run(200);
    ck_assert_uint_eq(resumed[1], 0);
    AnswerWaiter_clear(&waiters[0]);
    run(200);
    ck_assert_uint_eq(resumed[1], 1);
    ck_assert_uint_eq(resumed[2], 0);
    ck_assert(!AnswerWaiter_mustWait(&waiters[1], ROOM));
    arriving = 0;
    run(200);
    ck_assert_uint_eq(resumed[2], 1);
    end();
}
END_TEST

START_TEST(short_answers_never_wait)
{
    connect_unread();
    ck_assert(!AnswerWaiter_mustWait(&waiters[0], ANSWER_ROOM_FREE_MAX));
    ck_assert(AnswerWaiter_mustWait(&waiters[0], ANSWER_ROOM_FREE_MAX + 1));
    end();
}
END_TEST

START_TEST(caller_that_reads_nothing_gives_way)
{
    connect_unread();
    ck_assert(AnswerRoom_isUsedUp(room));
    ck_assert(AnswerWaiter_mustWait(&waiters[0], ROOM));
    run(ANSWER_ROOM_STALL_MS / 2);
    ck_assert_uint_eq(resumed[0], 0);
    ck_assert_uint_eq(PendingReply_count(), 1);
    run(ANSWER_ROOM_STALL_MS);
    ck_assert_uint_eq(PendingReply_count(), 0);
    ck_assert_uint_eq(PendingReply_bytes(), 0);
    ck_assert_uint_eq(resumed[0], 1);
    ck_assert(!AnswerRoom_isUsedUp(room));
    end();
}
END_TEST

START_TEST(answers_that_may_be_passed_on_wait_for_no_caller)
{
    connect_unread();
    waiters[0].may_pass = TRUE;
    ck_assert(!AnswerWaiter_mustPass(&waiters[0], ANSWER_ROOM_FREE_MAX));
    ck_assert(AnswerWaiter_mustPass(&waiters[0], ANSWER_ROOM_FREE_MAX + 1));
    ck_assert(!AnswerWaiter_mustPass(&waiters[1], ROOM));
    ck_assert(AnswerWaiter_mustWait(&waiters[1], ROOM));
    ck_assert(AnswerWaiter_mustWait(&waiters[0], ROOM));
    run(200);
    ck_assert_uint_eq(resumed[0], 1);
    ck_assert_uint_eq(resumed[1], 0);
    end();
}
END_TEST

START_TEST(answers_are_not_passed_on_for_each_other)
{
    ReplyClient_connect(request, send_nothing);
    begin();
    arriving = ROOM + 1;
    waiters[0].may_pass = TRUE;
    ck_assert(!AnswerWaiter_mustPass(&waiters[0], ROOM));
    end();
}
END_TEST

START_TEST(caller_that_reads_slowly_is_kept)
{
    connect_unread();
    for (gsize count = 1; count < LARGE; count += LARGE / 8) {
        ck_assert_int_eq(ReplyClient_readUntil(count), 1);
        run(ANSWER_ROOM_STALL_MS / 3);
    }
    ck_assert_int_eq(ReplyClient_readUntil(LARGE), 1);
    run(100);
    ck_assert_uint_eq(PendingReply_count(), 0);
    end();
}
END_TEST

START_TEST(room_ends_while_answers_wait)
{
    connect_unread();
    ck_assert(AnswerWaiter_mustWait(&waiters[0], ROOM));
    ck_assert(AnswerWaiter_mustWait(&waiters[1], ROOM));
    AnswerRoom_destroy(room);
    ReplyClient_close();
    ck_assert_uint_eq(resumed[0] + resumed[1], 0);
}
END_TEST

START_TEST(nobody_is_given_up_while_there_is_room)
{
    connect_unread();
    AnswerRoom_setMax(room, 2 * LARGE);
    run((gint64)2 * ANSWER_ROOM_STALL_MS);
    ck_assert_uint_eq(PendingReply_count(), 1);
    ck_assert(!AnswerRoom_isUsedUp(room));
    end();
}
END_TEST

TESTING_MAIN("AnswerRoom", answers_go_on_while_there_is_room,
             one_of_those_that_arrive_goes_on_and_the_others_follow_in_turn,
             short_answers_never_wait, caller_that_reads_nothing_gives_way,
             caller_that_reads_slowly_is_kept, room_ends_while_answers_wait,
             nobody_is_given_up_while_there_is_room,
             answers_that_may_be_passed_on_wait_for_no_caller,
             answers_are_not_passed_on_for_each_other)
