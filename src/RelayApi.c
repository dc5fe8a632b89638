#include "RelayApi.h"

#include <string.h>

#include "Clock.h"
#include "ConnectionOptions.h"
#include "HttpCall.h"
#include "HttpReply.h"
#include "Log.h"
#include "PlatformForm.h"
#include "Random.h"
#include "RelayAnswer.h"
#include "RelayExchange.h"
#include "RelayForward.h"
#include "RelayStop.h"
#include "RequestHead.h"
#include "RequestIntake.h"

#define PASSED_METHODS                                                        \
    (EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |    \
     EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_TRACE |              \
     EVHTTP_REQ_PATCH)

/* State of one request during admission. */
typedef struct {
    Context_t *context;
    struct evhttp_request *http;
    RelayRequest_t request;
    const Route_t *route;
    const RouteCustomer_t *customer;
    const char *forwarded_by; /* the router that forwards it, or NULL */
    gboolean is_ambiguous;    /* the head leaves open where the body ends */
} Admission_t;

static gboolean
is_fresh(const Context_t *context)
{
    return RouteTable_isFresh(context->routes,
                              context->settings->relay.config_max_age_ms);
}

static gboolean
is_overdue(const Context_t *context)
{
    return RouteTable_isOverdue(
        context->routes, context->settings->relay.config_change_limit_ms);
}

gboolean
RelayApi_canServe(const Context_t *context)
{
    return RouteTable_config(context->routes) &&
           UpstreamListing_isKnown(context->listing);
}

/* Whether the load balancer should send new connections to this router. */
static gboolean
is_ready(const Context_t *context)
{
    return !context->stopping && is_fresh(context) && !is_overdue(context) &&
           RelayApi_canServe(context);
}

/* Whether another router may serve a request that this one refuses. */
static gboolean
may_try_another(Refusal_t refusal)
{
    return refusal == REFUSAL_NO_PATH || refusal == REFUSAL_STOPPING ||
           refusal == REFUSAL_NOT_CONFIGURED ||
           refusal == REFUSAL_CONFIG_STALE || refusal == REFUSAL_OVERLOADED ||
           refusal == REFUSAL_ANSWERS_UNREAD || refusal == REFUSAL_MEMORY_FULL;
}

static void
refuse_request(Admission_t *admission, Refusal_t refusal, const char *detail)
{
    Context_t *context = admission->context;
    const RelayCallerForm_t *form = context->form->caller;
    const char *id = admission->request.id;
    Context_countRefusal(context, refusal, RUN_NOT, id ? id : "none",
                         admission->route ? admission->route->name->str
                                          : "none",
                         "none", detail);
    RequestIntake_dropBody(admission->http);
    const char *refuses = admission->forwarded_by && may_try_another(refusal)
                              ? RELAY_REFUSES_ALL
                              : NULL;
    RelayRefusal_t params = {refusal, RUN_NOT,           detail,
                             0,       context->stopping, refuses};
    Relay_refuse(admission->http, form->id_header, id, &params);
    form->clear_request(&admission->request);
}

static void
refuse_by_config(Admission_t *admission, Refusal_t refusal)
{
    g_autofree char *detail = RouteTable_describe(admission->context->routes);
    refuse_request(admission, refusal, detail);
}

/* With an outdated configuration the route or key may exist in a newer one, so
 * the request is refused as stale rather than as unknown. */
static void
refuse_unknown(Admission_t *admission, Refusal_t refusal)
{
    const Context_t *context = admission->context;
    gboolean is_newest = RouteTable_isNewest(
        context->routes, context->settings->relay.config_change_limit_ms);
    refuse_by_config(admission, is_newest && is_fresh(context)
                                    ? refusal
                                    : REFUSAL_CONFIG_STALE);
}

static gboolean
find_route(Admission_t *admission, const RouteConfig_t *config)
{
    const RelayRequest_t *request = &admission->request;
    admission->route =
        RouteConfig_findRoute(config, request->host, request->path->str);
    if (!admission->route) {
        refuse_unknown(admission, REFUSAL_UNKNOWN_PATH);
        return FALSE;
    }
    if (is_overdue(admission->context)) {
        refuse_by_config(admission, REFUSAL_CONFIG_STALE);
        return FALSE;
    }
    return TRUE;
}

