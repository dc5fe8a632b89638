#include "testing.h"

#include "Clock.h"
#include "Dispatch.h"
#include "FakeRouters.h"
#include "Policies.h"
#include "PromptTime.h"
#include "Random.h"

/* Enough for four groups. */
#define ENGINES 32
#define TARGET "s"
#define MODEL "m"
/* Longer than the backoff from a dispatcher that did not answer. */
#define BACKOFF_OVER_MS 600
/* Groups of all engines. */
#define GROUPS 4
#define OBJECTIVE_US 250000
#define LATEST_US 200000
/* Time to compute a long prompt. */
#define LONG_PROMPT_US 470000
#define SHORT_TOKENS 400
#define LONG_TOKENS 17000
#define LEFT_MS 3000
#define SECOND_TARGET "second"
/* Slower than engines are taken to be before anything is learned. */
#define US_PER_TOKEN 100
/* Time in which an unwanted message would arrive: several round trips over
 * loopback. */
#define NO_MESSAGE_MS 50

/* The first router is under test; the test acts as the second one, its
 * peer. */
static FakeRouters_t routers;
static Dispatch_t *dispatch;
static Policy_t *policy;
static GroupPartitions_t *partitions; /* NULL unless a test has them */
static PeerDatagrams_t *router_datagrams;
static PeerDatagrams_t *peer_datagrams;
static GPtrArray *peer_messages; /* Wt__PeerMessage, received by the peer */

/* Calls of a DispatchDone_t and the arguments of the last one. */
typedef struct {
    guint calls;
    Choice_t choice;
    DispatchTicket_t ticket;
    GroupDecision_t decision;
} QueryResult_t;

static QueryResult_t result;
static QueryResult_t other_result;

static void
free_message(gpointer message)
{
    wt__peer_message__free_unpacked(message, NULL);
}

static void
free_string(gpointer string)
{
    g_string_free(string, TRUE);
}

static void
store_message(void *owner, const Wt__PeerMessage *message,
              const struct sockaddr_in *from)
{
    (void)owner;
    (void)from;
    gsize size = wt__peer_message__get_packed_size(message);
    g_autofree guint8 *bytes = g_malloc(size + 1);
    wt__peer_message__pack(message, bytes);
    g_ptr_array_add(peer_messages,
                    wt__peer_message__unpack(NULL, size, bytes));
}

static void
on_done(void *owner, const DispatchAnswer_t *answer)
{
    QueryResult_t *this = owner;
    this->calls++;
    this->choice = answer->choice;
    this->ticket = answer->ticket;
    this->decision = answer->decision;
}

static void
keep_placement(const void *owner, const char *model, Placement_t *placement)
{
    (void)owner;
    (void)model;
    (void)placement;
}

static void
add_engines(void)
{
    UpstreamSpec_t spec = {.hall = g_string_new("h"),
                           .region = g_string_new("r"),
                           .serves = g_ptr_array_new_with_free_func(NULL),
                           .slots = 64,
                           .role = ROLE_SERVICE};
    GString *target = g_string_new(TARGET);
    g_ptr_array_add(spec.serves, target);
    for (guint i = 0; i < ENGINES; i++) {
        g_autofree char *name = g_strdup_printf("e%u", i);
        UpstreamSet_put(routers.upstreams, name, &spec);
    }
    g_string_free(spec.hall, TRUE);
    g_string_free(spec.region, TRUE);
    g_ptr_array_unref(spec.serves);
}

static gboolean
is_peer_address_known(const FakeRouters_t *this)
{
    const GPtrArray *members = Membership_members(this->list[0].membership);
    const Member_t *member = g_ptr_array_index(members, 0);
    return member->address.port != 0;
}

static PeerDatagrams_t *
open_datagrams(const Membership_t *membership)
{
    PeerDatagrams_t *datagrams =
        PeerDatagrams_create(routers.base, Membership_key(membership));
    ck_assert(PeerDatagrams_open(datagrams, Membership_address(membership)));
    return datagrams;
}

static void
setup(void)
{
    result = (QueryResult_t){0};
    other_result = (QueryResult_t){0};
    FakeRouters_init(&routers, 2, 1);
    FakeRouters_await(&routers, is_peer_address_known);
    add_engines();
    Membership_t *router_membership = routers.list[0].membership;
    Membership_t *peer_membership = routers.list[1].membership;
    policy = Policies_create(POLICY_HOME);
    router_datagrams = open_datagrams(router_membership);
    DispatchSpec_t spec = {.membership = router_membership,
                           .datagrams = router_datagrams,
                           .upstreams = routers.upstreams,
                           .policy = policy,
                           .partitions = partitions,
                           .counters = routers.counters,
                           .prefer = keep_placement};
    dispatch = Dispatch_create(routers.base, &spec);
    ck_assert_ptr_nonnull(dispatch);
    peer_messages = g_ptr_array_new_with_free_func(free_message);
    peer_datagrams = open_datagrams(peer_membership);
    PeerDatagrams_addHandler(peer_datagrams, store_message, NULL);
}

static void
teardown(void)
{
    PeerDatagrams_destroy(peer_datagrams);
    PeerDatagrams_destroy(router_datagrams);
    Dispatch_destroy(dispatch);
    Policy_destroy(policy);
    g_ptr_array_unref(peer_messages);
    FakeRouters_clear(&routers);
}

