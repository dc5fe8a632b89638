#ifndef HEADER_Policy
#define HEADER_Policy
/**
 * DOC: Policy
 *
 * Chooses an upstream for a request. Each policy is one class; a setting
 * selects the class that is used (Policies.h).
 */
#include <glib.h>

#include "GroupPartitions.h"
#include "Prompt.h"
#include "Settings.h"
#include "Upstream.h"
#include "UpstreamSet.h"

/**
 * struct Placement_t - a request that needs an upstream
 * @target: model or service
 * @serving: all upstreams that serve the target
 * @generation: generation of the upstream set
 * @level_count: prefix levels, 0 for a plain service
 * @levels: identity of each level, salted
 * @level_tokens: estimated tokens up to the end of each level
 * @prompt_tokens: estimated tokens of the whole prompt
 * @hall: hall of this router
 * @region: region of this router
 * @weights: version that the answer must come from, or NULL
 * @min_weights_version: lowest version that may answer, even as a last
 *     resort; 0 for any
 * @newest_weights: version that is preferred, or NULL
 * @newest_age_ms: time since the newest version was named
 * @cache_store: shared store of cached prefixes, or NULL
 * @cache_tokens: capacity of an engine's cache, 0 for unknown
 * @move_us_per_token: transfer time over an engine's link, 0 for unknown
 * @store_us_per_token: transfer time over the store's link, 0 for unknown
 * @run_us: expected time from the first token to the end, 0 for unknown
 * @latest_us: longest wait for the first token that is still in time, 0 for
 *     any
 * @short_prompt_fraction: share of the engines that serve short prompts, 0 for
 * none
 * @warm_ms: longest idle time of a connection that the request may use
 * @avoid: upstream of the last attempt that failed, or NULL
 * @permitted: the only upstream that may be used, as its limit has admitted
 *     this request; NULL for any
 * @groups: number of groups that the upstreams are divided into; the request
 *     stays in the group of its home; 0 or 1 for no groups
 * @group: group that is to take the request in place of that of its home, plus
 *     1; 0 for the group of its home
 * @urgent: the request belongs to an urgent route of its service
 * @urgent_objective_us: objective of the urgent routes of the service; 0 if
 *     its engines are not to be partitioned
 * @partitions: partitions of the groups, or NULL
 * @software: the only software version that may be used, as it began the
 *     stream; NULL for any, empty for none
 * @excludes_limited: upstreams that have named a limit are not used
 * @ignores_limits: limits that upstreams have named do not count
 * @ignores_backoffs: backoffs that upstreams have asked for do not count
 * @is_last_resort: no usable upstream is left, so that ejected ones and those
 *     with other weights may be used
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
    guint64 min_weights_version;
    const char *newest_weights;
    gint64 newest_age_ms;
    struct CacheStore *cache_store;
    guint cache_tokens;
    double move_us_per_token;
    double store_us_per_token;
    gint64 run_us;
    gint64 latest_us;
    double short_prompt_fraction;
    gint64 warm_ms;
    const Upstream_t *avoid;
    const Upstream_t *permitted;
    guint groups;
    guint group;
    gboolean urgent;
    gint64 urgent_objective_us;
    GroupPartitions_t *partitions;
    const char *software;
    gboolean excludes_limited;
    gboolean ignores_limits;
    gboolean ignores_backoffs;
    gboolean is_last_resort;
    gint64 now_ms;
} Placement_t;

/**
 * struct PlacementConstraints_t - which upstreams a request may use; see
 * Placement_t
 */
typedef struct {
    const Upstream_t *avoid;
    const Upstream_t *permitted;
    gboolean excludes_limited;
} PlacementConstraints_t;

/**
 * enum SupplyKind_t - how an engine obtains the shared part of a prompt
 * @SUPPLY_UNKNOWN: no engine and no store is known to hold it
 * @SUPPLY_HELD: the engine should already hold it
 * @SUPPLY_ENGINE: fetched from another engine that should hold it
 * @SUPPLY_STORE: fetched from the store of cached prefixes
 * @SUPPLY_COMPUTED: computed by the engine, as that is the soonest
 */
typedef enum {
    SUPPLY_UNKNOWN,
    SUPPLY_HELD,
    SUPPLY_ENGINE,
    SUPPLY_STORE,
    SUPPLY_COMPUTED,
} SupplyKind_t;

/**
 * struct Supply_t - how an engine obtains the shared part, and at what cost
 * @kind: way that is used
 * @tokens: prompt tokens that need not be computed
 * @move_us: duration of the transfer once it has begun
 * @wait_us: time until the transfer begins
 * @source: engine to fetch the shared part from; for SUPPLY_UNKNOWN an engine
 *     that may have it; else NULL
 */
typedef struct {
    SupplyKind_t kind;
    guint tokens;
    gint64 move_us;
    gint64 wait_us;
    Upstream_t *source;
} Supply_t;

