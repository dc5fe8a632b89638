#include "RelayExchange.h"

#include <event2/buffer.h>

#include "Clock.h"
#include "ExchangeCapacity.h"
#include "HttpCall.h"
#include "Log.h"
#include "RelayBody.h"
#include "RelayDispatch.h"
#include "RelayExchangeState.h"
#include "RelayLateForward.h"
#include "RelayMove.h"
#include "RelayOrigin.h"
#include "RelayRun.h"
#include "RequestIntake.h"

/* Attempts that are known not to have run do not count against the route's
 * limit of attempts, up to this number: each costs a round trip and a part of
 * the retry budget. */
#define UNCOUNTED_ATTEMPTS_MAX 6

RelayPlacementInput_t
RelayExchange_placementInput(const RelayExchange_t *this)
{
    return (RelayPlacementInput_t){
        .route = this->route,
        .service = this->super.target->str,
        .customer = this->customer,
        .request = &this->request,
        .terms = ExchangeCapacity_terms(&this->super),
        .group = this->next_group,
        .software = RelayOrigin_requiredSoftware(this),
    };
}

guint
RelayExchange_rank(const RelayExchange_t *this)
{
    return this->customer && this->customer->rank != ROUTE_NO_RANK
               ? this->customer->rank
               : this->route->rank;
}

void
RelayExchange_endTicket(RelayExchange_t *this)
{
    if (this->super.context->dispatch) {
        Dispatch_endTicket(this->super.context->dispatch, &this->ticket);
    }
}

void
RelayExchange_closeIfStopping(const RelayExchange_t *this)
{
    if (this->super.context->stopping && RelayAnswer_request(this->answer)) {
        RelayAnswer_setClosing(this->answer);
    }
}

static void
destroy(Exchange_t *super)
{
    RelayExchange_t *this = (RelayExchange_t *)super;
    RelayMove_forbid(this);
    RelayOrigin_clear(this);
    if (this->query) {
        Dispatch_cancelQuery(this->query);
    }
    if (this->answer) {
        RelayAnswer_destroy(this->answer);
    }
    this->form->caller->clear_request(&this->request);
    g_bytes_unref(this->request_body);
    if (this->event_pipe) {
        EventPipe_destroy(this->event_pipe);
    }
    AnswerWaiter_clear(&this->answer_waiter);
    AnswerBuffer_destroy(this->answer_body);
    evbuffer_free(this->outgoing);
    Exchange_clear(super);
    RouteConfig_unref(this->config);
    g_free(this);
}

static void
place(Exchange_t *super)
{
    RelayExchange_t *this = (RelayExchange_t *)super;
    if (RelayLateForward_isDue(this)) {
        Exchange_forward(super);
    }
    else if (RelayOrigin_resolve(this)) {
        RelayDispatch_place(this);
    }
}

static gboolean
drop(Exchange_t *super)
{
    RelayExchange_t *this = (RelayExchange_t *)super;
    RelayMove_forbid(this);
    return RelayRun_cancel(this);
}

/* The upstream's own error answer, if there is one, is forwarded in place of
 * this router's refusal, as it says more. */
static void
refuse(Exchange_t *super, const RefusalNotice_t *notice)
{
    RelayExchange_t *this = (RelayExchange_t *)super;
    RelayExchange_closeIfStopping(this);
    if (this->has_upstream_error && notice->run != RUN_NOT &&
        !RelayAnswer_isHeadSent(this->answer)) {
        RelayAnswer_sendComplete(this->answer,
                                 AnswerBuffer_content(this->answer_body));
        return;
    }
    if (notice->retry_after_ms > 0) {
        RelayAnswer_setRetryAfter(this->answer, notice->retry_after_ms);
    }
    if (notice->refusal == REFUSAL_NO_UPSTREAM &&
        RelayLateForward_isServiceUnreached(this)) {
        RelayAnswer_setServiceUnreached(this->answer);
    }
    RelayAnswer_refuse(this->answer, notice->refusal, notice->run,
                       notice->detail);
}

static gboolean
may_forward(const Exchange_t *super, Refusal_t refusal)
{
    return RelayLateForward_mayReplace((const RelayExchange_t *)super,
                                       refusal);
}

static void
forward(Exchange_t *super)
{
    RelayLateForward_start((RelayExchange_t *)super);
}

static guint64
forwarded_events(const RelayExchange_t *this)
{
    return this->event_pipe ? EventPipe_countPassed(this->event_pipe) : 0;
}

static void
add_recovery_input(const Exchange_t *super, RecoveryInput_t *input)
{
    const RelayExchange_t *this = (const RelayExchange_t *)super;
    input->tokens = this->is_in_parts ? 1 : forwarded_events(this);
    input->repeatable = input->repeatable && !this->is_in_parts;
    input->attempts -= MIN(this->not_run_attempts, UNCOUNTED_ATTEMPTS_MAX);
}

/* The phase that exceeded the route's targets, as seen by this router: time to
 * the first event (or to a complete answer), or the longest pause. */
static const char *
late_phase(const RelayExchange_t *this)
{
    const Exchange_t *super = &this->super;
    gint64 objective_us = this->route->objective_ms * CLOCK_US_PER_MS;
    gint64 max_pause_target_us = this->route->pause_ms * CLOCK_US_PER_MS;
    gint64 first_us =
        this->event_pipe ? this->first_us : Clock_nowUs() - super->started_us;
    if (objective_us > 0 && first_us > objective_us) {
        return "first";
    }
    return max_pause_target_us > 0 && this->max_pause_us > max_pause_target_us
               ? "pause"
               : "no";
}

