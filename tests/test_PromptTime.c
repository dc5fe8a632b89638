#include "testing.h"

#include "PromptTime.h"
#include "Random.h"

#define GIVEN_US_PER_TOKEN 3.0
#define BASE_US G_GINT64_CONSTANT(8000)
#define US_PER_TOKEN 24.0
#define NOISE_US 8000
#define LONG_PROMPT 20000
#define SEEDS 20

static PromptTime_t *time_model;

static void
begin(guint32 seed)
{
    Random_seed(seed);
    time_model = PromptTime_create(GIVEN_US_PER_TOKEN);
}

static void
end(void)
{
    PromptTime_destroy(time_model);
}

static gint64
engine_us(guint tokens)
{
    return BASE_US + (gint64)(US_PER_TOKEN * tokens) +
           Random_below(2 * NOISE_US) - NOISE_US;
}

static void
note(guint tokens)
{
    PromptTime_note(time_model, tokens, engine_us(tokens));
}

static void
note_mixed(guint count)
{
    for (guint i = 0; i < count; i++) {
        note(100 + Random_below(39900));
    }
}

/* One prompt of twenty is long. */
static void
note_mostly_short(guint count)
{
    for (guint i = 0; i < count; i++) {
        note(i % 20 == 19 ? 15000 + Random_below(4000)
                          : 300 + Random_below(200));
    }
}

static void
assert_time(guint tokens, double fraction)
{
    double actual_us = US_PER_TOKEN * tokens;
    double learned_us = (double)PromptTime_computeUs(time_model, tokens);
    ck_assert_double_ge(learned_us, actual_us * (1 - fraction));
    ck_assert_double_le(learned_us, actual_us * (1 + fraction));
}

START_TEST(time_of_mixed_prompts_is_learned)
{
    for (guint32 seed = 1; seed <= SEEDS; seed++) {
        begin(seed);
        note_mixed(100);
        assert_time(LONG_PROMPT, 0.1);
        ck_assert_int_ge(PromptTime_baseUs(time_model), 0);
        ck_assert_int_le(PromptTime_baseUs(time_model), 3 * BASE_US);
        end();
    }
}
END_TEST

START_TEST(a_few_long_prompts_among_short_ones_suffice)
{
    for (guint32 seed = 1; seed <= SEEDS; seed++) {
        begin(seed);
        note_mostly_short(60);
        assert_time(LONG_PROMPT, 0.1);
        note_mostly_short(1000);
        assert_time(LONG_PROMPT, 0.1);
        end();
    }
}
END_TEST

START_TEST(prompts_of_one_length_suffice)
{
    begin(1);
    for (guint i = 0; i < 20; i++) {
        note(LONG_PROMPT);
    }
    assert_time(LONG_PROMPT, 0.1);
    end();
}
END_TEST

START_TEST(short_prompts_alone_do_not_set_the_slope)
{
    begin(1);
    for (guint i = 0; i < 1000; i++) {
        note(300);
    }
    ck_assert_int_eq(PromptTime_computeUs(time_model, LONG_PROMPT),
                     (gint64)(GIVEN_US_PER_TOKEN * LONG_PROMPT));
    end();
}
END_TEST

START_TEST(short_prompts_alone_do_not_displace_what_was_learned)
{
    begin(1);
    note_mixed(100);
    for (guint i = 0; i < 2000; i++) {
        note(300);
    }
    assert_time(LONG_PROMPT, 0.1);
    end();
}
END_TEST

/* Requests that met a fault and waited for seconds. */
static void
note_outliers(guint count)
{
    for (guint i = 0; i < count; i++) {
        PromptTime_note(time_model, 300 + i * 6000,
                        engine_us(300) + (2 + (gint64)i) * 1000000);
    }
}

START_TEST(outliers_of_seconds_hardly_move_the_time)
{
    for (guint32 seed = 1; seed <= SEEDS; seed++) {
        begin(seed);
        note_mixed(100);
        note_outliers(4);
        assert_time(LONG_PROMPT, 0.25);
        end();
    }
}
END_TEST

START_TEST(outlier_among_mostly_short_prompts_hardly_moves_the_time)
{
    for (guint32 seed = 1; seed <= SEEDS; seed++) {
        begin(seed);
        note_mostly_short(400);
        PromptTime_note(time_model, 17000, 5000000);
        PromptTime_note(time_model, 400, 5000000);
        assert_time(LONG_PROMPT, 0.25);
        end();
    }
}
END_TEST

START_TEST(slower_engines_are_learned_again)
{
    begin(1);
    for (guint i = 0; i < 100; i++) {
        guint tokens = 100 + Random_below(39900);
        PromptTime_note(time_model, tokens, engine_us(tokens) / 4);
    }
    note_mixed(600);
    assert_time(LONG_PROMPT, 0.1);
    end();
}
END_TEST

START_TEST(implausible_delays_leave_a_plausible_line)
{
    begin(1);
    for (guint i = 0; i < 50; i++) {
        PromptTime_note(time_model, i * 500, G_MAXINT64);
    }
    ck_assert_int_le(PromptTime_computeUs(time_model, 1000), 10000000);
    ck_assert_int_le(PromptTime_baseUs(time_model), 100000);
    for (guint i = 0; i < 500; i++) {
        PromptTime_note(time_model, i * 50, G_MININT64);
    }
    ck_assert_int_ge(PromptTime_computeUs(time_model, 1000), 1000);
    ck_assert_int_ge(PromptTime_baseUs(time_model), 0);
    end();
}
END_TEST

TESTING_MAIN("PromptTime", time_of_mixed_prompts_is_learned,
             a_few_long_prompts_among_short_ones_suffice,
             prompts_of_one_length_suffice,
             short_prompts_alone_do_not_set_the_slope,
             short_prompts_alone_do_not_displace_what_was_learned,
             outliers_of_seconds_hardly_move_the_time,
             outlier_among_mostly_short_prompts_hardly_moves_the_time,
             slower_engines_are_learned_again,
             implausible_delays_leave_a_plausible_line)
