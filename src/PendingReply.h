#ifndef HEADER_PendingReply
#define HEADER_PendingReply
/**
 * DOC: PendingReply
 *
 * Counts replies that were handed to evhttp and have not gone out to the
 * caller yet, so that a stopping router does not cut off the last bytes.
 */
#include <event2/http.h>
#include <glib.h>

/**
 * PendingReply_watch() - call it right before a reply is sent or ended
 *
 * It takes over the close callback of the request's connection.
 */
void PendingReply_watch(struct evhttp_request *request);

/** PendingReply_count() - replies that have not gone out */
guint PendingReply_count(void);

#endif
