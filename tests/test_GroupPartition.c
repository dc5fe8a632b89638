#include "testing.h"

#include <math.h>

#include "GroupPartition.h"
#include "Random.h"

#define SLOTS 16
#define OBJECTIVE_US 250000
#define HELD_MS 240.0
#define LONG_PROMPT_US 470000
#define SHORT_PROMPT_US 120000
#define URGENT_PER_S 222.0
#define OTHERS_PER_S 11.0
#define SEEDS 10

/* Callers of a time span, and those that found all reserved slots taken. */
typedef struct {
    guint arrived;
    guint without_slot;
} Callers_t;

/* A group in virtual time, in steps of a millisecond. */
typedef struct {
    GroupPartition_t *partition;
    GroupSize_t size;
    gint64 objective_us;
    gint64 prompt_us;
    gint64 now_ms;
    double next_urgent_ms;
    double next_other_ms;
    GArray *running; /* Run_t of urgent requests */
    guint waiting;
    guint reserved;
    guint reserved_max; /* since the last call of play() */
} Simulation_t;

typedef struct {
    gint64 begin_ms;
    gint64 end_ms;
} Run_t;

static Simulation_t sim;

static void
begin(guint32 seed)
{
    Random_seed(seed);
    sim = (Simulation_t){
        .partition = GroupPartition_create(),
        .size = {.engines = 10, .slots = SLOTS},
        .objective_us = OBJECTIVE_US,
        .prompt_us = LONG_PROMPT_US,
        .running = g_array_new(FALSE, FALSE, sizeof(Run_t)),
    };
}

static void
end(void)
{
    GroupPartition_destroy(sim.partition);
    g_array_free(sim.running, TRUE);
}

static double
draw_exponential(double mean)
{
    return -log((Random_below(1000000) + 1) / 1e6) * mean;
}

static void
end_runs(void)
{
    for (guint i = sim.running->len; i > 0; i--) {
        const Run_t *run = &g_array_index(sim.running, Run_t, i - 1);
        if (run->end_ms <= sim.now_ms) {
            GroupPartition_noteRun(sim.partition, TRUE,
                                   (run->end_ms - run->begin_ms) * 1000);
            g_array_remove_index_fast(sim.running, i - 1);
        }
    }
}

static guint
free_slots(void)
{
    guint engines = sim.reserved > 0 ? sim.reserved : sim.size.engines;
    guint slots = engines * SLOTS;
    return slots - MIN(slots, sim.running->len);
}

static void
start_waiting(void)
{
    while (sim.waiting > 0 && free_slots() > 0) {
        gint64 held_ms = (gint64)draw_exponential(HELD_MS);
        Run_t run = {sim.now_ms, sim.now_ms + held_ms};
        g_array_append_val(sim.running, run);
        sim.waiting--;
    }
}

static void
decide(void)
{
    sim.reserved = GroupPartition_reserve(sim.partition, &sim.size,
                                          sim.objective_us, sim.now_ms);
    sim.reserved_max = MAX(sim.reserved_max, sim.reserved);
}

static void
arrive_urgent(Callers_t *callers)
{
    GroupPartition_noteArrival(sim.partition, TRUE, sim.now_ms);
    decide();
    start_waiting();
    callers->arrived++;
    callers->without_slot += free_slots() == 0 ? 1 : 0;
    sim.waiting++;
    start_waiting();
}

static void
arrive_other(void)
{
    GroupPartition_noteArrival(sim.partition, FALSE, sim.now_ms);
    GroupPartition_notePrompt(sim.partition, sim.prompt_us);
    decide();
}

static gboolean
is_due(double *next_ms, double per_s)
{
    if (per_s <= 0 || *next_ms > (double)sim.now_ms) {
        return FALSE;
    }
    *next_ms = MAX(*next_ms, (double)sim.now_ms - 1);
    *next_ms += draw_exponential(1000 / per_s);
    return TRUE;
}

