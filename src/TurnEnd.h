#ifndef HEADER_TurnEnd
#define HEADER_TurnEnd
/**
 * DOC: TurnEnd
 *
 * Work that is put off to the end of the loop's turn, when all events that
 * were ready have been handled: writes of one stream that came together go
 * out together.
 */
#include <event2/event.h>
#include <glib.h>

/** struct TurnEnd_t - opaque */
typedef struct TurnEnd TurnEnd_t;

/** TurnEndCall_t - called once at the turn's end */
typedef void (*TurnEndCall_t)(void *data);

/** TurnEnd_create() - a queue that is empty */
TurnEnd_t *TurnEnd_create(struct event_base *base);

/** TurnEnd_destroy() - free it; what waits is not called */
void TurnEnd_destroy(TurnEnd_t *this);

/** TurnEnd_add() - call @call at the end of this turn */
void TurnEnd_add(TurnEnd_t *this, TurnEndCall_t call, void *data);

/** TurnEnd_remove() - do not call for @data after all */
void TurnEnd_remove(TurnEnd_t *this, const void *data);

#endif
