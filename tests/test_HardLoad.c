/**
 * DOC: test_HardLoad
 *
 * What callers get under the load of bench/loads/hard-load.ini, at its rates
 * and at multiples of them.
 */
#include "testing.h"

#include "Problem.h"
#include "Replay.h"

#define SEEDS 3
#define PERCENT 100
#define PERCENT_MAX 1000
#define MS_PER_S 1000
/* Kinds of the load. */
#define LONG_KIND 0
#define URGENT_KIND 1
/* First second after the loss of engines. */
#define STEADY_S 3
/* The load goes on for this long after the last burst. */
#define AFTER_BURST_MS 4000

#define URGENT_IN_TIME_MIN 0.9
#define WAIT_BESIDE_ROOM_MAX 0.01
#define BUSIEST_MAX 1.3
#define SERVED_DIFFERENCE_MAX 0.05
#define LONGEST_SHARE_MIN 0.5
#define WORK_MIN 0.9
#define REFUSED_AGAIN_MAX 0.1
/* Rate of a customer that sends far more than usual, and what the others must
 * keep of the share that was served without it. */
#define LOUD_PERCENT 750
#define BESIDE_LOUD_MIN 0.95

static ReplaySpec_t
load_spec(guint seed)
{
    ReplaySpec_t spec;
    g_autoptr(GPtrArray) problems = Problems_create();
    ck_assert(ReplaySpec_read(&spec, HARD_LOAD, problems));
    spec.fleet.seed = seed;
    return spec;
}

/* Multiplies all rates; the bursts keep their times. */
static ReplaySpec_t
load_at(guint seed, guint percent)
{
    ReplaySpec_t spec = load_spec(seed);
    for (guint kind = 0; kind < REPLAY_KINDS_MAX; kind++) {
        spec.kinds[kind].rate = spec.kinds[kind].rate * percent / PERCENT;
    }
    return spec;
}

/* Several tests ask for the same plays, so that each runs once. */
static const ReplayResult_t *
play(guint seed, guint percent)
{
    static GHashTable *results; /* seed and percent -> ReplayResult_t */
    gpointer key = GUINT_TO_POINTER(seed * PERCENT_MAX + percent);
    if (!results) {
        results = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    }
    ReplayResult_t *result = g_hash_table_lookup(results, key);
    if (!result) {
        ReplaySpec_t spec = load_at(seed, percent);
        result = g_new0(ReplayResult_t, 1);
        Replay_run(&spec, REPLAY_ALL, result);
        g_hash_table_insert(results, key, result);
    }
    return result;
}

static double
share(guint part, guint whole)
{
    return whole > 0 ? (double)part / whole : 0;
}

static double
served_share(const ReplayCount_t *count)
{
    return share(count->in_time + count->late, count->asked);
}

static gboolean
begins_in(const ReplayKind_t *kind, guint second)
{
    return kind->burst_percent > PERCENT &&
           kind->burst_from_ms / MS_PER_S == second;
}

static gboolean
is_in_burst(const ReplaySpec_t *spec, guint second)
{
    for (guint i = 0; i < REPLAY_KINDS_MAX; i++) {
        const ReplayKind_t *kind = &spec->kinds[i];
        gint64 at_ms = (gint64)second * MS_PER_S;
        if (kind->burst_percent > PERCENT && at_ms >= kind->burst_from_ms &&
            at_ms < kind->burst_until_ms) {
            return TRUE;
        }
    }
    return FALSE;
}

static gboolean
is_first_of_burst(const ReplaySpec_t *spec, guint second)
{
    return begins_in(&spec->kinds[LONG_KIND], second) ||
           begins_in(&spec->kinds[URGENT_KIND], second);
}

/* Returns the number of seconds in which too few were in time. */
static guint
count_bad_seconds(const ReplaySpec_t *spec, const ReplayResult_t *result)
{
    guint bad = 0;
    for (guint s = STEADY_S; s < spec->fleet.duration_ms / MS_PER_S; s++) {
        const ReplaySecond_t *second = &result->kinds[URGENT_KIND].seconds[s];
        double in_time = share(second->in_time, second->asked);
        gboolean counts = !is_first_of_burst(spec, s);
        g_print(" %.2f%s", in_time, counts ? "" : "*");
        bad += counts && in_time < URGENT_IN_TIME_MIN ? 1 : 0;
    }
    return bad;
}

START_TEST(urgent_callers_are_served_in_time_in_every_second)
{
    guint bad = 0;
    for (guint seed = 1; seed <= SEEDS; seed++) {
        ReplaySpec_t spec = load_spec(seed);
        const ReplayResult_t *result = play(seed, PERCENT);
        g_print("seed %u, urgent in time from second %u (* not counted):",
                seed, STEADY_S);
        bad += count_bad_seconds(&spec, result);
        g_print("\n");
    }
    ck_assert_uint_eq(bad, 0);
}
END_TEST

