#ifndef HEADER_RequestHead
#define HEADER_RequestHead
/**
 * DOC: RequestHead
 *
 * Brings the head of a request that evhttp has read into the one form that the
 * handlers of requests know: a target in absolute form becomes one in origin
 * form (RFC 9112, section 3.2), and a method that RequestIntake has replaced
 * is known again. Later versions of HTTP/1 are answered as HTTP/1.1.
 * A connection closes behind its answer wherever the request asks for it.
 */
#include <event2/http.h>
#include <glib.h>

/** METHOD_UNNAMED - type of requests whose method evhttp has no name for; the
 * value that evhttp gives them */
#define METHOD_UNNAMED ((enum evhttp_cmd_type)(1 << 15))

/**
 * RequestHead_normalize() - bring the head of a request into its usual form
 *
 * The authority of a target in absolute form takes the place of the Host
 * header. A target whose authority is empty or names a user stays as it is.
 */
void RequestHead_normalize(struct evhttp_request *request);

/** RequestHead_hasVersion() - whether the version of a request is one of
 * HTTP/1
 */
gboolean RequestHead_hasVersion(const struct evhttp_request *request);

/** RequestHead_unnamedMethod() - the method of a request of the type
 * METHOD_UNNAMED; NULL if it is unknown, or of another type */
const char *RequestHead_unnamedMethod(struct evhttp_request *request);

/** RequestHead_methodToSend() - the type as which evhttp can pass a request
 * on; its unnamed method is then put in place of the type's */
enum evhttp_cmd_type RequestHead_methodToSend(struct evhttp_request *request);

#endif
