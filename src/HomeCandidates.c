#include "HomeCandidates.h"

#include <xxhash.h>

#include "Ring.h"

/* Candidates that the ring yields, the home first. */
#define RING_CANDIDATES 4
/* Points of the ring that are visited to find usable engines. */
#define RING_POINTS_MAX 256

struct HomeTarget {
    Ring_t *ring;
    GHashTable *by_hash; /* &hash of the name -> Upstream_t, not owned */
};

HomeTarget_t *
HomeTarget_create(const GPtrArray *serving)
{
    HomeTarget_t *this = g_new(HomeTarget_t, 1);
    this->ring = Ring_create(serving, NULL);
    this->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
    for (guint i = 0; i < serving->len; i++) {
        Upstream_t *upstream = g_ptr_array_index(serving, i);
        g_hash_table_insert(this->by_hash, &upstream->hash, upstream);
    }
    return this;
}

void
HomeTarget_destroy(HomeTarget_t *this)
{
    Ring_destroy(this->ring);
    g_hash_table_destroy(this->by_hash);
    g_free(this);
}

static gint
compare_hashes(gconstpointer a, gconstpointer b)
{
    guint64 left = *(const guint64 *)a;
    guint64 right = *(const guint64 *)b;
    return (left > right) - (left < right);
}

/* The share of the usable engines with the lowest hashes serves short prompts:
 * routers that see the same engines agree on them. */
static guint64
find_short_hash_limit(const Placement_t *placement)
{
    if (placement->short_prompt_fraction <= 0) {
        return 0;
    }
    g_autoptr(GArray) hashes = g_array_new(FALSE, FALSE, sizeof(guint64));
    for (guint i = 0; i < placement->serving->len; i++) {
        const Upstream_t *upstream = g_ptr_array_index(placement->serving, i);
        if (Policy_mayUse(placement, upstream)) {
            g_array_append_val(hashes, upstream->hash);
        }
    }
    g_array_sort(hashes, compare_hashes);
    guint count =
        (guint)(hashes->len * placement->short_prompt_fraction + 0.5);
    guint count_max = hashes->len > 0 ? hashes->len - 1 : 0;
    return count_max > 0
               ? g_array_index(hashes, guint64, CLAMP(count, 1, count_max))
               : 0;
}

gboolean
HomeCandidates_servesShort(const HomeCandidates_t *this,
                           const Upstream_t *upstream)
{
    return upstream->hash < this->short_hash_limit;
}

static gboolean
is_listed(const HomeCandidates_t *candidates, const Upstream_t *upstream)
{
    for (guint i = 0; i < candidates->count; i++) {
        if (candidates->list[i] == upstream) {
            return TRUE;
        }
    }
    return FALSE;
}

static gboolean
visit_ring_engine(Upstream_t *upstream, void *data)
{
    HomeCandidates_t *candidates = data;
    if (is_listed(candidates, upstream)) {
        return TRUE;
    }
    if (Policy_mayUse(candidates->placement, upstream)) {
        candidates->list[candidates->count++] = upstream;
    }
    return candidates->count < candidates->ring_max;
}

static guint
group_of(const Placement_t *placement, const Upstream_t *upstream)
{
    return placement->groups > 1 ? (guint)(upstream->hash % placement->groups)
                                 : 0;
}

/* Rendezvous hash of a prefix and an engine: orders the engines of a group the
 * same way on all routers, and differently for each prefix. */
static guint64
rendezvous_hash(const Placement_t *placement, const Upstream_t *upstream)
{
    guint64 pair[] = {PrefixSupply_key(placement), upstream->hash};
    return XXH3_64bits(pair, sizeof(pair));
}

static gboolean
is_other_group_member(const HomeCandidates_t *candidates,
                      const Upstream_t *upstream)
{
    const Placement_t *placement = candidates->placement;
    return group_of(placement, upstream) ==
               group_of(placement, candidates->list[0]) &&
           !is_listed(candidates, upstream) &&
           Policy_mayUse(placement, upstream);
}

/* An engine of the home's group and its rank, the highest hash first. */
typedef struct {
    Upstream_t *upstream;
    guint64 hash;
} RankedEngine_t;

static gint
compare_ranks(gconstpointer a, gconstpointer b)
{
    guint64 left = ((const RankedEngine_t *)a)->hash;
    guint64 right = ((const RankedEngine_t *)b)->hash;
    return (left < right) - (left > right);
}

/* Adds the other engines of the home's group, whose requests are all placed by
 * one router. A prefix that is long enough for a transfer gets only as many
 * candidates as on the ring, as otherwise all engines of the group would cache
 * it. */
