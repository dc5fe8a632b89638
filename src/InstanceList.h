#ifndef HEADER_InstanceList
#define HEADER_InstanceList
/**
 * DOC: InstanceList
 *
 * Polls the platform's list of live and leaving instances. The list lags
 * behind, so it may mark an upstream as leaving, but never clears that mark.
 */
#include <event2/event.h>

#include "KeyTable.h"
#include "Membership.h"
#include "UpstreamSet.h"

/** struct InstanceList_t - opaque */
typedef struct InstanceList InstanceList_t;

/**
 * InstanceList_create() - start to poll the list
 * @poll_ms: mean time between two reads
 * @upstreams: their incarnation and leaving state are updated; must outlive it
 * @membership: receives the routers' peer addresses as seeds and is notified
 *     of changed upstreams; must outlive it
 */
InstanceList_t *InstanceList_create(struct event_base *base,
                                    const Address_t *address, gint64 poll_ms,
                                    UpstreamSet_t *upstreams,
                                    Membership_t *membership);

/** InstanceList_destroy() - stop polling and free it */
void InstanceList_destroy(InstanceList_t *this);

#endif