static void
setup_partitions(void)
{
    partitions = GroupPartitions_create();
    setup();
}

static void
teardown_partitions(void)
{
    teardown();
    GroupPartitions_destroy(partitions);
    partitions = NULL;
}

static const GPtrArray *
serving_engines(void)
{
    return UpstreamSet_findServing(routers.upstreams, ROLE_SERVICE, TARGET);
}

static Upstream_t *
engine_at(guint i)
{
    return g_ptr_array_index(serving_engines(), i);
}

static Placement_t
make_placement(void)
{
    return (Placement_t){.target = TARGET,
                         .serving = serving_engines(),
                         .level_count = 2,
                         .levels = {42, 1},
                         .level_tokens = {6000, 9000},
                         .prompt_tokens = 9000,
                         .groups = Dispatch_countGroups(dispatch, ENGINES),
                         .partitions = partitions,
                         .urgent_objective_us = partitions ? OBJECTIVE_US : 0,
                         .now_ms = Clock_nowMs()};
}

/* Sends a query for the first group that the peer is the dispatcher of;
 * returns NULL if there is none. */
static DispatchQuery_t *
query_with_time_left(QueryResult_t *owner, gint64 left_ms)
{
    Placement_t placement = make_placement();
    for (guint group = 0; group < placement.groups; group++) {
        Choice_t choice = {.group = group};
        DispatchAdmission_t admission = {.left_ms = left_ms};
        DispatchQuery_t *query = Dispatch_query(
            dispatch, &placement, MODEL, &choice, &admission, on_done, owner);
        if (query) {
            return query;
        }
    }
    return NULL;
}

static DispatchQuery_t *
query_dispatcher(QueryResult_t *owner)
{
    return query_with_time_left(owner, LEFT_MS);
}

static void
send_to_router(const Wt__PeerMessage *message)
{
    struct sockaddr_in to = PeerDatagrams_toSockaddr(
        Membership_address(routers.list[0].membership));
    PeerDatagrams_send(peer_datagrams, &to, message);
}

static void
send_answer(guint64 ticket, guint64 upstream)
{
    Wt__PlaceAnswer body = WT__PLACE_ANSWER__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    body.ticket = ticket;
    body.upstream = upstream;
    body.supply = SUPPLY_HELD;
    body.cached_tokens = 6000;
    message.body_case = WT__PEER_MESSAGE__BODY_PLACE_ANSWER;
    message.place_answer = &body;
    send_to_router(&message);
}

static void
send_update(guint64 ticket, Wt__PlaceState state)
{
    Wt__PlaceNews body = WT__PLACE_NEWS__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    body.ticket = ticket;
    body.state = state;
    message.body_case = WT__PEER_MESSAGE__BODY_PLACE_NEWS;
    message.place_news = &body;
    send_to_router(&message);
}

static void
send_query(guint64 ticket, const char *target, guint64 avoid)
{
    Wt__PlaceAsk body = WT__PLACE_ASK__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    body.ticket = ticket;
    body.target = (char *)target;
    body.model = MODEL;
    body.prefix = 42;
    body.prefix_tokens = 6000;
    body.prompt_tokens = 9000;
    body.avoid = avoid;
    message.body_case = WT__PEER_MESSAGE__BODY_PLACE_ASK;
    message.place_ask = &body;
    send_to_router(&message);
}

static void
send_placement(Wt__PlaceAsk *body)
{
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    message.body_case = WT__PEER_MESSAGE__BODY_PLACE_ASK;
    message.place_ask = body;
    send_to_router(&message);
}

/* A query of an urgent request, of the same home for all tickets. */
static Wt__PlaceAsk
urgent_query(guint64 ticket)
{
    Wt__PlaceAsk body = WT__PLACE_ASK__INIT;
    body.ticket = ticket;
    body.target = TARGET;
    body.model = MODEL;
    body.prefix = 42;
    body.prefix_tokens = SHORT_TOKENS / 2;
    body.prompt_tokens = SHORT_TOKENS;
    body.latest_us = LATEST_US;
    body.urgent = TRUE;
    body.urgent_objective_us = OBJECTIVE_US;
    body.left_ms = LEFT_MS;
    body.customer = 4711;
    body.request = ticket;
    return body;
}

static void
send_answer_body(guint64 ticket, Wt__PlaceAnswer *body)
{
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    body->ticket = ticket;
    message.body_case = WT__PEER_MESSAGE__BODY_PLACE_ANSWER;
    message.place_answer = body;
    send_to_router(&message);
}

static guint
count_messages(Wt__PeerMessage__BodyCase kind)
{
    guint total = 0;
    for (guint i = 0; i < peer_messages->len; i++) {
        const Wt__PeerMessage *message = g_ptr_array_index(peer_messages, i);
        total += message->body_case == kind ? 1 : 0;
    }
    return total;
}

/* Waits for the message at @idx, from 0, among the messages of a kind. */
static const Wt__PeerMessage *
await_message(Wt__PeerMessage__BodyCase kind, guint idx)
{
    while (count_messages(kind) <= idx) {
        event_base_loop(routers.base, EVLOOP_ONCE);
    }
    for (guint i = 0; i < peer_messages->len; i++) {
        const Wt__PeerMessage *message = g_ptr_array_index(peer_messages, i);
        if (message->body_case == kind && idx-- == 0) {
            return message;
        }
    }
    return NULL;
}

