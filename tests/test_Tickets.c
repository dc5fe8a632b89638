#include "testing.h"

#include <event2/event.h>

#include "Clock.h"
#include "Policies.h"
#include "Tickets.h"

#define NOW_MS 100000
#define PREFIX 42

static struct event_base *base;
static Upstream_t *upstream;
static Tickets_t *tickets;
static Policy_t *policy;

static void
setup(void)
{
    UpstreamSpec_t spec = {.hall = g_string_new("h"),
                           .region = g_string_new("r"),
                           .serves = g_ptr_array_new(),
                           .slots = 64};
    base = event_base_new();
    upstream = Upstream_create(base, "e", &spec, 0);
    tickets = Tickets_create(base);
    policy = Policies_create(POLICY_HOME);
    g_string_free(spec.hall, TRUE);
    g_string_free(spec.region, TRUE);
    g_ptr_array_unref(spec.serves);
}

static void
teardown(void)
{
    Tickets_destroy(tickets);
    ck_assert_uint_eq(upstream->ticket_tokens, 0);
    ck_assert_uint_eq(upstream->ticket_requests, 0);
    Policy_destroy(policy);
    Upstream_unref(upstream);
    event_base_free(base);
}

static void
add_ticket(guint64 id)
{
    Placement_t placement = {.level_count = 2,
                             .levels = {PREFIX, 1},
                             .level_tokens = {6000, 9000},
                             .prompt_tokens = 9000,
                             .now_ms = NOW_MS};
    Choice_t choice = {.upstream = upstream, .expected_cached = 6000};
    Tickets_add(tickets, id, &placement, &choice);
}

START_TEST(a_ticket_adds_to_the_load_until_it_ends)
{
    setup();
    add_ticket(1);
    add_ticket(2);
    add_ticket(2);
    ck_assert_uint_eq(upstream->ticket_tokens, 6000);
    ck_assert_uint_eq(upstream->ticket_requests, 2);
    Tickets_noteFirstToken(tickets, 1, policy, 0, NOW_MS);
    Tickets_noteFirstToken(tickets, 1, policy, 0, NOW_MS);
    ck_assert_uint_eq(upstream->ticket_tokens, 3000);
    ck_assert_uint_eq(upstream->ticket_requests, 2);
    Tickets_end(tickets, 1);
    Tickets_end(tickets, 1);
    ck_assert_uint_eq(upstream->ticket_tokens, 3000);
    ck_assert_uint_eq(upstream->ticket_requests, 1);
    teardown();
}
END_TEST

START_TEST(a_ticket_without_updates_expires)
{
    setup();
    add_ticket(1);
    add_ticket(2);
    Tickets_noteFirstToken(tickets, 2, policy, 0, NOW_MS);
    Tickets_expire(tickets, NOW_MS + TICKET_FIRST_TOKEN_TIMEOUT_MS - 1);
    ck_assert_uint_eq(upstream->ticket_requests, 2);
    Tickets_expire(tickets, NOW_MS + TICKET_FIRST_TOKEN_TIMEOUT_MS);
    ck_assert_uint_eq(upstream->ticket_requests, 1);
    Tickets_expire(tickets, NOW_MS + TICKET_TIMEOUT_MS);
    ck_assert_uint_eq(upstream->ticket_requests, 0);
    teardown();
}
END_TEST

START_TEST(a_refusal_pauses_the_upstream)
{
    setup();
    add_ticket(1);
    Tickets_noteRefusal(tickets, 1, NOW_MS);
    ck_assert_uint_eq(upstream->ticket_requests, 0);
    ck_assert(!Upstream_isUsable(upstream, NOW_MS));
    ck_assert(Upstream_isUsable(upstream, NOW_MS + UPSTREAM_SHED_PAUSE_MS));
    Tickets_noteRefusal(tickets, 7, NOW_MS);
    teardown();
}
END_TEST

/* Clock_freeze() sets the time. */
START_TEST(run_time_is_learned_from_requests_that_ended)
{
    setup();
    Clock_freeze(NOW_MS * CLOCK_US_PER_MS);
    add_ticket(1);
    add_ticket(2);
    Tickets_noteFirstToken(tickets, 1, policy, 0, NOW_MS);
    Clock_freeze((NOW_MS + 700) * CLOCK_US_PER_MS);
    Tickets_end(tickets, 2);
    ck_assert(upstream->run_us == 0);
    Tickets_end(tickets, 1);
    ck_assert(upstream->run_us == 700 * CLOCK_US_PER_MS);
    Clock_freeze(0);
    teardown();
}
END_TEST

START_TEST(tickets_may_be_open_at_destruction)
{
    setup();
    add_ticket(1);
    teardown();
}
END_TEST

TESTING_MAIN("Tickets", a_ticket_adds_to_the_load_until_it_ends,
             a_ticket_without_updates_expires, a_refusal_pauses_the_upstream,
             run_time_is_learned_from_requests_that_ended,
             tickets_may_be_open_at_destruction)
