#include "PeerLink.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/tcp.h>
#include <string.h>

#include "Clock.h"
#include "PeerMac.h"

#define HEAD_BYTES (sizeof(guint32) + PEER_MAC_BYTES)
/* A peer that reads nothing for so much is given up. */
#define OUTPUT_MAX (64U << 20)

struct PeerLink {
    struct bufferevent *stream;
    struct event *reaper;
    GBytes *key;
    const PeerLinkEvents_t *events; /* NULL once closed */
    void *owner;
    gboolean outgoing;
};

static void
on_reap(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    PeerLink_t *this = data;
    bufferevent_free(this->stream);
    event_free(this->reaper);
    g_bytes_unref(this->key);
    g_free(this);
}

void
PeerLink_close(PeerLink_t *this)
{
    if (this->events) {
        this->events = NULL;
        bufferevent_disable(this->stream, EV_READ | EV_WRITE);
        Clock_arm(this->reaper, 0);
    }
}

static void
fail(PeerLink_t *this)
{
    const PeerLinkEvents_t *events = this->events;
    if (events) {
        PeerLink_close(this);
        events->closed(this->owner, this);
    }
}

static gboolean
take_message(PeerLink_t *this, const guint8 *frame, gsize size)
{
    const guint8 *payload = frame + HEAD_BYTES;
    if (!PeerMac_isGood(this->key, payload, size, frame + sizeof(guint32))) {
        return FALSE;
    }
    Wt__PeerMessage *message = wt__peer_message__unpack(NULL, size, payload);
    if (!message) {
        return FALSE;
    }
    this->events->message(this->owner, this, message);
    wt__peer_message__free_unpacked(message, NULL);
    return TRUE;
}

static void
on_read(struct bufferevent *stream, void *data)
{
    PeerLink_t *this = data;
    struct evbuffer *input = bufferevent_get_input(stream);
    while (this->events) {
        guint32 size = 0;
        if (evbuffer_copyout(input, &size, sizeof(size)) <
            (ev_ssize_t)sizeof(size)) {
            return;
        }
        size = ntohl(size);
        if (size > PEER_FRAME_MAX) {
            fail(this);
            return;
        }
        if (evbuffer_get_length(input) < HEAD_BYTES + size) {
            return;
        }
        const guint8 *frame =
            evbuffer_pullup(input, (ev_ssize_t)(HEAD_BYTES + size));
        if (!take_message(this, frame, size)) {
            fail(this);
            return;
        }
        evbuffer_drain(input, HEAD_BYTES + size);
    }
}

static void
on_event(struct bufferevent *stream, short what, void *data)
{
    (void)stream;
    if (!(what & BEV_EVENT_CONNECTED)) {
        fail(data);
    }
}

static PeerLink_t *
create(struct event_base *base, evutil_socket_t fd, GBytes *key,
       const PeerLinkEvents_t *events, void *owner)
{
    PeerLink_t *this = g_new0(PeerLink_t, 1);
    this->stream = bufferevent_socket_new(
        base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    this->reaper = Clock_timer(base, on_reap, this);
    this->key = g_bytes_ref(key);
    this->events = events;
    this->owner = owner;
    bufferevent_setcb(this->stream, on_read, NULL, on_event, this);
    bufferevent_enable(this->stream, EV_READ | EV_WRITE);
    return this;
}

PeerLink_t *
PeerLink_accept(struct event_base *base, evutil_socket_t fd, GBytes *key,
                const PeerLinkEvents_t *events, void *owner)
{
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return create(base, fd, key, events, owner);
}

PeerLink_t *
PeerLink_connect(struct event_base *base, const Address_t *address,
                 GBytes *key, const PeerLinkEvents_t *events, void *owner)
{
    PeerLink_t *this = create(base, -1, key, events, owner);
    struct sockaddr_in place = {.sin_family = AF_INET,
                                .sin_port = htons(address->port)};
    inet_pton(AF_INET, address->host, &place.sin_addr);
    this->outgoing = TRUE;
    bufferevent_socket_connect(this->stream, (struct sockaddr *)&place,
                               sizeof(place));
    int on = 1;
    setsockopt(bufferevent_getfd(this->stream), IPPROTO_TCP, TCP_NODELAY, &on,
               sizeof(on));
    return this;
}

gsize
PeerLink_send(PeerLink_t *this, const Wt__PeerMessage *message)
{
    gsize size = wt__peer_message__get_packed_size(message);
    g_autofree guint8 *frame = g_malloc(HEAD_BYTES + size);
    guint32 length = htonl((guint32)size);
    memcpy(frame, &length, sizeof(length));
    wt__peer_message__pack(message, frame + HEAD_BYTES);
    PeerMac_make(this->key, frame + HEAD_BYTES, size, frame + sizeof(length));
    bufferevent_write(this->stream, frame, HEAD_BYTES + size);
    struct evbuffer *output = bufferevent_get_output(this->stream);
    if (evbuffer_get_length(output) > OUTPUT_MAX) {
        fail(this);
    }
    return HEAD_BYTES + size;
}

gboolean
PeerLink_isOutgoing(const PeerLink_t *this)
{
    return this->outgoing;
}
