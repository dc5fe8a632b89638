#include "RelayPlacer.h"

#include "Clock.h"
#include "LoadShed.h"
#include "Log.h"
#include "PrefixSupply.h"
#include "RouteUrgency.h"

/* A request that waits in the queue of an engine with older weights is taken
 * back this long before weights_limit_ms, as routers learn of newer versions
 * late. */
#define QUEUE_REMOVAL_MARGIN_MS 500
#define BITS_PER_BYTE 8

/* Multiplier of the hash over the identities of a prompt's parts. */
#define PART_MULTIPLIER G_GUINT64_CONSTANT(0x9E3779B97F4A7C15)

static SaltInput_t
make_salt_input(const RelayPlacementInput_t *input, const char *weights)
{
    gboolean is_isolated = input->customer && !input->customer->shares_cache;
    return (SaltInput_t){
        .customer = is_isolated ? input->customer->name->str : "",
        .model = input->request->model ? input->request->model : "",
        .weights = weights,
        .adapter = "",
        .adapter_weights = "",
    };
}

/* A cached part is usable only after the same preceding parts, so the identity
 * of a level includes theirs. The last part belongs to this request alone and
 * is shared with no other. */
static void
fill_levels(Placement_t *placement, const RelayRequest_t *request,
            guint64 seed)
{
    guint64 identity = seed;
    guint tokens = 0;
    for (guint i = 0; i < request->part_count; i++) {
        identity = (identity ^ request->parts[i].id) * PART_MULTIPLIER;
        identity ^= identity >> 32;
        tokens += request->parts[i].tokens;
        placement->levels[i] = identity;
        placement->level_tokens[i] = tokens;
    }
    placement->level_count = request->part_count;
    placement->prompt_tokens = MAX(request->prompt_tokens, tokens);
}

static double
transfer_us_per_token(guint token_bytes, guint link_mbit)
{
    /* Bits divided by Mbit/s give microseconds. */
    return link_mbit > 0 ? (double)token_bytes * BITS_PER_BYTE / link_mbit : 0;
}

static void
update_store_halls(const Context_t *context, const RouteConfig_t *config)
{
    g_autoptr(GPtrArray) halls = g_ptr_array_new();
    for (guint i = 0; i < config->kv_stores->len; i++) {
        const RouteKvStore_t *store = g_ptr_array_index(config->kv_stores, i);
        g_ptr_array_add(halls, store->hall->str);
    }
    CacheStore_setCopies(context->cache_store, halls);
}

/* Sizes and link speeds from the configuration. */
static void
fill_transfer_costs(const Context_t *context, Placement_t *placement)
{
    const RouteConfig_t *config = RouteTable_config(context->routes);
    const RouteService_t *service =
        config ? RouteConfig_findService(config, placement->target) : NULL;
    if (!service) {
        return;
    }
    update_store_halls(context, config);
    placement->short_prompt_fraction =
        EngineSplit_shortPromptFraction(context->engine_split);
    placement->cache_tokens = service->cache_tokens;
    placement->move_us_per_token =
        transfer_us_per_token(service->token_bytes, service->link_mbit);
    if (config->kv_stores->len > 0) {
        const RouteKvStore_t *store = g_ptr_array_index(config->kv_stores, 0);
        placement->store_us_per_token =
            transfer_us_per_token(service->token_bytes, store->link_mbit);
    }
}

/* An answer on replaced weights loses value with the time since the newer ones
 * were named, and after weights_limit_ms none may begin. */
void
RelayPlacer_fillModelInputs(const Context_t *context, const char *model,
                            Placement_t *placement)
{
    placement->cache_store = context->cache_store;
    fill_transfer_costs(context, placement);
    if (!model) {
        return;
    }
    placement->newest_weights =
        ModelVersions_findNewest(context->weights, model);
    placement->newest_age_ms =
        ModelVersions_ageMs(context->weights, model, placement->now_ms);
    placement->min_weights_version =
        ModelVersions_minVersion(context->weights, model,
                                 context->settings->relay.weights_limit_ms -
                                     WEIGHTS_PLACEMENT_MARGIN_MS,
                                 placement->now_ms);
}

gboolean
RelayPlacer_hasOverdueWeights(const Context_t *context, const char *model,
                              const Upstream_t *upstream)
{
    if (!model) {
        return FALSE;
    }
    guint64 version_min = ModelVersions_minVersion(
        context->weights, model,
        context->settings->relay.weights_limit_ms - QUEUE_REMOVAL_MARGIN_MS,
        Clock_nowMs());
    return Upstream_weightsVersion(upstream) < version_min;
}

