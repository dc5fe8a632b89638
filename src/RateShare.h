#ifndef HEADER_RateShare
#define HEADER_RateShare
/**
 * DOC: RateShare
 *
 * Rate limit strategy without messages: each router admits the limit divided
 * by the number of routers. The routers together stay within the limit
 * whatever happens to the links between them, but a customer whose callers are
 * connected to a few routers gets only the shares of these.
 */
#include "RateLimits.h"

/** RateShareCount_t - returns the number of routers, this one included */
typedef guint (*RateShareCount_t)(const void *owner);

/** RateShare_create() - start with full shares; @owner, the argument of
 * @routers, must outlive it */
RateLimits_t *RateShare_create(RateShareCount_t routers, const void *owner);

#endif
