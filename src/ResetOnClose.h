#ifndef HEADER_ResetOnClose
#define HEADER_ResetOnClose
/**
 * DOC: ResetOnClose
 *
 * Callers' connections that must not end in an orderly way for now, as a
 * caller would take the end for that of a complete answer. They are reset
 * instead, by the kernel if this process is killed.
 */
#include <event2/http.h>

/** ResetOnClose_add() - from now on the end of the connection is a reset */
void ResetOnClose_add(struct evhttp_connection *connection);

/** ResetOnClose_remove() - the connection may end in an orderly way again */
void ResetOnClose_remove(struct evhttp_connection *connection);

/** ResetOnClose_forget() - evhttp frees the connection */
void ResetOnClose_forget(struct evhttp_connection *connection);

/** ResetOnClose_close() - close any connection, with a reset if it was added
 */
void ResetOnClose_close(struct evhttp_connection *connection);

/** ResetOnClose_resetAll() - reset the connections that were added; evhttp
 * still has to free them */
void ResetOnClose_resetAll(void);

#endif
