#include "Router.h"

#include <errno.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

#include "AcceptHold.h"
#include "AcceptPause.h"
#include "Allocator.h"
#include "CallerApi.h"
#include "Clock.h"
#include "Context.h"
#include "DescriptorReserve.h"
#include "EngineHttp.h"
#include "Errors.h"
#include "HttpCall.h"
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
#include "SocketBuffers.h"
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

typedef struct {
    Router_t *router;
    const char *setting;
    const Address_t *address;
    void (*handle)(struct evhttp_request *request, void *context);
    struct evhttp *server; /* NULL until it listens */
    guint16 port;
    LateListener_t *late; /* NULL if the router can't do without */
    AcceptPause_t *pause; /* NULL until it listens, and once given away */
} HttpListener_t;

struct Router {
    Settings_t *settings;
    Context_t context;
    NativeParts_t *native; /* NULL if requests are relayed */
    RelayParts_t *relay;   /* NULL on the native platform */
    RatePeers_t *rates;    /* NULL if each router enforces a share of limits */
    gint64 memory_room;    /* as it started */
    gsize memory_own;      /* in use as it started */
    HttpListener_t callers;
    HttpListener_t operators;
    HttpListener_t readiness;
    LateListener_t *datagrams;
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
    address.port = this->context.form ? this->callers.port : 0;
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

/* Returns the actual port, as the system chooses one for port 0. */
static guint16
get_bound_port(struct evhttp_bound_socket *bound)
{
    struct sockaddr_in address = {0};
    socklen_t size = sizeof(address);
    getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&address,
                &size);
    return ntohs(address.sin_port);
}

