#include "RelayParts.h"

#include <string.h>

#include "Clock.h"
#include "Exchange.h"
#include "FleetRecord.h"
#include "LoadShare.h"
#include "Log.h"
#include "Orders.h"
#include "OriginPeers.h"
#include "RelayPlacer.h"
#include "RouteServices.h"
#include "RouteSync.h"
#include "UpstreamProber.h"

/* After its start a router may use engines with older weights for this long,
 * so that a roll-out under way can proceed. */
#define STARTUP_GRACE_MS 4500

/* The list is read this long before leaving_limit_ms has passed, which leaves
 * time for a slow answer and one repeated read. */
#define LIST_READ_MARGIN_MS 600

/* How long routers record what they began at the only version of a service,
 * before one of them uses others: the list reaches each of them within
 * LIST_READ_MARGIN_MS, and a record is written 200 ms later at most. */
#define VERSION_HOLD_MS 1000

/* A peer's suspicion is ignored if the upstream has answered this router
 * within this time. */
#define LIVENESS_MAX_AGE_MS 300

struct RelayParts {
    Context_t *context;
    StoreEpoch_t *epoch;
    LogClient_t *log;
    RecordSource_t *records;
    RecordSource_t *operator_records; /* tells when these alone arrive */
    HallRegions_t *regions;
    RouteSync_t *sync;
    Orders_t *orders;
    UpstreamProber_t *prober;
    LoadShare_t *load_share;
    HintBroadcast_t *hints;
    RouteServices_t *route_services;
    SoftwareRecords_t *software;
    VersionGate_t *gate;
    OriginRecords_t *origin_records;
    FleetRecord_t *fleet_record;
    OriginPeers_t *origins;
};

/* The model of an upstream is that of its service; an engine has one model. */
static const char *
find_model(const RelayParts_t *this, const Upstream_t *upstream)
{
    const RouteConfig_t *config = RouteTable_config(this->context->routes);
    if (!config || upstream->serves->len == 0) {
        return NULL;
    }
    const GString *name = g_ptr_array_index(upstream->serves, 0);
    const RouteService_t *service = RouteConfig_findService(config, name->str);
    if (!service || service->models->len == 0) {
        return NULL;
    }
    const GString *model = g_ptr_array_index(service->models, 0);
    return model->str;
}

static gboolean
find_wanted_weights(void *data, const Upstream_t *upstream,
                    WantedWeights_t *out)
{
    const RelayParts_t *this = data;
    out->model = find_model(this, upstream);
    out->weights =
        out->model
            ? ModelVersions_findNewest(this->context->weights, out->model)
            : NULL;
    /* An engine's version was named at some time, even if a store that was
     * restored to an older state does not show it. Versions only grow, so no
     * engine is ordered to load an older one. */
    guint64 version = Upstream_weightsVersion(upstream);
    if (!out->weights || version > g_ascii_strtoull(out->weights, NULL, 10)) {
        return FALSE;
    }
    out->lag_ms = ModelVersions_lagMs(this->context->weights, out->model,
                                      version, Clock_nowMs());
    return TRUE;
}

static gint64
listing_poll_ms(const RelaySection_t *relay)
{
    return MAX(relay->leaving_limit_ms - LIST_READ_MARGIN_MS,
               LIST_READ_MARGIN_MS);
}

static void
create_followers(RelayParts_t *this, const PlatformForm_t *form)
{
    Context_t *context = this->context;
    const Settings_t *settings = context->settings;
    RouteSyncSpec_t sync = {
        .source = this->operator_records,
        .form = form,
        .routes = context->routes,
        .weights = context->weights,
        .membership = context->membership,
        .epoch = this->epoch,
        .is_alone = settings->peers.seeds->len == 0,
        .counters = context->counters,
        .reader_wait_ms = settings->relay.reader_wait_ms,
        .wait_ms = settings->relay.config_wait_ms,
        .unknown_age_ms =
            MAX(settings->relay.weights_limit_ms - STARTUP_GRACE_MS, 0),
    };
    this->sync = RouteSync_create(context->base, &sync);
    this->regions = HallRegions_create(settings->router.halls,
                                       settings->router.hall_regions,
                                       settings->router.region->str);
    UpstreamListingSpec_t listing = {
        .source = this->records,
        .topic = form->listing_topic,
        .decode = form->decode_upstream,
        .upstreams = context->upstreams,
        .membership = context->membership,
        .hints = this->hints,
        .epoch = this->epoch,
        .counters = context->counters,
        .regions = this->regions,
        .versions = context->versions,
        .poll_ms = listing_poll_ms(&settings->relay),
        .return_ms = settings->relay.listing_return_ms,
    };
    context->listing = UpstreamListing_create(context->base, &listing);
}

