#include "SocketBuffers.h"

#include <sys/socket.h>

#include "SocketUse.h"

#define KIB 1024
/* For a full link with some milliseconds of delay. */
#define SENDING_MAX ((gsize)64 * KIB)
#define SENDING_MIN ((gsize)4 * KIB)
/* Part of the memory that is divided among the callers' sockets; the kernel
 * doubles each share. */
#define SENDING_PART 32

/** struct Sizes_t - bytes of payload; 0 leaves the size to the kernel */
typedef struct {
    int receive;
    int send;
} Sizes_t;

/* The kernel may fill all that it doubles. */
static const Sizes_t sizes[] = {
    [SOCKET_CALLER] = {SOCKET_UNREAD_MAX, SENDING_MAX},
    [SOCKET_UPSTREAM] = {32 * KIB, 64 * KIB},
    [SOCKET_CALL] = {512 * KIB, 128 * KIB},
    [SOCKET_SHORT_CALL] = {32 * KIB, 128 * KIB},
    [SOCKET_PEER] = {128 * KIB, 128 * KIB},
};

/* A socket whose size can't be set works all the same, and is counted. */
static void
set_size(evutil_socket_t fd, int option, int size)
{
    if (size > 0) {
        (void)setsockopt(fd, SOL_SOCKET, option, &size, sizeof(size));
    }
}

void
SocketBuffers_limit(evutil_socket_t fd, SocketKind_t kind)
{
    if (fd < 0) {
        return;
    }
    set_size(fd, SO_RCVBUF, sizes[kind].receive);
    set_size(fd, SO_SNDBUF, sizes[kind].send);
    if (kind != SOCKET_CALLER) {
        SocketUse_watch(fd, FALSE);
    }
}

void
SocketBuffers_limitCaller(evutil_socket_t fd, const CallerShare_t *share)
{
    gsize size = SENDING_MAX;
    if (fd < 0) {
        return;
    }
    if (share->memory > 0) {
        size = share->memory / SENDING_PART / MAX(share->callers, 1);
    }
    size = CLAMP(size, SENDING_MIN, SENDING_MAX);
    set_size(fd, SO_SNDBUF, (int)MIN(size, share->most));
    SocketUse_watch(fd, TRUE);
}
