#include "LeastLoadedPolicy.h"

typedef struct {
    Policy_t super;
    guint rotation; /* index that the search starts from, breaks ties */
} LeastLoadedPolicy_t;

static guint64
load_of(const Upstream_t *upstream)
{
    return (guint64)upstream->in_flight + upstream->peer_requests +
           upstream->reported_running;
}

/* Of two upstreams with the same load, prefers the one with an open
 * connection: a new connection costs time and work on the upstream. The
 * router thus keeps connections to only as many upstreams as its requests use
 * at a time, although the search starts at each upstream in turn. */
static gboolean
is_better(const Placement_t *placement, const Upstream_t *upstream,
          const Upstream_t *best)
{
    if (!best || load_of(upstream) != load_of(best)) {
        return !best || load_of(upstream) < load_of(best);
    }
    return Upstream_hasWarmConnection(upstream, placement->warm_ms,
                                      placement->now_ms) &&
           !Upstream_hasWarmConnection(best, placement->warm_ms,
                                       placement->now_ms);
}

static Choice_t
choose(Policy_t *super, const Placement_t *placement)
{
    LeastLoadedPolicy_t *this = (LeastLoadedPolicy_t *)super;
    guint count = placement->serving->len;
    Choice_t best = {.reason = "none_usable", .candidates = count};
    this->rotation++;
    for (guint i = 0; i < count; i++) {
        Upstream_t *upstream = g_ptr_array_index(placement->serving,
                                                 (i + this->rotation) % count);
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
