#include "Router.h"

#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>

#include "AcceptHold.h"
#include "CallerApi.h"
#include "Clock.h"
#include "ConfigSync.h"
#include "Context.h"
#include "Errors.h"
#include "InstanceList.h"
#include "Log.h"
#include "LogHttp.h"
#include "OperatorApi.h"
#include "Orders.h"
#include "PendingReply.h"
#include "Policies.h"
#include "Problem.h"
#include "Random.h"
#include "RelayApi.h"
#include "RelayParts.h"
#include "StopPlans.h"

#define LOG_RETRY_MS 500
#define STOP_CHECK_MS 50
/* How long a stopping router goes on to record outcomes of claims. */
#define CLAIMS_LIMIT_MS 5000
/* Unknown ones as well, so that each is refused with a typed error. */
#define ALL_METHODS G_MAXUINT16

typedef struct {
    Settings_t *settings;
    Context_t context;
    LogClient_t *log;
    InstanceList_t *instances;
    ConfigSync_t *sync;
    Orders_t *orders;
    StopPlans_t *plans;
    RelayParts_t *relay; /* NULL on the native platform */
    struct evhttp *callers;
    AcceptHold_t *hold; /* NULL on the native platform */
    struct evhttp *operators;
    struct evhttp *readiness;
    guint16 port;
    guint16 operator_port;
    guint16 ready_port;
    struct event *on_term;
    struct event *on_int;
    struct event *on_hup;
    struct event *stop_timer;
    gint64 stop_began_ms;
} Router_t;

static void
on_config_changed(void *data)
{
    Router_t *this = data;
    UpstreamSet_follow(this->context.upstreams, this->context.config);
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
    context->turn_end = TurnEnd_create(context->base);
    context->incarnation = (guint64)Clock_wallMs();
}

/* Faults were shown by `check`; at a start they only leave objects out. */
static void
load_bootstrap(Router_t *this)
{
    const GString *path = this->settings->router.bootstrap;
    if (!path) {
        return;
    }
    char *paths[] = {path->str, NULL};
    g_autoptr(GPtrArray) problems = Problems_create();
    GPtrArray *objects = Declarations_load(paths, problems);
    Log_begin(problems->len > 0 ? LOG_LEVEL_WARNING : LOG_LEVEL_INFO,
              "bootstrap_loaded");
    Log_number("objects", objects->len);
    Log_number("problems", problems->len);
    Log_end();
    if (objects->len > 0) {
        ConfigStore_bootstrap(this->context.config, objects);
    }
    else {
        g_ptr_array_unref(objects);
    }
}

static void
on_peer_message(void *data, Member_t *from, const Wt__PeerMessage *message)
{
    Router_t *this = data;
    if (this->relay) {
        RelayParts_take(this->relay, from, message);
        return;
    }
    switch (message->body_case) {
    case WT__PEER_MESSAGE__BODY_CONFIG_PULL:
    case WT__PEER_MESSAGE__BODY_CONFIG_PUSH:
        ConfigSync_take(this->sync, from, message);
        break;
    case WT__PEER_MESSAGE__BODY_CLAIM_CALL:
    case WT__PEER_MESSAGE__BODY_CLAIM_REPLY:
        Claims_take(this->context.claims, from, message);
        break;
    default:
        break;
    }
}

static gboolean
create_peers(Router_t *this, GError **error)
{
    Context_t *context = &this->context;
    MembershipSpec_t spec = {
        .settings = this->settings,
        .incarnation = context->incarnation,
        .upstreams = context->upstreams,
        .counters = context->counters,
        .message = on_peer_message,
        .data = this,
    };
    context->membership = Membership_create(context->base, &spec, error);
    return context->membership != NULL;
}

static gboolean
declared_weights(void *data, const Upstream_t *upstream, WantedWeights_t *out)
{
    const Router_t *this = data;
    if (upstream->role != ROLE_ENGINE || upstream->serves->len == 0) {
        return FALSE;
    }
    const GString *name = g_ptr_array_index(upstream->serves, 0);
    const Object_t *model =
        ConfigStore_find(this->context.config, OBJECT_MODEL, name->str);
    if (!model) {
        return FALSE;
    }
    out->model = name->str;
    out->weights = ((const Model_t *)model->spec)->weights->str;
    return TRUE;
}

