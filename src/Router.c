#include "Router.h"

#include <event2/event.h>
#include <event2/http.h>
#include <string.h>

#include "AcceptHold.h"
#include "Allocator.h"
#include "CallerApi.h"
#include "Clock.h"
#include "Context.h"
#include "DescriptorReserve.h"
#include "EngineHttp.h"
#include "Errors.h"
#include "HttpCall.h"
#include "HttpListener.h"
#include "IdleCallers.h"
#include "LateListener.h"
#include "LingeringClose.h"
#include "ListenerDrain.h"
#include "Log.h"
#include "MemoryLimit.h"
#include "NativeParts.h"
#include "OperatorApi.h"
#include "PendingReply.h"
#include "Policies.h"
#include "Random.h"
#include "RatePeers.h"
#include "RateShare.h"
#include "RelayApi.h"
#include "RelayParts.h"
#include "RequestIntake.h"
#include "ResetOnClose.h"
#include "SettingsReload.h"
#include "SocketUse.h"
#include "StopSignals.h"

#define STOP_CHECK_MS 50
/* libevent ends the process if it can't open the pipe for signals. */
#define LOOP_DESCRIPTORS 4
/* Time before the end at which requests still open are answered, so that their
 * callers get the answers. */
#define LAST_ANSWERS_MS 200
/* How long a stopping router waits after the grace period for open claims to
 * get their outcomes recorded. */
#define CLAIMS_DRAIN_MAX_MS 5000
/* Share of the memory that bodies of requests may use; the rest is for all
 * else. */
#define BODY_PERCENT 65
/* Allows unknown HTTP methods too, as the API answers them with a typed error.
 */
#define ALL_METHODS G_MAXUINT16

typedef struct Router Router_t;

struct Router {
    Settings_t *settings;
    Context_t context;
    NativeParts_t *native; /* NULL if requests are relayed */
    RelayParts_t *relay;   /* NULL on the native platform */
    RatePeers_t *rates;    /* NULL if each router enforces a share of limits */
    gint64 memory_room;    /* as it started */
    gsize memory_own;      /* in use as it started */
    HttpListener_t *callers;
    HttpListener_t *operators;
    HttpListener_t *readiness;
    LateListener_t *datagrams;
    MemoryParts_t memory_parts;
    IntakeLimits_t intake;    /* of callers' bodies */
    AcceptHold_t *hold;       /* NULL on the native platform */
    ListenerDrain_t *closing; /* closes the listener for callers at the end */
    struct event *on_term;
    struct event *on_int;
    struct event *on_hup;
    SettingsReload_t *reload; /* NULL once the modules are being freed */
    struct event *stop_timer;
    gint64 stop_began_ms;
    guint awaited; /* requests that arrive, when the stop could end */
};

static void
on_config_changed(void *data)
{
    Router_t *this = data;
    UpstreamSet_applyDeclarations(this->context.upstreams,
                                  this->context.config);
    Log_begin(LOG_LEVEL_INFO, "config_in_force");
    Log_number("fold_offset",
               (gint64)ConfigStore_foldOffset(this->context.config));
    Log_end();
}

static void
create_parts(Router_t *this)
{
    const Settings_t *settings = this->settings;
    Context_t *context = &this->context;
    context->settings = settings;
    context->counters = Counters_create();
    context->config = ConfigStore_create(on_config_changed, this);
    context->upstreams = UpstreamSet_create(
        context->base, (guint)settings->limits.idle_connections);
    context->policy = Policies_create((PolicyName_t)settings->router.policy);
    context->service_policy = Policies_create(POLICY_LEAST_LOADED);
    context->limits = CustomerLimits_create();
    context->budget =
        RetryBudget_create((guint)settings->limits.retry_percent,
                           (guint)settings->limits.retry_allowance);
    context->traces = Traces_create();
    context->open = OpenRequests_create();
    context->deferred_calls = DeferredCalls_create(context->base);
    context->memory = MemoryUse_create(0);
    this->memory_own = MemoryUse_used(context->memory, Clock_nowMs());
    this->memory_parts = (MemoryParts_t){
        .memory = context->memory,
        .answers = &context->answer_bytes,
        .streams = &context->output_bytes,
    };
    context->memory_report = MemoryReport_create(&this->memory_parts);
    SocketUse_init(context->base, context->memory, context->counters);
    context->answer_room =
        AnswerRoom_create(context->base, &context->answer_bytes,
                          (gsize)settings->limits.answers_max);
    context->incarnation = (guint64)Clock_wallMs();
    ForwardProof_make(context->settings->keys.seal, context->forward_proof);
}

