#include "PrefixSupply.h"

#include <string.h>

#include "CacheStore.h"
#include "Clock.h"
#include "Random.h"

/* Time of a move besides the transfer itself: set-up and a round trip. */
#define MOVE_SETUP_US 6000
/* Users rate their links between halls at half the speed of those within. */
#define OTHER_HALL_FACTOR 2
/* Defaults where the configuration has no sizes or link speeds: time to move
 * some thousand tokens from an engine, and from a store, which serves all
 * engines. */
#define DEFAULT_MOVE_US 8000
#define DEFAULT_STORE_US 20000
/* Default where the configuration has no capacity of the engines' caches: a
 * prefix that was not used for this long may have been evicted. */
#define DEFAULT_RETENTION_MS 10000

guint64
PrefixSupply_key(const Placement_t *placement)
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

gboolean
PrefixSupply_isShort(const Placement_t *placement)
{
    return shared_tokens(placement) < PREFIX_SUPPLY_TOKENS_MIN;
}

static gboolean
retains_prefix(const Placement_t *placement, const Upstream_t *upstream,
               const Holder_t *holder)
{
    if (placement->cache_tokens == 0) {
        return holder->mark.epoch == upstream->memory.epoch &&
               placement->now_ms - holder->used_ms <= DEFAULT_RETENTION_MS;
    }
    return EngineMemory_retains(&upstream->memory, &holder->mark,
                                placement->cache_tokens,
                                Upstream_countRequests(upstream));
}

void
PrefixSupply_findHolders(const Residency_t *residency,
                         const Placement_t *placement, GHashTable *by_hash,
                         PrefixHolders_t *out)
{
    guint count = 0;
    const Holder_t *holders =
        Residency_holders(residency, PrefixSupply_key(placement), &count);
    out->count = 0;
    for (guint i = 0; i < count; i++) {
        Upstream_t *upstream =
            g_hash_table_lookup(by_hash, &holders[i].upstream);
        if (upstream && retains_prefix(placement, upstream, &holders[i])) {
            out->list[out->count++] = upstream;
        }
    }
}

static gboolean
is_holder(const PrefixHolders_t *holders, const Upstream_t *upstream)
{
    for (guint i = 0; i < holders->count; i++) {
        if (holders->list[i] == upstream) {
            return TRUE;
        }
    }
    return FALSE;
}

/* A source need not take requests, and may be leaving. It must be reachable
 * and have the same weights as the destination. */
static gboolean
can_supply(const Placement_t *placement, const Upstream_t *from,
           const Upstream_t *to)
{
    return from != to && !from->removed && !from->replaced &&
           from->ejections == 0 && !from->suspect &&
           from->paused_until_ms <= placement->now_ms &&
           strcmp(from->weights->str, to->weights->str) == 0;
}

static gint64
transfer_us(double us_per_token, guint tokens, const char *from_hall,
            const char *to_hall)
{
    double factor = strcmp(from_hall, to_hall) == 0 ? 1 : OTHER_HALL_FACTOR;
    return MOVE_SETUP_US + (gint64)(us_per_token * factor * tokens);
}

static gint64
move_us(const Placement_t *placement, const Upstream_t *from,
        const Upstream_t *to)
{
    if (placement->move_us_per_token <= 0) {
        return DEFAULT_MOVE_US;
    }
    return transfer_us(placement->move_us_per_token, shared_tokens(placement),
                       from->hall->str, to->hall->str);
}

static guint64
store_key(const Placement_t *placement, const Upstream_t *to)
{
    return CacheStore_prefix(PrefixSupply_key(placement), to->weights);
}

static gint64
store_move_us(const Placement_t *placement, const Upstream_t *to)
{
    const char *hall =
        CacheStore_hall(placement->cache_store, store_key(placement, to));
    if (placement->store_us_per_token <= 0) {
        return DEFAULT_STORE_US;
    }
    return transfer_us(placement->store_us_per_token, shared_tokens(placement),
                       hall, to->hall->str);
}

/* A move needs both links, and each link transfers one move at a time. */
static gint64
link_wait_us(const TransferLink_t *source, const TransferLink_t *destination,
             gint64 now_us)
{
    return MAX(TransferLink_waitUs(source, now_us),
               TransferLink_waitUs(destination, now_us));
}

