#ifndef HEADER_RelayParts
#define HEADER_RelayParts
/**
 * DOC: RelayParts
 *
 * The modules of a router that relays requests on a platform: creates those
 * that follow the platform's store, give orders to engines, probe upstreams
 * and share state with peers, and passes peers' messages to them.
 */
#include "Context.h"
#include "PlatformForm.h"

/** struct RelayParts_t - opaque */
typedef struct RelayParts RelayParts_t;

/** RelayParts_create() - create and start the modules; @context must outlive
 * them */
RelayParts_t *RelayParts_create(Context_t *context,
                                const PlatformForm_t *form);

/** RelayParts_stop() - the router is stopping: release work that other routers
 * can take over */
void RelayParts_stop(RelayParts_t *this);

/** RelayParts_reload() - apply changed settings */
void RelayParts_reload(RelayParts_t *this);

/** RelayParts_destroy() - free the modules; the callbacks of open calls are
 * not called */
void RelayParts_destroy(RelayParts_t *this);

/** RelayParts_syncPeer() - send the current state to a peer that just
 * connected */
void RelayParts_syncPeer(RelayParts_t *this, Member_t *member);

/** RelayParts_receive() - process a peer's message that is not about
 * membership */
void RelayParts_receive(RelayParts_t *this, Member_t *from,
                        const Wt__PeerMessage *message);

#endif
