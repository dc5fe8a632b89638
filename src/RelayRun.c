#include "RelayRun.h"

#include <event2/buffer.h>

#include "Clock.h"
#include "Log.h"
#include "RelayBody.h"

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
    this->is_stream = this->event_pipe && head->status < HTTP_MOVEPERM &&
                      RelayAnswer_mayContinueWith(this->answer, head->status);
    this->framing = head->framing;
    RelayBody_begin(this, head);
    this->has_upstream_error = FALSE; /* it was in answer_body */
    if (head->status < HTTP_INTERNAL ||
        !RelayAnswer_isHeadSent(this->answer)) {
        RelayAnswer_setHead(this->answer, head->status, head->framing,
                            headers);
    }
}

static void
record_first_event(RelayExchange_t *this)
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
        this->run_events->first_event(this);
    }
    if (this->first_us == 0) {
        this->first_us = passed_us;
        Counters_observe(this->super.context->counters, "first_token_us",
                         (guint64)passed_us);
    }
}

static void
record_pause(RelayExchange_t *this)
{
    gint64 now_us = Clock_nowUs();
    if (this->last_event_us != 0) {
        this->max_pause_us =
            MAX(this->max_pause_us, now_us - this->last_event_us);
    }
    this->last_event_us = now_us;
}

static void
forward_events(RelayExchange_t *this)
{
    record_first_event(this);
    record_pause(this);
    Exchange_noteProgress(&this->super);
    this->run_events->events_received(this);
    RelayExchange_closeIfStopping(this);
    RelayAnswer_sendData(this->answer, this->outgoing);
    if (RelayAnswer_isFull(this->answer)) {
        RelayAttempt_setReadPaused(this->attempt, TRUE);
    }
}

static void
on_data(void *owner, struct evbuffer *data)
{
    RelayExchange_t *this = owner;
    if (!this->is_stream) {
        RelayBody_receive(this, data);
        return;
    }
    if (EventPipe_feed(this->event_pipe, data, this->outgoing) > 0) {
        forward_events(this);
    }
    if (EventPipe_isEventTooLarge(this->event_pipe)) {
        RelayAttempt_fail(this->attempt, ATTEMPT_OVERSIZED);
    }
}

/* An answer of several attempts says less of its route than of what ended the
 * first ones, and one in parts less than of its caller. */
static void
note_answer_time(const RelayExchange_t *this)
{
    const Exchange_t *super = &this->super;
    if (super->attempts == 1 && !this->is_in_parts) {
        AnswerTimes_note(super->context->answer_times, this->route->name->str,
                         this->request.answer_tokens,
                         Clock_nowUs() - super->started_us -
                             super->attempt_trace->started_us);
    }
}

static void
finish(RelayExchange_t *this, AttemptEnd_t end)
{
    RelayExchange_closeIfStopping(this);
    this->is_whole = TRUE;
    note_answer_time(this);
    if (this->is_stream) {
        EngineSplit_noteStream(this->super.context->engine_split,
                               this->max_pause_us, this->route->pause_ms);
        RunTimes_note(this->super.context->run_times, this->route->name->str,
                      Clock_nowUs() - this->super.started_us - this->first_us);
        EventPipe_flush(this->event_pipe, this->outgoing);
        RelayAnswer_sendData(this->answer, this->outgoing);
        RelayAnswer_finishStream(this->answer);
    }
    else {
        RelayBody_finish(this);
    }
    Exchange_finish(&this->super, end);
}

static void
notify_dispatcher(RelayExchange_t *this, AttemptEnd_t end)
{
    Dispatch_t *dispatch = this->super.context->dispatch;
    if (end == ATTEMPT_NOT_RUN && dispatch) {
        Dispatch_reportRefusal(dispatch, &this->ticket);
    }
    RelayExchange_endTicket(this);
}

static void
record_end(RelayExchange_t *this, AttemptEnd_t end, const RelayHead_t *head)
{
    if (end == ATTEMPT_NOT_RUN && head) {
        RelayFeedback_noteRefusal(&this->feedback, head);
    }
    this->is_unsent = end == ATTEMPT_NOT_SENT;
    this->was_stale = end == ATTEMPT_STALE;
    if (end == ATTEMPT_NOT_RUN || Recovery_isUnsent(end)) {
        this->not_run_attempts++;
    }
    RelayFeedback_noteReachability(&this->feedback, end);
    RelayFeedback_noteEnd(&this->feedback);
    Exchange_noteAttemptEnd(&this->super, end);
}

/* Once a part of a stream was sent, only its remainder can follow: any other
 * answer has a head of its own, which can't be sent any more. */
