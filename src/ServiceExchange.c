#include "ServiceExchange.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <string.h>

#include "Answer.h"
#include "Clock.h"
#include "EngineHttp.h"
#include "Errors.h"
#include "HttpCall.h"
#include "Log.h"
#include "OnceGuard.h"
#include "PendingReply.h"
#include "Random.h"
#include "Recovery.h"

typedef struct {
    Context_t *context;
    struct evhttp_request *request; /* NULL once answered or left */
    GString *id;
    GString *customer;
    GString *customer_class;
    GString *service;
    GString *path;
    GString *content_type;
    GString *key;
    GBytes *body;
    enum evhttp_cmd_type method;
    gint64 deadline_ms;
    gboolean repeatable;
    OnceGuard_t *guard; /* of a call that may run only once */
    Trace_t *trace;
    TraceAttempt_t *attempt_trace;
    HttpCall_t *call;
    char attempt[RANDOM_ID_LENGTH + 1];
    Upstream_t *upstream;
    Upstream_t *avoid;
    struct event *deadline;
    gint64 started_us;
    guint attempts;
    gboolean sent;
} ServiceExchange_t;

static void place(ServiceExchange_t *this);

static void
ServiceExchange_destroy(ServiceExchange_t *this)
{
    event_free(this->deadline);
    if (this->avoid) {
        Upstream_unref(this->avoid);
    }
    g_string_free(this->id, TRUE);
    g_string_free(this->customer, TRUE);
    g_string_free(this->customer_class, TRUE);
    g_string_free(this->service, TRUE);
    g_string_free(this->path, TRUE);
    g_string_free(this->content_type, TRUE);
    g_string_free(this->key, TRUE);
    g_bytes_unref(this->body);
    g_free(this);
}

static void
end_exchange(ServiceExchange_t *this, const char *outcome, RunState_t run)
{
    if (this->guard) {
        OnceGuard_end(this->guard, run);
    }
    this->context->open_requests--;
    CustomerLimits_leave(this->context->limits, this->customer->str);
    Log_begin(LOG_LEVEL_INFO, "request_done");
    Log_text("request", this->id->str);
    Log_text("customer", this->customer->str);
    Log_text("service", this->service->str);
    Log_text("outcome", outcome);
    Log_number("attempts", this->attempts);
    Log_end();
    this->trace->outcome = outcome;
    Traces_keep(this->context->traces, this->trace);
    ServiceExchange_destroy(this);
}

static struct evhttp_request *
let_go(ServiceExchange_t *this)
{
    struct evhttp_request *request = this->request;
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request);
    if (connection) {
        evhttp_connection_set_closecb(connection, NULL, NULL);
    }
    this->request = NULL;
    return request;
}

/* The call goes on, so that its outcome is known and counted. */
static void
on_caller_left(struct evhttp_connection *connection, void *data)
{
    (void)connection;
    ServiceExchange_t *this = data;
    struct evhttp_request *request = let_go(this);
    if (!evhttp_request_get_connection(request)) {
        evhttp_send_reply_end(request);
    }
}

static RunState_t
run_state(const ServiceExchange_t *this)
{
    return this->sent ? RUN_MAYBE : RUN_NOT;
}

static void
refuse_as(ServiceExchange_t *this, Refusal_t refusal, RunState_t run,
          const char *detail)
{
    Context_countRefusal(this->context, refusal, run, this->id->str,
                         this->service->str, this->customer_class->str);
    if (this->request) {
        Http_refuse(let_go(this), this->id->str, refusal, run, detail);
    }
    end_exchange(this, Refusal_spec(refusal)->code, run);
}

static void
refuse(ServiceExchange_t *this, Refusal_t refusal, const char *detail)
{
    refuse_as(this, refusal, run_state(this), detail);
}

static void
drop_call(ServiceExchange_t *this, const char *outcome)
{
    this->call = NULL;
    this->upstream->in_flight--;
    this->upstream->probing = FALSE;
    this->attempt_trace->outcome = outcome;
    if (this->avoid) {
        Upstream_unref(this->avoid);
    }
    this->avoid = this->upstream;
    this->upstream = NULL;
}

static void
copy_header(const HttpAnswer_t *answer, struct evkeyvalq *out,
            const char *name)
{
    const char *value = evhttp_find_header(answer->headers, name);
    if (value) {
        evhttp_add_header(out, name, value);
    }
}