static guint64
await_query(guint idx)
{
    return await_message(WT__PEER_MESSAGE__BODY_PLACE_ASK, idx)
        ->place_ask->ticket;
}

static const Wt__PlaceNews *
await_update(guint idx)
{
    return await_message(WT__PEER_MESSAGE__BODY_PLACE_NEWS, idx)->place_news;
}

static const Wt__PlaceAnswer *
await_answer(guint idx)
{
    return await_message(WT__PEER_MESSAGE__BODY_PLACE_ANSWER, idx)
        ->place_answer;
}

static void
await_result(const QueryResult_t *this)
{
    while (this->calls == 0) {
        event_base_loop(routers.base, EVLOOP_ONCE);
    }
}

/* Open tickets at all engines. */
static guint
count_tickets(void)
{
    guint total = 0;
    for (guint i = 0; i < ENGINES; i++) {
        total += engine_at(i)->ticket_requests;
    }
    return total;
}

static void
await_tickets(guint expected)
{
    while (count_tickets() != expected) {
        event_base_loop(routers.base, EVLOOP_ONCE);
    }
}

START_TEST(an_answer_is_used_and_its_ticket_is_ended_once)
{
    setup();
    ck_assert_ptr_nonnull(query_dispatcher(&result));
    ck_assert_uint_eq(result.calls, 0);
    guint64 ticket = await_query(0);
    send_answer(ticket, engine_at(3)->hash);
    await_result(&result);
    ck_assert_ptr_eq(result.choice.upstream, engine_at(3));
    ck_assert_uint_eq(result.ticket.id, ticket);
    Dispatch_reportFirstToken(dispatch, &result.ticket, 5000);
    Dispatch_endTicket(dispatch, &result.ticket);
    Dispatch_endTicket(dispatch, &result.ticket);
    Dispatch_reportRefusal(dispatch, &result.ticket);
    ck_assert_int_eq(await_update(0)->state, WT__PLACE_STATE__BEGUN);
    ck_assert_int_eq(await_update(1)->state, WT__PLACE_STATE__ENDED);
    FakeRouters_run(&routers, NO_MESSAGE_MS);
    ck_assert_uint_eq(count_messages(WT__PEER_MESSAGE__BODY_PLACE_NEWS), 2);
    teardown();
}
END_TEST

START_TEST(a_lost_query_times_out_and_its_ticket_is_ended)
{
    setup();
    ck_assert_ptr_nonnull(query_dispatcher(&result));
    guint64 ticket = await_query(0);
    await_result(&result);
    ck_assert_ptr_null(result.choice.upstream);
    ck_assert_uint_eq(result.ticket.id, 0);
    ck_assert_uint_eq(await_update(0)->ticket, ticket);
    ck_assert_int_eq(await_update(0)->state, WT__PLACE_STATE__ENDED);
    ck_assert_uint_eq(
        Counters_value(routers.counters, "places_unanswered_total", NULL), 1);
    teardown();
}
END_TEST

START_TEST(a_dispatcher_that_does_not_answer_is_not_queried_for_a_while)
{
    setup();
    ck_assert_ptr_nonnull(query_dispatcher(&result));
    await_result(&result);
    ck_assert_ptr_null(query_dispatcher(&other_result));
    FakeRouters_run(&routers, BACKOFF_OVER_MS);
    DispatchQuery_t *again = query_dispatcher(&other_result);
    ck_assert_ptr_nonnull(again);
    Dispatch_cancelQuery(again);
    teardown();
}
END_TEST

START_TEST(a_late_answer_is_ignored_and_its_ticket_is_ended)
{
    setup();
    ck_assert_ptr_nonnull(query_dispatcher(&result));
    guint64 ticket = await_query(0);
    await_result(&result);
    send_answer(ticket, engine_at(3)->hash);
    ck_assert_uint_eq(await_update(1)->ticket, ticket);
    ck_assert_int_eq(await_update(1)->state, WT__PLACE_STATE__ENDED);
    ck_assert_uint_eq(result.calls, 1);
    ck_assert_ptr_null(result.choice.upstream);
    teardown();
}
END_TEST

START_TEST(a_cancelled_query_does_not_call_back)
{
    setup();
    DispatchQuery_t *query = query_dispatcher(&result);
    guint64 ticket = await_query(0);
    Dispatch_cancelQuery(query);
    send_answer(ticket, engine_at(3)->hash);
    ck_assert_uint_eq(await_update(0)->ticket, ticket);
    ck_assert_int_eq(await_update(1)->state, WT__PLACE_STATE__ENDED);
    FakeRouters_run(&routers, 2 * DISPATCH_TIMEOUT_MS);
    ck_assert_uint_eq(result.calls, 0);
    teardown();
}
END_TEST

START_TEST(reordered_answers_are_matched_to_their_queries)
{
    setup();
    query_dispatcher(&result);
    query_dispatcher(&other_result);
    guint64 first = await_query(0);
    guint64 second = await_query(1);
    ck_assert_uint_ne(first, second);
    send_answer(second, engine_at(7)->hash);
    send_answer(first, engine_at(3)->hash);
    await_result(&result);
    await_result(&other_result);
    ck_assert_ptr_eq(result.choice.upstream, engine_at(3));
    ck_assert_ptr_eq(other_result.choice.upstream, engine_at(7));
    ck_assert_uint_eq(result.ticket.id, first);
    ck_assert_uint_eq(other_result.ticket.id, second);
    teardown();
}
END_TEST

