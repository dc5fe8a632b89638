#include "PeerDatagrams.h"

#include <arpa/inet.h>
#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include "PeerMac.h"

/* Fits into one packet on any link between routers. */
#define DATAGRAM_MAX_BYTES 1200
/* Datagrams read per loop iteration, so that other events are not delayed. */
#define READS_PER_ITERATION_MAX 64

typedef struct {
    PeerDatagramHandler_t handler;
    void *owner;
} Handler_t;

struct PeerDatagrams {
    struct event_base *base;
    evutil_socket_t fd; /* -1 while there is no socket */
    struct event *readable;
    GBytes *key;
    GArray *handlers; /* Handler_t */
};

struct sockaddr_in
PeerDatagrams_toSockaddr(const Address_t *address)
{
    struct sockaddr_in socket_address = {.sin_family = AF_INET,
                                         .sin_port = htons(address->port)};
    inet_pton(AF_INET, address->host, &socket_address.sin_addr);
    return socket_address;
}

static void
call_handlers(const PeerDatagrams_t *this, const Wt__PeerMessage *message,
              const struct sockaddr_in *from)
{
    for (guint i = 0; i < this->handlers->len; i++) {
        const Handler_t *entry = &g_array_index(this->handlers, Handler_t, i);
        entry->handler(entry->owner, message, from);
    }
}

/* Drops a datagram that is not authentic without a log line, because anyone
 * can send one. */
static void
receive_datagram(const PeerDatagrams_t *this, const guint8 *bytes, gsize size,
                 const struct sockaddr_in *from)
{
    if (size < PEER_MAC_BYTES) {
        return;
    }
    const guint8 *payload = bytes + PEER_MAC_BYTES;
    size -= PEER_MAC_BYTES;
    if (!PeerMac_verify(this->key, payload, size, bytes)) {
        return;
    }
    Wt__PeerMessage *message = wt__peer_message__unpack(NULL, size, payload);
    if (message) {
        call_handlers(this, message, from);
        wt__peer_message__free_unpacked(message, NULL);
    }
}

static void
on_readable(evutil_socket_t fd, short what, void *data)
{
    (void)what;
    const PeerDatagrams_t *this = data;
    guint8 bytes[DATAGRAM_MAX_BYTES];
    for (guint i = 0; i < READS_PER_ITERATION_MAX; i++) {
        struct sockaddr_in from;
        socklen_t length = sizeof(from);
        ssize_t size = recvfrom(fd, bytes, sizeof(bytes), MSG_DONTWAIT,
                                (struct sockaddr *)&from, &length);
        if (size < 0) {
            return;
        }
        receive_datagram(this, bytes, (gsize)size, &from);
    }
}

/* Returns -1 with errno set if the port can't be bound. */
static evutil_socket_t
open_socket(const Address_t *listen)
{
    struct sockaddr_in socket_address = PeerDatagrams_toSockaddr(listen);
    evutil_socket_t fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (fd >= 0 && (evutil_make_socket_nonblocking(fd) != 0 ||
                    bind(fd, (struct sockaddr *)&socket_address,
                         sizeof(socket_address)) != 0)) {
        int code = errno;
        close(fd);
        errno = code;
        fd = -1;
    }
    return fd;
}

PeerDatagrams_t *
PeerDatagrams_create(struct event_base *base, GBytes *key)
{
    PeerDatagrams_t *this = g_new0(PeerDatagrams_t, 1);
    this->base = base;
    this->fd = -1;
    this->key = g_bytes_ref(key);
    this->handlers = g_array_new(FALSE, FALSE, sizeof(Handler_t));
    return this;
}

gboolean
PeerDatagrams_open(PeerDatagrams_t *this, const Address_t *listen)
{
    this->fd = open_socket(listen);
    if (this->fd < 0) {
        return FALSE;
    }
    this->readable = event_new(this->base, this->fd, EV_READ | EV_PERSIST,
                               on_readable, this);
    event_add(this->readable, NULL);
    return TRUE;
}

gboolean
PeerDatagrams_isOpen(const PeerDatagrams_t *this)
{
    return this->fd >= 0;
}

void
PeerDatagrams_addHandler(PeerDatagrams_t *this, PeerDatagramHandler_t handler,
                         void *owner)
{
    Handler_t entry = {handler, owner};
    g_array_append_val(this->handlers, entry);
}

void
PeerDatagrams_destroy(PeerDatagrams_t *this)
{
    if (this->fd >= 0) {
        event_free(this->readable);
        close(this->fd);
    }
    g_bytes_unref(this->key);
    g_array_unref(this->handlers);
    g_free(this);
}

void
PeerDatagrams_send(const PeerDatagrams_t *this, const struct sockaddr_in *to,
                   const Wt__PeerMessage *message)
{
    guint8 bytes[DATAGRAM_MAX_BYTES];
    gsize size = wt__peer_message__get_packed_size(message);
    if (this->fd < 0 || size > DATAGRAM_MAX_BYTES - PEER_MAC_BYTES) {
        return;
    }
    wt__peer_message__pack(message, bytes + PEER_MAC_BYTES);
    PeerMac_compute(this->key, bytes + PEER_MAC_BYTES, size, bytes);
    /* A full send buffer drops the datagram, as the network may. */
    (void)sendto(this->fd, bytes, PEER_MAC_BYTES + size, MSG_DONTWAIT,
                 (const struct sockaddr *)to, sizeof(*to));
}
