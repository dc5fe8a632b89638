#ifndef HEADER_ForwardProof
#define HEADER_ForwardProof
/**
 * DOC: ForwardProof
 *
 * The value of a header which proves that a request comes from another router:
 * a code that only those who have the routers' shared key can compute. It is
 * the same for all requests, and is passed to other routers only.
 */
#include <glib.h>

/** Hex digits of a proof */
#define FORWARD_PROOF_LENGTH 32

/**
 * ForwardProof_make() - compute the proof
 * @seal: key that the routers share
 * @out: hex digits of the proof and a NUL
 */
void ForwardProof_make(GBytes *seal, char out[FORWARD_PROOF_LENGTH + 1]);

/** ForwardProof_isValid() - whether a text is the proof, in constant time */
gboolean ForwardProof_isValid(const char *proof, const char *text);

#endif
