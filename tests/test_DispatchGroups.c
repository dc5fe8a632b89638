#include "testing.h"

#include "Clock.h"
#include "DispatchGroups.h"
#include "Random.h"

#define TARGET "s"
#define NOW_MS 100000
#define OBJECTIVE_US 250000
#define LATEST_US 200000
#define SLOTS 16
#define RUN_US 200000
#define OWN_US 7000
#define LEFT_MS ((gint64)3000)
/* Queues in us: a short one leaves time for a request, a middle one does so
 * unless others are about to return, and a long one is too long for a new
 * request and short enough for one that returns. */
#define SHORT_QUEUE 60000
#define MIDDLE_QUEUE 150000
#define LONG_QUEUE 250000
/* More than a group keeps of anything. */
#define MANY 6000

static DispatchGroups_t *groups;
static GroupPartitions_t *partitions;
static Upstream_t *engine;

static void
begin(void)
{
    UpstreamSpec_t spec = {.hall = g_string_new("h"),
                           .region = g_string_new("r"),
                           .serves = g_ptr_array_new(),
                           .slots = SLOTS};
    Random_seed(1);
    groups = DispatchGroups_create();
    partitions = GroupPartitions_create();
    engine = Upstream_create(NULL, "e", &spec, 0);
    g_string_free(spec.hall, TRUE);
    g_string_free(spec.region, TRUE);
    g_ptr_array_unref(spec.serves);
}

static void
end(void)
{
    DispatchGroups_destroy(groups);
    GroupPartitions_destroy(partitions);
    Upstream_unref(engine);
}

/* A request and where it would be placed. */
typedef struct {
    guint64 customer;
    guint64 key;
    gint64 queue_us;
    gint64 at_ms;
    gint64 left_ms;
    guint group;
    gboolean is_other; /* not urgent */
    gboolean has_next;
} Call_t;

static GroupDecision_t
decide(const Call_t *call)
{
    Placement_t placement = {.target = TARGET,
                             .run_us = RUN_US,
                             .latest_us = LATEST_US,
                             .urgent = !call->is_other,
                             .urgent_objective_us = OBJECTIVE_US,
                             .partitions = partitions,
                             .now_ms = NOW_MS + call->at_ms};
    Choice_t choice = {.upstream = engine,
                       .cost_us = call->queue_us + OWN_US,
                       .own_us = OWN_US,
                       .group = call->group,
                       .reserved = 1,
                       .side = 1,
                       .is_reserved_side = !call->is_other};
    GroupRequest_t request = {.placement = &placement,
                              .choice = &choice,
                              .customer = call->customer,
                              .key = call->key,
                              .left_ms =
                                  call->left_ms ? call->left_ms : LEFT_MS,
                              .has_next = call->has_next};
    return DispatchGroups_decide(groups, &request);
}

/* Refuses callers of one side of a group until returns take all its room. */
static void
promise_all_room(guint group, gboolean is_other)
{
    for (guint i = 1; i <= 1000; i++) {
        Call_t call = {.customer = i,
                       .key = 1000000 + i,
                       .queue_us = LONG_QUEUE,
                       .group = group,
                       .is_other = is_other};
        ck_assert_int_eq(decide(&call).verdict, GROUP_LATE);
    }
}

START_TEST(request_is_admitted_if_it_begins_in_time)
{
    begin();
    Call_t call = {.customer = 1, .key = 1, .queue_us = SHORT_QUEUE};
    ck_assert_int_eq(decide(&call).verdict, GROUP_ADMITTED);
    ck_assert_uint_eq(decide(&call).retry_after_ms, 0);
    call.queue_us = LONG_QUEUE;
    ck_assert_int_eq(decide(&call).verdict, GROUP_LATE);
    call.queue_us = LEFT_MS * CLOCK_US_PER_MS;
    ck_assert_int_eq(decide(&call).verdict, GROUP_DEADLINE);
    end();
}
END_TEST

START_TEST(promises_of_one_side_take_no_room_of_the_other)
{
    begin();
    promise_all_room(0, TRUE);
    Call_t call = {
        .customer = 1, .key = 1, .queue_us = MIDDLE_QUEUE, .at_ms = 400};
    ck_assert_int_eq(decide(&call).verdict, GROUP_ADMITTED);
    call.group = 1;
    call.is_other = TRUE;
    ck_assert_int_eq(decide(&call).verdict, GROUP_ADMITTED);
    call.group = 0;
    GroupDecision_t same_side = decide(&call);
    ck_assert_int_eq(same_side.verdict, GROUP_LATE);
    ck_assert_int_gt(same_side.promised_us, 0);
    end();
}
END_TEST

