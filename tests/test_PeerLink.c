#include "testing.h"

#include <arpa/inet.h>
#include <event2/util.h>
#include <string.h>
#include <sys/socket.h>

#include "Clock.h"
#include "PeerLink.h"

#define KEY_BYTES 32
/* Far more than the sockets of a pair hold. */
#define LONG_BYTES 4000000
#define SOCKET_BYTES 32768
#define LONGS 10
#define SHORT_AGE 7

typedef struct {
    struct event_base *base;
    PeerLink_t *sender;
    PeerLink_t *receiver;
    guint longs;  /* whole long messages received */
    guint shorts; /* short messages received */
    guint longs_before_short;
    gint64 transit_ms; /* of the last message */
    gboolean closed;
} Pair_t;

static Pair_t pair;

static void
on_message(void *owner, PeerLink_t *link, const Wt__PeerMessage *message)
{
    (void)owner;
    if (link != pair.receiver) {
        return;
    }
    pair.transit_ms = PeerLink_transitMs(link);
    if (message->body_case == WT__PEER_MESSAGE__BODY_TOPIC_PART) {
        ck_assert_uint_eq(message->topic_part->records[0]->value.len,
                          LONG_BYTES);
        pair.longs++;
        return;
    }
    if (pair.shorts == 0) {
        pair.longs_before_short = pair.longs;
    }
    pair.shorts++;
}

static void
on_closed(void *owner, PeerLink_t *link)
{
    (void)owner;
    (void)link;
    pair.closed = TRUE;
}

static const PeerLinkEvents_t events = {.message = on_message,
                                        .closed = on_closed};