gint64
RelayPlacer_msUntilOverdue(const Context_t *context, const char *model,
                           const Upstream_t *upstream)
{
    if (!model) {
        return G_MAXINT64;
    }
    gint64 lag_ms =
        ModelVersions_lagMs(context->weights, model,
                            Upstream_weightsVersion(upstream), Clock_nowMs());
    gint64 limit_ms = context->settings->relay.weights_limit_ms;
    return MAX(limit_ms - QUEUE_REMOVAL_MARGIN_MS - lag_ms, 0);
}

static void
write_address(char *out, const Address_t *address)
{
    g_snprintf(out, RELAY_ADDRESS_SIZE, "%s:%u", address->host, address->port);
}

/* The store of a prefix; all routers compute the same one. */
static const RouteKvStore_t *
find_store(const Context_t *context, guint64 prefix)
{
    const RouteConfig_t *config = RouteTable_config(context->routes);
    guint count = config ? config->kv_stores->len : 0;
    return count > 0 ? g_ptr_array_index(config->kv_stores,
                                         CacheStore_copyIndex(prefix, count))
                     : NULL;
}

/* A prefix that the store does not have is saved by the request that computes
 * it. */
static void
request_save(const Context_t *context, const RouteKvStore_t *store,
             RelayDestination_t *out)
{
    CacheStore_t *cache = context->cache_store;
    gint64 now_ms = out->placement.now_ms;
    if (!CacheStore_contains(cache, out->saved_prefix, now_ms) &&
        CacheStore_beginSave(cache, out->saved_prefix, now_ms)) {
        write_address(out->save_to, &store->address);
    }
}

/* Names a source even if the engine should hold the prefix or no source is
 * known to hold it: this router's knowledge may be out of date, a miss costs a
 * millisecond, and the store may have the beginning of a new prefix. */
static void
select_fetch_source(const RouteKvStore_t *store, RelayDestination_t *out)
{
    const Supply_t *supply = &out->choice.supply;
    gboolean prefers_store = store && supply->kind != SUPPLY_ENGINE;
    if (supply->kind == SUPPLY_COMPUTED) {
        return;
    }
    if (prefers_store) {
        write_address(out->fetch_from, &store->address);
    }
    else if (supply->source) {
        write_address(out->fetch_from, &supply->source->address);
    }
}

static void
select_caches(const Context_t *context, RelayDestination_t *out)
{
    const Placement_t *placement = &out->placement;
    const Choice_t *choice = &out->choice;
    guint shared = Placement_sharedLevel(placement);
    if (placement->level_count < 2 ||
        placement->level_tokens[shared] < PREFIX_SUPPLY_TOKENS_MIN) {
        select_fetch_source(NULL, out);
        return;
    }
    out->saved_prefix = CacheStore_prefix(placement->levels[shared],
                                          choice->upstream->weights);
    const RouteKvStore_t *store = find_store(context, out->saved_prefix);
    select_fetch_source(store, out);
    if (store) {
        request_save(context, store, out);
    }
}

/* Services without urgent routes are placed without partitions. */
static void
fill_urgency(const Context_t *context, const RelayPlacementInput_t *input,
             Placement_t *placement)
{
    const RouteConfig_t *config = RouteTable_config(context->routes);
    if (!config || !context->settings->relay.partition_engines) {
        return;
    }
    RouteUrgency_t urgency = RouteUrgency_find(config, input->service);
    placement->urgent = RouteUrgency_covers(&urgency, input->route);
    placement->urgent_objective_us = urgency.objective_ms * CLOCK_US_PER_MS;
    placement->partitions = context->partitions;
}

static gboolean
is_partitioned(const Context_t *context, const Placement_t *placement)
{
    return placement->urgent_objective_us > 0 &&
           GroupPartitions_isPartitioned(context->partitions,
                                         placement->target, placement->now_ms);
}

const char *
RelayPlacer_spreadKey(const Context_t *context, const Placement_t *placement,
                      const char *route)
{
    return is_partitioned(context, placement) ? route : placement->target;
}

/* An urgent request that is refused for a margin of error is late when it
 * returns, so that a partitioned group admits it up to its objective. */
static gint64
latest_us(const Context_t *context, const Placement_t *placement,
          const Route_t *route)
{
    if (placement->urgent && is_partitioned(context, placement)) {
        return LoadShed_latestUs(route->objective_ms, 0);
    }
    gint64 spread_us = EstimateError_spreadUs(
        context->estimate_error,
        RelayPlacer_spreadKey(context, placement, route->name->str));
    return MAX(LoadShed_latestUs(route->objective_ms, spread_us), 1);
}

