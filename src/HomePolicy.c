#include "HomePolicy.h"

#include <string.h>
#include <xxhash.h>

#include "EngineQueue.h"
#include "PrefixSupply.h"
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
/* An engine that is for prompts of the other kind, where long ones hold up the
 * streams of short ones: a stream that pauses is as late as one that begins
 * late. 100 ms left 179 of 425 streams with too long a pause, 300 ms 94 of 433
 * (engines of 0.73 of the usual speed, a quiet day of 34 s). */
#define OTHER_KIND_COST_US 300000
/* An engine that has not got the newest weights, once they have been named
 * for longer than answers on the old ones count in full. */
#define OLD_WEIGHTS_COST_US 150000
/* A load waits for the runs of its engine. What ends in this time holds it up
 * no longer than the pause before it; the rest of a longer run counts against
 * an engine that is about to load. */
#define SOON_SPARE_US 300000
#define OLD_WEIGHTS_GRACE_MS 1000
/* An engine that is expected to begin too late: more than all else that may
 * speak against one that begins in time. */
#define LATE_COST_US 1000000
/* What each running request adds to the time of a step, over the steps that
 * a first token takes. */
#define RUNNING_COST_US 1000

typedef struct {
    Policy_t super;
    Residency_t *residency;
    GHashTable *targets; /* name -> Target_t */
    guint64 generation;
} HomePolicy_t;

/* The engines that serve one target. */
typedef struct {
    Ring_t *ring;
    GHashTable *by_hash; /* of the name -> Upstream_t, which is not owned */
} Target_t;

/* The engines that are weighed for one request. */
typedef struct {
    HomePolicy_t *policy;
    const Placement_t *placement;
    Upstream_t *list[GROUP_CANDIDATES]; /* the home first */
    guint count;
    PrefixHolders_t holders;
    guint most;          /* to take from the ring */
    guint64 short_below; /* engines of a lower hash are for short prompts */
} Walk_t;

static void
free_target(gpointer data)
{
    Target_t *target = data;
    Ring_destroy(target->ring);
    g_hash_table_destroy(target->by_hash);
    g_free(target);
}

static Target_t *
create_target(const GPtrArray *serving)
{
    Target_t *target = g_new(Target_t, 1);
    target->ring = Ring_create(serving, NULL);
    target->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
    for (guint i = 0; i < serving->len; i++) {
        Upstream_t *upstream = g_ptr_array_index(serving, i);
        g_hash_table_insert(target->by_hash, &upstream->hash, upstream);
    }
    return target;
}

static const Target_t *
target_of(HomePolicy_t *this, const Placement_t *placement)
{
    if (this->generation != placement->generation) {
        g_hash_table_remove_all(this->targets);
        this->generation = placement->generation;
    }
    Target_t *target = g_hash_table_lookup(this->targets, placement->target);
    if (!target) {
        target = create_target(placement->serving);
        g_hash_table_replace(this->targets, g_strdup(placement->target),
                             target);
    }
    return target;
}

static gint
compare_hashes(gconstpointer a, gconstpointer b)
{
    guint64 left = *(const guint64 *)a;
    guint64 right = *(const guint64 *)b;
    return (left > right) - (left < right);
}

/* Of the engines that may be used, those with the lowest hashes: the same on
 * all routers that see the same engines. */