START_TEST(promise_holds_only_where_it_was_made)
{
    begin();
    Call_t call = {.customer = 1, .key = 1, .queue_us = LONG_QUEUE};
    call.at_ms = decide(&call).retry_after_ms;
    call.is_other = TRUE;
    ck_assert(!decide(&call).is_return);
    call.is_other = FALSE;
    call.group = 1;
    ck_assert(!decide(&call).is_return);
    call.group = 0;
    ck_assert(decide(&call).is_return);
    end();
}
END_TEST

START_TEST(refused_caller_returns_within_a_third_of_its_time)
{
    begin();
    for (guint i = 1; i <= MANY; i++) {
        Call_t call = {.customer = i % 7,
                       .key = i,
                       .queue_us = LONG_QUEUE,
                       .left_ms = 300 + Random_below(20000)};
        GroupDecision_t decision = decide(&call);
        ck_assert_int_ne(decision.verdict, GROUP_ADMITTED);
        ck_assert_uint_gt(decision.retry_after_ms, 0);
        ck_assert_int_le(decision.retry_after_ms, call.left_ms / 3);
    }
    end();
}
END_TEST

START_TEST(caller_with_another_group_to_ask_is_promised_nothing)
{
    begin();
    for (guint i = 1; i <= 1000; i++) {
        Call_t call = {
            .customer = i, .key = i, .queue_us = LONG_QUEUE, .has_next = TRUE};
        GroupDecision_t decision = decide(&call);
        ck_assert_int_eq(decision.verdict, GROUP_LATE);
        ck_assert_uint_eq(decision.retry_after_ms, 0);
    }
    for (gint64 at_ms = 0; at_ms <= LEFT_MS; at_ms += 50) {
        Call_t call = {.customer = 1,
                       .key = 1 + at_ms / 50,
                       .queue_us = SHORT_QUEUE,
                       .at_ms = at_ms,
                       .has_next = TRUE};
        GroupDecision_t decision = decide(&call);
        ck_assert_int_eq(decision.promised_us, 0);
        ck_assert(!decision.is_return);
    }
    end();
}
END_TEST

START_TEST(return_at_its_time_is_admitted_before_new_requests)
{
    begin();
    for (guint i = 1; i <= 5; i++) {
        Call_t call = {.customer = i,
                       .key = i,
                       .queue_us = LONG_QUEUE,
                       .at_ms = i * LEFT_MS};
        call.at_ms += decide(&call).retry_after_ms;
        Call_t new_call = call;
        new_call.key = 100 + i;
        new_call.has_next = TRUE;
        ck_assert_int_eq(decide(&new_call).verdict, GROUP_LATE);
        GroupDecision_t decision = decide(&call);
        ck_assert_int_eq(decision.verdict, GROUP_ADMITTED);
        ck_assert(decision.is_return);
        call.has_next = TRUE;
        ck_assert(!decide(&call).is_return);
    }
    end();
}
END_TEST

START_TEST(return_that_can_not_begin_in_time_is_refused_and_marked)
{
    begin();
    Call_t call = {.customer = 1, .key = 1, .queue_us = LONG_QUEUE};
    call.at_ms = decide(&call).retry_after_ms;
    call.queue_us = LEFT_MS * CLOCK_US_PER_MS;
    GroupDecision_t decision = decide(&call);
    ck_assert_int_eq(decision.verdict, GROUP_DEADLINE);
    ck_assert(decision.is_return);
    end();
}
END_TEST

/* One customer asks for ten times the room and more beside another one that
 * asks for a little, while engines are free. */
static void
burst(guint group, gboolean is_other)
{
    for (guint i = 0; i < 500; i++) {
        Call_t call = {.customer = i % 50 == 0 ? 2 : 1,
                       .key = 5000 + i,
                       .at_ms = i,
                       .group = group,
                       .is_other = is_other};
        ck_assert_int_eq(decide(&call).verdict, GROUP_ADMITTED);
    }
}

START_TEST(customer_over_its_share_gets_no_promise)
{
    begin();
    burst(0, FALSE);
    Call_t over = {
        .customer = 1, .key = 1, .queue_us = SHORT_QUEUE, .at_ms = 500};
    GroupDecision_t refused = decide(&over);
    ck_assert_int_eq(refused.verdict, GROUP_OVER_SHARE);
    ck_assert(refused.is_over_share);
    ck_assert_uint_gt(refused.retry_after_ms, 0);
    ck_assert_int_le(refused.retry_after_ms, LEFT_MS / 3);
    Call_t within = over;
    within.customer = 2;
    within.key = 2;
    ck_assert_int_eq(decide(&within).verdict, GROUP_ADMITTED);
    over.at_ms += refused.retry_after_ms;
    ck_assert(!decide(&over).is_return);
    end();
}
END_TEST

