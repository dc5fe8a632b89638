#include "Orders.h"

#include <string.h>

#include "Clock.h"
#include "NamedWeights.h"
#include "OrderPlaces.h"
#include "OrderTurn.h"

#define TICK_MS 50
/* How often a router without the lease looks over all engines: soon enough to
 * take a free one, and a small cost where there are thousands. */
#define LOOK_MS 250
struct Orders {
    OrdersSpec_t spec;
    OrderGiver_t giver;
    GString *scope;
    GHashTable *engines; /* upstream's name -> OrderedEngine_t */
    struct event *tick;
    gboolean stopped;
    guint news;          /* engines that lack weights or pause, as last seen */
    gint64 progress_ms;  /* when that last changed */
    gboolean stepped_in; /* for candidates that do nothing */
};

/* An engine of which some weights are wanted, whether it has them or not. */
typedef struct {
    OrderedEngine_t *engine;
    WantedWeights_t wanted;
    guint64 version; /* that it has, as a number; 0 where it is none */
} Ordered_t;

static void
free_engine(gpointer data)
{
    OrderedEngine_destroy(data);
}

static OrderedEngine_t *
engine_of(Orders_t *this, Upstream_t *upstream)
{
    OrderedEngine_t *engine =
        g_hash_table_lookup(this->engines, upstream->name->str);
    if (engine && OrderedEngine_upstream(engine) == upstream) {
        return engine;
    }
    if (engine && OrderedEngine_isOpen(engine)) {
        return NULL; /* declared anew; its call has to end first */
    }
    engine = OrderedEngine_create(&this->giver, upstream);
    g_hash_table_replace(this->engines, g_strdup(upstream->name->str), engine);
    return engine;
}

static gboolean
is_gone(gpointer name, gpointer engine, gpointer data)
{
    (void)name;
    (void)data;
    return OrderedEngine_upstream(engine)->removed &&
           !OrderedEngine_isOpen(engine);
}

static gboolean
is_mine(const Orders_t *this, const Upstream_t *upstream, WantedWeights_t *out)
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
        count += OrderedEngine_isLoading(engine) ? 1 : 0;
    }
    return count;
}

static gint
compare_versions(gconstpointer a, gconstpointer b)
{
    const Ordered_t *left = a;
    const Ordered_t *right = b;
    return (left->version > right->version) - (left->version < right->version);
}

/* Those with the oldest weights come first: when versions are named faster
 * than all engines can load them, none falls behind by more than one. */
static GArray *
find_engines(Orders_t *this)
{
    const GPtrArray *all = UpstreamSet_all(this->spec.upstreams);
    GArray *found = g_array_new(FALSE, FALSE, sizeof(Ordered_t));
    for (guint i = 0; i < all->len; i++) {
        Upstream_t *upstream = g_ptr_array_index(all, i);
        Ordered_t ordered = {.version = Upstream_weightsVersion(upstream)};
        if (is_mine(this, upstream, &ordered.wanted)) {
            ordered.engine = engine_of(this, upstream);
            if (ordered.engine) {
                g_array_append_val(found, ordered);
            }
        }
    }
    g_array_sort(found, compare_versions);
    return found;
}

/* Routers place nothing there any more. */
static gboolean
is_unused(const Orders_t *this, const Ordered_t *ordered)
{
    gint64 limit_ms = this->spec.settings->relay.weights_limit_ms;
    return ordered->wanted.lag_ms >= limit_ms - WEIGHTS_PLACE_MARGIN_MS;
}

static gboolean
serves(const Orders_t *this, const Ordered_t *ordered)
{
    const Upstream_t *upstream = OrderedEngine_upstream(ordered->engine);
    return !upstream->suspect && !is_unused(this, ordered) &&
           !OrderedEngine_isLoading(ordered->engine);
}

static OrderPlaces_t
count_places(const Orders_t *this, const GArray *engines)
{
    const PlatformSection_t *platform = &this->spec.settings->platform;
    OrderPlacesFacts_t facts = {
        .loading = count_loading(this),
        .least = (guint)platform->weight_loads,
        .percent = (guint)platform->load_percent,
    };
    for (guint i = 0; i < engines->len; i++) {
        const Ordered_t *ordered = &g_array_index(engines, Ordered_t, i);
        gboolean reached = !OrderedEngine_upstream(ordered->engine)->suspect;
        facts.reached += reached ? 1 : 0;
        facts.unused += reached && is_unused(this, ordered) ? 1 : 0;
        facts.serving += serves(this, ordered) ? 1 : 0;
    }
    return OrderPlaces_count(&facts);
}

/* As many as load at once are the next; the load of an engine waits for the
 * runs that it has, for 1.3 s at the median of ten streams each. */