START_TEST(a_second_answer_is_ignored)
{
    setup();
    query_dispatcher(&result);
    guint64 ticket = await_query(0);
    send_answer(ticket, engine_at(3)->hash);
    send_answer(ticket, engine_at(7)->hash);
    await_result(&result);
    FakeRouters_run(&routers, NO_MESSAGE_MS);
    ck_assert_uint_eq(result.calls, 1);
    ck_assert_ptr_eq(result.choice.upstream, engine_at(3));
    teardown();
}
END_TEST

START_TEST(an_answer_with_an_unknown_engine_gives_no_upstream)
{
    setup();
    query_dispatcher(&result);
    send_answer(await_query(0), 4711);
    await_result(&result);
    ck_assert_ptr_null(result.choice.upstream);
    ck_assert_uint_ne(result.ticket.id, 0);
    teardown();
}
END_TEST

START_TEST(an_answer_without_a_query_ends_its_ticket)
{
    setup();
    send_answer(4711, engine_at(3)->hash);
    ck_assert_uint_eq(await_update(0)->ticket, 4711);
    ck_assert_int_eq(await_update(0)->state, WT__PLACE_STATE__ENDED);
    teardown();
}
END_TEST

/* Guards against two answers to one ticket that name different engines. The
 * dispatcher placed a duplicated query again, and the load of the first
 * placement changed the choice. If the second answer arrived first, the
 * placement went to another engine than the one that counted it. */
START_TEST(a_duplicate_query_is_answered_only_once)
{
    setup();
    send_query(9, TARGET, 0);
    send_query(9, TARGET, 0);
    ck_assert_uint_ne(await_answer(0)->upstream, 0);
    FakeRouters_run(&routers, NO_MESSAGE_MS);
    ck_assert_uint_eq(count_messages(WT__PEER_MESSAGE__BODY_PLACE_ANSWER), 1);
    ck_assert_uint_eq(count_tickets(), 1);
    send_update(9, WT__PLACE_STATE__ENDED);
    await_tickets(0);
    teardown();
}
END_TEST

START_TEST(duplicate_and_reordered_ticket_updates_are_ignored)
{
    setup();
    send_query(9, TARGET, 0);
    Upstream_t *engine =
        UpstreamSet_findByHash(routers.upstreams, await_answer(0)->upstream);
    ck_assert_uint_eq(engine->ticket_requests, 1);
    send_update(9, WT__PLACE_STATE__ENDED);
    send_update(9, WT__PLACE_STATE__BEGUN);
    send_update(9, WT__PLACE_STATE__REFUSED);
    send_update(9, WT__PLACE_STATE__ENDED);
    send_query(10, TARGET, 0);
    await_answer(1);
    ck_assert_uint_eq(count_tickets(), 1);
    ck_assert(Upstream_isUsable(engine, Clock_nowMs()));
    send_update(10, WT__PLACE_STATE__BEGUN);
    send_update(10, WT__PLACE_STATE__BEGUN);
    send_update(10, WT__PLACE_STATE__ENDED);
    await_tickets(0);
    for (guint i = 0; i < ENGINES; i++) {
        ck_assert_uint_eq(engine_at(i)->ticket_tokens, 0);
    }
    teardown();
}
END_TEST

START_TEST(an_engine_that_refused_is_paused_by_the_dispatcher)
{
    setup();
    send_query(9, TARGET, 0);
    guint64 first = await_answer(0)->upstream;
    send_update(9, WT__PLACE_STATE__REFUSED);
    send_query(10, TARGET, 0);
    ck_assert_uint_ne(await_answer(1)->upstream, first);
    teardown();
}
END_TEST

START_TEST(a_target_without_engines_is_not_placed)
{
    setup();
    send_query(9, "nobody's", 0);
    ck_assert_uint_eq(await_answer(0)->upstream, 0);
    ck_assert_uint_eq(count_tickets(), 0);
    send_query(10, TARGET, 0);
    guint64 failed = await_answer(1)->upstream;
    send_query(11, TARGET, failed);
    ck_assert_uint_ne(await_answer(2)->upstream, failed);
    teardown();
}
END_TEST

static void
set_backlogs(gint64 wait_us)
{
    for (guint i = 0; i < ENGINES; i++) {
        EngineBacklog_add(&engine_at(i)->backlog, wait_us, Clock_nowUs());
    }
}

/* This router dispatches for all groups, in which both kinds of requests
 * arrive. */
static void
partition_groups(void)
{
    for (guint group = 0; group < GROUPS; group++) {
        GroupPartition_t *partition =
            GroupPartitions_get(partitions, TARGET, group);
        GroupPartition_noteArrival(partition, TRUE, Clock_nowMs());
        GroupPartition_noteArrival(partition, FALSE, Clock_nowMs());
        GroupPartition_notePrompt(partition, LONG_PROMPT_US);
    }
}

