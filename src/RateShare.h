#ifndef HEADER_RateShare
#define HEADER_RateShare
/**
 * DOC: RateShare
 *
 * The way without a message: each router lets in its part of a limit by the
 * number of routers. What is let in stays within the limit whatever happens
 * between them; a customer whose callers are connected to few routers gets
 * their parts only.
 */
#include "RateLimits.h"

/** RateShareCount_t - how many routers there are, this one included */
typedef guint (*RateShareCount_t)(const void *owner);

/** RateShare_create() - nothing is used; @owner of @routers must outlive it */
RateLimits_t *RateShare_create(RateShareCount_t routers, const void *owner);

#endif
