#include "RoundRobinPolicy.h"

typedef struct {
    Policy_t super;
    guint next;
} RoundRobinPolicy_t;

static Choice_t
choose(Policy_t *super, const Placement_t *placement)
{
    RoundRobinPolicy_t *this = (RoundRobinPolicy_t *)super;
    guint count = placement->serving->len;
    for (guint i = 0; i < count; i++) {
        Upstream_t *upstream =
            g_ptr_array_index(placement->serving, this->next++ % count);
        if (Policy_mayUse(placement, upstream)) {
            return (Choice_t){.upstream = upstream,
                              .reason = "next_in_turn",
                              .candidates = count};
        }
    }
    return (Choice_t){.reason = "none_usable", .candidates = count};
}

static void
destroy(Policy_t *super)
{
    g_free(super);
}

static const PolicyClass_t class = {
    .name = "round_robin", .destroy = destroy, .choose = choose};

Policy_t *
RoundRobinPolicy_create(void)
{
    RoundRobinPolicy_t *this = g_new0(RoundRobinPolicy_t, 1);
    this->super.class = &class;
    return &this->super;
}
