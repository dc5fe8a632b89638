#ifndef HEADER_DeferredCalls
#define HEADER_DeferredCalls
/**
 * DOC: DeferredCalls
 *
 * Calls that are deferred to the end of the current event loop iteration, when
 * all events that were ready have been handled. Data of one stream that
 * arrives in the same iteration is so written in one piece.
 */
#include <event2/event.h>
#include <glib.h>

/** struct DeferredCalls_t - opaque */
typedef struct DeferredCalls DeferredCalls_t;

/** DeferredCall_t - called once at the end of the iteration */
typedef void (*DeferredCall_t)(void *data);

/** DeferredCalls_create() - create an empty queue */
DeferredCalls_t *DeferredCalls_create(struct event_base *base);

/** DeferredCalls_destroy() - free the queue; pending calls are not made */
void DeferredCalls_destroy(DeferredCalls_t *this);

/** DeferredCalls_add() - make @call at the end of the current iteration */
void DeferredCalls_add(DeferredCalls_t *this, DeferredCall_t call, void *data);

/** DeferredCalls_remove() - cancel the pending calls for @data */
void DeferredCalls_remove(DeferredCalls_t *this, const void *data);

#endif
