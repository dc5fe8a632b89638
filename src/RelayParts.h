#ifndef HEADER_RelayParts
#define HEADER_RelayParts
/**
 * DOC: RelayParts
 *
 * The parts of a router that relays requests on a platform: what follows
 * the platform's store, gives orders to engines, and answers the balancer.
 */
#include "Context.h"
#include "PlatformForm.h"

/** struct RelayParts_t - opaque */
typedef struct RelayParts RelayParts_t;

/** RelayParts_create() - start them; the context must outlive them */
RelayParts_t *RelayParts_create(Context_t *context,
                                const PlatformForm_t *form);

/** RelayParts_stop() - the router stops: leave what others can take over */
void RelayParts_stop(RelayParts_t *this);

/** RelayParts_reload() - the settings have changed */
void RelayParts_reload(RelayParts_t *this);

/** RelayParts_destroy() - free them; open calls are never answered */
void RelayParts_destroy(RelayParts_t *this);

/** RelayParts_introduce() - a router was linked just now */
void RelayParts_introduce(RelayParts_t *this, Member_t *member);

/** RelayParts_take() - a message of a peer that is not about membership */
void RelayParts_take(RelayParts_t *this, Member_t *from,
                     const Wt__PeerMessage *message);

#endif
