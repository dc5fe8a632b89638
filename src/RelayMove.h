#ifndef HEADER_RelayMove
#define HEADER_RelayMove
/**
 * DOC: RelayMove
 *
 * Takes a relayed stream from an engine that is to load weights to another
 * one (StreamMover.h), where its next event is expected soon enough.
 */
#include "RelayExchangeState.h"

/** RelayMove_allow() - the stream may be moved from now on, unless its route
 * or the attempts that it has left are against it */
void RelayMove_allow(RelayExchange_t *this);

/** RelayMove_forbid() - the stream stays where it is; may be called again */
void RelayMove_forbid(RelayExchange_t *this);

#endif
