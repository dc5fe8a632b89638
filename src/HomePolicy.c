#include "HomePolicy.h"

#include <string.h>
#include <xxhash.h>

#include "Clock.h"
#include "EngineQueue.h"
#include "PrefixSupply.h"
#include "Residency.h"
#include "Ring.h"

/* Candidates that the ring yields, the home first. */
#define RING_CANDIDATES 4
/* Candidates in all; more than the size of most groups. */
#define CANDIDATES_MAX 24
/* Points of the ring that are visited to find usable engines. */
#define RING_POINTS_MAX 256
/* Penalty of any engine but the home: about the time to transfer a long
 * prefix. A lower penalty spreads prefixes over more engines, a higher one
 * lengthens the queue at the home. */
#define SPILL_COST_US 20000
/* Penalty of an engine reserved for prompts of the other length. Prefills of
 * long prompts stall the streams of short ones, and a stream that stalls is as
 * late as one that begins late. With a penalty of 100 ms, about twice as many
 * streams stalled for too long on slow engines. */
#define OTHER_LENGTH_COST_US 300000
/* Penalty of an engine without the newest weights. It applies once these have
 * been named for longer than OLD_WEIGHTS_GRACE_MS: until then answers on the
 * old weights keep their full value. */
#define OLD_WEIGHTS_COST_US 150000
/* An engine that loads new weights first waits for its requests to end. A
 * request that ends within this time does not delay the load beyond the pause
 * that precedes it; the remainder of a longer one is a penalty of an engine
 * that is about to load. */
#define RUN_BEFORE_LOAD_US 300000
#define OLD_WEIGHTS_GRACE_MS 1000
/* Penalty of an engine whose first token is expected too late: outweighs all
 * penalties of an engine that is in time. */
#define LATE_COST_US 1000000
/* Delay of a first token by each running request: the time that the request
 * adds to a step of the engine, over the steps until the first token. */
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
    GHashTable *by_hash; /* &hash of the name -> Upstream_t, not owned */
} Target_t;

/* The candidates of one request. */
typedef struct {
    HomePolicy_t *policy;
    const Placement_t *placement;
    Upstream_t *list[CANDIDATES_MAX]; /* the home first */
    guint count;
    PrefixHolders_t holders;
    guint ring_max; /* engines to take from the ring */
    guint group;    /* that takes the request */
    guint reserved; /* engines reserved for urgent requests */
    guint side; /* engines on the request's side, first in the list; 0 if the
                 * group is not partitioned */
    guint64 short_hash_limit; /* engines of a lower hash serve short prompts */
} CandidateSet_t;

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

static gboolean
serves_short(const CandidateSet_t *candidates, const Upstream_t *upstream)
{
    return upstream->hash < candidates->short_hash_limit;
}