static void
log_end(const Exchange_t *super)
{
    const RelayExchange_t *this = (const RelayExchange_t *)super;
    Log_text("route", this->route->name->str);
    Log_number("rank", RelayExchange_rank(this));
    Log_text("late", late_phase(this));
    Log_text("framing", BodyFraming_name(this->framing));
    RelayAnswer_logEnd(this->answer);
    Log_number("events", (gint64)forwarded_events(this));
    if (super->attempt_trace) {
        Log_number("first_us", this->first_us);
        Log_number("pause_us", this->max_pause_us);
    }
    if (super->avoid) {
        Log_text("upstream", super->avoid->name->str);
        Log_text("software", Upstream_software(super->avoid));
    }
    if (this->origin.resumes) {
        Log_text("resumes", this->origin.resumes->str);
    }
}

static const ExchangeClass_t class = {
    .destroy = destroy,
    .place = place,
    .drop = drop,
    .refuse = refuse,
    .may_forward = may_forward,
    .forward = forward,
    .add_recovery_input = add_recovery_input,
    .log_end = log_end,
};

/* A request that may run only once and was sent continues without its caller,
 * so that its outcome becomes known. */
static void
on_caller_left(void *owner, Refusal_t reason)
{
    RelayExchange_t *this = owner;
    Exchange_t *super = &this->super;
    if (super->over ||
        (this->attempt && !this->event_pipe && !super->repeatable &&
         RelayAttempt_wasSent(this->attempt))) {
        RelayBody_noteCallerLeft(this);
        return;
    }
    Exchange_noteCallerLeft(super, reason, 0);
}

static void
resume_attempt(void *owner)
{
    RelayExchange_t *this = owner;
    RelayBody_resume(this);
}

/* Other routers know the version before the caller gets the event. */
static void
on_first_event(RelayExchange_t *this)
{
    RelayOrigin_bind(this);
    RelayMove_allow(this);
}

static const RelayRunEvents_t run_events = {
    .first_event = on_first_event,
    .events_received = RelayMove_noteEvents,
    .may_retry = RelayDispatch_mayRetry,
    .hedge = RelayMove_hedge,
    .fail_over = RelayMove_failOver,
    .ended = RelayMove_forbid,
};

static const RelayAnswerEvents_t answer_events = {
    .caller_left = on_caller_left,
    .drained = resume_attempt,
};

/* The last part is the request's own or its session's. */
static PromptParts_t
shared_parts(const RelayExchangeSpec_t *spec)
{
    gboolean is_alone = spec->customer && !spec->customer->shares_cache;
    return (PromptParts_t){
        .customer = is_alone ? spec->customer->name->str : "",
        .ids = spec->request->part_ids,
        .count = MAX(spec->request->part_id_count, 1) - 1,
    };
}

static RelayExchange_t *
create(Context_t *context, const RelayExchangeSpec_t *spec)
{
    RelayExchange_t *this = g_new0(RelayExchange_t, 1);
    this->request_body = RequestIntake_takeBody(spec->http);
    ExchangeSpec_t base = {
        .id = spec->request->id,
        .customer = spec->customer ? spec->customer->name->str : "",
        .customer_class = Route_kindName(spec->route->kind),
        .target = spec->service,
        .deadline_ms =
            Clock_nowMs() + Context_waitMs(context, spec->request->wait_ms,
                                           spec->route->time_limit_ms),
        .repeatable = Route_isRepeatable(spec->route),
        .max_attempts = spec->route->max_attempts,
        .path = evhttp_request_get_uri(spec->http),
        .parts = shared_parts(spec),
        .body = this->request_body,
    };
    Exchange_init(&this->super, &class, context, &base);
    this->form = context->form;
    this->run_events = &run_events;
    this->keep_reason = REFUSAL_COUNT;
    this->config = RouteConfig_ref(spec->config);
    this->route = spec->route;
    this->customer = spec->customer;
    this->request = *spec->request;
    this->answer_body = AnswerBuffer_create(&context->answer_bytes);
    AnswerWaiter_init(&this->answer_waiter, context->answer_room,
                      resume_attempt, this);
    this->outgoing = evbuffer_new();
    if (spec->route->kind == ROUTE_STREAM) {
        this->event_pipe =
            EventPipe_create((gsize)context->settings->limits.event_max);
        EventPipe_shareLimit(this->event_pipe, &context->answer_bytes,
                             (gsize)context->settings->limits.answers_max);
    }
    RelayOrigin_init(this);
    return this;
}

/* A limit by tokens charges the tokens of prompt and answer together, and
 * plain_tokens for a request that states no token counts. */
static RateRequest_t
build_rate_request(const RelayExchange_t *this)
{
    const RouteCustomer_t *customer = this->customer;
    const RelayRequest_t *request = &this->request;
    RateRequest_t rate = {.subject = this->super.customer->str, .units = 1};
    if (!customer) {
        return rate;
    }
    rate.limit = customer->limit;
    if (customer->by_tokens) {
        double tokens =
            (double)request->prompt_tokens + (double)request->answer_tokens;
        rate.units = request->has_tokens ? tokens : customer->plain_tokens;
    }
    return rate;
}

void
RelayExchange_start(Context_t *context, const RelayExchangeSpec_t *spec)
{
    RelayExchange_t *this = create(context, spec);
    RateRequest_t rate = build_rate_request(this);
    RelayAnswerSpec_t answer = {
        .request = spec->http,
        .id = this->super.id->str,
        .id_header = context->form->caller->id_header,
        .buffer_max = (gsize)context->settings->limits.stream_buffer,
        .buffered_total = &context->output_bytes,
        .buffered_total_max = (gsize)context->settings->limits.answers_max,
        .memory = context->memory,
    };
    this->answer =
        RelayAnswer_create(context->base, &answer, &answer_events, this);
    Exchange_begin(&this->super);
    Exchange_admit(&this->super, &rate, NULL);
}
