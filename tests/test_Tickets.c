#include "testing.h"

#include <event2/event.h>

#include "Clock.h"
#include "Policies.h"
#include "Random.h"
#include "Tickets.h"

#define NOW_MS ((gint64)100000)
#define PREFIX 42
#define TARGET "s"
#define OBJECTIVE_US 250000
#define PROMPT_US ((gint64)300000)
#define HOUR_US ((gint64)3600 * G_USEC_PER_SEC)

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

static void
set_time(gint64 after_ms)
{
    Clock_freeze((NOW_MS + after_ms) * CLOCK_US_PER_MS);
}

static void
place_prompt(guint64 id, gint64 own_us)
{
    Placement_t placement = {.target = TARGET,
                             .level_count = 1,
                             .levels = {PREFIX},
                             .level_tokens = {100},
                             .prompt_tokens = 100,
                             .now_ms = Clock_nowMs()};
    Choice_t choice = {.upstream = upstream, .own_us = own_us};
    Tickets_add(tickets, id, &placement, &choice);
}

static gint64
backlog_us(void)
{
    return EngineBacklog_waitUs(&upstream->backlog, Clock_nowUs());
}

START_TEST(an_engine_is_busy_with_the_prompts_of_its_tickets)
{
    setup();
    set_time(0);
    for (guint64 id = 1; id <= 3; id++) {
        place_prompt(id, PROMPT_US);
        ck_assert_int_eq(backlog_us(), (gint64)id * PROMPT_US);
    }
    place_prompt(3, PROMPT_US);
    ck_assert_int_eq(backlog_us(), 3 * PROMPT_US);
    set_time(500);
    Tickets_noteFirstToken(tickets, 1, policy, 0, Clock_nowMs());
    Tickets_end(tickets, 1);
    ck_assert_uint_eq(upstream->backlog.open, 2);
    Tickets_noteRefusal(tickets, 2, Clock_nowMs());
    ck_assert_int_gt(backlog_us(), 0);
    Tickets_expire(tickets, NOW_MS + TICKET_FIRST_TOKEN_TIMEOUT_MS);
    ck_assert_uint_eq(upstream->backlog.open, 0);
    ck_assert_int_eq(backlog_us(), 0);
    teardown();
    Clock_freeze(0);
}
END_TEST

/* Regression: the end of a request that an engine lost when it started again
 * removed a prompt that had been placed there since. */
START_TEST(the_end_of_a_lost_request_leaves_the_prompts_placed_since)
{
    setup();
    set_time(0);
    Upstream_noteIncarnation(upstream, 1, NOW_MS);
    place_prompt(1, PROMPT_US);
    Upstream_noteIncarnation(upstream, 2, NOW_MS);
    ck_assert_int_eq(backlog_us(), 0);
    place_prompt(2, PROMPT_US);
    Tickets_end(tickets, 1);
    ck_assert_int_eq(backlog_us(), PROMPT_US);
    ck_assert_uint_eq(upstream->backlog.open, 1);
    Tickets_end(tickets, 2);
    ck_assert_int_eq(backlog_us(), 0);
    ck_assert_uint_eq(upstream->backlog.open, 0);
    teardown();
    Clock_freeze(0);
}
END_TEST

/* Regression: a prompt of a declared length of two billion tokens kept an
 * engine that always had another request busy for hours. */
START_TEST(an_absurd_prompt_keeps_an_engine_busy_no_longer_than_its_ticket)
{
    setup();
    set_time(0);
    place_prompt(1, 10 * HOUR_US);
    for (guint64 id = 2; id <= 10; id++) {
        place_prompt(id, 1000);
        set_time((gint64)id * 1000);
        Tickets_noteFirstToken(tickets, id - 1, policy, 0, Clock_nowMs());
        Tickets_expire(tickets, Clock_nowMs());
    }
    ck_assert_uint_gt(upstream->backlog.open, 0);
    ck_assert_int_le(backlog_us(), PROMPT_US);
    teardown();
    Clock_freeze(0);
}
END_TEST

