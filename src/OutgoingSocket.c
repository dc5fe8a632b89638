#include "OutgoingSocket.h"

#include <sys/socket.h>

void
OutgoingSocket_prepare(struct bufferevent *bev, SocketKind_t kind)
{
    int on = 1;
    evutil_socket_t fd = bufferevent_getfd(bev);
    if (fd >= 0) {
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        SocketBuffers_limit(fd, kind);
    }
}
