#ifndef HEADER_PrefixPolicy
#define HEADER_PrefixPolicy
/**
 * DOC: PrefixPolicy
 *
 * Sends a request to the engine with the lowest expected time to the first
 * token: one that should have its prefix cached, unless the wait there costs
 * more than computing the prefix on another engine. Candidates are engines
 * that reported the prefix (Residency.h), engines found by consistent hashing
 * of the prefix (Ring.h), on which all routers agree without a message, and
 * engines drawn at random, for balance.
 */
#include "Policy.h"

/** PrefixPolicy_create() - nothing learned yet */
Policy_t *PrefixPolicy_create(void);

#endif