static AttemptEnd_t
adjust_end(const RelayExchange_t *this, AttemptEnd_t end)
{
    gboolean fits = this->is_stream || this->is_in_parts ||
                    !RelayAnswer_isHeadSent(this->answer);
    gboolean is_answer = end == ATTEMPT_COMPLETE || end == ATTEMPT_CLOSED;
    if (end == ATTEMPT_CLOSED && this->is_stream &&
        EventPipe_isInsideEvent(this->event_pipe)) {
        return ATTEMPT_CUT;
    }
    return is_answer && !fits ? ATTEMPT_BAD_ANSWER : end;
}

/* Nothing but the end of the connection marked the end of the answer. */
static void
log_close_delimited(const RelayExchange_t *this, AttemptEnd_t end)
{
    const Exchange_t *super = &this->super;
    g_autofree char *labels =
        g_strdup_printf("end=\"%s\"", Recovery_endName(end));
    gsize pending =
        this->is_stream ? EventPipe_pendingBytes(this->event_pipe) : 0;
    Log_begin(LOG_LEVEL_INFO, "answer_close_delimited");
    Log_text("request", super->id->str);
    Log_text("upstream", super->upstream->name->str);
    Log_text("end", Recovery_endName(end));
    Log_number("is_stream", this->is_stream);
    Log_number("pending_bytes", (gint64)pending);
    Log_number("needs_proof", RelayAnswer_needsProof(this->answer));
    Log_end();
    Counters_add(super->context->counters, "answers_close_delimited_total",
                 labels, 1);
}

/* Whether the caller's answer may end with this one. */
static gboolean
is_final(const RelayExchange_t *this, AttemptEnd_t end)
{
    return end == ATTEMPT_COMPLETE ||
           (end == ATTEMPT_CLOSED && !RelayAnswer_needsProof(this->answer));
}

/* Whether the answer, also one that is an error, has ended. */
static gboolean
is_received(AttemptEnd_t end)
{
    return end == ATTEMPT_COMPLETE || end == ATTEMPT_CLOSED ||
           end == ATTEMPT_FAILED;
}

static void
on_ended(void *owner, AttemptEnd_t attempt_end, const RelayHead_t *head)
{
    RelayExchange_t *this = owner;
    AttemptEnd_t end = adjust_end(this, attempt_end);
    gboolean ends_answer = is_final(this, end);
    if (is_received(end)) {
        RelayAnswer_setReceived(this->answer);
    }
    this->framing = head ? head->framing : BODY_EMPTY;
    if (attempt_end == ATTEMPT_CLOSED) {
        log_close_delimited(this, end);
    }
    notify_dispatcher(this, end);
    AnswerWaiter_clear(&this->answer_waiter);
    this->attempt = NULL;
    this->has_upstream_error =
        end == ATTEMPT_FAILED && head && !head->is_unproven;
    record_end(this, end, head);
    if (!ends_answer && this->run_events->fail_over(this)) {
        return;
    }
    this->run_events->ended(this);
    if (ends_answer) {
        finish(this, end);
        return;
    }
    if (this->event_pipe) {
        EventPipe_restart(this->event_pipe);
    }
    Exchange_recover(&this->super, end, NULL);
}

static void
log_attempt_kept(const RelayExchange_t *this)
{
    const Exchange_t *super = &this->super;
    g_autofree char *config = RouteTable_describe(super->context->routes);
    Log_begin(LOG_LEVEL_INFO, "attempt_kept");
    Log_text("request", super->id->str);
    Log_text("reason", Refusal_spec(this->keep_reason)->code);
    Log_text("upstream", super->upstream->name->str);
    Log_text("config", config);
    Log_number("proof_age_ms",
               Clock_nowMs() - super->upstream->last_answer_ms);
    Log_number("left_ms", super->deadline_ms - Clock_nowMs());
    Log_end();
}

/* If no attempt may follow, the silent one is kept: ending it would truncate
 * the answer or refuse a request that the upstream may still answer. With keys
 * revoked while engines were silent, streams would otherwise end in the
 * middle. */
static gboolean
may_retry(RelayExchange_t *this)
{
    Refusal_t refusal = REFUSAL_COUNT;
    if (this->run_events->may_retry(this, &refusal)) {
        this->keep_reason = REFUSAL_COUNT;
        return TRUE;
    }
    if (this->keep_reason != refusal) {
        this->keep_reason = refusal;
        log_attempt_kept(this);
    }
    return FALSE;
}

/* The silence timeout may be shortened to check for overdue weights
 * (first_data_timeout_ms()); the engine still has first_token_timeout_ms. */
