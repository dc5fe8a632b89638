#include "HomePolicy.h"

#include <string.h>

#include "CacheStore.h"
#include "Random.h"
#include "Residency.h"
#include "Ring.h"

/* Engines of the ring that are weighed, the home first. */
#define CANDIDATES 4
#define RING_POINTS_MAX 256
/* How much later a first token may come at the home before the request goes
 * to the next engine: about the time to take a long prefix along. 10 and
 * 40 ms did worse (docs/MEASUREMENTS.md). */
#define SPILL_COST_US 20000
/* To take a cached prefix from another engine: its set-up and the transfer of
 * some thousand tokens. */
#define FETCH_COST_US 8000
/* An engine that has not got the newest weights, once they have been named
 * for longer than answers on the old ones count in full. */
#define OLD_WEIGHTS_COST_US 150000
#define OLD_WEIGHTS_GRACE_MS 1000
/* A prefix that was used at an engine so long ago may have given way there. */
#define HOLDER_AGE_MS 30000
/* What each running request adds to the time of a step, over the steps that
 * a first token takes. */
#define RUNNING_COST_US 1000

typedef struct {
    Policy_t super;
    Residency_t *residency;
    GHashTable *rings; /* target -> Ring_t */
    guint64 generation;
} HomePolicy_t;

typedef struct {
    HomePolicy_t *policy;
    const Placement_t *placement;
    Upstream_t *list[CANDIDATES];
    guint count;
} Walk_t;

static void
free_ring(gpointer ring)
{
    Ring_destroy(ring);
}

static Ring_t *
ring_of(HomePolicy_t *this, const Placement_t *placement)
{
    if (this->generation != placement->generation) {
        g_hash_table_remove_all(this->rings);
        this->generation = placement->generation;
    }
    Ring_t *ring = g_hash_table_lookup(this->rings, placement->target);
    if (!ring) {
        ring = Ring_create(placement->serving, NULL);
        g_hash_table_replace(this->rings, g_strdup(placement->target), ring);
    }
    return ring;
}

/* The last part of a prompt is its own; what is before it is shared. */
static guint
shared_levels(const Placement_t *placement)
{
    return placement->level_count > 1 ? placement->level_count - 1
                                      : placement->level_count;
}

static guint64
shared_key(const Placement_t *placement)
{
    guint levels = shared_levels(placement);
    return levels > 0 ? placement->levels[levels - 1] : Random_below(G_MAXINT);
}

static guint
shared_tokens(const Placement_t *placement)
{
    guint levels = shared_levels(placement);
    return levels > 0 ? placement->level_tokens[levels - 1] : 0;
}

static gboolean
on_ring(Upstream_t *upstream, void *data)
{
    Walk_t *walk = data;
    for (guint i = 0; i < walk->count; i++) {
        if (walk->list[i] == upstream) {
            return TRUE;
        }
    }
    if (Policy_mayUse(walk->placement, upstream)) {
        walk->list[walk->count++] = upstream;
    }
    return walk->count < CANDIDATES;
}

static const Holder_t *
find_holder(const HomePolicy_t *this, const Placement_t *placement,
            const Upstream_t *upstream)
{
    guint count = 0;
    const Holder_t *holders =
        Residency_holders(this->residency, shared_key(placement), &count);
    for (guint i = 0; i < count; i++) {
        if (holders[i].upstream == upstream->hash &&
            placement->now_ms - holders[i].used_ms <= HOLDER_AGE_MS) {
            return &holders[i];
        }
    }
    return NULL;
}

/* It need not take requests itself, but it must answer and have been read
 * for the same weights. */
static gboolean
can_give(const Placement_t *placement, const Upstream_t *from,
         const Upstream_t *to)
{
    return from != to && !from->removed && from->ejections == 0 &&
           from->paused_until_ms <= placement->now_ms &&
           strcmp(from->weights->str, to->weights->str) == 0;
}

static Upstream_t *
find_source(const HomePolicy_t *this, const Placement_t *placement,
            const Upstream_t *to)
{
    for (guint i = 0; i < placement->serving->len; i++) {
        Upstream_t *from = g_ptr_array_index(placement->serving, i);
        if (can_give(placement, from, to) &&
            find_holder(this, placement, from)) {
            return from;
        }
    }
    return NULL;
}

static gboolean
has_old_weights(const Placement_t *placement, const Upstream_t *upstream)
{
    return placement->newest &&
           placement->newest_age_ms >= OLD_WEIGHTS_GRACE_MS &&
           strcmp(placement->newest, upstream->weights->str) != 0;
}

static gboolean
is_stored(const Placement_t *placement, const Upstream_t *upstream)
{
    return placement->cache_store &&
           CacheStore_isKept(
               placement->cache_store,
               CacheStore_prefix(shared_key(placement), upstream->weights),
               placement->now_ms);
}

