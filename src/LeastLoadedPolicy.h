#ifndef HEADER_LeastLoadedPolicy
#define HEADER_LeastLoadedPolicy
/**
 * DOC: LeastLoadedPolicy
 *
 * The usable upstream with the least work, as far as is known. A baseline
 * for measurements, and the policy for plain services.
 */
#include "Policy.h"

/** LeastLoadedPolicy_create() - it has no state but a turn for ties */
Policy_t *LeastLoadedPolicy_create(void);

#endif
