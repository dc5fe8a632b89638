#ifndef HEADER_Recovery
#define HEADER_Recovery
/**
 * DOC: Recovery
 *
 * What to do after an attempt ended: a decision from facts alone, without
 * any effect. It is the one place where repeats are allowed.
 */
#include <glib.h>

#include "Refusal.h"

/**
 * enum AttemptEnd_t - how an attempt ended
 * @ATTEMPT_WHOLE: the proper end mark came
 * @ATTEMPT_NOT_SENT: nothing was written to the upstream
 * @ATTEMPT_NOT_RUN: the upstream says that it did not run
 * @ATTEMPT_REJECTED: the upstream says that the request is at fault
 * @ATTEMPT_FAILED: an error of the upstream; it may have run
 * @ATTEMPT_CUT: the connection ended before the end mark
 * @ATTEMPT_SILENT: nothing came for too long
 * @ATTEMPT_MISMATCH: the answer was not to this attempt
 * @ATTEMPT_BAD_ANSWER: the answer does not follow the interface
 * @ATTEMPT_OVERSIZED: an event of the stream is larger than the setting
 * @ATTEMPT_TAKEN_BACK: this router took it from the queue of an upstream whose
 *     weights are overdue
 * @ATTEMPT_WITHDRAWN: nothing was written to the upstream, as it takes no new
 *     work any more
 * @ATTEMPT_MOVED: this router ended it to go on elsewhere
 */
typedef enum {
    ATTEMPT_WHOLE,
    ATTEMPT_NOT_SENT,
    ATTEMPT_NOT_RUN,
    ATTEMPT_REJECTED,
    ATTEMPT_FAILED,
    ATTEMPT_CUT,
    ATTEMPT_SILENT,
    ATTEMPT_MISMATCH,
    ATTEMPT_BAD_ANSWER,
    ATTEMPT_OVERSIZED,
    ATTEMPT_TAKEN_BACK,
    ATTEMPT_WITHDRAWN,
    ATTEMPT_MOVED,
} AttemptEnd_t;

/**
 * struct RecoveryFacts_t - what the decision rests on
 * @end: how the attempt ended
 * @was_resume: the attempt asked for the rest of a known stream
 * @progressed: the attempt brought at least one token
 * @stream_known: an engine has the stream and can be asked for its rest
 * @resumes: resumes of this stream so far
 * @tokens: tokens that the caller has
 * @sent: any attempt so far was sent and not proved "not run"
 * @repeatable: running again does no harm
 * @attempts: so far
 * @max_attempts: most of them
 * @rest_only: the caller asked for the rest of a stream that another request
 *     began
 * @budget: the retry budget has something left
 * @time_left: the deadline has not passed
 */
typedef struct {
    AttemptEnd_t end;
    gboolean was_resume;
    gboolean progressed;
    gboolean stream_known;
    guint resumes;
    guint64 tokens;
    gboolean sent;
    gboolean repeatable;
    guint attempts;
    guint max_attempts;
    gboolean rest_only;
    gboolean budget;
    gboolean time_left;
} RecoveryFacts_t;

/**
 * enum RecoveryStep_t - what to do
 * @RECOVERY_DONE: the answer is whole
 * @RECOVERY_RESUME: ask the same engine for the rest of the same stream
 * @RECOVERY_ELSEWHERE: place it again, with the text sent as its prefix
 * @RECOVERY_GIVE_UP: refuse, for the reason given
 */
typedef enum {
    RECOVERY_DONE,
    RECOVERY_RESUME,
    RECOVERY_ELSEWHERE,
    RECOVERY_GIVE_UP,
} RecoveryStep_t;

/**
 * struct RecoveryPlan_t - the decision
 * @step: what to do
 * @refusal: the reason, where it gives up
 * @run: what is known of the request, where it gives up
 */
typedef struct {
    RecoveryStep_t step;
    Refusal_t refusal;
    RunState_t run;
} RecoveryPlan_t;

/** Recovery_decide() - decide from the facts */
RecoveryPlan_t Recovery_decide(const RecoveryFacts_t *facts);

/** Recovery_stepName() - stable name of a step, for logs */
const char *Recovery_stepName(RecoveryStep_t step);

/** Recovery_isUnsent() - whether nothing was written to the upstream */
gboolean Recovery_isUnsent(AttemptEnd_t end);

/** Recovery_endName() - stable name of an end, for counters and traces */
const char *Recovery_endName(AttemptEnd_t end);

#endif
