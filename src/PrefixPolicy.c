#include "PrefixPolicy.h"

#include <string.h>

#include "Random.h"
#include "Residency.h"
#include "Ring.h"

/* Engines on the ring that are weighed for each request. */
#define RING_CANDIDATES 2
#define RING_POINTS_MAX 64
#define CHANCE_CANDIDATES 2
#define CANDIDATES_MAX 16
/* The level at which requests are spread: a member's or a match's history. */
#define SPREAD_LEVEL 1
/* One way and back again between two halls of a region, and between regions;
 * in microseconds. */
#define HALL_COST_US 3000
#define REGION_COST_US 60000
/* How much later a first token may come before a request leaves the engine
 * that hashing puts first: routers in all halls have to agree on one. */
#define NEXT_HASHED_COST_US 10000L
#define SPILL_COST_US 20000
/* An engine's cache is trusted for this long before anything is learned. */
#define FIRST_HORIZON_MS 60000
#define LEAST_HORIZON_MS 200

typedef struct {
    Upstream_t *upstream;
    guint cached;
    gint64 extra_us;
    const char *reason;
} Candidate_t;

/* The ring of all regions is made only where the router's own has none. */
typedef struct {
    Ring_t *region;
    Ring_t *all;
} Rings_t;

/* What was learned of one engine's cache. */
typedef struct {
    gint64 horizon_ms;
} Cache_t;

typedef struct {
    Policy_t super;
    Residency_t *residency;
    GHashTable *rings;     /* target -> Rings_t */
    GHashTable *upstreams; /* &hash -> Upstream_t, of this generation */
    GHashTable *caches;    /* &hash (in Upstream_t's lifetime: copied) */
    guint64 generation;
} PrefixPolicy_t;

typedef struct {
    const Placement_t *placement;
    Candidate_t list[CANDIDATES_MAX];
    guint count;
    guint ring_wanted;
} Weighing_t;

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

/* Upstreams of an older generation may be freed by now. */
static void
follow_generation(PrefixPolicy_t *this, const Placement_t *placement)
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
        cache->horizon_ms = FIRST_HORIZON_MS;
        g_hash_table_insert(this->caches,
                            g_memdup2(&upstream, sizeof(upstream)), cache);
    }
    return cache;
}

static gboolean
has_candidate(const Weighing_t *weighing, const Upstream_t *upstream)
{
    for (guint i = 0; i < weighing->count; i++) {
        if (weighing->list[i].upstream == upstream) {
            return TRUE;
        }
    }
    return FALSE;
}

