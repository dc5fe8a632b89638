#ifndef HEADER_IdleCallers
#define HEADER_IdleCallers
/**
 * DOC: IdleCallers
 *
 * Callers' connections on which nothing has arrived since they were accepted
 * or their last answer was sent. They are closed when they have been idle for
 * the timeout of their connection, and the longest idle ones as soon as the
 * process lacks descriptors for others, after those that only wait for their
 * end (see LingeringClose.h). A connection whose next request waits
 * unread in the kernel is never closed.
 */
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

#include "Counters.h"

/** Shortest time that a connection is idle before it is closed for others. */
#define IDLE_CALLERS_MIN_MS 100

/** IdleCallers_init() - begin without connections; once per process */
void IdleCallers_init(struct event_base *base, Counters_t *counters);

/** IdleCallers_clear() - free it; the connections must have been freed before
 */
void IdleCallers_clear(void);

/** IdleCallers_watchNew() - a connection of a server that is being accepted is
 * idle once evhttp has it */
void IdleCallers_watchNew(struct bufferevent *bev);

/** IdleCallers_add() - the last answer was sent and no request is open; does
 * nothing if a next one has begun to arrive */
void IdleCallers_add(struct evhttp_connection *connection);

/**
 * IdleCallers_close() - close connections for others, the longest idle first
 * @wanted: number of descriptors
 *
 * Return: number of connections closed
 */
guint IdleCallers_close(guint wanted);

/** IdleCallers_haveUnread() - whether the next request of one of them waits
 * unread in the kernel */
gboolean IdleCallers_haveUnread(void);

/** IdleCallers_count() - number of idle connections */
guint IdleCallers_count(void);

#endif
