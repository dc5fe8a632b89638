#include "ForwardProof.h"

#include <sodium.h>
#include <string.h>

#include "PeerMac.h"

void
ForwardProof_make(GBytes *seal, char out[FORWARD_PROOF_LENGTH + 1])
{
    static const guint8 purpose[] = "forwards";
    guint8 code[PEER_MAC_BYTES];
    G_STATIC_ASSERT(FORWARD_PROOF_LENGTH == 2 * PEER_MAC_BYTES);
    PeerMac_compute(seal, purpose, sizeof(purpose), code);
    sodium_bin2hex(out, FORWARD_PROOF_LENGTH + 1, code, sizeof(code));
}

gboolean
ForwardProof_isValid(const char *proof, const char *text)
{
    return strlen(text) == FORWARD_PROOF_LENGTH &&
           sodium_memcmp(proof, text, FORWARD_PROOF_LENGTH) == 0;
}
