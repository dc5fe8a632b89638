#include "HomePolicy.h"

#include <string.h>

#include "Clock.h"
#include "EngineQueue.h"
#include "HomeCandidates.h"

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
    GHashTable *targets; /* name -> HomeTarget_t */
    guint64 generation;
} HomePolicy_t;

static void
destroy_target(gpointer target)
{
    HomeTarget_destroy(target);
}

static const HomeTarget_t *
target_of(HomePolicy_t *this, const Placement_t *placement)
{
    if (this->generation != placement->generation) {
        g_hash_table_remove_all(this->targets);
        this->generation = placement->generation;
    }
    HomeTarget_t *target =
        g_hash_table_lookup(this->targets, placement->target);
    if (!target) {
        target = HomeTarget_create(placement->serving);
        g_hash_table_replace(this->targets, g_strdup(placement->target),
                             target);
    }
    return target;
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
begin_us(const HomeCandidates_t *candidates, const Upstream_t *upstream)
{
    gint64 queue = queue_us(upstream, candidates->placement->now_ms);
    return candidates->side > 0
               ? MAX(queue,
                     EngineBacklog_waitUs(&upstream->backlog, Clock_nowUs()))
               : queue + load_us(upstream);
}

/* Expected time to the first token. */
static gint64
expected_us(const HomeCandidates_t *candidates, const Upstream_t *upstream,
            const Supply_t *supply)
{
    return begin_us(candidates, upstream) +
           prompt_compute_us(candidates->placement, upstream, supply) +
           supply->move_us + supply->wait_us;
}

/* Penalties of an engine beyond the expected time to the first token. */
static gint64
penalty_us(const HomeCandidates_t *candidates, guint rank,
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
        HomeCandidates_servesShort(candidates, upstream) !=
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
find_cheapest(const HomeCandidates_t *candidates)
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
likely_source(const HomeCandidates_t *candidates, const Upstream_t *to)
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
fill_supply(const HomeCandidates_t *candidates, Choice_t *choice)
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
    HomeCandidates_t candidates;
    HomeCandidates_find(&candidates, placement, target_of(this, placement),
                        this->residency);
    Choice_t choice = find_cheapest(&candidates);
    choice.group = candidates.group;
    choice.reserved = candidates.reserved;
    choice.side = candidates.side;
    choice.is_reserved_side = candidates.is_reserved_side;
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
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, destroy_target);
    return &this->super;
}
