#ifndef HEADER_Refusal
#define HEADER_Refusal
/**
 * DOC: Refusal
 *
 * Every reason for which a caller's request is refused, with its status, its
 * code and the default statement about whether the request ran. Each reason
 * has a counter.
 */
#include <glib.h>

/**
 * enum RunState_t - whether a refused request ran
 * @RUN_NOT: it is certain that no upstream ran the request
 * @RUN_MAYBE: the request was sent and its outcome is unknown
 * @RUN_DONE: an upstream ran the request, completely or in part
 */
typedef enum { RUN_NOT, RUN_MAYBE, RUN_DONE } RunState_t;

/**
 * enum Refusal_t - why a request was refused
 *
 * The table in Refusal.c defines the code, status and message of each reason.
 */
typedef enum {
    REFUSAL_BAD_JSON,
    REFUSAL_BAD_FIELD,
    REFUSAL_BAD_HEADER,
    REFUSAL_UNAUTHENTICATED,
    REFUSAL_UNKNOWN_PATH,
    REFUSAL_BAD_METHOD,
    REFUSAL_UNKNOWN_MODEL,
    REFUSAL_UNKNOWN_SERVICE,
    REFUSAL_KEY_REQUIRED,
    REFUSAL_BAD_KEY,
    REFUSAL_ALREADY_RAN,
    REFUSAL_IN_DOUBT,
    REFUSAL_CLAIM_UNDECIDED,
    REFUSAL_RATE_LIMITED,
    REFUSAL_CONCURRENCY_LIMITED,
    REFUSAL_NO_UPSTREAM,
    REFUSAL_OVERLOADED,
    REFUSAL_DEADLINE_PASSED,
    REFUSAL_STOPPING,
    REFUSAL_NOT_CONFIGURED,
    REFUSAL_CONFIG_STALE,
    REFUSAL_KEY_REVOKED,
    REFUSAL_UPSTREAM_REFUSED,
    REFUSAL_UPSTREAM_FAILED,
    REFUSAL_ANSWER_MISMATCH,
    REFUSAL_STREAM_CUT,
    REFUSAL_BAD_RESUME_TOKEN,
    REFUSAL_RESUME_GONE,
    REFUSAL_CALLER_LEFT,
    REFUSAL_HEADER_TWICE,
    REFUSAL_CONTROL_CHARACTER,
    REFUSAL_TOO_MANY_FIELDS,
    REFUSAL_HEAD_TOO_LONG,
    REFUSAL_BODY_TOO_LONG,
    REFUSAL_BAD_EXPECTATION,
    REFUSAL_UNKNOWN_METHOD,
    REFUSAL_TOO_SLOW,
    REFUSAL_NO_MEMORY,
    REFUSAL_CRASHES_UPSTREAMS,
    REFUSAL_UPSTREAMS_LIMITED,
    REFUSAL_UPSTREAMS_LEAVING,
    REFUSAL_UPSTREAMS_RESTING,
    REFUSAL_NO_PATH,
    REFUSAL_RESUME_UNKNOWN,
    REFUSAL_SOFTWARE_GONE,
    REFUSAL_PART_CRASHES_UPSTREAMS,
    REFUSAL_ANSWERS_UNREAD,
    REFUSAL_MEMORY_FULL,
    REFUSAL_ANSWER_NOT_READ,
    REFUSAL_COUNT,
} Refusal_t;

/**
 * struct RefusalSpec_t - what a caller sees of one reason
 * @code: stable name, also the name of the counter
 * @type: error type as in other APIs for language models
 * @message: one sentence in English
 * @status: HTTP status
 * @retry_after_ms: time after which a retry may succeed; 0 for never
 * @run: whether the request ran, if the refusing code does not know more
 */
typedef struct {
    const char *code;
    const char *type;
    const char *message;
    int status;
    guint retry_after_ms;
    RunState_t run;
} RefusalSpec_t;

/**
 * struct RefusalNotice_t - one refusal of a request
 * @refusal: the reason
 * @run: whether the request ran
 * @detail: text appended to the message, or NULL
 * @retry_after_ms: time after which a retry may succeed; 0 for the default of
 *     the reason
 */
typedef struct {
    Refusal_t refusal;
    RunState_t run;
    const char *detail;
    guint retry_after_ms;
} RefusalNotice_t;

/** Refusal_retryAfterMs() - time after which the caller may retry, 0 for
 * never */
guint Refusal_retryAfterMs(const RefusalNotice_t *notice);

/**
 * Refusal_spec() - look up the specification of a reason
 * @refusal: reason, less than REFUSAL_COUNT
 */
const RefusalSpec_t *Refusal_spec(Refusal_t refusal);

/** Refusal_runName() - name of a run state in the body of a refusal */
const char *Refusal_runName(RunState_t run);

/**
 * Refusal_body() - format the JSON body of a refusal
 * @refusal: the reason
 * @run: whether the request ran
 * @detail: text appended to the message, or NULL
 *
 * Return: a new string, freed by the caller
 */
GString *Refusal_body(Refusal_t refusal, RunState_t run, const char *detail);

#endif
