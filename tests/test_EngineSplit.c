#include "testing.h"

#include "EngineSplit.h"

#define TARGET_MS 300
#define STREAMS 200

static EngineSplit_t *split;

static void
begin(void)
{
    split = EngineSplit_create();
    for (guint i = 0; i < STREAMS; i++) {
        EngineSplit_noteWork(split, i % 2 == 0, i % 2 == 0 ? 20000 : 160000);
    }
}

static void
end(void)
{
    EngineSplit_destroy(split);
}

/* Records streams; in each ten, @late_per_ten have a pause over the target. */
static void
note_streams(guint late_per_ten)
{
    for (guint i = 0; i < STREAMS; i++) {
        gint64 pause_us = i % 10 < late_per_ten ? 320000 : 250000;
        EngineSplit_noteStream(split, pause_us, TARGET_MS);
    }
}

START_TEST(engines_are_not_split_without_late_streams)
{
    begin();
    ck_assert_double_eq(EngineSplit_shortPromptFraction(split), 0);
    note_streams(0);
    ck_assert_double_eq(EngineSplit_shortPromptFraction(split), 0);
    end();
}
END_TEST

START_TEST(short_prompts_get_their_fraction_of_the_work_plus_a_margin)
{
    begin();
    note_streams(3);
    ck_assert_double_gt(EngineSplit_shortPromptFraction(split), 0.15);
    ck_assert_double_lt(EngineSplit_shortPromptFraction(split), 0.35);
    end();
}
END_TEST

START_TEST(engines_stay_split_until_almost_no_stream_is_late)
{
    begin();
    note_streams(3);
    for (guint i = 0; i < STREAMS; i++) {
        EngineSplit_noteStream(split, i % 20 == 19 ? 320000 : 0, TARGET_MS);
    }
    ck_assert_double_gt(EngineSplit_shortPromptFraction(split), 0);
    note_streams(0);
    note_streams(0);
    ck_assert_double_eq(EngineSplit_shortPromptFraction(split), 0);
    end();
}
END_TEST

START_TEST(streams_of_routes_without_a_target_are_ignored)
{
    begin();
    for (guint i = 0; i < STREAMS; i++) {
        EngineSplit_noteStream(split, 900000, 0);
    }
    ck_assert_double_eq(EngineSplit_shortPromptFraction(split), 0);
    end();
}
END_TEST

TESTING_MAIN("EngineSplit", engines_are_not_split_without_late_streams,
             short_prompts_get_their_fraction_of_the_work_plus_a_margin,
             engines_stay_split_until_almost_no_stream_is_late,
             streams_of_routes_without_a_target_are_ignored)