static void
pass_on(ServiceExchange_t *this, const HttpAnswer_t *answer)
{
    if (this->request) {
        struct evhttp_request *request = let_go(this);
        struct evkeyvalq *out = evhttp_request_get_output_headers(request);
        copy_header(answer, out, "Content-Type");
        copy_header(answer, out, "Retry-After");
        evhttp_add_header(out, "X-Request-Id", this->id->str);
        struct evbuffer *body = evbuffer_new();
        evbuffer_add(body, answer->body, answer->length);
        PendingReply_watch(request);
        evhttp_send_reply(request, answer->status, NULL, body);
        evbuffer_free(body);
    }
    Counters_add(this->context->counters, "answers_total", NULL, 1);
    end_exchange(this, "whole", RUN_DONE);
}

static AttemptEnd_t
end_of_error(const GError *error)
{
    switch (error->code) {
    case WT_ERROR_CONNECT:
        return ATTEMPT_NOT_SENT;
    case WT_ERROR_TIMEOUT:
        return ATTEMPT_SILENT;
    case WT_ERROR_CUT:
        return ATTEMPT_CUT;
    default:
        return ATTEMPT_BAD_ANSWER;
    }
}

static AttemptEnd_t
end_of_answer(const ServiceExchange_t *this, const HttpAnswer_t *answer)
{
    const char *attempt = evhttp_find_header(answer->headers, ATTEMPT_HEADER);
    if (g_strcmp0(attempt, this->attempt) != 0) {
        return ATTEMPT_MISMATCH;
    }
    if (answer->status < HTTP_INTERNAL) {
        return ATTEMPT_WHOLE;
    }
    EngineRefusal_t refusal;
    EngineHttp_wire.read_refusal(answer->status, answer->body, answer->length,
                                 &refusal);
    return refusal.not_run ? ATTEMPT_NOT_RUN : ATTEMPT_FAILED;
}

static void
note_end(ServiceExchange_t *this, AttemptEnd_t end)
{
    const LimitsSection_t *limits = &this->context->settings->limits;
    if (end == ATTEMPT_MISMATCH) {
        Counters_add(this->context->counters, "answer_mismatch_total", NULL,
                     1);
    }
    if (end == ATTEMPT_WHOLE) {
        Upstream_noteSuccess(this->upstream);
    }
    else if (end != ATTEMPT_NOT_RUN) {
        Upstream_noteFailure(this->upstream, (guint)limits->eject_failures,
                             limits->eject_ms, Clock_nowMs());
    }
    if (end != ATTEMPT_NOT_SENT && end != ATTEMPT_NOT_RUN) {
        this->sent = TRUE;
    }
    drop_call(this, Recovery_endName(end));
}

static void
recover(ServiceExchange_t *this, AttemptEnd_t end)
{
    RecoveryFacts_t facts = {
        .end = end,
        .sent = this->sent,
        .repeatable = this->repeatable,
        .attempts = this->attempts,
        .max_attempts = (guint)this->context->settings->limits.max_attempts,
        .budget = RetryBudget_hasOne(this->context->budget),
        .time_left = Clock_nowMs() < this->deadline_ms,
    };
    RecoveryPlan_t plan = Recovery_decide(&facts);
    if (plan.step == RECOVERY_GIVE_UP) {
        refuse(this, plan.refusal, NULL);
        return;
    }
    RetryBudget_withdraw(this->context->budget);
    Context_countRetry(this->context, Recovery_endName(end),
                       this->service->str, this->customer_class->str);
    place(this);
}

static void
on_answer(const HttpAnswer_t *answer, const GError *error, void *data)
{
    ServiceExchange_t *this = data;
    AttemptEnd_t end =
        answer ? end_of_answer(this, answer) : end_of_error(error);
    note_end(this, end);
    if (end == ATTEMPT_WHOLE) {
        pass_on(this, answer);
        return;
    }
    recover(this, end);
}

/* The call may still run: the refusal says so. */
static void
on_deadline(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    ServiceExchange_t *this = data;
    if (this->call) {
        HttpCall_cancel(this->call);
        this->sent = TRUE;
        drop_call(this, "deadline");
    }
    refuse(this, REFUSAL_DEADLINE_PASSED, NULL);
}

static gint64
timeout_of(const ServiceExchange_t *this)
{
    const Object_t *service = ConfigStore_find(
        this->context->config, OBJECT_SERVICE, this->service->str);
    gint64 left = this->deadline_ms - Clock_nowMs();
    return service ? MIN(left, ((const Service_t *)service->spec)->timeout_ms)
                   : left;
}

