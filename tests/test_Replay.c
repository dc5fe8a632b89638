#include "testing.h"

#include <glib/gstdio.h>

#include "Problem.h"
#include "Replay.h"

/* The load of the worst hour, scaled down to fewer engines so that it runs in
 * less than a second: all slots of the engines are in use, and a quarter of
 * the engines does not respond for most of the time. */
#define WORST_HOUR                                                            \
    "[fleet]\nduration = 8s\nengines = 48\ngroups = 4\nslots = 16\n"          \
    "cache_tokens = 90597\nprompt_tokens_ms = 57\nstep_us = 3090\n"           \
    "step_run_us = 102\nmove_us = 8000\nstore_us = 15000\nstores = 3\n"       \
    "silent_percent = 25\nsilent_from = 2s\nsilent_until = 8s\n"              \
    "[kind-1]\nrate = 294\nprefixes = 520\nshared_tokens = 6300\n"            \
    "own_tokens = 2890\nout_tokens = 52\nobjective = 600ms\n"                 \
    "pause = 600ms\ndeadline = 4s\n"                                          \
    "[kind-2]\nrate = 224\nprefixes = 600\nshared_tokens = 198\n"             \
    "own_tokens = 628\nout_tokens = 290\nobjective = 500ms\n"                 \
    "pause = 600ms\ndeadline = 10s\n"
#define SEEDS 3

static gboolean
read_text(const char *text, ReplaySpec_t *out, GPtrArray *problems)
{
    char *path = NULL;
    gint fd = g_file_open_tmp("wt-replay-XXXXXX.ini", &path, NULL);
    ck_assert_int_ge(fd, 0);
    g_close(fd, NULL);
    ck_assert(g_file_set_contents(path, text, -1, NULL));
    gboolean good = ReplaySpec_read(out, path, problems);
    g_unlink(path);
    g_free(path);
    return good;
}

static ReplaySpec_t
load_spec(const char *text)
{
    ReplaySpec_t spec;
    g_autoptr(GPtrArray) problems = Problems_create();
    ck_assert(read_text(text, &spec, problems));
    return spec;
}

/* Mean value of the replays with the seeds 1 to SEEDS. */
static double
mean_value(const char *text, guint decisions)
{
    double sum = 0;
    for (guint seed = 1; seed <= SEEDS; seed++) {
        ReplaySpec_t spec = load_spec(text);
        ReplayResult_t result;
        spec.fleet.seed = seed;
        Replay_run(&spec, decisions, &result);
        sum += ReplayResult_computeValue(&result);
    }
    return sum / SEEDS;
}

static double
loss_without(const char *text, guint decision)
{
    double with = mean_value(text, REPLAY_ALL);
    double without = mean_value(text, REPLAY_ALL & ~decision);
    g_print("value %.3f, without the decision %.3f\n", with, without);
    return with - without;
}

START_TEST(the_same_seed_gives_the_same_result)
{
    ReplaySpec_t spec = load_spec(WORST_HOUR);
    ReplayResult_t first;
    ReplayResult_t second;
    Replay_run(&spec, REPLAY_ALL, &first);
    Replay_run(&spec, REPLAY_ALL, &second);
    ck_assert_uint_eq(first.read_tokens, second.read_tokens);
    ck_assert_uint_eq(first.kinds[0].in_time, second.kinds[0].in_time);
}
END_TEST

START_TEST(every_request_has_exactly_one_outcome)
{
    ReplaySpec_t spec = load_spec(WORST_HOUR);
    ReplayResult_t result;
    Replay_run(&spec, REPLAY_ALL, &result);
    for (guint kind = 0; kind < 2; kind++) {
        const ReplayCount_t *count = &result.kinds[kind];
        ck_assert_uint_gt(count->asked, 1000);
        ck_assert_uint_eq(count->in_time + count->late + count->refused +
                              count->failed,
                          count->asked);
    }
}
END_TEST

typedef struct {
    const char *text;
    ProblemKind_t kind;
    guint line;
    const char *key;
} Fault_t;

