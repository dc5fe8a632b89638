#ifndef HEADER_InstanceList
#define HEADER_InstanceList
/**
 * DOC: InstanceList
 *
 * Reads the platform's list of live and leaving instances. The list lags, so
 * it is a hint: it may start a leaving and never ends one.
 */
#include <event2/event.h>

#include "KeyTable.h"
#include "Membership.h"
#include "UpstreamSet.h"

/** struct InstanceList_t - opaque */
typedef struct InstanceList InstanceList_t;

/**
 * InstanceList_create() - start to read
 * @poll_ms: time between two reads
 * @upstreams: told of what is read; must outlive it
 * @membership: told of routers' addresses and of news; must outlive it
 */
InstanceList_t *InstanceList_create(struct event_base *base,
                                    const Address_t *address, gint64 poll_ms,
                                    UpstreamSet_t *upstreams,
                                    Membership_t *membership);

/** InstanceList_destroy() - stop and free it */
void InstanceList_destroy(InstanceList_t *this);

#endif
