#include "Recovery.h"

/* An engine that lets go of a stream again and again is given up. */
#define MAX_RESUMES 3

const char *
Recovery_endName(AttemptEnd_t end)
{
    static const char *const names[] = {
        [ATTEMPT_WHOLE] = "whole",           [ATTEMPT_NOT_SENT] = "not_sent",
        [ATTEMPT_NOT_RUN] = "not_run",       [ATTEMPT_REJECTED] = "rejected",
        [ATTEMPT_FAILED] = "failed",         [ATTEMPT_CUT] = "cut",
        [ATTEMPT_SILENT] = "silent",         [ATTEMPT_MISMATCH] = "mismatch",
        [ATTEMPT_BAD_ANSWER] = "bad_answer", [ATTEMPT_OVERSIZED] = "oversized",
        [ATTEMPT_TAKEN_BACK] = "taken_back", [ATTEMPT_WITHDRAWN] = "withdrawn",
        [ATTEMPT_MOVED] = "moved",
    };
    return names[end];
}

const char *
Recovery_stepName(RecoveryStep_t step)
{
    static const char *const names[] = {
        [RECOVERY_DONE] = "done",
        [RECOVERY_RESUME] = "resume",
        [RECOVERY_ELSEWHERE] = "elsewhere",
        [RECOVERY_GIVE_UP] = "give_up",
    };
    return names[step];
}

gboolean
Recovery_isUnsent(AttemptEnd_t end)
{
    return end == ATTEMPT_NOT_SENT || end == ATTEMPT_WITHDRAWN;
}

static RunState_t
run_state(const RecoveryFacts_t *facts)
{
    if (facts->tokens > 0) {
        return RUN_DONE;
    }
    return facts->sent ? RUN_MAYBE : RUN_NOT;
}

static RecoveryPlan_t
give_up(const RecoveryFacts_t *facts)
{
    static const Refusal_t reasons[] = {
        [ATTEMPT_WHOLE] = REFUSAL_UPSTREAM_FAILED,
        [ATTEMPT_NOT_SENT] = REFUSAL_NO_UPSTREAM,
        [ATTEMPT_NOT_RUN] = REFUSAL_UPSTREAM_REFUSED,
        [ATTEMPT_REJECTED] = REFUSAL_UPSTREAM_REFUSED,
        [ATTEMPT_FAILED] = REFUSAL_UPSTREAM_FAILED,
        [ATTEMPT_CUT] = REFUSAL_UPSTREAM_FAILED,
        [ATTEMPT_SILENT] = REFUSAL_UPSTREAM_FAILED,
        [ATTEMPT_MISMATCH] = REFUSAL_ANSWER_MISMATCH,
        [ATTEMPT_BAD_ANSWER] = REFUSAL_UPSTREAM_FAILED,
        [ATTEMPT_OVERSIZED] = REFUSAL_UPSTREAM_FAILED,
        [ATTEMPT_TAKEN_BACK] = REFUSAL_NO_UPSTREAM,
        [ATTEMPT_WITHDRAWN] = REFUSAL_NO_UPSTREAM,
        [ATTEMPT_MOVED] = REFUSAL_UPSTREAM_FAILED,
    };
    RecoveryPlan_t plan = {RECOVERY_GIVE_UP, reasons[facts->end],
                           run_state(facts)};
    if (!facts->time_left) {
        plan.refusal = REFUSAL_DEADLINE_PASSED;
    }
    else if (facts->rest_only) {
        plan.refusal = REFUSAL_RESUME_GONE;
    }
    else if (facts->tokens > 0) {
        plan.refusal = REFUSAL_STREAM_CUT;
    }
    return plan;
}

/* A resume is no repeat: the engine runs nothing for it again. One that
 * brought nothing is not tried again where another engine may go on. */
static gboolean
may_resume(const RecoveryFacts_t *facts)
{
    if (facts->was_resume && !facts->progressed && facts->repeatable) {
        return FALSE;
    }
    gboolean let_go =
        facts->end == ATTEMPT_CUT || facts->end == ATTEMPT_SILENT;
    return let_go && facts->stream_known && facts->resumes < MAX_RESUMES;
}

static gboolean
may_go_elsewhere(const RecoveryFacts_t *facts)
{
    if (facts->end == ATTEMPT_REJECTED && !facts->was_resume) {
        return FALSE;
    }
    return facts->repeatable || !facts->sent;
}

RecoveryPlan_t
Recovery_decide(const RecoveryFacts_t *facts)
{
    if (facts->end == ATTEMPT_WHOLE) {
        return (RecoveryPlan_t){.step = RECOVERY_DONE};
    }
    if (!facts->time_left || facts->attempts >= facts->max_attempts ||
        !facts->budget) {
        return give_up(facts);
    }
    if (may_resume(facts)) {
        return (RecoveryPlan_t){.step = RECOVERY_RESUME};
    }
    if (may_go_elsewhere(facts)) {
        return (RecoveryPlan_t){.step = RECOVERY_ELSEWHERE};
    }
    return give_up(facts);
}