static Callers_t
play(gint64 ms, double urgent_per_s, double others_per_s)
{
    Callers_t callers = {0};
    sim.reserved_max = 0;
    for (gint64 i = 0; i < ms; i++) {
        sim.now_ms++;
        end_runs();
        start_waiting();
        while (is_due(&sim.next_other_ms, others_per_s)) {
            arrive_other();
        }
        while (is_due(&sim.next_urgent_ms, urgent_per_s)) {
            arrive_urgent(&callers);
        }
    }
    return callers;
}

static void
assert_slots_found(const Callers_t *callers)
{
    ck_assert_uint_gt(callers->arrived, 0);
    ck_assert_uint_le(callers->without_slot, callers->arrived / 20);
}

START_TEST(burst_of_urgent_requests_finds_free_slots)
{
    for (guint32 seed = 1; seed <= SEEDS; seed++) {
        begin(seed);
        play(1000, URGENT_PER_S, OTHERS_PER_S);
        Callers_t before = play(9000, URGENT_PER_S, OTHERS_PER_S);
        guint reserved_before = sim.reserved;
        assert_slots_found(&before);
        play(1000, URGENT_PER_S * 1.6, OTHERS_PER_S);
        Callers_t burst = play(3000, URGENT_PER_S * 1.6, OTHERS_PER_S);
        assert_slots_found(&burst);
        ck_assert_uint_lt(sim.reserved_max, sim.size.engines);
        play(1000, URGENT_PER_S, OTHERS_PER_S);
        Callers_t after = play(9000, URGENT_PER_S, OTHERS_PER_S);
        assert_slots_found(&after);
        ck_assert_uint_le(sim.reserved, reserved_before + 1);
        end();
    }
}
END_TEST

START_TEST(less_urgent_requests_keep_an_engine_at_any_load)
{
    begin(1);
    double room_per_s = 10 * SLOTS * 1000 / HELD_MS;
    play(3000, 3 * room_per_s, OTHERS_PER_S);
    ck_assert_uint_eq(sim.reserved_max, 9);
    ck_assert_uint_eq(sim.reserved, 9);
    end();
}
END_TEST

START_TEST(urgent_requests_leave_engines_that_they_do_not_need)
{
    begin(1);
    play(5000, 5, OTHERS_PER_S);
    ck_assert_uint_eq(sim.reserved, 1);
    end();
}
END_TEST

START_TEST(group_is_shared_where_prompts_are_shorter_than_the_objective)
{
    begin(1);
    sim.prompt_us = SHORT_PROMPT_US;
    sim.objective_us = 500000;
    play(10000, URGENT_PER_S, OTHERS_PER_S);
    ck_assert_uint_eq(sim.reserved_max, 0);
    end();
}
END_TEST

START_TEST(group_is_shared_without_urgent_routes_or_known_slots)
{
    begin(1);
    sim.objective_us = 0;
    play(2000, URGENT_PER_S, OTHERS_PER_S);
    sim.objective_us = OBJECTIVE_US;
    sim.size.slots = 0;
    play(2000, URGENT_PER_S, OTHERS_PER_S);
    ck_assert_uint_eq(sim.reserved_max, 0);
    sim.size = (GroupSize_t){.engines = 1, .slots = SLOTS};
    play(2000, URGENT_PER_S, OTHERS_PER_S);
    ck_assert_uint_eq(sim.reserved_max, 0);
    end();
}
END_TEST

START_TEST(group_is_shared_unless_both_kinds_arrive)
{
    begin(1);
    play(3000, 0, OTHERS_PER_S);
    ck_assert_uint_eq(sim.reserved_max, 0);
    play(3000, URGENT_PER_S, OTHERS_PER_S);
    ck_assert_uint_gt(sim.reserved, 0);
    play(5000, URGENT_PER_S, 0);
    ck_assert_uint_eq(sim.reserved, 0);
    play(3000, URGENT_PER_S, OTHERS_PER_S);
    ck_assert_uint_gt(sim.reserved, 0);
    play(5000, 0, OTHERS_PER_S);
    ck_assert_uint_eq(sim.reserved, 0);
    end();
}
END_TEST

