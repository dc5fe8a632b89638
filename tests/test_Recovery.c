#include "testing.h"

#include "Recovery.h"

static RecoveryFacts_t
facts(AttemptEnd_t end)
{
    return (RecoveryFacts_t){.end = end,
                             .attempts = 1,
                             .max_attempts = 4,
                             .budget = TRUE,
                             .time_left = TRUE};
}

START_TEST(whole_is_done)
{
    RecoveryFacts_t known = facts(ATTEMPT_WHOLE);
    ck_assert_int_eq(Recovery_decide(&known).step, RECOVERY_DONE);
}
END_TEST

START_TEST(unsent_goes_elsewhere_even_if_not_repeatable)
{
    RecoveryFacts_t known = facts(ATTEMPT_NOT_SENT);
    ck_assert_int_eq(Recovery_decide(&known).step, RECOVERY_ELSEWHERE);
    known.end = ATTEMPT_NOT_RUN;
    ck_assert_int_eq(Recovery_decide(&known).step, RECOVERY_ELSEWHERE);
}
END_TEST

START_TEST(sent_and_not_repeatable_is_given_up_as_maybe_run)
{
    static const AttemptEnd_t ends[] = {ATTEMPT_FAILED, ATTEMPT_CUT,
                                        ATTEMPT_SILENT, ATTEMPT_MISMATCH,
                                        ATTEMPT_BAD_ANSWER};
    for (gsize i = 0; i < G_N_ELEMENTS(ends); i++) {
        RecoveryFacts_t known = facts(ends[i]);
        known.sent = TRUE;
        RecoveryPlan_t plan = Recovery_decide(&known);
        ck_assert_int_eq(plan.step, RECOVERY_GIVE_UP);
        ck_assert_int_eq(plan.run, RUN_MAYBE);
    }
}
END_TEST

START_TEST(sent_before_bars_a_repeat_after_a_refusal)
{
    RecoveryFacts_t known = facts(ATTEMPT_NOT_RUN);
    known.sent = TRUE;
    ck_assert_int_eq(Recovery_decide(&known).step, RECOVERY_GIVE_UP);
    known.repeatable = TRUE;
    ck_assert_int_eq(Recovery_decide(&known).step, RECOVERY_ELSEWHERE);
}
END_TEST

START_TEST(known_stream_is_resumed_even_if_not_repeatable)
{
    RecoveryFacts_t known = facts(ATTEMPT_CUT);
    known.sent = TRUE;
    known.stream_known = TRUE;
    known.tokens = 3;
    ck_assert_int_eq(Recovery_decide(&known).step, RECOVERY_RESUME);
}
END_TEST

START_TEST(resume_without_progress_is_left_for_another_engine)
{
    RecoveryFacts_t known = facts(ATTEMPT_CUT);
    known.sent = TRUE;
    known.stream_known = TRUE;
    known.tokens = 3;
    known.was_resume = TRUE;
    known.resumes = 1;
    known.repeatable = TRUE;
    ck_assert_int_eq(Recovery_decide(&known).step, RECOVERY_ELSEWHERE);
    known.progressed = TRUE;
    ck_assert_int_eq(Recovery_decide(&known).step, RECOVERY_RESUME);
    known.progressed = FALSE;
    known.repeatable = FALSE;
    ck_assert_int_eq(Recovery_decide(&known).step, RECOVERY_RESUME);
}
END_TEST

START_TEST(resumes_are_bounded)
{
    RecoveryFacts_t known = facts(ATTEMPT_CUT);
    known.sent = TRUE;
    known.stream_known = TRUE;
    known.tokens = 3;
    known.resumes = 3;
    RecoveryPlan_t plan = Recovery_decide(&known);
    ck_assert_int_eq(plan.step, RECOVERY_GIVE_UP);
    ck_assert_int_eq(plan.refusal, REFUSAL_STREAM_CUT);
    ck_assert_int_eq(plan.run, RUN_DONE);
}
END_TEST

START_TEST(rejected_is_final_but_a_rejected_resume_is_not)
{
    RecoveryFacts_t known = facts(ATTEMPT_REJECTED);
    known.repeatable = TRUE;
    RecoveryPlan_t plan = Recovery_decide(&known);
    ck_assert_int_eq(plan.step, RECOVERY_GIVE_UP);
    ck_assert_int_eq(plan.refusal, REFUSAL_UPSTREAM_REFUSED);
    ck_assert_int_eq(plan.run, RUN_NOT);
    known.was_resume = TRUE;
    ck_assert_int_eq(Recovery_decide(&known).step, RECOVERY_ELSEWHERE);
}
END_TEST

START_TEST(budget_attempts_and_time_end_it)
{
    RecoveryFacts_t known = facts(ATTEMPT_NOT_SENT);
    known.budget = FALSE;
    ck_assert_int_eq(Recovery_decide(&known).step, RECOVERY_GIVE_UP);
    known = facts(ATTEMPT_NOT_SENT);
    known.attempts = 4;
    ck_assert_int_eq(Recovery_decide(&known).step, RECOVERY_GIVE_UP);
    ck_assert_int_eq(Recovery_decide(&known).refusal, REFUSAL_NO_UPSTREAM);
    known = facts(ATTEMPT_NOT_SENT);
    known.time_left = FALSE;
    ck_assert_int_eq(Recovery_decide(&known).refusal, REFUSAL_DEADLINE_PASSED);
    ck_assert_int_eq(Recovery_decide(&known).run, RUN_NOT);
}
END_TEST

TESTING_MAIN("Recovery", whole_is_done,
             unsent_goes_elsewhere_even_if_not_repeatable,
             sent_and_not_repeatable_is_given_up_as_maybe_run,
             sent_before_bars_a_repeat_after_a_refusal,
             known_stream_is_resumed_even_if_not_repeatable,
             resume_without_progress_is_left_for_another_engine,
             resumes_are_bounded,
             rejected_is_final_but_a_rejected_resume_is_not,
             budget_attempts_and_time_end_it)