START_TEST(a_request_that_would_be_late_is_refused_without_a_ticket)
{
    setup_partitions();
    partition_groups();
    set_backlogs(2 * (gint64)LATEST_US);
    Wt__PlaceAsk query = urgent_query(9);
    send_placement(&query);
    const Wt__PlaceAnswer *answer = await_answer(0);
    ck_assert_uint_eq(answer->verdict, GROUP_LATE);
    ck_assert_uint_gt(answer->reserved, 0);
    ck_assert_uint_gt(answer->retry_after_ms, 0);
    ck_assert_uint_le(answer->retry_after_ms, LEFT_MS / 3);
    ck_assert_uint_eq(count_tickets(), 0);
    ck_assert_uint_eq(Counters_value(routers.counters, "group_decisions_total",
                                     "verdict=\"late\""),
                      1);
    query.ticket = 10;
    query.left_ms = 0;
    send_placement(&query);
    ck_assert_uint_eq(await_answer(1)->verdict, GROUP_ADMITTED);
    ck_assert_uint_eq(count_tickets(), 1);
    send_update(10, WT__PLACE_STATE__ENDED);
    await_tickets(0);
    teardown_partitions();
}
END_TEST

START_TEST(a_refusal_reaches_the_asker_without_a_ticket)
{
    static const guint verdicts[] = {GROUP_LATE, GROUP_OVER_SHARE,
                                     GROUP_DEADLINE};
    setup_partitions();
    for (guint i = 0; i < G_N_ELEMENTS(verdicts); i++) {
        Wt__PlaceAnswer body = WT__PLACE_ANSWER__INIT;
        body.upstream = engine_at(3)->hash;
        body.verdict = verdicts[i];
        body.retry_after_ms = 700;
        result = (QueryResult_t){0};
        ck_assert_ptr_nonnull(query_dispatcher(&result));
        send_answer_body(await_query(i), &body);
        await_result(&result);
        ck_assert_int_eq(result.decision.verdict, verdicts[i]);
        ck_assert_uint_eq(result.decision.retry_after_ms, 700);
        ck_assert_uint_eq(result.ticket.id, 0);
        Dispatch_endTicket(dispatch, &result.ticket);
    }
    FakeRouters_run(&routers, NO_MESSAGE_MS);
    ck_assert_uint_eq(count_messages(WT__PEER_MESSAGE__BODY_PLACE_NEWS), 0);
    teardown_partitions();
}
END_TEST

/* A retry, which waits for its answer already, was refused. */
START_TEST(a_request_that_must_not_be_refused_is_placed_by_its_router)
{
    setup_partitions();
    Wt__PlaceAnswer body = WT__PLACE_ANSWER__INIT;
    body.upstream = engine_at(3)->hash;
    body.verdict = GROUP_LATE;
    ck_assert_ptr_nonnull(query_with_time_left(&result, 0));
    send_answer_body(await_query(0), &body);
    await_result(&result);
    ck_assert_int_eq(result.decision.verdict, GROUP_ADMITTED);
    ck_assert_ptr_null(result.choice.upstream);
    ck_assert_uint_eq(result.ticket.id, 0);
    teardown_partitions();
}
END_TEST

START_TEST(a_verdict_of_a_newer_build_counts_as_refused)
{
    static const guint verdicts[] = {GROUP_VERDICTS, 17, G_MAXUINT32};
    setup_partitions();
    for (guint i = 0; i < G_N_ELEMENTS(verdicts); i++) {
        Wt__PlaceAnswer body = WT__PLACE_ANSWER__INIT;
        body.upstream = engine_at(3)->hash;
        body.verdict = verdicts[i];
        result = (QueryResult_t){0};
        ck_assert_ptr_nonnull(query_dispatcher(&result));
        send_answer_body(await_query(i), &body);
        await_result(&result);
        ck_assert_int_ne(result.decision.verdict, GROUP_ADMITTED);
        ck_assert_int_lt(result.decision.verdict, GROUP_VERDICTS);
        ck_assert_uint_eq(result.ticket.id, 0);
    }
    teardown_partitions();
}
END_TEST

START_TEST(an_answer_of_an_older_build_admits_and_partitions_nothing)
{
    setup_partitions();
    double speed = engine_at(3)->prefill_us_per_token;
    query_dispatcher(&result);
    guint64 ticket = await_query(0);
    send_answer(ticket, engine_at(3)->hash);
    await_result(&result);
    ck_assert_int_eq(result.decision.verdict, GROUP_ADMITTED);
    ck_assert_uint_eq(result.choice.reserved, 0);
    ck_assert_ptr_eq(result.choice.upstream, engine_at(3));
    ck_assert_uint_eq(result.ticket.id, ticket);
    ck_assert(
        !GroupPartitions_isPartitioned(partitions, TARGET, Clock_nowMs()));
    ck_assert_double_eq(engine_at(3)->prefill_us_per_token, speed);
    teardown_partitions();
}
END_TEST

/* It is admitted although all engines are late, and told nothing of the
 * partition. */
START_TEST(a_query_of_an_older_build_is_answered_as_before)
{
    setup_partitions();
    partition_groups();
    set_backlogs(2 * (gint64)LATEST_US);
    send_query(9, TARGET, 0);
    const Wt__PlaceAnswer *answer = await_answer(0);
    ck_assert_uint_ne(answer->upstream, 0);
    ck_assert_uint_eq(answer->verdict, GROUP_ADMITTED);
    ck_assert_uint_eq(answer->reserved, 0);
    ck_assert_uint_eq(answer->ktoken_us, 0);
    ck_assert_uint_eq(answer->retry_after_ms, 0);
    ck_assert_uint_eq(answer->promised_us, 0);
    ck_assert_uint_eq(count_tickets(), 1);
    teardown_partitions();
}
END_TEST

