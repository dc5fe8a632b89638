#include "testing.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include "PeerDatagrams.h"

static struct event_base *base;
static guint64 received_ticket;

static void
on_message(void *owner, const Wt__PeerMessage *message,
           const struct sockaddr_in *from)
{
    (void)owner;
    (void)from;
    received_ticket = message->place_news->ticket;
    event_base_loopbreak(base);
}

static PeerDatagrams_t *
open_datagrams(const Address_t *address, const char *key)
{
    g_autoptr(GBytes) bytes = g_bytes_new(key, 32);
    PeerDatagrams_t *datagrams = PeerDatagrams_create(base, bytes);
    PeerDatagrams_addHandler(datagrams, on_message, NULL);
    if (!PeerDatagrams_open(datagrams, address)) {
        ck_assert_int_eq(errno, EADDRINUSE);
    }
    return datagrams;
}

/* Returns an address whose port was free a moment ago. */
static Address_t
free_address(void)
{
    Address_t address = {{0}, 0};
    g_strlcpy(address.host, OwnHost_get(), sizeof(address.host));
    struct sockaddr_in socket_address = PeerDatagrams_toSockaddr(&address);
    socklen_t size = sizeof(socket_address);
    int fd = socket(AF_INET, SOCK_DGRAM, 0);
    ck_assert_int_eq(bind(fd, (struct sockaddr *)&socket_address, size), 0);
    getsockname(fd, (struct sockaddr *)&socket_address, &size);
    close(fd);
    address.port = ntohs(socket_address.sin_port);
    return address;
}

static void
send_ticket(const PeerDatagrams_t *from, const Address_t *to, guint64 ticket)
{
    struct sockaddr_in socket_address = PeerDatagrams_toSockaddr(to);
    Wt__PlaceNews news = WT__PLACE_NEWS__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    news.ticket = ticket;
    message.body_case = WT__PEER_MESSAGE__BODY_PLACE_NEWS;
    message.place_news = &news;
    PeerDatagrams_send(from, &socket_address, &message);
}

static const char key[] = "0123456789abcdef0123456789abcdef";
static const char other_key[] = "another key, another key, anoth!";

START_TEST(only_authentic_datagrams_are_received)
{
    base = event_base_new();
    Address_t receiver_address = free_address();
    PeerDatagrams_t *receiver = open_datagrams(&receiver_address, key);
    Address_t peer_address = free_address();
    PeerDatagrams_t *peer = open_datagrams(&peer_address, key);
    Address_t stranger_address = free_address();
    PeerDatagrams_t *stranger = open_datagrams(&stranger_address, other_key);
    int raw = socket(AF_INET, SOCK_DGRAM, 0);
    struct sockaddr_in socket_address =
        PeerDatagrams_toSockaddr(&receiver_address);
    sendto(raw, "short", 5, 0, (struct sockaddr *)&socket_address,
           sizeof(socket_address));
    send_ticket(stranger, &receiver_address, 6);
    send_ticket(peer, &receiver_address, 7);
    event_base_dispatch(base);
    ck_assert_uint_eq(received_ticket, 7);
    close(raw);
    PeerDatagrams_destroy(receiver);
    PeerDatagrams_destroy(peer);
    PeerDatagrams_destroy(stranger);
    event_base_free(base);
}
END_TEST

START_TEST(port_in_use_is_opened_once_it_is_free)
{
    base = event_base_new();
    Address_t address = free_address();
    PeerDatagrams_t *first = open_datagrams(&address, key);
    PeerDatagrams_t *second = open_datagrams(&address, key);
    ck_assert(PeerDatagrams_isOpen(first));
    ck_assert(!PeerDatagrams_isOpen(second));
    send_ticket(second, &address, 8);
    PeerDatagrams_destroy(first);
    ck_assert(PeerDatagrams_open(second, &address));
    send_ticket(second, &address, 9);
    event_base_dispatch(base);
    ck_assert_uint_eq(received_ticket, 9);
    PeerDatagrams_destroy(second);
    event_base_free(base);
}
END_TEST

TESTING_MAIN("PeerDatagrams", only_authentic_datagrams_are_received,
             port_in_use_is_opened_once_it_is_free)
