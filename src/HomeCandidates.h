#ifndef HEADER_HomeCandidates
#define HEADER_HomeCandidates
/**
 * DOC: HomeCandidates
 *
 * The engines that HomePolicy compares for a request. The home of its shared
 * prefix comes first, by consistent hashing; then the next engines on the ring
 * or, where dispatchers place for groups of engines, the others of the home's
 * group. In a partitioned group only the engines on the request's side are
 * candidates.
 */
#include "PrefixSupply.h"
#include "Residency.h"

/** Candidates in all; more than the size of most groups */
#define HOME_CANDIDATES_MAX 24

/** struct HomeTarget_t - the engines that serve one target; opaque */
typedef struct HomeTarget HomeTarget_t;

/** HomeTarget_create() - index the engines that serve a target
 * @serving: Upstream_t *, must not change during the lifetime */
HomeTarget_t *HomeTarget_create(const GPtrArray *serving);

/** HomeTarget_destroy() - free it */
void HomeTarget_destroy(HomeTarget_t *this);

/**
 * struct HomeCandidates_t - candidates of one request
 * @placement: the request
 * @list: the candidates, the home first
 * @count: number of @list
 * @holders: engines that should hold the shared prefix
 * @ring_max: engines that are taken from the ring
 * @group: group of engines that takes the request
 * @reserved: engines of the group that are reserved for urgent requests
 * @side: engines on the request's side of the partition, first in @list; 0 if
 *     the group is not partitioned
 * @is_reserved_side: the request's side is the reserved one
 * @short_hash_limit: engines of a lower hash serve short prompts; 0 for none
 */
typedef struct {
    const Placement_t *placement;
    Upstream_t *list[HOME_CANDIDATES_MAX];
    guint count;
    PrefixHolders_t holders;
    guint ring_max;
    guint group;
    guint reserved;
    guint side;
    gboolean is_reserved_side;
    guint64 short_hash_limit;
} HomeCandidates_t;

/** HomeCandidates_find() - find the candidates; fills in all fields */
void HomeCandidates_find(HomeCandidates_t *this, const Placement_t *placement,
                         const HomeTarget_t *target,
                         const Residency_t *residency);

/** HomeCandidates_servesShort() - whether an engine is reserved for short
 * prompts */
gboolean HomeCandidates_servesShort(const HomeCandidates_t *this,
                                    const Upstream_t *upstream);

#endif
