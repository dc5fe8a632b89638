#ifndef HEADER_Ring
#define HEADER_Ring
/**
 * DOC: Ring
 *
 * Consistent hashing of keys to upstreams: each router with the same
 * upstreams finds the same ones for a key without a message, in logarithmic
 * time. A change of one upstream moves only the keys that it had or gets.
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
 * @region: only those of this region; NULL for all
 */
Ring_t *Ring_create(const GPtrArray *upstreams, const char *region);

/** Ring_destroy() - free it */
void Ring_destroy(Ring_t *this);

/**
 * RingVisit_t - called for each upstream in the key's order
 *
 * Return: FALSE to stop
 */
typedef gboolean (*RingVisit_t)(Upstream_t *upstream, void *data);

/**
 * Ring_walk() - visit upstreams in a key's order
 * @points_max: most points that are looked at; an upstream may come twice
 */
void Ring_walk(const Ring_t *this, guint64 key, guint points_max,
               RingVisit_t visit, void *data);

#endif