START_TEST(nobody_waits_while_another_engine_has_room)
{
    double worst = 0;
    for (guint seed = 1; seed <= SEEDS; seed++) {
        const ReplayResult_t *result = play(seed, PERCENT);
        g_print("seed %u, waited beside an engine with room:", seed);
        for (guint kind = LONG_KIND; kind <= URGENT_KIND; kind++) {
            const ReplayCount_t *count = &result->kinds[kind];
            double waited = share(count->waited_beside_room, count->asked);
            g_print(" kind-%u %.4f", kind + 1, waited);
            worst = MAX(worst, waited);
        }
        g_print("\n");
    }
    ck_assert_double_le(worst, WAIT_BESIDE_ROOM_MAX);
}
END_TEST

START_TEST(no_engine_computes_much_more_than_the_others)
{
    double worst = 0;
    for (guint seed = 1; seed <= SEEDS; seed++) {
        const ReplayResult_t *result = play(seed, PERCENT);
        g_print("seed %u, busiest engine over the mean %.2f\n", seed,
                result->busiest);
        worst = MAX(worst, result->busiest);
    }
    ck_assert_double_le(worst, BUSIEST_MAX);
}
END_TEST

/* Loads beyond the room, in percent of the usual rates. */
static const guint overloads[] = {150, 300};

START_TEST(a_shortage_falls_on_the_less_urgent_first)
{
    double worst = 1;
    for (gsize i = 0; i < G_N_ELEMENTS(overloads); i++) {
        for (guint seed = 1; seed <= SEEDS; seed++) {
            const ReplayResult_t *result = play(seed, overloads[i]);
            double urgent = served_share(&result->kinds[URGENT_KIND]);
            double other = served_share(&result->kinds[LONG_KIND]);
            g_print("seed %u, %u %%: served %.3f urgent, %.3f others\n", seed,
                    overloads[i], urgent, other);
            worst = MIN(worst, urgent - other);
        }
    }
    ck_assert_double_ge(worst, -SERVED_DIFFERENCE_MAX);
}
END_TEST

START_TEST(the_longest_prompts_are_served_too)
{
    double worst = 1;
    for (gsize i = 0; i < G_N_ELEMENTS(overloads); i++) {
        for (guint seed = 1; seed <= SEEDS; seed++) {
            const ReplayResult_t *result = play(seed, overloads[i]);
            const ReplayCount_t *count = &result->kinds[LONG_KIND];
            double longest =
                share(count->longest.served, count->longest.asked);
            double all = served_share(count);
            g_print("seed %u, %u %%: served %.3f of the longest tenth, %.3f "
                    "of all\n",
                    seed, overloads[i], longest, all);
            worst = MIN(worst, longest - LONGEST_SHARE_MIN * all);
        }
    }
    ck_assert_double_ge(worst, 0);
}
END_TEST

START_TEST(work_served_does_not_fall_under_overload)
{
    double worst = 1;
    for (guint seed = 1; seed <= SEEDS; seed++) {
        double usual = play(seed, PERCENT)->served_work_us;
        double overloaded = play(seed, 300)->served_work_us;
        g_print("seed %u, work served at 300 %% over that at 100 %%: %.2f\n",
                seed, overloaded / usual);
        worst = MIN(worst, overloaded / usual);
    }
    ck_assert_double_ge(worst, WORK_MIN);
}
END_TEST

/* Plays the load until some time after the burst of a kind has ended. */
static ReplayResult_t
play_beyond_burst(ReplaySpec_t *spec, guint kind)
{
    ReplayResult_t result;
    spec->fleet.duration_ms =
        spec->kinds[kind].burst_until_ms + AFTER_BURST_MS;
    Replay_run(spec, REPLAY_ALL, &result);
    return result;
}

/* Returns the urgent refusals from one second after the burst on. */
static guint
count_late_refusals(const ReplaySpec_t *spec, const ReplayResult_t *result,
                    guint kind)
{
    const ReplaySecond_t *seconds = result->kinds[URGENT_KIND].seconds;
    guint end = (guint)(spec->kinds[kind].burst_until_ms / MS_PER_S);
    guint refusals = 0;
    for (guint s = end; s < REPLAY_SECONDS_MAX; s++) {
        refusals += s > end ? seconds[s].refused : 0;
        if (s <= end + AFTER_BURST_MS / MS_PER_S) {
            g_print(" %u", seconds[s].refused);
        }
    }
    return refusals;
}

START_TEST(refusals_of_urgent_callers_end_with_their_burst)
{
    guint late = 0;
    for (guint seed = 1; seed <= SEEDS; seed++) {
        ReplaySpec_t spec = load_spec(seed);
        ReplayResult_t result = play_beyond_burst(&spec, URGENT_KIND);
        g_print("seed %u, urgent refusals by second after the urgent burst:",
                seed);
        late += count_late_refusals(&spec, &result, URGENT_KIND);
        g_print("\n");
    }
    ck_assert_uint_eq(late, 0);
}
END_TEST

