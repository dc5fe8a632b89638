#ifndef HEADER_AcceptHold
#define HEADER_AcceptHold
/**
 * DOC: AcceptHold
 *
 * Leaves callers' connections in the kernel's queue until the router knows
 * enough to answer them. What is refused at once after a start costs its
 * caller a try, and where all routers start at once the next one would refuse
 * it as well. It ends by itself after a bounded time: a caller that is left
 * waiting for longer is better told.
 */
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>

/** Longest time for which connections are left; callers on the users'
 * platform give a try up that no router has read after a second. */
#define ACCEPT_HOLD_MS 500

/**
 * struct AcceptHoldSpec_t - what it needs; all must outlive it
 * @listener: of the callers
 * @is_known: whether the router knows enough to answer
 * @owner: for @is_known
 */
typedef struct {
    struct evconnlistener *listener;
    gboolean (*is_known)(const void *owner);
    const void *owner;
} AcceptHoldSpec_t;

/** struct AcceptHold_t - opaque */
typedef struct AcceptHold AcceptHold_t;

/** AcceptHold_create() - take no connections from now on */
AcceptHold_t *AcceptHold_create(struct event_base *base,
                                const AcceptHoldSpec_t *spec);

/** AcceptHold_destroy() - free it; the listener is left as it is */
void AcceptHold_destroy(AcceptHold_t *this);

/** AcceptHold_isOver() - whether connections are taken again */
gboolean AcceptHold_isOver(const AcceptHold_t *this);

#endif
