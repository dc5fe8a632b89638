#include "RelayExchange.h"

#include <event2/buffer.h>

#include "Clock.h"
#include "EventPipe.h"
#include "Exchange.h"
#include "Log.h"
#include "PlatformForm.h"
#include "RelayAnswer.h"
#include "RelayAttempt.h"
#include "RelayPlacer.h"

/* Attempts that are proved not to have run do not count against the route's
 * most, up to so many: each costs a round trip and the retry budget. */
#define UNRUN_MAX 6
/* An upstream that sheds is left alone for so long; it has a queue of its
 * own, which has to shrink first. */
#define SHED_PAUSE_MS 250

/* An upstream that answered anything in this time is busy, not gone. */
#define PROOF_AGE_MS 1000

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
    Placement_t placement;
    EventPipe_t *events;      /* of a stream, else NULL */
    struct evbuffer *body;    /* of a whole answer */
    struct evbuffer *passing; /* events on their way to the caller */
    guint missing_tokens;     /* counted in upstream->pending_tokens */
    guint64 saved_prefix;     /* that the attempt saves, 0 for none */
    guint unrun;              /* attempts that did not run */
    gboolean is_stream;       /* the answer under way is a stream */
    gboolean has_answer;      /* a failure of the upstream to pass on */
} RelayExchange_t;

