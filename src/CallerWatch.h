#ifndef HEADER_CallerWatch
#define HEADER_CallerWatch
/**
 * DOC: CallerWatch
 *
 * Watches the connection of a caller while its request is processed, so that
 * the request can be cancelled as soon as the caller disconnects. A caller
 * that has only closed its sending side is still there (CallerProof.h).
 */
#include <event2/http.h>
#include <glib.h>

#include "Refusal.h"

/** struct CallerWatch_t - opaque */
typedef struct CallerWatch CallerWatch_t;

/**
 * CallerLeft_t - called when the caller's connection has ended; the request
 * has been freed before
 * @reason: REFUSAL_CALLER_LEFT, or REFUSAL_ANSWER_NOT_READ if evhttp closed it
 */
typedef void (*CallerLeft_t)(void *owner, Refusal_t reason);

/** CallerWatch_create() - start to watch the connection of @request */
CallerWatch_t *CallerWatch_create(struct event_base *base,
                                  struct evhttp_request *request,
                                  CallerLeft_t left, void *owner);

/** CallerWatch_destroy() - free it; the request must have ended or been
 * detached before */
void CallerWatch_destroy(CallerWatch_t *this);

/** CallerWatch_request() - the request; NULL after it ended or was detached */
struct evhttp_request *CallerWatch_request(const CallerWatch_t *this);

/** CallerWatch_connection() - the connection; NULL after it was closed */
struct evhttp_connection *CallerWatch_connection(const CallerWatch_t *this);

/**
 * CallerWatch_detach() - stop watching and leave the request to evhttp
 *
 * Return: the request, whose reply the caller of this function sends or ends
 */
struct evhttp_request *CallerWatch_detach(CallerWatch_t *this);

/** CallerWatch_closeConnection() - close the connection without ending the
 * reply, so that the caller can't take it for complete */
void CallerWatch_closeConnection(CallerWatch_t *this);

#endif
