#include "Orders.h"

#include <string.h>

#include "Clock.h"
#include "LeaseRank.h"
#include "Log.h"
#include "ModelVersions.h"
#include "OrderPath.h"
#include "Random.h"
#include "WeightLoadSlots.h"

#define TICK_MS 50
/* Tick of a router that does not hold the lease: short enough to take a free
 * lease soon, long enough to be cheap with thousands of engines. */
#define TICK_WITHOUT_LEASE_MS 250

/* If the roll-out has made no progress for this time, its holder may be cut
 * off from the engines, and the other candidates find out whether they are. */
#define PATH_CHECK_MS 600

struct Orders {
    OrdersSpec_t spec;
    OrderSender_t sender;
    GString *scope;
    GHashTable *engines; /* upstream's name -> ManagedEngine_t */
    struct event *tick;
    gboolean stopped;
    guint pending_work; /* fingerprint of lagging and paused engines */
    gint64 progress_ms; /* when @pending_work last changed */
    gboolean took_over; /* from candidates that make no progress */
    OrderPath_t path;
};

/* An engine for which some weights are wanted, whether it has them or not. */
typedef struct {
    ManagedEngine_t *engine;
    WantedWeights_t wanted;
    guint64 version; /* of its current weights; 0 if that is not a number */
} EngineTarget_t;

static void
free_engine(gpointer data)
{
    ManagedEngine_destroy(data);
}

static ManagedEngine_t *
find_or_create_engine(Orders_t *this, Upstream_t *upstream)
{
    ManagedEngine_t *engine =
        g_hash_table_lookup(this->engines, upstream->name->str);
    if (engine && ManagedEngine_upstream(engine) == upstream) {
        return engine;
    }
    if (engine && ManagedEngine_hasCall(engine)) {
        /* Declared again; the call to the old one must end first. */
        return NULL;
    }
    engine = ManagedEngine_create(&this->sender, upstream);
    g_hash_table_replace(this->engines, g_strdup(upstream->name->str), engine);
    return engine;
}

static gboolean
is_removed(gpointer name, gpointer engine, gpointer data)
{
    (void)name;
    (void)data;
    return ManagedEngine_upstream(engine)->removed &&
           !ManagedEngine_hasCall(engine);
}

static gboolean
find_wanted(const Orders_t *this, const Upstream_t *upstream,
            WantedWeights_t *out)
{
    return !upstream->leaving &&
           strcmp(upstream->region->str,
                  this->spec.settings->router.region->str) == 0 &&
           this->spec.wanted(this->spec.wanted_data, upstream, out);
}

static guint
count_loading(const Orders_t *this)
{
    guint count = 0;
    GHashTableIter iter;
    gpointer engine = NULL;
    g_hash_table_iter_init(&iter, this->engines);
    while (g_hash_table_iter_next(&iter, NULL, &engine)) {
        count += ManagedEngine_isLoading(engine) ? 1 : 0;
    }
    return count;
}

static gint
compare_versions(gconstpointer a, gconstpointer b)
{
    const EngineTarget_t *left = a;
    const EngineTarget_t *right = b;
    return (left->version > right->version) - (left->version < right->version);
}

/* Lists the engines with wanted weights, those with the oldest weights first:
 * if versions are declared faster than all engines can load them, no engine
 * falls behind by more than one version. */
static GArray *
list_targets(Orders_t *this)
{
    const GPtrArray *all = UpstreamSet_all(this->spec.upstreams);
    GArray *found = g_array_new(FALSE, FALSE, sizeof(EngineTarget_t));
    for (guint i = 0; i < all->len; i++) {
        Upstream_t *upstream = g_ptr_array_index(all, i);
        EngineTarget_t target = {.version = Upstream_weightsVersion(upstream)};
        if (find_wanted(this, upstream, &target.wanted)) {
            target.engine = find_or_create_engine(this, upstream);
            if (target.engine) {
                g_array_append_val(found, target);
            }
        }
    }
    g_array_sort(found, compare_versions);
    return found;
}

