/* A request that waits for other routers is told once, with what they know,
 * and not later than its limit. */
#include "OriginQueries.h"

#include "Clock.h"
#include "testing.h"

#define WINDOW_MS 30000
#define STEP_MS 5
#define SENT_MAX 64
#define OWNER 10

static OriginLinks_t links;
static StreamOrigins_t *origins;
static SoftwareVersions_t *versions;
static OriginFacts_t *facts;
static OriginQueries_t *queries;
static guint64 sent_to[SENT_MAX];
static guint sent;
static guint64 ticket; /* of the last question */
static guint owners;
static gboolean is_router_settled;
static gint64 now_ms;
static gint64 tick_ms;
static guint answers;
static OriginSource_t source;
static guint replies;

static guint
find_owners(void *owner, const RequestDigest_t *digest, guint64 *out,
            guint max)
{
    (void)owner;
    (void)digest;
    for (guint i = 0; i < MIN(owners, max); i++) {
        out[i] = OWNER + i;
    }
    return MIN(owners, max);
}

static guint
find_all(void *owner, AskedRouter_t *out, guint max)
{
    (void)owner;
    for (guint i = 0; i < MIN(owners, max); i++) {
        out[i] = (AskedRouter_t){OWNER + i, 1};
    }
    return owners;
}

static void
send_message(void *owner, guint64 router, const Wt__PeerMessage *message)
{
    (void)owner;
    ck_assert_int_eq(message->body_case, WT__PEER_MESSAGE__BODY_ORIGIN_ASK);
    ck_assert_uint_lt(sent, SENT_MAX);
    sent_to[sent++] = router;
    ticket = message->origin_ask->ticket;
}

static void
schedule_tick(void *owner, gint64 in_ms)
{
    (void)owner;
    gint64 at_ms = now_ms + MAX(in_ms, 1);
    tick_ms = tick_ms > 0 ? MIN(tick_ms, at_ms) : at_ms;
}

static gboolean
is_list_current(void *owner)
{
    (void)owner;
    return TRUE;
}

static gint64
list_ms(void *owner)
{
    (void)owner;
    return now_ms;
}

static gboolean
is_store_lost(void *owner)
{
    (void)owner;
    return FALSE;
}

static gboolean
is_settled(void *owner)
{
    (void)owner;
    return is_router_settled;
}

static const OriginLinksClass_t class = {
    .find_owners = find_owners,
    .send = send_message,
    .schedule_tick = schedule_tick,
    .is_list_current = is_list_current,
    .list_ms = list_ms,
    .is_store_lost = is_store_lost,
    .find_all = find_all,
    .is_settled = is_settled,
};

static void
set_time(gint64 ms)
{
    now_ms = ms;
    Clock_freeze(ms * 1000);
}

/* Two versions serve, and there is no gate. */
static void
create(guint owner_count)
{
    set_time(1000);
    owners = owner_count;
    is_router_settled = TRUE;
    sent = 0;
    tick_ms = 0;
    answers = 0;
    links = (OriginLinks_t){.class = &class, .counters = Counters_create()};
    origins = StreamOrigins_create(4);
    versions = SoftwareVersions_create();
    SoftwareVersions_learn(versions);
    SoftwareVersions_put(versions, "a", "s", "v1", now_ms);
    SoftwareVersions_put(versions, "b", "s", "v2", now_ms);
    OriginFactsSpec_t spec = {
        .links = &links,
        .origins = origins,
        .versions = versions,
        .window_ms = WINDOW_MS,
    };
    facts = OriginFacts_create(&spec);
    OriginFacts_finishRestore(facts);
    queries = OriginQueries_create(&links, facts);
}

static void
destroy(void)
{
    OriginQueries_destroy(queries);
    OriginFacts_destroy(facts);
    SoftwareVersions_destroy(versions);
    StreamOrigins_destroy(origins);
    Counters_destroy(links.counters);
}