static gboolean
check_key(Admission_t *admission, const RouteConfig_t *config)
{
    const char *key = admission->request.key;
    gboolean has_customers = config->customers->len > 0;
    if (!admission->route->needs_key || !has_customers) {
        return TRUE;
    }
    admission->customer = key ? RouteConfig_findCustomer(config, key) : NULL;
    if (!admission->customer) {
        refuse_unknown(admission, REFUSAL_UNAUTHENTICATED);
        return FALSE;
    }
    if (!is_fresh(admission->context)) {
        refuse_by_config(admission, REFUSAL_CONFIG_STALE);
        return FALSE;
    }
    return TRUE;
}

/* Another router may serve a request that outlasts the stop of this one. */
static gboolean
check_stop(Admission_t *admission)
{
    const Context_t *context = admission->context;
    RelayStopRequest_t request = {
        .id = admission->request.id,
        .route = admission->route->name->str,
        .size = admission->request.answer_tokens,
        .deadline_ms =
            Clock_nowMs() + Context_waitMs(context, admission->request.wait_ms,
                                           admission->route->time_limit_ms),
    };
    if (!RelayStop_isOutlasting(context, &request)) {
        return TRUE;
    }
    RelayStop_noteRefused(context, &request, "arrival");
    refuse_request(admission, REFUSAL_STOPPING, NULL);
    return FALSE;
}

/* Streams that run stop at their own bounds; a new one takes memory for long.
 * A call takes little for a short time. */
static gboolean
has_memory(const Admission_t *admission)
{
    return admission->route->kind == ROUTE_STREAM
               ? !Context_isMemoryFull(admission->context)
               : !Context_isMemoryUsedUp(admission->context);
}

static gboolean
check_room(Admission_t *admission)
{
    gboolean is_stream = admission->route->kind == ROUTE_STREAM;
    if (!has_memory(admission)) {
        refuse_request(admission, REFUSAL_MEMORY_FULL, NULL);
        return FALSE;
    }
    if (!is_stream && Context_areAnswersUnread(admission->context)) {
        refuse_request(admission, REFUSAL_ANSWERS_UNREAD, NULL);
        return FALSE;
    }
    return TRUE;
}

static void
forward_request(const Admission_t *admission)
{
    RelayForwardSpec_t spec = {
        .http = admission->http,
        .request = &admission->request,
        .is_repeatable = Route_isRepeatable(admission->route),
        .limit_ms = admission->route->time_limit_ms,
    };
    RelayForward_start(admission->context, &spec);
}

static void
log_forwarded(const Admission_t *admission)
{
    Log_begin(LOG_LEVEL_INFO, "forwarded_request_taken");
    Log_text("request", admission->request.id);
    Log_text("by", admission->forwarded_by);
    Log_number("open_requests", admission->context->open_requests);
    Log_end();
}

/* Returns FALSE if the request is answered by another router or refused. */
static gboolean
check_path(Admission_t *admission)
{
    Context_t *context = admission->context;
    gboolean is_lost = UpstreamPath_isLost(context->path);
    gboolean has_room =
        context->open_requests < context->settings->limits.forwarded_open;
    if (!admission->forwarded_by) {
        if (is_lost) {
            forward_request(admission);
        }
        return !is_lost;
    }
    if (is_lost || !has_room) {
        refuse_request(admission,
                       is_lost ? REFUSAL_NO_PATH : REFUSAL_OVERLOADED, NULL);
        return FALSE;
    }
    log_forwarded(admission);
    Counters_add(context->counters, "forwarded_requests_taken_total", NULL, 1);
    return TRUE;
}

static void
start_exchange(Admission_t *admission, RouteConfig_t *config)
{
    const char *service =
        Route_pickTarget(admission->route, Random_below(G_MAXINT32));
    if (!service) {
        refuse_request(admission, REFUSAL_NO_UPSTREAM,
                       "The route has no service.");
        return;
    }
    RelayExchangeSpec_t spec = {
        .http = admission->http,
        .config = config,
        .route = admission->route,
        .service = service,
        .customer = admission->customer,
        .request = &admission->request,
    };
    RelayExchange_start(admission->context, &spec);
}

static void
admit_request(Admission_t *admission)
{
    Context_t *context = admission->context;
    RouteConfig_t *config = RouteTable_config(context->routes);
    if (!config) {
        refuse_request(admission, REFUSAL_NOT_CONFIGURED, NULL);
        return;
    }
    if (context->refusing) {
        refuse_request(admission, REFUSAL_STOPPING, NULL);
        return;
    }
    if (find_route(admission, config) && check_key(admission, config) &&
        check_stop(admission) && check_room(admission) &&
        check_path(admission)) {
        start_exchange(admission, config);
    }
}

