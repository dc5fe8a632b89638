#include "Policies.h"

#include "HomePolicy.h"
#include "LeastLoadedPolicy.h"
#include "PrefixPolicy.h"
#include "RoundRobinPolicy.h"

Policy_t *
Policies_create(PolicyName_t name)
{
    switch (name) {
    case POLICY_ROUND_ROBIN:
        return RoundRobinPolicy_create();
    case POLICY_HOME:
        return HomePolicy_create();
    case POLICY_LEAST_LOADED:
        return LeastLoadedPolicy_create();
    default:
        return PrefixPolicy_create();
    }
}
