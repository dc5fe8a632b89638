#ifndef HEADER_LoadShare
#define HEADER_LoadShare
/**
 * DOC: LoadShare
 *
 * Broadcasts this router's load and collects that of its peers: the open
 * requests at each upstream and the prompt tokens of those without a first
 * token, the prefixes that upstreams have read, and the pending transfers on
 * links. This covers upstreams that do not report these values themselves.
 * Loads are sent only in a full mesh. With more routers, each would see too
 * small a part of the others' load for the cost, so that routers rely on
 * learned waits instead (Upstream_waitUs()).
 */
#include "CacheStore.h"
#include "Membership.h"
#include "Policy.h"
#include "UpstreamSet.h"

/** struct LoadShare_t - opaque */
typedef struct LoadShare LoadShare_t;

/**
 * struct LoadShareSpec_t - dependencies, which must outlive the LoadShare_t
 * @upstreams: upstreams whose loads are shared
 * @membership: the other routers
 * @policy: learns which prefixes upstreams have read for peers
 * @store: store of cached prefixes, whose link's load is shared
 */
typedef struct {
    UpstreamSet_t *upstreams;
    Membership_t *membership;
    Policy_t *policy;
    CacheStore_t *store;
} LoadShareSpec_t;

/** LoadShare_create() - start to broadcast loads */
LoadShare_t *LoadShare_create(struct event_base *base,
                              const LoadShareSpec_t *spec);

/** LoadShare_destroy() - free it */
void LoadShare_destroy(LoadShare_t *this);

/** LoadShare_noteRead() - record that an upstream has read a prefix for
 * this router */
void LoadShare_noteRead(LoadShare_t *this, guint64 prefix,
                        const Upstream_t *upstream);

/** LoadShare_receive() - apply a peer's message */
void LoadShare_receive(LoadShare_t *this, const char *member,
                       const Wt__UpstreamLoads *message);

#endif
