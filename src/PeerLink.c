#include "PeerLink.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/tcp.h>
#include <string.h>

#include "Clock.h"
#include "LinkClock.h"
#include "PeerMac.h"

#define HEADER_BYTES (sizeof(guint32) + PEER_MAC_BYTES)
/* Unsent bytes above which a link is closed, because its peer has stopped
 * reading. */
#define OUTPUT_MAX_BYTES (64U << 20)
/* A transfer without a byte for this time has stalled. */
#define STALL_MS 500
/* Unsent bytes of short messages are fewer. */
#define LONG_OUTPUT_BYTES 16384

struct PeerLink {
    struct bufferevent *stream;
    struct event *free_timer;
    GBytes *key;
    const PeerLinkEvents_t *events; /* NULL after the link is closed */
    void *owner;
    gboolean outgoing;
    gint64 received_ms; /* when bytes were last received; 0 for never */
    gint64 sent_ms; /* when bytes were last sent, or the output last began */
    LinkClock_t clock;
    gint64 transit_ms; /* of the message being handled, at most */
};

static void
on_free(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    PeerLink_t *this = data;
    bufferevent_free(this->stream);
    event_free(this->free_timer);
    g_bytes_unref(this->key);
    g_free(this);
}

void
PeerLink_close(PeerLink_t *this)
{
    if (this->events) {
        this->events = NULL;
        bufferevent_disable(this->stream, EV_READ | EV_WRITE);
        Clock_arm(this->free_timer, 0);
    }
}

static void
close_and_notify(PeerLink_t *this)
{
    const PeerLinkEvents_t *events = this->events;
    if (events) {
        PeerLink_close(this);
        events->closed(this->owner, this);
    }
}

static gboolean
receive_message(PeerLink_t *this, const guint8 *frame, gsize size)
{
    const guint8 *payload = frame + HEADER_BYTES;
    if (!PeerMac_verify(this->key, payload, size, frame + sizeof(guint32))) {
        return FALSE;
    }
    Wt__PeerMessage *message = wt__peer_message__unpack(NULL, size, payload);
    if (!message) {
        return FALSE;
    }
    this->transit_ms =
        LinkClock_receive(&this->clock, message->time, Clock_nowMs());
    this->events->message(this->owner, this, message);
    wt__peer_message__free_unpacked(message, NULL);
    return TRUE;
}

static void
on_read(struct bufferevent *stream, void *data)
{
    PeerLink_t *this = data;
    struct evbuffer *input = bufferevent_get_input(stream);
    this->received_ms = Clock_nowMs();
    while (this->events) {
        guint32 size = 0;
        if (evbuffer_copyout(input, &size, sizeof(size)) <
            (ev_ssize_t)sizeof(size)) {
            return;
        }
        size = ntohl(size);
        if (size > PEER_FRAME_MAX) {
            close_and_notify(this);
            return;
        }
        if (evbuffer_get_length(input) < HEADER_BYTES + size) {
            return;
        }
        const guint8 *frame =
            evbuffer_pullup(input, (ev_ssize_t)(HEADER_BYTES + size));
        if (!receive_message(this, frame, size)) {
            close_and_notify(this);
            return;
        }
        evbuffer_drain(input, HEADER_BYTES + size);
    }
}

static void
on_event(struct bufferevent *stream, short what, void *data)
{
    (void)stream;
    if (!(what & BEV_EVENT_CONNECTED)) {
        close_and_notify(data);
    }
}

static void
on_output(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
          void *data)
{
    (void)buffer;
    PeerLink_t *this = data;
    if (info->n_deleted > 0 || info->orig_size == 0) {
        this->sent_ms = Clock_nowMs();
    }
}

static PeerLink_t *
create_link(struct event_base *base, evutil_socket_t fd, GBytes *key,
            const PeerLinkEvents_t *events, void *owner)
{
    PeerLink_t *this = g_new0(PeerLink_t, 1);
    this->stream = bufferevent_socket_new(
        base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    this->free_timer = Clock_timer(base, on_free, this);
    this->key = g_bytes_ref(key);
    this->events = events;
    this->owner = owner;
    LinkClock_init(&this->clock, Clock_nowMs());
    bufferevent_setcb(this->stream, on_read, NULL, on_event, this);
    evbuffer_add_cb(bufferevent_get_output(this->stream), on_output, this);
    bufferevent_enable(this->stream, EV_READ | EV_WRITE);
    return this;
}

PeerLink_t *
PeerLink_accept(struct event_base *base, evutil_socket_t fd, GBytes *key,
                const PeerLinkEvents_t *events, void *owner)
{
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return create_link(base, fd, key, events, owner);
}

PeerLink_t *
PeerLink_connect(struct event_base *base, const Address_t *address,
                 GBytes *key, const PeerLinkEvents_t *events, void *owner)
{
    PeerLink_t *this = create_link(base, -1, key, events, owner);
    struct sockaddr_in socket_address = {.sin_family = AF_INET,
                                         .sin_port = htons(address->port)};
    inet_pton(AF_INET, address->host, &socket_address.sin_addr);
    this->outgoing = TRUE;
    bufferevent_socket_connect(this->stream,
                               (struct sockaddr *)&socket_address,
                               sizeof(socket_address));
    int on = 1;
    setsockopt(bufferevent_getfd(this->stream), IPPROTO_TCP, TCP_NODELAY, &on,
               sizeof(on));
    return this;
}

gsize
PeerLink_send(PeerLink_t *this, const Wt__PeerMessage *message)
{
    Wt__LinkTime time;
    Wt__PeerMessage stamped = *message;
    LinkClock_stamp(&this->clock, Clock_nowMs(), &time);
    stamped.time = &time;
    gsize size = wt__peer_message__get_packed_size(&stamped);
    g_autofree guint8 *frame = g_malloc(HEADER_BYTES + size);
    guint32 length = htonl((guint32)size);
    memcpy(frame, &length, sizeof(length));
    wt__peer_message__pack(&stamped, frame + HEADER_BYTES);
    PeerMac_compute(this->key, frame + HEADER_BYTES, size,
                    frame + sizeof(length));
    bufferevent_write(this->stream, frame, HEADER_BYTES + size);
    struct evbuffer *output = bufferevent_get_output(this->stream);
    if (evbuffer_get_length(output) > OUTPUT_MAX_BYTES) {
        close_and_notify(this);
    }
    return HEADER_BYTES + size;
}

gboolean
PeerLink_isReceiving(const PeerLink_t *this)
{
    struct evbuffer *input = bufferevent_get_input(this->stream);
    return evbuffer_get_length(input) > 0 &&
           Clock_nowMs() - this->received_ms < STALL_MS;
}

gboolean
PeerLink_isSending(const PeerLink_t *this)
{
    struct evbuffer *output = bufferevent_get_output(this->stream);
    return evbuffer_get_length(output) > LONG_OUTPUT_BYTES &&
           Clock_nowMs() - this->sent_ms < STALL_MS;
}

gint64
PeerLink_transitMs(const PeerLink_t *this)
{
    return this->transit_ms;
}

gboolean
PeerLink_isOutgoing(const PeerLink_t *this)
{
    return this->outgoing;
}
