#ifndef HEADER_LoadShare
#define HEADER_LoadShare
/**
 * DOC: LoadShare
 *
 * Routers tell each other what they have sent to each upstream and what it
 * has not begun to answer, which prefixes were read where, and what is under
 * way on links, where upstreams don't report that themselves. It is sent only
 * where all routers are linked with all: with more of them each sees too small
 * a part of the others' load for the cost, and learned waits have to do
 * (Upstream_waitUs()).
 */
#include "CacheStore.h"
#include "Membership.h"
#include "Policy.h"
#include "UpstreamSet.h"

/** struct LoadShare_t - opaque */
typedef struct LoadShare LoadShare_t;

/**
 * struct LoadShareSpec_t - what it needs; all must outlive it
 * @upstreams: whose loads are told
 * @membership: the other routers
 * @policy: learns what peers' requests have read
 * @store: of cached prefixes
 */
typedef struct {
    UpstreamSet_t *upstreams;
    Membership_t *membership;
    Policy_t *policy;
    CacheStore_t *store;
} LoadShareSpec_t;

/** LoadShare_create() - start to tell */
LoadShare_t *LoadShare_create(struct event_base *base,
                              const LoadShareSpec_t *spec);

/** LoadShare_destroy() - free it */
void LoadShare_destroy(LoadShare_t *this);

/** LoadShare_noteRead() - an upstream has read a prefix for this router */
void LoadShare_noteRead(LoadShare_t *this, guint64 prefix,
                        const Upstream_t *upstream);

/** LoadShare_take() - a peer's message */
void LoadShare_take(LoadShare_t *this, const char *member,
                    const Wt__UpstreamLoads *message);

#endif
