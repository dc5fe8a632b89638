#ifndef HEADER_AcceptHold
#define HEADER_AcceptHold
/**
 * DOC: AcceptHold
 *
 * Leaves callers' connections in the kernel's accept queue after a start until
 * the router knows enough to answer requests. A request that is refused right
 * after a start costs its caller one attempt, and if all routers start at once
 * the next router would refuse it as well. The hold ends after a bounded time
 * in any case, because a refusal serves a caller better than a longer wait.
 */
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>

/** Longest time that connections stay in the accept queue. Callers on the
 * users' platform give up an attempt whose connection no router has read from
 * within a second. */
#define ACCEPT_HOLD_MAX_MS 500

/**
 * struct AcceptHoldSpec_t - parameters; all objects must outlive the hold
 * @listener: listener for callers' connections
 * @is_known: returns whether the router knows enough to answer requests
 * @owner: argument of @is_known
 */
typedef struct {
    struct evconnlistener *listener;
    gboolean (*is_known)(const void *owner);
    const void *owner;
} AcceptHoldSpec_t;

/** struct AcceptHold_t - opaque */
typedef struct AcceptHold AcceptHold_t;

/** AcceptHold_create() - stop accepting connections until the hold ends */
AcceptHold_t *AcceptHold_create(struct event_base *base,
                                const AcceptHoldSpec_t *spec);

/** AcceptHold_destroy() - free the hold without changing the listener */
void AcceptHold_destroy(AcceptHold_t *this);

/** AcceptHold_end() - accept connections from now on; the listener is not
 * touched any more */
void AcceptHold_end(AcceptHold_t *this);

/** AcceptHold_isOver() - whether connections are accepted again */
gboolean AcceptHold_isOver(const AcceptHold_t *this);

#endif
