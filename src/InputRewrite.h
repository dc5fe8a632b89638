#ifndef HEADER_InputRewrite
#define HEADER_InputRewrite
/**
 * DOC: InputRewrite
 *
 * Changes what a connection received last before evhttp reads it, to what
 * RequestFraming leaves of it: without empty lines before a request, with
 * methods that evhttp has a name for, and without a request that is refused
 * while others of the connection have not been answered. The data of a chunk
 * never ends the input: evhttp would move the whole block of a read to the
 * body, for a byte of data or more.
 */
#include <event2/buffer.h>
#include <glib.h>

#include "RequestFraming.h"

/**
 * InputRewrite_feed() - check what was received last, and rewrite it
 * @buffer: input of the connection
 * @added: number of bytes at its end that were not checked yet
 */
void InputRewrite_feed(struct evbuffer *buffer, RequestFraming_t *framing,
                       gsize added);

/** InputRewrite_dropLast() - drop the last bytes */
void InputRewrite_dropLast(struct evbuffer *buffer, gsize length);

/**
 * InputRewrite_refuseLast() - put a line that evhttp refuses in the place of
 * the request under way
 *
 * evhttp reads it once it has answered the requests before.
 */
void InputRewrite_refuseLast(struct evbuffer *buffer,
                             const RequestFraming_t *framing);

#endif