static void
warn_next(const GArray *engines, guint count)
{
    for (guint i = 0; i < engines->len && count > 0; i++) {
        const Ordered_t *ordered = &g_array_index(engines, Ordered_t, i);
        if (OrderedEngine_isNext(ordered->engine, &ordered->wanted)) {
            OrderedEngine_warn(ordered->engine);
            count--;
        }
    }
}

static void
tend_all(Orders_t *this)
{
    g_hash_table_foreach_remove(this->engines, is_gone, NULL);
    GArray *engines = find_engines(this);
    OrderPlaces_t places = count_places(this, engines);
    for (guint i = 0; i < engines->len; i++) {
        const Ordered_t *ordered = &g_array_index(engines, Ordered_t, i);
        gboolean served = serves(this, ordered);
        if (OrderedEngine_tend(ordered->engine, &ordered->wanted,
                               OrderPlaces_has(&places, served))) {
            OrderPlaces_take(&places, served);
        }
    }
    warn_next(engines, places.most);
    g_array_unref(engines);
}

static gboolean
is_lagging(const Orders_t *this, const Upstream_t *upstream)
{
    WantedWeights_t wanted;
    return is_mine(this, upstream, &wanted) &&
           strcmp(upstream->weights->str, wanted.weights) != 0;
}

/* With a list the lease is wanted only while some engine lacks what is
 * wanted of it: each renewal is a call to the log. */
static gboolean
has_work(const Orders_t *this)
{
    const GPtrArray *all = UpstreamSet_all(this->spec.upstreams);
    for (guint i = 0; i < all->len; i++) {
        const Upstream_t *upstream = g_ptr_array_index(all, i);
        WantedWeights_t wanted;
        if (this->spec.form->listed ? is_lagging(this, upstream)
                                    : is_mine(this, upstream, &wanted)) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Whoever gives orders makes engines pause and change their weights, which
 * all routers hear of. */
static void
note_progress(Orders_t *this)
{
    const GPtrArray *all = UpstreamSet_all(this->spec.upstreams);
    gint64 now_ms = Clock_nowMs();
    guint news = 0;
    for (guint i = 0; i < all->len; i++) {
        const Upstream_t *upstream = g_ptr_array_index(all, i);
        news += is_lagging(this, upstream) ? 1 : 0;
        news += upstream->paused_until_ms > now_ms ? all->len + 1 : 0;
    }
    if (news != this->news || news == 0) {
        this->news = news;
        this->progress_ms = now_ms;
    }
}

/* Who has stepped in stays until the work is done. */
static gboolean
is_candidate(Orders_t *this, guint rank)
{
    gint64 stalled_ms = this->news > 0 ? Clock_nowMs() - this->progress_ms : 0;
    gboolean steps_in = rank >= ORDER_TURN_CANDIDATES &&
                        OrderTurn_isCandidate(rank, stalled_ms);
    this->stepped_in = this->news > 0 && (this->stepped_in || steps_in);
    return !this->stopped &&
           (OrderTurn_isCandidate(rank, 0) || this->stepped_in);
}

/* A number that an engine found stale is that of a lease that was lost; the
 * next one is higher. */
static void
forgive_stale(Orders_t *this)
{
    if (Lease_term(this->giver.lease) == 0) {
        this->giver.stale_until_ms = 0;
    }
}

static void
on_tick(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Orders_t *this = data;
    Lease_t *lease = this->giver.lease;
    guint rank =
        Membership_rank(this->spec.membership, this->scope->str, NULL);
    note_progress(this);
    /* A rank is none before the others are known. */
    gboolean ranked = Membership_isSettled(this->spec.membership);
    gboolean candidate = ranked && is_candidate(this, rank);
    gboolean wanted =
        candidate && has_work(this) && this->giver.stale_until_ms == 0;
    gboolean followed = !this->stopped && this->spec.form->listed && ranked &&
                        rank < ORDER_TURN_FOLLOWERS;
    Lease_follow(lease, followed);
    Lease_want(lease, wanted, OrderTurn_patienceMs(rank));
    if (wanted && Lease_remainingMs(lease) > 0) {
        tend_all(this);
    }
    forgive_stale(this);
    Clock_arm(this->tick, Lease_term(lease) > 0 ? TICK_MS : LOOK_MS);
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
    this->giver = (OrderGiver_t){
        .base = base,
        .form = spec->form,
        .lease = create_lease(this, base),
        .membership = spec->membership,
        .hints = spec->hints,
        .notices = spec->notices,
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
        Lease_release(this->giver.lease);
    }
}

void
Orders_destroy(Orders_t *this)
{
    event_free(this->tick);
    g_hash_table_destroy(this->engines);
    Lease_destroy(this->giver.lease);
    g_string_free(this->scope, TRUE);
    g_free(this);
}
