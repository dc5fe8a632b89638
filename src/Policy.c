#include "Policy.h"

#include "LeastLoadedPolicy.h"
#include "PrefixPolicy.h"
#include "RoundRobinPolicy.h"

Policy_t *
Policy_create(PolicyName_t name)
{
    switch (name) {
    case POLICY_ROUND_ROBIN:
        return RoundRobinPolicy_create();
    case POLICY_LEAST_LOADED:
        return LeastLoadedPolicy_create();
    default:
        return PrefixPolicy_create();
    }
}

/* The upstream that just failed is used again only if it is the only one. */
gboolean
Policy_mayUse(const Placement_t *placement, const Upstream_t *upstream)
{
    if (upstream == placement->avoid && placement->serving->len > 1) {
        return FALSE;
    }
    return Upstream_isUsable(upstream, placement->now_ms);
}
