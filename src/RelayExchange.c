#include "RelayExchange.h"

#include <event2/buffer.h>

#include "Clock.h"
#include "ExchangeRoom.h"
#include "HttpCall.h"
#include "Log.h"
#include "RelayDispatch.h"
#include "RelayExchangeState.h"
#include "RelayMove.h"
#include "RelayRun.h"

/* Attempts that are proved not to have run do not count against the route's
 * most, up to so many: each costs a round trip and the retry budget. */
#define UNRUN_MAX 6

RelayWish_t
RelayExchange_wish(const RelayExchange_t *this)
{
    return (RelayWish_t){
        .route = this->route,
        .service = this->super.target->str,
        .customer = this->customer,
        .request = &this->request,
        .terms = ExchangeRoom_terms(&this->super),
    };
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
    if (this->ask) {
        Dispatch_cancelQuery(this->ask);
    }
    RelayAnswer_destroy(this->answer);
    this->form->caller->clear_request(&this->request);
    g_bytes_unref(this->request_body);
    if (this->events) {
        EventPipe_destroy(this->events);
    }
    evbuffer_free(this->body);
    evbuffer_free(this->passing);
    Exchange_clear(super);
    RouteConfig_unref(this->config);
    g_free(this);
}

static void
place(Exchange_t *super)
{
    RelayDispatch_place((RelayExchange_t *)super);
}

static gboolean
drop(Exchange_t *super)
{
    RelayExchange_t *this = (RelayExchange_t *)super;
    RelayMove_forbid(this);
    return RelayRun_cancel(this);
}

/* An upstream's own failure says more than ours would. */
static void
refuse(Exchange_t *super, const RefusalNotice_t *notice)
{
    RelayExchange_t *this = (RelayExchange_t *)super;
    RelayExchange_closeIfStopping(this);
    if (this->has_answer && notice->run != RUN_NOT &&
        !RelayAnswer_isBegun(this->answer)) {
        RelayAnswer_whole(this->answer, this->body);
        return;
    }
    if (notice->retry_after_ms > 0) {
        RelayAnswer_setRetryAfter(this->answer, notice->retry_after_ms);
    }
    RelayAnswer_refuse(this->answer, notice->refusal, notice->run,
                       notice->detail);
}

static guint64
events_passed(const RelayExchange_t *this)
{
    return this->events ? EventPipe_passed(this->events) : 0;
}

static void
add_facts(const Exchange_t *super, RecoveryFacts_t *facts)
{
    const RelayExchange_t *this = (const RelayExchange_t *)super;
    facts->tokens = events_passed(this);
    facts->attempts -= MIN(this->unrun, UNRUN_MAX);
}

/* What was later than the route aims at, as far as this router sees it. */
static const char *
late_by(const RelayExchange_t *this)
{
    const Exchange_t *super = &this->super;
    gint64 objective_us = this->route->objective_ms * CLOCK_US_PER_MS;
    gint64 aim_us = this->route->pause_ms * CLOCK_US_PER_MS;
    gint64 first_us =
        this->events ? this->first_us : Clock_nowUs() - super->started_us;
    if (objective_us > 0 && first_us > objective_us) {
        return "first";
    }
    return aim_us > 0 && this->pause_us > aim_us ? "pause" : "no";
}

static void
log_end(const Exchange_t *super)
{
    const RelayExchange_t *this = (const RelayExchange_t *)super;
    Log_text("route", this->route->name->str);
    Log_text("late", late_by(this));
    Log_number("events", (gint64)events_passed(this));
    if (super->attempt_trace) {
        Log_number("first_us", this->first_us);
        Log_number("pause_us", this->pause_us);
    }
    if (super->avoid) {
        Log_text("upstream", super->avoid->name->str);
    }
}

static const ExchangeClass_t class = {
    .destroy = destroy,
    .place = place,
    .drop = drop,
    .refuse = refuse,
    .facts = add_facts,
    .log_end = log_end,
};

/* What may run only once goes on, so that its outcome is known. */
static void
on_caller_left(void *owner)
{
    RelayExchange_t *this = owner;
    Exchange_t *super = &this->super;
    if (super->over || (this->attempt && !this->events && !super->repeatable &&
                        RelayAttempt_wasSent(this->attempt))) {
        return;
    }
    Exchange_leave(super, 0);
}

static void
on_caller_drained(void *owner)
{
    RelayExchange_t *this = owner;
    if (this->attempt) {
        RelayAttempt_hold(this->attempt, FALSE);
    }
}

static const RelayRunEvents_t run_events = {
    .begun = RelayMove_allow,
    .heard = RelayMove_noteHeard,
    .may_follow = RelayDispatch_mayFollow,
    .go_beside = RelayMove_goBeside,
    .broke_off = RelayMove_complete,
    .over = RelayMove_forbid,
};

static const RelayAnswerEvents_t answer_events = {
    .left = on_caller_left,
    .drained = on_caller_drained,
};

static gint64
deadline_of(const Context_t *context, const RelayExchangeSpec_t *spec)
{
    gint64 wait_ms = spec->request->wait_ms;
    gint64 limit_ms = spec->route->time_limit_ms;
    if (wait_ms == 0) {
        wait_ms = context->settings->limits.default_deadline_ms;
    }
    return Clock_nowMs() + (limit_ms > 0 ? MIN(wait_ms, limit_ms) : wait_ms);
}

static gboolean
is_repeatable(const Route_t *route)
{
    return route->kind == ROUTE_REPEATABLE ||
           (route->kind == ROUTE_STREAM && route->resumable);
}

static RelayExchange_t *
create(Context_t *context, const RelayExchangeSpec_t *spec)
{
    RelayExchange_t *this = g_new0(RelayExchange_t, 1);
    this->request_body = Http_copyBody(spec->http);
    ExchangeSpec_t base = {
        .id = spec->request->id,
        .customer = spec->customer ? spec->customer->name->str : "",
        .customer_class = Route_kindName(spec->route->kind),
        .target = spec->service,
        .deadline_ms = deadline_of(context, spec),
        .repeatable = is_repeatable(spec->route),
        .max_attempts = spec->route->max_attempts,
        .path = evhttp_request_get_uri(spec->http),
        .body = this->request_body,
    };
    Exchange_init(&this->super, &class, context, &base);
    this->form = context->form;
    this->run_events = &run_events;
    this->kept_for = REFUSAL_COUNT;
    this->config = RouteConfig_ref(spec->config);
    this->route = spec->route;
    this->customer = spec->customer;
    this->request = *spec->request;
    this->body = evbuffer_new();
    this->passing = evbuffer_new();
    if (spec->route->kind == ROUTE_STREAM) {
        this->events =
            EventPipe_create((gsize)context->settings->limits.event_max);
    }
    return this;
}

/* The customer's configuration counts prompts and answers together; a request
 * that names no tokens counts as so many. */
static RateRequest_t
rate_of(const RelayExchange_t *this)
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
    RateRequest_t rate = rate_of(this);
    RelayAnswerSpec_t answer = {
        .request = spec->http,
        .id = this->super.id->str,
        .id_header = context->form->caller->id_header,
        .buffer_max = (gsize)context->settings->limits.stream_buffer,
    };
    this->answer =
        RelayAnswer_create(context->base, &answer, &answer_events, this);
    Exchange_begin(&this->super);
    Exchange_enter(&this->super, &rate, NULL);
}