/* Whether the engine's weights are too old for routers to place requests. */
static gboolean
is_outdated(const Orders_t *this, const EngineTarget_t *target)
{
    gint64 limit_ms = this->spec.settings->relay.weights_limit_ms;
    return target->wanted.lag_ms >= limit_ms - WEIGHTS_PLACEMENT_MARGIN_MS;
}

static gboolean
serves(const Orders_t *this, const EngineTarget_t *target)
{
    const Upstream_t *upstream = ManagedEngine_upstream(target->engine);
    return !upstream->suspect && !is_outdated(this, target) &&
           !ManagedEngine_isLoading(target->engine);
}

static WeightLoadSlots_t
compute_slots(const Orders_t *this, const GArray *engines)
{
    const PlatformSection_t *platform = &this->spec.settings->platform;
    WeightLoadSlotsInput_t input = {
        .loading = count_loading(this),
        .min_loading = (guint)platform->weight_loads,
        .loading_percent = (guint)platform->load_percent,
    };
    for (guint i = 0; i < engines->len; i++) {
        const EngineTarget_t *target =
            &g_array_index(engines, EngineTarget_t, i);
        gboolean reachable = !ManagedEngine_upstream(target->engine)->suspect;
        input.reachable += reachable ? 1 : 0;
        input.outdated += reachable && is_outdated(this, target) ? 1 : 0;
        input.serving += serves(this, target) ? 1 : 0;
    }
    return WeightLoadSlots_compute(&input);
}

/* Announces the next loads, for as many engines as may load at once. An engine
 * finishes its running streams before it loads, so routers should send it no
 * long ones from now on. */
static void
announce_next(const GArray *engines, guint count)
{
    for (guint i = 0; i < engines->len && count > 0; i++) {
        const EngineTarget_t *target =
            &g_array_index(engines, EngineTarget_t, i);
        if (ManagedEngine_needsSlot(target->engine, &target->wanted)) {
            ManagedEngine_announceLoadSoon(target->engine);
            count--;
        }
    }
}

static void
advance_all(Orders_t *this)
{
    g_hash_table_foreach_remove(this->engines, is_removed, NULL);
    GArray *engines = list_targets(this);
    WeightLoadSlots_t slots = compute_slots(this, engines);
    for (guint i = 0; i < engines->len; i++) {
        const EngineTarget_t *target =
            &g_array_index(engines, EngineTarget_t, i);
        gboolean is_serving = serves(this, target);
        if (ManagedEngine_advance(
                target->engine, &target->wanted,
                WeightLoadSlots_isAvailable(&slots, is_serving))) {
            WeightLoadSlots_acquire(&slots, is_serving);
        }
    }
    announce_next(engines, slots.max_loading);
    g_array_unref(engines);
}

static gboolean
is_lagging(const Orders_t *this, const Upstream_t *upstream)
{
    WantedWeights_t wanted;
    return find_wanted(this, upstream, &wanted) &&
           strcmp(upstream->weights->str, wanted.weights) != 0;
}

/* Whether the lease is needed. With listed engines it is needed only while
 * some engine lacks the wanted weights, as each renewal costs a call to the
 * log. Without a list, the state of each engine has to be read regularly. */
