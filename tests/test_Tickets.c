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
begin(void)
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
end(void)
{
    Tickets_destroy(tickets);
    ck_assert_uint_eq(upstream->ticket_tokens, 0);
    ck_assert_uint_eq(upstream->ticket_requests, 0);
    Policy_destroy(policy);
    Upstream_unref(upstream);
    event_base_free(base);
}

static void
add(guint64 id)
{
    Placement_t placement = {.level_count = 2,
                             .levels = {PREFIX, 1},
                             .level_tokens = {6000, 9000},
                             .prompt_tokens = 9000,
                             .now_ms = NOW_MS};
    Choice_t choice = {.upstream = upstream, .expected_cached = 6000};
    Tickets_add(tickets, id, &placement, &choice);
}

START_TEST(a_ticket_counts_until_it_ends)
{
    begin();
    add(1);
    add(2);
    add(2);
    ck_assert_uint_eq(upstream->ticket_tokens, 6000);
    ck_assert_uint_eq(upstream->ticket_requests, 2);
    Tickets_begin(tickets, 1, policy, 0, NOW_MS);
    Tickets_begin(tickets, 1, policy, 0, NOW_MS);
    ck_assert_uint_eq(upstream->ticket_tokens, 3000);
    ck_assert_uint_eq(upstream->ticket_requests, 2);
    Tickets_end(tickets, 1);
    Tickets_end(tickets, 1);
    ck_assert_uint_eq(upstream->ticket_tokens, 3000);
    ck_assert_uint_eq(upstream->ticket_requests, 1);
    end();
}
END_TEST

START_TEST(what_is_not_heard_of_again_lapses)
{
    begin();
    add(1);
    add(2);
    Tickets_begin(tickets, 2, policy, 0, NOW_MS);
    Tickets_expire(tickets, NOW_MS + TICKET_BEGIN_MS - 1);
    ck_assert_uint_eq(upstream->ticket_requests, 2);
    Tickets_expire(tickets, NOW_MS + TICKET_BEGIN_MS);
    ck_assert_uint_eq(upstream->ticket_requests, 1);
    Tickets_expire(tickets, NOW_MS + TICKET_END_MS);
    ck_assert_uint_eq(upstream->ticket_requests, 0);
    end();
}
END_TEST

START_TEST(a_refusal_leaves_the_upstream_alone_for_a_moment)
{
    begin();
    add(1);
    Tickets_refused(tickets, 1, NOW_MS);
    ck_assert_uint_eq(upstream->ticket_requests, 0);
    ck_assert(!Upstream_isUsable(upstream, NOW_MS));
    ck_assert(Upstream_isUsable(upstream, NOW_MS + UPSTREAM_SHED_PAUSE_MS));
    Tickets_refused(tickets, 7, NOW_MS);
    end();
}
END_TEST

/* By Clock_hold() time passes as the test says. */
START_TEST(how_long_requests_run_is_learned_from_those_that_ended)
{
    begin();
    Clock_hold(NOW_MS * CLOCK_US_PER_MS);
    add(1);
    add(2);
    Tickets_begin(tickets, 1, policy, 0, NOW_MS);
    Clock_hold((NOW_MS + 700) * CLOCK_US_PER_MS);
    Tickets_end(tickets, 2);
    ck_assert(upstream->run_us == 0);
    Tickets_end(tickets, 1);
    ck_assert(upstream->run_us == 700 * CLOCK_US_PER_MS);
    Clock_hold(0);
    end();
}
END_TEST

START_TEST(tickets_may_be_open_at_the_end)
{
    begin();
    add(1);
    end();
}
END_TEST

TESTING_MAIN("Tickets", a_ticket_counts_until_it_ends,
             what_is_not_heard_of_again_lapses,
             a_refusal_leaves_the_upstream_alone_for_a_moment,
             how_long_requests_run_is_learned_from_those_that_ended,
             tickets_may_be_open_at_the_end)
