#ifndef HEADER_ListenerDrain
#define HEADER_ListenerDrain
/**
 * DOC: ListenerDrain
 *
 * Closes the listener of a server without a loss. The kernel resets what is in
 * the accept queue of a listener that is closed, so new handshakes are ignored
 * first, until those under way have ended and the queue is empty. A caller
 * whose handshake was ignored repeats it, and is then refused.
 */
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

#include "AcceptPause.h"

/** Time from the beginning to the end, unless the queue can't be emptied. */
#define LISTENER_DRAIN_MS 600

/** struct ListenerDrain_t - opaque */
typedef struct ListenerDrain ListenerDrain_t;

/**
 * ListenerDrain_create() - prepare to close the only listener of a server
 * @server: must outlive the result
 * @pause: of the listener, freed with it, so that the listener goes on after a
 *         pause until then
 */
ListenerDrain_t *ListenerDrain_create(struct event_base *base,
                                      struct evhttp *server,
                                      AcceptPause_t *pause);

/** ListenerDrain_destroy() - free it and the pause; the listener stays as it
 * is
 */
void ListenerDrain_destroy(ListenerDrain_t *this);

/** ListenerDrain_begin() - begin to close the listener; may be called again
 */
void ListenerDrain_begin(ListenerDrain_t *this);

/** ListenerDrain_isOver() - whether the listener is closed, and the first
 * request of each accepted connection had time to arrive */
gboolean ListenerDrain_isOver(const ListenerDrain_t *this);

#endif
