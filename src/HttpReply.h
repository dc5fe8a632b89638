#ifndef HEADER_HttpReply
#define HEADER_HttpReply
/**
 * DOC: HttpReply
 *
 * Sends replies to callers and marks their end. A reply whose end is not known
 * to be the end of a complete answer, and a stream to a caller of HTTP/1.0,
 * is close-delimited: it has neither a length nor chunks. The connection of
 * such a reply is reset unless the reply ends by HttpReply_endStream(), also
 * when this process is killed.
 */
#include <event2/http.h>
#include <glib.h>

/** HttpReply_close() - close the connection behind a reply that was not
 * started, whatever waits on it */
void HttpReply_close(struct evhttp_request *request);

/**
 * HttpReply_closeAfter() - close the connection behind a reply that was not
 * started
 *
 * No effect if a next request waits on the connection, which would get no
 * answer.
 */
void HttpReply_closeAfter(struct evhttp_request *request);

/**
 * HttpReply_startStream() - send the head of a stream
 * @is_end_proven: the end of the stream will be that of a complete answer
 */
void HttpReply_startStream(struct evhttp_request *request, int status,
                           gboolean is_end_proven);

/** HttpReply_startBody() - send the head of a reply whose body follows in
 * parts, as those of a stream
 * @length: of the body; a reply that ends sooner is not complete
 */
void HttpReply_startBody(struct evhttp_request *request, int status,
                         gsize length);

/** HttpReply_isCloseDelimited() - whether only the end of the connection will
 * mark the end of a stream that was started */
gboolean HttpReply_isCloseDelimited(const struct evhttp_request *request);

/**
 * HttpReply_appendPart() - add a part of an answer behind others that wait for
 * their caller, where it takes little more memory than its bytes; evhttp would
 * move the blocks that hold it
 *
 * The callback of the last part that evhttp was given stays.
 *
 * Return: FALSE if no part waits, or an answer of this kind has no body;
 * evhttp must be given the part then
 */
gboolean HttpReply_appendPart(struct evhttp_request *request,
                              struct evbuffer *part);

/**
 * HttpReply_endStream() - end a stream in an orderly way
 * @id: of the request in the log, or NULL
 */
void HttpReply_endStream(struct evhttp_request *request, const char *id);

/**
 * HttpReply_sendBody() - send a reply with its body, or without it to HEAD
 * @id: of the request in the log, or NULL
 * @reason: reason phrase, or NULL
 * @body: drained
 * @is_end_proven: @body is known to be a complete answer
 */
void HttpReply_sendBody(struct evhttp_request *request, const char *id,
                        int status, const char *reason, struct evbuffer *body,
                        gboolean is_end_proven);

#endif
