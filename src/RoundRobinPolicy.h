#ifndef HEADER_RoundRobinPolicy
#define HEADER_RoundRobinPolicy
/**
 * DOC: RoundRobinPolicy
 *
 * Each usable upstream in turn. A baseline for measurements.
 */
#include "Policy.h"

/** RoundRobinPolicy_create() - start with the first */
Policy_t *RoundRobinPolicy_create(void);

#endif
