#ifndef HEADER_RelayBody
#define HEADER_RelayBody
/**
 * DOC: RelayBody
 *
 * The body of a relayed answer that is not a stream. It is held until it is
 * complete, so that another attempt can take its place if it breaks off. While
 * the room for answers is short (AnswerRoom.h), it is passed on as it arrives
 * instead: a slow caller then holds some kilobytes, and its upstream is read
 * no further until the caller has taken them.
 */
#include <event2/buffer.h>

#include "RelayAttempt.h"
#include "RelayExchangeState.h"

/** RelayBody_begin() - forget the body of an earlier attempt; @head is that of
 * the new one */
void RelayBody_begin(RelayExchange_t *this, const RelayHead_t *head);

/** RelayBody_receive() - take in more of the body; may end the attempt */
void RelayBody_receive(RelayExchange_t *this, struct evbuffer *data);

/** RelayBody_resume() - go on with it, as there is room again */
void RelayBody_resume(RelayExchange_t *this);

/** RelayBody_finish() - send the caller what is left of the complete answer */
void RelayBody_finish(RelayExchange_t *this);

/** RelayBody_noteCallerLeft() - receive the rest without a caller */
void RelayBody_noteCallerLeft(RelayExchange_t *this);

#endif