static void
add_candidate(Weighing_t *weighing, Upstream_t *upstream, guint cached,
              gint64 extra_us, const char *reason)
{
    if (weighing->count < CANDIDATES_MAX &&
        Policy_mayUse(weighing->placement, upstream) &&
        !has_candidate(weighing, upstream)) {
        weighing->list[weighing->count++] =
            (Candidate_t){upstream, cached, extra_us, reason};
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

/* Deepest level first, so that an engine's longest prefix is the one noted. */
static void
add_holders(PrefixPolicy_t *this, Weighing_t *weighing)
{
    const Placement_t *placement = weighing->placement;
    for (guint level = placement->level_count; level > 0; level--) {
        guint count = 0;
        const Holder_t *holders = Residency_holders(
            this->residency, placement->levels[level - 1], &count);
        for (guint i = 0; i < count; i++) {
            Upstream_t *upstream =
                g_hash_table_lookup(this->upstreams, &holders[i].upstream);
            if (upstream &&
                still_holds(this, &holders[i], upstream, placement->now_ms)) {
                add_candidate(weighing, upstream,
                              placement->level_tokens[level - 1], 0, "holder");
            }
        }
    }
}

static gboolean
on_ring(Upstream_t *upstream, void *data)
{
    Weighing_t *weighing = data;
    if (!Policy_mayUse(weighing->placement, upstream)) {
        return TRUE;
    }
    guint rank = RING_CANDIDATES - weighing->ring_wanted;
    add_candidate(weighing, upstream, 0, rank * NEXT_HASHED_COST_US, "hashed");
    weighing->ring_wanted--;
    return weighing->ring_wanted > 0;
}

static void
add_hashed(Rings_t *rings, Weighing_t *weighing)
{
    const Placement_t *placement = weighing->placement;
    if (placement->level_count == 0) {
        return;
    }
    guint level = MIN(placement->level_count - 1, SPREAD_LEVEL);
    weighing->ring_wanted = RING_CANDIDATES;
    Ring_walk(rings->region, placement->levels[level], RING_POINTS_MAX,
              on_ring, weighing);
    if (weighing->count == 0) {
        if (!rings->all) {
            rings->all = Ring_create(placement->serving, NULL);
        }
        Ring_walk(rings->all, placement->levels[level], RING_POINTS_MAX,
                  on_ring, weighing);
    }
}

static void
add_by_chance(Weighing_t *weighing)
{
    const GPtrArray *serving = weighing->placement->serving;
    for (guint i = 0; i < CHANCE_CANDIDATES && serving->len > 0; i++) {
        guint at = Random_below(serving->len);
        add_candidate(weighing, g_ptr_array_index(serving, at), 0,
                      SPILL_COST_US, "spilled");
    }
}

/* Where the few that were drawn are all unusable, any usable one will do. */
static void
add_any(Weighing_t *weighing)
{
    const GPtrArray *serving = weighing->placement->serving;
    for (guint i = 0; i < serving->len && weighing->count == 0; i++) {
        add_candidate(weighing, g_ptr_array_index(serving, i), 0, 0,
                      "last_left");
    }
}

/* Expected wait for an engine's prefill. */
static gint64
wait_us(const Upstream_t *upstream, gint64 now_ms)
{
    double done = (double)(now_ms - upstream->reported_at_ms) * 1000.0 /
                  upstream->prefill_us_per_token;
    double reported = MAX((double)upstream->reported_tokens - done, 0.0);
    double tokens = reported + (double)upstream->pending_tokens;
    return (gint64)(tokens * upstream->prefill_us_per_token);
}

static gint64
distance_us(const Placement_t *placement, const Upstream_t *upstream)
{
    if (strcmp(placement->region, upstream->region->str) != 0) {
        return REGION_COST_US;
    }
    return strcmp(placement->hall, upstream->hall->str) != 0 ? HALL_COST_US
                                                             : 0;
}

/* Expected time to first token, and what it costs to be apart from others. */
static gint64
cost_us(const Placement_t *placement, const Candidate_t *candidate)
{
    const Upstream_t *upstream = candidate->upstream;
    guint missing = placement->prompt_tokens -
                    MIN(candidate->cached, placement->prompt_tokens);
    return wait_us(upstream, placement->now_ms) +
           (gint64)(missing * upstream->prefill_us_per_token) +
           distance_us(placement, upstream) + candidate->extra_us;
}

static Choice_t
cheapest(const Weighing_t *weighing)
{
    Choice_t choice = {.reason = "none_usable", .candidates = weighing->count};
    gint64 least = G_MAXINT64;
    for (guint i = 0; i < weighing->count; i++) {
        const Candidate_t *candidate = &weighing->list[i];
        gint64 cost = cost_us(weighing->placement, candidate);
        if (cost < least) {
            least = cost;
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
    Weighing_t weighing = {.placement = placement};
    follow_generation(this, placement);
    Rings_t *rings = rings_of(this, placement);
    add_holders(this, &weighing);
    add_hashed(rings, &weighing);
    add_by_chance(&weighing);
    add_any(&weighing);
    return cheapest(&weighing);
}

/* The age at which a prefix was found or missed bounds what the engine's
 * cache keeps. */
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
                    MAX((cache->horizon_ms + age) / 2, LEAST_HORIZON_MS);
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
    this->residency = Residency_create(RESIDENCY_PREFIXES);
    this->rings =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_rings);
    this->upstreams = g_hash_table_new(g_int64_hash, g_int64_equal);
    this->caches =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    return &this->super;
}