/* What follows a head that leaves open where its body ends is not read, as it
 * may be a part of that body. */
static void
close_if_ambiguous(Admission_t *admission)
{
    struct evhttp_request *http = admission->http;
    admission->is_ambiguous = RequestIntake_isAmbiguous(http);
    if (admission->is_ambiguous) {
        HttpReply_setClose(http);
    }
}

static gboolean
check_framing(Admission_t *admission)
{
    if (admission->is_ambiguous) {
        refuse_request(admission, REFUSAL_BAD_HEADER,
                       "The head does not tell where the body ends.");
    }
    return !admission->is_ambiguous;
}

/* Nothing tells where what is sent through a tunnel ends. */
static gboolean
check_method(Admission_t *admission)
{
    struct evhttp_request *http = admission->http;
    const char *unnamed = RequestHead_unnamedMethod(http);
    if ((evhttp_request_get_command(http) & PASSED_METHODS) ||
        (unnamed && strcmp(unnamed, "CONNECT") != 0)) {
        return TRUE;
    }
    refuse_request(admission, REFUSAL_BAD_METHOD, NULL);
    return FALSE;
}

/* An id with a control character is left out of the answer and the log. */
static gboolean
check_headers(Admission_t *admission)
{
    const RelayCallerForm_t *form = admission->context->form->caller;
    Refusal_t refusal = REFUSAL_BAD_HEADER;
    const char *name = HeaderCheck_findFault(
        evhttp_request_get_input_headers(admission->http), &form->rules,
        &refusal);
    if (!name) {
        return TRUE;
    }
    if (refusal == REFUSAL_CONTROL_CHARACTER &&
        strcmp(name, form->id_header) == 0) {
        admission->request.id = NULL;
    }
    refuse_request(admission, refusal, name);
    return FALSE;
}

/* Any name keeps a request from being forwarded again, also that of a router
 * that is not known here; only known ones are logged. */
static const char *
find_forwarder(const Context_t *context, struct evhttp_request *request)
{
    const char *name = evhttp_find_header(
        evhttp_request_get_input_headers(request), RELAY_FORWARDED_BY);
    if (!name) {
        return NULL;
    }
    return Membership_isMember(context->membership, name) ? name : "unknown";
}

/* Callers reuse a connection as long as the configuration lets it rest, which
 * may be longer than the settings allow a pause while a request is sent. */
static void
extend_idle_time(const Context_t *context,
                 struct evhttp_connection *connection)
{
    const RouteConfig_t *config = RouteTable_config(context->routes);
    if (!config ||
        config->idle_timeout_ms <= context->settings->limits.read_timeout_ms) {
        return;
    }
    struct timeval timeout = {config->idle_timeout_ms / 1000,
                              config->idle_timeout_ms % 1000 * 1000};
    evhttp_connection_set_timeout_tv(connection, &timeout);
}

void
RelayApi_handle(struct evhttp_request *request, void *data)
{
    Admission_t admission = {.context = data, .http = request};
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request);
    g_autoptr(GError) error = NULL;
    ConnectionOptions_strip(evhttp_request_get_input_headers(request),
                            admission.context->form->caller->kept_headers);
    admission.forwarded_by = find_forwarder(data, request);
    close_if_ambiguous(&admission);
    Http_setNoDelay(connection);
    Context_prepareCaller(data, connection);
    extend_idle_time(data, connection);
    Counters_add(admission.context->counters, "requests_total", NULL, 1);
    gboolean is_read = admission.context->form->caller->read_request(
        request, &admission.request, &error);
    if (!check_headers(&admission) || !check_framing(&admission) ||
        !check_method(&admission)) {
        return;
    }
    if (!is_read) {
        refuse_request(&admission, REFUSAL_BAD_HEADER, error->message);
        return;
    }
    admit_request(&admission);
}

void
RelayApi_handleReady(struct evhttp_request *request, void *data)
{
    const Context_t *context = data;
    const char *uri = evhttp_request_get_uri(request);
    gboolean known = strcmp(uri, context->form->caller->ready_path) == 0;
    int status = HTTP_NOTFOUND;
    if (known) {
        status = is_ready(context) ? HTTP_OK : HTTP_SERVUNAVAIL;
    }
    evhttp_send_reply(request, status, NULL, NULL);
}