static gboolean
has_time_left(const Exchange_t *super)
{
    gint64 sent_us = super->started_us + super->attempt_trace->started_us;
    return Clock_nowUs() - sent_us <
           super->context->settings->limits.first_token_timeout_ms *
               CLOCK_US_PER_MS;
}

static void
note_lost(RelayExchange_t *this, gint64 since_ms)
{
    const Exchange_t *super = &this->super;
    if (this->is_lost) {
        return;
    }
    this->is_lost = TRUE;
    Log_begin(LOG_LEVEL_INFO, "attempt_lost");
    Log_text("request", super->id->str);
    Log_text("upstream", super->upstream->name->str);
    Log_number("events", (gint64)EventPipe_countPassed(this->event_pipe));
    Log_number("silent_ms", Clock_nowMs() - since_ms);
    Log_number("left_ms", super->deadline_ms - Clock_nowMs());
    Log_end();
    Counters_add(super->context->counters, "attempts_lost_total", NULL, 1);
}

/* The engine counts the events of a stream that its caller continues from an
 * unknown one on. */
static guint64
count_events(const RelayExchange_t *this)
{
    return this->request.last_event_id
               ? G_MAXUINT64
               : EventPipe_countPassed(this->event_pipe);
}

/* An engine that works may have nothing more for a request, see EngineRuns. */
static gboolean
is_lost(RelayExchange_t *this)
{
    const Exchange_t *super = &this->super;
    gint64 sent_us = super->started_us + super->attempt_trace->started_us;
    gint64 since_ms = MAX(sent_us, this->last_event_us) / CLOCK_US_PER_MS;
    if (!this->event_pipe || !this->route->by_prefix ||
        !Exchange_mayRetry(super)) {
        return FALSE;
    }
    if (EngineRuns_isLost(super->upstream->runs, super->id->str,
                          count_events(this), since_ms)) {
        note_lost(this, since_ms);
        return TRUE;
    }
    RelayFeedback_askRuns(&this->feedback);
    return FALSE;
}

/* A silent upstream is given up only if a probe was unanswered as well, or it
 * has nothing more for the request, which may be sent to another upstream. A
 * busy upstream is waited for, as the request would lose its place in the
 * queue. */
static SilenceAction_t
on_silent(void *owner)
{
    RelayExchange_t *this = owner;
    const Exchange_t *super = &this->super;
    if (this->is_in_parts) {
        return SILENCE_WAIT;
    }
    gboolean awaits_first_token = this->event_pipe && this->route->by_prefix &&
                                  RelayAnswer_request(this->answer) &&
                                  super->attempt_trace->first_token_us == 0;
    if (awaits_first_token &&
        RelayPlacer_hasOverdueWeights(super->context, this->request.model,
                                      super->upstream)) {
        return SILENCE_TAKE_BACK;
    }
    if (awaits_first_token && has_time_left(super)) {
        return SILENCE_WAIT;
    }
    gboolean is_over =
        RelayFeedback_noteSilence(&this->feedback) || is_lost(this);
    gboolean may_move = is_over && Exchange_mayRetry(super) && may_retry(this);
    return may_move && !this->run_events->hedge(this) ? SILENCE_GIVE_UP
                                                      : SILENCE_WAIT;
}

static gboolean
on_unproved(void *owner)
{
    RelayExchange_t *this = owner;
    return Exchange_mayRetry(&this->super) && may_retry(this);
}

static const RelayAttemptEvents_t attempt_events = {
    .answered = on_answered,
    .head = on_head,
    .data = on_data,
    .silent = on_silent,
    .unproved = on_unproved,
    .ended = on_ended,
};

static const char *
last_event_id(const RelayExchange_t *this)
{
    const char *last =
        this->event_pipe ? EventPipe_lastId(this->event_pipe) : NULL;
    return last ? last : this->request.last_event_id;
}

/* A request that may run only once uses a connection that was idle for a short
 * while only, or a new one: if the upstream has closed an idle connection, it
 * would remain unknown whether the request ran. One that met the end of a
 * connection uses a new one. */
static gint64
select_idle_limit(const RelayExchange_t *this)
{
    const LimitsSection_t *limits = &this->super.context->settings->limits;
    if (this->was_stale) {
        return UPSTREAM_NO_IDLE;
    }
    return this->super.repeatable ? limits->idle_time_ms
                                  : limits->once_idle_time_ms;
}

static const char *
null_if_empty(const char *text)
{
    return *text ? text : NULL;
}

