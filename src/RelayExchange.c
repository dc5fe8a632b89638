#include "RelayExchange.h"

#include <event2/buffer.h>

#include "Clock.h"
#include "EventPipe.h"
#include "Exchange.h"
#include "LoadShed.h"
#include "Log.h"
#include "PlatformForm.h"
#include "RelayAnswer.h"
#include "RelayAttempt.h"
#include "RelayFeedback.h"
#include "RelayPlacer.h"

/* Attempts that are proved not to have run do not count against the route's
 * most, up to so many: each costs a round trip and the retry budget. */
#define UNRUN_MAX 6

/* A stream is moved if its next event is expected within this share of the
 * pause that its route aims at; the rest is for what is not foreseen. */
#define MOVE_PAUSE_PERCENT 50

typedef struct {
    Exchange_t super;
    const PlatformForm_t *form;
    RouteConfig_t *config;
    const Route_t *route;
    const RouteCustomer_t *customer;
    RelayRequest_t request;
    GBytes *request_body;
    RelayAnswer_t *answer;
    RelayAttempt_t *attempt;
    RelayFeedback_t feedback;
    DispatchAsk_t *ask;       /* under way, or NULL */
    DispatchTicket_t ticket;  /* of the attempt */
    EventPipe_t *events;      /* of a stream, else NULL */
    struct evbuffer *body;    /* of a whole answer */
    struct evbuffer *passing; /* events on their way to the caller */
    guint unrun;              /* attempts that did not run */
    gboolean is_stream;       /* the answer under way is a stream */
    gboolean has_answer;      /* a failure of the upstream to pass on */
} RelayExchange_t;

