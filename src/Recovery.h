#ifndef HEADER_Recovery
#define HEADER_Recovery
/**
 * DOC: Recovery
 *
 * Decides what to do after an attempt ended. The decision depends on its input
 * alone and has no side effects. No other module decides whether a request may
 * be sent again.
 */
#include <glib.h>

#include "Refusal.h"

/**
 * enum AttemptEnd_t - how an attempt ended
 * @ATTEMPT_COMPLETE: the answer came with its end mark
 * @ATTEMPT_NOT_SENT: nothing was written to the upstream
 * @ATTEMPT_NOT_RUN: the upstream answered that it did not run the request
 * @ATTEMPT_REJECTED: the upstream answered that the request is invalid
 * @ATTEMPT_FAILED: the upstream failed; it may have run the request
 * @ATTEMPT_CUT: the connection ended before the end mark
 * @ATTEMPT_STALE: as ATTEMPT_CUT, but before any byte of an answer, on a
 *     connection that was used before; the upstream may have closed it before
 *     it got the request
 * @ATTEMPT_CLOSED: the connection ended, and nothing else marks the end of the
 *     answer, which may be complete or not
 * @ATTEMPT_SILENT: no data came from the upstream within the timeout
 * @ATTEMPT_MISMATCH: the answer belongs to another attempt
 * @ATTEMPT_BAD_ANSWER: the answer violates the protocol
 * @ATTEMPT_OVERSIZED: an event of the stream exceeds the configured size
 * @ATTEMPT_TAKEN_BACK: this router removed the request from the queue of an
 *     upstream whose weights are overdue
 * @ATTEMPT_WITHDRAWN: nothing was written to the upstream because it had
 *     stopped accepting new work
 * @ATTEMPT_MOVED: this router ended the attempt to continue the request on
 *     another upstream
 * @ATTEMPT_OTHER_START: a stream was to go on, and the upstream was not proved
 *     to be the start that the list states the version of
 */
typedef enum {
    ATTEMPT_COMPLETE,
    ATTEMPT_NOT_SENT,
    ATTEMPT_NOT_RUN,
    ATTEMPT_REJECTED,
    ATTEMPT_FAILED,
    ATTEMPT_CUT,
    ATTEMPT_STALE,
    ATTEMPT_CLOSED,
    ATTEMPT_SILENT,
    ATTEMPT_MISMATCH,
    ATTEMPT_BAD_ANSWER,
    ATTEMPT_OVERSIZED,
    ATTEMPT_TAKEN_BACK,
    ATTEMPT_WITHDRAWN,
    ATTEMPT_MOVED,
    ATTEMPT_OTHER_START,
} AttemptEnd_t;

/**
 * struct RecoveryInput_t - input of the decision
 * @end: how the attempt ended
 * @was_resume: the attempt requested the remainder of a known stream
 * @progressed: the attempt delivered at least one token
 * @stream_known: an engine has the stream and can send its remainder
 * @resumes: number of resumes of this stream so far
 * @tokens: number of tokens that the caller has received
 * @sent: an attempt was sent and the upstream has not reported it as not run
 * @repeatable: it does no harm to run the request again
 * @attempts: number of attempts so far
 * @max_attempts: limit of @attempts
 * @resume_only: the caller requested the remainder of a stream that another
 *     request began
 * @budget: the retry budget allows another attempt; a resume needs none
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
    gboolean resume_only;
    gboolean budget;
    gboolean time_left;
} RecoveryInput_t;

/**
 * enum RecoveryAction_t - what to do next
 * @RECOVERY_DONE: nothing, as the answer is complete
 * @RECOVERY_RESUME: request the remainder of the stream from the same engine
 * @RECOVERY_RETRY: place the request again, with the text that the caller has
 *     already received as its prefix
 * @RECOVERY_GIVE_UP: refuse the request
 */
typedef enum {
    RECOVERY_DONE,
    RECOVERY_RESUME,
    RECOVERY_RETRY,
    RECOVERY_GIVE_UP,
} RecoveryAction_t;

/**
 * struct RecoveryDecision_t - the decision
 * @action: what to do next
 * @refusal: reason of the refusal, for RECOVERY_GIVE_UP
 * @run: whether the request has run, for RECOVERY_GIVE_UP
 */
typedef struct {
    RecoveryAction_t action;
    Refusal_t refusal;
    RunState_t run;
} RecoveryDecision_t;

/** Recovery_decide() - decide what to do after an attempt ended */
RecoveryDecision_t Recovery_decide(const RecoveryInput_t *input);

/** Recovery_actionName() - stable name of an action, for logs */
const char *Recovery_actionName(RecoveryAction_t action);

/** Recovery_isUnsent() - whether an attempt that ended so wrote nothing to the
 * upstream */
gboolean Recovery_isUnsent(AttemptEnd_t end);

/** Recovery_endName() - stable name of an attempt's end, for counters and
 * traces */
const char *Recovery_endName(AttemptEnd_t end);

#endif