static void
choose_by_prefix(const Context_t *context, const RelayPlacementInput_t *input,
                 RelayDestination_t *out)
{
    GBytes *key = context->settings->keys.salt;
    SaltInput_t salt_input = make_salt_input(input, "");
    RelayPlacer_fillModelInputs(context, input->request->model,
                                &out->placement);
    guint64 seed = Salt_make(&salt_input, key, out->salt);
    fill_levels(&out->placement, input->request, seed);
    fill_urgency(context, input, &out->placement);
    /* The home's group may have no engine of the required version. */
    gboolean is_grouped = context->dispatch && !input->software;
    out->placement.group = input->group;
    out->placement.groups =
        is_grouped ? Dispatch_groupsOf(context->dispatch, input->service,
                                       out->placement.serving)
                   : 1;
    out->placement.run_us =
        RunTimes_expectedUs(context->run_times, input->route->name->str);
    if (input->route->objective_ms > 0) {
        out->placement.latest_us =
            latest_us(context, &out->placement, input->route);
    }
    out->choice = Policy_choose(context->policy, &out->placement);
}

void
RelayPlacer_choose(const Context_t *context,
                   const RelayPlacementInput_t *input, RelayDestination_t *out)
{
    const Settings_t *settings = context->settings;
    *out = (RelayDestination_t){
        .route = input->route->name->str,
        .placement =
            {
                .target = input->service,
                .serving = UpstreamSet_findServing(
                    context->upstreams, ROLE_SERVICE, input->service),
                .generation = UpstreamSet_generation(context->upstreams),
                .hall = settings->router.hall->str,
                .region = settings->router.region->str,
                .warm_ms = settings->limits.once_idle_time_ms,
                .software = input->software,
                .now_ms = Clock_nowMs(),
            },
    };
    Placement_setConstraints(&out->placement, &input->terms);
    if (input->route->by_prefix) {
        choose_by_prefix(context, input, out);
    }
    else {
        out->choice = Policy_choose(context->service_policy, &out->placement);
    }
}

void
RelayPlacer_prepare(const Context_t *context,
                    const RelayPlacementInput_t *input,
                    RelayDestination_t *out)
{
    if (input->route->by_prefix && out->choice.upstream) {
        SaltInput_t salt_input =
            make_salt_input(input, out->choice.upstream->weights->str);
        Salt_make(&salt_input, context->settings->keys.salt, out->salt);
        select_caches(context, out);
        Policy_commit(context->policy, &out->placement, &out->choice);
        EngineSplit_noteWork(context->engine_split,
                             PrefixSupply_isShort(&out->placement),
                             out->choice.own_us);
    }
}

/* Logs the parts of the prompt as identity:tokens. */
static void
log_parts(const RelayRequest_t *request)
{
    g_autoptr(GString) text = g_string_new(NULL);
    for (guint i = 0; i < request->part_count; i++) {
        const RelayPart_t *part = &request->parts[i];
        g_string_append_printf(text, "%s%" G_GINT64_MODIFIER "x:%u",
                               i > 0 ? "," : "", part->id, part->tokens);
    }
    Log_text("parts", text->str);
}

static void
log_upstream(const RelayDestination_t *this)
{
    const Upstream_t *upstream = this->choice.upstream;
    Log_number("in_flight", upstream->in_flight);
    Log_text("weights", upstream->weights->str);
    Log_number("cost_us", this->choice.cost_us);
    Log_number("wait_us", Upstream_waitUs(upstream, this->placement.now_ms));
    Log_number("pending_tokens", upstream->pending_tokens);
}

void
RelayDestination_log(const RelayDestination_t *this, const char *request_id,
                     const RelayRequest_t *request)
{
    const Upstream_t *upstream = this->choice.upstream;
    Log_begin(LOG_LEVEL_DEBUG, "request_placed");
    Log_text("request", request_id);
    Log_text("upstream", upstream ? upstream->name->str : "none");
    Log_text("reason", this->choice.reason);
    Log_number("candidates", this->choice.candidates);
    Log_number("generation", (gint64)this->placement.generation);
    Log_text("software",
             this->placement.software ? this->placement.software : "any");
    log_parts(request);
    if (upstream) {
        log_upstream(this);
    }
    Log_text("supply", Policy_supplyName(this->choice.supply.kind));
    Log_number("move_us", this->choice.supply.move_us);
    Log_number("move_wait_us", this->choice.supply.wait_us);
    Log_text("fetch_from", this->fetch_from);
    Log_text("save_to", this->save_to);
    Log_end();
}
