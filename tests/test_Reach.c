#include "testing.h"

#include "Random.h"
#include "Reach.h"

typedef struct {
    guint64 tickets[REACH_SAMPLE_MAX];
    guint count;
} Probes_t;

static void
store_ticket(void *owner, guint64 router, guint64 ticket)
{
    (void)router;
    Probes_t *probes = owner;
    probes->tickets[probes->count++] = ticket;
}

/* Answers each probe twice with the probability @answered_per_1000 / 1000. */
static void
run_round(Reach_t *reach, guint answered_per_1000, guint drawn, guint others)
{
    ReachSample_t sample = {.drawn = drawn, .others = others};
    Probes_t probes = {{0}, 0};
    Reach_startRound(reach, &sample, store_ticket, &probes);
    for (guint i = 0; i < probes.count; i++) {
        if (Random_below(1000) < answered_per_1000) {
            Reach_noteAnswer(reach, probes.tickets[i]);
            Reach_noteAnswer(reach, probes.tickets[i]);
        }
    }
}

static double
fraction_after(guint rounds, guint answered_per_1000, guint drawn,
               guint others)
{
    Reach_t *reach = Reach_create();
    Random_seed(5);
    for (guint i = 0; i < rounds; i++) {
        run_round(reach, answered_per_1000, drawn, others);
    }
    double fraction = Reach_fraction(reach);
    Reach_destroy(reach);
    return fraction;
}

START_TEST(all_routers_count_as_reached_until_probes_are_lost)
{
    ck_assert_double_eq(fraction_after(1, 0, REACH_SAMPLE_MAX, 89), 1);
    ck_assert_double_eq(fraction_after(20, 1000, REACH_SAMPLE_MAX, 89), 1);
    ck_assert_double_eq(fraction_after(20, 0, 0, 0), 1);
}
END_TEST

START_TEST(a_single_lost_answer_is_ignored)
{
    Reach_t *reach = Reach_create();
    ReachSample_t sample = {.drawn = REACH_SAMPLE_MAX, .others = 89};
    Probes_t probes = {{0}, 0};
    Reach_startRound(reach, &sample, store_ticket, &probes);
    for (guint i = 1; i < probes.count; i++) {
        Reach_noteAnswer(reach, probes.tickets[i]);
    }
    run_round(reach, 1000, REACH_SAMPLE_MAX, 89);
    ck_assert_double_eq(Reach_fraction(reach), 1);
    Reach_destroy(reach);
}
END_TEST

START_TEST(a_partition_lowers_the_fraction)
{
    double fraction = fraction_after(20, 600, REACH_SAMPLE_MAX, 89);
    ck_assert_double_ge(fraction, 0.45);
    ck_assert_double_le(fraction, 0.8);
    ck_assert_double_le(fraction_after(2, 0, REACH_SAMPLE_MAX, 89), 0.02);
    ck_assert_double_eq_tol(fraction_after(2, 0, 3, 3), 0.25, 0.01);
}
END_TEST

START_TEST(after_a_reset_all_routers_count_as_reached)
{
    Reach_t *reach = Reach_create();
    run_round(reach, 0, REACH_SAMPLE_MAX, 89);
    run_round(reach, 0, REACH_SAMPLE_MAX, 89);
    Reach_reset(reach);
    ck_assert_double_eq(Reach_fraction(reach), 1);
    run_round(reach, 0, REACH_SAMPLE_MAX, 89);
    ck_assert_double_eq(Reach_fraction(reach), 1);
    Reach_destroy(reach);
}
END_TEST

/* Runs a round in which the first @unanswered probes get no answer; returns
 * the number of probes. */
static guint
count_probes(Reach_t *reach, guint unanswered)
{
    ReachSample_t sample = {.drawn = REACH_SAMPLE_MAX, .others = 299};
    Probes_t probes = {{0}, 0};
    Reach_startRound(reach, &sample, store_ticket, &probes);
    for (guint i = unanswered; i < probes.count; i++) {
        Reach_noteAnswer(reach, probes.tickets[i]);
    }
    return probes.count;
}

/* While all routers answered, a count in constant use still probed 16 routers
 * four times a second, which made up most of its messages. */
START_TEST(fewer_routers_are_probed_while_all_answer)
{
    Reach_t *reach = Reach_create();
    for (guint i = 0; i < 10; i++) {
        count_probes(reach, 0);
    }
    guint probed = count_probes(reach, 1);
    ck_assert_uint_le(probed * 4, REACH_SAMPLE_MAX);
    ck_assert_uint_eq(count_probes(reach, 0), REACH_SAMPLE_MAX);
    ck_assert_double_eq(Reach_fraction(reach), 1);
    Reach_destroy(reach);
}
END_TEST

TESTING_MAIN("Reach", all_routers_count_as_reached_until_probes_are_lost,
             a_single_lost_answer_is_ignored, a_partition_lowers_the_fraction,
             after_a_reset_all_routers_count_as_reached,
             fewer_routers_are_probed_while_all_answer)