static void
add_group_members(HomeCandidates_t *candidates)
{
    const GPtrArray *serving = candidates->placement->serving;
    guint candidates_max = PrefixSupply_isShort(candidates->placement)
                               ? HOME_CANDIDATES_MAX
                               : RING_CANDIDATES;
    g_autoptr(GArray) others =
        g_array_new(FALSE, FALSE, sizeof(RankedEngine_t));
    for (guint i = 0; i < serving->len; i++) {
        Upstream_t *upstream = g_ptr_array_index(serving, i);
        if (is_other_group_member(candidates, upstream)) {
            RankedEngine_t ranked = {
                upstream, rendezvous_hash(candidates->placement, upstream)};
            g_array_append_val(others, ranked);
        }
    }
    g_array_sort(others, compare_ranks);
    for (guint i = 0; i < others->len && candidates->count < candidates_max;
         i++) {
        candidates->list[candidates->count++] =
            g_array_index(others, RankedEngine_t, i).upstream;
    }
}

static gint
compare_upstreams(gconstpointer a, gconstpointer b)
{
    const Upstream_t *left = *(Upstream_t *const *)a;
    const Upstream_t *right = *(Upstream_t *const *)b;
    return (left->hash > right->hash) - (left->hash < right->hash);
}

/* The usable engines of the group, the lowest hash first. Engines that only
 * this request may not use count, as others use them: the engines on each side
 * are the same for all requests. */
static GPtrArray *
find_group_engines(const HomeCandidates_t *candidates)
{
    const Placement_t *placement = candidates->placement;
    Placement_t any = *placement;
    any.avoid = NULL;
    any.permitted = NULL;
    GPtrArray *engines = g_ptr_array_new();
    for (guint i = 0; i < placement->serving->len; i++) {
        Upstream_t *upstream = g_ptr_array_index(placement->serving, i);
        if (group_of(placement, upstream) == candidates->group &&
            Policy_mayUse(&any, upstream)) {
            g_ptr_array_add(engines, upstream);
        }
    }
    g_ptr_array_sort(engines, compare_upstreams);
    return engines;
}

static gboolean
is_excluded(const HomeCandidates_t *candidates, const Upstream_t *upstream)
{
    const Placement_t *placement = candidates->placement;
    return upstream == placement->avoid ||
           (placement->permitted && upstream != placement->permitted);
}

/* Adds the engines from index @from up to index @to that the request may use,
 * the home of the prefix first. */
static void
add_side(HomeCandidates_t *candidates, const GPtrArray *engines, guint from,
         guint to)
{
    g_autoptr(GArray) side = g_array_new(FALSE, FALSE, sizeof(RankedEngine_t));
    for (guint i = from; i < to; i++) {
        Upstream_t *upstream = g_ptr_array_index(engines, i);
        RankedEngine_t ranked = {
            upstream, rendezvous_hash(candidates->placement, upstream)};
        if (!is_excluded(candidates, upstream)) {
            g_array_append_val(side, ranked);
        }
    }
    g_array_sort(side, compare_ranks);
    for (guint i = 0; i < side->len && candidates->count < HOME_CANDIDATES_MAX;
         i++) {
        candidates->list[candidates->count++] =
            g_array_index(side, RankedEngine_t, i).upstream;
    }
}

static gboolean
is_idle(const Upstream_t *upstream, gint64 now_ms)
{
    return upstream->backlog.open == 0 && upstream->pending_tokens == 0 &&
           Upstream_countRequests(upstream) < upstream->slots &&
           Upstream_waitUs(upstream, now_ms) < UPSTREAM_MIN_FIRST_TOKEN_US;
}

/* An engine that computes nothing may serve an urgent request although it is
 * not reserved. */
static void
add_idle(HomeCandidates_t *candidates, const GPtrArray *engines, guint from)
{
    for (guint i = from;
         i < engines->len && candidates->count < HOME_CANDIDATES_MAX; i++) {
        Upstream_t *upstream = g_ptr_array_index(engines, i);
        if (!is_excluded(candidates, upstream) &&
            is_idle(upstream, candidates->placement->now_ms)) {
            candidates->list[candidates->count++] = upstream;
        }
    }
}

/* An urgent route may have a prompt that is as long as the others'. */
static gboolean
uses_reserved(const Placement_t *placement, const Upstream_t *upstream)
{
    gint64 compute_us =
        (gint64)(placement->prompt_tokens * upstream->prefill_us_per_token);
    return placement->urgent && compute_us <= placement->urgent_objective_us;
}

