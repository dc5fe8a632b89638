#ifndef HEADER_PeerDatagrams
#define HEADER_PeerDatagrams
/**
 * DOC: PeerDatagrams
 *
 * Single messages between any two routers, without a link between them: each
 * one datagram, authenticated with the peers' key. They may be lost; whoever
 * sends one must do without an answer.
 */
#include <event2/event.h>
#include <netinet/in.h>

#include "KeyTable.h"
#include "peer.pb-c.h"

/** struct PeerDatagrams_t - opaque */
typedef struct PeerDatagrams PeerDatagrams_t;

/** PeerDatagramTake_t - an authentic message came */
typedef void (*PeerDatagramTake_t)(void *owner, const Wt__PeerMessage *message,
                                   const struct sockaddr_in *from);

/**
 * PeerDatagrams_create() - listen
 * @listen: address and port
 * @key: that all routers share
 *
 * Return: NULL where the port can't be had
 */
PeerDatagrams_t *PeerDatagrams_create(struct event_base *base,
                                      const Address_t *listen, GBytes *key,
                                      GError **error);

/**
 * PeerDatagrams_listen() - hear all messages, beside those who do already
 * @take: passes over what is not for it
 * @owner: of @take; must outlive the socket or the last message
 */
void PeerDatagrams_listen(PeerDatagrams_t *this, PeerDatagramTake_t take,
                          void *owner);

/** PeerDatagrams_destroy() - free it */
void PeerDatagrams_destroy(PeerDatagrams_t *this);

/** PeerDatagrams_send() - send one; what does not go out is lost */
void PeerDatagrams_send(const PeerDatagrams_t *this,
                        const struct sockaddr_in *to,
                        const Wt__PeerMessage *message);

/** PeerDatagrams_address() - an address in the form of the socket's calls */
struct sockaddr_in PeerDatagrams_address(const Address_t *address);

#endif
