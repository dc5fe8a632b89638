#include "LeastLoadedPolicy.h"

typedef struct {
    Policy_t super;
    guint turn;
} LeastLoadedPolicy_t;

static guint64
load_of(const Upstream_t *upstream)
{
    return (guint64)upstream->in_flight + upstream->others_requests +
           upstream->reported_running;
}

/* Of two with the same load the one with an open connection: a new one takes
 * time and work there. As each is used in turn, a router keeps connections to
 * just so many upstreams as its requests keep open. */
static gboolean
is_better(const Placement_t *placement, const Upstream_t *upstream,
          const Upstream_t *than)
{
    if (!than || load_of(upstream) != load_of(than)) {
        return !than || load_of(upstream) < load_of(than);
    }
    return Upstream_isWarm(upstream, placement->warm_ms, placement->now_ms) &&
           !Upstream_isWarm(than, placement->warm_ms, placement->now_ms);
}

static Choice_t
choose(Policy_t *super, const Placement_t *placement)
{
    LeastLoadedPolicy_t *this = (LeastLoadedPolicy_t *)super;
    guint count = placement->serving->len;
    Choice_t best = {.reason = "none_usable", .candidates = count};
    this->turn++;
    for (guint i = 0; i < count; i++) {
        Upstream_t *upstream =
            g_ptr_array_index(placement->serving, (i + this->turn) % count);
        if (!Policy_mayUse(placement, upstream)) {
            continue;
        }
        if (is_better(placement, upstream, best.upstream)) {
            best.upstream = upstream;
            best.reason = "least_loaded";
        }
    }
    return best;
}

static void
destroy(Policy_t *super)
{
    g_free(super);
}

static const PolicyClass_t class = {
    .name = "least_loaded", .destroy = destroy, .choose = choose};

Policy_t *
LeastLoadedPolicy_create(void)
{
    LeastLoadedPolicy_t *this = g_new0(LeastLoadedPolicy_t, 1);
    this->super.class = &class;
    return &this->super;
}
