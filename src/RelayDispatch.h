#ifndef HEADER_RelayDispatch
#define HEADER_RelayDispatch
/**
 * DOC: RelayDispatch
 *
 * Where the next attempt of a relayed request goes: checks that it may still
 * go on, asks the dispatcher of its engines where there is one (Dispatch.h),
 * refuses what no engine can begin in time (LoadShed.h) and starts the
 * attempt (RelayRun.h).
 */
#include "RelayExchangeState.h"

/**
 * RelayDispatch_mayFollow() - whether another attempt may follow the one that
 * is under way
 * @refusal: set to the reason where none may
 *
 * To be asked before an attempt that may still succeed is given up: what
 * cannot go on elsewhere is better left where it is.
 */
gboolean RelayDispatch_mayFollow(const RelayExchange_t *this,
                                 Refusal_t *refusal);

/** RelayDispatch_isAllowed() - the caller is there and its key still in force;
 * it may have been revoked since the request came
 * @refusal: set to the reason where not */
gboolean RelayDispatch_isAllowed(const RelayExchange_t *this,
                                 Refusal_t *refusal);

/** RelayDispatch_place() - start the next attempt or refuse; at once, or when
 * the dispatcher has answered */
void RelayDispatch_place(RelayExchange_t *this);

#endif
