#include "Recovery.h"

/* Resumes of one stream. An engine that interrupts it more often is given up.
 */
#define RESUMES_MAX 3

const char *
Recovery_endName(AttemptEnd_t end)
{
    static const char *const names[] = {
        [ATTEMPT_COMPLETE] = "whole",
        [ATTEMPT_NOT_SENT] = "not_sent",
        [ATTEMPT_NOT_RUN] = "not_run",
        [ATTEMPT_REJECTED] = "rejected",
        [ATTEMPT_FAILED] = "failed",
        [ATTEMPT_CUT] = "cut",
        [ATTEMPT_STALE] = "stale",
        [ATTEMPT_SILENT] = "silent",
        [ATTEMPT_MISMATCH] = "mismatch",
        [ATTEMPT_BAD_ANSWER] = "bad_answer",
        [ATTEMPT_OVERSIZED] = "oversized",
        [ATTEMPT_TAKEN_BACK] = "taken_back",
        [ATTEMPT_WITHDRAWN] = "withdrawn",
        [ATTEMPT_MOVED] = "moved",
        [ATTEMPT_CLOSED] = "closed",
        [ATTEMPT_OTHER_START] = "other_start",
    };
    return names[end];
}

const char *
Recovery_actionName(RecoveryAction_t action)
{
    static const char *const names[] = {
        [RECOVERY_DONE] = "done",
        [RECOVERY_RESUME] = "resume",
        [RECOVERY_RETRY] = "elsewhere",
        [RECOVERY_GIVE_UP] = "give_up",
    };
    return names[action];
}

gboolean
Recovery_isUnsent(AttemptEnd_t end)
{
    return end == ATTEMPT_NOT_SENT || end == ATTEMPT_WITHDRAWN;
}

static RunState_t
run_state(const RecoveryInput_t *input)
{
    if (input->tokens > 0) {
        return RUN_DONE;
    }
    return input->sent ? RUN_MAYBE : RUN_NOT;
}

static RecoveryDecision_t
give_up(const RecoveryInput_t *input)
{
    static const Refusal_t reasons[] = {
        [ATTEMPT_COMPLETE] = REFUSAL_UPSTREAM_FAILED,
        [ATTEMPT_NOT_SENT] = REFUSAL_NO_UPSTREAM,
        [ATTEMPT_NOT_RUN] = REFUSAL_UPSTREAM_REFUSED,
        [ATTEMPT_REJECTED] = REFUSAL_UPSTREAM_REFUSED,
        [ATTEMPT_FAILED] = REFUSAL_UPSTREAM_FAILED,
        [ATTEMPT_CUT] = REFUSAL_UPSTREAM_FAILED,
        [ATTEMPT_STALE] = REFUSAL_UPSTREAM_FAILED,
        [ATTEMPT_CLOSED] = REFUSAL_UPSTREAM_FAILED,
        [ATTEMPT_SILENT] = REFUSAL_UPSTREAM_FAILED,
        [ATTEMPT_MISMATCH] = REFUSAL_ANSWER_MISMATCH,
        [ATTEMPT_BAD_ANSWER] = REFUSAL_UPSTREAM_FAILED,
        [ATTEMPT_OVERSIZED] = REFUSAL_UPSTREAM_FAILED,
        [ATTEMPT_TAKEN_BACK] = REFUSAL_NO_UPSTREAM,
        [ATTEMPT_WITHDRAWN] = REFUSAL_NO_UPSTREAM,
        [ATTEMPT_MOVED] = REFUSAL_UPSTREAM_FAILED,
        [ATTEMPT_OTHER_START] = REFUSAL_UPSTREAM_FAILED,
    };
    RecoveryDecision_t decision = {RECOVERY_GIVE_UP, reasons[input->end],
                                   run_state(input)};
    if (!input->time_left) {
        decision.refusal = REFUSAL_DEADLINE_PASSED;
    }
    else if (input->resume_only) {
        decision.refusal = REFUSAL_RESUME_GONE;
    }
    else if (input->tokens > 0) {
        decision.refusal = REFUSAL_STREAM_CUT;
    }
    return decision;
}

/* A resume is allowed for requests that are not repeatable, as the engine does
 * not run the request again. After a resume that delivered no token, a
 * repeatable request is retried on another engine instead. */
static gboolean
may_resume(const RecoveryInput_t *input)
{
    if (input->was_resume && !input->progressed && input->repeatable) {
        return FALSE;
    }
    gboolean interrupted = input->end == ATTEMPT_CUT ||
                           input->end == ATTEMPT_STALE ||
                           input->end == ATTEMPT_SILENT;
    return interrupted && input->stream_known && input->resumes < RESUMES_MAX;
}

static gboolean
may_retry(const RecoveryInput_t *input)
{
    if (input->end == ATTEMPT_REJECTED && !input->was_resume) {
        return FALSE;
    }
    return input->repeatable || !input->sent;
}

RecoveryDecision_t
Recovery_decide(const RecoveryInput_t *input)
{
    if (input->end == ATTEMPT_COMPLETE) {
        return (RecoveryDecision_t){.action = RECOVERY_DONE};
    }
    if (!input->time_left || input->attempts >= input->max_attempts) {
        return give_up(input);
    }
    if (may_resume(input)) {
        return (RecoveryDecision_t){.action = RECOVERY_RESUME};
    }
    if (input->budget && may_retry(input)) {
        return (RecoveryDecision_t){.action = RECOVERY_RETRY};
    }
    return give_up(input);
}
