#ifndef HEADER_CallerProof
#define HEADER_CallerProof
/**
 * DOC: CallerProof
 *
 * Tells a caller that has only closed its sending side from one that has left,
 * while its request is processed. Both look the same, but the system of one
 * that has left answers bytes with a reset, and that of the other takes them.
 * Before the head of an answer the bytes are an interim answer (RFC 9110,
 * section 15.2), between two chunks a leading zero of the next chunk's size.
 * They are sent again at times, as a caller may leave later, but only as often
 * as readers take them.
 */
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

/** struct CallerProof_t - opaque */
typedef struct CallerProof CallerProof_t;

/** CallerGone_t - called once, when the caller has left */
typedef void (*CallerGone_t)(void *owner);

/**
 * CallerProof_create() - begin as the end of a caller's input was seen
 * @request: read whole, its answer may have begun; of a connection that is
 *     open until CallerProof_destroy()
 */
CallerProof_t *CallerProof_create(struct event_base *base,
                                  struct evhttp_request *request,
                                  CallerGone_t gone, void *owner);

/** CallerProof_destroy() - free it; may be called from CallerGone_t, and as
 * evhttp closes the connection */
void CallerProof_destroy(CallerProof_t *this);

/** CallerProof_isReset() - whether the peer of a socket has reset it */
gboolean CallerProof_isReset(evutil_socket_t fd);

#endif