static void
create_orders(RelayParts_t *this, const PlatformForm_t *form)
{
    const Context_t *context = this->context;
    OrdersSpec_t orders = {
        .settings = context->settings,
        .incarnation = context->incarnation,
        .log = this->log,
        .epoch = this->epoch,
        .form = form->orders,
        .wanted = find_wanted_weights,
        .wanted_data = this,
        .upstreams = context->upstreams,
        .membership = context->membership,
        .hints = this->hints,
        .notices = context->notices,
        .path = UpstreamProber_path(this->prober),
        .counters = context->counters,
    };
    this->orders = Orders_create(context->base, &orders);
}

static void
create_prober(RelayParts_t *this)
{
    const Context_t *context = this->context;
    UpstreamProberSpec_t prober = {
        .upstreams = context->upstreams,
        .routes = context->routes,
        .hints = this->hints,
        .membership = context->membership,
        .counters = context->counters,
        .notices = context->notices,
        .state_path = context->form->orders->state_path,
        .read_state = context->form->orders->read_state,
        .instance_header = context->form->orders->instance_header,
        .timeout_ms = context->settings->limits.connect_timeout_ms,
    };
    this->prober = UpstreamProber_create(context->base, &prober);
    this->context->path = UpstreamProber_path(this->prober);
}

static void
create_crashes(RelayParts_t *this, const PlatformForm_t *form)
{
    Context_t *context = this->context;
    CrashGuardSpec_t crashes = {
        .membership = context->membership,
        .counters = context->counters,
        .key = context->settings->keys.salt,
        .source = this->records,
        .epoch = this->epoch,
        .topic = form->crash_topic,
        .path = UpstreamProber_path(this->prober),
        .recheck = Exchange_recheckQuarantine,
    };
    context->crashes = CrashGuard_create(context->base, &crashes);
}

/* Ignores further suspicions for a while: the first one starts a probe, whose
 * result is better evidence than a second report of the same suspicion. */
static gboolean
apply_suspicion(Upstream_t *upstream, gint64 now_ms)
{
    if (now_ms - upstream->last_answer_ms < LIVENESS_MAX_AGE_MS ||
        !Upstream_noteSuspicionReport(upstream, now_ms)) {
        return FALSE;
    }
    Upstream_notePeerSuspicion(upstream);
    return TRUE;
}

static gboolean
apply_upstream_hint(Upstream_t *upstream, const Hint_t *hint, gint64 now_ms)
{
    g_autofree char *weights = NULL;
    switch (hint->kind) {
    case HINT_PAUSED:
        if (upstream->paused_until_ms > now_ms) {
            return FALSE;
        }
        Upstream_noteUnloading(upstream, hint->value, now_ms);
        return TRUE;
    case HINT_LOADED:
        weights = g_strdup_printf("%u", hint->value);
        return Upstream_noteWeights(upstream, weights);
    case HINT_UNREACHABLE:
        return apply_suspicion(upstream, now_ms);
    case HINT_REACHABLE:
        return Upstream_resolveSuspicion(upstream);
    case HINT_LOAD_SOON:
        return Upstream_noteLoadSoon(upstream, hint->value, now_ms);
    default:
        return FALSE;
    }
}

static gboolean
apply_hint(void *owner, const Hint_t *hint)
{
    const RelayParts_t *this = owner;
    gint64 now_ms = Clock_nowMs();
    if (hint->kind == HINT_SAVED) {
        return CacheStore_receiveSaved(this->context->cache_store,
                                       hint->subject, now_ms);
    }
    Upstream_t *upstream =
        UpstreamSet_findByHash(this->context->upstreams, hint->subject);
    return upstream && apply_upstream_hint(upstream, hint, now_ms);
}

static void
fill_model_inputs(const void *owner, const char *model, Placement_t *placement)
{
    RelayPlacer_fillModelInputs(owner, model, placement);
}

static void
create_fleet_record(RelayParts_t *this, const PlatformForm_t *form)
{
    Context_t *context = this->context;
    FleetRecordSpec_t spec = {
        .source = this->records,
        .topic = form->fleet_topic,
        .membership = context->membership,
        .size = context->fleet_size,
        .counters = context->counters,
        .shrink_ms = FLEET_RECORD_SHRINK_MS,
    };
    this->fleet_record = FleetRecord_create(context->base, &spec);
}

static void
on_routes(void *owner, const RouteConfig_t *config)
{
    RouteServices_update(owner, config, Clock_nowMs());
}

