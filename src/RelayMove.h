#ifndef HEADER_RelayMove
#define HEADER_RelayMove
/**
 * DOC: RelayMove
 *
 * Takes a relayed stream to another engine: from one that is to load weights
 * (StreamMover.h), where its next event is expected soon enough, and from one
 * that is silent. The request is sent to the other engine beside the attempt
 * under way, which is given up only once the first event of the other one is
 * there. A stream whose next engine refuses it or says nothing stays where it
 * is, and so does one whose silent engine speaks again. Only streams whose
 * events have numbers are moved: two engines may send the same event, and
 * nothing else tells that it has passed.
 */
#include "RelayExchangeState.h"

/** RelayMove_allow() - the stream may be moved from now on, unless its route
 * or the attempts that it has left are against it */
void RelayMove_allow(RelayExchange_t *this);

/**
 * RelayMove_goBeside() - the engine of the stream is silent: try another one
 * beside it, unless that is under way or was refused a moment ago
 *
 * Return: FALSE where the caller has nothing of the answer yet, or its events
 * have no numbers
 */
gboolean RelayMove_goBeside(RelayExchange_t *this);

/** RelayMove_noteHeard() - the stream's engine has spoken */
void RelayMove_noteHeard(RelayExchange_t *this);

/** RelayMove_forbid() - the stream stays where it is, and a move under way is
 * taken back; may be called again */
void RelayMove_forbid(RelayExchange_t *this);

/**
 * RelayMove_complete() - the attempt under way is over and was not whole: go
 * on with the one that was sent beside it
 *
 * Return: FALSE where there is none
 */
gboolean RelayMove_complete(RelayExchange_t *this);

#endif
