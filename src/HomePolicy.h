#ifndef HEADER_HomePolicy
#define HEADER_HomePolicy
/**
 * DOC: HomePolicy
 *
 * Gives each shared prefix one engine, its home, by consistent hashing, on
 * which all routers agree without a message. A request leaves the home only
 * where it can't serve now or where its first token would come much later
 * than at the next engine on the ring. That one is then told to take the
 * cached prefix from an engine that has it, rather than compute it again.
 * Where engines are divided into groups (Dispatch.h), the others of the home's
 * group take the place of the next ones on the ring.
 *
 * It is for engines that say nothing of their caches and their load in their
 * answers: the wait at an engine is learned from when first tokens came.
 */
#include "Policy.h"

/** HomePolicy_create() - nothing learned yet */
Policy_t *HomePolicy_create(void);

#endif