static void
create_orders(Router_t *this)
{
    OrdersSpec_t orders = {
        .settings = this->settings,
        .incarnation = this->context.incarnation,
        .log = this->log,
        .form = &OrderHttp_form,
        .wanted = declared_weights,
        .wanted_data = this,
        .upstreams = this->context.upstreams,
        .membership = this->context.membership,
        .counters = this->context.counters,
    };
    this->orders = Orders_create(this->context.base, &orders);
}

static void
create_native(Router_t *this)
{
    const PlatformSection_t *platform = &this->settings->platform;
    struct event_base *base = this->context.base;
    ConfigLogLimits_t limits = {
        .poll_ms = platform->log_poll_ms,
        .retry_ms = LOG_RETRY_MS,
        .command_ms = platform->command_timeout_ms,
    };
    this->log = LogHttp_create(base, &platform->log, platform->log_timeout_ms);
    this->context.config_log =
        ConfigLog_create(base, this->log, this->context.config, &limits);
    this->instances = InstanceList_create(
        base, &platform->instances, platform->instances_poll_ms,
        this->context.upstreams, this->context.membership);
    ClaimsSpec_t claims = {
        .settings = this->settings,
        .log = this->log,
        .membership = this->context.membership,
        .counters = this->context.counters,
    };
    this->context.claims = Claims_create(base, &claims);
    this->sync =
        ConfigSync_create(base, this->settings, this->context.config,
                          this->context.config_log, this->context.membership);
    create_orders(this);
    this->plans =
        StopPlans_create(base, this->context.config, this->context.upstreams,
                         this->context.membership);
}

static void
create_platform(Router_t *this)
{
    if (this->context.form) {
        this->relay = RelayParts_create(&this->context, this->context.form);
        return;
    }
    load_bootstrap(this);
    create_native(this);
}

/* Port 0 in the settings lets the system choose. */
static guint16
port_of(struct evhttp_bound_socket *bound)
{
    struct sockaddr_in address = {0};
    socklen_t size = sizeof(address);
    getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&address,
                &size);
    return ntohs(address.sin_port);
}

/* A connection keeps the bounds that it began with. */
static void
set_bounds(const Router_t *this, struct evhttp *server)
{
    const LimitsSection_t *limits = &this->settings->limits;
    struct timeval timeout = {limits->read_timeout_ms / 1000,
                              (limits->read_timeout_ms % 1000) * 1000};
    evhttp_set_max_headers_size(server, limits->max_header);
    evhttp_set_max_body_size(server, limits->max_body);
    evhttp_set_timeout_tv(server, &timeout);
}

static struct evhttp *
listen_on(Router_t *this, const Address_t *address,
          void (*handle)(struct evhttp_request *, void *), guint16 *port,
          GError **error)
{
    struct evhttp *server = evhttp_new(this->context.base);
    evhttp_set_gencb(server, handle, &this->context);
    set_bounds(this, server);
    struct evhttp_bound_socket *bound =
        evhttp_bind_socket_with_handle(server, address->host, address->port);
    if (!bound) {
        g_set_error(error, WT_ERROR, WT_ERROR_LISTEN, "can't listen on %s:%u",
                    address->host, address->port);
        evhttp_free(server);
        return NULL;
    }
    *port = port_of(bound);
    return server;
}

static gboolean
create_listeners(Router_t *this, GError **error)
{
    const RouterSection_t *settings = &this->settings->router;
    this->callers =
        listen_on(this, &settings->listen,
                  this->context.form ? RelayApi_handle : CallerApi_handle,
                  &this->port, error);
    if (!this->callers) {
        return FALSE;
    }
    evhttp_set_allowed_methods(this->callers, ALL_METHODS);
    if (this->context.form && settings->ready_listen.host[0] != '\0') {
        this->readiness =
            listen_on(this, &settings->ready_listen, RelayApi_handleReady,
                      &this->ready_port, error);
        if (!this->readiness) {
            return FALSE;
        }
    }
    this->operators =
        listen_on(this, &settings->operator_listen, OperatorApi_handle,
                  &this->operator_port, error);
    return this->operators != NULL;
}