static RelayOrder_t
build_order(const RelayExchange_t *this, const RelayDestination_t *destination,
            gint64 left_ms)
{
    const Upstream_t *upstream = destination->choice.upstream;
    gboolean is_engine = destination->salt[0] != '\0';
    return (RelayOrder_t){
        .instance = upstream->name->str,
        .customer = this->customer ? this->customer->name->str : NULL,
        .wait_ms = left_ms,
        .rank = RelayExchange_rank(this),
        .weights = is_engine ? null_if_empty(upstream->weights->str) : NULL,
        .salt = null_if_empty(destination->salt),
        .fetch_from = null_if_empty(destination->fetch_from),
        .save_to = null_if_empty(destination->save_to),
        .last_event_id = last_event_id(this),
    };
}

/* The timeout ends no later than the weights may become overdue, so that the
 * request can be taken back from the engine's queue then. */
static gint64
first_data_timeout_ms(const RelayExchange_t *this, const Upstream_t *upstream)
{
    const Context_t *context = this->super.context;
    gint64 overdue_ms = this->route->by_prefix
                            ? RelayPlacer_msUntilOverdue(
                                  context, this->request.model, upstream)
                            : G_MAXINT64;
    return MIN(context->settings->limits.first_token_timeout_ms, overdue_ms);
}

/* What a stream may go on at, and what version it begins with, is that of one
 * start of the engine. */
static const OrderForm_t *
select_start_form(const RelayExchange_t *this,
                  const RelayDestination_t *destination)
{
    gboolean is_stream = this->event_pipe && this->route->resumable;
    gboolean is_engine = destination->salt[0] != '\0';
    return is_stream && is_engine &&
                   StartProof_isNeeded(destination->choice.upstream)
               ? this->super.context->form->orders
               : NULL;
}

RelayAttempt_t *
RelayRun_send(const RelayExchange_t *this,
              const RelayDestination_t *destination,
              const RelayAttemptEvents_t *events, void *owner)
{
    const Exchange_t *super = &this->super;
    const LimitsSection_t *limits = &super->context->settings->limits;
    gint64 left_ms = super->deadline_ms - Clock_nowMs();
    RelayOrder_t order = build_order(this, destination, left_ms);
    RelayAttemptSpec_t spec = {
        .upstream = destination->choice.upstream,
        .form = this->form->upstream,
        .request = RelayAnswer_request(this->answer),
        .request_id = super->id->str,
        .order = &order,
        .body = this->request_body,
        .piece_max =
            (gsize)(this->event_pipe ? limits->event_max : limits->answer_max),
        .head_max = (gsize)limits->max_header,
        .input_total = &super->context->answer_bytes,
        .input_total_max = (gsize)limits->answers_max,
        .start_form = select_start_form(this, destination),
        .needs_start = this->origin.software != NULL,
        .idle_max_ms = select_idle_limit(this),
        .is_once = !super->repeatable,
        .connect_ms = MIN(limits->connect_timeout_ms, left_ms),
        .first_ms = first_data_timeout_ms(this, destination->choice.upstream),
        .pause_ms = limits->token_timeout_ms,
    };
    return RelayAttempt_start(super->context->base, &spec, events, owner);
}

void
RelayRun_start(RelayExchange_t *this, const RelayDestination_t *destination)
{
    Exchange_t *super = &this->super;
    Exchange_noteAttempt(super, destination->choice.upstream,
                         destination->choice.reason);
    super->attempt_trace->candidates = destination->choice.candidates;
    this->keep_reason = REFUSAL_COUNT;
    this->is_lost = FALSE;
    RelayFeedback_begin(&this->feedback, super->context, super->id->str,
                        destination);
    this->attempt = RelayRun_send(this, destination, &attempt_events, this);
}

void
RelayRun_adopt(RelayExchange_t *this, RelayAttempt_t *attempt,
               const RelayFeedback_t *feedback, const DispatchTicket_t *ticket,
               const char *reason, gint64 started_us)
{
    Exchange_t *super = &this->super;
    EventPipe_restart(this->event_pipe);
    Exchange_noteAttempt(super, feedback->upstream, reason);
    this->keep_reason = REFUSAL_COUNT;
    this->is_lost = FALSE;
    super->attempt_trace->started_us = started_us - super->started_us;
    this->is_stream = TRUE;
    this->feedback = *feedback;
    this->ticket = *ticket;
    this->attempt = attempt;
    RelayAttempt_setOwner(attempt, &attempt_events, this);
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
    RelayFeedback_clearPending(&this->feedback);
    RelayAttempt_cancel(this->attempt);
    AnswerWaiter_clear(&this->answer_waiter);
    this->attempt = NULL;
    return sent;
}

void
RelayRun_endAdopted(RelayExchange_t *this, AttemptEnd_t end,
                    const RelayHead_t *head)
{
    on_ended(this, end, head);
}
