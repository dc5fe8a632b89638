#include "RelayRun.h"

#include <event2/buffer.h>

#include "Clock.h"
#include "Log.h"

static void
on_answered(void *owner, const RelayHead_t *head)
{
    const RelayExchange_t *this = owner;
    RelayFeedback_noteAnswer(&this->feedback, head);
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
            Dispatch_reportFirstToken(this->super.context->dispatch,
                                      &this->ticket,
                                      passed_us - trace->started_us);
        }
        this->run_events->begun(this);
    }
    if (this->first_us == 0) {
        this->first_us = passed_us;
        Counters_observe(this->super.context->counters, "first_token_us",
                         (guint64)passed_us);
    }
}

static void
note_pause(RelayExchange_t *this)
{
    gint64 now_us = Clock_nowUs();
    if (this->event_us != 0) {
        this->pause_us = MAX(this->pause_us, now_us - this->event_us);
    }
    this->event_us = now_us;
}

static void
pass_events(RelayExchange_t *this)
{
    note_first_event(this);
    note_pause(this);
    this->run_events->heard(this);
    RelayExchange_closeIfStopping(this);
    RelayAnswer_send(this->answer, this->passing);
    if (RelayAnswer_isFull(this->answer)) {
        RelayAttempt_hold(this->attempt, TRUE);
    }
}

/* It is passed on once it is whole, so that its memory must be bounded. */
static void
keep_data(RelayExchange_t *this, struct evbuffer *data)
{
    gsize most = (gsize)this->super.context->settings->limits.answer_max;
    evbuffer_add_buffer(this->body, data);
    if (evbuffer_get_length(this->body) > most) {
        RelayAttempt_fail(this->attempt, ATTEMPT_OVERSIZED);
    }
}

static void
on_data(void *owner, struct evbuffer *data)
{
    RelayExchange_t *this = owner;
    if (!this->is_stream) {
        keep_data(this, data);
        return;
    }
    if (EventPipe_feed(this->events, data, this->passing) > 0) {
        pass_events(this);
    }
    if (EventPipe_isOverfull(this->events)) {
        RelayAttempt_fail(this->attempt, ATTEMPT_OVERSIZED);
    }
}

