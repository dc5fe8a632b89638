#ifndef HEADER_NativeParts
#define HEADER_NativeParts
/**
 * DOC: NativeParts
 *
 * The parts of a router on the project's native platform. They follow the log
 * and the instance list, record claims of requests that may run only once, and
 * send orders to engines.
 */
#include "Context.h"

/** struct NativeParts_t - opaque */
typedef struct NativeParts NativeParts_t;

/** NativeParts_create() - start the parts; @context must outlive them */
NativeParts_t *NativeParts_create(Context_t *context);

/** NativeParts_destroy() - free the parts; callbacks of open calls are not
 * called */
void NativeParts_destroy(NativeParts_t *this);

/** NativeParts_receive() - receive a peer's message about configuration or
 * claims; ignores others */
void NativeParts_receive(NativeParts_t *this, Member_t *from,
                         const Wt__PeerMessage *message);

#endif
