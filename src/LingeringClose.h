#ifndef HEADER_LingeringClose
#define HEADER_LingeringClose
/**
 * DOC: LingeringClose
 *
 * Closes callers' connections after their last answer in the way of RFC 9112,
 * section 9.6. The kernel resets a connection that is closed with unread
 * bytes, such as the rest of a body or another request, and the caller may
 * lose the answer. So what still arrives is read and dropped, until the caller
 * closes as well, has been silent for a short time or has gone on for a long
 * one. Connections that end otherwise are closed at once.
 */
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>

/** LingeringClose_init() - begin without connections; once per process */
void LingeringClose_init(struct event_base *base);

/** LingeringClose_clear() - close what is left; the connections watched must
 * have been freed before */
void LingeringClose_clear(void);

/** LingeringClose_watch() - close a server's connection, made with
 * BEV_OPT_CLOSE_ON_FREE, so once evhttp has freed it */
void LingeringClose_watch(struct bufferevent *bev);

/** LingeringClose_expectRest() - the last answer is sent now, although a part
 * of the request has not come; its caller may pause before it sends on */
void LingeringClose_expectRest(struct bufferevent *bev);

/** LingeringClose_hasEnded() - whether evhttp has freed the connection of a
 * bufferevent, so that what still arrives belongs to no request */
gboolean LingeringClose_hasEnded(struct bufferevent *bev);

/**
 * LingeringClose_closeOldest() - close connections for others, those first
 * that have been read from for the longest time, a second at least
 * @wanted: number of descriptors
 *
 * Return: number of connections closed
 */
guint LingeringClose_closeOldest(guint wanted);

/** LingeringClose_count() - number of connections that wait for their end */
guint LingeringClose_count(void);

#endif
