#ifndef HEADER_LoadShare
#define HEADER_LoadShare
/**
 * DOC: LoadShare
 *
 * Routers tell each other what they have sent to each upstream and what it
 * has not begun to answer, where upstreams don't report their load
 * themselves. It is sent only where all routers are linked with all: with
 * more of them each sees too small a part of the others' load for the cost,
 * and learned waits have to do (Upstream_waitUs()).
 */
#include "Membership.h"
#include "UpstreamSet.h"

/** struct LoadShare_t - opaque */
typedef struct LoadShare LoadShare_t;

/** LoadShare_create() - start to tell; all must outlive it */
LoadShare_t *LoadShare_create(struct event_base *base,
                              UpstreamSet_t *upstreams,
                              Membership_t *membership);

/** LoadShare_destroy() - free it */
void LoadShare_destroy(LoadShare_t *this);

/** LoadShare_take() - a peer's message */
void LoadShare_take(LoadShare_t *this, const char *member,
                    const Wt__UpstreamLoads *message);

#endif
