#ifndef HEADER_PeerLink
#define HEADER_PeerLink
/**
 * DOC: PeerLink
 *
 * A TCP connection between two routers. A frame consists of a length, a
 * message authentication code and a PeerMessage. A frame with a wrong code
 * closes the link, so that only holders of the routers' key can send messages.
 * Until the first one was received, only a short one is waited for.
 *
 * A long message is sent in pieces, and only few of its bytes wait in the
 * connection at a time: a short message that is sent later, such as one with
 * the age of what the sender knows, passes it.
 */
#include <event2/event.h>
#include <glib.h>

#include "KeyTable.h"
#include "peer.pb-c.h"

/** Largest message of a frame, in bytes; a snapshot of 14,000 customers has 6
 * MB */
#define PEER_FRAME_MAX (32U << 20)

/** struct PeerLink_t - opaque */
typedef struct PeerLink PeerLink_t;

/**
 * struct PeerLinkEvents_t - callbacks of a link to its owner
 * @message: a message was received
 * @closed: the link has closed; it frees itself after the callback
 */
typedef struct {
    void (*message)(void *owner, PeerLink_t *link,
                    const Wt__PeerMessage *message);
    void (*closed)(void *owner, PeerLink_t *link);
} PeerLinkEvents_t;

/** PeerLink_connect() - open a link to a listening router */
PeerLink_t *PeerLink_connect(struct event_base *base, const Address_t *address,
                             GBytes *key, const PeerLinkEvents_t *events,
                             void *owner);

/** PeerLink_accept() - create a link on an accepted socket */
PeerLink_t *PeerLink_accept(struct event_base *base, evutil_socket_t fd,
                            GBytes *key, const PeerLinkEvents_t *events,
                            void *owner);

/** PeerLink_close() - close the link without calling closed() */
void PeerLink_close(PeerLink_t *this);

/**
 * PeerLink_send() - queue a message for sending
 *
 * Return: length of the frame in bytes
 */
gsize PeerLink_send(PeerLink_t *this, const Wt__PeerMessage *message);

/**
 * PeerLink_sendLong() - queue a message that later ones may overtake
 *
 * Sent whole, as by PeerLink_send(), if it is short or the peer is of an
 * earlier build.
 *
 * Return: length of the message in bytes
 */
gsize PeerLink_sendLong(PeerLink_t *this, const Wt__PeerMessage *message);

/** PeerLink_allowPieces() - the peer reads pieces */
void PeerLink_allowPieces(PeerLink_t *this);

/** PeerLink_isReceiving() - whether a part of a message has arrived, and some
 * of it lately */
gboolean PeerLink_isReceiving(const PeerLink_t *this);

/** PeerLink_isSending() - whether a long message is being sent, and the peer
 * has taken some of it lately */
gboolean PeerLink_isSending(const PeerLink_t *this);

/** PeerLink_transitMs() - longest time in ms since the message that is being
 * handled was sent; 0 if it is not known (LinkClock.h) */
gint64 PeerLink_transitMs(const PeerLink_t *this);

/** PeerLink_isOutgoing() - whether this router opened the connection */
gboolean PeerLink_isOutgoing(const PeerLink_t *this);

#endif