/* Engines of the group that a dispatcher has just answered for, which the
 * asker would not use for a less urgent request. */
static guint
reserved_engines(guint group)
{
    const GroupSize_t size = {.engines = ENGINES / GROUPS, .slots = 64};
    return GroupPartitions_reserved(partitions, TARGET, group, &size,
                                    OBJECTIVE_US, Clock_nowMs());
}

static void
answer_next_query(guint idx, Wt__PlaceAnswer *body)
{
    result = (QueryResult_t){0};
    ck_assert_ptr_nonnull(query_dispatcher(&result));
    send_answer_body(await_query(idx), body);
    await_result(&result);
}

START_TEST(a_number_of_reserved_engines_beyond_the_group_is_bounded)
{
    setup_partitions();
    Wt__PlaceAnswer body = WT__PLACE_ANSWER__INIT;
    body.upstream = engine_at(3)->hash;
    body.group = 1;
    body.reserved = G_MAXUINT32;
    answer_next_query(0, &body);
    ck_assert_uint_eq(reserved_engines(1), ENGINES / GROUPS - 1);
    ck_assert_uint_lt(result.choice.reserved, ENGINES);
    teardown_partitions();
}
END_TEST

START_TEST(a_report_of_a_group_that_does_not_exist_is_ignored)
{
    static const guint absent[] = {GROUPS, 1000, G_MAXUINT32};
    setup_partitions();
    for (guint i = 0; i < G_N_ELEMENTS(absent); i++) {
        Wt__PlaceAnswer body = WT__PLACE_ANSWER__INIT;
        body.upstream = engine_at(3)->hash;
        body.group = absent[i];
        body.reserved = 3;
        answer_next_query(i, &body);
        ck_assert_uint_eq(reserved_engines(absent[i]), 0);
    }
    ck_assert(
        !GroupPartitions_isPartitioned(partitions, TARGET, Clock_nowMs()));
    teardown_partitions();
}
END_TEST

START_TEST(an_absurd_speed_that_a_dispatcher_reports_is_bounded)
{
    static const guint speeds[] = {1, G_MAXUINT32};
    setup_partitions();
    for (guint i = 0; i < G_N_ELEMENTS(speeds); i++) {
        Wt__PlaceAnswer body = WT__PLACE_ANSWER__INIT;
        body.upstream = engine_at(3)->hash;
        body.reserved = 1;
        body.ktoken_us = speeds[i];
        answer_next_query(i, &body);
        ck_assert_double_ge(engine_at(3)->prefill_us_per_token,
                            PROMPT_TIME_SLOPE_US_MIN);
        ck_assert_double_le(engine_at(3)->prefill_us_per_token,
                            PROMPT_TIME_SLOPE_US_MAX);
        ck_assert_uint_eq(Counters_value(routers.counters,
                                         "place_answers_absurd_total", NULL),
                          i + 1);
    }
    teardown_partitions();
}
END_TEST

/* The caller would not return for weeks. */
START_TEST(a_return_beyond_the_callers_deadline_is_bounded)
{
    setup_partitions();
    Wt__PlaceAnswer body = WT__PLACE_ANSWER__INIT;
    body.verdict = GROUP_LATE;
    body.retry_after_ms = G_MAXUINT32;
    answer_next_query(0, &body);
    ck_assert_uint_le(result.decision.retry_after_ms, LEFT_MS);
    teardown_partitions();
}
END_TEST

START_TEST(absurd_queries_are_answered_and_leave_nothing)
{
    static const guint numbers[] = {0, 1, G_MAXINT32, G_MAXUINT32};
    setup_partitions();
    Random_seed(1);
    for (guint i = 0; i < 300; i++) {
        Wt__PlaceAsk query = urgent_query(9 + i);
        guint32 *fields[] = {
            &query.prefix_tokens, &query.prompt_tokens,       &query.latest_us,
            &query.run_us,        &query.urgent_objective_us, &query.left_ms,
            &query.group};
        for (guint j = 0; j < G_N_ELEMENTS(fields); j++) {
            if (Random_below(2) == 0) {
                *fields[j] = numbers[Random_below(G_N_ELEMENTS(numbers))];
            }
        }
        query.urgent = Random_below(2) == 0;
        send_placement(&query);
        const Wt__PlaceAnswer *answer = await_answer(i);
        ck_assert_uint_lt(answer->group, GROUPS);
        ck_assert_uint_lt(answer->reserved, ENGINES);
        ck_assert_uint_lt(answer->verdict, GROUP_VERDICTS);
        ck_assert_uint_le(answer->retry_after_ms, query.left_ms);
        send_update(9 + i, WT__PLACE_STATE__ENDED);
    }
    await_tickets(0);
    for (guint i = 0; i < ENGINES; i++) {
        ck_assert_int_eq(
            EngineBacklog_waitUs(&engine_at(i)->backlog, Clock_nowUs()), 0);
        ck_assert_uint_eq(engine_at(i)->ticket_tokens, 0);
    }
    teardown_partitions();
}
END_TEST

/* Sends a request of a service whose prompts are short; returns the engines
 * that are reserved. */