static void
set_body_budget(Router_t *this)
{
    const LimitsSection_t *limits = &this->settings->limits;
    gsize max = (gsize)limits->memory * BODY_PERCENT / 100;
    if (!this->intake.budget) {
        this->intake.budget = BodyBudget_create(max);
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

/* Applies to new connections only; open ones keep their limits. */
static void
set_server_limits(const Router_t *this, struct evhttp *server)
{
    const LimitsSection_t *limits = &this->settings->limits;
    struct timeval timeout = {limits->read_timeout_ms / 1000,
                              (limits->read_timeout_ms % 1000) * 1000};
    evhttp_set_max_headers_size(server, limits->max_header);
    evhttp_set_max_body_size(server, limits->max_body);
    evhttp_set_timeout_tv(server, &timeout);
    /* An upstream's answer without one has none. */
    evhttp_set_default_content_type(server, NULL);
}

/* Connections beyond the 128 that evhttp asks for would be made a second later
 * or not at all, while the router does not accept for a moment. */
static void
widen_backlog(struct evhttp_bound_socket *bound)
{
    if (listen(evhttp_bound_socket_get_fd(bound), LISTEN_BACKLOG) != 0) {
        Log_begin(LOG_LEVEL_WARNING, "backlog_not_widened");
        Log_text("error", g_strerror(errno));
        Log_end();
    }
}

static struct bufferevent *
create_connection(struct event_base *base, void *data)
{
    struct bufferevent *bev =
        bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    RequestIntake_watch(bev, data);
    LingeringClose_watch(bev);
    IdleCallers_watchNew(bev);
    return bev;
}

static void
note_bound(HttpListener_t *this, struct evhttp *server,
           struct evhttp_bound_socket *bound)
{
    Router_t *router = this->router;
    this->server = server;
    this->port = get_bound_port(bound);
    this->pause = AcceptPause_create(router->context.base,
                                     evhttp_bound_socket_get_listener(bound),
                                     this->setting);
}

static gboolean
open_http(void *owner)
{
    HttpListener_t *this = owner;
    Router_t *router = this->router;
    struct evhttp *server = evhttp_new(router->context.base);
    evhttp_set_gencb(server, this->handle, &router->context);
    set_server_limits(router, server);
    evhttp_set_bevcb(server, create_connection, &router->intake);
    struct evhttp_bound_socket *bound = evhttp_bind_socket_with_handle(
        server, this->address->host, this->address->port);
    if (!bound) {
        int code = errno;
        evhttp_free(server);
        errno = code;
        return FALSE;
    }
    widen_backlog(bound);
    SocketBuffers_limit(evhttp_bound_socket_get_fd(bound), SOCKET_CALLER);
    note_bound(this, server, bound);
    return TRUE;
}

static ListenRetry_t
make_retry(HttpListener_t *listener)
{
    return (ListenRetry_t){.setting = listener->setting,
                           .address = listener->address,
                           .open = open_http,
                           .owner = listener};
}

/* Waits for the address while nothing else is open, so that nobody connects to
 * a router that does not answer yet. */
static gboolean
create_callers(Router_t *this, GError **error)
{
    this->callers = (HttpListener_t){
        .router = this,
        .setting = "listen",
        .address = &this->settings->router.listen,
        .handle = this->context.form ? RelayApi_handle : CallerApi_handle,
    };
    ListenRetry_t retry = make_retry(&this->callers);
    if (!ListenRetry_run(&retry, error)) {
        return FALSE;
    }
    evhttp_set_allowed_methods(this->callers.server, ALL_METHODS);
    set_body_budget(this);
    return TRUE;
}

static gboolean
create_readiness(Router_t *this, GError **error)
{
    HttpListener_t *listener = &this->readiness;
    *listener = (HttpListener_t){
        .router = this,
        .setting = "ready_listen",
        .address = &this->settings->router.ready_listen,
        .handle = RelayApi_handleReady,
    };
    if (!this->context.form || listener->address->host[0] == '\0') {
        return TRUE;
    }
    ListenRetry_t retry = make_retry(listener);
    listener->late = LateListener_create(this->context.base, &retry, error);
    return listener->late != NULL;
}

/* Not even a wrong address keeps the router from serving callers. */
static void
create_operators(Router_t *this)
{
    g_autoptr(GError) error = NULL;
    HttpListener_t *listener = &this->operators;
    *listener = (HttpListener_t){
        .router = this,
        .setting = "operator_listen",
        .address = &this->settings->router.operator_listen,
        .handle = OperatorApi_handle,
    };
    ListenRetry_t retry = make_retry(listener);
    listener->late = LateListener_create(this->context.base, &retry, &error);
    if (!listener->late) {
        Log_error("operators_unavailable", error);
    }
}

static gboolean
create_listeners(Router_t *this, GError **error)
{
    if (!create_callers(this, error) || !create_readiness(this, error)) {
        return FALSE;
    }
    create_operators(this);
    return TRUE;
}

static void
get_listener(struct evhttp_bound_socket *bound, void *data)
{
    struct evconnlistener **listener = data;
    *listener = evhttp_bound_socket_get_listener(bound);
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
    AcceptHoldSpec_t spec = {.is_known = can_serve, .owner = &this->context};
    evhttp_foreach_bound_socket(this->callers.server, get_listener,
                                &spec.listener);
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
    HttpListener_t *listeners[] = {&this->callers, &this->operators,
                                   &this->readiness};
    for (gsize i = 0; i < G_N_ELEMENTS(listeners); i++) {
        if (listeners[i]->server) {
            set_server_limits(this, listeners[i]->server);
        }
    }
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

static void
free_listener(HttpListener_t *listener)
{
    if (listener->late) {
        LateListener_destroy(listener->late);
    }
    if (listener->pause) {
        AcceptPause_destroy(listener->pause);
    }
    if (listener->server) {
        evhttp_free(listener->server);
    }
}

/* Runs the loop once after closing the listeners, so that callers' open
 * requests end while the modules that they use still exist. A request that is
 * processed later would use freed modules. */
static void
free_listeners(Router_t *this)
{
    if (this->callers.server) {
        ResetOnClose_resetAll();
    }
    free_listener(&this->callers);
    free_listener(&this->operators);
    free_listener(&this->readiness);
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
    Log_number("port", this->callers.port);
    Log_number("operator_port", this->operators.port);
    if (this->readiness.late) {
        Log_number("ready_port", this->readiness.port);
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
    gboolean ended = FALSE;
    gboolean started =
        create_listeners(&this, error) && create_peers(&this, error);
    if (started) {
        create_datagrams(&this);
        create_rate_limits(&this);
        create_notices(&this.context);
        create_platform(&this);
        if (this.relay) {
            create_accept_hold(&this);
        }
        this.closing =
            ListenerDrain_create(this.context.base, this.callers.server,
                                 g_steal_pointer(&this.callers.pause));
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