static void
on_asked(void *owner, const OriginAnswer_t *answer)
{
    (void)owner;
    answers++;
    source = answer->source;
    replies = answer->replies;
}

static OriginQuery_t *
ask(guint8 number)
{
    RequestDigest_t digest = {{number}};
    OriginAnswer_t answer;
    OriginQuery_t *query = OriginQueries_ask(queries, &digest, "s", FALSE,
                                             &answer, on_asked, NULL);
    if (!query) {
        on_asked(NULL, &answer);
    }
    return query;
}

static void
pass_time(gint64 ms)
{
    for (gint64 end_ms = now_ms + ms; now_ms < end_ms;) {
        set_time(now_ms + STEP_MS);
        if (tick_ms > 0 && now_ms >= tick_ms) {
            tick_ms = 0;
            OriginQueries_tick(queries);
        }
    }
}

static void
receive(guint64 from, Wt__OriginVerdict verdict)
{
    Wt__OriginAnswer answer = WT__ORIGIN_ANSWER__INIT;
    answer.ticket = ticket;
    answer.verdict = verdict;
    answer.service = (char *)"s";
    answer.software = (char *)"v2";
    OriginQueries_receive(queries, &answer, from);
}

START_TEST(a_stream_that_is_remembered_is_asked_of_nobody)
{
    create(3);
    RequestDigest_t digest = {{1}};
    StreamOrigins_put(origins, &digest, "s", "v2", now_ms + WINDOW_MS, now_ms);
    ck_assert_ptr_null(ask(1));
    ck_assert_int_eq(source, ORIGIN_FROM_HERE);
    ck_assert_uint_eq(sent, 0);
    destroy();
}
END_TEST

START_TEST(a_router_without_others_answers_at_once)
{
    create(0);
    ck_assert_ptr_null(ask(1));
    ck_assert_int_eq(source, ORIGIN_FROM_NOBODY);
    destroy();
}
END_TEST

START_TEST(the_first_owner_that_knows_the_stream_decides)
{
    create(3);
    ck_assert_ptr_nonnull(ask(1));
    ck_assert_uint_eq(sent, 3);
    receive(OWNER, WT__ORIGIN_VERDICT__ORIGIN_NOT_KNOWN);
    ck_assert_uint_eq(answers, 0);
    receive(OWNER + 1, WT__ORIGIN_VERDICT__ORIGIN_KNOWN);
    ck_assert_uint_eq(answers, 1);
    ck_assert_int_eq(source, ORIGIN_FROM_OWNER);
    ck_assert_uint_eq(replies, 2);
    receive(OWNER + 2, WT__ORIGIN_VERDICT__ORIGIN_KNOWN);
    ck_assert_uint_eq(answers, 1);
    destroy();
}
END_TEST

START_TEST(a_query_that_all_owners_answered_ends_at_once)
{
    create(3);
    ask(1);
    for (guint i = 0; i < owners; i++) {
        ck_assert_uint_eq(answers, 0);
        receive(OWNER + i, WT__ORIGIN_VERDICT__ORIGIN_NOT_KNOWN);
    }
    ck_assert_uint_eq(answers, 1);
    ck_assert_int_eq(source, ORIGIN_FROM_NOBODY);
    destroy();
}
END_TEST

START_TEST(owners_that_do_not_answer_are_asked_twice_until_the_limit)
{
    create(3);
    ask(1);
    receive(OWNER, WT__ORIGIN_VERDICT__ORIGIN_NOT_KNOWN);
    pass_time(ORIGIN_ASK_TIMEOUT_MS - STEP_MS);
    ck_assert_uint_eq(sent, 5);
    ck_assert_uint_eq(answers, 0);
    pass_time(2 * STEP_MS);
    ck_assert_uint_eq(answers, 1);
    ck_assert_uint_eq(replies, 1);
    destroy();
}
END_TEST

