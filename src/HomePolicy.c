#include "HomePolicy.h"

#include <string.h>

#include "CacheStore.h"
#include "Random.h"
#include "Residency.h"
#include "Ring.h"

/* Engines of the ring that are weighed, the home first. */
#define CANDIDATES 4
/* Engines of a group that are weighed: more than most groups have. */
#define GROUP_CANDIDATES 24
/* Points of the ring that are passed until enough are found that may be used.
 */
#define RING_POINTS_MAX 256
/* How much later a first token may come at the home before the request goes
 * to the next engine: about the time to take a long prefix along. 10 and
 * 40 ms did worse (docs/MEASUREMENTS.md). */
#define SPILL_COST_US 20000
/* To take a cached prefix from another engine: its set-up and the transfer of
 * some thousand tokens. */
#define FETCH_COST_US 8000
/* The same from the store, whose link is slower and serves all engines. */
#define STORE_COST_US 20000
/* An engine that has not got the newest weights, once they have been named
 * for longer than answers on the old ones count in full. */
#define OLD_WEIGHTS_COST_US 150000
#define OLD_WEIGHTS_GRACE_MS 1000
/* A prefix that was used at an engine so long ago may have given way there. */
#define HOLDER_AGE_MS 30000
/* One from which others take it must surely have it: a miss there costs the
 * whole computation, and an engine's memory turns over in 5 to 12 s. */
#define SOURCE_AGE_MS 3000
/* What each running request adds to the time of a step, over the steps that
 * a first token takes. */
#define RUNNING_COST_US 1000

typedef struct {
    Policy_t super;
    Residency_t *residency;
    GHashTable *rings; /* target -> Ring_t */
    guint64 generation;
} HomePolicy_t;

/* The engines that are weighed for one request. */
typedef struct {
    HomePolicy_t *policy;
    const Placement_t *placement;
    Upstream_t *list[GROUP_CANDIDATES]; /* the home first */
    guint count;
    guint most; /* to take from the ring */
} Walk_t;

/* How an engine comes by the shared part of a prompt. */
typedef struct {
    guint tokens; /* of it that need not be computed */
    gint64 cost_us;
    const Upstream_t *source; /* engine to take it from, or NULL */
} Supply_t;

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

static guint64
shared_key(const Placement_t *placement)
{
    return placement->level_count > 0
               ? placement->levels[Placement_sharedLevel(placement)]
               : Random_below(G_MAXINT);
}

static guint
shared_tokens(const Placement_t *placement)
{
    return placement->level_count > 0
               ? placement->level_tokens[Placement_sharedLevel(placement)]
               : 0;
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
    return walk->count < walk->most;
}

static guint
group_of(const Placement_t *placement, const Upstream_t *upstream)
{
    return placement->groups > 1 ? (guint)(upstream->hash % placement->groups)
                                 : 0;
}

/* The others of the home's group, which one router places. */
static void
add_group(Walk_t *walk)
{
    const Placement_t *placement = walk->placement;
    guint group = group_of(placement, walk->list[0]);
    for (guint i = 0;
         i < placement->serving->len && walk->count < GROUP_CANDIDATES; i++) {
        Upstream_t *upstream = g_ptr_array_index(placement->serving, i);
        if (upstream != walk->list[0] &&
            group_of(placement, upstream) == group &&
            Policy_mayUse(placement, upstream)) {
            walk->list[walk->count++] = upstream;
        }
    }
}

static void
find_candidates(Walk_t *walk, const Ring_t *ring)
{
    const Placement_t *placement = walk->placement;
    gboolean grouped = placement->groups > 1;
    walk->most = grouped ? 1 : CANDIDATES;
    Ring_walk(ring, shared_key(placement), RING_POINTS_MAX, on_ring, walk);
    if (grouped && walk->count > 0) {
        add_group(walk);
    }
}

static gboolean
holds(const HomePolicy_t *this, const Placement_t *placement,
      const Upstream_t *upstream, gint64 age_ms)
{
    guint count = 0;
    const Holder_t *holders =
        Residency_holders(this->residency, shared_key(placement), &count);
    for (guint i = 0; i < count; i++) {
        if (holders[i].upstream == upstream->hash) {
            return placement->now_ms - holders[i].used_ms <= age_ms;
        }
    }
    return FALSE;
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
            holds(this, placement, from, SOURCE_AGE_MS)) {
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

/* A prefix that has been read for these weights is there, or is taken from
 * another engine or from the store, or has to be computed. */
static Supply_t
supply_of(const Walk_t *walk, const Upstream_t *upstream)
{
    const Placement_t *placement = walk->placement;
    Supply_t supply = {.tokens = shared_tokens(placement)};
    if (supply.tokens == 0 ||
        holds(walk->policy, placement, upstream, HOLDER_AGE_MS)) {
        return supply;
    }
    supply.source = find_source(walk->policy, placement, upstream);
    if (supply.source) {
        supply.cost_us = FETCH_COST_US;
    }
    else if (is_stored(placement, upstream)) {
        supply.cost_us = STORE_COST_US;
    }
    else {
        supply.tokens = 0;
    }
    return supply;
}

static gint64
own_us(const Placement_t *placement, const Upstream_t *upstream,
       const Supply_t *supply)
{
    guint tokens = placement->prompt_tokens - supply->tokens;
    return (gint64)(tokens * upstream->prefill_us_per_token);
}

/* What all routers have there, as far as it is known here. */
static gint64
load_us(const Upstream_t *upstream)
{
    double tokens = (double)upstream->pending_tokens +
                    (double)upstream->others_tokens +
                    (double)upstream->ticket_tokens;
    gint64 requests = (gint64)upstream->in_flight + upstream->others_requests +
                      upstream->ticket_requests;
    return (gint64)(tokens * upstream->prefill_us_per_token) +
           RUNNING_COST_US * requests;
}

static gint64
cost_us(const Walk_t *walk, guint rank)
{
    const Placement_t *placement = walk->placement;
    const Upstream_t *upstream = walk->list[rank];
    Supply_t supply = supply_of(walk, upstream);
    gint64 cost = Upstream_waitUs(upstream, placement->now_ms) +
                  load_us(upstream) + own_us(placement, upstream, &supply) +
                  supply.cost_us;
    if (rank > 0) {
        cost += SPILL_COST_US;
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

static void
fill_supply(const Walk_t *walk, Choice_t *choice)
{
    Supply_t supply = supply_of(walk, choice->upstream);
    choice->expected_cached = supply.tokens;
    choice->own_us = own_us(walk->placement, choice->upstream, &supply);
    choice->fetch_from = supply.source;
    choice->source_seen = supply.source != NULL;
    if (supply.tokens == 0) {
        choice->fetch_from = likely_source(walk, choice->upstream);
    }
}

static Choice_t
choose(Policy_t *super, const Placement_t *placement)
{
    HomePolicy_t *this = (HomePolicy_t *)super;
    Walk_t walk = {.policy = this, .placement = placement};
    find_candidates(&walk, ring_of(this, placement));
    Choice_t choice = cheapest(&walk);
    choice.group = walk.count > 0 ? group_of(placement, walk.list[0]) : 0;
    if (choice.upstream) {
        fill_supply(&walk, &choice);
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
