#ifndef HEADER_PendingReply
#define HEADER_PendingReply
/**
 * DOC: PendingReply
 *
 * Counts replies that were passed to evhttp and are not completely sent yet,
 * and their bytes, so that a stopping router does not truncate them. Counts
 * the bytes of replies as well that are passed to evhttp as they arrive. Tells
 * in the log which of them were not sent before their connections closed.
 */
#include <event2/http.h>
#include <glib.h>

#include "Counters.h"

/**
 * PendingReply_setCounters() - choose what counts replies that are not sent
 * @counters: outlives all connections, or NULL
 */
void PendingReply_setCounters(Counters_t *counters);

/**
 * PendingReply_watch() - count a reply until it is sent or its connection
 * closes
 * @id: of the request in the log, or NULL
 *
 * Must be called right before the reply is sent or ended. Replaces the close
 * callback of the request's connection.
 */
void PendingReply_watch(struct evhttp_request *request, const char *id);

/** struct PassedReply_t - a reply that is passed to evhttp in parts; opaque */
typedef struct PassedReply PassedReply_t;

/**
 * PendingReply_beginParts() - count a reply of which the rest is still to come
 * @id: as for PendingReply_watch()
 *
 * Return: to be given to PendingReply_endParts() before the rest is passed,
 * and once the connection closes
 */
PassedReply_t *PendingReply_beginParts(struct evhttp_connection *connection,
                                       const char *id);

/** PendingReply_endParts() - stop counting it */
void PendingReply_endParts(PassedReply_t *passed);

/** PendingReply_count() - number of replies that are not sent yet */
guint PendingReply_count(void);

/** PendingReply_bytes() - bytes of these replies that wait in this process */
gsize PendingReply_bytes(void);

/** PendingReply_noteProgress() - look which replies were received further
 * since the last look */
void PendingReply_noteProgress(gint64 now_ms);

/**
 * PendingReply_giveUp() - reset the connection of the reply that has been
 * without progress for longest
 * @idle_ms: only if that is as long as this
 *
 * Return: whether there was one
 */
gboolean PendingReply_giveUp(gint64 now_ms, gint64 idle_ms);

/**
 * PendingReply_handOver() - let the kernel take what is left of each reply
 *
 * It goes on sending after this process has ended. As much is taken as it
 * allows for a connection. Not before the last turns of the event loop, as
 * evhttp is not told.
 */
void PendingReply_handOver(void);

#endif