static gboolean
is_listed(const CandidateSet_t *candidates, const Upstream_t *upstream)
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
    CandidateSet_t *candidates = data;
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
is_other_group_member(const CandidateSet_t *candidates,
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
add_group_members(CandidateSet_t *candidates)
{
    const GPtrArray *serving = candidates->placement->serving;
    guint candidates_max = PrefixSupply_isShort(candidates->placement)
                               ? CANDIDATES_MAX
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

/* The usable engines of the group, the lowest hash first. An engine that this
 * request avoids counts, as others still use it: the engines on each side are
 * the same for all requests. */
static GPtrArray *
find_group_engines(const CandidateSet_t *candidates)
{
    const Placement_t *placement = candidates->placement;
    Placement_t without_avoid = *placement;
    without_avoid.avoid = NULL;
    GPtrArray *engines = g_ptr_array_new();
    for (guint i = 0; i < placement->serving->len; i++) {
        Upstream_t *upstream = g_ptr_array_index(placement->serving, i);
        if (group_of(placement, upstream) == candidates->group &&
            Policy_mayUse(&without_avoid, upstream)) {
            g_ptr_array_add(engines, upstream);
        }
    }
    g_ptr_array_sort(engines, compare_upstreams);
    return engines;
}

/* Adds the engines from index @from up to index @to but the one to avoid, the
 * home of the prefix first. */
static void
add_side(CandidateSet_t *candidates, const GPtrArray *engines, guint from,
         guint to)
{
    g_autoptr(GArray) side = g_array_new(FALSE, FALSE, sizeof(RankedEngine_t));
    for (guint i = from; i < to; i++) {
        Upstream_t *upstream = g_ptr_array_index(engines, i);
        RankedEngine_t ranked = {
            upstream, rendezvous_hash(candidates->placement, upstream)};
        if (upstream != candidates->placement->avoid) {
            g_array_append_val(side, ranked);
        }
    }
    g_array_sort(side, compare_ranks);
    for (guint i = 0; i < side->len && candidates->count < CANDIDATES_MAX;
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
add_idle(CandidateSet_t *candidates, const GPtrArray *engines, guint from)
{
    for (guint i = from;
         i < engines->len && candidates->count < CANDIDATES_MAX; i++) {
        Upstream_t *upstream = g_ptr_array_index(engines, i);
        if (upstream != candidates->placement->avoid &&
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
 * of the group if the only one there is to be avoided. Returns FALSE if the
 * group is not partitioned. */
static gboolean
add_partition_side(CandidateSet_t *candidates)
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
    return TRUE;
}

static void
add_engines_for_short(CandidateSet_t *candidates)
{
    const GPtrArray *serving = candidates->placement->serving;
    for (guint i = 0; i < serving->len && candidates->count < CANDIDATES_MAX;
         i++) {
        Upstream_t *upstream = g_ptr_array_index(serving, i);
        if (serves_short(candidates, upstream) &&
            !is_listed(candidates, upstream) &&
            Policy_mayUse(candidates->placement, upstream)) {
            candidates->list[candidates->count++] = upstream;
        }
    }
}

/* Adds the engines that hold the prefix: a request needs no transfer there. */
static void
add_holders(CandidateSet_t *candidates)
{
    for (guint i = 0;
         i < candidates->holders.count && candidates->count < CANDIDATES_MAX;
         i++) {
        Upstream_t *upstream = candidates->holders.list[i];
        if (Policy_mayUse(candidates->placement, upstream) &&
            !is_listed(candidates, upstream)) {
            candidates->list[candidates->count++] = upstream;
        }
    }
}

static void
find_candidates(CandidateSet_t *candidates, const Target_t *target)
{
    const Placement_t *placement = candidates->placement;
    gboolean grouped = placement->groups > 1;
    candidates->ring_max = grouped ? 1 : RING_CANDIDATES;
    candidates->short_hash_limit = find_short_hash_limit(placement);
    Ring_walk(target->ring, PrefixSupply_key(placement), RING_POINTS_MAX,
              visit_ring_engine, candidates);
    guint home_group =
        candidates->count > 0 ? group_of(placement, candidates->list[0]) : 0;
    candidates->group =
        placement->group > 0 ? placement->group - 1 : home_group;
    gboolean is_partitioned = grouped && add_partition_side(candidates);
    if (!is_partitioned) {
        candidates->group = home_group;
    }
    if (grouped && !is_partitioned && candidates->count > 0) {
        add_group_members(candidates);
    }
    if (placement->level_count > 0) {
        PrefixSupply_findHolders(candidates->policy->residency, placement,
                                 target->by_hash, &candidates->holders);
    }
    if (!is_partitioned) {
        add_holders(candidates);
    }
    if (!grouped && candidates->short_hash_limit > 0 &&
        PrefixSupply_isShort(placement)) {
        add_engines_for_short(candidates);
    }
}

static gboolean
has_old_weights(const Placement_t *placement, const Upstream_t *upstream)
{
    return placement->newest_weights &&
           placement->newest_age_ms >= OLD_WEIGHTS_GRACE_MS &&
           strcmp(placement->newest_weights, upstream->weights->str) != 0;
}

static gint64
prompt_compute_us(const Placement_t *placement, const Upstream_t *upstream,
                  const Supply_t *supply)
{
    guint tokens = placement->prompt_tokens - supply->tokens;
    return (gint64)(tokens * upstream->prefill_us_per_token);
}

/* Delay by the requests of all routers at an engine, as far as this router
 * knows them. */
static gint64
load_us(const Upstream_t *upstream)
{
    double tokens = (double)upstream->pending_tokens +
                    (double)upstream->peer_tokens +
                    (double)upstream->ticket_tokens;
    return (gint64)(tokens * upstream->prefill_us_per_token) +
           (gint64)RUNNING_COST_US * Upstream_countRequests(upstream);
}

/* Time until the engine takes the request into its batch. The slots and the
 * recent first tokens are two estimates of the same queue, so that the longer
 * one counts, not the sum. */
static gint64
queue_us(const Upstream_t *upstream, gint64 now_ms)
{
    EngineQueueInput_t input = {
        .slots = upstream->slots,
        .requests = Upstream_countRequests(upstream),
        .run_us = upstream->run_us,
    };
    return MAX(EngineQueue_waitUs(&input), Upstream_waitUs(upstream, now_ms));
}

/* Time to compute the shared part, without its effect on other requests. */
static gint64
shared_compute_us(const Placement_t *placement, const Upstream_t *upstream)
{
    return PrefixSupply_computeUs(placement, upstream) /
           PREFIX_SUPPLY_COMPUTE_FACTOR;
}

/* Time until the engine begins to compute the prompt. In a partitioned group
 * the prompts placed there are known by time. */
static gint64
begin_us(const CandidateSet_t *candidates, const Upstream_t *upstream)
{
    gint64 queue = queue_us(upstream, candidates->placement->now_ms);
    return candidates->side > 0
               ? MAX(queue,
                     EngineBacklog_waitUs(&upstream->backlog, Clock_nowUs()))
               : queue + load_us(upstream);
}

/* Expected time to the first token. */
static gint64
expected_us(const CandidateSet_t *candidates, const Upstream_t *upstream,
            const Supply_t *supply)
{
    return begin_us(candidates, upstream) +
           prompt_compute_us(candidates->placement, upstream, supply) +
           supply->move_us + supply->wait_us;
}

/* Penalties of an engine beyond the expected time to the first token. */
static gint64
penalty_us(const CandidateSet_t *candidates, guint rank,
           const Supply_t *supply, gint64 expected)
{
    const Placement_t *placement = candidates->placement;
    const Upstream_t *upstream = candidates->list[rank];
    gint64 penalty = rank > 0 ? SPILL_COST_US : 0;
    if (supply->tokens == 0) {
        penalty += PrefixSupply_computeUs(placement, upstream) -
                   shared_compute_us(placement, upstream);
    }
    if (candidates->short_hash_limit > 0 &&
        serves_short(candidates, upstream) !=
            PrefixSupply_isShort(placement)) {
        penalty += OTHER_LENGTH_COST_US;
    }
    if (placement->latest_us > 0 && expected > placement->latest_us) {
        penalty += LATE_COST_US;
    }
    if (candidates->side > 0 && rank >= candidates->side) {
        penalty += placement->latest_us;
    }
    if (has_old_weights(placement, upstream)) {
        penalty += OLD_WEIGHTS_COST_US;
    }
    if (placement->now_ms < upstream->load_soon_until_ms) {
        penalty += MAX(placement->run_us - RUN_BEFORE_LOAD_US, 0);
    }
    return penalty;
}

static Choice_t
find_cheapest(const CandidateSet_t *candidates)
{
    Choice_t choice = {.reason = "none_usable",
                       .candidates = candidates->count};
    gint64 min_cost = G_MAXINT64;
    for (guint rank = 0; rank < candidates->count; rank++) {
        Upstream_t *upstream = candidates->list[rank];
        Supply_t supply = PrefixSupply_find(&candidates->holders,
                                            candidates->placement, upstream);
        gint64 expected = expected_us(candidates, upstream, &supply);
        gint64 cost =
            expected + penalty_us(candidates, rank, &supply, expected);
        if (cost < min_cost) {
            min_cost = cost;
            choice.upstream = upstream;
            choice.reason = rank == 0 ? "home" : "spilled";
            choice.cost_us = expected;
            choice.supply = supply;
        }
    }
    return choice;
}

/* The engine that most likely holds a prefix of which this router knows no
 * holder: requests of other routers have most likely taken it to the home or,
 * while the home was unusable, to the next engine. */
static Upstream_t *
likely_source(const CandidateSet_t *candidates, const Upstream_t *to)
{
    for (guint rank = 0; rank < candidates->count; rank++) {
        Upstream_t *from = candidates->list[rank];
        if (from != to && from->ejections == 0 &&
            strcmp(from->weights->str, to->weights->str) == 0) {
            return from;
        }
    }
    return NULL;
}

static void
fill_supply(const CandidateSet_t *candidates, Choice_t *choice)
{
    choice->expected_cached = choice->supply.tokens;
    choice->own_us = prompt_compute_us(candidates->placement, choice->upstream,
                                       &choice->supply);
    if (choice->supply.kind == SUPPLY_UNKNOWN) {
        choice->supply.source = likely_source(candidates, choice->upstream);
    }
}

static Choice_t
choose(Policy_t *super, const Placement_t *placement)
{
    HomePolicy_t *this = (HomePolicy_t *)super;
    CandidateSet_t candidates = {.policy = this, .placement = placement};
    find_candidates(&candidates, target_of(this, placement));
    Choice_t choice = find_cheapest(&candidates);
    choice.group = candidates.group;
    choice.reserved = candidates.reserved;
    choice.side = candidates.side;
    if (choice.upstream) {
        fill_supply(&candidates, &choice);
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
commit(Policy_t *super, const Placement_t *placement, const Choice_t *choice)
{
    (void)super;
    PrefixSupply_commit(placement, choice);
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
    .commit = commit,
};

Policy_t *
HomePolicy_create(void)
{
    HomePolicy_t *this = g_new0(HomePolicy_t, 1);
    this->super.class = &class;
    this->residency = Residency_create(RESIDENCY_PREFIXES_DEFAULT);
    this->targets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_target);
    return &this->super;
}