static void
on_peer_message(void *data, Member_t *from, const Wt__PeerMessage *message)
{
    Router_t *this = data;
    if (message->body_case == WT__PEER_MESSAGE__BODY_CRASH_NEWS) {
        CrashGuard_receive(this->context.crashes, message->crash_news,
                           Member_transitMs(from));
    }
    else if (message->body_case == WT__PEER_MESSAGE__BODY_NOTICE_NEWS) {
        UpstreamNotices_receive(this->context.notices, message->notice_news);
    }
    else if (this->relay) {
        RelayParts_receive(this->relay, from, message);
    }
    else {
        NativeParts_receive(this->native, from, message);
    }
}

static void
on_peer_linked(void *data, Member_t *member)
{
    const Router_t *this = data;
    CrashGuard_syncPeer(this->context.crashes, member);
    UpstreamNotices_syncPeer(this->context.notices, member);
    if (this->relay) {
        RelayParts_syncPeer(this->relay, member);
    }
}

/* Other routers reach this one for callers' requests at the address for peers,
 * if it listens for callers on all addresses. */
static Address_t
get_callers_address(const Router_t *this)
{
    const Address_t *listen = &this->settings->router.listen;
    gboolean is_any = strcmp(listen->host, "0.0.0.0") == 0;
    Address_t address = is_any ? this->settings->peers.listen : *listen;
    address.port = this->context.form ? HttpListener_port(this->callers) : 0;
    return address;
}

static gboolean
create_peers(Router_t *this, GError **error)
{
    Context_t *context = &this->context;
    MembershipSpec_t spec = {
        .settings = this->settings,
        .incarnation = context->incarnation,
        .callers = get_callers_address(this),
        .upstreams = context->upstreams,
        .counters = context->counters,
        .message = on_peer_message,
        .linked = on_peer_linked,
        .data = this,
    };
    context->membership = Membership_create(context->base, &spec, error);
    return context->membership != NULL;
}

static guint
count_routers(const void *owner)
{
    return Membership_countActive(owner);
}

static void
create_rate_limits(Router_t *this)
{
    Context_t *context = &this->context;
    context->fleet_size = FleetSize_create(Clock_nowMs());
    RatePeersSpec_t spec = {
        .membership = context->membership,
        .datagrams = context->datagrams,
        .counters = context->counters,
        .fleet_size = context->fleet_size,
        .seeds = this->settings->peers.seeds,
    };
    if (this->settings->router.customer_limits == LIMITS_SHARE) {
        context->rates = RateShare_create(count_routers, context->membership);
        return;
    }
    this->rates = RatePeers_create(context->base, &spec);
    context->rates = RatePeers_limits(this->rates);
}

static void
create_notices(Context_t *context)
{
    context->upstream_limits =
        UpstreamLimits_create(context->membership, context->counters);
    UpstreamNoticesSpec_t spec = {
        .membership = context->membership,
        .upstreams = context->upstreams,
        .limits = context->upstream_limits,
        .counters = context->counters,
        .form = context->form ? &context->form->upstream->notices
                              : &EngineHttp_wire.notices,
    };
    context->notices = UpstreamNotices_create(context->base, &spec);
}

