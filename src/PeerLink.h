#ifndef HEADER_PeerLink
#define HEADER_PeerLink
/**
 * DOC: PeerLink
 *
 * One TCP connection between two routers: frames of a length, a keyed hash
 * and a PeerMessage. A frame whose hash is wrong ends the link, so that only
 * who knows the routers' key can speak.
 */
#include <event2/event.h>
#include <glib.h>

#include "KeyTable.h"
#include "peer.pb-c.h"

/** Largest frame; a snapshot of 14,000 customers has 6 MB */
#define PEER_FRAME_MAX (32U << 20)

/** struct PeerLink_t - opaque */
typedef struct PeerLink PeerLink_t;

/**
 * struct PeerLinkEvents_t - what a link tells its owner
 * @message: a message came
 * @closed: the link has ended; it frees itself afterwards
 */
typedef struct {
    void (*message)(void *owner, PeerLink_t *link,
                    const Wt__PeerMessage *message);
    void (*closed)(void *owner, PeerLink_t *link);
} PeerLinkEvents_t;

/** PeerLink_connect() - a link to a listening router */
PeerLink_t *PeerLink_connect(struct event_base *base, const Address_t *address,
                             GBytes *key, const PeerLinkEvents_t *events,
                             void *owner);

/** PeerLink_accept() - a link on an accepted socket */
PeerLink_t *PeerLink_accept(struct event_base *base, evutil_socket_t fd,
                            GBytes *key, const PeerLinkEvents_t *events,
                            void *owner);

/** PeerLink_close() - end it; closed() is not called */
void PeerLink_close(PeerLink_t *this);

/**
 * PeerLink_send() - send a message
 *
 * Return: bytes of the frame
 */
gsize PeerLink_send(PeerLink_t *this, const Wt__PeerMessage *message);

/** PeerLink_isOutgoing() - whether this router made the connection */
gboolean PeerLink_isOutgoing(const PeerLink_t *this);

#endif
