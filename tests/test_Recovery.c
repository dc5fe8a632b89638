#include "testing.h"

#include "Recovery.h"

static RecoveryInput_t
make_input(AttemptEnd_t end)
{
    return (RecoveryInput_t){.end = end,
                             .attempts = 1,
                             .max_attempts = 4,
                             .budget = TRUE,
                             .time_left = TRUE};
}

START_TEST(complete_answer_needs_no_action)
{
    RecoveryInput_t input = make_input(ATTEMPT_COMPLETE);
    ck_assert_int_eq(Recovery_decide(&input).action, RECOVERY_DONE);
}
END_TEST

START_TEST(unsent_request_is_retried_even_if_not_repeatable)
{
    RecoveryInput_t input = make_input(ATTEMPT_NOT_SENT);
    ck_assert_int_eq(Recovery_decide(&input).action, RECOVERY_RETRY);
    input.end = ATTEMPT_NOT_RUN;
    ck_assert_int_eq(Recovery_decide(&input).action, RECOVERY_RETRY);
}
END_TEST

START_TEST(sent_request_that_is_not_repeatable_is_refused_as_maybe_run)
{
    static const AttemptEnd_t ends[] = {ATTEMPT_FAILED,   ATTEMPT_CUT,
                                        ATTEMPT_STALE,    ATTEMPT_SILENT,
                                        ATTEMPT_MISMATCH, ATTEMPT_BAD_ANSWER};
    for (gsize i = 0; i < G_N_ELEMENTS(ends); i++) {
        RecoveryInput_t input = make_input(ends[i]);
        input.sent = TRUE;
        RecoveryDecision_t decision = Recovery_decide(&input);
        ck_assert_int_eq(decision.action, RECOVERY_GIVE_UP);
        ck_assert_int_eq(decision.run, RUN_MAYBE);
    }
}
END_TEST

START_TEST(request_that_met_the_end_of_a_connection_is_sent_again)
{
    RecoveryInput_t input = make_input(ATTEMPT_STALE);
    input.sent = TRUE;
    input.repeatable = TRUE;
    ck_assert_int_eq(Recovery_decide(&input).action, RECOVERY_RETRY);
    input.budget = FALSE;
    ck_assert_int_eq(Recovery_decide(&input).action, RECOVERY_GIVE_UP);
}
END_TEST

START_TEST(answer_of_unknown_end_is_repeated_like_one_that_was_cut)
{
    RecoveryInput_t input = make_input(ATTEMPT_CLOSED);
    input.sent = TRUE;
    input.tokens = 3;
    RecoveryDecision_t decision = Recovery_decide(&input);
    ck_assert_int_eq(decision.action, RECOVERY_GIVE_UP);
    ck_assert_int_eq(decision.refusal, REFUSAL_STREAM_CUT);
    input.repeatable = TRUE;
    ck_assert_int_eq(Recovery_decide(&input).action, RECOVERY_RETRY);
    input.budget = FALSE;
    ck_assert_int_eq(Recovery_decide(&input).action, RECOVERY_GIVE_UP);
}
END_TEST

START_TEST(not_run_after_an_earlier_send_is_retried_only_if_repeatable)
{
    RecoveryInput_t input = make_input(ATTEMPT_NOT_RUN);
    input.sent = TRUE;
    ck_assert_int_eq(Recovery_decide(&input).action, RECOVERY_GIVE_UP);
    input.repeatable = TRUE;
    ck_assert_int_eq(Recovery_decide(&input).action, RECOVERY_RETRY);
}
END_TEST

START_TEST(known_stream_is_resumed_even_if_not_repeatable)
{
    RecoveryInput_t input = make_input(ATTEMPT_CUT);
    input.sent = TRUE;
    input.stream_known = TRUE;
    input.tokens = 3;
    ck_assert_int_eq(Recovery_decide(&input).action, RECOVERY_RESUME);
}
END_TEST