static void
create_origins(RelayParts_t *this, const PlatformForm_t *form)
{
    Context_t *context = this->context;
    this->route_services = RouteServices_create(context->versions);
    RouteTable_setCallback(context->routes, on_routes, this->route_services);
    SoftwareRecordsSpec_t software = {
        .source = this->records,
        .topic = form->software_topic,
        .versions = context->versions,
        .membership = context->membership,
        .router = context->settings->router.name->str,
        .counters = context->counters,
        .is_first_start = context->settings->platform.first_start != 0,
        .window_ms = context->settings->relay.resume_window_ms,
        .repeat_ms = SOFTWARE_RECORD_REPEAT_MS,
        .epoch = this->epoch,
    };
    this->software = SoftwareRecords_create(context->base, &software);
    this->gate = VersionGate_create(context->versions,
                                    context->settings->relay.resume_window_ms);
    VersionGate_setHold(this->gate, VERSION_HOLD_MS);
    OriginRecordsSpec_t records = {
        .source = this->records,
        .topic = form->origin_topic,
        .membership = context->membership,
        .router = context->settings->router.name->str,
        .counters = context->counters,
        .gate = this->gate,
        .versions = context->versions,
    };
    this->origin_records = OriginRecords_create(context->base, &records);
    OriginPeersSpec_t spec = {
        .membership = context->membership,
        .datagrams = context->datagrams,
        .listing = context->listing,
        .versions = context->versions,
        .software = this->software,
        .records = this->origin_records,
        .gate = this->gate,
        .counters = context->counters,
        .window_ms = context->settings->relay.resume_window_ms,
    };
    this->origins = OriginPeers_create(context->base, &spec);
    context->origins = OriginPeers_keeper(this->origins);
}

static Dispatch_t *
create_dispatch(const Context_t *context)
{
    DispatchSpec_t spec = {
        .membership = context->membership,
        .datagrams = context->datagrams,
        .upstreams = context->upstreams,
        .policy = context->policy,
        .partitions = context->partitions,
        .counters = context->counters,
        .prefer = fill_model_inputs,
        .owner = context,
    };
    return Dispatch_create(context->base, &spec);
}

RelayParts_t *
RelayParts_create(Context_t *context, const PlatformForm_t *form)
{
    const PlatformSection_t *platform = &context->settings->platform;
    RelayParts_t *this = g_new0(RelayParts_t, 1);
    this->context = context;
    context->routes = RouteTable_create();
    context->weights = ModelVersions_create();
    this->hints = HintBroadcast_create(context->base, context->membership,
                                       apply_hint, this);
    context->cache_store = CacheStore_create(this->hints);
    context->estimate_error = EstimateError_create();
    context->engine_split = EngineSplit_create();
    context->run_times = RunTimes_create();
    context->answer_times = AnswerTimes_create();
    context->partitions = GroupPartitions_create();
    context->speeds =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    context->forward_peers =
        ForwardPeers_create(context->base, context->membership,
                            (guint)context->settings->limits.idle_connections);
    context->mover =
        StreamMover_create(context->base, context->upstreams, context->budget);
    context->dispatch = create_dispatch(context);
    this->epoch = StoreEpoch_create(context->counters);
    this->log = form->create_log(context->base, &platform->log,
                                 platform->log_timeout_ms, this->epoch);
    this->records = form->create_records(
        context->base, &platform->log, platform->log_timeout_ms, this->epoch);
    this->operator_records = form->create_records(
        context->base, &platform->log, platform->log_timeout_ms, this->epoch);
    context->versions = SoftwareVersions_create();
    create_followers(this, form);
    create_origins(this, form);
    create_fleet_record(this, form);
    create_prober(this);
    create_crashes(this, form);
    create_orders(this, form);
    LoadShareSpec_t loads = {
        .upstreams = context->upstreams,
        .membership = context->membership,
        .policy = context->policy,
        .store = context->cache_store,
    };
    this->load_share = LoadShare_create(context->base, &loads);
    context->load_share = this->load_share;
    return this;
}

void
RelayParts_stop(RelayParts_t *this)
{
    Orders_stop(this->orders);
}

void
RelayParts_reload(RelayParts_t *this)
{
    const Settings_t *settings = this->context->settings;
    const RelaySection_t *relay = &settings->relay;
    RouteSync_setWaits(this->sync, relay->reader_wait_ms,
                       relay->config_wait_ms);
    UpstreamListing_setTimes(this->context->listing, listing_poll_ms(relay),
                             relay->listing_return_ms);
    UpstreamProber_setTimeout(this->prober,
                              settings->limits.connect_timeout_ms);
    OriginKeeper_setWindow(this->context->origins, relay->resume_window_ms);
    SoftwareRecords_setWindow(this->software, relay->resume_window_ms);
    VersionGate_setWindow(this->gate, relay->resume_window_ms);
}

