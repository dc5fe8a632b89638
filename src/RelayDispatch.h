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

/** RelayDispatch_isAllowed() - its key is still in force; it may have been
 * revoked since the request came */
gboolean RelayDispatch_isAllowed(const RelayExchange_t *this);

/** RelayDispatch_place() - start the next attempt or refuse; at once, or when
 * the dispatcher has answered */
void RelayDispatch_place(RelayExchange_t *this);

#endif
