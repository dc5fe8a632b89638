#ifndef HEADER_Policy
#define HEADER_Policy
/**
 * DOC: Policy
 *
 * How an upstream is chosen for a request. Each policy is one class; which
 * one is in force is a setting (Policies.h).
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
 * @cache_tokens: that an engine's memory holds, 0 for unknown
 * @move_us_per_token: over an engine's link, 0 for unknown
 * @store_us_per_token: over the store's link, 0 for unknown
 * @run_us: how long it is expected to run after its first token, 0 for unknown
 * @latest_us: by when the first token should come, 0 for any time
 * @short_share: of the engines, that are for short prompts; 0 for none
 * @warm_ms: longest rest of a connection that the request may use
 * @avoid: upstream of the last attempt that failed, or NULL
 * @permitted: upstream with room for this request, so that no other one is
 *     used; NULL for none
 * @groups: the upstreams are divided into so many, and one is chosen of the
 *     group of its home; 0 or 1 for no groups
 * @spares_limited: no upstream that has named a limit is used
 * @ignores_limits: as if none had named one
 * @ignores_rests: as if none had asked for rest
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
    struct CacheStore *cache_store;
    guint cache_tokens;
    double move_us_per_token;
    double store_us_per_token;
    gint64 run_us;
    gint64 latest_us;
    double short_share;
    gint64 warm_ms;
    const Upstream_t *avoid;
    const Upstream_t *permitted;
    guint groups;
    gboolean spares_limited;
    gboolean ignores_limits;
    gboolean ignores_rests;
    gboolean desperate;
    gint64 now_ms;
} Placement_t;

/**
 * struct PlacementTerms_t - which upstreams a request may use; see Placement_t
 */
typedef struct {
    const Upstream_t *avoid;
    const Upstream_t *permitted;
    gboolean spares_limited;
} PlacementTerms_t;

/**
 * enum SupplyKind_t - how an engine comes by the shared part of a prompt
 * @SUPPLY_UNKNOWN: nobody is known to have it
 * @SUPPLY_HELD: it should hold it
 * @SUPPLY_ENGINE: another engine that should hold it gives it
 * @SUPPLY_STORE: the store of cached prefixes gives it
 * @SUPPLY_COMPUTED: it computes it, as that is soonest
 */
typedef enum {
    SUPPLY_UNKNOWN,
    SUPPLY_HELD,
    SUPPLY_ENGINE,
    SUPPLY_STORE,
    SUPPLY_COMPUTED,
} SupplyKind_t;

/**
 * struct Supply_t - the same in detail
 * @kind: how
 * @tokens: of the prompt, that need not be computed
 * @move_us: what the move takes once it has begun
 * @wait_us: until it begins
 * @source: engine that gives it, or may have it where nobody is known to;
 *     else NULL
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
 * @reason: why, a static text for traces
 * @candidates: how many were weighed
 * @expected_cached: prompt tokens that it should have in its cache
 * @cost_us: expected time to the first token
 * @own_us: the part of it that the prompt itself takes to compute
 * @supply: how it comes by the shared part of the prompt
 * @group: of the home, where there are groups
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
} Choice_t;

typedef struct Policy Policy_t;

/**
 * struct PolicyClass_t - one policy
 * @name: as the setting has it
 * @destroy: free it
 * @choose: weigh the candidates
 * @learn: an engine said what it had in its cache, or has read the whole
 *     prompt; may be NULL
 * @begin: a choice is carried out; may be NULL
 */
typedef struct {
    const char *name;
    void (*destroy)(Policy_t *this);
    Choice_t (*choose)(Policy_t *this, const Placement_t *placement);
    void (*learn)(Policy_t *this, const Placement_t *placement,
                  const Upstream_t *upstream, guint expected, guint cached);
    void (*begin)(Policy_t *this, const Placement_t *placement,
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

/** Placement_setTerms() - fill them in */
static inline void
Placement_setTerms(Placement_t *this, const PlacementTerms_t *terms)
{
    this->avoid = terms->avoid;
    this->permitted = terms->permitted;
    this->spares_limited = terms->spares_limited;
}

/** Policy_mayUse() - whether an upstream may be chosen at all */
gboolean Policy_mayUse(const Placement_t *placement,
                       const Upstream_t *upstream);

/**
 * struct LimitedRoom_t - upstreams that have named limits, and would be used
 * otherwise
 * @count: of them
 * @per_s: requests a second that they take together
 * @full_ms: when one of them has room at the soonest
 */
typedef struct {
    guint count;
    double per_s;
    gint64 full_ms;
} LimitedRoom_t;

/** Policy_findLimited() - of the upstreams that are weighed, those that only
 * their limits keep from being used */
LimitedRoom_t Policy_findLimited(const Placement_t *placement);

/**
 * struct RestingUpstreams_t - upstreams that have asked for rest, and would be
 * used otherwise
 * @count: of them
 * @first_ms: until the first of them ends its rest
 */
typedef struct {
    guint count;
    gint64 first_ms;
} RestingUpstreams_t;

/** Policy_findResting() - of the upstreams that are weighed, those that only
 * their rest keeps from being used */
RestingUpstreams_t Policy_findResting(const Placement_t *placement);

/** Policy_areAllLeaving() - whether all of the upstreams that are weighed, one
 * at least, are about to end */
gboolean Policy_areAllLeaving(const Placement_t *placement);

/** Policy_supplyName() - a static text for logs */
const char *Policy_supplyName(SupplyKind_t kind);

/** Policy_begin() - a request is sent where it was chosen to go */
static inline void
Policy_begin(Policy_t *this, const Placement_t *placement,
             const Choice_t *choice)
{
    if (this->class->begin) {
        this->class->begin(this, placement, choice);
    }
}

/**
 * Policy_learnPrefix() - an engine has read the shared part of a prompt
 * @prefix: its identity
 * @tokens: its length
 */
void Policy_learnPrefix(Policy_t *this, guint64 prefix, guint tokens,
                        const Upstream_t *upstream, gint64 now_ms);

#endif
