#ifndef HEADER_PooledConnection
#define HEADER_PooledConnection
/**
 * DOC: PooledConnection
 *
 * A connection to an upstream, or to another router, that carries one request
 * after another, with the ids of the requests that it has carried.
 *
 * Where the wire has no name for an attempt, only the request's id ties an
 * answer to it, so a second answer to an earlier attempt would pass for the
 * answer to the present one. Such a connection carries each id once.
 */
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

#include "KeyTable.h"

/** Number of requests that a connection carries, each with another id; it
 * keeps the ids of all of them */
#define POOLED_REQUESTS_MAX 128

/** struct PooledConnection_t - opaque */
typedef struct PooledConnection PooledConnection_t;

/** PooledConnection_create() - create a connection, which evhttp sets up with
 * its first request */
PooledConnection_t *PooledConnection_create(struct event_base *base,
                                            const Address_t *address);

/** PooledConnection_destroy() - close the connection in an orderly way */
void PooledConnection_destroy(PooledConnection_t *this);

/** PooledConnection_release() - free the object and return its connection,
 * which the caller owns then */
struct evhttp_connection *PooledConnection_release(PooledConnection_t *this);

/** PooledConnection_evhttp() - the connection itself */
struct evhttp_connection *
PooledConnection_evhttp(const PooledConnection_t *this);

/** PooledConnection_number() - a number that no other connection of this
 * process has */
guint64 PooledConnection_number(const PooledConnection_t *this);

/**
 * PooledConnection_addRequest() - note a request that is about to be sent
 * @id: id of the request on the wire, or NULL if each attempt has an id of its
 *     own
 */
void PooledConnection_addRequest(PooledConnection_t *this, const char *id);

/** PooledConnection_countRequests() - number of requests noted so far */
guint PooledConnection_countRequests(const PooledConnection_t *this);

/** PooledConnection_isUsedUp() - whether it must carry no further request */
gboolean PooledConnection_isUsedUp(const PooledConnection_t *this);

/** PooledConnection_hasCarried() - whether a request with this id was noted;
 * FALSE if @id is NULL */
gboolean PooledConnection_hasCarried(const PooledConnection_t *this,
                                     const char *id);

/** PooledConnection_setStart() - the process at its other end was proved to be
 * this start of the upstream, which holds until it is closed */
void PooledConnection_setStart(PooledConnection_t *this, guint64 incarnation);

/** PooledConnection_start() - the start noted since it was opened, 0 for none
 */
guint64 PooledConnection_start(const PooledConnection_t *this);

/** PooledConnection_setIdle() - note the start of its idle time, monotonic */
void PooledConnection_setIdle(PooledConnection_t *this, gint64 now_ms);

/** PooledConnection_idleMs() - for how long it has been idle */
gint64 PooledConnection_idleMs(const PooledConnection_t *this, gint64 now_ms);

/** PooledConnection_hasSocket() - whether it has a socket; evhttp opens one
 * without a socket anew */
gboolean PooledConnection_hasSocket(const PooledConnection_t *this);

/** PooledConnection_isOpen() - whether it has a socket whose other end has not
 * closed it */
gboolean PooledConnection_isOpen(const PooledConnection_t *this);

/** PooledConnection_isEnding() - whether its other end has closed it, which
 * evhttp has not seen yet, so that it must not be used */
gboolean PooledConnection_isEnding(const PooledConnection_t *this);

/** PooledConnection_closedAfterMs() - time after its last answer at which its
 * other end closed it, or -1 if it has not */
gint64 PooledConnection_closedAfterMs(const PooledConnection_t *this);

#endif