/* Takes the engines on the request's side of the partition as candidates; all
 * of the group if the request may use none there. Returns FALSE if the
 * group is not partitioned. */
static gboolean
add_partition_side(HomeCandidates_t *candidates)
{
    const Placement_t *placement = candidates->placement;
    if (!placement->partitions || placement->urgent_objective_us <= 0) {
        return FALSE;
    }
    g_autoptr(GPtrArray) engines = find_group_engines(candidates);
    const Upstream_t *first =
        engines->len > 0 ? g_ptr_array_index(engines, 0) : NULL;
    GroupSize_t size = {engines->len, first ? first->slots : 0};
    guint reserved = GroupPartitions_reserved(
        placement->partitions, placement->target, candidates->group, &size,
        placement->urgent_objective_us, placement->now_ms);
    if (!first || reserved == 0 || reserved >= engines->len) {
        return FALSE;
    }
    gboolean is_reserved = uses_reserved(placement, first);
    candidates->short_hash_limit = 0; /* divided by rank, not by length */
    candidates->count = 0;
    candidates->reserved = reserved;
    add_side(candidates, engines, is_reserved ? 0 : reserved,
             is_reserved ? reserved : engines->len);
    guint side = candidates->count;
    if (is_reserved) {
        add_idle(candidates, engines, reserved);
    }
    if (candidates->count == 0) {
        add_side(candidates, engines, 0, engines->len);
    }
    candidates->side = side > 0 ? side : candidates->count;
    candidates->is_reserved_side = is_reserved;
    return TRUE;
}

static void
add_engines_for_short(HomeCandidates_t *candidates)
{
    const GPtrArray *serving = candidates->placement->serving;
    for (guint i = 0;
         i < serving->len && candidates->count < HOME_CANDIDATES_MAX; i++) {
        Upstream_t *upstream = g_ptr_array_index(serving, i);
        if (HomeCandidates_servesShort(candidates, upstream) &&
            !is_listed(candidates, upstream) &&
            Policy_mayUse(candidates->placement, upstream)) {
            candidates->list[candidates->count++] = upstream;
        }
    }
}

/* Adds the engines that hold the prefix: a request needs no transfer there. */
static void
add_holders(HomeCandidates_t *candidates)
{
    for (guint i = 0; i < candidates->holders.count &&
                      candidates->count < HOME_CANDIDATES_MAX;
         i++) {
        Upstream_t *upstream = candidates->holders.list[i];
        if (Policy_mayUse(candidates->placement, upstream) &&
            !is_listed(candidates, upstream)) {
            candidates->list[candidates->count++] = upstream;
        }
    }
}

/* The walk over the ring may meet no engine of a version that few engines run.
 * Starts at an engine that depends on the prefix, so that the requests spread.
 */
static void
add_engines_of_version(HomeCandidates_t *candidates)
{
    const Placement_t *placement = candidates->placement;
    const GPtrArray *serving = placement->serving;
    guint64 key = PrefixSupply_key(placement);
    for (guint i = 0; i < serving->len && candidates->count < RING_CANDIDATES;
         i++) {
        Upstream_t *upstream =
            g_ptr_array_index(serving, (key + i) % serving->len);
        if (Policy_mayUse(placement, upstream)) {
            candidates->list[candidates->count++] = upstream;
        }
    }
}

void
HomeCandidates_find(HomeCandidates_t *this, const Placement_t *placement,
                    const HomeTarget_t *target, const Residency_t *residency)
{
    gboolean grouped = placement->groups > 1;
    *this = (HomeCandidates_t){
        .placement = placement,
        .ring_max = grouped ? 1 : RING_CANDIDATES,
        .short_hash_limit = find_short_hash_limit(placement),
    };
    Ring_walk(target->ring, PrefixSupply_key(placement), RING_POINTS_MAX,
              visit_ring_engine, this);
    if (this->count == 0 && placement->software) {
        add_engines_of_version(this);
    }
    guint home_group =
        this->count > 0 ? group_of(placement, this->list[0]) : 0;
    this->group = placement->group > 0 ? placement->group - 1 : home_group;
    gboolean is_partitioned = grouped && add_partition_side(this);
    if (!is_partitioned) {
        this->group = home_group;
    }
    if (grouped && !is_partitioned && this->count > 0) {
        add_group_members(this);
    }
    if (placement->level_count > 0) {
        PrefixSupply_findHolders(residency, placement, target->by_hash,
                                 &this->holders);
    }
    if (!is_partitioned) {
        add_holders(this);
    }
    if (!grouped && this->short_hash_limit > 0 &&
        PrefixSupply_isShort(placement)) {
        add_engines_for_short(this);
    }
}
