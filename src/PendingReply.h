#ifndef HEADER_PendingReply
#define HEADER_PendingReply
/**
 * DOC: PendingReply
 *
 * Counts replies that were passed to evhttp and are not completely sent yet,
 * so that a stopping router does not truncate them.
 */
#include <event2/http.h>
#include <glib.h>

/**
 * PendingReply_watch() - count a reply until it is sent or its connection
 * closes
 *
 * Must be called right before the reply is sent or ended. Replaces the close
 * callback of the request's connection.
 */
void PendingReply_watch(struct evhttp_request *request);

/** PendingReply_count() - number of replies that are not sent yet */
guint PendingReply_count(void);

#endif
