#include "PrefixPolicy.h"

#include <string.h>

#include "Random.h"
#include "Residency.h"
#include "Ring.h"

/* Engines of the ring that are candidates for each request. */
#define RING_CANDIDATES 2
#define RING_POINTS_MAX 64
#define RANDOM_CANDIDATES 2
#define CANDIDATES_MAX 16
/* Level whose identity is hashed onto the ring: the history of a member or of
 * a match. */
#define RING_LEVEL 1
/* Round trip between two halls of a region, and between two regions. */
#define HALL_ROUND_TRIP_US 3000
#define REGION_ROUND_TRIP_US 60000
/* Extra delay of the first token that is accepted before a request leaves the
 * first engine of the ring for the second: routers in all halls have to agree
 * on one engine. SPILL_COST_US is the same for an engine drawn at random. */
#define NEXT_HASHED_COST_US 10000L
#define SPILL_COST_US 20000
/* Age up to which a cached prefix is assumed to be still present: before
 * anything is learned of the engine, and at the least. */
#define INITIAL_HORIZON_MS 60000
#define HORIZON_MIN_MS 200

typedef struct {
    Upstream_t *upstream;
    guint cached;
    gint64 penalty_us;
    const char *reason;
} Candidate_t;

/* The ring of all regions is created once a request finds no candidate in the
 * router's own region. */
typedef struct {
    Ring_t *region;
    Ring_t *all;
} Rings_t;

/* What was learned about the cache of one engine. */
typedef struct {
    gint64 horizon_ms;
} Cache_t;

typedef struct {
    Policy_t super;
    Residency_t *residency;
    GHashTable *rings;     /* target -> Rings_t */
    GHashTable *upstreams; /* &hash -> Upstream_t of this generation */
    GHashTable *caches;    /* copy of hash -> Cache_t; outlives Upstream_t */
    guint64 generation;
} PrefixPolicy_t;

typedef struct {
    const Placement_t *placement;
    Candidate_t list[CANDIDATES_MAX];
    guint count;
    guint ring_missing; /* candidates that the ring still has to yield */
} CandidateSet_t;

static void
free_rings(gpointer data)
{
    Rings_t *rings = data;
    Ring_destroy(rings->region);
    if (rings->all) {
        Ring_destroy(rings->all);
    }
    g_free(rings);
}

static Rings_t *
rings_of(PrefixPolicy_t *this, const Placement_t *placement)
{
    Rings_t *rings = g_hash_table_lookup(this->rings, placement->target);
    if (rings) {
        return rings;
    }
    rings = g_new0(Rings_t, 1);
    rings->region = Ring_create(placement->serving, placement->region);
    g_hash_table_replace(this->rings, g_strdup(placement->target), rings);
    for (guint i = 0; i < placement->serving->len; i++) {
        Upstream_t *upstream = g_ptr_array_index(placement->serving, i);
        g_hash_table_replace(this->upstreams, &upstream->hash, upstream);
    }
    return rings;
}

/* Upstreams of an older generation may have been freed. */
static void
drop_old_generation(PrefixPolicy_t *this, const Placement_t *placement)
{
    if (this->generation != placement->generation) {
        g_hash_table_remove_all(this->upstreams);
        g_hash_table_remove_all(this->rings);
        this->generation = placement->generation;
    }
}

static Cache_t *
cache_of(PrefixPolicy_t *this, guint64 upstream)
{
    Cache_t *cache = g_hash_table_lookup(this->caches, &upstream);
    if (!cache) {
        cache = g_new0(Cache_t, 1);
        cache->horizon_ms = INITIAL_HORIZON_MS;
        g_hash_table_insert(this->caches,
                            g_memdup2(&upstream, sizeof(upstream)), cache);
    }
    return cache;
}

static gboolean
has_candidate(const CandidateSet_t *candidates, const Upstream_t *upstream)
{
    for (guint i = 0; i < candidates->count; i++) {
        if (candidates->list[i].upstream == upstream) {
            return TRUE;
        }
    }
    return FALSE;
}

