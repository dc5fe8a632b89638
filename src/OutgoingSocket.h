#ifndef HEADER_OutgoingSocket
#define HEADER_OutgoingSocket
/**
 * DOC: OutgoingSocket
 *
 * The local port of a connection that a router opens is chosen by the system
 * and may be one that another process on its host listens on whenever it runs.
 * While the connection lasts, and for a minute after it, that process could
 * not start. What the kernel buffers for it is bounded (SocketBuffers.h).
 */
#include <event2/bufferevent.h>

#include "SocketBuffers.h"

/**
 * OutgoingSocket_prepare() - let others listen at the local address, and bound
 * the buffers
 * @bev: has called connect(); nothing happens if that failed
 */
void OutgoingSocket_prepare(struct bufferevent *bev, SocketKind_t kind);

#endif