START_TEST(resume_without_progress_is_retried_on_another_engine)
{
    RecoveryInput_t input = make_input(ATTEMPT_CUT);
    input.sent = TRUE;
    input.stream_known = TRUE;
    input.tokens = 3;
    input.was_resume = TRUE;
    input.resumes = 1;
    input.repeatable = TRUE;
    ck_assert_int_eq(Recovery_decide(&input).action, RECOVERY_RETRY);
    input.progressed = TRUE;
    ck_assert_int_eq(Recovery_decide(&input).action, RECOVERY_RESUME);
    input.progressed = FALSE;
    input.repeatable = FALSE;
    ck_assert_int_eq(Recovery_decide(&input).action, RECOVERY_RESUME);
}
END_TEST

/* Streams that were cut at the same moment ended early, as the retry budget
 * was used up. */
START_TEST(a_resume_needs_no_retry_budget)
{
    RecoveryInput_t input = make_input(ATTEMPT_CUT);
    input.sent = TRUE;
    input.tokens = 3;
    input.stream_known = TRUE;
    input.budget = FALSE;
    ck_assert_int_eq(Recovery_decide(&input).action, RECOVERY_RESUME);
    input.stream_known = FALSE;
    input.repeatable = TRUE;
    ck_assert_int_eq(Recovery_decide(&input).action, RECOVERY_GIVE_UP);
}
END_TEST

START_TEST(resumes_are_limited)
{
    RecoveryInput_t input = make_input(ATTEMPT_CUT);
    input.sent = TRUE;
    input.stream_known = TRUE;
    input.tokens = 3;
    input.resumes = 3;
    RecoveryDecision_t decision = Recovery_decide(&input);
    ck_assert_int_eq(decision.action, RECOVERY_GIVE_UP);
    ck_assert_int_eq(decision.refusal, REFUSAL_STREAM_CUT);
    ck_assert_int_eq(decision.run, RUN_DONE);
}
END_TEST

START_TEST(rejected_request_is_refused_but_a_rejected_resume_is_retried)
{
    RecoveryInput_t input = make_input(ATTEMPT_REJECTED);
    input.repeatable = TRUE;
    RecoveryDecision_t decision = Recovery_decide(&input);
    ck_assert_int_eq(decision.action, RECOVERY_GIVE_UP);
    ck_assert_int_eq(decision.refusal, REFUSAL_UPSTREAM_REFUSED);
    ck_assert_int_eq(decision.run, RUN_NOT);
    input.was_resume = TRUE;
    ck_assert_int_eq(Recovery_decide(&input).action, RECOVERY_RETRY);
}
END_TEST

START_TEST(budget_attempts_and_deadline_limit_retries)
{
    RecoveryInput_t input = make_input(ATTEMPT_NOT_SENT);
    input.budget = FALSE;
    ck_assert_int_eq(Recovery_decide(&input).action, RECOVERY_GIVE_UP);
    input = make_input(ATTEMPT_NOT_SENT);
    input.attempts = 4;
    ck_assert_int_eq(Recovery_decide(&input).action, RECOVERY_GIVE_UP);
    ck_assert_int_eq(Recovery_decide(&input).refusal, REFUSAL_NO_UPSTREAM);
    input = make_input(ATTEMPT_NOT_SENT);
    input.time_left = FALSE;
    ck_assert_int_eq(Recovery_decide(&input).refusal, REFUSAL_DEADLINE_PASSED);
    ck_assert_int_eq(Recovery_decide(&input).run, RUN_NOT);
}
END_TEST

TESTING_MAIN("Recovery",
             request_that_met_the_end_of_a_connection_is_sent_again,
             complete_answer_needs_no_action,
             unsent_request_is_retried_even_if_not_repeatable,
             sent_request_that_is_not_repeatable_is_refused_as_maybe_run,
             answer_of_unknown_end_is_repeated_like_one_that_was_cut,
             not_run_after_an_earlier_send_is_retried_only_if_repeatable,
             known_stream_is_resumed_even_if_not_repeatable,
             resume_without_progress_is_retried_on_another_engine,
             a_resume_needs_no_retry_budget, resumes_are_limited,
             rejected_request_is_refused_but_a_rejected_resume_is_retried,
             budget_attempts_and_deadline_limit_retries)
