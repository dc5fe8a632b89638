#ifndef HEADER_RelayDispatch
#define HEADER_RelayDispatch
/**
 * DOC: RelayDispatch
 *
 * Starts the next attempt of a relayed request: checks that the request is
 * still allowed, queries the dispatcher of its engines if there is one
 * (Dispatch.h), sheds a request that no engine can begin in time (LoadShed.h)
 * and starts the attempt (RelayRun.h).
 */
#include "RelayExchangeState.h"

/**
 * RelayDispatch_mayRetry() - whether another attempt may follow the one under
 * way
 * @refusal: set to the reason if none may
 *
 * Call it before giving up an attempt that may still succeed: a request that
 * has no other upstream keeps its attempt.
 */
gboolean RelayDispatch_mayRetry(const RelayExchange_t *this,
                                Refusal_t *refusal);

/**
 * RelayDispatch_isAllowed() - whether a further attempt is allowed
 * @refusal: set to the reason if not
 *
 * Return: FALSE if the caller left, the request is quarantined, its key was
 * revoked since it was admitted, or the configuration is too old to decide
 * this
 */
gboolean RelayDispatch_isAllowed(const RelayExchange_t *this,
                                 Refusal_t *refusal);

/** RelayDispatch_place() - start the next attempt or refuse the request,
 * either immediately or once the dispatcher has replied */
void RelayDispatch_place(RelayExchange_t *this);

#endif
