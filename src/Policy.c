#include "Policy.h"

#include <string.h>

/* One that is not known to have the weights is tried only as a last resort:
 * it may have loaded them since. */
static gboolean
has_weights(const Placement_t *placement, const Upstream_t *upstream)
{
    return !placement->weights || upstream->weights->len == 0 ||
           strcmp(placement->weights, upstream->weights->str) == 0;
}

static gboolean
has_room(const Placement_t *placement, const Upstream_t *upstream)
{
    if (!upstream->limit.is_named || placement->ignores_limits ||
        upstream == placement->permitted) {
        return TRUE;
    }
    return !placement->spares_limited &&
           UpstreamLimit_fullMs(&upstream->limit, placement->now_ms) == 0;
}

/* Just after a rest, few requests are sent there; a last resort does not wait
 * for its turn. */
static gboolean
is_resting(const Placement_t *placement, const Upstream_t *upstream)
{
    const UpstreamRest_t *rest = &upstream->rest;
    if (placement->ignores_rests) {
        return FALSE;
    }
    return UpstreamRest_leftMs(rest, placement->now_ms) > 0 ||
           (!placement->desperate &&
            UpstreamRest_isPaced(rest, placement->now_ms));
}

/* The upstream that just failed is used again only if it is the only one. */
gboolean
Policy_mayUse(const Placement_t *placement, const Upstream_t *upstream)
{
    if (upstream == placement->avoid && placement->serving->len > 1) {
        return FALSE;
    }
    if (placement->permitted && upstream != placement->permitted) {
        return FALSE;
    }
    if (!has_room(placement, upstream) || is_resting(placement, upstream)) {
        return FALSE;
    }
    if (placement->least_weights > 0 &&
        Upstream_version(upstream) < placement->least_weights) {
        return FALSE;
    }
    return placement->desperate
               ? Upstream_takesWork(upstream) && !upstream->suspect
               : Upstream_isUsable(upstream, placement->now_ms) &&
                     has_weights(placement, upstream);
}

Choice_t
Policy_choose(Policy_t *this, const Placement_t *placement)
{
    Choice_t choice = this->class->choose(this, placement);
    if (choice.upstream) {
        return choice;
    }
    Placement_t again = *placement;
    again.desperate = TRUE;
    return this->class->choose(this, &again);
}

LimitedRoom_t
Policy_findLimited(const Placement_t *placement)
{
    Placement_t unlimited = *placement;
    LimitedRoom_t room = {.full_ms = G_MAXINT64};
    unlimited.permitted = NULL;
    unlimited.ignores_limits = TRUE;
    for (guint i = 0; i < placement->serving->len; i++) {
        const Upstream_t *upstream = g_ptr_array_index(placement->serving, i);
        const UpstreamLimit_t *limit = &upstream->limit;
        if (!limit->is_named || !Policy_mayUse(&unlimited, upstream)) {
            continue;
        }
        gint64 full_ms = UpstreamLimit_fullMs(limit, placement->now_ms);
        room.count++;
        room.per_s += UpstreamLimit_rate(limit).per_s;
        room.full_ms = MIN(room.full_ms, full_ms);
    }
    return room;
}

RestingUpstreams_t
Policy_findResting(const Placement_t *placement)
{
    Placement_t rested = *placement;
    RestingUpstreams_t found = {.first_ms = G_MAXINT64};
    rested.permitted = NULL;
    rested.ignores_rests = TRUE;
    rested.desperate = TRUE;
    for (guint i = 0; i < placement->serving->len; i++) {
        const Upstream_t *upstream = g_ptr_array_index(placement->serving, i);
        gint64 left_ms =
            UpstreamRest_leftMs(&upstream->rest, placement->now_ms);
        if (left_ms > 0 && Policy_mayUse(&rested, upstream)) {
            found.count++;
            found.first_ms = MIN(found.first_ms, left_ms);
        }
    }
    return found;
}

gboolean
Policy_areAllLeaving(const Placement_t *placement)
{
    for (guint i = 0; i < placement->serving->len; i++) {
        const Upstream_t *upstream = g_ptr_array_index(placement->serving, i);
        if (!upstream->leaving) {
            return FALSE;
        }
    }
    return placement->serving->len > 0;
}

void
Policy_learnPrefix(Policy_t *this, guint64 prefix, guint tokens,
                   const Upstream_t *upstream, gint64 now_ms)
{
    Placement_t placement = {
        .level_count = 1,
        .levels = {prefix},
        .level_tokens = {tokens},
        .prompt_tokens = tokens,
        .now_ms = now_ms,
    };
    Policy_learn(this, &placement, upstream, 0, tokens);
}

const char *
Policy_supplyName(SupplyKind_t kind)
{
    static const char *const names[] = {
        [SUPPLY_UNKNOWN] = "unknown",   [SUPPLY_HELD] = "held",
        [SUPPLY_ENGINE] = "engine",     [SUPPLY_STORE] = "store",
        [SUPPLY_COMPUTED] = "computed",
    };
    return names[kind];
}