static void
free_rate_limits(Router_t *this)
{
    if (this->rates) {
        RatePeers_destroy(this->rates);
    }
    else {
        RateLimits_destroy(this->context.rates);
    }
    FleetSize_destroy(this->context.fleet_size);
    if (this->datagrams) {
        LateListener_destroy(this->datagrams);
    }
    PeerDatagrams_destroy(this->context.datagrams);
}

/* The port is that of the listener for peers, which the system may not have
 * chosen yet. */
static gboolean
open_datagrams(void *owner)
{
    const Context_t *context = owner;
    const Address_t *address = Membership_address(context->membership);
    if (address->port == 0) {
        errno = EADDRNOTAVAIL;
        return FALSE;
    }
    return PeerDatagrams_open(context->datagrams, address);
}

/* Without a datagram socket this router chooses upstreams alone, and enforces
 * a share of each limit as nobody answers it. */
static void
create_datagrams(Router_t *this)
{
    Context_t *context = &this->context;
    g_autoptr(GError) error = NULL;
    ListenRetry_t retry = {.setting = "peers.listen (datagrams)",
                           .address = &this->settings->peers.listen,
                           .open = open_datagrams,
                           .owner = context};
    context->datagrams = PeerDatagrams_create(
        context->base, Membership_key(context->membership));
    this->datagrams = LateListener_create(context->base, &retry, &error);
    if (!this->datagrams) {
        Log_error("datagrams_unavailable", error);
    }
}

static void
create_platform(Router_t *this)
{
    if (this->context.form) {
        this->relay = RelayParts_create(&this->context, this->context.form);
        return;
    }
    this->native = NativeParts_create(&this->context);
}

static void
set_body_budget(Router_t *this)
{
    const LimitsSection_t *limits = &this->settings->limits;
    gsize max = (gsize)limits->memory * BODY_PERCENT / 100;
    if (!this->intake.budget) {
        this->intake.budget = BodyBudget_create(max);
        this->memory_parts.bodies = this->intake.budget;
        this->intake.memory = this->context.memory;
        RequestIntake_begin(this->context.base, &this->intake);
    }
    BodyBudget_setMax(this->intake.budget, max);
    MemoryUse_setMax(this->context.memory,
                     MemoryUse_fit((gsize)limits->memory, this->memory_own));
    this->intake.max_body = (gsize)limits->max_body;
    this->intake.max_header = (gsize)limits->max_header;
    this->intake.forward_proof = this->context.forward_proof;
    this->intake.key_header = this->context.form
                                  ? this->context.form->caller->key_header
                                  : "Authorization";
    this->intake.counters = this->context.counters;
    this->intake.read_timeout_ms = limits->read_timeout_ms;
}

static HttpListener_t *
create_listener(Router_t *this, const char *setting, const Address_t *address,
                HttpHandler_t handle)
{
    HttpListenerSpec_t spec = {.context = &this->context,
                               .intake = &this->intake,
                               .setting = setting,
                               .address = address,
                               .handle = handle,
                               .takes_unnamed =
                                   address == &this->settings->router.listen};
    return HttpListener_create(&spec);
}

/* Waits for the address while nothing else is open, so that nobody connects to
 * a router that does not answer yet. */
static gboolean
open_callers(Router_t *this, GError **error)
{
    if (!HttpListener_open(this->callers, error)) {
        return FALSE;
    }
    evhttp_set_allowed_methods(HttpListener_server(this->callers),
                               ALL_METHODS);
    set_body_budget(this);
    return TRUE;
}

static gboolean
open_readiness(const Router_t *this, GError **error)
{
    const Address_t *address = &this->settings->router.ready_listen;
    if (!this->context.form || address->host[0] == '\0') {
        return TRUE;
    }
    return HttpListener_openLate(this->readiness, error);
}

/* Not even a wrong address keeps the router from serving callers. */
static void
open_operators(const Router_t *this)
{
    g_autoptr(GError) error = NULL;
    if (!HttpListener_openLate(this->operators, &error)) {
        Log_error("operators_unavailable", error);
    }
}

