#ifndef HEADER_StopPlans
#define HEADER_StopPlans
/**
 * DOC: StopPlans
 *
 * Carries out declared stop plans: from `lead` before its time on, an
 * upstream is leaving, on every router that has the plan in force. Its open
 * requests go on to their end.
 */
#include <event2/event.h>

#include "ConfigStore.h"
#include "Membership.h"
#include "UpstreamSet.h"

/** struct StopPlans_t - opaque */
typedef struct StopPlans StopPlans_t;

/** StopPlans_create() - start to watch; all must outlive it */
StopPlans_t *StopPlans_create(struct event_base *base,
                              const ConfigStore_t *config,
                              UpstreamSet_t *upstreams,
                              Membership_t *membership);

/** StopPlans_destroy() - free it */
void StopPlans_destroy(StopPlans_t *this);

#endif
