/**
 * DOC: redirected_links
 *
 * Redirects the connections that a router opens while it preloads this
 * library. The file named by REDIRECTED_LINKS lists pairs of loopback ports:
 * the port that the router connects to, and the port that is used instead.
 */
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

int connect(int fd, const struct sockaddr *address, socklen_t length);

static unsigned
find_port(unsigned port)
{
    const char *path = getenv("REDIRECTED_LINKS");
    FILE *file = path ? fopen(path, "r") : NULL;
    unsigned from = 0;
    unsigned to = 0;
    unsigned found = port;
    if (!file) {
        return port;
    }
    while (fscanf(file, "%u %u", &from, &to) == 2) {
        if (from == port) {
            found = to;
        }
    }
    fclose(file);
    return found;
}

int
connect(int fd, const struct sockaddr *address, socklen_t length)
{
    struct sockaddr_in target;
    if (address->sa_family != AF_INET || length < sizeof(target)) {
        return (int)syscall(SYS_connect, fd, address, length);
    }
    memcpy(&target, address, sizeof(target));
    target.sin_port = htons((uint16_t)find_port(ntohs(target.sin_port)));
    return (int)syscall(SYS_connect, fd, &target, sizeof(target));
}