static void
take_listener(struct evhttp_bound_socket *bound, void *data)
{
    struct evconnlistener **listener = data;
    *listener = evhttp_bound_socket_get_listener(bound);
}

static gboolean
can_serve(const void *owner)
{
    return RelayApi_canServe(owner);
}

/* Native routers know their declarations before they listen (bootstrap). */
static void
hold_callers(Router_t *this)
{
    AcceptHoldSpec_t spec = {.is_known = can_serve, .owner = &this->context};
    evhttp_foreach_bound_socket(this->callers, take_listener, &spec.listener);
    this->hold = AcceptHold_create(this->context.base, &spec);
}

static void
on_stop_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Router_t *this = data;
    gint64 passed = Clock_nowMs() - this->stop_began_ms;
    const RouterSection_t *settings = &this->settings->router;
    this->context.refusing = passed >= settings->stop_grace_ms;
    guint claims =
        this->context.claims ? Claims_open(this->context.claims) : 0;
    gboolean empty =
        this->context.refusing && this->context.open_requests == 0 &&
        PendingReply_count() == 0 &&
        (claims == 0 || passed >= settings->stop_grace_ms + CLAIMS_LIMIT_MS);
    if (empty || passed >= settings->stop_limit_ms) {
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
    if (this->relay) {
        RelayParts_stop(this->relay);
    }
    Log_begin(LOG_LEVEL_INFO, "router_stopping");
    Log_number("signal", fd);
    Log_number("open_requests", this->context.open_requests);
    Log_end();
    on_stop_timer(-1, 0, this);
}

static void
on_waiting_setting(const char *section, const char *key, void *data)
{
    guint *count = data;
    (*count)++;
    Log_begin(LOG_LEVEL_WARNING, "setting_waits");
    Log_text("section", section);
    Log_text("key", key);
    Log_text("until", "restart");
    Log_end();
}

/* Without the value, which may be that of a key. */
static void
log_faults(const GPtrArray *problems)
{
    for (guint i = 0; i < problems->len; i++) {
        const Problem_t *problem = g_ptr_array_index(problems, i);
        Log_begin(LOG_LEVEL_WARNING, "setting_at_fault");
        Log_text("section", problem->section->str);
        Log_text("key", problem->key->str);
        Log_text("reason", Problem_kindName(problem->kind));
        Log_number("line", problem->line);
        Log_end();
    }
}

/* Parts that keep a value of their own are told of it. */
static void
apply_settings(Router_t *this)
{
    const LimitsSection_t *limits = &this->settings->limits;
    Log_setBudget(limits->log_budget);
    Log_setLevel((LogLevel_t)limits->log_level);
    UpstreamSet_setIdleMax(this->context.upstreams,
                           (guint)limits->idle_connections);
    RetryBudget_setShare(this->context.budget, (guint)limits->retry_percent,
                         (guint)limits->retry_allowance);
    set_bounds(this, this->callers);
    set_bounds(this, this->operators);
    if (this->readiness) {
        set_bounds(this, this->readiness);
    }
    if (this->relay) {
        RelayParts_reload(this->relay);
    }
}

/* The platform changes the file before it sends the signal. */
static void
on_reload_signal(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Router_t *this = data;
    g_autoptr(GPtrArray) problems = Problems_create();
    guint waiting = 0;
    gboolean good = Settings_reload(this->settings, problems,
                                    on_waiting_setting, &waiting);
    if (good) {
        apply_settings(this);
    }
    log_faults(problems);
    Log_begin(good ? LOG_LEVEL_INFO : LOG_LEVEL_WARNING, "settings_reloaded");
    Log_text("outcome", good ? "taken" : "refused");
    Log_number("problems", problems->len);
    Log_number("waiting", waiting);
    Log_end();
}

/* A signal that comes while handlers are freed would meet the default action
 * and end the router as if it had failed. */