/* Without the urgent burst, which begins soon after the other one ends. */
START_TEST(refusals_of_urgent_callers_end_with_the_burst_of_long_prompts)
{
    guint late = 0;
    for (guint seed = 1; seed <= SEEDS; seed++) {
        ReplaySpec_t spec = load_spec(seed);
        spec.kinds[URGENT_KIND].burst_percent = PERCENT;
        ReplayResult_t result = play_beyond_burst(&spec, LONG_KIND);
        g_print("seed %u, urgent refusals by second after the long burst:",
                seed);
        late += count_late_refusals(&spec, &result, LONG_KIND);
        g_print("\n");
    }
    ck_assert_uint_eq(late, 0);
}
END_TEST

START_TEST(callers_that_return_are_seldom_refused_again)
{
    double worst = 0;
    for (guint seed = 1; seed <= SEEDS; seed++) {
        ReplaySpec_t spec = load_spec(seed);
        ReplayResult_t result = play_beyond_burst(&spec, URGENT_KIND);
        guint returned = 0;
        guint again = 0;
        for (guint s = 0; s < REPLAY_SECONDS_MAX; s++) {
            for (guint kind = LONG_KIND; kind <= URGENT_KIND; kind++) {
                const ReplaySecond_t *second = &result.kinds[kind].seconds[s];
                returned += is_in_burst(&spec, s) ? 0 : second->returned;
                again += is_in_burst(&spec, s) ? 0 : second->refused_again;
            }
        }
        g_print("seed %u, refused again %u of %u outside of bursts\n", seed,
                again, returned);
        worst = MAX(worst, share(again, returned));
    }
    ck_assert_double_lt(worst, REFUSED_AGAIN_MAX);
}
END_TEST

/* One customer is loud from the loss of engines to the end. */
static ReplayResult_t
play_with_loud_customer(guint seed, guint percent)
{
    ReplayResult_t result;
    ReplaySpec_t spec = load_at(seed, percent);
    ReplayKind_t *kind = &spec.kinds[URGENT_KIND];
    kind->loud_percent = LOUD_PERCENT;
    kind->loud_from_ms = STEADY_S * MS_PER_S;
    kind->loud_until_ms = spec.fleet.duration_ms;
    Replay_run(&spec, REPLAY_ALL, &result);
    return result;
}

static double
customer_share(const ReplayResult_t *result, guint customer)
{
    const ReplayShare_t *count =
        &result->kinds[URGENT_KIND].customers[customer];
    return share(count->served, count->asked);
}

/* Returns the least that another customer keeps of what it was served. */
static double
find_least_kept(guint seed, guint percent)
{
    const ReplayResult_t *usual = play(seed, percent);
    ReplayResult_t loud = play_with_loud_customer(seed, percent);
    guint customers = (guint)load_spec(seed).kinds[URGENT_KIND].customers;
    double worst = 1;
    g_print("seed %u, %u %%: served %.2f of the loud customer; of the others, "
            "over what it is without it:",
            seed, percent, customer_share(&loud, 0));
    for (guint i = 1; i < customers; i++) {
        double kept = customer_share(&loud, i) / customer_share(usual, i);
        g_print(" %.2f", kept);
        worst = MIN(worst, kept);
    }
    g_print("\n");
    return worst;
}

START_TEST(one_loud_customer_does_not_cost_the_others)
{
    double worst = 1;
    for (guint seed = 1; seed <= SEEDS; seed++) {
        double usual = find_least_kept(seed, PERCENT);
        double overloaded = find_least_kept(seed, 150);
        worst = MIN(worst, MIN(usual, overloaded));
    }
    ck_assert_double_ge(worst, BESIDE_LOUD_MIN);
}
END_TEST

START_TEST(one_loud_customer_does_not_cost_the_others_in_a_shortage)
{
    double worst = 1;
    for (guint seed = 1; seed <= SEEDS; seed++) {
        double kept = find_least_kept(seed, 300);
        worst = MIN(worst, kept);
    }
    ck_assert_double_ge(worst, BESIDE_LOUD_MIN);
}
END_TEST

TESTING_MAIN("HardLoad", urgent_callers_are_served_in_time_in_every_second,
             nobody_waits_while_another_engine_has_room,
             no_engine_computes_much_more_than_the_others,
             a_shortage_falls_on_the_less_urgent_first,
             the_longest_prompts_are_served_too,
             work_served_does_not_fall_under_overload,
             refusals_of_urgent_callers_end_with_their_burst,
             refusals_of_urgent_callers_end_with_the_burst_of_long_prompts,
             callers_that_return_are_seldom_refused_again,
             one_loud_customer_does_not_cost_the_others,
             one_loud_customer_does_not_cost_the_others_in_a_shortage)