static void
destroy(Exchange_t *super)
{
    RelayExchange_t *this = (RelayExchange_t *)super;
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
settle_pending(RelayExchange_t *this)
{
    if (this->super.upstream) {
        this->super.upstream->pending_tokens -= this->missing_tokens;
    }
    this->missing_tokens = 0;
}

static gboolean
drop(Exchange_t *super)
{
    RelayExchange_t *this = (RelayExchange_t *)super;
    settle_pending(this);
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
    Upstream_t *upstream = this->super.upstream;
    if (head->weights) {
        Upstream_noteWeights(upstream, head->weights);
    }
    this->is_stream = this->events && head->status < HTTP_MOVEPERM;
    evbuffer_drain(this->body, evbuffer_get_length(this->body));
    if (head->status < HTTP_INTERNAL || !RelayAnswer_isBegun(this->answer)) {
        RelayAnswer_setHead(this->answer, head->status, headers);
    }
}

/* Parts are sent to the store once they are read, which is before the first
 * event. */
static void
note_saved(RelayExchange_t *this)
{
    if (this->saved_prefix != 0) {
        CacheStore_noteSaved(this->super.context->cache_store,
                             this->saved_prefix, Clock_nowMs());
        this->saved_prefix = 0;
    }
}

static void
note_first_event(RelayExchange_t *this)
{
    TraceAttempt_t *trace = this->super.attempt_trace;
    gint64 passed_us = Clock_nowUs() - this->super.started_us;
    if (trace->first_token_us == 0) {
        trace->first_token_us = passed_us;
        Upstream_noteFirstToken(this->super.upstream,
                                passed_us - trace->started_us,
                                this->missing_tokens, Clock_nowMs());
        settle_pending(this);
        note_saved(this);
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

/* What was read of the prompt is in the upstream's cache now. */
static void
learn(RelayExchange_t *this)
{
    if (this->route->by_prefix) {
        Policy_learn(this->super.context->policy, &this->placement,
                     this->super.upstream, 0, this->placement.prompt_tokens);
    }
}

static void
note_refusal(const RelayExchange_t *this, const RelayHead_t *head)
{
    Upstream_t *upstream = this->super.upstream;
    Log_begin(LOG_LEVEL_INFO, "upstream_refused");
    Log_text("request", this->super.id->str);
    Log_text("upstream", upstream->name->str);
    Log_number("status", head->status);
    Log_number("other_instance", head->other_instance);
    Log_text("weights", head->weights ? head->weights : "unknown");
    Log_end();
    if (head->other_instance && !upstream->leaving) {
        Upstream_noteLeaving(upstream, upstream->incarnation);
        Membership_noteUpstream(this->super.context->membership,
                                upstream->name->str);
    }
    if (head->weights) {
        Upstream_noteWeights(upstream, head->weights);
    }
    Upstream_notePause(upstream, SHED_PAUSE_MS, Clock_nowMs());
}

static void
log_doubt(const RelayExchange_t *this, const char *reason)
{
    const Upstream_t *upstream = this->super.upstream;
    Log_begin(LOG_LEVEL_WARNING, "upstream_doubted");
    Log_text("upstream", upstream->name->str);
    Log_text("request", this->super.id->str);
    Log_text("reason", reason);
    Log_number("proof_age_ms", Clock_nowMs() - upstream->proved_ms);
    Log_end();
}

/* A connection that does not come up, or that breaks without an answer, puts
 * all further work for this upstream in doubt. */
static void
note_reach(const RelayExchange_t *this, AttemptEnd_t end)
{
    Upstream_t *upstream = this->super.upstream;
    gboolean unreached =
        end == ATTEMPT_NOT_SENT || end == ATTEMPT_SILENT || end == ATTEMPT_CUT;
    if (unreached && Upstream_noteUnreached(upstream)) {
        log_doubt(this, Recovery_endName(end));
    }
}

static void
on_ended(void *owner, AttemptEnd_t end, const RelayHead_t *head)
{
    RelayExchange_t *this = owner;
    Exchange_t *super = &this->super;
    this->attempt = NULL;
    this->has_answer = end == ATTEMPT_FAILED;
    if (end == ATTEMPT_NOT_RUN && head) {
        note_refusal(this, head);
    }
    if (end == ATTEMPT_NOT_RUN || end == ATTEMPT_NOT_SENT) {
        this->unrun++;
    }
    if (end == ATTEMPT_WHOLE) {
        learn(this);
    }
    note_reach(this, end);
    settle_pending(this);
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
    Upstream_t *upstream = super->upstream;
    gboolean has_caller = RelayAnswer_request(this->answer) != NULL;
    if (has_caller && super->attempt_trace->first_token_us == 0 &&
        RelayPlacer_isOverdue(super->context, this->request.model, upstream)) {
        log_doubt(this, "overdue_weights");
        return TRUE;
    }
    if (Clock_nowMs() - upstream->proved_ms < PROOF_AGE_MS) {
        return FALSE;
    }
    if (Upstream_noteUnreached(upstream)) {
        log_doubt(this, "silent");
    }
    return upstream->unanswered > 0 && Exchange_mayRepeat(super);
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

static void
start_attempt(RelayExchange_t *this, const RelayPlacing_t *placing)
{
    Exchange_t *super = &this->super;
    const LimitsSection_t *limits = &super->context->settings->limits;
    Upstream_t *upstream = placing->choice.upstream;
    gboolean is_engine = placing->salt[0] != '\0';
    gboolean has_weights = is_engine && upstream->weights->len > 0;
    gint64 left_ms = super->deadline_ms - Clock_nowMs();
    RelayOrder_t order = {
        .instance = upstream->name->str,
        .customer = this->customer ? this->customer->name->str : NULL,
        .wait_ms = left_ms,
        .rank = rank_of(this),
        .weights = has_weights ? upstream->weights->str : NULL,
        .salt = is_engine ? placing->salt : NULL,
        .fetch_from = or_null(placing->fetch_from),
        .save_to = or_null(placing->save_to),
        .last_event_id = last_event_id(this),
    };
    RelayAttemptSpec_t spec = {
        .upstream = upstream,
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
    Exchange_noteAttempt(super, upstream, placing->choice.reason);
    super->attempt_trace->candidates = placing->choice.candidates;
    this->placement = placing->placement;
    this->saved_prefix = order.save_to ? placing->saved_prefix : 0;
    this->missing_tokens =
        placing->placement.prompt_tokens -
        MIN(placing->choice.expected_cached, placing->placement.prompt_tokens);
    upstream->pending_tokens += this->missing_tokens;
    this->attempt =
        RelayAttempt_start(super->context->base, &spec, &attempt_events, this);
}

/* Identities of the parts of the prompt and their lengths. */
static void
log_parts(const RelayExchange_t *this)
{
    g_autoptr(GString) text = g_string_new(NULL);
    for (guint i = 0; i < this->request.part_count; i++) {
        const RelayPart_t *part = &this->request.parts[i];
        g_string_append_printf(text, "%s%" G_GINT64_MODIFIER "x:%u",
                               i > 0 ? "," : "", part->id, part->tokens);
    }
    Log_text("parts", text->str);
}

static void
log_placed(const RelayExchange_t *this, const RelayPlacing_t *placing)
{
    const Upstream_t *upstream = placing->choice.upstream;
    Log_begin(LOG_LEVEL_DEBUG, "request_placed");
    Log_text("request", this->super.id->str);
    Log_text("upstream", upstream ? upstream->name->str : "none");
    Log_text("reason", placing->choice.reason);
    Log_number("candidates", placing->choice.candidates);
    Log_number("generation", (gint64)placing->placement.generation);
    log_parts(this);
    if (upstream) {
        Log_number("in_flight", upstream->in_flight);
        Log_text("weights", upstream->weights->str);
        Log_number("cost_us", placing->choice.cost_us);
        Log_number("wait_us",
                   Upstream_waitUs(upstream, placing->placement.now_ms));
        Log_number("pending_tokens", upstream->pending_tokens);
    }
    Log_text("fetch_from", placing->fetch_from);
    Log_text("save_to", placing->save_to);
    Log_end();
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

static void
place(Exchange_t *super)
{
    RelayExchange_t *this = (RelayExchange_t *)super;
    RelayWish_t wish = {
        .route = this->route,
        .service = super->target->str,
        .customer = this->customer,
        .request = &this->request,
        .avoid = super->avoid,
    };
    RelayPlacing_t placing;
    if (!RelayAnswer_request(this->answer)) {
        Exchange_refuse(super, REFUSAL_CALLER_LEFT, Exchange_runState(super),
                        NULL);
        return;
    }
    if (!is_still_allowed(this)) {
        Exchange_refuse(super, REFUSAL_CONFIG_STALE, Exchange_runState(super),
                        "The key was revoked, or that can't be told.");
        return;
    }
    RelayPlacer_place(super->context, &wish, &placing);
    log_placed(this, &placing);
    if (!placing.choice.upstream) {
        Exchange_refuse(super, REFUSAL_NO_UPSTREAM, Exchange_runState(super),
                        NULL);
        return;
    }
    start_attempt(this, &placing);
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
