#ifndef HEADER_RoundRobinPolicy
#define HEADER_RoundRobinPolicy
/**
 * DOC: RoundRobinPolicy
 *
 * Chooses the usable upstreams one after the other. A baseline for
 * measurements.
 */
#include "Policy.h"

/** RoundRobinPolicy_create() - the first choice is the first upstream */
Policy_t *RoundRobinPolicy_create(void);

#endif
