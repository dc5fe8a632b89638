#include "testing.h"

#include "Random.h"
#include "Reach.h"

typedef struct {
    guint64 tickets[REACH_SAMPLE];
    guint count;
} Sent_t;

static void
keep(void *owner, guint64 router, guint64 ticket)
{
    (void)router;
    Sent_t *sent = owner;
    sent->tickets[sent->count++] = ticket;
}

/* So many of 1,000 routers answer. */
static void
step(Reach_t *reach, guint answering, guint drawn, guint others)
{
    ReachSample_t sample = {.drawn = drawn, .others = others};
    Sent_t sent = {{0}, 0};
    Reach_step(reach, &sample, keep, &sent);
    for (guint i = 0; i < sent.count; i++) {
        if (Random_below(1000) < answering) {
            Reach_noteAnswer(reach, sent.tickets[i]);
            Reach_noteAnswer(reach, sent.tickets[i]);
        }
    }
}

static double
part_after(guint steps, guint answering, guint drawn, guint others)
{
    Reach_t *reach = Reach_create();
    Random_seed(5);
    for (guint i = 0; i < steps; i++) {
        step(reach, answering, drawn, others);
    }
    double part = Reach_part(reach);
    Reach_destroy(reach);
    return part;
}

START_TEST(all_are_reached_until_one_knows_better)
{
    ck_assert_double_eq(part_after(1, 0, REACH_SAMPLE, 89), 1);
    ck_assert_double_eq(part_after(20, 1000, REACH_SAMPLE, 89), 1);
    ck_assert_double_eq(part_after(20, 0, 0, 0), 1);
}
END_TEST

START_TEST(one_that_is_lost_says_nothing)
{
    Reach_t *reach = Reach_create();
    ReachSample_t sample = {.drawn = REACH_SAMPLE, .others = 89};
    Sent_t sent = {{0}, 0};
    Reach_step(reach, &sample, keep, &sent);
    for (guint i = 1; i < sent.count; i++) {
        Reach_noteAnswer(reach, sent.tickets[i]);
    }
    step(reach, 1000, REACH_SAMPLE, 89);
    ck_assert_double_eq(Reach_part(reach), 1);
    Reach_destroy(reach);
}
END_TEST

START_TEST(a_part_that_is_cut_off_is_seen)
{
    double part = part_after(20, 600, REACH_SAMPLE, 89);
    ck_assert_double_ge(part, 0.45);
    ck_assert_double_le(part, 0.8);
    ck_assert_double_le(part_after(2, 0, REACH_SAMPLE, 89), 0.02);
    ck_assert_double_eq_tol(part_after(2, 0, 3, 3), 0.25, 0.01);
}
END_TEST

START_TEST(after_a_rest_all_are_reached_again)
{
    Reach_t *reach = Reach_create();
    step(reach, 0, REACH_SAMPLE, 89);
    step(reach, 0, REACH_SAMPLE, 89);
    Reach_rest(reach);
    ck_assert_double_eq(Reach_part(reach), 1);
    step(reach, 0, REACH_SAMPLE, 89);
    ck_assert_double_eq(Reach_part(reach), 1);
    Reach_destroy(reach);
}
END_TEST

/* How many are asked at a step of which so many do not answer. */
static guint
ask_some(Reach_t *reach, guint silent)
{
    ReachSample_t sample = {.drawn = REACH_SAMPLE, .others = 299};
    Sent_t sent = {{0}, 0};
    Reach_step(reach, &sample, keep, &sent);
    for (guint i = silent; i < sent.count; i++) {
        Reach_noteAnswer(reach, sent.tickets[i]);
    }
    return sent.count;
}

/* A count that is used all day asked 16 others four times a second, which was
 * most of its messages. */
START_TEST(fewer_are_asked_while_all_answer)
{
    Reach_t *reach = Reach_create();
    for (guint i = 0; i < 10; i++) {
        ask_some(reach, 0);
    }
    guint calm = ask_some(reach, 1);
    ck_assert_uint_le(calm * 4, REACH_SAMPLE);
    ck_assert_uint_eq(ask_some(reach, 0), REACH_SAMPLE);
    ck_assert_double_eq(Reach_part(reach), 1);
    Reach_destroy(reach);
}
END_TEST

TESTING_MAIN("Reach", all_are_reached_until_one_knows_better,
             one_that_is_lost_says_nothing, a_part_that_is_cut_off_is_seen,
             after_a_rest_all_are_reached_again,
             fewer_are_asked_while_all_answer)
