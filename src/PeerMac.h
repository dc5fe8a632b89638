#ifndef HEADER_PeerMac
#define HEADER_PeerMac
/**
 * DOC: PeerMac
 *
 * The keyed hash that shows that a message between routers is of one that
 * knows their key, on links (PeerLink.h) and in datagrams (PeerDatagrams.h).
 */
#include <glib.h>

/** Bytes of the hash, 128 bits: more than can be guessed */
#define PEER_MAC_BYTES 16

/** PeerMac_make() - the hash of a message under the routers' key */
void PeerMac_make(GBytes *key, const guint8 *message, gsize size,
                  guint8 out[PEER_MAC_BYTES]);

/** PeerMac_isGood() - whether a hash is that of the message; in constant
 * time */
gboolean PeerMac_isGood(GBytes *key, const guint8 *message, gsize size,
                        const guint8 mac[PEER_MAC_BYTES]);

#endif
