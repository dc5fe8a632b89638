#include "PeerLink.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/tcp.h>
#include <string.h>

#include "Clock.h"
#include "DescriptorReserve.h"
#include "LinkClock.h"
#include "OutgoingSocket.h"
#include "PeerMac.h"

#define HEADER_BYTES (sizeof(guint32) + PEER_MAC_BYTES)
/* Unsent bytes above which a link is closed, because its peer has stopped
 * reading. */
#define OUTPUT_MAX_BYTES (64U << 20)
/* A transfer without a byte for this time has stalled. */
#define STALL_MS 500
/* Unsent bytes of short messages are fewer. */
#define LONG_OUTPUT_BYTES 16384
/* Bytes of a piece, 7 ms of a link of 10 Mbit/s. The next one is queued when
 * fewer bytes wait in the output; the kernel keeps no more of them either. */
#define PIECE_BYTES 8192
/* Largest first message, before which nobody has proved to know the key; a
 * hello has some hundred bytes. */
#define FIRST_FRAME_MAX 16384

struct PeerLink {
    struct bufferevent *stream;
    struct event *free_timer;
    GBytes *key;
    const PeerLinkEvents_t *events; /* NULL after the link is closed */
    void *owner;
    gboolean outgoing;
    gboolean is_proved; /* the peer knows the key */
    gint64 received_ms; /* when bytes were last received; 0 for never */
    gint64 sent_ms; /* when bytes were last sent, or the output last began */
    LinkClock_t clock;
    gint64 transit_ms;     /* of the message being handled, at most */
    gboolean reads_pieces; /* the peer does */
    GQueue *outgoing_long; /* GBytes, messages that are sent in pieces */
    gsize piece_offset;    /* bytes of the first of them that were sent */
    GByteArray *assembled; /* of the message that arrives in pieces */
};

static void
free_bytes(gpointer bytes)
{
    g_bytes_unref(bytes);
}