static gboolean
has_work(const Orders_t *this)
{
    const GPtrArray *all = UpstreamSet_all(this->spec.upstreams);
    for (guint i = 0; i < all->len; i++) {
        const Upstream_t *upstream = g_ptr_array_index(all, i);
        WantedWeights_t wanted;
        if (this->spec.form->listed ? is_lagging(this, upstream)
                                    : find_wanted(this, upstream, &wanted)) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Records whether the roll-out makes progress: orders make engines pause and
 * change their weights, and all routers learn of both. */
static void
note_progress(Orders_t *this)
{
    const GPtrArray *all = UpstreamSet_all(this->spec.upstreams);
    gint64 now_ms = Clock_nowMs();
    guint pending_work = 0;
    for (guint i = 0; i < all->len; i++) {
        const Upstream_t *upstream = g_ptr_array_index(all, i);
        pending_work += is_lagging(this, upstream) ? 1 : 0;
        pending_work += upstream->paused_until_ms > now_ms ? all->len + 1 : 0;
    }
    if (pending_work != this->pending_work || pending_work == 0) {
        this->pending_work = pending_work;
        this->progress_ms = now_ms;
    }
}

/* A router that has taken over stays a candidate until the work is done. */
static gboolean
is_candidate(Orders_t *this, guint rank)
{
    gint64 stalled_ms =
        this->pending_work > 0 ? Clock_nowMs() - this->progress_ms : 0;
    gboolean takes_over = rank >= LEASE_RANK_CANDIDATES &&
                          LeaseRank_isCandidate(rank, stalled_ms);
    this->took_over =
        this->pending_work > 0 && (this->took_over || takes_over);
    return !this->stopped &&
           (LeaseRank_isCandidate(rank, 0) || this->took_over);
}

static void
log_path(const Orders_t *this, const OrderPathInput_t *input)
{
    Log_begin(LOG_LEVEL_WARNING, OrderPath_isLost(&this->path)
                                     ? "orders_path_lost"
                                     : "orders_path_found");
    Log_text("scope", this->scope->str);
    Log_number("engines", input->engines);
    Log_number("unreachable", input->unreachable);
    Log_number("no_path", input->has_no_path);
    Log_number("lease_left_ms", Lease_remainingMs(this->sender.lease));
    Log_end();
}

/* A router without the lease calls no engines, so it probes one of those that
 * it can't reach. It starts at a random one, as some may be gone for good. */
static void
probe_one(const Orders_t *this, const GArray *engines)
{
    guint first = engines->len > 0 ? Random_below(engines->len) : 0;
    if (!OrderPath_isBlocked(&this->path) ||
        Lease_remainingMs(this->sender.lease) > 0) {
        return;
    }
    for (guint i = 0; i < engines->len; i++) {
        const EngineTarget_t *target = &g_array_index(
            engines, EngineTarget_t, (first + i) % engines->len);
        if (ManagedEngine_probe(target->engine)) {
            return;
        }
    }
}

static OrderPathInput_t
count_unreachable(const Orders_t *this, const GArray *engines)
{
    const UpstreamPath_t *path = this->spec.path;
    OrderPathInput_t input = {
        .engines = engines->len,
        .has_no_path = path && UpstreamPath_isLost(path),
        .lease_ms = this->spec.settings->platform.lease_ms,
    };
    for (guint i = 0; i < engines->len; i++) {
        const EngineTarget_t *target =
            &g_array_index(engines, EngineTarget_t, i);
        input.unreachable +=
            ManagedEngine_isUnreachable(target->engine) ? 1 : 0;
    }
    return input;
}

static void
update_path(Orders_t *this)
{
    GArray *engines = list_targets(this);
    OrderPathInput_t input = count_unreachable(this, engines);
    probe_one(this, engines);
    g_array_unref(engines);
    if (OrderPath_update(&this->path, &input, Clock_nowMs())) {
        log_path(this, &input);
    }
}

/* Lets other routers take the lease at once, unless an engine may still carry
 * out an order of this lease or does not check fencing numbers. Then the lease
 * has to expire. */
static void
yield_lease(Orders_t *this)
{
    const PlatformSection_t *platform = &this->spec.settings->platform;
    gint64 order_age_ms = Clock_nowMs() - this->sender.last_order_ms;
    gboolean has_recent_order =
        this->sender.last_order_ms != 0 && order_age_ms < platform->lease_ms;
    if (platform->fencing && !has_recent_order) {
        Lease_yield(this->sender.lease);
    }
}

/* Whether another router may be stuck with the roll-out. */
static gboolean
is_stalled(const Orders_t *this)
{
    return this->pending_work > 0 &&
           Clock_nowMs() - this->progress_ms >= PATH_CHECK_MS &&
           Membership_countActive(this->spec.membership) > 1;
}

/* Whether this router may hold the lease. A holder keeps it until the path is
 * known to be lost. */
static gboolean
has_path(const Orders_t *this)
{
    UpstreamPath_t *path = this->spec.path;
    if (Lease_remainingMs(this->sender.lease) > 0) {
        return !OrderPath_isLost(&this->path);
    }
    if (path && is_stalled(this)) {
        UpstreamPath_check(path, Clock_nowMs());
    }
    return !OrderPath_isBlocked(&this->path) &&
           !(path && UpstreamPath_isInDoubt(path));
}

/* Allows orders again once the lease with the stale number is lost or over:
 * the next lease has a higher number. A router without others that take the
 * lease would never lose it. */
static void
clear_stale(Orders_t *this)
{
    const Lease_t *lease = this->sender.lease;
    if (Lease_term(lease) == 0 || Lease_remainingMs(lease) <= 0) {
        this->sender.stale_until_ms = 0;
    }
}

static void
on_tick(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Orders_t *this = data;
    Lease_t *lease = this->sender.lease;
    guint rank =
        Membership_localRank(this->spec.membership, this->scope->str, NULL);
    note_progress(this);
    /* The rank is meaningless until the other members are known. */
    gboolean is_ranked = Membership_isConverged(this->spec.membership);
    gboolean is_needed =
        is_ranked && is_candidate(this, rank) && has_work(this);
    if (is_needed || OrderPath_isBlocked(&this->path)) {
        update_path(this);
    }
    gboolean wanted =
        is_needed && has_path(this) && this->sender.stale_until_ms == 0;
    gboolean followed = !this->stopped && this->spec.form->listed &&
                        is_ranked && rank < LEASE_RANK_FOLLOWERS;
    Lease_setFollowed(lease, followed);
    Lease_setWanted(lease, wanted, LeaseRank_delayMs(rank));
    if (wanted && Lease_remainingMs(lease) > 0) {
        advance_all(this);
    }
    if (OrderPath_isLost(&this->path)) {
        yield_lease(this);
    }
    clear_stale(this);
    Clock_arm(this->tick,
              Lease_term(lease) > 0 ? TICK_MS : TICK_WITHOUT_LEASE_MS);
}

static Lease_t *
create_lease(const Orders_t *this, struct event_base *base)
{
    const Settings_t *settings = this->spec.settings;
    LeaseSpec_t lease = {
        .log = this->spec.log,
        .epoch = this->spec.epoch,
        .scope = this->scope->str,
        .holder = settings->router.name->str,
        .incarnation = this->spec.incarnation,
        .duration_ms = settings->platform.lease_ms,
        .poll_ms = settings->platform.log_poll_ms,
        .counters = this->spec.counters,
    };
    return Lease_create(base, &lease);
}

Orders_t *
Orders_create(struct event_base *base, const OrdersSpec_t *spec)
{
    const Settings_t *settings = spec->settings;
    Orders_t *this = g_new0(Orders_t, 1);
    this->spec = *spec;
    this->scope = g_string_new("orders-");
    g_string_append(this->scope, settings->router.region->str);
    this->sender = (OrderSender_t){
        .base = base,
        .form = spec->form,
        .lease = create_lease(this, base),
        .membership = spec->membership,
        .hints = spec->hints,
        .notices = spec->notices,
        .path = spec->path,
        .counters = spec->counters,
        .holder = settings->router.name->str,
        .timeout_ms = settings->platform.order_timeout_ms,
    };
    this->engines =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_engine);
    this->tick = Clock_timer(base, on_tick, this);
    Clock_arm(this->tick, TICK_MS);
    return this;
}

void
Orders_stop(Orders_t *this)
{
    this->stopped = TRUE;
    if (this->spec.settings->platform.fencing) {
        Lease_release(this->sender.lease);
    }
}

void
Orders_destroy(Orders_t *this)
{
    event_free(this->tick);
    g_hash_table_destroy(this->engines);
    Lease_destroy(this->sender.lease);
    g_string_free(this->scope, TRUE);
    g_free(this);
}
