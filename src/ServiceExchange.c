#include "ServiceExchange.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include "Answer.h"
#include "CallerWatch.h"
#include "Clock.h"
#include "EngineHttp.h"
#include "Errors.h"
#include "ExchangeCapacity.h"
#include "HttpCall.h"
#include "HttpReply.h"
#include "Random.h"

typedef struct {
    Exchange_t super;
    CallerWatch_t *watch;
    GString *path;
    GString *content_type;
    GString *key;
    GBytes *body;
    enum evhttp_cmd_type method;
    HttpCall_t *call;
    UpstreamWaiter_t waiter;
    char attempt[RANDOM_ID_LENGTH + 1];
} ServiceExchange_t;

static void
destroy(Exchange_t *super)
{
    ServiceExchange_t *this = (ServiceExchange_t *)super;
    CallerWatch_destroy(this->watch);
    g_string_free(this->path, TRUE);
    g_string_free(this->content_type, TRUE);
    g_string_free(this->key, TRUE);
    g_bytes_unref(this->body);
    Exchange_clear(super);
    g_free(this);
}

static void
cancel_call(ServiceExchange_t *this)
{
    Upstream_removeWaiter(this->super.upstream, &this->waiter);
    HttpCall_cancel(this->call);
    this->call = NULL;
}

/* The upstream may still run a call that is cancelled here, so the result is
 * always TRUE. */
static gboolean
drop(Exchange_t *super)
{
    cancel_call((ServiceExchange_t *)super);
    return TRUE;
}

static void
on_withdraw(void *owner)
{
    ServiceExchange_t *this = owner;
    if (!HttpCall_wasSent(this->call)) {
        cancel_call(this);
        Exchange_noteAttemptEnd(&this->super, ATTEMPT_WITHDRAWN);
        Exchange_recover(&this->super, ATTEMPT_WITHDRAWN, NULL);
    }
}

static void
refuse(Exchange_t *super, const RefusalNotice_t *notice)
{
    ServiceExchange_t *this = (ServiceExchange_t *)super;
    if (CallerWatch_request(this->watch)) {
        Http_refuse(CallerWatch_detach(this->watch), super->id->str, notice);
    }
}

/* A call that may run only once and was sent continues without its caller, so
 * that its outcome is known and counted. */
