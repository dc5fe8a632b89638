#ifndef HEADER_AcceptPause
#define HEADER_AcceptPause
/**
 * DOC: AcceptPause
 *
 * Stops accepting connections for a moment after accept() has failed, for
 * example for want of descriptors. The connection stays in the kernel's queue,
 * so the listener would fail again at once and the event loop would do nothing
 * else. Idle callers give up descriptors for the connections that wait.
 */
#include <event2/event.h>
#include <event2/listener.h>

/** Time without an accept() after one has failed. */
#define ACCEPT_PAUSE_MS 50

/** struct AcceptPause_t - opaque */
typedef struct AcceptPause AcceptPause_t;

/**
 * AcceptPause_create() - watch a listener
 * @listener: must outlive the object
 * @name: of the listener, for log lines; not copied
 */
AcceptPause_t *AcceptPause_create(struct event_base *base,
                                  struct evconnlistener *listener,
                                  const char *name);

/** AcceptPause_destroy() - free the object without changing the listener */
void AcceptPause_destroy(AcceptPause_t *this);

#endif
