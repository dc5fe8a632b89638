#ifndef HEADER_InputHold
#define HEADER_InputHold
/**
 * DOC: InputHold
 *
 * Keeps evhttp from reading a caller's connection while a request is answered.
 * evhttp reads while it writes, and drops the answer if it meets the end of
 * the input, which a caller may send behind its request. What follows waits
 * in the kernel until the answer was sent; errors of the connection are still
 * noticed as evhttp writes.
 */
#include <event2/http.h>

/**
 * InputHold_begin() - a request was read whole and will be answered
 *
 * Ends once the reply was sent. Whoever replaces the request's callback of its
 * completion calls InputHold_end() from there.
 */
void InputHold_begin(struct evhttp_request *request);

/** InputHold_end() - read on; no effect if nothing was held */
void InputHold_end(struct evhttp_connection *connection);

#endif