START_TEST(customer_over_its_share_on_one_side_is_not_on_the_other)
{
    begin();
    burst(0, TRUE);
    Call_t call = {
        .customer = 1, .key = 1, .queue_us = SHORT_QUEUE, .at_ms = 500};
    ck_assert_int_eq(decide(&call).verdict, GROUP_ADMITTED);
    call.is_other = TRUE;
    ck_assert_int_eq(decide(&call).verdict, GROUP_OVER_SHARE);
    call.group = 1;
    ck_assert_int_eq(decide(&call).verdict, GROUP_ADMITTED);
    end();
}
END_TEST

START_TEST(more_groups_than_are_tracked_are_still_decided)
{
    begin();
    for (guint i = 0; i < 2 * MANY; i++) {
        Call_t call = {.customer = 1, .key = i, .group = i % 1000};
        ck_assert_int_eq(decide(&call).verdict, GROUP_ADMITTED);
        call.queue_us = LONG_QUEUE;
        GroupDecision_t refused = decide(&call);
        ck_assert_int_eq(refused.verdict, GROUP_LATE);
        call.at_ms = refused.retry_after_ms;
        ck_assert(decide(&call).is_return);
    }
    end();
}
END_TEST

static gint64
absurd(const gint64 *values, gsize count)
{
    return values[Random_below((guint32)count)];
}

/* What a peer may send, or an engine that has stated nothing. */
static GroupDecision_t
decide_absurd(guint64 key, gint64 left_ms, guint side)
{
    static const gint64 times[] = {0, 1, OWN_US, G_MAXINT32, G_MAXUINT32};
    engine->slots = Random_below(2) * SLOTS;
    Placement_t placement = {.target = TARGET,
                             .run_us = absurd(times, G_N_ELEMENTS(times)),
                             .latest_us = absurd(times, G_N_ELEMENTS(times)),
                             .urgent = Random_below(2) == 1,
                             .urgent_objective_us = OBJECTIVE_US,
                             .partitions = partitions,
                             .now_ms = NOW_MS + (gint64)key};
    Choice_t choice = {.upstream = engine,
                       .cost_us = absurd(times, G_N_ELEMENTS(times)),
                       .own_us = absurd(times, G_N_ELEMENTS(times)),
                       .group = (guint)absurd(times, G_N_ELEMENTS(times)),
                       .side = side,
                       .is_reserved_side = Random_below(2) == 1};
    GroupRequest_t request = {.placement = &placement,
                              .choice = &choice,
                              .customer = key % 5,
                              .key = key,
                              .left_ms = left_ms};
    return DispatchGroups_decide(groups, &request);
}

START_TEST(absurd_requests_get_a_bounded_answer)
{
    static const gint64 lefts[] = {G_MININT32, -1,         0,          1, 2,
                                   LEFT_MS,    G_MAXINT32, G_MAXUINT32};
    static const gint64 sides[] = {0, 1, 24, G_MAXUINT32};
    begin();
    for (guint key = 1; key <= 20000; key++) {
        gint64 left_ms = absurd(lefts, G_N_ELEMENTS(lefts));
        guint side = (guint)absurd(sides, G_N_ELEMENTS(sides));
        GroupDecision_t decision = decide_absurd(key, left_ms, side);
        ck_assert_uint_lt(decision.verdict, GROUP_VERDICTS);
        ck_assert_int_le(decision.retry_after_ms, MAX(left_ms, 0) / 3);
        if (left_ms <= 0) {
            ck_assert_int_eq(decision.verdict, GROUP_DEADLINE);
        }
    }
    end();
}
END_TEST

TESTING_MAIN("DispatchGroups", request_is_admitted_if_it_begins_in_time,
             promises_of_one_side_take_no_room_of_the_other,
             promise_holds_only_where_it_was_made,
             refused_caller_returns_within_a_third_of_its_time,
             caller_with_another_group_to_ask_is_promised_nothing,
             return_at_its_time_is_admitted_before_new_requests,
             return_that_can_not_begin_in_time_is_refused_and_marked,
             customer_over_its_share_gets_no_promise,
             customer_over_its_share_on_one_side_is_not_on_the_other,
             more_groups_than_are_tracked_are_still_decided,
             absurd_requests_get_a_bounded_answer)
