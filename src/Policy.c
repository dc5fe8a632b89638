#include "Policy.h"

#include <string.h>

/* An upstream whose known weights differ is used only as a last resort: it
 * may have loaded the required weights since. */
static gboolean
has_weights(const Placement_t *placement, const Upstream_t *upstream)
{
    return !placement->weights || upstream->weights->len == 0 ||
           strcmp(placement->weights, upstream->weights->str) == 0;
}

static gboolean
has_capacity(const Placement_t *placement, const Upstream_t *upstream)
{
    if (!upstream->limit.is_named || placement->ignores_limits ||
        upstream == placement->permitted) {
        return TRUE;
    }
    return !placement->excludes_limited &&
           UpstreamLimit_fullMs(&upstream->limit, placement->now_ms) == 0;
}

/* Just after a backoff, requests to the upstream are paced; a last resort does
 * not wait for its time slot. */
static gboolean
is_backed_off(const Placement_t *placement, const Upstream_t *upstream)
{
    const UpstreamBackoff_t *backoff = &upstream->backoff;
    if (placement->ignores_backoffs) {
        return FALSE;
    }
    return UpstreamBackoff_leftMs(backoff, placement->now_ms) > 0 ||
           (!placement->is_last_resort &&
            UpstreamBackoff_isPaced(backoff, placement->now_ms));
}

static gboolean
has_software(const Placement_t *placement, const Upstream_t *upstream)
{
    const char *software = placement->software;
    return !software || (*software != '\0' &&
                         strcmp(software, Upstream_software(upstream)) == 0);
}

static gboolean
is_alone(const Placement_t *placement, const Upstream_t *upstream)
{
    if (!placement->software) {
        return placement->serving->len <= 1;
    }
    for (guint i = 0; i < placement->serving->len; i++) {
        const Upstream_t *other = g_ptr_array_index(placement->serving, i);
        if (other != upstream && has_software(placement, other)) {
            return FALSE;
        }
    }
    return TRUE;
}

/* Where an attempt failed, its upstream is used again only if it is the only
 * one. */
gboolean
Policy_mayUse(const Placement_t *placement, const Upstream_t *upstream)
{
    if (!has_software(placement, upstream)) {
        return FALSE;
    }
    if (upstream == placement->avoid && !is_alone(placement, upstream)) {
        return FALSE;
    }
    if (placement->permitted && upstream != placement->permitted) {
        return FALSE;
    }
    if (!has_capacity(placement, upstream) ||
        is_backed_off(placement, upstream)) {
        return FALSE;
    }
    if (placement->min_weights_version > 0 &&
        Upstream_weightsVersion(upstream) < placement->min_weights_version) {
        return FALSE;
    }
    return placement->is_last_resort
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
    Placement_t last_resort = *placement;
    last_resort.is_last_resort = TRUE;
    return this->class->choose(this, &last_resort);
}

LimitedCapacity_t
Policy_findLimited(const Placement_t *placement)
{
    Placement_t unlimited = *placement;
    LimitedCapacity_t capacity = {.full_ms = G_MAXINT64};
    unlimited.permitted = NULL;
    unlimited.ignores_limits = TRUE;
    for (guint i = 0; i < placement->serving->len; i++) {
        const Upstream_t *upstream = g_ptr_array_index(placement->serving, i);
        const UpstreamLimit_t *limit = &upstream->limit;
        if (!limit->is_named || !Policy_mayUse(&unlimited, upstream)) {
            continue;
        }
        gint64 full_ms = UpstreamLimit_fullMs(limit, placement->now_ms);
        capacity.count++;
        capacity.per_s += UpstreamLimit_rate(limit).per_s;
        capacity.full_ms = MIN(capacity.full_ms, full_ms);
    }
    return capacity;
}

BackedOffUpstreams_t
Policy_findBackedOff(const Placement_t *placement)
{
    Placement_t unpaced = *placement;
    BackedOffUpstreams_t found = {.first_ms = G_MAXINT64};
    unpaced.permitted = NULL;
    unpaced.ignores_backoffs = TRUE;
    unpaced.is_last_resort = TRUE;
    for (guint i = 0; i < placement->serving->len; i++) {
        const Upstream_t *upstream = g_ptr_array_index(placement->serving, i);
        gint64 left_ms =
            UpstreamBackoff_leftMs(&upstream->backoff, placement->now_ms);
        if (left_ms > 0 && Policy_mayUse(&unpaced, upstream)) {
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

gboolean
Policy_hasSoftware(const Placement_t *placement)
{
    for (guint i = 0; i < placement->serving->len; i++) {
        const Upstream_t *upstream = g_ptr_array_index(placement->serving, i);
        if (!upstream->leaving && has_software(placement, upstream)) {
            return TRUE;
        }
    }
    return !placement->software;
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
