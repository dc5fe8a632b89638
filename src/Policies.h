#ifndef HEADER_Policies
#define HEADER_Policies
/**
 * DOC: Policies
 *
 * Creates the policy class (Policy.h) that a setting selects.
 */
#include "Policy.h"

/** Policies_create() - create the policy of a name */
Policy_t *Policies_create(PolicyName_t name);

#endif