static void
create_listeners(Router_t *this)
{
    const RouterSection_t *section = &this->settings->router;
    this->callers = create_listener(this, "listen", &section->listen,
                                    this->context.form ? RelayApi_handle
                                                       : CallerApi_handle);
    this->readiness = create_listener(
        this, "ready_listen", &section->ready_listen, RelayApi_handleReady);
    this->operators =
        create_listener(this, "operator_listen", &section->operator_listen,
                        OperatorApi_handle);
}

static gboolean
open_listeners(Router_t *this, GError **error)
{
    if (!open_callers(this, error) || !open_readiness(this, error)) {
        return FALSE;
    }
    open_operators(this);
    return TRUE;
}

static gboolean
can_serve(const void *owner)
{
    return RelayApi_canServe(owner);
}

/* Leaves callers' connections in the kernel's queue until a router that relays
 * requests can serve them. Native routers don't need this, as they load the
 * bootstrap declarations before the event loop starts. */
static void
create_accept_hold(Router_t *this)
{
    AcceptHoldSpec_t spec = {.is_known = can_serve,
                             .owner = &this->context,
                             .listener = HttpListener_socket(this->callers)};
    this->hold = AcceptHold_create(this->context.base, &spec);
}

/* Whether all requests have ended, and new ones are refused. */
static gboolean
is_drained(const Router_t *this, gint64 elapsed_ms)
{
    const Context_t *context = &this->context;
    guint claims = context->claims ? Claims_countPending(context->claims) : 0;
    gint64 claims_limit_ms =
        Settings_stopGraceMs(this->settings) + CLAIMS_DRAIN_MAX_MS;
    return context->refusing && context->open_requests == 0 &&
           PendingReply_count() == 0 &&
           (claims == 0 || elapsed_ms >= claims_limit_ms);
}

/* Whether the stop waits for the rest of requests, which would otherwise be
 * lost with their connections. */
static gboolean
awaits_requests(Router_t *this)
{
    guint arriving = RequestIntake_countArriving(Clock_nowMs());
    if (arriving != this->awaited) {
        this->awaited = arriving;
        Log_begin(LOG_LEVEL_INFO, "stop_awaits_requests");
        Log_number("arriving", arriving);
        Log_number("stopping_ms", Clock_nowMs() - this->stop_began_ms);
        Log_end();
    }
    return arriving > 0;
}

static void
on_stop_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Router_t *this = data;
    gint64 elapsed_ms = Clock_nowMs() - this->stop_began_ms;
    const Settings_t *settings = this->settings;
    this->context.refusing = elapsed_ms >= Settings_stopGraceMs(settings);
    gboolean drained = is_drained(this, elapsed_ms);
    gint64 left_ms = Settings_stopLimitMs(settings) - elapsed_ms;
    this->context.stop_ends_ms = Clock_nowMs() + left_ms - LAST_ANSWERS_MS;
    if (drained || left_ms <= LISTENER_DRAIN_MS + LAST_ANSWERS_MS) {
        ListenerDrain_begin(this->closing);
    }
    if (left_ms <= LAST_ANSWERS_MS) {
        this->context.refusing = TRUE;
        OpenRequests_endAll(this->context.open);
        PendingReply_handOver();
    }
    if ((drained && ListenerDrain_isOver(this->closing) &&
         LingeringClose_count() == 0 && !awaits_requests(this) &&
         !IdleCallers_haveUnread()) ||
        left_ms <= 0) {
        event_base_loopbreak(this->context.base);
        return;
    }
    Clock_arm(this->stop_timer, STOP_CHECK_MS);
}

static void
on_stop_signal(evutil_socket_t fd, short what, void *data)
{
    (void)what;
    Router_t *this = data;
    if (this->context.stopping) {
        return;
    }
    this->context.stopping = TRUE;
    this->stop_began_ms = Clock_nowMs();
    Membership_setLeaving(this->context.membership);
    if (this->hold) {
        AcceptHold_end(this->hold);
    }
    if (this->relay) {
        RelayParts_stop(this->relay);
    }
    Log_begin(LOG_LEVEL_INFO, "router_stopping");
    Log_number("signal", fd);
    Log_number("open_requests", this->context.open_requests);
    Log_end();
    on_stop_timer(-1, 0, this);
}