static void
add_candidate(CandidateSet_t *candidates, Upstream_t *upstream, guint cached,
              gint64 penalty_us, const char *reason)
{
    if (candidates->count < CANDIDATES_MAX &&
        Policy_mayUse(candidates->placement, upstream) &&
        !has_candidate(candidates, upstream)) {
        candidates->list[candidates->count++] =
            (Candidate_t){upstream, cached, penalty_us, reason};
    }
}

static gboolean
still_holds(PrefixPolicy_t *this, const Holder_t *holder,
            const Upstream_t *upstream, gint64 now_ms)
{
    return holder->incarnation == upstream->incarnation &&
           now_ms - holder->used_ms <=
               cache_of(this, holder->upstream)->horizon_ms;
}

/* Deepest level first, so that an engine is added with its longest prefix. */
static void
add_holders(PrefixPolicy_t *this, CandidateSet_t *candidates)
{
    const Placement_t *placement = candidates->placement;
    for (guint level = placement->level_count; level > 0; level--) {
        guint count = 0;
        const Holder_t *holders = Residency_holders(
            this->residency, placement->levels[level - 1], &count);
        for (guint i = 0; i < count; i++) {
            Upstream_t *upstream =
                g_hash_table_lookup(this->upstreams, &holders[i].upstream);
            if (upstream &&
                still_holds(this, &holders[i], upstream, placement->now_ms)) {
                add_candidate(candidates, upstream,
                              placement->level_tokens[level - 1], 0, "holder");
            }
        }
    }
}

static gboolean
visit_ring_engine(Upstream_t *upstream, void *data)
{
    CandidateSet_t *candidates = data;
    if (!Policy_mayUse(candidates->placement, upstream)) {
        return TRUE;
    }
    guint rank = RING_CANDIDATES - candidates->ring_missing;
    add_candidate(candidates, upstream, 0, rank * NEXT_HASHED_COST_US,
                  "hashed");
    candidates->ring_missing--;
    return candidates->ring_missing > 0;
}

static void
add_hashed(Rings_t *rings, CandidateSet_t *candidates)
{
    const Placement_t *placement = candidates->placement;
    if (placement->level_count == 0) {
        return;
    }
    guint level = MIN(placement->level_count - 1, RING_LEVEL);
    candidates->ring_missing = RING_CANDIDATES;
    Ring_walk(rings->region, placement->levels[level], RING_POINTS_MAX,
              visit_ring_engine, candidates);
    if (candidates->count == 0) {
        if (!rings->all) {
            rings->all = Ring_create(placement->serving, NULL);
        }
        Ring_walk(rings->all, placement->levels[level], RING_POINTS_MAX,
                  visit_ring_engine, candidates);
    }
}

static void
add_random(CandidateSet_t *candidates)
{
    const GPtrArray *serving = candidates->placement->serving;
    for (guint i = 0; i < RANDOM_CANDIDATES && serving->len > 0; i++) {
        guint index = Random_below(serving->len);
        add_candidate(candidates, g_ptr_array_index(serving, index), 0,
                      SPILL_COST_US, "spilled");
    }
}

/* Adds the first usable engine if there is no candidate yet. */
static void
add_any(CandidateSet_t *candidates)
{
    const GPtrArray *serving = candidates->placement->serving;
    for (guint i = 0; i < serving->len && candidates->count == 0; i++) {
        add_candidate(candidates, g_ptr_array_index(serving, i), 0, 0,
                      "last_left");
    }
}

/* Expected time until the engine has computed the prompts queued there. */
static gint64
wait_us(const Upstream_t *upstream, gint64 now_ms)
{
    double done_tokens = (double)(now_ms - upstream->reported_at_ms) * 1000.0 /
                         upstream->prefill_us_per_token;
    double reported =
        MAX((double)upstream->reported_tokens - done_tokens, 0.0);
    double tokens = reported + (double)upstream->pending_tokens;
    return (gint64)(tokens * upstream->prefill_us_per_token);
}

static gint64
distance_us(const Placement_t *placement, const Upstream_t *upstream)
{
    if (strcmp(placement->region, upstream->region->str) != 0) {
        return REGION_ROUND_TRIP_US;
    }
    return strcmp(placement->hall, upstream->hall->str) != 0
               ? HALL_ROUND_TRIP_US
               : 0;
}

