#include "testing.h"

#include "EngineBacklog.h"

#define PROMPT_US G_GINT64_CONSTANT(400000)

static EngineBacklog_t backlog;

static void
begin(void)
{
    backlog = (EngineBacklog_t){0};
}

START_TEST(prompts_are_waited_for_one_after_the_other)
{
    begin();
    EngineBacklog_add(&backlog, PROMPT_US, 1000);
    EngineBacklog_add(&backlog, PROMPT_US, 1000);
    ck_assert_int_eq(EngineBacklog_waitUs(&backlog, 1000), 2 * PROMPT_US);
}
END_TEST

START_TEST(prompt_counts_for_what_is_left_of_it)
{
    begin();
    EngineBacklog_add(&backlog, PROMPT_US, 0);
    ck_assert_int_eq(EngineBacklog_waitUs(&backlog, 300000), 100000);
    EngineBacklog_add(&backlog, PROMPT_US, 300000);
    ck_assert_int_eq(EngineBacklog_waitUs(&backlog, 300000), 500000);
}
END_TEST

START_TEST(engine_is_free_when_all_prompts_are_reported)
{
    begin();
    EngineBacklog_add(&backlog, PROMPT_US, 0);
    EngineBacklog_add(&backlog, PROMPT_US, 0);
    EngineBacklog_remove(&backlog, 100000);
    ck_assert_int_gt(EngineBacklog_waitUs(&backlog, 100000), 0);
    EngineBacklog_remove(&backlog, 200000);
    ck_assert_int_eq(EngineBacklog_waitUs(&backlog, 200000), 0);
    EngineBacklog_add(&backlog, PROMPT_US, 200000);
    ck_assert_int_eq(EngineBacklog_waitUs(&backlog, 200000), PROMPT_US);
}
END_TEST

START_TEST(lost_reports_do_not_keep_an_engine_busy)
{
    begin();
    EngineBacklog_add(&backlog, PROMPT_US, 0);
    EngineBacklog_add(&backlog, PROMPT_US, 0);
    ck_assert_int_eq(EngineBacklog_waitUs(&backlog, 2 * PROMPT_US), 0);
    EngineBacklog_add(&backlog, PROMPT_US, 60000000);
    ck_assert_int_eq(EngineBacklog_waitUs(&backlog, 60000000), PROMPT_US);
}
END_TEST

START_TEST(report_too_many_changes_nothing)
{
    begin();
    EngineBacklog_remove(&backlog, 1000);
    ck_assert_uint_eq(backlog.open, 0);
    EngineBacklog_add(&backlog, PROMPT_US, 1000);
    ck_assert_int_eq(EngineBacklog_waitUs(&backlog, 1000), PROMPT_US);
}
END_TEST

START_TEST(prompt_of_absurd_length_counts_for_seconds)
{
    begin();
    EngineBacklog_add(&backlog, G_MAXINT64 / 2, 0);
    EngineBacklog_add(&backlog, PROMPT_US, 0);
    EngineBacklog_remove(&backlog, 0);
    ck_assert_int_eq(EngineBacklog_waitUs(&backlog, 6000000), 0);
}
END_TEST

START_TEST(prompts_lost_by_an_engine_are_not_waited_for)
{
    begin();
    EngineBacklog_add(&backlog, PROMPT_US, 0);
    EngineBacklog_lose(&backlog);
    ck_assert_int_eq(EngineBacklog_waitUs(&backlog, 1), 0);
    EngineBacklog_add(&backlog, PROMPT_US, 1);
    EngineBacklog_remove(&backlog, 1);
    ck_assert_int_eq(EngineBacklog_waitUs(&backlog, 1), PROMPT_US);
    EngineBacklog_remove(&backlog, 1);
    ck_assert_int_eq(EngineBacklog_waitUs(&backlog, 1), 0);
}
END_TEST

TESTING_MAIN("EngineBacklog", prompts_are_waited_for_one_after_the_other,
             prompt_counts_for_what_is_left_of_it,
             engine_is_free_when_all_prompts_are_reported,
             lost_reports_do_not_keep_an_engine_busy,
             report_too_many_changes_nothing,
             prompt_of_absurd_length_counts_for_seconds,
             prompts_lost_by_an_engine_are_not_waited_for)