/* A prefix that has been read for these weights is at its home, or is taken
 * from the store or from another engine. */
static gboolean
is_cached(const Walk_t *walk, const Upstream_t *upstream)
{
    const Placement_t *placement = walk->placement;
    return shared_tokens(placement) > 0 &&
           (is_stored(placement, upstream) ||
            find_holder(walk->policy, placement, upstream) ||
            find_source(walk->policy, placement, upstream));
}

static guint
cached_tokens(const Walk_t *walk, const Upstream_t *upstream)
{
    return is_cached(walk, upstream) ? shared_tokens(walk->placement) : 0;
}

static gint64
own_us(const Walk_t *walk, const Upstream_t *upstream)
{
    guint tokens =
        walk->placement->prompt_tokens - cached_tokens(walk, upstream);
    return (gint64)(tokens * upstream->prefill_us_per_token);
}

static gint64
cost_us(const Walk_t *walk, guint rank)
{
    const Placement_t *placement = walk->placement;
    const Upstream_t *upstream = walk->list[rank];
    guint cached = cached_tokens(walk, upstream);
    double ahead =
        (double)upstream->pending_tokens + (double)upstream->others_tokens;
    gint64 cost =
        Upstream_waitUs(upstream, placement->now_ms) + own_us(walk, upstream) +
        (gint64)(ahead * upstream->prefill_us_per_token) +
        RUNNING_COST_US *
            (gint64)(upstream->in_flight + upstream->others_requests);
    if (rank > 0) {
        cost += SPILL_COST_US;
    }
    if (cached > 0 && !find_holder(walk->policy, placement, upstream)) {
        cost += FETCH_COST_US;
    }
    if (has_old_weights(placement, upstream)) {
        cost += OLD_WEIGHTS_COST_US;
    }
    return cost;
}

static Choice_t
cheapest(const Walk_t *walk)
{
    Choice_t choice = {.reason = "none_usable", .candidates = walk->count};
    gint64 least = G_MAXINT64;
    for (guint rank = 0; rank < walk->count; rank++) {
        gint64 cost = cost_us(walk, rank);
        if (cost < least) {
            least = cost;
            choice.upstream = walk->list[rank];
            choice.reason = rank == 0 ? "home" : "spilled";
            choice.cost_us = cost;
        }
    }
    return choice;
}

/* Where this router knows of no holder, other routers may: the home has most
 * likely read what is asked for, or while it was away the next one. */
static Upstream_t *
likely_source(const Walk_t *walk, const Upstream_t *to)
{
    for (guint rank = 0; rank < walk->count; rank++) {
        if (can_give(walk->placement, walk->list[rank], to)) {
            return walk->list[rank];
        }
    }
    return NULL;
}

static Choice_t
choose(Policy_t *super, const Placement_t *placement)
{
    HomePolicy_t *this = (HomePolicy_t *)super;
    Walk_t walk = {.policy = this, .placement = placement};
    Ring_walk(ring_of(this, placement), shared_key(placement), RING_POINTS_MAX,
              on_ring, &walk);
    Choice_t choice = cheapest(&walk);
    if (choice.upstream) {
        gboolean holds = find_holder(this, placement, choice.upstream) != NULL;
        choice.expected_cached = cached_tokens(&walk, choice.upstream);
        choice.own_us = own_us(&walk, choice.upstream);
        choice.fetch_from =
            holds ? NULL : find_source(this, placement, choice.upstream);
        choice.source_seen = choice.fetch_from != NULL;
        if (!holds && !choice.fetch_from) {
            choice.fetch_from = likely_source(&walk, choice.upstream);
        }
    }
    return choice;
}

static void
learn(Policy_t *super, const Placement_t *placement,
      const Upstream_t *upstream, guint expected, guint cached)
{
    (void)expected;
    (void)cached;
    HomePolicy_t *this = (HomePolicy_t *)super;
    if (placement->level_count > 0) {
        Residency_note(this->residency, shared_key(placement), upstream,
                       placement->now_ms);
    }
}

static void
destroy(Policy_t *super)
{
    HomePolicy_t *this = (HomePolicy_t *)super;
    Residency_destroy(this->residency);
    g_hash_table_destroy(this->rings);
    g_free(this);
}

static const PolicyClass_t class = {
    .name = "home", .destroy = destroy, .choose = choose, .learn = learn};

Policy_t *
HomePolicy_create(void)
{
    HomePolicy_t *this = g_new0(HomePolicy_t, 1);
    this->super.class = &class;
    this->residency = Residency_create(RESIDENCY_PREFIXES);
    this->rings =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_ring);
    return &this->super;
}
