#include "testing.h"

#include "EngineSpeed.h"

#define TOKENS 3000
#define ACTUAL_US_PER_TOKEN 24.5

/* Delay of a first token: 3 of 10 requests meet an idle engine, 7 a queue. */
static gint64
waited_us(guint i)
{
    gint64 queue_us = (i % 10) < 3 ? 0 : (gint64)(i % 10) * 20000;
    return (gint64)(TOKENS * ACTUAL_US_PER_TOKEN) + queue_us;
}

static double
learn_speed(double initial_us, guint count)
{
    EngineSpeed_t speed;
    EngineSpeed_init(&speed, initial_us);
    for (guint i = 0; i < count; i++) {
        EngineSpeed_note(&speed, waited_us(i), TOKENS);
    }
    return speed.us_per_token;
}

START_TEST(speed_is_learned_despite_a_queue_from_any_start)
{
    for (double initial_us = 8; initial_us < 100; initial_us *= 2) {
        double learned_us = learn_speed(initial_us, 120);
        ck_assert_double_gt(learned_us, ACTUAL_US_PER_TOKEN * 0.9);
        ck_assert_double_lt(learned_us, ACTUAL_US_PER_TOKEN * 1.15);
    }
}
END_TEST

START_TEST(short_prompts_are_ignored)
{
    EngineSpeed_t speed;
    EngineSpeed_init(&speed, ACTUAL_US_PER_TOKEN);
    EngineSpeed_note(&speed, 1000000, 10);
    ck_assert_double_eq(speed.us_per_token, ACTUAL_US_PER_TOKEN);
    ck_assert_uint_eq(speed.samples, 0);
}
END_TEST

START_TEST(implausible_delays_move_the_estimate_by_one_step)
{
    EngineSpeed_t speed;
    EngineSpeed_init(&speed, ACTUAL_US_PER_TOKEN);
    EngineSpeed_note(&speed, -G_MAXINT64 / 2, TOKENS);
    ck_assert_double_gt(speed.us_per_token, ACTUAL_US_PER_TOKEN / 2);
    EngineSpeed_note(&speed, G_MAXINT64 / 2, TOKENS);
    ck_assert_double_lt(speed.us_per_token, ACTUAL_US_PER_TOKEN * 2);
}
END_TEST

TESTING_MAIN("EngineSpeed", speed_is_learned_despite_a_queue_from_any_start,
             short_prompts_are_ignored,
             implausible_delays_move_the_estimate_by_one_step)
