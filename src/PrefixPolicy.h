#ifndef HEADER_PrefixPolicy
#define HEADER_PrefixPolicy
/**
 * DOC: PrefixPolicy
 *
 * Sends a request where its first token should come soonest: to an engine
 * that should have its prefix, unless the wait there costs more than to
 * compute the prefix elsewhere. Candidates come from what engines reported
 * (Residency.h), from consistent hashing of the prefix (Ring.h), on which
 * all routers agree without a message, and from chance, for balance.
 */
#include "Policy.h"

/** PrefixPolicy_create() - nothing learned yet */
Policy_t *PrefixPolicy_create(void);

#endif
