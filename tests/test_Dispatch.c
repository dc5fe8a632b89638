#include "testing.h"

#include "Clock.h"
#include "Dispatch.h"
#include "FakeRouters.h"
#include "Policies.h"

/* Enough for four groups. */
#define ENGINES 32
/* Groups of all engines. */
#define GROUPS 4
#define TARGET "s"
#define MODEL "m"
/* Longer than the backoff from a dispatcher that did not answer. */
#define BACKOFF_OVER_MS 600
/* Time in which an unwanted message would arrive: several round trips over
 * loopback. */
#define NO_MESSAGE_MS 50

/* The first router is under test; the test acts as the second one, its
 * peer. */
static FakeRouters_t routers;
static Dispatch_t *dispatch;
static Policy_t *policy;
static PeerDatagrams_t *router_datagrams;
static PeerDatagrams_t *peer_datagrams;
static GPtrArray *peer_messages; /* Wt__PeerMessage, received by the peer */

/* Calls of a DispatchDone_t and the arguments of the last one. */
typedef struct {
    guint calls;
    Choice_t choice;
    DispatchTicket_t ticket;
} QueryResult_t;

static QueryResult_t result;
static QueryResult_t other_result;

static void
free_message(gpointer message)
{
    wt__peer_message__free_unpacked(message, NULL);
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
    router_datagrams = PeerDatagrams_create(
        routers.base, Membership_address(router_membership),
        Membership_key(router_membership), NULL);
    ck_assert_ptr_nonnull(router_datagrams);
    DispatchSpec_t spec = {.membership = router_membership,
                           .datagrams = router_datagrams,
                           .upstreams = routers.upstreams,
                           .policy = policy,
                           .counters = routers.counters,
                           .prefer = keep_placement};
    dispatch = Dispatch_create(routers.base, &spec);
    ck_assert_ptr_nonnull(dispatch);
    peer_messages = g_ptr_array_new_with_free_func(free_message);
    peer_datagrams =
        PeerDatagrams_create(routers.base, Membership_address(peer_membership),
                             Membership_key(router_membership), NULL);
    ck_assert_ptr_nonnull(peer_datagrams);
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
                         .now_ms = Clock_nowMs()};
}

/* Sends a query for the first group that the peer is the dispatcher of;
 * returns NULL if there is none. */
static DispatchQuery_t *
query_dispatcher(QueryResult_t *owner)
{
    Placement_t placement = make_placement();
    for (guint group = 0; group < placement.groups; group++) {
        Choice_t choice = {.group = group};
        DispatchAdmission_t admission = {0};
        DispatchQuery_t *query = Dispatch_query(
            dispatch, &placement, MODEL, &choice, &admission, on_done, owner);
        if (query) {
            return query;
        }
    }
    return NULL;
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
             there_is_no_next_group_without_another_one)
