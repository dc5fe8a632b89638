#ifndef HEADER_NativeParts
#define HEADER_NativeParts
/**
 * DOC: NativeParts
 *
 * The parts of a router on the project's own platform: what follows the log
 * and the instance list, records what may run only once, and gives orders to
 * engines.
 */
#include "Context.h"

/** struct NativeParts_t - opaque */
typedef struct NativeParts NativeParts_t;

/** NativeParts_create() - start them; the context must outlive them */
NativeParts_t *NativeParts_create(Context_t *context);

/** NativeParts_destroy() - free them; open calls are never answered */
void NativeParts_destroy(NativeParts_t *this);

/** NativeParts_take() - a message of a peer that is not about membership */
void NativeParts_take(NativeParts_t *this, Member_t *from,
                      const Wt__PeerMessage *message);

#endif