/* Passes the reloaded values to the modules that hold copies of them. */
static void
apply_settings(void *owner)
{
    Router_t *this = owner;
    const LimitsSection_t *limits = &this->settings->limits;
    MemoryLimit_fit(&this->settings->limits, this->memory_room);
    Log_setBudget(limits->log_budget);
    Log_setLevel((LogLevel_t)limits->log_level);
    UpstreamSet_setIdleMax(this->context.upstreams,
                           (guint)limits->idle_connections);
    RetryBudget_setLimits(this->context.budget, (guint)limits->retry_percent,
                          (guint)limits->retry_allowance);
    set_body_budget(this);
    AnswerRoom_setMax(this->context.answer_room, (gsize)limits->answers_max);
    HttpListener_applyLimits(this->callers);
    HttpListener_applyLimits(this->operators);
    HttpListener_applyLimits(this->readiness);
    if (this->relay) {
        RelayParts_reload(this->relay);
    }
}

/* The platform changes the settings file before it sends SIGHUP. */
static void
on_reload_signal(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Router_t *this = data;
    if (this->reload) {
        SettingsReload_run(this->reload);
    }
}

static void
create_signals(Router_t *this)
{
    struct event_base *base = this->context.base;
    this->stop_timer = Clock_timer(base, on_stop_timer, this);
    this->on_term = evsignal_new(base, SIGTERM, on_stop_signal, this);
    this->on_int = evsignal_new(base, SIGINT, on_stop_signal, this);
    event_add(this->on_term, NULL);
    this->on_hup = evsignal_new(base, SIGHUP, on_reload_signal, this);
    this->reload =
        SettingsReload_create(base, this->settings, apply_settings, this);
    event_add(this->on_int, NULL);
    event_add(this->on_hup, NULL);
}

/* The loop runs again as the modules are freed, when a signal that it has
 * caught, or a timer that is due, would use what is gone. */
static void
free_events(Router_t *this)
{
    StopSignals_hold();
    event_free(this->on_term);
    event_free(this->on_int);
    event_free(this->on_hup);
    event_free(this->stop_timer);
    SettingsReload_destroy(g_steal_pointer(&this->reload));
    if (this->hold) {
        AcceptHold_destroy(this->hold);
    }
    if (this->closing) {
        ListenerDrain_destroy(this->closing);
    }
}

/* Runs the loop once after closing the listeners, so that callers' open
 * requests end while the modules that they use still exist. A request that is
 * processed later would use freed modules. */
static void
free_listeners(Router_t *this)
{
    if (HttpListener_server(this->callers)) {
        ResetOnClose_resetAll();
    }
    HttpListener_destroy(this->callers);
    HttpListener_destroy(this->operators);
    HttpListener_destroy(this->readiness);
    if (this->intake.arrivals) {
        Arrivals_dropGone(this->intake.arrivals);
    }
    event_base_loop(this->context.base, EVLOOP_NONBLOCK);
    PendingReply_setCounters(NULL);
    DescriptorReserve_setSource(NULL);
    IdleCallers_clear();
    LingeringClose_clear();
}

static void
free_intake(Router_t *this)
{
    RequestIntake_clear();
    g_clear_pointer(&this->intake.arrivals, Arrivals_destroy);
    if (this->intake.budget) {
        BodyBudget_unref(this->intake.budget);
    }
}

/* Runs the loop once at the end, as closed calls and links free themselves in
 * it. */
static void
free_platform(Router_t *this)
{
    if (this->relay) {
        RelayParts_destroy(this->relay);
    }
    else {
        NativeParts_destroy(this->native);
    }
    free_rate_limits(this);
    UpstreamNotices_destroy(this->context.notices);
    UpstreamLimits_destroy(this->context.upstream_limits);
    Membership_destroy(this->context.membership);
    HttpCall_abandonAll();
    event_base_loop(this->context.base, EVLOOP_NONBLOCK);
}