/**
 * struct Choice_t - the upstream chosen
 * @upstream: NULL where none is usable
 * @reason: why it was chosen, a static text for traces
 * @candidates: number of upstreams that were compared
 * @expected_cached: prompt tokens that it need not compute
 * @cost_us: expected time to the first token
 * @own_us: part of @cost_us that computes this prompt
 * @supply: how the upstream obtains the shared part of the prompt
 * @group: group of the home, where there are groups
 * @reserved: engines of the group that are reserved for urgent requests
 * @side: engines of the group on the request's side of the partition; 0 if the
 *     group is not partitioned
 * @is_reserved_side: that side is the reserved one; a prompt of an urgent
 * route that takes longer than the objective belongs to the other one
 */
typedef struct {
    Upstream_t *upstream;
    const char *reason;
    guint candidates;
    guint expected_cached;
    gint64 cost_us;
    gint64 own_us;
    Supply_t supply;
    guint group;
    guint reserved;
    guint side;
    gboolean is_reserved_side;
} Choice_t;

/** Choice_isUrgent() - whether a request counts as urgent for the partition of
 * its group */
static inline gboolean
Choice_isUrgent(const Choice_t *this, const Placement_t *placement)
{
    return this->side > 0 ? this->is_reserved_side : placement->urgent;
}

typedef struct Policy Policy_t;

/**
 * struct PolicyClass_t - one policy
 * @name: value of the setting that selects it
 * @destroy: free it
 * @choose: compare the candidates and choose one
 * @learn: an engine reported its cached tokens, or has read the whole prompt;
 *     may be NULL
 * @commit: a request is sent to the chosen upstream; may be NULL
 */
typedef struct {
    const char *name;
    void (*destroy)(Policy_t *this);
    Choice_t (*choose)(Policy_t *this, const Placement_t *placement);
    void (*learn)(Policy_t *this, const Placement_t *placement,
                  const Upstream_t *upstream, guint expected, guint cached);
    void (*commit)(Policy_t *this, const Placement_t *placement,
                   const Choice_t *choice);
} PolicyClass_t;

/** struct Policy_t - extended by each class */
struct Policy {
    const PolicyClass_t *class;
};

/** Policy_destroy() - free it */
static inline void
Policy_destroy(Policy_t *this)
{
    this->class->destroy(this);
}

/**
 * Policy_choose() - choose an upstream
 *
 * An ejected upstream is chosen only where no other is left: a failure some
 * time ago does not prove that it would fail again.
 */
Choice_t Policy_choose(Policy_t *this, const Placement_t *placement);

/**
 * Policy_learn() - learn from an engine's answer
 * @expected: cached tokens that the choice had expected
 * @cached: cached tokens that the engine found
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
 * Placement_sharedLevel() - the last level that other prompts may share
 *
 * The last level of a prompt is not shared, all levels before it are. There
 * must be at least one level.
 */
static inline guint
Placement_sharedLevel(const Placement_t *this)
{
    return this->level_count > 1 ? this->level_count - 2 : 0;
}

/** Placement_setConstraints() - copy the constraints into the placement */
static inline void
Placement_setConstraints(Placement_t *this,
                         const PlacementConstraints_t *constraints)
{
    this->avoid = constraints->avoid;
    this->permitted = constraints->permitted;
    this->excludes_limited = constraints->excludes_limited;
}

/** Policy_mayUse() - whether an upstream may be chosen for a request */
gboolean Policy_mayUse(const Placement_t *placement,
                       const Upstream_t *upstream);

/**
 * struct LimitedCapacity_t - upstreams that would be usable but for the limits
 * that they have named
 * @count: number of these upstreams
 * @per_s: sum of their limits in requests per second
 * @full_ms: time until the first of them has free capacity
 */
typedef struct {
    guint count;
    double per_s;
    gint64 full_ms;
} LimitedCapacity_t;

/** Policy_findLimited() - the upstreams of a request that would be usable but
 * for their limits */
LimitedCapacity_t Policy_findLimited(const Placement_t *placement);

/**
 * struct BackedOffUpstreams_t - upstreams that would be usable but for the
 * backoff that they have asked for
 * @count: number of these upstreams
 * @first_ms: time until the first backoff ends
 */
typedef struct {
    guint count;
    gint64 first_ms;
} BackedOffUpstreams_t;

/** Policy_findBackedOff() - the upstreams of a request that would be usable
 * but for their backoff */
BackedOffUpstreams_t Policy_findBackedOff(const Placement_t *placement);

/** Policy_areAllLeaving() - whether the request has upstreams and all of them
 * are shutting down */
gboolean Policy_areAllLeaving(const Placement_t *placement);

/** Policy_hasSoftware() - whether an upstream that stays serves the request
 * with the software version that it requires, if it requires one */
gboolean Policy_hasSoftware(const Placement_t *placement);

/** Policy_supplyName() - name of a kind, a static text for logs */
const char *Policy_supplyName(SupplyKind_t kind);

/** Policy_commit() - a request is sent to the chosen upstream */
static inline void
Policy_commit(Policy_t *this, const Placement_t *placement,
              const Choice_t *choice)
{
    if (this->class->commit) {
        this->class->commit(this, placement, choice);
    }
}

/**
 * Policy_learnPrefix() - an engine has read the shared part of a prompt
 * @prefix: identity of the shared part
 * @tokens: length of the shared part
 */
void Policy_learnPrefix(Policy_t *this, guint64 prefix, guint tokens,
                        const Upstream_t *upstream, gint64 now_ms);

#endif
