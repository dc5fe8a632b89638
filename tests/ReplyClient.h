#ifndef HEADER_ReplyClient
#define HEADER_ReplyClient
/**
 * DOC: ReplyClient
 *
 * A server with one caller, whose socket shows what a reply looks like.
 */
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

/** ReplyClient_connect() - start the server and send it a request, which
 * @handle answers */
void ReplyClient_connect(const char *request,
                         void (*handle)(struct evhttp_request *request));

/**
 * ReplyClient_readUntil() - run the server until @count bytes have been
 * received in all, or until the end
 *
 * Return: 0 for an orderly end, -1 for a reset, 1 for more to come
 */
int ReplyClient_readUntil(gsize count);

/** ReplyClient_endInput() - close the sending side */
void ReplyClient_endInput(void);

/** ReplyClient_leave() - close the connection */
void ReplyClient_leave(void);

/** ReplyClient_run() - run the server for @ms */
void ReplyClient_run(guint ms);

/** ReplyClient_received() - what has been received */
const GString *ReplyClient_received(void);

/** ReplyClient_hasReceived() - whether @text has been received */
gboolean ReplyClient_hasReceived(const char *text);

/** ReplyClient_serverSide() - the server's connection */
struct evhttp_connection *ReplyClient_serverSide(void);

/** ReplyClient_base() - event base of the server */
struct event_base *ReplyClient_base(void);

/** ReplyClient_close() - end server and caller */
void ReplyClient_close(void);

#endif