static void
on_free(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    PeerLink_t *this = data;
    bufferevent_free(this->stream);
    event_free(this->free_timer);
    g_bytes_unref(this->key);
    g_queue_free_full(this->outgoing_long, free_bytes);
    g_byte_array_unref(this->assembled);
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

static void
handle_message(PeerLink_t *this, const Wt__PeerMessage *message)
{
    this->transit_ms =
        LinkClock_receive(&this->clock, message->time, Clock_nowMs());
    this->events->message(this->owner, this, message);
}

static gboolean
handle_assembled(PeerLink_t *this)
{
    Wt__PeerMessage *message = wt__peer_message__unpack(
        NULL, this->assembled->len, this->assembled->data);
    g_byte_array_set_size(this->assembled, 0);
    gboolean is_valid =
        message && message->body_case != WT__PEER_MESSAGE__BODY_PIECE;
    if (is_valid) {
        handle_message(this, message);
    }
    if (message) {
        wt__peer_message__free_unpacked(message, NULL);
    }
    return is_valid;
}

static gboolean
receive_piece(PeerLink_t *this, const Wt__Piece *piece)
{
    if (piece->bytes.len > PEER_FRAME_MAX - this->assembled->len) {
        return FALSE;
    }
    g_byte_array_append(this->assembled, piece->bytes.data,
                        (guint)piece->bytes.len);
    return !piece->last || handle_assembled(this);
}

static gboolean
receive_message(PeerLink_t *this, const guint8 *frame, gsize size)
{
    const guint8 *payload = frame + HEADER_BYTES;
    if (!PeerMac_verify(this->key, payload, size, frame + sizeof(guint32))) {
        return FALSE;
    }
    this->is_proved = TRUE;
    Wt__PeerMessage *message = wt__peer_message__unpack(NULL, size, payload);
    if (!message) {
        return FALSE;
    }
    gboolean is_valid = TRUE;
    if (message->body_case == WT__PEER_MESSAGE__BODY_PIECE) {
        is_valid = receive_piece(this, message->piece);
    }
    else {
        handle_message(this, message);
    }
    wt__peer_message__free_unpacked(message, NULL);
    return is_valid;
}

static gsize
frame_max(const PeerLink_t *this)
{
    return this->is_proved ? PEER_FRAME_MAX : FIRST_FRAME_MAX;
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
        if (size > frame_max(this)) {
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

/* Without the limit the kernel takes megabytes, behind which any later message
 * waits. Where it can't be set, the connection works all the same. */
static void
limit_unsent(evutil_socket_t fd)
{
    int bytes = PIECE_BYTES;
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &bytes,
                     sizeof(bytes));
}

static void
on_event(struct bufferevent *stream, short what, void *data)
{
    if (!(what & BEV_EVENT_CONNECTED)) {
        close_and_notify(data);
        return;
    }
    limit_unsent(bufferevent_getfd(stream));
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

static void
write_frame(PeerLink_t *this, const Wt__PeerMessage *message)
{
    gsize size = wt__peer_message__get_packed_size(message);
    g_autofree guint8 *frame = g_malloc(HEADER_BYTES + size);
    guint32 length = htonl((guint32)size);
    memcpy(frame, &length, sizeof(length));
    wt__peer_message__pack(message, frame + HEADER_BYTES);
    PeerMac_compute(this->key, frame + HEADER_BYTES, size,
                    frame + sizeof(length));
    bufferevent_write(this->stream, frame, HEADER_BYTES + size);
}

static void
send_piece(PeerLink_t *this)
{
    GBytes *whole = g_queue_peek_head(this->outgoing_long);
    gsize length = 0;
    const guint8 *bytes = g_bytes_get_data(whole, &length);
    gsize count = MIN(length - this->piece_offset, PIECE_BYTES);
    Wt__Piece piece = WT__PIECE__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    piece.bytes.data = (guint8 *)bytes + this->piece_offset;
    piece.bytes.len = count;
    this->piece_offset += count;
    piece.last = this->piece_offset == length;
    message.body_case = WT__PEER_MESSAGE__BODY_PIECE;
    message.piece = &piece;
    write_frame(this, &message);
    if (piece.last) {
        this->piece_offset = 0;
        g_bytes_unref(g_queue_pop_head(this->outgoing_long));
    }
}

static void
send_pieces(PeerLink_t *this)
{
    struct evbuffer *output = bufferevent_get_output(this->stream);
    while (this->events && !g_queue_is_empty(this->outgoing_long) &&
           evbuffer_get_length(output) <= PIECE_BYTES) {
        send_piece(this);
    }
}

static void
on_written(struct bufferevent *stream, void *data)
{
    (void)stream;
    send_pieces(data);
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
    this->outgoing_long = g_queue_new();
    this->assembled = g_byte_array_new();
    LinkClock_init(&this->clock, Clock_nowMs());
    bufferevent_setcb(this->stream, on_read, on_written, on_event, this);
    bufferevent_setwatermark(this->stream, EV_WRITE, PIECE_BYTES, 0);
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
    SocketBuffers_limit(fd, SOCKET_PEER);
    limit_unsent(fd);
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
    (void)DescriptorReserve_release();
    if (bufferevent_socket_connect(this->stream,
                                   (struct sockaddr *)&socket_address,
                                   sizeof(socket_address)) != 0) {
        bufferevent_trigger_event(this->stream, BEV_EVENT_ERROR,
                                  BEV_TRIG_DEFER_CALLBACKS);
    }
    OutgoingSocket_prepare(this->stream, SOCKET_PEER);
    int on = 1;
    setsockopt(bufferevent_getfd(this->stream), IPPROTO_TCP, TCP_NODELAY, &on,
               sizeof(on));
    return this;
}

/* The time is that at which the message is queued. */
static Wt__PeerMessage
stamp(const PeerLink_t *this, const Wt__PeerMessage *message,
      Wt__LinkTime *time)
{
    Wt__PeerMessage stamped = *message;
    LinkClock_stamp(&this->clock, Clock_nowMs(), time);
    stamped.time = time;
    return stamped;
}

static gsize
count_unsent(const PeerLink_t *this)
{
    gsize bytes = evbuffer_get_length(bufferevent_get_output(this->stream));
    for (const GList *at = this->outgoing_long->head; at; at = at->next) {
        bytes += g_bytes_get_size(at->data);
    }
    return bytes;
}

static void
check_unsent(PeerLink_t *this)
{
    if (count_unsent(this) > OUTPUT_MAX_BYTES) {
        close_and_notify(this);
    }
}

gsize
PeerLink_send(PeerLink_t *this, const Wt__PeerMessage *message)
{
    Wt__LinkTime time;
    Wt__PeerMessage stamped = stamp(this, message, &time);
    write_frame(this, &stamped);
    check_unsent(this);
    return HEADER_BYTES + wt__peer_message__get_packed_size(&stamped);
}

gsize
PeerLink_sendLong(PeerLink_t *this, const Wt__PeerMessage *message)
{
    Wt__LinkTime time;
    Wt__PeerMessage stamped = stamp(this, message, &time);
    gsize size = wt__peer_message__get_packed_size(&stamped);
    if (!this->reads_pieces || size <= PIECE_BYTES) {
        return PeerLink_send(this, message);
    }
    guint8 *bytes = g_malloc(size);
    wt__peer_message__pack(&stamped, bytes);
    g_queue_push_tail(this->outgoing_long, g_bytes_new_take(bytes, size));
    send_pieces(this);
    check_unsent(this);
    return size;
}

void
PeerLink_allowPieces(PeerLink_t *this)
{
    this->reads_pieces = TRUE;
}

gboolean
PeerLink_isReceiving(const PeerLink_t *this)
{
    struct evbuffer *input = bufferevent_get_input(this->stream);
    gsize bytes = evbuffer_get_length(input) + this->assembled->len;
    return bytes > 0 && Clock_nowMs() - this->received_ms < STALL_MS;
}

gboolean
PeerLink_isSending(const PeerLink_t *this)
{
    gboolean is_long = count_unsent(this) > LONG_OUTPUT_BYTES;
    return is_long && Clock_nowMs() - this->sent_ms < STALL_MS;
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