static guint
place_short(guint64 ticket, gboolean urgent, guint idx)
{
    Wt__PlaceAsk query = urgent_query(ticket);
    query.urgent = urgent;
    send_placement(&query);
    guint reserved = await_answer(idx)->reserved;
    send_update(ticket, WT__PLACE_STATE__ENDED);
    return reserved;
}

/* Regression: a caller that declared a prompt of two billion tokens made a
 * dispatcher reserve engines of a service with short prompts for hundreds of
 * requests. */
START_TEST(a_prompt_of_absurd_length_is_soon_forgotten)
{
    setup_partitions();
    Wt__PlaceAsk query = urgent_query(1);
    query.urgent = FALSE;
    query.prompt_tokens = G_MAXINT32;
    send_placement(&query);
    await_answer(0);
    guint reserved = 0;
    for (guint i = 1; i <= 100; i++) {
        reserved = place_short(100 + i, i % 2 == 0, i);
    }
    ck_assert_uint_eq(reserved, 0);
    teardown_partitions();
}
END_TEST

/* Waits for the answer to a query that nobody gives. */
static void
await_unanswered(guint idx)
{
    result = (QueryResult_t){0};
    ck_assert_ptr_nonnull(query_dispatcher(&result));
    await_query(idx);
    await_result(&result);
    ck_assert_ptr_null(result.choice.upstream);
}

static Upstream_t *
add_engine_of_two_targets(void)
{
    UpstreamSpec_t spec = {.hall = g_string_new("h"),
                           .region = g_string_new("r"),
                           .serves = g_ptr_array_new(),
                           .slots = 64,
                           .role = ROLE_SERVICE};
    g_ptr_array_add(spec.serves, g_string_new("first"));
    g_ptr_array_add(spec.serves, g_string_new(SECOND_TARGET));
    UpstreamSet_put(routers.upstreams, "two", &spec);
    g_string_free(spec.hall, TRUE);
    g_string_free(spec.region, TRUE);
    g_ptr_array_set_free_func(spec.serves, free_string);
    g_ptr_array_unref(spec.serves);
    return g_ptr_array_index(UpstreamSet_findServing(routers.upstreams,
                                                     ROLE_SERVICE,
                                                     SECOND_TARGET),
                             0);
}

/* Places a prompt with a prefix of its own, computes and ends it. */
static void
run_prompt(guint64 ticket, guint tokens)
{
    Wt__PlaceAsk query = urgent_query(ticket);
    query.target = SECOND_TARGET;
    query.prefix = ticket;
    query.prompt_tokens = tokens;
    query.left_ms = 0;
    send_placement(&query);
    await_answer((guint)ticket - 1);
    Wt__PlaceNews body = WT__PLACE_NEWS__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    body.ticket = ticket;
    body.state = WT__PLACE_STATE__BEGUN;
    body.waited_us = tokens * US_PER_TOKEN;
    message.body_case = WT__PEER_MESSAGE__BODY_PLACE_NEWS;
    message.place_news = &body;
    send_to_router(&message);
    send_update(ticket, WT__PLACE_STATE__ENDED);
}

/* Regression: the time of a prompt was learned for the first target of its
 * engine, whichever the request was for. */
START_TEST(the_time_of_a_prompt_is_learned_for_the_target_of_its_request)
{
    setup_partitions();
    Upstream_t *engine = add_engine_of_two_targets();
    GroupPartitions_noteReported(partitions, SECOND_TARGET, 0, 1,
                                 Clock_nowMs());
    for (guint64 ticket = 1; ticket <= 20; ticket++) {
        run_prompt(ticket, ticket % 2 == 0 ? LONG_TOKENS : SHORT_TOKENS);
    }
    while (engine->ticket_requests > 0) {
        event_base_loop(routers.base, EVLOOP_ONCE);
    }
    ck_assert_double_eq_tol(engine->prefill_us_per_token, US_PER_TOKEN, 2);
    teardown_partitions();
}
END_TEST

START_TEST(a_dispatcher_of_partitioned_groups_may_lose_one_answer)
{
    setup_partitions();
    GroupPartitions_noteReported(partitions, TARGET, 0, 3, Clock_nowMs());
    await_unanswered(0);
    Wt__PlaceAnswer body = WT__PLACE_ANSWER__INIT;
    body.upstream = engine_at(3)->hash;
    body.reserved = 3;
    answer_next_query(1, &body);
    ck_assert_ptr_eq(result.choice.upstream, engine_at(3));
    await_unanswered(2);
    await_unanswered(3);
    ck_assert_ptr_null(query_dispatcher(&result));
    teardown_partitions();
}
END_TEST

START_TEST(a_dispatcher_of_partitioned_groups_is_awaited_for_longer)
{
    setup_partitions();
    GroupPartitions_noteReported(partitions, TARGET, 0, 3, Clock_nowMs());
    ck_assert_ptr_nonnull(query_dispatcher(&result));
    guint64 ticket = await_query(0);
    gint64 end_ms = Clock_nowMs() + DISPATCH_TIMEOUT_MS;
    while (Clock_nowMs() <= end_ms) {
        event_base_loop(routers.base, EVLOOP_NONBLOCK);
    }
    Wt__PlaceAnswer body = WT__PLACE_ANSWER__INIT;
    body.upstream = engine_at(3)->hash;
    body.reserved = 3;
    send_answer_body(ticket, &body);
    await_result(&result);
    ck_assert_ptr_eq(result.choice.upstream, engine_at(3));
    teardown_partitions();
}
END_TEST

