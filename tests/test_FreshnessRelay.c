#include "testing.h"

#include "Clock.h"
#include "FakeRouters.h"
#include "FreshnessRelay.h"
#include "PeerAge.h"

/* More than links of a test, so that all are linked with all. */
#define MESH 16
/* Fewer than its routers, so that news are passed on. */
#define NO_MESH 1
/* Three times as long as news may wait to be passed on. */
#define TICKS_MS 600
#define TICK_MS (TICKS_MS / 3)
/* Far below that, also on a busy machine. */
#define AT_ONCE_MS 60
#define MANY_NEWS 12
#define TICK_PARTS 4
/* Longer than a busy loop takes for a turn. */
#define STANDSTILL_MS 800
/* For an age that is far from any other. */
#define OLD_MS 10000
/* Of the configuration in force. */
#define VERSION 3

static FakeRouters_t routers;
static FreshnessRelay_t *relay;
static guint64 fresh_offset;
static gint64 fresh_at_ms;
static guint fresh_calls;
static gboolean is_known; /* what on_fresh() says */

static gboolean
on_fresh(void *owner, Member_t *from, StorePosition_t end, gint64 at_ms)
{
    (void)owner;
    (void)from;
    fresh_calls++;
    fresh_offset = end.offset;
    fresh_at_ms = at_ms;
    return is_known;
}

static guint64
version_in_force(void *owner)
{
    (void)owner;
    return VERSION;
}

static const FreshnessRelayEvents_t events = {.fresh = on_fresh,
                                              .version = version_in_force};

static FreshnessRelay_t *
create(guint which)
{
    return FreshnessRelay_create(routers.base, routers.list[which].membership,
                                 &events, NULL);
}

static void
begin(guint count, gint64 mesh)
{
    fresh_calls = 0;
    is_known = TRUE;
    FakeRouters_init(&routers, count, mesh);
    relay = create(0);
}

static void
end(void)
{
    FreshnessRelay_destroy(relay);
    FakeRouters_clear(&routers);
}

static void
take(guint64 offset, guint32 age_ms)
{
    Wt__ConfigCurrent message = WT__CONFIG_CURRENT__INIT;
    message.offset = offset;
    message.age_ms = age_ms;
    FreshnessRelay_take(relay, NULL, &message);
}

static void
note(guint64 offset, gint64 at_ms)
{
    FreshnessRelay_note(relay, (StorePosition_t){.offset = offset}, at_ms);
}

static guint
told(guint which)
{
    return FakeRouters_count(&routers, which,
                             WT__PEER_MESSAGE__BODY_CONFIG_CURRENT);
}

static gboolean
second_was_told(const FakeRouters_t *this)
{
    (void)this;
    return told(1) > 0;
}

START_TEST(news_count_from_before_they_were_sent)
{
    begin(1, MESH);
    gint64 before_ms = Clock_nowMs();
    take(7, 300);
    ck_assert_uint_eq(fresh_calls, 1);
    ck_assert_uint_eq(fresh_offset, 7);
    ck_assert_int_ge(fresh_at_ms, before_ms - 300 - PEER_TRANSIT_MAX_MS);
    ck_assert_int_le(fresh_at_ms, Clock_nowMs() - 300 - PEER_TRANSIT_MAX_MS);
    end();
}
END_TEST

/* Symptom: a router let in a key that had been revoked seconds before.
 * Sequence: it stands still; a key is revoked; it goes on and reads what its
 * peers sent before that.
 * Cause: the age that a message tells counts from when it is read.
 * Settled by: 200 to the revoked key from a router that was cut off from the
 * store, once it went on after more than config_max_age. */
START_TEST(news_that_waited_while_it_stood_still_tell_nothing)
{
    begin(1, MESH);
    FakeRouters_run(&routers, TICKS_MS);
    g_usleep(STANDSTILL_MS * CLOCK_US_PER_MS);
    take(7, 0);
    ck_assert_uint_eq(fresh_calls, 0);
    event_base_loop(routers.base, EVLOOP_NONBLOCK);
    take(7, 0);
    ck_assert_uint_eq(fresh_calls, 0);
    FakeRouters_run(&routers, TICKS_MS);
    take(7, 0);
    ck_assert_uint_eq(fresh_calls, 1);
    end();
}
END_TEST

START_TEST(older_news_that_come_later_change_nothing)
{
    begin(1, MESH);
    take(7, 0);
    take(9, OLD_MS);
    take(5, OLD_MS);
    ck_assert_uint_eq(fresh_calls, 1);
    ck_assert_uint_eq(fresh_offset, 7);
    end();
}
END_TEST

START_TEST(what_the_store_has_said_is_worth_more_than_older_news)
{
    begin(1, MESH);
    note(8, Clock_nowMs());
    take(7, 0);
    ck_assert_uint_eq(fresh_calls, 0);
    end();
}
END_TEST

START_TEST(an_answer_of_the_store_that_was_overtaken_is_not_told)
{
    begin(2, NO_MESH);
    gint64 now_ms = Clock_nowMs();
    note(8, now_ms);
    note(7, now_ms - 1);
    FakeRouters_await(&routers, second_was_told);
    const Wt__PeerMessage *message =
        FakeRouters_find(&routers, 1, WT__PEER_MESSAGE__BODY_CONFIG_CURRENT);
    ck_assert_uint_eq(message->config_current->offset, 8);
    end();
}
END_TEST