/* One of the things that may happen to a ticket. */
static void
do_anything(guint64 id)
{
    switch (Random_below(6)) {
    case 0:
    case 1:
        place_prompt(id, (gint64)Random_below(1000000));
        break;
    case 2:
        Tickets_noteFirstToken(tickets, id, policy, 0, Clock_nowMs());
        break;
    case 3:
        Tickets_end(tickets, id);
        break;
    case 4:
        Tickets_expire(tickets, Clock_nowMs());
        break;
    default:
        if (Random_below(20) == 0) {
            Upstream_noteIncarnation(upstream, upstream->incarnation + 1,
                                     Clock_nowMs());
        }
    }
}

START_TEST(an_engine_without_tickets_has_no_backlog_whatever_happened)
{
    setup();
    Random_seed(1);
    for (guint round = 0; round < 200; round++) {
        for (guint i = 0; i < 100; i++) {
            set_time((gint64)round * 10000 + (gint64)i * 50);
            do_anything(1 + Random_below(8));
            ck_assert_int_ge(backlog_us(), 0);
            ck_assert_uint_le(upstream->backlog.open,
                              upstream->ticket_requests);
        }
        for (guint64 id = 1; id <= 8; id++) {
            Tickets_end(tickets, id);
        }
        ck_assert_uint_eq(upstream->backlog.open, 0);
        ck_assert_int_eq(backlog_us(), 0);
    }
    teardown();
    Clock_freeze(0);
}
END_TEST

/* Requests of both kinds arrive in groups 0 and 1. */
static GroupPartitions_t *
create_partitions(void)
{
    GroupPartitions_t *partitions = GroupPartitions_create();
    for (guint i = 0; i < 200; i++) {
        GroupPartition_t *group =
            GroupPartitions_get(partitions, TARGET, i % 2);
        GroupPartition_noteArrival(group, TRUE, NOW_MS);
        GroupPartition_noteArrival(group, FALSE, NOW_MS);
        GroupPartition_notePrompt(group, 2 * (gint64)OBJECTIVE_US);
    }
    return partitions;
}

/* Runs requests of one side of a group that hold their slots for two seconds
 * each; returns the engines that are reserved in both groups after that. */
static void
run_requests(guint group, gboolean urgent, guint reserved[2])
{
    GroupPartitions_t *partitions = create_partitions();
    const GroupSize_t size = {.engines = 100, .slots = 4};
    for (guint64 id = 1; id <= 100; id++) {
        Placement_t placement = {.target = TARGET,
                                 .urgent = urgent,
                                 .partitions = partitions,
                                 .now_ms = NOW_MS};
        Choice_t choice = {.upstream = upstream,
                           .own_us = PROMPT_US,
                           .group = group,
                           .side = 1,
                           .is_reserved_side = urgent};
        set_time(0);
        Tickets_add(tickets, id, &placement, &choice);
        Tickets_noteFirstToken(tickets, id, policy, 0, NOW_MS);
        set_time(2000);
        Tickets_end(tickets, id);
    }
    for (guint i = 0; i < 2; i++) {
        reserved[i] = GroupPartitions_reserved(partitions, TARGET, i, &size,
                                               OBJECTIVE_US, NOW_MS);
    }
    GroupPartitions_destroy(partitions);
}

START_TEST(held_slots_count_for_their_group_and_side)
{
    setup();
    guint reserved[2];
    run_requests(0, FALSE, reserved);
    guint before = reserved[0];
    ck_assert_uint_gt(before, 0);
    ck_assert_uint_eq(reserved[1], before);
    run_requests(0, TRUE, reserved);
    ck_assert_uint_gt(reserved[0], before);
    ck_assert_uint_eq(reserved[1], before);
    run_requests(1, TRUE, reserved);
    ck_assert_uint_eq(reserved[0], before);
    ck_assert_uint_gt(reserved[1], before);
    teardown();
    Clock_freeze(0);
}
END_TEST

TESTING_MAIN("Tickets", a_ticket_adds_to_the_load_until_it_ends,
             a_ticket_without_updates_expires, a_refusal_pauses_the_upstream,
             run_time_is_learned_from_requests_that_ended,
             tickets_may_be_open_at_destruction,
             an_engine_is_busy_with_the_prompts_of_its_tickets,
             the_end_of_a_lost_request_leaves_the_prompts_placed_since,
             an_absurd_prompt_keeps_an_engine_busy_no_longer_than_its_ticket,
             an_engine_without_tickets_has_no_backlog_whatever_happened,
             held_slots_count_for_their_group_and_side)