static const Fault_t faults[] = {
    {"[fleet]\nengines = 0\nslots = 1\ncache_tokens = 1\n"
     "prompt_tokens_ms = 1\nstep_us = 1\n",
     PROBLEM_OUT_OF_RANGE, 2, "engines"},
    {"[fleet]\nengines = 1\nslots = 1\ncache_tokens = 0\n"
     "prompt_tokens_ms = 1\nstep_us = 1\n",
     PROBLEM_OUT_OF_RANGE, 4, "cache_tokens"},
    {"[fleet]\nengines = 1\nslots = 1\ncache_tokens = 1\nstep_us = 1\n",
     PROBLEM_MISSING_KEY, 1, "prompt_tokens_ms"},
    {"[fleet]\nengines = 1\nslots = 1\ncache_tokens = 1\n"
     "prompt_tokens_ms = 1\nstep_us = 1\n[kind-1]\nrate = much\n",
     PROBLEM_BAD_VALUE, 8, "rate"},
    {"[fleet]\nengines = 1\nslots = 1\ncache_tokens = 1\n"
     "prompt_tokens_ms = 1\nstep_us = 1\n[kind-9]\n",
     PROBLEM_UNKNOWN_SECTION, 7, ""},
    {"[fleet]\nengines = 1\nslots = 1\ncache_tokens = 1\n"
     "prompt_tokens_ms = 1\nstep_us = 1\n[kind-1]\nrank = -1\n",
     PROBLEM_OUT_OF_RANGE, 8, "rank"},
    {"[fleet]\nengines = 1\nslots = 1\ncache_tokens = 1\n"
     "prompt_tokens_ms = 1\nstep_us = 1\n[kind-1]\ncustomers = 0\n",
     PROBLEM_OUT_OF_RANGE, 8, "customers"},
    {"[fleet]\nengines = 1\nslots = 1\ncache_tokens = 1\n"
     "prompt_tokens_ms = 1\nstep_us = 1\n[kind-1]\ncustomers = 65\n",
     PROBLEM_OUT_OF_RANGE, 8, "customers"},
    {"[fleet]\nengines = 1\nslots = 1\ncache_tokens = 1\n"
     "prompt_tokens_ms = 1\nstep_us = 1\n[kind-1]\nburst_percent = twice\n",
     PROBLEM_BAD_VALUE, 8, "burst_percent"},
    {"[fleet]\nengines = 1\nslots = 1\ncache_tokens = 1\n"
     "prompt_tokens_ms = 1\nstep_us = 1\n[kind-1]\nburst_percent = 0\n",
     PROBLEM_OUT_OF_RANGE, 8, "burst_percent"},
    {"[fleet]\nengines = 1\nslots = 1\ncache_tokens = 1\n"
     "prompt_tokens_ms = 1\nstep_us = 1\n[kind-1]\nburst_from = 4\n",
     PROBLEM_BAD_UNIT, 8, "burst_from"},
    {"[fleet]\nengines = 1\nslots = 1\ncache_tokens = 1\n"
     "prompt_tokens_ms = 1\nstep_us = 1\n[kind-1]\nburst_until = 601s\n",
     PROBLEM_OUT_OF_RANGE, 8, "burst_until"},
    {"[fleet]\nengines = 1\nslots = 1\ncache_tokens = 1\n"
     "prompt_tokens_ms = 1\nstep_us = 1\n[kind-1]\nloud_percent = 0\n",
     PROBLEM_OUT_OF_RANGE, 8, "loud_percent"},
    {"[fleet]\nengines = 1\nslots = 1\ncache_tokens = 1\n"
     "prompt_tokens_ms = 1\nstep_us = 1\n[kind-1]\nloud_from = soon\n",
     PROBLEM_BAD_VALUE, 8, "loud_from"},
    {"[fleet]\nengines = 1\nslots = 1\ncache_tokens = 1\n"
     "prompt_tokens_ms = 1\nstep_us = 1\n[kind-1]\nloud_until = 601s\n",
     PROBLEM_OUT_OF_RANGE, 8, "loud_until"},
    {"[fleet]\nengines = 1\nslots = 1\ncache_tokens = 1\n"
     "prompt_tokens_ms = 1\nstep_us = 1\npiece_mode = none\n",
     PROBLEM_BAD_VALUE, 7, "piece_mode"},
};