static void
destroy(Exchange_t *super)
{
    RelayExchange_t *this = (RelayExchange_t *)super;
    StreamMover_remove(super->context->mover, this);
    if (this->ask) {
        Dispatch_cancel(this->ask);
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
end_ticket(RelayExchange_t *this)
{
    if (this->super.context->dispatch) {
        Dispatch_end(this->super.context->dispatch, &this->ticket);
    }
}

static gboolean
drop(Exchange_t *super)
{
    RelayExchange_t *this = (RelayExchange_t *)super;
    end_ticket(this);
    RelayFeedback_settle(&this->feedback);
    gboolean sent = RelayAttempt_wasSent(this->attempt);
    RelayAttempt_cancel(this->attempt);
    this->attempt = NULL;
    return sent;
}

/* Said as late as the head goes out: the stop may begin before that. */
static void
close_if_stopping(const RelayExchange_t *this)
{
    if (this->super.context->stopping && RelayAnswer_request(this->answer)) {
        RelayAnswer_setClosing(this->answer);
    }
}

/* An upstream's own failure says more than ours would. */
static void
refuse(Exchange_t *super, Refusal_t refusal, RunState_t run,
       const char *detail)
{
    RelayExchange_t *this = (RelayExchange_t *)super;
    if (this->has_answer && run != RUN_NOT &&
        !RelayAnswer_isBegun(this->answer)) {
        close_if_stopping(this);
        RelayAnswer_whole(this->answer, this->body);
        return;
    }
    close_if_stopping(this);
    RelayAnswer_refuse(this->answer, refusal, run, detail);
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

static void
log_end(const Exchange_t *super)
{
    const RelayExchange_t *this = (const RelayExchange_t *)super;
    Log_text("route", this->route->name->str);
    Log_number("events", (gint64)events_passed(this));
    if (super->attempt_trace) {
        Log_number("first_us", super->attempt_trace->first_token_us);
    }
    if (super->avoid) {
        Log_text("upstream", super->avoid->name->str);
    }
}

static void
on_head(void *owner, const RelayHead_t *head, const struct evkeyvalq *headers)
{
    RelayExchange_t *this = owner;
    RelayFeedback_noteWeights(&this->feedback, head);
    this->is_stream = this->events && head->status < HTTP_MOVEPERM;
    evbuffer_drain(this->body, evbuffer_get_length(this->body));
    if (head->status < HTTP_INTERNAL || !RelayAnswer_isBegun(this->answer)) {
        RelayAnswer_setHead(this->answer, head->status, headers);
    }
}

static const MovableClass_t movable_class;

/* One that has begun: before that its engine would refuse it by itself. The
 * last attempt is kept for failures. */
static void
note_movable(RelayExchange_t *this)
{
    if (this->route->by_prefix && Exchange_mayRepeat(&this->super)) {
        StreamMover_add(this->super.context->mover, this, &movable_class);
    }
}

static void
note_first_event(RelayExchange_t *this)
{
    TraceAttempt_t *trace = this->super.attempt_trace;
    gint64 passed_us = Clock_nowUs() - this->super.started_us;
    if (trace->first_token_us == 0) {
        trace->first_token_us = passed_us;
        RelayFeedback_noteFirstEvent(&this->feedback,
                                     passed_us - trace->started_us);
        if (this->super.context->dispatch) {
            Dispatch_begin(this->super.context->dispatch, &this->ticket);
        }
        note_movable(this);
        Counters_observe(this->super.context->counters, "first_token_us",
                         (guint64)passed_us);
    }
}

static void
on_data(void *owner, struct evbuffer *data)
{
    RelayExchange_t *this = owner;
    if (!this->is_stream) {
        evbuffer_add_buffer(this->body, data);
        return;
    }
    if (EventPipe_feed(this->events, data, this->passing) == 0) {
        return;
    }
    note_first_event(this);
    close_if_stopping(this);
    RelayAnswer_send(this->answer, this->passing);
    if (RelayAnswer_isFull(this->answer)) {
        RelayAttempt_hold(this->attempt, TRUE);
    }
}

static void
finish(RelayExchange_t *this)
{
    close_if_stopping(this);
    if (this->is_stream) {
        EventPipe_flush(this->events, this->passing);
        RelayAnswer_send(this->answer, this->passing);
        RelayAnswer_finish(this->answer);
    }
    else {
        RelayAnswer_whole(this->answer, this->body);
    }
    Exchange_finish(&this->super);
}

static void
on_ended(void *owner, AttemptEnd_t end, const RelayHead_t *head)
{
    RelayExchange_t *this = owner;
    Exchange_t *super = &this->super;
    StreamMover_remove(super->context->mover, this);
    if (end == ATTEMPT_NOT_RUN && super->context->dispatch) {
        Dispatch_refused(super->context->dispatch, &this->ticket);
    }
    end_ticket(this);
    this->attempt = NULL;
    this->has_answer = end == ATTEMPT_FAILED;
    if (end == ATTEMPT_NOT_RUN && head) {
        RelayFeedback_noteRefusal(&this->feedback, head);
    }
    if (end == ATTEMPT_NOT_RUN || end == ATTEMPT_NOT_SENT) {
        this->unrun++;
    }
    if (end == ATTEMPT_WHOLE && this->route->by_prefix) {
        RelayFeedback_noteWhole(&this->feedback);
    }
    RelayFeedback_noteReach(&this->feedback, end);
    RelayFeedback_settle(&this->feedback);
    Exchange_noteEnd(super, end);
    if (end == ATTEMPT_WHOLE) {
        finish(this);
        return;
    }
    if (this->events) {
        EventPipe_restart(this->events);
    }
    Exchange_recover(super, end, NULL);
}

/* A silent upstream is given up only once a probe has stayed unanswered as
 * well, and where the request may go elsewhere; a busy one is waited for, as
 * the request would lose its place there. */
static gboolean
on_silent(void *owner)
{
    const RelayExchange_t *this = owner;
    const Exchange_t *super = &this->super;
    gboolean awaits_engine = this->events && this->route->by_prefix &&
                             RelayAnswer_request(this->answer) &&
                             super->attempt_trace->first_token_us == 0;
    if (awaits_engine &&
        RelayPlacer_isOverdue(super->context, this->request.model,
                              super->upstream)) {
        RelayFeedback_noteOverdue(&this->feedback);
        return TRUE;
    }
    return RelayFeedback_noteSilence(&this->feedback) &&
           Exchange_mayRepeat(super);
}

static const RelayAttemptEvents_t attempt_events = {
    .head = on_head,
    .data = on_data,
    .silent = on_silent,
    .ended = on_ended,
};

static const char *
last_event_id(const RelayExchange_t *this)
{
    const char *last = this->events ? EventPipe_lastId(this->events) : NULL;
    return last ? last : this->request.last_event_id;
}

static guint
rank_of(const RelayExchange_t *this)
{
    return this->customer && this->customer->rank != ROUTE_NO_RANK
               ? this->customer->rank
               : this->route->rank;
}

/* A request that may run only once goes on a connection that was proved
 * alive a moment ago, or on a new one: a kept one that the upstream has
 * dropped would leave it unknown whether it ran. */
static gint64
idle_limit(const RelayExchange_t *this)
{
    const LimitsSection_t *limits = &this->super.context->settings->limits;
    return this->super.repeatable ? limits->idle_time_ms
                                  : limits->once_idle_time_ms;
}

static const char *
or_null(const char *text)
{
    return *text ? text : NULL;
}

static RelayOrder_t
order_of(const RelayExchange_t *this, const RelayPlacing_t *placing,
         gint64 left_ms)
{
    const Upstream_t *upstream = placing->choice.upstream;
    gboolean is_engine = placing->salt[0] != '\0';
    return (RelayOrder_t){
        .instance = upstream->name->str,
        .customer = this->customer ? this->customer->name->str : NULL,
        .wait_ms = left_ms,
        .rank = rank_of(this),
        .weights = is_engine ? or_null(upstream->weights->str) : NULL,
        .salt = or_null(placing->salt),
        .fetch_from = or_null(placing->fetch_from),
        .save_to = or_null(placing->save_to),
        .last_event_id = last_event_id(this),
    };
}

static void
start_attempt(RelayExchange_t *this, const RelayPlacing_t *placing)
{
    Exchange_t *super = &this->super;
    const LimitsSection_t *limits = &super->context->settings->limits;
    gint64 left_ms = super->deadline_ms - Clock_nowMs();
    RelayOrder_t order = order_of(this, placing, left_ms);
    RelayAttemptSpec_t spec = {
        .upstream = placing->choice.upstream,
        .form = this->form->upstream,
        .request = RelayAnswer_request(this->answer),
        .request_id = super->id->str,
        .order = &order,
        .body = this->request_body,
        .idle_max_ms = idle_limit(this),
        .connect_ms = MIN(limits->connect_timeout_ms, left_ms),
        .first_ms = limits->first_token_timeout_ms,
        .pause_ms = limits->token_timeout_ms,
    };
    Exchange_noteAttempt(super, spec.upstream, placing->choice.reason);
    super->attempt_trace->candidates = placing->choice.candidates;
    RelayFeedback_begin(&this->feedback, super->context, super->id->str,
                        placing);
    this->attempt =
        RelayAttempt_start(super->context->base, &spec, &attempt_events, this);
}

/* A key may be revoked while its request waits for another attempt. */
static gboolean
is_still_allowed(const RelayExchange_t *this)
{
    const Context_t *context = this->super.context;
    const RouteConfig_t *config = RouteTable_config(context->routes);
    if (!this->customer) {
        return TRUE;
    }
    return RouteTable_isFresh(context->routes,
                              context->settings->relay.config_max_age_ms) &&
           RouteConfig_findCustomer(config, this->request.key);
}

static RelayWish_t
wish_of(const RelayExchange_t *this)
{
    return (RelayWish_t){
        .route = this->route,
        .service = this->super.target->str,
        .customer = this->customer,
        .request = &this->request,
        .avoid = this->super.avoid,
    };
}

/* Only the first attempt: later ones have waited already. */
static gboolean
is_shed(RelayExchange_t *this, const RelayPlacing_t *placing)
{
    const Exchange_t *super = &this->super;
    if (!this->route->by_prefix || super->attempts > 0) {
        return FALSE;
    }
    LoadShedFacts_t facts = {
        .expected_us = placing->choice.cost_us,
        .own_us = placing->choice.own_us,
        .objective_ms = this->route->objective_ms,
        .percent = (guint)super->context->settings->relay.shed_percent,
        .left_ms = super->deadline_ms - Clock_nowMs(),
        .limit_ms = this->route->time_limit_ms,
    };
    LoadShedPlan_t plan = LoadShed_decide(&facts);
    if (!plan.admitted) {
        LoadShed_log(&facts, &plan, super->id->str,
                     placing->choice.upstream->name->str);
        RelayAnswer_setRetryAfter(this->answer, plan.retry_after_ms);
    }
    return !plan.admitted;
}

static void
refuse_now(Exchange_t *super, Refusal_t refusal, const char *detail)
{
    Exchange_refuse(super, refusal, Exchange_runState(super), detail);
}

/* The dispatcher may not have heard yet of what this router knows. */
static gboolean
may_follow(const RelayPlacing_t *placing, const Choice_t *choice)
{
    return choice->upstream &&
           Policy_mayUse(&placing->placement, choice->upstream);
}

static void
go_to(RelayExchange_t *this, const RelayWish_t *wish, RelayPlacing_t *placing)
{
    Exchange_t *super = &this->super;
    if (is_shed(this, placing)) {
        end_ticket(this);
        refuse_now(super, REFUSAL_OVERLOADED, NULL);
        return;
    }
    RelayPlacer_prepare(super->context, wish, placing);
    RelayPlacing_log(placing, super->id->str, &this->request);
    start_attempt(this, placing);
}

/* Where this router alone would send it; the caller is told where there is no
 * such place. */
static gboolean
choose(RelayExchange_t *this, const RelayWish_t *wish, RelayPlacing_t *placing)
{
    Exchange_t *super = &this->super;
    if (!RelayAnswer_request(this->answer)) {
        refuse_now(super, REFUSAL_CALLER_LEFT, NULL);
        return FALSE;
    }
    if (!is_still_allowed(this)) {
        refuse_now(super, REFUSAL_CONFIG_STALE,
                   "The key was revoked, or that can't be told.");
        return FALSE;
    }
    RelayPlacer_choose(super->context, wish, placing);
    if (!placing->choice.upstream) {
        RelayPlacing_log(placing, super->id->str, &this->request);
        refuse_now(super, REFUSAL_NO_UPSTREAM, NULL);
        return FALSE;
    }
    return TRUE;
}

static void
on_dispatched(void *owner, const Choice_t *choice,
              const DispatchTicket_t *ticket)
{
    RelayExchange_t *this = owner;
    RelayWish_t wish = wish_of(this);
    RelayPlacing_t placing;
    this->ask = NULL;
    this->ticket = *ticket;
    if (this->super.over || this->super.left ||
        !choose(this, &wish, &placing)) {
        end_ticket(this);
        return;
    }
    if (may_follow(&placing, choice)) {
        placing.choice = *choice;
    }
    else {
        end_ticket(this);
    }
    go_to(this, &wish, &placing);
}

static void
place(Exchange_t *super)
{
    RelayExchange_t *this = (RelayExchange_t *)super;
    RelayWish_t wish = wish_of(this);
    RelayPlacing_t placing;
    if (!choose(this, &wish, &placing)) {
        return;
    }
    Dispatch_t *dispatch =
        this->route->by_prefix ? super->context->dispatch : NULL;
    this->ask = dispatch ? Dispatch_ask(dispatch, &placing.placement,
                                        this->request.model, &placing.choice,
                                        on_dispatched, this)
                         : NULL;
    if (!this->ask) {
        go_to(this, &wish, &placing);
    }
}

static const Upstream_t *
movable_upstream(const void *stream)
{
    const RelayExchange_t *this = stream;
    return this->attempt ? this->super.upstream : NULL;
}

static const char *
movable_target(const void *stream)
{
    const RelayExchange_t *this = stream;
    return this->super.target->str;
}

/* The pause until its next event must stay one that goes unnoticed. */
static gboolean
is_near(const RelayExchange_t *this)
{
    RelayWish_t wish = wish_of(this);
    RelayPlacing_t placing;
    wish.avoid = this->super.upstream;
    RelayPlacer_choose(this->super.context, &wish, &placing);
    return placing.choice.upstream &&
           placing.choice.cost_us <=
               this->route->pause_ms * 1000 * MOVE_PAUSE_PERCENT / 100;
}

static void
move(void *stream)
{
    RelayExchange_t *this = stream;
    if (!is_near(this)) {
        return;
    }
    RelayFeedback_settle(&this->feedback);
    RelayAttempt_cancel(this->attempt);
    this->attempt = NULL;
    StreamMover_remove(this->super.context->mover, this);
    end_ticket(this);
    Exchange_noteEnd(&this->super, ATTEMPT_MOVED);
    EventPipe_restart(this->events);
    Exchange_recover(&this->super, ATTEMPT_MOVED, NULL);
}

static const MovableClass_t movable_class = {
    .upstream = movable_upstream,
    .target = movable_target,
    .move = move,
};

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

static const RelayAnswerEvents_t answer_events = {
    .left = on_caller_left,
    .drained = on_caller_drained,
};

static GBytes *
copy_body(struct evhttp_request *http)
{
    struct evbuffer *input = evhttp_request_get_input_buffer(http);
    gsize length = evbuffer_get_length(input);
    return g_bytes_new(length > 0 ? evbuffer_pullup(input, -1) : NULL, length);
}

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
    ExchangeSpec_t base = {
        .id = spec->request->id,
        .customer = spec->customer ? spec->customer->name->str : "",
        .customer_class = Route_kindName(spec->route->kind),
        .target = spec->service,
        .deadline_ms = deadline_of(context, spec),
        .repeatable = is_repeatable(spec->route),
        .max_attempts = spec->route->max_attempts,
    };
    Exchange_init(&this->super, &class, context, &base);
    this->form = context->form;
    this->config = RouteConfig_ref(spec->config);
    this->route = spec->route;
    this->customer = spec->customer;
    this->request = *spec->request;
    this->request_body = copy_body(spec->http);
    this->body = evbuffer_new();
    this->passing = evbuffer_new();
    if (spec->route->kind == ROUTE_STREAM) {
        this->events = EventPipe_create();
    }
    return this;
}

void
RelayExchange_start(Context_t *context, const RelayExchangeSpec_t *spec)
{
    RelayExchange_t *this = create(context, spec);
    RelayAnswerSpec_t answer = {
        .request = spec->http,
        .id = this->super.id->str,
        .id_header = context->form->caller->id_header,
        .buffer_max = (gsize)context->settings->limits.stream_buffer,
    };
    this->answer =
        RelayAnswer_create(context->base, &answer, &answer_events, this);
    Exchange_begin(&this->super);
    Exchange_place(&this->super);
}
