#ifndef HEADER_StopPlans
#define HEADER_StopPlans
/**
 * DOC: StopPlans
 *
 * Applies declared stop plans: during the `lead` before the planned time,
 * every router that has the plan in force marks the upstream as leaving.
 * Requests that are open at the upstream continue to their end.
 */
#include <event2/event.h>

#include "ConfigStore.h"
#include "Membership.h"
#include "UpstreamSet.h"

/** struct StopPlans_t - opaque */
typedef struct StopPlans StopPlans_t;

/** StopPlans_create() - start applying plans; the arguments must outlive the
 * object */
StopPlans_t *StopPlans_create(struct event_base *base,
                              const ConfigStore_t *config,
                              UpstreamSet_t *upstreams,
                              Membership_t *membership);

/** StopPlans_destroy() - free it */
void StopPlans_destroy(StopPlans_t *this);

#endif
