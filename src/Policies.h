#ifndef HEADER_Policies
#define HEADER_Policies
/**
 * DOC: Policies
 *
 * All classes of Policy.h by the names that the settings give them.
 */
#include "Policy.h"

/** Policies_create() - the policy that a setting names */
Policy_t *Policies_create(PolicyName_t name);

#endif