static void
free_parts(Router_t *this)
{
    Context_t *context = &this->context;
    Traces_destroy(context->traces);
    OpenRequests_destroy(context->open);
    AnswerRoom_destroy(context->answer_room);
    SocketUse_clear();
    MemoryReport_destroy(context->memory_report);
    MemoryUse_destroy(context->memory);
    DeferredCalls_destroy(context->deferred_calls);
    RetryBudget_destroy(context->budget);
    CustomerLimits_destroy(context->limits);
    Policy_destroy(context->service_policy);
    Policy_destroy(context->policy);
    UpstreamSet_destroy(context->upstreams);
    ConfigStore_destroy(context->config);
    Counters_destroy(context->counters);
}

static void
log_lifecycle(const Router_t *this, const char *event)
{
    Log_begin(LOG_LEVEL_INFO, event);
    Log_text("router", this->settings->router.name->str);
    Log_text("hall", this->settings->router.hall->str);
    Log_number("port", HttpListener_port(this->callers));
    Log_number("operator_port", HttpListener_port(this->operators));
    if (HttpListener_isLate(this->readiness)) {
        Log_number("ready_port", HttpListener_port(this->readiness));
    }
    Log_number("peer_port", Membership_port(this->context.membership));
    Log_end();
}

/* EPOLL_USE_CHANGELIST collects changes to the event set between two waits, so
 * that changes which cancel each other cause no system call. */
static struct event_base *
create_base(void)
{
    struct event_config *config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
    struct event_base *base = event_base_new_with_config(config);
    event_config_free(config);
    return base;
}

/* The loop ends by itself if the system no longer tells it of events. */
static gboolean
run_loop(const Router_t *this, GError **error)
{
    int result = event_base_dispatch(this->context.base);
    if (this->context.stopping && event_base_got_break(this->context.base)) {
        log_lifecycle(this, "router_stopped");
        return TRUE;
    }
    g_set_error(error, WT_ERROR, WT_ERROR_EVENT_LOOP,
                "the event loop ended by itself (%d)", result);
    return FALSE;
}

gboolean
Router_run(Settings_t *settings, const PlatformForm_t *form, GError **error)
{
    Router_t this = {.settings = settings};
    Allocator_init();
    if (!DescriptorReserve_await(LOOP_DESCRIPTORS, error)) {
        return FALSE;
    }
    this.context.form = form;
    Random_seed((guint32)settings->router.seed);
    this.context.base = create_base();
    LingeringClose_init(this.context.base);
    DescriptorReserve_init(this.context.base);
    this.memory_room = MemoryLimit_room();
    MemoryLimit_fit(&settings->limits, this.memory_room);
    create_parts(&this);
    PendingReply_setCounters(this.context.counters);
    IdleCallers_init(this.context.base, this.context.counters);
    DescriptorReserve_setSource(IdleCallers_close);
    create_signals(&this);
    create_listeners(&this);
    gboolean ended = FALSE;
    gboolean started =
        open_listeners(&this, error) && create_peers(&this, error);
    if (started) {
        create_datagrams(&this);
        create_rate_limits(&this);
        create_notices(&this.context);
        create_platform(&this);
        if (this.relay) {
            create_accept_hold(&this);
        }
        this.closing = ListenerDrain_create(
            this.context.base, HttpListener_server(this.callers),
            HttpListener_takePause(this.callers));
        log_lifecycle(&this, "router_started");
        StopSignals_release();
        ended = run_loop(&this, error);
    }
    free_events(&this);
    free_listeners(&this);
    if (started) {
        free_platform(&this);
    }
    free_intake(&this);
    free_parts(&this);
    DescriptorReserve_clear();
    event_base_free(this.context.base);
    return ended;
}
