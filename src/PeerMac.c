#include "PeerMac.h"

#include <sodium.h>

void
PeerMac_compute(GBytes *key, const guint8 *message, gsize size,
                guint8 out[PEER_MAC_BYTES])
{
    gsize key_size = 0;
    const guint8 *bytes = g_bytes_get_data(key, &key_size);
    crypto_generichash(out, PEER_MAC_BYTES, message, size, bytes, key_size);
}

gboolean
PeerMac_verify(GBytes *key, const guint8 *message, gsize size,
               const guint8 mac[PEER_MAC_BYTES])
{
    guint8 expected[PEER_MAC_BYTES];
    PeerMac_compute(key, message, size, expected);
    return sodium_memcmp(expected, mac, PEER_MAC_BYTES) == 0;
}