START_TEST(an_age_only_grows_on_the_way)
{
    begin(2, NO_MESH);
    take(7, 1000);
    FakeRouters_await(&routers, second_was_told);
    const Wt__PeerMessage *message =
        FakeRouters_find(&routers, 1, WT__PEER_MESSAGE__BODY_CONFIG_CURRENT);
    ck_assert_uint_eq(message->config_current->offset, 7);
    ck_assert_uint_ge(message->config_current->age_ms,
                      1000 + PEER_TRANSIT_MAX_MS);
    end();
}
END_TEST

START_TEST(a_router_that_is_linked_is_told_the_version_in_force)
{
    begin(2, MESH);
    Member_t *member =
        g_ptr_array_index(Membership_members(routers.list[0].membership), 0);
    FreshnessRelay_introduce(relay, member);
    FakeRouters_run(&routers, TICKS_MS);
    ck_assert_uint_eq(told(1), 0);
    note(7, Clock_nowMs());
    FreshnessRelay_introduce(relay, member);
    FakeRouters_await(&routers, second_was_told);
    const Wt__PeerMessage *message =
        FakeRouters_find(&routers, 1, WT__PEER_MESSAGE__BODY_CONFIG_CURRENT);
    ck_assert_uint_eq(message->config_current->version, VERSION);
    end();
}
END_TEST

START_TEST(the_same_knowledge_is_told_once)
{
    begin(2, NO_MESH);
    gint64 at_ms = Clock_nowMs();
    note(7, at_ms);
    note(7, at_ms);
    FakeRouters_run(&routers, TICKS_MS);
    note(7, at_ms);
    FakeRouters_run(&routers, TICKS_MS);
    ck_assert_uint_eq(told(1), 1);
    end();
}
END_TEST

/* Over the links of 1,000 routers news that waited at each of them was so old
 * that every router asked the store for itself. */
START_TEST(news_does_not_wait_on_its_way)
{
    begin(2, NO_MESH);
    FakeRouters_run(&routers, TICKS_MS);
    gint64 taken_ms = Clock_nowMs();
    take(7, 0);
    FakeRouters_await(&routers, second_was_told);
    ck_assert_int_lt(Clock_nowMs() - taken_ms, AT_ONCE_MS);
    end();
}
END_TEST

START_TEST(news_is_not_passed_on_more_often_than_it_may_be)
{
    begin(2, NO_MESH);
    FakeRouters_run(&routers, TICKS_MS);
    gint64 began_ms = Clock_nowMs();
    for (guint i = 0; i < MANY_NEWS; i++) {
        take(7, 0);
        FakeRouters_run(&routers, TICK_MS / TICK_PARTS);
    }
    gint64 ticks = (Clock_nowMs() - began_ms) / TICK_MS;
    ck_assert_uint_le(told(1), ticks + 1);
    end();
}
END_TEST

START_TEST(who_knows_nothing_tells_nothing)
{
    begin(2, NO_MESH);
    FakeRouters_run(&routers, TICKS_MS);
    ck_assert_uint_eq(told(1), 0);
    end();
}
END_TEST

/* Symptom: a long configuration was in force a second later on routers that
 * are linked over others. Sequence: a router hears that there is a newer end,
 * passes it on, and is asked for the records, which it has not got yet. Cause:
 * an end was passed on by who did not know what is before it. Settled by a
 * sweep over 300 routers, 1,107 ms to the middle one. */
START_TEST(an_end_that_is_not_known_here_is_not_passed_on)
{
    begin(2, NO_MESH);
    is_known = FALSE;
    take(7, 0);
    FakeRouters_run(&routers, TICKS_MS);
    ck_assert_uint_eq(fresh_calls, 1);
    ck_assert_uint_eq(told(1), 0);
    note(7, Clock_nowMs());
    FakeRouters_run(&routers, TICKS_MS);
    ck_assert_uint_eq(told(1), 1);
    end();
}
END_TEST

/* A few are enough, of which one may be gone and one cut off. */
START_TEST(three_routers_read_and_in_a_mesh_only_they_tell)
{
    begin(6, MESH);
    guint readers = 0;
    for (guint i = 0; i < routers.count; i++) {
        FreshnessRelay_destroy(relay);
        relay = create(i);
        guint other = i == 0 ? 1 : 0;
        guint before = told(other);
        note(7, Clock_nowMs());
        FakeRouters_run(&routers, TICKS_MS);
        gboolean reads = FreshnessRelay_isReader(relay);
        readers += reads ? 1 : 0;
        ck_assert_uint_eq(told(other) - before, reads ? 1 : 0);
    }
    ck_assert_uint_eq(readers, 3);
    end();
}
END_TEST

TESTING_MAIN("FreshnessRelay", an_end_that_is_not_known_here_is_not_passed_on,
             news_count_from_before_they_were_sent,
             news_that_waited_while_it_stood_still_tell_nothing,
             older_news_that_come_later_change_nothing,
             what_the_store_has_said_is_worth_more_than_older_news,
             an_answer_of_the_store_that_was_overtaken_is_not_told,
             an_age_only_grows_on_the_way,
             a_router_that_is_linked_is_told_the_version_in_force,
             the_same_knowledge_is_told_once, news_does_not_wait_on_its_way,
             news_is_not_passed_on_more_often_than_it_may_be,
             who_knows_nothing_tells_nothing,
             three_routers_read_and_in_a_mesh_only_they_tell)
