#ifndef HEADER_RelayLateForward
#define HEADER_RelayLateForward
/**
 * DOC: RelayLateForward
 *
 * Forwards a request that this router took before it knew that it has no path
 * to upstreams, or none to those of the request's service (RelayForward.h), if
 * it is certain that it has not run and nothing shows that there is a path.
 */
#include "RelayExchangeState.h"

/**
 * struct LateForwardInput_t - what the decision depends on
 * @run: whether the request has run
 * @is_from_router: another router has forwarded it to this one
 * @is_unsent: nothing was sent to the upstream of its last attempt
 * @is_answered: the upstream of its last attempt answered that it did not run
 * @is_path_lost: this router reaches no upstream
 * @is_path_in_doubt: no upstream has answered since one failed
 * @has_path_worked: another upstream has answered during the last attempt
 * @is_service_unreached: this router itself has not reached an upstream of the
 *     request's service
 * @is_unserved: other routers have not either, a moment ago
 * @left_ms: time until the caller's deadline
 */
typedef struct {
    RunState_t run;
    gboolean is_from_router;
    gboolean is_unsent;
    gboolean is_answered;
    gboolean is_path_lost;
    gboolean is_path_in_doubt;
    gboolean has_path_worked;
    gboolean is_service_unreached;
    gboolean is_unserved;
    gint64 left_ms;
} LateForwardInput_t;

/** RelayLateForward_decide() - whether another router is to serve a request
 * for which no upstream is left here; without side effects */
gboolean RelayLateForward_decide(const LateForwardInput_t *input);

/** RelayLateForward_isDue() - whether the request is to be forwarded rather
 * than placed again, as the path is lost */
gboolean RelayLateForward_isDue(const RelayExchange_t *exchange);

/** RelayLateForward_mayReplace() - whether the request is to be forwarded
 * rather than refused for @refusal */
gboolean RelayLateForward_mayReplace(const RelayExchange_t *exchange,
                                     Refusal_t refusal);

/** RelayLateForward_isServiceUnreached() - whether this router itself has not
 * reached an upstream of the request's service */
gboolean RelayLateForward_isServiceUnreached(const RelayExchange_t *exchange);

/** RelayLateForward_start() - forward the request; the forward takes its
 * answer and body, and the exchange must have ended */
void RelayLateForward_start(RelayExchange_t *exchange);

#endif