static void
on_caller_left(void *owner, Refusal_t reason)
{
    ServiceExchange_t *this = owner;
    Exchange_t *super = &this->super;
    if (super->over ||
        (this->call && !super->repeatable && HttpCall_wasSent(this->call))) {
        return;
    }
    Exchange_noteCallerLeft(super, reason, 0);
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
send_answer(ServiceExchange_t *this, const HttpAnswer_t *answer,
            AttemptEnd_t end)
{
    if (CallerWatch_request(this->watch)) {
        struct evhttp_request *request = CallerWatch_detach(this->watch);
        struct evkeyvalq *out = evhttp_request_get_output_headers(request);
        copy_header(answer, out, "Content-Type");
        copy_header(answer, out, "Retry-After");
        evhttp_add_header(out, "X-Request-Id", this->super.id->str);
        struct evbuffer *body = evbuffer_new();
        evbuffer_add(body, answer->body, answer->length);
        HttpReply_sendBody(request, this->super.id->str, answer->status, NULL,
                           body, end == ATTEMPT_COMPLETE);
        evbuffer_free(body);
    }
    Exchange_finish(&this->super, end);
}

static AttemptEnd_t
attempt_end_of_error(const GError *error)
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

/* A refusal may announce that the upstream is leaving. */
static void
note_refusal(const Exchange_t *super, const EngineRefusal_t *refusal)
{
    if (refusal->leaving) {
        UpstreamNotices_noteLeaving(super->context->notices, &super->origin,
                                    "refusal");
    }
}

static AttemptEnd_t
attempt_end_of_answer(const ServiceExchange_t *this,
                      const HttpAnswer_t *answer)
{
    const char *attempt = evhttp_find_header(answer->headers, ATTEMPT_HEADER);
    if (g_strcmp0(attempt, this->attempt) != 0) {
        return ATTEMPT_MISMATCH;
    }
    if (answer->status < HTTP_INTERNAL) {
        return answer->framing == BODY_CLOSE_DELIMITED ? ATTEMPT_CLOSED
                                                       : ATTEMPT_COMPLETE;
    }
    EngineRefusal_t refusal;
    EngineHttp_wire.read_refusal(answer->status, answer->body, answer->length,
                                 &refusal);
    note_refusal(&this->super, &refusal);
    return refusal.not_run ? ATTEMPT_NOT_RUN : ATTEMPT_FAILED;
}

static void
on_answer(const HttpAnswer_t *answer, const GError *error, void *data)
{
    ServiceExchange_t *this = data;
    AttemptEnd_t end = answer ? attempt_end_of_answer(this, answer)
                              : attempt_end_of_error(error);
    this->call = NULL;
    Upstream_removeWaiter(this->super.upstream, &this->waiter);
    if (answer && end != ATTEMPT_MISMATCH) {
        UpstreamNotice_t notice = UpstreamNotice_read(
            &EngineHttp_wire.notices, answer->status, answer->headers);
        Exchange_noteNotice(&this->super, &notice);
    }
    Exchange_noteAttemptEnd(&this->super, end);
    if (end == ATTEMPT_COMPLETE || end == ATTEMPT_CLOSED) {
        send_answer(this, answer, end);
        return;
    }
    Exchange_recover(&this->super, end, NULL);
}

static gint64
call_timeout_ms(const Exchange_t *super)
{
    const Object_t *service = ConfigStore_find(
        super->context->config, OBJECT_SERVICE, super->target->str);
    gint64 remaining_ms = super->deadline_ms - Clock_nowMs();
    return service ? MIN(remaining_ms,
                         ((const Service_t *)service->spec)->timeout_ms)
                   : remaining_ms;
}

static void
start_call(ServiceExchange_t *this, Upstream_t *upstream, const char *reason)
{
    Exchange_t *super = &this->super;
    Random_id(this->attempt);
    HttpHeader_t headers[] = {
        {ATTEMPT_HEADER, this->attempt},
        {"X-Request-Id", super->id->str},
        {"X-Customer", super->customer->str},
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
        .timeout_ms = call_timeout_ms(super),
        .answer_max = (gsize)super->context->settings->limits.answer_max,
        .is_one_of_many = TRUE,
        .connect_timeout_ms =
            super->context->settings->limits.connect_timeout_ms,
        .refuses_folds = TRUE,
        .accepts_close_delimited = TRUE,
    };
    Exchange_noteAttempt(super, upstream, reason);
    this->call = HttpCall_start(super->context->base, &spec, on_answer, this);
    this->waiter = (UpstreamWaiter_t){.withdraw = on_withdraw, .owner = this};
    Upstream_addWaiter(upstream, &this->waiter);
}

static Choice_t
choose(Exchange_t *super, Placement_t *placement)
{
    Policy_t *policy = super->context->service_policy;
    PlacementConstraints_t constraints = ExchangeCapacity_terms(super);
    Placement_setConstraints(placement, &constraints);
    Choice_t choice = Policy_choose(policy, placement);
    if (choice.upstream || !constraints.permitted) {
        return choice;
    }
    ExchangeCapacity_release(super);
    placement->permitted = NULL;
    return Policy_choose(policy, placement);
}

static void
place(Exchange_t *super)
{
    const Context_t *context = super->context;
    Placement_t placement = {
        .target = super->target->str,
        .serving = UpstreamSet_findServing(context->upstreams, ROLE_SERVICE,
                                           super->target->str),
        .generation = UpstreamSet_generation(context->upstreams),
        .hall = context->settings->router.hall->str,
        .region = context->settings->router.region->str,
        .now_ms = Clock_nowMs(),
    };
    Choice_t choice = choose(super, &placement);
    if (choice.upstream) {
        if (ExchangeCapacity_acquire(super, choice.upstream)) {
            start_call((ServiceExchange_t *)super, choice.upstream,
                       choice.reason);
        }
    }
    else {
        ExchangeCapacity_refuse(super, &placement);
    }
}

static const ExchangeClass_t class = {
    .destroy = destroy,
    .place = place,
    .drop = drop,
    .refuse = refuse,
};

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
    this->body = Http_copyBody(spec->request);
    ExchangeSpec_t base = {
        .id = spec->id,
        .customer = caller->customer->name->str,
        .customer_class = customer->customer_class->str,
        .target = spec->service,
        .priority = caller->priority,
        .deadline_ms = caller->deadline_ms,
        .repeatable = caller->repeatable &&
                      ((const Service_t *)service->spec)->repeatable,
        .max_attempts = (guint)context->settings->limits.max_attempts,
        .path = evhttp_request_get_uri(spec->request),
        .body = this->body,
    };
    Exchange_init(&this->super, &class, context, &base);
    this->watch =
        CallerWatch_create(context->base, spec->request, on_caller_left, this);
    this->path = g_string_new(spec->path);
    this->content_type =
        g_string_new(content_type ? content_type : "application/octet-stream");
    this->key = g_string_new(caller->key);
    this->method = evhttp_request_get_command(spec->request);
    return this;
}

void
ServiceExchange_start(Context_t *context, const ServiceExchangeSpec_t *spec)
{
    ServiceExchange_t *this = create(context, spec);
    Exchange_begin(&this->super);
    RateRequest_t rate =
        Caller_makeRateRequest(spec->caller, this->super.customer->str, 0);
    Exchange_admit(&this->super, &rate, spec->caller->key);
}
