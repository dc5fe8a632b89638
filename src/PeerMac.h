#ifndef HEADER_PeerMac
#define HEADER_PeerMac
/**
 * DOC: PeerMac
 *
 * Message authentication code that proves that the sender of a message between
 * routers has their shared key, on links (PeerLink.h) and in datagrams
 * (PeerDatagrams.h).
 */
#include <glib.h>

/** Length of the code; 128 bits are infeasible to guess */
#define PEER_MAC_BYTES 16

/** PeerMac_compute() - compute the code of a message with the routers' key */
void PeerMac_compute(GBytes *key, const guint8 *message, gsize size,
                     guint8 out[PEER_MAC_BYTES]);

/** PeerMac_verify() - whether a code is that of the message, in constant time
 */
gboolean PeerMac_verify(GBytes *key, const guint8 *message, gsize size,
                        const guint8 mac[PEER_MAC_BYTES]);

#endif
