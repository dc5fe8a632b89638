#ifndef HEADER_Policy
#define HEADER_Policy
/**
 * DOC: Policy
 *
 * How an upstream is chosen for a request. Each policy is one class; which
 * one is in force is a setting.
 */
#include <glib.h>

#include "Prompt.h"
#include "Settings.h"
#include "Upstream.h"
#include "UpstreamSet.h"

/**
 * struct Placement_t - a request that wants an upstream
 * @target: model or service
 * @serving: all upstreams that serve it
 * @generation: of the upstream set
 * @level_count: prefix levels, 0 for a plain service
 * @levels: identity of each, salted
 * @level_tokens: estimated tokens up to the end of each
 * @prompt_tokens: estimated tokens of the whole prompt
 * @hall: the router's own
 * @region: the router's own
 * @weights: version that the answer must come from, or NULL
 * @least_weights: no version below it, not even as a last resort; 0 for any
 * @newest: version that is preferred, or NULL
 * @newest_age_ms: how long ago it was named
 * @cache_store: what is kept beside the engines, or NULL
 * @warm_ms: longest rest of a connection that the request may use
 * @avoid: upstream of the last attempt that failed, or NULL
 * @groups: the upstreams are divided into so many, and one is chosen of the
 *     group of its home; 0 or 1 for no groups
 * @desperate: nothing else is left, so that an ejected one will do
 * @now_ms: monotonic
 */
typedef struct {
    const char *target;
    const GPtrArray *serving;
    guint64 generation;
    guint level_count;
    guint64 levels[PROMPT_LEVELS_MAX];
    guint level_tokens[PROMPT_LEVELS_MAX];
    guint prompt_tokens;
    const char *hall;
    const char *region;
    const char *weights;
    guint64 least_weights;
    const char *newest;
    gint64 newest_age_ms;
    const struct CacheStore *cache_store;
    gint64 warm_ms;
    const Upstream_t *avoid;
    guint groups;
    gboolean desperate;
    gint64 now_ms;
} Placement_t;

/**
 * struct Choice_t - the upstream chosen
 * @upstream: NULL where none is usable
 * @reason: why, a static text for traces
 * @candidates: how many were weighed
 * @expected_cached: prompt tokens that it should have in its cache
 * @cost_us: expected time to the first token, and what was added to it
 * @own_us: the part of it that the prompt itself takes to compute
 * @fetch_from: engine whose cached prefix it should take over, or NULL
 * @group: of the home, where there are groups
 * @source_seen: @fetch_from was seen to read the prefix; else it is only
 *     likely to have done so
 */
typedef struct {
    Upstream_t *upstream;
    const char *reason;
    guint candidates;
    guint expected_cached;
    gint64 cost_us;
    gint64 own_us;
    const Upstream_t *fetch_from;
    gboolean source_seen;
    guint group;
} Choice_t;

typedef struct Policy Policy_t;

/**
 * struct PolicyClass_t - one policy
 * @name: as the setting has it
 * @destroy: free it
 * @choose: weigh the candidates
 * @learn: an engine said what it had in its cache, or has read the whole
 *     prompt; may be NULL
 */
typedef struct {
    const char *name;
    void (*destroy)(Policy_t *this);
    Choice_t (*choose)(Policy_t *this, const Placement_t *placement);
    void (*learn)(Policy_t *this, const Placement_t *placement,
                  const Upstream_t *upstream, guint expected, guint cached);
} PolicyClass_t;

/** struct Policy_t - extended by each class */
struct Policy {
    const PolicyClass_t *class;
};

/** Policy_create() - the policy that a setting names */
Policy_t *Policy_create(PolicyName_t name);

/** Policy_destroy() - free it */
static inline void
Policy_destroy(Policy_t *this)
{
    this->class->destroy(this);
}

/**
 * Policy_choose() - choose an upstream
 *
 * An ejected one is chosen only where no other is left: that it failed a
 * while ago is no proof that it would fail again.
 */
Choice_t Policy_choose(Policy_t *this, const Placement_t *placement);

/**
 * Policy_learn() - learn from an engine's answer
 * @expected: cached tokens that the choice had expected
 * @cached: cached tokens that there were
 */
static inline void
Policy_learn(Policy_t *this, const Placement_t *placement,
             const Upstream_t *upstream, guint expected, guint cached)
{
    if (this->class->learn) {
        this->class->learn(this, placement, upstream, expected, cached);
    }
}

/**
 * Placement_sharedLevel() - the last level of the part that prompts share
 *
 * The last part of a prompt is its own; what is before it is shared. There
 * must be one level at least.
 */
static inline guint
Placement_sharedLevel(const Placement_t *this)
{
    return this->level_count > 1 ? this->level_count - 2 : 0;
}

/** Policy_mayUse() - whether an upstream may be chosen at all */
gboolean Policy_mayUse(const Placement_t *placement,
                       const Upstream_t *upstream);

#endif