START_TEST(a_problem_in_a_file_has_its_line_and_key)
{
    for (gsize i = 0; i < G_N_ELEMENTS(faults); i++) {
        ReplaySpec_t spec;
        g_autoptr(GPtrArray) problems = Problems_create();
        ck_assert(!read_text(faults[i].text, &spec, problems));
        const Problem_t *problem = g_ptr_array_index(problems, 0);
        ck_assert_int_eq(problem->kind, faults[i].kind);
        ck_assert_uint_eq(problem->line, faults[i].line);
        ck_assert_str_eq(problem->key->str, faults[i].key);
    }
}
END_TEST

/* An engine whose cache is smaller than its requests, and a request rate of
 * 0. */
START_TEST(extreme_loads_are_replayed)
{
    ReplayResult_t result;
    ReplaySpec_t spec = load_spec("[fleet]\nengines = 1\nslots = 1\n"
                                  "cache_tokens = 1\nprompt_tokens_ms = 1\n"
                                  "step_us = 1000\nduration = 2s\n"
                                  "[kind-1]\nrate = 3\nprefixes = 1000000\n"
                                  "shared_tokens = 500\ndeadline = 2s\n"
                                  "[kind-2]\nrate = 0\n");
    Replay_run(&spec, REPLAY_ALL, &result);
    ck_assert_uint_gt(result.kinds[0].asked, 0);
    ck_assert_uint_eq(result.kinds[1].asked, 0);
}
END_TEST

#define SMALL_FLEET                                                           \
    "[fleet]\nduration = 10s\nengines = 4\nslots = 64\n"                      \
    "cache_tokens = 100000\nprompt_tokens_ms = 50\nstep_us = 3000\n"

START_TEST(a_burst_multiplies_the_rate_in_its_span)
{
    ReplayResult_t result;
    ReplaySpec_t spec =
        load_spec(SMALL_FLEET "[kind-1]\nrate = 200\nburst_percent = 300\n"
                              "burst_from = 4s\nburst_until = 6s\n");
    Replay_run(&spec, REPLAY_ALL, &result);
    for (guint second = 0; second < 10; second++) {
        guint asked = result.kinds[0].seconds[second].asked;
        guint expected = second == 4 || second == 5 ? 600 : 200;
        ck_assert_uint_gt(asked, expected * 3 / 4);
        ck_assert_uint_lt(asked, expected * 5 / 4);
    }
}
END_TEST

/* The others send what they send without the loud customer. */
START_TEST(a_loud_customer_sends_a_multiple_in_its_span)
{
    ReplayResult_t result;
    ReplaySpec_t spec = load_spec(
        SMALL_FLEET "[kind-1]\nrate = 400\ncustomers = 4\n"
                    "loud_percent = 600\nloud_from = 0s\nloud_until = 10s\n");
    Replay_run(&spec, REPLAY_ALL, &result);
    const ReplayShare_t *customers = result.kinds[0].customers;
    ck_assert_uint_gt(customers[0].asked, 5500);
    ck_assert_uint_lt(customers[0].asked, 6500);
    for (guint i = 1; i < 4; i++) {
        ck_assert_uint_gt(customers[i].asked, 900);
        ck_assert_uint_lt(customers[i].asked, 1100);
    }
    ck_assert_uint_eq(customers[4].asked, 0);
}
END_TEST

START_TEST(shedding_late_requests_increases_the_value)
{
    ck_assert(loss_without(WORST_HOUR, REPLAY_SHED) > 0.1);
}
END_TEST

START_TEST(routing_by_prefix_increases_the_value)
{
    ck_assert(loss_without(WORST_HOUR, REPLAY_PREFIX) > 0.1);
}
END_TEST

START_TEST(counting_slots_increases_the_value)
{
    ck_assert(loss_without(WORST_HOUR, REPLAY_SLOTS) > 0.02);
}
END_TEST

START_TEST(tracking_engine_caches_increases_the_value)
{
    ck_assert(loss_without(WORST_HOUR, REPLAY_MEMORY) > 0.1);
}
END_TEST

TESTING_MAIN("Replay", the_same_seed_gives_the_same_result,
             every_request_has_exactly_one_outcome,
             a_problem_in_a_file_has_its_line_and_key,
             extreme_loads_are_replayed,
             a_burst_multiplies_the_rate_in_its_span,
             a_loud_customer_sends_a_multiple_in_its_span,
             shedding_late_requests_increases_the_value,
             routing_by_prefix_increases_the_value,
             counting_slots_increases_the_value,
             tracking_engine_caches_increases_the_value)
