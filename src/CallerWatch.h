#ifndef HEADER_CallerWatch
#define HEADER_CallerWatch
/**
 * DOC: CallerWatch
 *
 * Watches the connection of a caller whose request is under way, so that
 * its work can be ended as soon as nobody waits for it.
 */
#include <event2/http.h>
#include <glib.h>

/** struct CallerWatch_t - opaque */
typedef struct CallerWatch CallerWatch_t;

/** CallerLeft_t - the caller is gone; the request is freed already */
typedef void (*CallerLeft_t)(void *owner);

/** CallerWatch_create() - start to watch */
CallerWatch_t *CallerWatch_create(struct event_base *base,
                                  struct evhttp_request *request,
                                  CallerLeft_t left, void *owner);

/** CallerWatch_destroy() - free it; it must have ended */
void CallerWatch_destroy(CallerWatch_t *this);

/** CallerWatch_request() - the request, or NULL once it has ended */
struct evhttp_request *CallerWatch_request(const CallerWatch_t *this);

/** CallerWatch_connection() - the connection, or NULL once it is gone */
struct evhttp_connection *CallerWatch_connection(const CallerWatch_t *this);

/**
 * CallerWatch_end() - evhttp goes on with the request alone
 *
 * Return: the request, to send or end its reply
 */
struct evhttp_request *CallerWatch_end(CallerWatch_t *this);

/** CallerWatch_cut() - close the connection, so that no answer looks whole */
void CallerWatch_cut(CallerWatch_t *this);

#endif