static void
finish(RelayExchange_t *this)
{
    RelayExchange_closeIfStopping(this);
    if (this->is_stream) {
        PauseGuard_noteStream(this->super.context->pauses, this->pause_us,
                              this->route->pause_ms);
        RunTimes_note(this->super.context->run_times, this->route->name->str,
                      Clock_nowUs() - this->super.started_us - this->first_us);
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
tell_dispatcher(RelayExchange_t *this, AttemptEnd_t end)
{
    Dispatch_t *dispatch = this->super.context->dispatch;
    if (end == ATTEMPT_NOT_RUN && dispatch) {
        Dispatch_reportRefusal(dispatch, &this->ticket);
    }
    RelayExchange_endTicket(this);
}

static void
note_end(RelayExchange_t *this, AttemptEnd_t end, const RelayHead_t *head)
{
    if (end == ATTEMPT_NOT_RUN && head) {
        RelayFeedback_noteRefusal(&this->feedback, head);
    }
    if (end == ATTEMPT_NOT_RUN || Recovery_isUnsent(end)) {
        this->unrun++;
    }
    RelayFeedback_noteReach(&this->feedback, end);
    RelayFeedback_noteEnd(&this->feedback);
    Exchange_noteEnd(&this->super, end);
}

/* Behind a part of a stream only its rest may follow: another answer would put
 * a second head into it. */
static AttemptEnd_t
end_for_caller(const RelayExchange_t *this, AttemptEnd_t end)
{
    gboolean fits = this->is_stream || !RelayAnswer_isBegun(this->answer);
    return end == ATTEMPT_WHOLE && !fits ? ATTEMPT_BAD_ANSWER : end;
}

static void
on_ended(void *owner, AttemptEnd_t own_end, const RelayHead_t *head)
{
    RelayExchange_t *this = owner;
    AttemptEnd_t end = end_for_caller(this, own_end);
    tell_dispatcher(this, end);
    this->attempt = NULL;
    this->has_answer = end == ATTEMPT_FAILED;
    note_end(this, end, head);
    if (end != ATTEMPT_WHOLE && this->run_events->broke_off(this)) {
        return;
    }
    this->run_events->over(this);
    if (end == ATTEMPT_WHOLE) {
        finish(this);
        return;
    }
    if (this->events) {
        EventPipe_restart(this->events);
    }
    Exchange_recover(&this->super, end, NULL);
}

static void
log_kept(const RelayExchange_t *this)
{
    const Exchange_t *super = &this->super;
    g_autofree char *config = RouteTable_describe(super->context->routes);
    Log_begin(LOG_LEVEL_INFO, "attempt_kept");
    Log_text("request", super->id->str);
    Log_text("reason", Refusal_spec(this->kept_for)->code);
    Log_text("upstream", super->upstream->name->str);
    Log_text("config", config);
    Log_number("proof_age_ms", Clock_nowMs() - super->upstream->proved_ms);
    Log_number("left_ms", super->deadline_ms - Clock_nowMs());
    Log_end();
}

/* Where no attempt may follow, giving up would cut the answer or refuse what
 * the upstream may yet answer: with keys revoked beside silent engines,
 * streams ended in the middle. */
static gboolean
may_follow(RelayExchange_t *this)
{
    Refusal_t refusal = REFUSAL_COUNT;
    if (this->run_events->may_follow(this, &refusal)) {
        this->kept_for = REFUSAL_COUNT;
        return TRUE;
    }
    if (this->kept_for != refusal) {
        this->kept_for = refusal;
        log_kept(this);
    }
    return FALSE;
}

/* It is looked at only as weights may be overdue; the engine may take longer
 * to its first token. */
static gboolean
has_time_left(const Exchange_t *super)
{
    gint64 sent_us = super->started_us + super->attempt_trace->started_us;
    return Clock_nowUs() - sent_us <
           super->context->settings->limits.first_token_timeout_ms *
               CLOCK_US_PER_MS;
}

/* A silent upstream is given up only once a probe has stayed unanswered as
 * well, and where the request may go elsewhere; a busy one is waited for, as
 * the request would lose its place there. */
static SilenceStep_t
on_silent(void *owner)
{
    RelayExchange_t *this = owner;
    const Exchange_t *super = &this->super;
    gboolean awaits_engine = this->events && this->route->by_prefix &&
                             RelayAnswer_request(this->answer) &&
                             super->attempt_trace->first_token_us == 0;
    if (awaits_engine &&
        RelayPlacer_isOverdue(super->context, this->request.model,
                              super->upstream)) {
        return SILENCE_TAKE_BACK;
    }
    if (awaits_engine && has_time_left(super)) {
        return SILENCE_WAIT;
    }
    gboolean may_go = RelayFeedback_noteSilence(&this->feedback) &&
                      Exchange_mayRepeat(super) && may_follow(this);
    return may_go && !this->run_events->go_beside(this) ? SILENCE_GIVE_UP
                                                        : SILENCE_WAIT;
}

static const RelayAttemptEvents_t attempt_events = {
    .answered = on_answered,
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

/* It is looked at no later than when it may have to be taken back from a
 * queue. */
static gint64
first_ms(const RelayExchange_t *this, const Upstream_t *upstream)
{
    const Context_t *context = this->super.context;
    gint64 overdue_ms =
        this->route->by_prefix
            ? RelayPlacer_overdueInMs(context, this->request.model, upstream)
            : G_MAXINT64;
    return MIN(context->settings->limits.first_token_timeout_ms, overdue_ms);
}

RelayAttempt_t *
RelayRun_send(const RelayExchange_t *this, const RelayPlacing_t *placing,
              const RelayAttemptEvents_t *events, void *owner)
{
    const Exchange_t *super = &this->super;
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
        .piece_max =
            (gsize)(this->events ? limits->event_max : limits->answer_max),
        .head_max = (gsize)limits->max_header,
        .idle_max_ms = idle_limit(this),
        .connect_ms = MIN(limits->connect_timeout_ms, left_ms),
        .first_ms = first_ms(this, placing->choice.upstream),
        .pause_ms = limits->token_timeout_ms,
    };
    return RelayAttempt_start(super->context->base, &spec, events, owner);
}

void
RelayRun_start(RelayExchange_t *this, const RelayPlacing_t *placing)
{
    Exchange_t *super = &this->super;
    Exchange_noteAttempt(super, placing->choice.upstream,
                         placing->choice.reason);
    super->attempt_trace->candidates = placing->choice.candidates;
    this->kept_for = REFUSAL_COUNT;
    RelayFeedback_begin(&this->feedback, super->context, super->id->str,
                        placing);
    this->attempt = RelayRun_send(this, placing, &attempt_events, this);
}

void
RelayRun_adopt(RelayExchange_t *this, RelayAttempt_t *attempt,
               const RelayFeedback_t *feedback, const DispatchTicket_t *ticket,
               const char *reason, gint64 started_us)
{
    Exchange_t *super = &this->super;
    EventPipe_restart(this->events);
    Exchange_noteAttempt(super, feedback->upstream, reason);
    this->kept_for = REFUSAL_COUNT;
    super->attempt_trace->started_us = started_us - super->started_us;
    this->is_stream = TRUE;
    this->feedback = *feedback;
    this->ticket = *ticket;
    this->attempt = attempt;
    RelayAttempt_hand(attempt, &attempt_events, this);
}

void
RelayRun_feed(RelayExchange_t *this, struct evbuffer *data)
{
    on_data(this, data);
}

gboolean
RelayRun_cancel(RelayExchange_t *this)
{
    gboolean sent = RelayAttempt_wasSent(this->attempt);
    RelayExchange_endTicket(this);
    RelayFeedback_settle(&this->feedback);
    RelayAttempt_cancel(this->attempt);
    this->attempt = NULL;
    return sent;
}

void
RelayRun_end(RelayExchange_t *this, AttemptEnd_t end, const RelayHead_t *head)
{
    on_ended(this, end, head);
}