START_TEST(routers_that_were_not_asked_decide_nothing)
{
    create(3);
    ask(1);
    receive(OWNER + 3, WT__ORIGIN_VERDICT__ORIGIN_KNOWN);
    ticket++;
    receive(OWNER, WT__ORIGIN_VERDICT__ORIGIN_KNOWN);
    ck_assert_uint_eq(answers, 0);
    pass_time(ORIGIN_ASK_TIMEOUT_MS + STEP_MS);
    ck_assert_uint_eq(answers, 1);
    destroy();
}
END_TEST

START_TEST(an_owner_that_joins_is_asked_and_the_limit_stays)
{
    create(2);
    ask(1);
    receive(OWNER, WT__ORIGIN_VERDICT__ORIGIN_NOT_KNOWN);
    pass_time(100);
    owners = 3;
    pass_time(60);
    ck_assert_uint_eq(sent_to[sent - 1], OWNER + 2);
    ck_assert_int_eq(
        Counters_value(links.counters, "origin_joined_asked_total", NULL), 1);
    pass_time(ORIGIN_ASK_TIMEOUT_MS - 160 + STEP_MS);
    ck_assert_uint_eq(answers, 1);
    destroy();
}
END_TEST

/* A stream was refused at once at a router that had just started and knew no
 * other one yet. */
START_TEST(a_router_that_just_started_waits_for_owners_it_does_not_know)
{
    create(0);
    is_router_settled = FALSE;
    ck_assert_ptr_nonnull(ask(1));
    pass_time(100);
    ck_assert_uint_eq(answers, 0);
    owners = 2;
    pass_time(15);
    ck_assert_uint_eq(sent, 2);
    receive(OWNER, WT__ORIGIN_VERDICT__ORIGIN_KNOWN);
    ck_assert_int_eq(source, ORIGIN_FROM_OWNER);
    destroy();
}
END_TEST

START_TEST(
    a_router_that_just_started_waits_no_longer_than_until_it_has_settled)
{
    create(0);
    is_router_settled = FALSE;
    ask(1);
    pass_time(100);
    ck_assert_uint_eq(answers, 0);
    is_router_settled = TRUE;
    pass_time(15);
    ck_assert_uint_eq(answers, 1);
    ck_assert_int_eq(source, ORIGIN_FROM_NOBODY);
    destroy();
}
END_TEST

START_TEST(a_router_that_does_not_settle_keeps_to_the_limit)
{
    create(0);
    is_router_settled = FALSE;
    ask(1);
    pass_time(ORIGIN_ASK_TIMEOUT_MS - STEP_MS);
    ck_assert_uint_eq(answers, 0);
    pass_time(2 * STEP_MS);
    ck_assert_uint_eq(answers, 1);
    ck_assert_int_eq(source, ORIGIN_FROM_NOBODY);
    destroy();
}
END_TEST

START_TEST(a_query_that_was_cancelled_is_not_answered)
{
    create(3);
    OriginQuery_t *query = ask(1);
    OriginQueries_cancel(queries, query);
    receive(OWNER, WT__ORIGIN_VERDICT__ORIGIN_KNOWN);
    pass_time(2 * ORIGIN_ASK_TIMEOUT_MS);
    ck_assert_uint_eq(answers, 0);
    destroy();
}
END_TEST

TESTING_MAIN(
    "OriginQueries", a_stream_that_is_remembered_is_asked_of_nobody,
    a_router_without_others_answers_at_once,
    the_first_owner_that_knows_the_stream_decides,
    a_query_that_all_owners_answered_ends_at_once,
    owners_that_do_not_answer_are_asked_twice_until_the_limit,
    routers_that_were_not_asked_decide_nothing,
    an_owner_that_joins_is_asked_and_the_limit_stays,
    a_router_that_just_started_waits_for_owners_it_does_not_know,
    a_router_that_just_started_waits_no_longer_than_until_it_has_settled,
    a_router_that_does_not_settle_keeps_to_the_limit,
    a_query_that_was_cancelled_is_not_answered)