static void
begin(gboolean pieces)
{
    static const guint8 bytes[KEY_BYTES] = {1};
    g_autoptr(GBytes) key = g_bytes_new_static(bytes, KEY_BYTES);
    int size = SOCKET_BYTES;
    evutil_socket_t sockets[2];
    pair = (Pair_t){.base = event_base_new()};
    ck_assert_int_eq(evutil_socketpair(AF_UNIX, SOCK_STREAM, 0, sockets), 0);
    for (guint i = 0; i < G_N_ELEMENTS(sockets); i++) {
        setsockopt(sockets[i], SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
        evutil_make_socket_nonblocking(sockets[i]);
    }
    pair.sender = PeerLink_accept(pair.base, sockets[0], key, &events, &pair);
    pair.receiver =
        PeerLink_accept(pair.base, sockets[1], key, &events, &pair);
    if (pieces) {
        PeerLink_allowPieces(pair.sender);
    }
}

/* Returns the socket of a peer that does not know the key. */
static evutil_socket_t
begin_with_stranger(void)
{
    static const guint8 bytes[KEY_BYTES] = {1};
    g_autoptr(GBytes) key = g_bytes_new_static(bytes, KEY_BYTES);
    evutil_socket_t sockets[2];
    pair = (Pair_t){.base = event_base_new()};
    ck_assert_int_eq(evutil_socketpair(AF_UNIX, SOCK_STREAM, 0, sockets), 0);
    evutil_make_socket_nonblocking(sockets[0]);
    pair.receiver =
        PeerLink_accept(pair.base, sockets[0], key, &events, &pair);
    return sockets[1];
}

/* A link that has closed frees itself. */
static void
end_with_stranger(void)
{
    event_base_loop(pair.base, EVLOOP_NONBLOCK);
    event_base_free(pair.base);
}

static void
end(void)
{
    PeerLink_close(pair.sender);
    PeerLink_close(pair.receiver);
    event_base_loop(pair.base, EVLOOP_NONBLOCK);
    event_base_free(pair.base);
}

static void
run_until(guint longs, guint shorts)
{
    while (pair.longs < longs || pair.shorts < shorts) {
        event_base_loop(pair.base, EVLOOP_ONCE);
    }
}

static void
send_long(void)
{
    g_autofree guint8 *value = g_malloc0(LONG_BYTES);
    Wt__TopicRecord record = WT__TOPIC_RECORD__INIT;
    Wt__TopicRecord *records[] = {&record};
    Wt__TopicPart part = WT__TOPIC_PART__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    record.value.data = value;
    record.value.len = LONG_BYTES;
    part.records = records;
    part.n_records = 1;
    message.body_case = WT__PEER_MESSAGE__BODY_TOPIC_PART;
    message.topic_part = &part;
    PeerLink_sendLong(pair.sender, &message);
}

static void
send_short(PeerLink_t *link)
{
    Wt__ConfigCurrent current = WT__CONFIG_CURRENT__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    current.age_ms = SHORT_AGE;
    message.body_case = WT__PEER_MESSAGE__BODY_CONFIG_CURRENT;
    message.config_current = &current;
    PeerLink_send(link, &message);
}

/* As a hello, the first message of each link. */
static void
begin_and_greet(gboolean pieces)
{
    begin(pieces);
    send_short(pair.sender);
    run_until(0, 1);
    pair.shorts = 0;
    pair.longs_before_short = 0;
}

/* Ages of the configuration waited behind configurations. */
START_TEST(short_message_passes_long_ones)
{
    begin(TRUE);
    send_long();
    send_long();
    ck_assert(PeerLink_isSending(pair.sender));
    send_short(pair.sender);
    run_until(2, 1);
    ck_assert_uint_eq(pair.longs_before_short, 0);
    ck_assert(!PeerLink_isSending(pair.sender));
    ck_assert(!PeerLink_isReceiving(pair.receiver));
    end();
}
END_TEST

START_TEST(peer_of_an_earlier_build_gets_whole_messages_in_order)
{
    begin_and_greet(FALSE);
    send_long();
    send_short(pair.sender);
    run_until(1, 1);
    ck_assert_uint_eq(pair.longs_before_short, 1);
    end();
}
END_TEST

START_TEST(short_messages_keep_their_order_beside_pieces)
{
    begin(TRUE);
    for (guint i = 0; i < LONGS; i++) {
        send_long();
        send_short(pair.sender);
        run_until(0, i + 1);
    }
    run_until(LONGS, LONGS);
    ck_assert(!pair.closed);
    end();
}
END_TEST

START_TEST(message_that_waited_is_as_old_as_its_wait)
{
    const gint64 wait_ms = 300;
    begin(FALSE);
    send_short(pair.receiver);
    event_base_loop(pair.base, EVLOOP_ONCE);
    event_base_loop(pair.base, EVLOOP_ONCE);
    send_short(pair.sender);
    run_until(0, 1);
    ck_assert_int_lt(pair.transit_ms, wait_ms);
    send_short(pair.sender);
    g_usleep((gulong)wait_ms * CLOCK_US_PER_MS);
    run_until(0, 2);
    ck_assert_int_ge(pair.transit_ms, wait_ms);
    end();
}
END_TEST

static void
send_piece(const guint8 *bytes, gsize length, gboolean last)
{
    Wt__Piece piece = WT__PIECE__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    piece.bytes.data = (guint8 *)bytes;
    piece.bytes.len = length;
    piece.last = last;
    message.body_case = WT__PEER_MESSAGE__BODY_PIECE;
    message.piece = &piece;
    PeerLink_send(pair.sender, &message);
}

START_TEST(pieces_that_form_no_message_close_the_link)
{
    static const guint8 noise[] = {0xff, 0xff, 0xff};
    begin(TRUE);
    send_piece(noise, sizeof(noise), TRUE);
    while (!pair.closed) {
        event_base_loop(pair.base, EVLOOP_ONCE);
    }
    end();
}
END_TEST

START_TEST(piece_within_pieces_closes_the_link)
{
    Wt__Piece piece = WT__PIECE__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    piece.last = TRUE;
    message.body_case = WT__PEER_MESSAGE__BODY_PIECE;
    message.piece = &piece;
    guint8 bytes[64];
    gsize length = wt__peer_message__pack(&message, bytes);
    begin(TRUE);
    send_piece(bytes, length, TRUE);
    while (!pair.closed) {
        event_base_loop(pair.base, EVLOOP_ONCE);
    }
    end();
}
END_TEST

/* The memory of a router was filled by whoever reached its port. */
START_TEST(long_frame_of_an_unproved_peer_closes_the_link)
{
    guint32 length = htonl(PEER_FRAME_MAX);
    evutil_socket_t stranger = begin_with_stranger();
    ck_assert_int_eq(send(stranger, &length, sizeof(length), 0),
                     sizeof(length));
    for (guint i = 0; i < 10 && !pair.closed; i++) {
        event_base_loop(pair.base, EVLOOP_NONBLOCK);
    }
    ck_assert(pair.closed);
    evutil_closesocket(stranger);
    end_with_stranger();
}
END_TEST

/* A link without a connection counted as one that was being set up, for ever.
 */
START_TEST(link_whose_connection_fails_at_once_is_closed)
{
    /* The kernel refuses connections to the broadcast address at once. */
    Address_t nowhere = {"255.255.255.255", 9};
    static const guint8 bytes[KEY_BYTES] = {1};
    g_autoptr(GBytes) key = g_bytes_new_static(bytes, KEY_BYTES);
    pair = (Pair_t){.base = event_base_new()};
    PeerLink_connect(pair.base, &nowhere, key, &events, &pair);
    ck_assert(!pair.closed);
    for (guint i = 0; i < 10 && !pair.closed; i++) {
        event_base_loop(pair.base, EVLOOP_NONBLOCK);
    }
    ck_assert(pair.closed);
    event_base_loop(pair.base, EVLOOP_NONBLOCK);
    event_base_free(pair.base);
}
END_TEST

TESTING_MAIN("PeerLink", short_message_passes_long_ones,
             peer_of_an_earlier_build_gets_whole_messages_in_order,
             short_messages_keep_their_order_beside_pieces,
             message_that_waited_is_as_old_as_its_wait,
             pieces_that_form_no_message_close_the_link,
             piece_within_pieces_closes_the_link,
             long_frame_of_an_unproved_peer_closes_the_link,
             link_whose_connection_fails_at_once_is_closed)
