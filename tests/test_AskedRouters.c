/* A question reaches each router, also after a loss, and none more than twice.
 */
#include "AskedRouters.h"

#include "testing.h"

#define REPEAT_MS 80

static AskedRouters_t *asked;

static void
create(void)
{
    asked = AskedRouters_create(REPEAT_MS);
}

static void
destroy(void)
{
    AskedRouters_destroy(asked);
}

static gboolean
add(guint64 router, guint64 start, gint64 send_ms)
{
    AskedRouter_t added = {.router = router, .start = start};
    return AskedRouters_add(asked, &added, send_ms);
}

static guint
send_due(gint64 now_ms)
{
    guint64 due[ASKED_ROUTERS_MAX];
    return AskedRouters_takeDue(asked, now_ms, due);
}

START_TEST(a_router_that_does_not_reply_is_sent_the_question_twice)
{
    create();
    ck_assert(add(7, 1, 100));
    ck_assert_int_eq(AskedRouters_dueMs(asked), 100);
    ck_assert_uint_eq(send_due(99), 0);
    ck_assert_uint_eq(send_due(100), 1);
    ck_assert_uint_eq(send_due(100 + REPEAT_MS - 1), 0);
    ck_assert_uint_eq(send_due(100 + REPEAT_MS), 1);
    ck_assert_int_eq(AskedRouters_dueMs(asked), G_MAXINT64);
    ck_assert_uint_eq(send_due(100000), 0);
    ck_assert_uint_eq(AskedRouters_countOpen(asked), 1);
    destroy();
}
END_TEST

START_TEST(a_router_that_replied_is_sent_nothing_more)
{
    create();
    add(7, 1, 100);
    add(8, 1, 100);
    ck_assert_uint_eq(send_due(100), 2);
    ck_assert(AskedRouters_noteReply(asked, 7));
    ck_assert(!AskedRouters_noteReply(asked, 7));
    ck_assert(!AskedRouters_noteReply(asked, 9));
    ck_assert_uint_eq(AskedRouters_countReplies(asked), 1);
    ck_assert_uint_eq(AskedRouters_countOpen(asked), 1);
    ck_assert_uint_eq(send_due(100 + REPEAT_MS), 1);
    destroy();
}
END_TEST

START_TEST(a_router_is_asked_once_however_often_it_is_named)
{
    create();
    ck_assert(add(7, 1, 100));
    ck_assert(!add(7, 1, 100));
    send_due(100);
    AskedRouters_noteReply(asked, 7);
    ck_assert(!add(7, 1, 200));
    ck_assert(!add(7, 0, 200));
    ck_assert_uint_eq(send_due(1000), 0);
    ck_assert_uint_eq(AskedRouters_count(asked), 1);
    destroy();
}
END_TEST

/* The process that was asked may be gone. */
START_TEST(a_router_that_started_again_is_asked_again)
{
    create();
    add(7, 1, 100);
    send_due(100);
    AskedRouters_noteReply(asked, 7);
    ck_assert(add(7, 2, 200));
    ck_assert_uint_eq(AskedRouters_count(asked), 1);
    ck_assert_uint_eq(AskedRouters_countOpen(asked), 1);
    ck_assert_uint_eq(send_due(200), 1);
    ck_assert(AskedRouters_noteReply(asked, 7));
    ck_assert(!add(7, 1, 300));
    destroy();
}
END_TEST

START_TEST(a_start_that_becomes_known_is_no_other_one)
{
    create();
    add(7, 0, 100);
    ck_assert(!add(7, 5, 100));
    ck_assert(add(7, 6, 100));
    destroy();
}
END_TEST

START_TEST(questions_that_wait_are_hurried_and_repeats_are_not)
{
    create();
    add(7, 1, 100);
    add(8, 1, 700);
    ck_assert_uint_eq(send_due(100), 1);
    AskedRouters_hurry(asked, 110);
    ck_assert_uint_eq(send_due(110), 1);
    ck_assert_uint_eq(send_due(100 + REPEAT_MS), 1);
    ck_assert_uint_eq(send_due(110 + REPEAT_MS), 1);
    destroy();
}
END_TEST

START_TEST(no_more_routers_are_asked_than_there_is_room_for)
{
    create();
    for (guint64 router = 1; router <= ASKED_ROUTERS_MAX; router++) {
        ck_assert(add(router, 1, 100));
    }
    ck_assert(!add(ASKED_ROUTERS_MAX + 1, 1, 100));
    ck_assert_uint_eq(send_due(100), ASKED_ROUTERS_MAX);
    AskedRouters_clear(asked);
    ck_assert_uint_eq(AskedRouters_count(asked), 0);
    ck_assert_uint_eq(AskedRouters_countOpen(asked), 0);
    ck_assert(add(1, 1, 100));
    destroy();
}
END_TEST

TESTING_MAIN("AskedRouters",
             a_router_that_does_not_reply_is_sent_the_question_twice,
             a_router_that_replied_is_sent_nothing_more,
             a_router_is_asked_once_however_often_it_is_named,
             a_router_that_started_again_is_asked_again,
             a_start_that_becomes_known_is_no_other_one,
             questions_that_wait_are_hurried_and_repeats_are_not,
             no_more_routers_are_asked_than_there_is_room_for)