static void
block_stop_signals(void)
{
    sigset_t stops;
    sigemptyset(&stops);
    sigaddset(&stops, SIGTERM);
    sigaddset(&stops, SIGINT);
    sigaddset(&stops, SIGHUP);
    sigprocmask(SIG_BLOCK, &stops, NULL);
}

static void
create_signals(Router_t *this)
{
    struct event_base *base = this->context.base;
    signal(SIGPIPE, SIG_IGN);
    this->stop_timer = Clock_timer(base, on_stop_timer, this);
    this->on_term = evsignal_new(base, SIGTERM, on_stop_signal, this);
    this->on_int = evsignal_new(base, SIGINT, on_stop_signal, this);
    event_add(this->on_term, NULL);
    this->on_hup = evsignal_new(base, SIGHUP, on_reload_signal, this);
    event_add(this->on_int, NULL);
    event_add(this->on_hup, NULL);
}

static void
free_listeners(Router_t *this)
{
    if (this->callers) {
        evhttp_free(this->callers);
    }
    if (this->operators) {
        evhttp_free(this->operators);
    }
    if (this->readiness) {
        evhttp_free(this->readiness);
    }
}

static void
free_native(Router_t *this)
{
    Context_t *context = &this->context;
    LogClient_destroy(this->log);
    InstanceList_destroy(this->instances);
    StopPlans_destroy(this->plans);
    Orders_destroy(this->orders);
    ConfigSync_destroy(this->sync);
    Claims_destroy(context->claims);
    ConfigLog_destroy(context->config_log);
}

/* Calls and links that were closed free themselves in the loop. */
static void
free_platform(Router_t *this)
{
    if (this->relay) {
        RelayParts_destroy(this->relay);
    }
    else {
        free_native(this);
    }
    Membership_destroy(this->context.membership);
    event_base_loop(this->context.base, EVLOOP_NONBLOCK);
}

static void
free_parts(Router_t *this)
{
    Context_t *context = &this->context;
    Traces_destroy(context->traces);
    TurnEnd_destroy(context->turn_end);
    RetryBudget_destroy(context->budget);
    CustomerLimits_destroy(context->limits);
    Policy_destroy(context->service_policy);
    Policy_destroy(context->policy);
    UpstreamSet_destroy(context->upstreams);
    ConfigStore_destroy(context->config);
    Counters_destroy(context->counters);
    event_free(this->on_term);
    event_free(this->on_int);
    event_free(this->on_hup);
    event_free(this->stop_timer);
}

static void
log_event(const Router_t *this, const char *event)
{
    Log_begin(LOG_LEVEL_INFO, event);
    Log_text("router", this->settings->router.name->str);
    Log_text("hall", this->settings->router.hall->str);
    Log_number("port", this->port);
    Log_number("operator_port", this->operator_port);
    if (this->readiness) {
        Log_number("ready_port", this->ready_port);
    }
    Log_number("peer_port", Membership_port(this->context.membership));
    Log_end();
}

/* The changelist gathers changes of the event set between two waits, so
 * that those which undo each other never reach the kernel. */
static struct event_base *
create_base(void)
{
    struct event_config *config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
    struct event_base *base = event_base_new_with_config(config);
    event_config_free(config);
    return base;
}

gboolean
Router_run(Settings_t *settings, const PlatformForm_t *form, GError **error)
{
    Router_t this = {.settings = settings};
    this.context.form = form;
    Random_seed((guint32)settings->router.seed);
    this.context.base = create_base();
    create_parts(&this);
    create_signals(&this);
    gboolean started =
        create_listeners(&this, error) && create_peers(&this, error);
    if (started) {
        create_platform(&this);
        if (this.relay) {
            hold_callers(&this);
        }
        log_event(&this, "router_started");
        event_base_dispatch(this.context.base);
        log_event(&this, "router_stopped");
        free_platform(&this);
    }
    block_stop_signals();
    if (this.hold) {
        AcceptHold_destroy(this.hold);
    }
    free_listeners(&this);
    free_parts(&this);
    event_base_free(this.context.base);
    return started;
}