static gint64
cost_us(const Supply_t *supply)
{
    return supply->move_us + supply->wait_us;
}

static gboolean
is_better(const Supply_t *supply, const Supply_t *best)
{
    return best->kind != SUPPLY_ENGINE || cost_us(supply) < cost_us(best);
}

static Supply_t
find_engine_supply(const PrefixHolders_t *holders,
                   const Placement_t *placement, const Upstream_t *to,
                   gint64 now_us)
{
    Supply_t best = {.kind = SUPPLY_UNKNOWN};
    for (guint i = 0; i < holders->count; i++) {
        Upstream_t *from = holders->list[i];
        if (!can_supply(placement, from, to)) {
            continue;
        }
        Supply_t supply = {
            .kind = SUPPLY_ENGINE,
            .tokens = shared_tokens(placement),
            .move_us = move_us(placement, from, to),
            .wait_us = link_wait_us(&from->link, &to->link, now_us),
            .source = from,
        };
        if (is_better(&supply, &best)) {
            best = supply;
        }
    }
    return best;
}

static gboolean
is_stored(const Placement_t *placement, const Upstream_t *upstream)
{
    return placement->cache_store &&
           CacheStore_contains(placement->cache_store,
                               store_key(placement, upstream),
                               placement->now_ms);
}

static Supply_t
find_store_supply(const Placement_t *placement, const Upstream_t *to,
                  gint64 now_us)
{
    if (!is_stored(placement, to)) {
        return (Supply_t){.kind = SUPPLY_UNKNOWN};
    }
    const TransferLink_t *link =
        CacheStore_link(placement->cache_store, store_key(placement, to));
    return (Supply_t){
        .kind = SUPPLY_STORE,
        .tokens = shared_tokens(placement),
        .move_us = store_move_us(placement, to),
        .wait_us = link_wait_us(link, &to->link, now_us),
    };
}

gint64
PrefixSupply_computeUs(const Placement_t *placement,
                       const Upstream_t *upstream)
{
    return (gint64)(PREFIX_SUPPLY_COMPUTE_FACTOR * shared_tokens(placement) *
                    upstream->prefill_us_per_token);
}

static Supply_t
find_fastest(const Placement_t *placement, const Upstream_t *to,
             const Supply_t *engine, const Supply_t *store)
{
    const Supply_t *best = engine;
    if (engine->kind == SUPPLY_UNKNOWN ||
        (store->kind != SUPPLY_UNKNOWN && cost_us(store) < cost_us(engine))) {
        best = store;
    }
    if (best->kind != SUPPLY_UNKNOWN &&
        cost_us(best) > PrefixSupply_computeUs(placement, to)) {
        return (Supply_t){.kind = SUPPLY_COMPUTED};
    }
    return *best;
}

Supply_t
PrefixSupply_find(const PrefixHolders_t *holders, const Placement_t *placement,
                  Upstream_t *to)
{
    guint tokens = shared_tokens(placement);
    gint64 now_us = Clock_nowUs();
    if (is_holder(holders, to)) {
        return (Supply_t){.kind = SUPPLY_HELD, .tokens = tokens};
    }
    if (PrefixSupply_isShort(placement)) {
        return (Supply_t){.kind = SUPPLY_COMPUTED};
    }
    Supply_t engine = find_engine_supply(holders, placement, to, now_us);
    Supply_t store = find_store_supply(placement, to, now_us);
    return find_fastest(placement, to, &engine, &store);
}

void
PrefixSupply_commit(const Placement_t *placement, const Choice_t *choice)
{
    Upstream_t *to = choice->upstream;
    const Supply_t *supply = &choice->supply;
    gint64 now_us = Clock_nowUs();
    guint held = supply->kind == SUPPLY_HELD ? supply->tokens : 0;
    EngineMemory_noteSent(&to->memory, placement->prompt_tokens,
                          placement->prompt_tokens -
                              MIN(held, placement->prompt_tokens));
    if (supply->kind == SUPPLY_ENGINE && supply->source) {
        TransferLink_reserve(&supply->source->link, &to->link, supply->move_us,
                             now_us);
    }
    else if (supply->kind == SUPPLY_STORE && placement->cache_store) {
        TransferLink_reserve(
            CacheStore_link(placement->cache_store, store_key(placement, to)),
            &to->link, supply->move_us, now_us);
    }
}
