#ifndef HEADER_PeerDatagrams
#define HEADER_PeerDatagrams
/**
 * DOC: PeerDatagrams
 *
 * Sends single messages between any two routers without a link. Each message
 * is one datagram, authenticated with the peers' key. Datagrams may be lost,
 * so that a sender has to cope without a reply.
 */
#include <event2/event.h>
#include <netinet/in.h>

#include "KeyTable.h"
#include "peer.pb-c.h"

/** struct PeerDatagrams_t - opaque */
typedef struct PeerDatagrams PeerDatagrams_t;

/** PeerDatagramHandler_t - called for each authentic message */
typedef void (*PeerDatagramHandler_t)(void *owner,
                                      const Wt__PeerMessage *message,
                                      const struct sockaddr_in *from);

/**
 * PeerDatagrams_create() - create without a socket; what is sent is dropped
 * @key: key that all routers share
 */
PeerDatagrams_t *PeerDatagrams_create(struct event_base *base, GBytes *key);

/**
 * PeerDatagrams_open() - open the socket and receive datagrams
 * @listen: address and port to bind
 *
 * Return: FALSE with errno set if the port can't be bound; may be repeated
 */
gboolean PeerDatagrams_open(PeerDatagrams_t *this, const Address_t *listen);

/** PeerDatagrams_isOpen() - whether there is a socket */
gboolean PeerDatagrams_isOpen(const PeerDatagrams_t *this);

/**
 * PeerDatagrams_addHandler() - add a handler, which gets all messages
 * @handler: ignores messages that are not for it
 * @owner: argument of @handler; must outlive the socket or the last message
 */
void PeerDatagrams_addHandler(PeerDatagrams_t *this,
                              PeerDatagramHandler_t handler, void *owner);

/** PeerDatagrams_destroy() - close the socket and free its state */
void PeerDatagrams_destroy(PeerDatagrams_t *this);

/** PeerDatagrams_send() - send one datagram; drops a message that is too long
 * or can't be sent now */
void PeerDatagrams_send(const PeerDatagrams_t *this,
                        const struct sockaddr_in *to,
                        const Wt__PeerMessage *message);

/** PeerDatagrams_toSockaddr() - convert an address for socket calls */
struct sockaddr_in PeerDatagrams_toSockaddr(const Address_t *address);

#endif
