#ifndef HEADER_Ring
#define HEADER_Ring
/**
 * DOC: Ring
 *
 * Consistent hashing of keys to upstreams: routers with the same upstreams
 * find the same ones for a key without exchanging messages, in logarithmic
 * time. Adding or removing an upstream moves only the keys that it gets or
 * had.
 */
#include <glib.h>

#include "Upstream.h"

/** Points of each upstream on the ring */
#define RING_POINTS 32

/** struct Ring_t - opaque */
typedef struct Ring Ring_t;

/**
 * Ring_create() - put upstreams on a ring
 * @upstreams: Upstream_t *
 * @region: include only upstreams of this region; NULL for all
 */
Ring_t *Ring_create(const GPtrArray *upstreams, const char *region);

/** Ring_destroy() - free it */
void Ring_destroy(Ring_t *this);

/**
 * RingVisit_t - called for each point of the ring, in the key's order
 *
 * Return: FALSE to stop
 */
typedef gboolean (*RingVisit_t)(Upstream_t *upstream, void *data);

/**
 * Ring_walk() - visit upstreams in a key's order
 * @points_max: most points to visit; an upstream may be visited repeatedly
 */
void Ring_walk(const Ring_t *this, guint64 key, guint points_max,
               RingVisit_t visit, void *data);

#endif
