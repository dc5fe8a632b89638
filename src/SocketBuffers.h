#ifndef HEADER_SocketBuffers
#define HEADER_SocketBuffers
/**
 * DOC: SocketBuffers
 *
 * Bounds what the kernel buffers for one socket. Without a bound it grows to
 * megabytes for a caller that does not read, or for an answer that is read no
 * further for now, and these bytes count as memory of the process.
 */
#include <event2/util.h>
#include <glib.h>

/** SOCKET_UNREAD_MAX - bytes of a caller's connection that the kernel takes
 * before they are read, until its body has room */
#define SOCKET_UNREAD_MAX (8 << 10)

/**
 * enum SocketKind_t - who is at the other end
 * @SOCKET_CALLER: callers; also for their listener, whose sockets inherit it
 * @SOCKET_UPSTREAM: an upstream, whose answer may be left unread for a while
 * @SOCKET_CALL: a call whose answer is always read, such as the store's; few
 *     at a time
 * @SOCKET_SHORT_CALL: a call whose answer is short or of which many are under
 *     way; also a connection that is never read
 * @SOCKET_PEER: another router
 */
typedef enum {
    SOCKET_CALLER,
    SOCKET_UPSTREAM,
    SOCKET_CALL,
    SOCKET_SHORT_CALL,
    SOCKET_PEER,
} SocketKind_t;

/**
 * SocketBuffers_limit() - bound the buffers of a socket, and count what they
 * hold (SocketUse.h)
 * @fd: nothing happens if it is negative
 *
 * To be called before the first bytes arrive.
 */
void SocketBuffers_limit(evutil_socket_t fd, SocketKind_t kind);

/**
 * struct CallerShare_t - what bounds the buffer towards a caller
 * @memory: bytes that the process may use; 0 for no limit
 * @callers: number of callers that are answered now; the more there are, the
 *     less each has
 * @most: bytes that one caller may have
 */
typedef struct {
    gsize memory;
    guint callers;
    gsize most;
} CallerShare_t;

/** SocketBuffers_limitCaller() - bound what is buffered towards a caller, and
 * count it */
void SocketBuffers_limitCaller(evutil_socket_t fd, const CallerShare_t *share);

#endif
