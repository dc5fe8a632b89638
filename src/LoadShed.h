#ifndef HEADER_LoadShed
#define HEADER_LoadShed
/**
 * DOC: LoadShed
 *
 * Decides whether a request is admitted or shed. If no engine can begin the
 * answer in time, the request would wait in a queue and delay all requests
 * behind it, so it is refused at once with the time after which the queue
 * should be short enough. A request whose prompt alone takes longer than the
 * objective is admitted. The decision is a pure function of its input, but for
 * a random part of the retry time.
 */
#include <glib.h>

/**
 * struct LoadShedInput_t - input of the decision
 * @expected_us: expected time to the first token at the best engine
 * @own_us: the part of @expected_us that computing the prompt itself takes
 * @spread_us: mean error of such estimates
 * @objective_ms: objective for the time to the first token; 0 if the route has
 *     none
 * @left_ms: time until the caller's deadline
 */
typedef struct {
    gint64 expected_us;
    gint64 own_us;
    gint64 spread_us;
    gint64 objective_ms;
    gint64 left_ms;
} LoadShedInput_t;

/**
 * struct LoadShedDecision_t - the decision
 * @admitted: whether the request is placed
 * @retry_after_ms: when to retry a request that was shed
 */
typedef struct {
    gboolean admitted;
    guint retry_after_ms;
} LoadShedDecision_t;

/**
 * LoadShed_log() - log that a request was shed, with the input
 * @request: id of the request
 * @upstream: name of the best engine
 */
void LoadShed_log(const LoadShedInput_t *input,
                  const LoadShedDecision_t *decision, const char *request,
                  const char *upstream);

/** LoadShed_decide() - decide whether to admit a request */
LoadShedDecision_t LoadShed_decide(const LoadShedInput_t *input);

/**
 * LoadShed_latestUs() - longest expected time to the first token that counts
 * as in time
 * @objective_ms: objective for the time to the first token
 * @spread_us: mean error of such estimates
 *
 * Return: may be negative
 */
gint64 LoadShed_latestUs(gint64 objective_ms, gint64 spread_us);

#endif
