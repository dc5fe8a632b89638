#ifndef HEADER_SendWatch
#define HEADER_SendWatch
/**
 * DOC: SendWatch
 *
 * Watches a connection until the system at its other end has acknowledged all
 * that was sent on it, and notices if that system no longer answers.
 * TCP_USER_TIMEOUT would also end a connection whose other end answers, but
 * has no room for more, as its program reads late.
 */
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>

/** Time without an answer to what was sent after which a connection counts as
 * dead. Long enough for several round trips within a region and one
 * retransmission. */
#define SEND_WATCH_MAX_MS 1000

/** struct SendWatch_t - opaque */
typedef struct SendWatch SendWatch_t;

/**
 * struct SendWatchSpec_t - what is watched
 * @bev: its connection
 * @request_id: for log lines, copied
 * @upstream: name, for log lines, copied
 * @dead: called once, unless the watch was freed; may free it
 */
typedef struct {
    struct bufferevent *bev;
    const char *request_id;
    const char *upstream;
    void (*dead)(void *owner);
    void *owner;
} SendWatchSpec_t;

/**
 * SendWatch_create() - begin to watch
 *
 * The connection must have a socket. All that is sent on it is put into its
 * buffer at once, which may be done before or later.
 */
SendWatch_t *SendWatch_create(struct event_base *base,
                              const SendWatchSpec_t *spec);

/** SendWatch_destroy() - stop and free; the connection must still exist */
void SendWatch_destroy(SendWatch_t *this);

#endif