static guint64
find_short_below(const Placement_t *placement)
{
    if (placement->short_share <= 0) {
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
    guint count = (guint)(hashes->len * placement->short_share + 0.5);
    guint most = hashes->len > 0 ? hashes->len - 1 : 0;
    return most > 0 ? g_array_index(hashes, guint64, CLAMP(count, 1, most))
                    : 0;
}

static gboolean
is_for_short(const Walk_t *walk, const Upstream_t *upstream)
{
    return upstream->hash < walk->short_below;
}

static gboolean
is_listed(const Walk_t *walk, const Upstream_t *upstream)
{
    for (guint i = 0; i < walk->count; i++) {
        if (walk->list[i] == upstream) {
            return TRUE;
        }
    }
    return FALSE;
}

static gboolean
on_ring(Upstream_t *upstream, void *data)
{
    Walk_t *walk = data;
    if (is_listed(walk, upstream)) {
        return TRUE;
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

/* The place of an engine in a prefix's order: the same on all routers, and
 * another one for each prefix. */
static guint64
weight_of(const Placement_t *placement, const Upstream_t *upstream)
{
    guint64 pair[] = {PrefixSupply_key(placement), upstream->hash};
    return XXH3_64bits(pair, sizeof(pair));
}

static gboolean
is_other_of_group(const Walk_t *walk, const Upstream_t *upstream)
{
    const Placement_t *placement = walk->placement;
    return group_of(placement, upstream) ==
               group_of(placement, walk->list[0]) &&
           !is_listed(walk, upstream) && Policy_mayUse(placement, upstream);
}

/* An engine of the home's group and its place. */
typedef struct {
    Upstream_t *upstream;
    guint64 weight;
} Ranked_t;

static gint
compare_weights(gconstpointer a, gconstpointer b)
{
    guint64 left = ((const Ranked_t *)a)->weight;
    guint64 right = ((const Ranked_t *)b)->weight;
    return (left < right) - (left > right);
}

/* The others of the home's group, which one router places: for a prefix that
 * is worth a move as few as on the ring, or it would lie everywhere. */
static void
add_group(Walk_t *walk)
{
    const GPtrArray *serving = walk->placement->serving;
    guint most =
        PrefixSupply_isShort(walk->placement) ? GROUP_CANDIDATES : CANDIDATES;
    g_autoptr(GArray) others = g_array_new(FALSE, FALSE, sizeof(Ranked_t));
    for (guint i = 0; i < serving->len; i++) {
        Upstream_t *upstream = g_ptr_array_index(serving, i);
        if (is_other_of_group(walk, upstream)) {
            Ranked_t ranked = {upstream, weight_of(walk->placement, upstream)};
            g_array_append_val(others, ranked);
        }
    }
    g_array_sort(others, compare_weights);
    for (guint i = 0; i < others->len && walk->count < most; i++) {
        walk->list[walk->count++] =
            g_array_index(others, Ranked_t, i).upstream;
    }
}

static void
add_for_short(Walk_t *walk)
{
    const GPtrArray *serving = walk->placement->serving;
    for (guint i = 0; i < serving->len && walk->count < GROUP_CANDIDATES;
         i++) {
        Upstream_t *upstream = g_ptr_array_index(serving, i);
        if (is_for_short(walk, upstream) && !is_listed(walk, upstream) &&
            Policy_mayUse(walk->placement, upstream)) {
            walk->list[walk->count++] = upstream;
        }
    }
}

/* Those that hold the prefix, as a request needs no move there. */
static void
add_holders(Walk_t *walk)
{
    for (guint i = 0;
         i < walk->holders.count && walk->count < GROUP_CANDIDATES; i++) {
        Upstream_t *upstream = walk->holders.list[i];
        if (Policy_mayUse(walk->placement, upstream) &&
            !is_listed(walk, upstream)) {
            walk->list[walk->count++] = upstream;
        }
    }
}

static void
find_candidates(Walk_t *walk, const Target_t *target)
{
    const Placement_t *placement = walk->placement;
    gboolean grouped = placement->groups > 1;
    walk->most = grouped ? 1 : CANDIDATES;
    walk->short_below = find_short_below(placement);
    Ring_walk(target->ring, PrefixSupply_key(placement), RING_POINTS_MAX,
              on_ring, walk);
    if (grouped && walk->count > 0) {
        add_group(walk);
    }
    if (placement->level_count > 0) {
        PrefixSupply_findHolders(walk->policy->residency, placement,
                                 target->by_hash, &walk->holders);
        add_holders(walk);
    }
    if (!grouped && walk->short_below > 0 && PrefixSupply_isShort(placement)) {
        add_for_short(walk);
    }
}

static gboolean
has_old_weights(const Placement_t *placement, const Upstream_t *upstream)
{
    return placement->newest &&
           placement->newest_age_ms >= OLD_WEIGHTS_GRACE_MS &&
           strcmp(placement->newest, upstream->weights->str) != 0;
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
    return (gint64)(tokens * upstream->prefill_us_per_token) +
           (gint64)RUNNING_COST_US * Upstream_requests(upstream);
}

/* Until it is taken into the batch: as the slots say, or as first tokens have
 * shown lately. Both tell of the same queue. */
static gint64
queue_us(const Upstream_t *upstream, gint64 now_ms)
{
    EngineQueueFacts_t facts = {
        .slots = upstream->slots,
        .requests = Upstream_requests(upstream),
        .run_us = upstream->run_us,
    };
    return MAX(EngineQueue_waitUs(&facts), Upstream_waitUs(upstream, now_ms));
}

/* Of the shared part alone. */
static gint64
computed_us(const Placement_t *placement, const Upstream_t *upstream)
{
    return PrefixSupply_computeUs(placement, upstream) /
           PREFIX_SUPPLY_COMPUTE_TIMES;
}

/* Time to the first token there. */
static gint64
expected_us(const Placement_t *placement, const Upstream_t *upstream,
            const Supply_t *supply)
{
    return queue_us(upstream, placement->now_ms) + load_us(upstream) +
           own_us(placement, upstream, supply) + supply->move_us +
           supply->wait_us;
}

/* What speaks against an engine besides, in terms of time. */
static gint64
drawback_us(const Walk_t *walk, guint rank, const Supply_t *supply,
            gint64 expected)
{
    const Placement_t *placement = walk->placement;
    const Upstream_t *upstream = walk->list[rank];
    gint64 drawback = rank > 0 ? SPILL_COST_US : 0;
    if (supply->tokens == 0) {
        drawback += PrefixSupply_computeUs(placement, upstream) -
                    computed_us(placement, upstream);
    }
    if (walk->short_below > 0 &&
        is_for_short(walk, upstream) != PrefixSupply_isShort(placement)) {
        drawback += OTHER_KIND_COST_US;
    }
    if (placement->latest_us > 0 && expected > placement->latest_us) {
        drawback += LATE_COST_US;
    }
    if (has_old_weights(placement, upstream)) {
        drawback += OLD_WEIGHTS_COST_US;
    }
    if (placement->now_ms < upstream->soon_until_ms) {
        drawback += MAX(placement->run_us - SOON_SPARE_US, 0);
    }
    return drawback;
}

static Choice_t
cheapest(const Walk_t *walk)
{
    Choice_t choice = {.reason = "none_usable", .candidates = walk->count};
    gint64 least = G_MAXINT64;
    for (guint rank = 0; rank < walk->count; rank++) {
        Upstream_t *upstream = walk->list[rank];
        Supply_t supply =
            PrefixSupply_find(&walk->holders, walk->placement, upstream);
        gint64 expected = expected_us(walk->placement, upstream, &supply);
        gint64 cost = expected + drawback_us(walk, rank, &supply, expected);
        if (cost < least) {
            least = cost;
            choice.upstream = upstream;
            choice.reason = rank == 0 ? "home" : "spilled";
            choice.cost_us = expected;
            choice.supply = supply;
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
        Upstream_t *from = walk->list[rank];
        if (from != to && from->ejections == 0 &&
            strcmp(from->weights->str, to->weights->str) == 0) {
            return from;
        }
    }
    return NULL;
}

static void
fill_supply(const Walk_t *walk, Choice_t *choice)
{
    choice->expected_cached = choice->supply.tokens;
    choice->own_us =
        own_us(walk->placement, choice->upstream, &choice->supply);
    if (choice->supply.kind == SUPPLY_UNKNOWN) {
        choice->supply.source = likely_source(walk, choice->upstream);
    }
}

static Choice_t
choose(Policy_t *super, const Placement_t *placement)
{
    HomePolicy_t *this = (HomePolicy_t *)super;
    Walk_t walk = {.policy = this, .placement = placement};
    find_candidates(&walk, target_of(this, placement));
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
        Residency_note(this->residency, PrefixSupply_key(placement), upstream,
                       placement->now_ms);
    }
}

static void
begin(Policy_t *super, const Placement_t *placement, const Choice_t *choice)
{
    (void)super;
    PrefixSupply_begin(placement, choice);
}

static void
destroy(Policy_t *super)
{
    HomePolicy_t *this = (HomePolicy_t *)super;
    Residency_destroy(this->residency);
    g_hash_table_destroy(this->targets);
    g_free(this);
}

static const PolicyClass_t class = {
    .name = "home",
    .destroy = destroy,
    .choose = choose,
    .learn = learn,
    .begin = begin,
};

Policy_t *
HomePolicy_create(void)
{
    HomePolicy_t *this = g_new0(HomePolicy_t, 1);
    this->super.class = &class;
    this->residency = Residency_create(RESIDENCY_PREFIXES);
    this->targets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_target);
    return &this->super;
}
