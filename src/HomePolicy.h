#ifndef HEADER_HomePolicy
#define HEADER_HomePolicy
/**
 * DOC: HomePolicy
 *
 * Assigns each shared prefix one engine, its home, by consistent hashing, on
 * which all routers agree without a message. A request leaves the home only
 * where the home is unusable or where its first token would come much later
 * than from the next engine on the ring. That engine is then asked to fetch
 * the cached prefix from an engine that has it instead of computing it again.
 * Where engines are divided into groups (Dispatch.h), the other engines of the
 * home's group take the place of the next engines on the ring.
 *
 * The policy serves engines that report neither cache nor load in their
 * answers: it learns the wait at an engine from the delay of first tokens.
 */
#include "Policy.h"

/** HomePolicy_create() - nothing learned yet */
Policy_t *HomePolicy_create(void);

#endif