/* Expected time to the first token, plus the penalty for leaving the engine
 * that all routers prefer. */
static gint64
cost_us(const Placement_t *placement, const Candidate_t *candidate)
{
    const Upstream_t *upstream = candidate->upstream;
    guint missing = placement->prompt_tokens -
                    MIN(candidate->cached, placement->prompt_tokens);
    return wait_us(upstream, placement->now_ms) +
           (gint64)(missing * upstream->prefill_us_per_token) +
           distance_us(placement, upstream) + candidate->penalty_us;
}

static Choice_t
find_cheapest(const CandidateSet_t *candidates)
{
    Choice_t choice = {.reason = "none_usable",
                       .candidates = candidates->count};
    gint64 min_cost = G_MAXINT64;
    for (guint i = 0; i < candidates->count; i++) {
        const Candidate_t *candidate = &candidates->list[i];
        gint64 cost = cost_us(candidates->placement, candidate);
        if (cost < min_cost) {
            min_cost = cost;
            choice.upstream = candidate->upstream;
            choice.reason = candidate->reason;
            choice.expected_cached = candidate->cached;
        }
    }
    return choice;
}

static Choice_t
choose(Policy_t *super, const Placement_t *placement)
{
    PrefixPolicy_t *this = (PrefixPolicy_t *)super;
    CandidateSet_t candidates = {.placement = placement};
    drop_old_generation(this, placement);
    Rings_t *rings = rings_of(this, placement);
    add_holders(this, &candidates);
    add_hashed(rings, &candidates);
    add_random(&candidates);
    add_any(&candidates);
    return find_cheapest(&candidates);
}

/* Learns up to which age prefixes stay in the engine's cache. A prefix counts
 * as found where at least 90 % of its tokens were cached. */
static void
learn_horizon(PrefixPolicy_t *this, const Placement_t *placement,
              const Upstream_t *upstream, guint cached)
{
    Cache_t *cache = cache_of(this, upstream->hash);
    for (guint level = 0; level < placement->level_count; level++) {
        guint count = 0;
        const Holder_t *holders = Residency_holders(
            this->residency, placement->levels[level], &count);
        for (guint i = 0; i < count; i++) {
            if (holders[i].upstream != upstream->hash ||
                holders[i].incarnation != upstream->incarnation) {
                continue;
            }
            gint64 age = placement->now_ms - holders[i].used_ms;
            gboolean found = cached * 10 >= placement->level_tokens[level] * 9;
            if (found) {
                cache->horizon_ms = MAX(cache->horizon_ms, age);
            }
            else if (age < cache->horizon_ms) {
                cache->horizon_ms =
                    MAX((cache->horizon_ms + age) / 2, HORIZON_MIN_MS);
            }
        }
    }
}

static void
learn(Policy_t *super, const Placement_t *placement,
      const Upstream_t *upstream, guint expected, guint cached)
{
    (void)expected;
    PrefixPolicy_t *this = (PrefixPolicy_t *)super;
    learn_horizon(this, placement, upstream, cached);
    for (guint level = 0; level < placement->level_count; level++) {
        Residency_note(this->residency, placement->levels[level], upstream,
                       placement->now_ms);
    }
}

static void
destroy(Policy_t *super)
{
    PrefixPolicy_t *this = (PrefixPolicy_t *)super;
    Residency_destroy(this->residency);
    g_hash_table_destroy(this->rings);
    g_hash_table_destroy(this->upstreams);
    g_hash_table_destroy(this->caches);
    g_free(this);
}

static const PolicyClass_t class = {
    .name = "prefix", .destroy = destroy, .choose = choose, .learn = learn};

Policy_t *
PrefixPolicy_create(void)
{
    PrefixPolicy_t *this = g_new0(PrefixPolicy_t, 1);
    this->super.class = &class;
    this->residency = Residency_create(RESIDENCY_PREFIXES_DEFAULT);
    this->rings =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_rings);
    this->upstreams = g_hash_table_new(g_int64_hash, g_int64_equal);
    this->caches =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    return &this->super;
}
