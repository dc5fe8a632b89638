#ifndef HEADER_LeastLoadedPolicy
#define HEADER_LeastLoadedPolicy
/**
 * DOC: LeastLoadedPolicy
 *
 * Chooses the usable upstream with the fewest known requests. A baseline for
 * measurements, and the policy for plain services.
 */
#include "Policy.h"

/** LeastLoadedPolicy_create() - its only state is a rotation to break ties */
Policy_t *LeastLoadedPolicy_create(void);

#endif