static void
start_call(ServiceExchange_t *this, Upstream_t *upstream, const char *reason)
{
    Random_id(this->attempt);
    HttpHeader_t headers[] = {
        {ATTEMPT_HEADER, this->attempt},
        {"X-Request-Id", this->id->str},
        {"X-Customer", this->customer->str},
        {"Content-Type", this->content_type->str},
        {this->key->len > 0 ? "Idempotency-Key" : NULL, this->key->str},
        {NULL, NULL},
    };
    HttpCallSpec_t spec = {
        .address = &upstream->address,
        .method = this->method,
        .path = this->path->str,
        .headers = headers,
        .body = this->body,
        .timeout_ms = timeout_of(this),
        .connect_timeout_ms =
            this->context->settings->limits.connect_timeout_ms,
    };
    this->attempts++;
    this->attempt_trace =
        Trace_addAttempt(this->trace, upstream->name->str, reason);
    this->attempt_trace->started_us = Clock_nowUs() - this->started_us;
    this->upstream = Upstream_ref(upstream);
    upstream->in_flight++;
    upstream->probing = upstream->ejections > 0;
    this->call = HttpCall_start(this->context->base, &spec, on_answer, this);
}

static void
place(ServiceExchange_t *this)
{
    const Context_t *context = this->context;
    Placement_t placement = {
        .target = this->service->str,
        .serving = UpstreamSet_serving(context->upstreams, ROLE_SERVICE,
                                       this->service->str),
        .generation = UpstreamSet_generation(context->upstreams),
        .hall = context->settings->router.hall->str,
        .region = context->settings->router.region->str,
        .avoid = this->avoid,
        .now_ms = Clock_nowMs(),
    };
    Choice_t choice = Policy_choose(context->service_policy, &placement);
    if (!choice.upstream) {
        refuse(this, REFUSAL_NO_UPSTREAM, NULL);
        return;
    }
    start_call(this, choice.upstream, choice.reason);
}

static GBytes *
copy_body(struct evhttp_request *request)
{
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    gsize length = evbuffer_get_length(input);
    return g_bytes_new(length > 0 ? evbuffer_pullup(input, -1) : NULL, length);
}

static ServiceExchange_t *
create(Context_t *context, const ServiceExchangeSpec_t *spec)
{
    const Caller_t *caller = spec->caller;
    const Customer_t *customer = caller->customer->spec;
    const Object_t *service =
        ConfigStore_find(context->config, OBJECT_SERVICE, spec->service);
    const char *content_type = evhttp_find_header(
        evhttp_request_get_input_headers(spec->request), "Content-Type");
    ServiceExchange_t *this = g_new0(ServiceExchange_t, 1);
    this->context = context;
    this->request = spec->request;
    this->id = g_string_new(spec->id);
    this->customer = g_string_new(caller->customer->name->str);
    this->customer_class = g_string_new(customer->customer_class->str);
    this->service = g_string_new(spec->service);
    this->path = g_string_new(spec->path);
    this->content_type =
        g_string_new(content_type ? content_type : "application/octet-stream");
    this->key = g_string_new(caller->key);
    this->body = copy_body(spec->request);
    this->method = evhttp_request_get_command(spec->request);
    this->deadline_ms = caller->deadline_ms;
    this->repeatable =
        caller->repeatable && ((const Service_t *)service->spec)->repeatable;
    this->started_us = Clock_nowUs();
    this->trace =
        Trace_create(spec->id, this->customer->str, this->service->str);
    this->deadline = Clock_timer(context->base, on_deadline, this);
    return this;
}

static void
on_claimed(gboolean granted, Refusal_t refusal, RunState_t run, void *data)
{
    ServiceExchange_t *this = data;
    if (granted) {
        place(this);
        return;
    }
    refuse_as(this, refusal, run, NULL);
}

static void
claim(ServiceExchange_t *this)
{
    Refusal_t refusal = REFUSAL_KEY_REQUIRED;
    OnceGuardSpec_t spec = {
        .claims = this->context->claims,
        .customer = this->customer->str,
        .target = this->service->str,
        .key = this->key->str,
        .horizon_ms = this->context->settings->platform.claim_horizon_ms,
        .deadline_ms = this->deadline_ms,
    };
    this->guard = OnceGuard_create(&spec, &refusal);
    if (!this->guard) {
        refuse(this, refusal, NULL);
        return;
    }
    OnceGuard_claim(this->guard, on_claimed, this);
}

void
ServiceExchange_start(Context_t *context, const ServiceExchangeSpec_t *spec)
{
    ServiceExchange_t *this = create(context, spec);
    evhttp_connection_set_closecb(evhttp_request_get_connection(spec->request),
                                  on_caller_left, this);
    context->open_requests++;
    RetryBudget_deposit(context->budget);
    Clock_arm(this->deadline, this->deadline_ms - Clock_nowMs());
    if (this->repeatable) {
        place(this);
    }
    else {
        claim(this);
    }
}