void
RelayParts_destroy(RelayParts_t *this)
{
    LogClient_destroy(this->log);
    RecordSource_destroy(this->records);
    RecordSource_destroy(this->operator_records);
    CrashGuard_destroy(this->context->crashes);
    LoadShare_destroy(this->load_share);
    Orders_destroy(this->orders);
    UpstreamProber_destroy(this->prober);
    OriginRecords_destroy(this->origin_records);
    OriginPeers_destroy(this->origins);
    VersionGate_destroy(this->gate);
    SoftwareRecords_destroy(this->software);
    FleetRecord_destroy(this->fleet_record);
    UpstreamListing_destroy(this->context->listing);
    HallRegions_destroy(this->regions);
    RouteSync_destroy(this->sync);
    RouteServices_destroy(this->route_services);
    SoftwareVersions_destroy(this->context->versions);
    ModelVersions_destroy(this->context->weights);
    ForwardPeers_destroy(this->context->forward_peers);
    StreamMover_destroy(this->context->mover);
    if (this->context->dispatch) {
        Dispatch_destroy(this->context->dispatch);
    }
    CacheStore_destroy(this->context->cache_store);
    g_hash_table_destroy(this->context->speeds);
    EstimateError_destroy(this->context->estimate_error);
    EngineSplit_destroy(this->context->engine_split);
    RunTimes_destroy(this->context->run_times);
    AnswerTimes_destroy(this->context->answer_times);
    GroupPartitions_destroy(this->context->partitions);
    HintBroadcast_destroy(this->hints);
    RouteTable_destroy(this->context->routes);
    StoreEpoch_destroy(this->epoch);
    g_free(this);
}

static gboolean
is_config_topic(const RelayParts_t *this, const char *topic)
{
    return strcmp(topic, this->context->form->config_topic) == 0;
}

static void
receive_part(RelayParts_t *this, Member_t *from, const Wt__TopicPart *part)
{
    if (is_config_topic(this, part->topic)) {
        RouteSync_receivePart(this->sync, from, part);
    }
    else {
        UpstreamListing_receive(this->context->listing, from, part);
    }
}

static void
receive_patch(RelayParts_t *this, Member_t *from, const Wt__TopicPatch *patch)
{
    if (is_config_topic(this, patch->topic)) {
        RouteSync_receivePatch(this->sync, from, patch);
    }
}

static void
receive_topic_query(RelayParts_t *this, Member_t *from,
                    const Wt__TopicAsk *query)
{
    if (is_config_topic(this, query->topic)) {
        RouteSync_answerQuery(this->sync, from, query);
    }
    else {
        UpstreamListing_answerQuery(this->context->listing, from, query);
    }
}

static void
receive_list_query(RelayParts_t *this, Member_t *from,
                   const Wt__ListAsk *query)
{
    if (is_config_topic(this, query->topic)) {
        RouteSync_answerListQuery(this->sync, from, query);
    }
    else {
        UpstreamListing_answerListQuery(this->context->listing, from, query);
    }
}

static void
receive_list_page(RelayParts_t *this, Member_t *from, const Wt__ListPage *page)
{
    if (is_config_topic(this, page->topic)) {
        RouteSync_receiveListPage(this->sync, from, page);
    }
    else {
        UpstreamListing_receivePage(this->context->listing, from, page);
    }
}

void
RelayParts_syncPeer(RelayParts_t *this, Member_t *member)
{
    RouteSync_syncPeer(this->sync, member);
}

/* Ignores messages about claims and native configuration: a platform provides
 * both itself. */
void
RelayParts_receive(RelayParts_t *this, Member_t *from,
                   const Wt__PeerMessage *message)
{
    switch (message->body_case) {
    case WT__PEER_MESSAGE__BODY_HINTS:
        HintBroadcast_receive(this->hints, message->hints);
        break;
    case WT__PEER_MESSAGE__BODY_LOADS:
        LoadShare_receive(this->load_share, from->name->str, message->loads);
        break;
    case WT__PEER_MESSAGE__BODY_TOPIC_PART:
        receive_part(this, from, message->topic_part);
        break;
    case WT__PEER_MESSAGE__BODY_TOPIC_PATCH:
        receive_patch(this, from, message->topic_patch);
        break;
    case WT__PEER_MESSAGE__BODY_TOPIC_ASK:
        receive_topic_query(this, from, message->topic_ask);
        break;
    case WT__PEER_MESSAGE__BODY_LIST_ASK:
        receive_list_query(this, from, message->list_ask);
        break;
    case WT__PEER_MESSAGE__BODY_LIST_PAGE:
        receive_list_page(this, from, message->list_page);
        break;
    case WT__PEER_MESSAGE__BODY_CONFIG_CURRENT:
        RouteSync_receiveCurrent(this->sync, from, message->config_current);
        break;
    default:
        break;
    }
}
