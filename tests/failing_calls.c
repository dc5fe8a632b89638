/**
 * DOC: failing_calls
 *
 * Makes system calls fail in a router that preloads this library. Each line of
 * the file named by FAILING_CALLS has the name of a call, an error number, and
 * one in how many such calls fails.
 */
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <unistd.h>

#define FILE_MAX 1024

static size_t
read_file(char *text, size_t size)
{
    const char *path = getenv("FAILING_CALLS");
    int fd = path ? (int)syscall(SYS_openat, AT_FDCWD, path, O_RDONLY) : -1;
    ssize_t length = fd >= 0 ? syscall(SYS_read, fd, text, size - 1) : 0;
    if (fd >= 0) {
        syscall(SYS_close, fd);
    }
    return length > 0 ? (size_t)length : 0;
}

/* Sets errno if it does. */
static int
fails(const char *call)
{
    static unsigned count;
    char text[FILE_MAX];
    char name[FILE_MAX];
    int error = 0;
    unsigned one_in = 0;
    int used = 0;
    int kept = errno;
    text[read_file(text, sizeof(text))] = '\0';
    errno = kept;
    for (const char *at = text;
         sscanf(at, "%s %d %u%n", name, &error, &one_in, &used) == 3;
         at += used) {
        if (strcmp(name, call) == 0 && count++ % one_in == 0) {
            errno = error;
            return 1;
        }
    }
    return 0;
}

int
connect(int fd, const struct sockaddr *address, socklen_t length)
{
    return fails("connect") ? -1
                            : (int)syscall(SYS_connect, fd, address, length);
}

int
socket(int domain, int type, int protocol)
{
    return fails("socket") ? -1
                           : (int)syscall(SYS_socket, domain, type, protocol);
}

int
accept4(int fd, struct sockaddr *address, socklen_t *length, int flags)
{
    return fails("accept4")
               ? -1
               : (int)syscall(SYS_accept4, fd, address, length, flags);
}

int
epoll_wait(int fd, struct epoll_event *events, int max, int wait_ms)
{
    return fails("epoll_wait") ? -1
                               : (int)syscall(SYS_epoll_pwait, fd, events, max,
                                              wait_ms, NULL, 8);
}

int
epoll_ctl(int fd, int operation, int of, struct epoll_event *event)
{
    return fails("epoll_ctl")
               ? -1
               : (int)syscall(SYS_epoll_ctl, fd, operation, of, event);
}

ssize_t
readv(int fd, const struct iovec *parts, int count)
{
    return fails("readv") ? -1 : syscall(SYS_readv, fd, parts, count);
}

ssize_t
writev(int fd, const struct iovec *parts, int count)
{
    return fails("writev") ? -1 : syscall(SYS_writev, fd, parts, count);
}

ssize_t
sendto(int fd, const void *bytes, size_t length, int flags,
       const struct sockaddr *address, socklen_t size)
{
    return fails("sendto")
               ? -1
               : syscall(SYS_sendto, fd, bytes, length, flags, address, size);
}

ssize_t
recvfrom(int fd, void *bytes, size_t length, int flags,
         struct sockaddr *address, socklen_t *size)
{
    return fails("recvfrom") ? -1
                             : syscall(SYS_recvfrom, fd, bytes, length, flags,
                                       address, size);
}
