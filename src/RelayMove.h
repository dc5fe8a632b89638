#ifndef HEADER_RelayMove
#define HEADER_RelayMove
/**
 * DOC: RelayMove
 *
 * Moves a relayed stream to another engine, either because its engine is about
 * to load weights (StreamMover.h) and another one is expected to send the next
 * event soon enough, or because its engine is silent. The request is sent to
 * the other engine as a second attempt; the current attempt ends only once the
 * second one has sent its first event. The stream stays at its engine if the
 * other engine refuses the request or is silent, or if a silent engine sends
 * events again. Only streams with numbered events are moved: both engines may
 * send the same event, and the number is the only way to recognize that it was
 * forwarded already.
 */
#include "RelayExchangeState.h"

/** RelayMove_allow() - allow the stream to be moved from now on, if its route
 * and its remaining attempts permit that */
void RelayMove_allow(RelayExchange_t *this);

/**
 * RelayMove_hedge() - the stream's engine is silent: start a hedged attempt at
 * another one, unless a move is under way or the last one failed a short while
 * ago
 *
 * Return: FALSE if the caller has nothing of the answer yet, or the events
 * have no numbers
 */
gboolean RelayMove_hedge(RelayExchange_t *this);

/** RelayMove_noteEvents() - the stream's engine has sent events; cancels a
 * hedged attempt */
void RelayMove_noteEvents(RelayExchange_t *this);

/** RelayMove_forbid() - cancel a move under way and revoke RelayMove_allow();
 * may be called again */
void RelayMove_forbid(RelayExchange_t *this);

/**
 * RelayMove_failOver() - the attempt under way ended without a complete
 * answer: continue with the second one
 *
 * Return: FALSE if there is no second attempt, the caller left or the exchange
 * is over
 */
gboolean RelayMove_failOver(RelayExchange_t *this);

#endif