/* Mean prompts near the objective must not switch the partition all the time.
 */
START_TEST(partition_stays_while_prompts_vary_around_the_objective)
{
    begin(1);
    play(3000, URGENT_PER_S, OTHERS_PER_S);
    sim.prompt_us = OBJECTIVE_US * 3 / 4;
    play(5000, URGENT_PER_S, OTHERS_PER_S);
    ck_assert_uint_gt(sim.reserved, 0);
    sim.prompt_us = OBJECTIVE_US / 4;
    play(10000, URGENT_PER_S, OTHERS_PER_S);
    ck_assert_uint_eq(sim.reserved, 0);
    sim.prompt_us = OBJECTIVE_US * 3 / 4;
    play(10000, URGENT_PER_S, OTHERS_PER_S);
    ck_assert_uint_eq(sim.reserved, 0);
    end();
}
END_TEST

START_TEST(engines_are_given_back_one_at_a_time)
{
    begin(1);
    play(3000, URGENT_PER_S * 2, OTHERS_PER_S);
    guint reserved = sim.reserved;
    gint64 changed_ms = sim.now_ms - 500;
    while (sim.now_ms < 10000) {
        play(1, 5, OTHERS_PER_S);
        if (sim.reserved != reserved) {
            ck_assert_uint_eq(sim.reserved, reserved - 1);
            ck_assert_int_ge(sim.now_ms - changed_ms, 500);
            reserved = sim.reserved;
            changed_ms = sim.now_ms;
        }
    }
    ck_assert_uint_eq(sim.reserved, 1);
    end();
}
END_TEST

/* Beside long prompts, urgent requests hold their slots several times as long.
 */
START_TEST(engines_return_after_long_runs_on_shared_engines)
{
    begin(1);
    for (guint i = 0; i < 200; i++) {
        GroupPartition_noteRun(sim.partition, TRUE, 1500000);
    }
    Callers_t callers = play(6000, URGENT_PER_S, OTHERS_PER_S);
    assert_slots_found(&callers);
    ck_assert_uint_eq(sim.reserved_max, 9);
    ck_assert_uint_le(sim.reserved, 6);
    end();
}
END_TEST

START_TEST(smaller_group_keeps_an_engine_for_the_others)
{
    begin(1);
    play(3000, URGENT_PER_S, OTHERS_PER_S);
    sim.size.engines = 3;
    decide();
    ck_assert_uint_eq(sim.reserved, 2);
    end();
}
END_TEST

/* Before the first run has ended, and with a clock that stands still or goes
 * back. */
START_TEST(first_requests_get_an_engine_whatever_the_clock_does)
{
    begin(1);
    for (guint i = 0; i < 5; i++) {
        arrive_other();
        GroupPartition_noteArrival(sim.partition, TRUE, sim.now_ms);
        sim.now_ms -= i;
    }
    decide();
    ck_assert_uint_ge(sim.reserved, 1);
    ck_assert_uint_le(sim.reserved, 2);
    sim.now_ms = G_MAXINT64 / 2;
    decide();
    ck_assert_uint_eq(sim.reserved, 0);
    end();
}
END_TEST

TESTING_MAIN("GroupPartition", burst_of_urgent_requests_finds_free_slots,
             less_urgent_requests_keep_an_engine_at_any_load,
             urgent_requests_leave_engines_that_they_do_not_need,
             group_is_shared_where_prompts_are_shorter_than_the_objective,
             group_is_shared_without_urgent_routes_or_known_slots,
             group_is_shared_unless_both_kinds_arrive,
             partition_stays_while_prompts_vary_around_the_objective,
             engines_are_given_back_one_at_a_time,
             engines_return_after_long_runs_on_shared_engines,
             smaller_group_keeps_an_engine_for_the_others,
             first_requests_get_an_engine_whatever_the_clock_does)
