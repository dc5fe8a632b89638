#ifndef HEADER_RequestFraming
#define HEADER_RequestFraming
/**
 * DOC: RequestFraming
 *
 * Checks the chunks of callers' requests before evhttp reads them (see
 * ChunkCheck.h). As evhttp hands out a request only once its body has ended,
 * the check follows the heads of a connection's requests by itself, as far as
 * they tell where a body ends.
 */
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <glib.h>

/** struct RequestFraming_t - opaque; the requests of one connection */
typedef struct RequestFraming RequestFraming_t;

/** RequestFraming_watch() - check a connection that a server accepts */
void RequestFraming_watch(struct bufferevent *bev);

/**
 * RequestFraming_isAmbiguous() - whether receivers of a request may disagree
 * on where its body ends
 *
 * By its head (BodyFraming_isAmbiguousRequest()), or because the chunks of a
 * request on its connection are broken. What follows must not be read.
 */
gboolean RequestFraming_isAmbiguous(struct evhttp_request *request);

/** RequestFraming_create() - begin with a connection */
RequestFraming_t *RequestFraming_create(void);

/** RequestFraming_destroy() - free it */
void RequestFraming_destroy(RequestFraming_t *this);

/** RequestFraming_feed() - check the next bytes of the connection */
void RequestFraming_feed(RequestFraming_t *this, const char *bytes,
                         gsize length);

/** RequestFraming_isBroken() - whether chunks are broken */
gboolean RequestFraming_isBroken(const RequestFraming_t *this);

#endif