START_TEST(a_query_grows_by_at_most_40_bytes)
{
    Wt__PlaceAsk grown = WT__PLACE_ASK__INIT;
    gsize before = wt__place_ask__get_packed_size(&grown);
    grown.urgent = TRUE;
    grown.urgent_objective_us = G_MAXINT32;
    grown.left_ms = G_MAXINT32;
    grown.customer = G_MAXUINT64;
    grown.request = G_MAXUINT64;
    grown.group = 16384;
    grown.has_next = TRUE;
    ck_assert_uint_le(wt__place_ask__get_packed_size(&grown) - before, 40);
}
END_TEST

static gsize
growth_of(const Wt__PlaceAnswer *answer)
{
    Wt__PlaceAnswer before = *answer;
    before.verdict = 0;
    before.retry_after_ms = 0;
    before.group = 0;
    before.reserved = 0;
    before.ktoken_us = 0;
    before.promised_us = 0;
    before.is_return = FALSE;
    before.over_share = FALSE;
    return wt__place_answer__get_packed_size(answer) -
           wt__place_answer__get_packed_size(&before);
}

START_TEST(an_answer_grows_by_at_most_33_bytes)
{
    Wt__PlaceAnswer largest = WT__PLACE_ANSWER__INIT;
    largest.verdict = GROUP_DEADLINE;
    largest.retry_after_ms = G_MAXINT32;
    largest.group = 16384;
    largest.reserved = 16383;
    largest.ktoken_us = G_MAXINT32;
    largest.promised_us = G_MAXINT32;
    largest.is_return = TRUE;
    largest.over_share = TRUE;
    ck_assert_uint_le(growth_of(&largest), 33);
}
END_TEST

START_TEST(usual_answers_grow_by_few_bytes)
{
    setup_partitions();
    partition_groups();
    Wt__PlaceAsk query = urgent_query(9);
    send_placement(&query);
    ck_assert_uint_gt(await_answer(0)->reserved, 0);
    ck_assert_uint_le(growth_of(await_answer(0)), 9);
    set_backlogs(2 * (gint64)LATEST_US);
    query.ticket = 10;
    send_placement(&query);
    ck_assert_uint_eq(await_answer(1)->verdict, GROUP_LATE);
    ck_assert_uint_le(growth_of(await_answer(1)), 14);
    teardown_partitions();
}
END_TEST

/* Regression: the number of engines fell below that of two groups while the
 * first one refused a request, and the router divided by zero. */
START_TEST(there_is_no_next_group_without_another_one)
{
    for (guint64 key = 0; key < 1000; key++) {
        ck_assert_uint_eq(Dispatch_nextGroup(key, 0, 0), 0);
        ck_assert_uint_eq(Dispatch_nextGroup(key, 0, 1), 0);
        ck_assert_uint_eq(Dispatch_nextGroup(key, 3, 1), 0);
        guint next = Dispatch_nextGroup(key, 3, GROUPS);
        ck_assert_uint_ge(next, 1);
        ck_assert_uint_le(next, GROUPS);
        ck_assert_uint_ne(next - 1, 3);
    }
}
END_TEST

TESTING_MAIN("Dispatch", an_answer_is_used_and_its_ticket_is_ended_once,
             a_lost_query_times_out_and_its_ticket_is_ended,
             a_dispatcher_that_does_not_answer_is_not_queried_for_a_while,
             a_late_answer_is_ignored_and_its_ticket_is_ended,
             a_cancelled_query_does_not_call_back,
             reordered_answers_are_matched_to_their_queries,
             a_second_answer_is_ignored,
             an_answer_with_an_unknown_engine_gives_no_upstream,
             an_answer_without_a_query_ends_its_ticket,
             a_duplicate_query_is_answered_only_once,
             duplicate_and_reordered_ticket_updates_are_ignored,
             an_engine_that_refused_is_paused_by_the_dispatcher,
             a_target_without_engines_is_not_placed,
             a_request_that_would_be_late_is_refused_without_a_ticket,
             a_refusal_reaches_the_asker_without_a_ticket,
             a_request_that_must_not_be_refused_is_placed_by_its_router,
             a_verdict_of_a_newer_build_counts_as_refused,
             an_answer_of_an_older_build_admits_and_partitions_nothing,
             a_query_of_an_older_build_is_answered_as_before,
             a_number_of_reserved_engines_beyond_the_group_is_bounded,
             a_report_of_a_group_that_does_not_exist_is_ignored,
             an_absurd_speed_that_a_dispatcher_reports_is_bounded,
             a_return_beyond_the_callers_deadline_is_bounded,
             absurd_queries_are_answered_and_leave_nothing,
             a_prompt_of_absurd_length_is_soon_forgotten,
             the_time_of_a_prompt_is_learned_for_the_target_of_its_request,
             a_dispatcher_of_partitioned_groups_may_lose_one_answer,
             a_dispatcher_of_partitioned_groups_is_awaited_for_longer,
             a_query_grows_by_at_most_40_bytes,
             an_answer_grows_by_at_most_33_bytes,
             usual_answers_grow_by_few_bytes,
             there_is_no_next_group_without_another_one)
