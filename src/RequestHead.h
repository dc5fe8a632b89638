#ifndef HEADER_RequestHead
#define HEADER_RequestHead
/**
 * DOC: RequestHead
 *
 * Brings the head of a request that evhttp has read into the one form that the
 * handlers of requests know: a target in absolute form becomes one in origin
 * form (RFC 9112, section 3.2).
 */
#include <event2/http.h>

/**
 * RequestHead_normalize() - bring the head of a request into its usual form
 *
 * The authority of a target in absolute form takes the place of the Host
 * header. A target whose authority is empty or names a user stays as it is.
 */
void RequestHead_normalize(struct evhttp_request *request);

#endif
