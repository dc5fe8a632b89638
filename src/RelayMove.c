#include "RelayMove.h"

#include <event2/buffer.h>

#include "Buffers.h"
#include "Clock.h"
#include "Log.h"
#include "RelayDispatch.h"
#include "RelayRun.h"

/* The wait before the next hedged attempt doubles at most this many times. */
#define BACKOFF_DOUBLINGS_MAX 6

/* Reason for a move and the rules that follow from it. */
typedef struct {
    const char *name;
    AttemptEnd_t retry_reason; /* label of the retry counter */
    /* The next engine must be expected to send an event within the route's
     * longest pause between events. */
    gboolean needs_short_gap;
    /* The current engine still runs the stream, so the time during which both
     * run it is limited by the move_wait_ms setting. */
    gboolean has_timeout;
    /* One move for each attempt. */
    gboolean once_per_attempt;
} MoveCause_t;

static const MoveCause_t unloading = {
    .name = "unloading",
    .retry_reason = ATTEMPT_MOVED,
    .needs_short_gap = TRUE,
    .has_timeout = TRUE,
    .once_per_attempt = TRUE,
};
static const MoveCause_t silence = {
    .name = "silent",
    .retry_reason = ATTEMPT_SILENT,
};

struct RelayMove {
    RelayExchange_t *exchange;
    const MoveCause_t *cause;
    DispatchQuery_t *query; /* query to the dispatcher under way, or NULL */
    DispatchTicket_t ticket;
    RelayAttempt_t *attempt; /* at the next engine, or NULL */
    gboolean may_have_run;   /* @attempt ended and may have run */
    RelayFeedback_t feedback;
    Upstream_t *upstream; /* of @attempt; one reference and in_flight */
    gint64 started_us;
    struct evbuffer *data; /* body that @attempt has received */
    gsize searched;        /* bytes of @data that hold no end of an event */
    struct event *timeout;
};

static Context_t *
get_context(const RelayMove_t *this)
{
    return this->exchange->super.context;
}

static void
log_move(const RelayMove_t *this, const char *event, const char *reason)
{
    const Exchange_t *super = &this->exchange->super;
    const Upstream_t *from = super->upstream ? super->upstream : super->avoid;
    Log_begin(LOG_LEVEL_INFO, event);
    Log_text("request", super->id->str);
    Log_text("reason", reason);
    Log_text("from", from ? from->name->str : "none");
    Log_text("to", this->upstream ? this->upstream->name->str : "none");
    Log_number("us", Clock_nowUs() - this->started_us);
    Log_end();
}

static void
free_move(RelayMove_t *this)
{
    this->exchange->move = NULL;
    if (this->upstream) {
        this->upstream->in_flight--;
        Upstream_unref(this->upstream);
    }
    event_free(this->timeout);
    evbuffer_free(this->data);
    g_free(this);
}

/* Counts the attempt against the route's limit of attempts, unless it did not
 * run: such attempts are excluded from the limit (UNCOUNTED_ATTEMPTS_MAX). */
static void
record_attempt(RelayMove_t *this)
{
    RelayExchange_t *exchange = this->exchange;
    Exchange_t *super = &exchange->super;
    if (!this->upstream) {
        return;
    }
    gboolean may_have_run = this->attempt ? RelayAttempt_wasSent(this->attempt)
                                          : this->may_have_run;
    super->attempts++;
    exchange->not_run_attempts += may_have_run ? 0 : 1;
    guint doublings = MIN(exchange->not_run_attempts, BACKOFF_DOUBLINGS_MAX);
    exchange->next_hedge_ms =
        Clock_nowMs() +
        (super->context->settings->limits.backoff_ms << doublings);
}

/* Ends the move; the stream stays at its engine. */
static void
cancel_move(RelayMove_t *this, const char *reason)
{
    log_move(this, "stream_stays", reason);
    if (this->query) {
        Dispatch_cancelQuery(this->query);
    }
    record_attempt(this);
    if (this->attempt) {
        RelayFeedback_clearPending(&this->feedback);
        RelayAttempt_cancel(this->attempt);
    }
    if (get_context(this)->dispatch) {
        Dispatch_endTicket(get_context(this)->dispatch, &this->ticket);
    }
    free_move(this);
}

/* Replaces the exchange's attempt, which must have ended, by the move's
 * attempt and frees the move. */
static void
adopt_attempt(RelayMove_t *this)
{
    RelayExchange_t *exchange = this->exchange;
    struct evbuffer *data = evbuffer_new();
    log_move(this, "stream_moved", this->cause->name);
    evbuffer_add_buffer(data, this->data);
    RelayRun_adopt(exchange, this->attempt, &this->feedback, &this->ticket,
                   "moved", this->started_us);
    free_move(this);
    if (evbuffer_get_length(data) > 0) {
        RelayRun_feed(exchange, data);
    }
    evbuffer_free(data);
}

/* Cancels the current attempt and continues with the move's. */
static void
replace_attempt(RelayMove_t *this)
{
    RelayExchange_t *exchange = this->exchange;
    StreamMover_remove(get_context(this)->mover, exchange);
    RelayRun_cancel(exchange);
    Exchange_noteAttemptEnd(&exchange->super, ATTEMPT_MOVED);
    adopt_attempt(this);
}

static void
on_answered(void *owner, const RelayHead_t *head)
{
    const RelayMove_t *this = owner;
    RelayFeedback_noteAnswer(&this->feedback, head);
}

static void
on_head(void *owner, const RelayHead_t *head, const struct evkeyvalq *headers)
{
    (void)headers;
    RelayMove_t *this = owner;
    RelayFeedback_noteWeights(&this->feedback, head);
    if (!RelayAnswer_mayContinueWith(this->exchange->answer, head->status)) {
        cancel_move(this, "failed");
    }
    else if (this->cause == &unloading &&
             head->framing == BODY_CLOSE_DELIMITED &&
             RelayAnswer_needsProof(this->exchange->answer)) {
        cancel_move(this, "end_not_marked");
    }
}

/* The second engine sent an event that is too large. */
static void
cancel_oversized(RelayMove_t *this)
{
    Context_countOversized(get_context(this), this->exchange->super.id->str,
                           this->upstream->name->str);
    cancel_move(this, Recovery_endName(ATTEMPT_OVERSIZED));
}

static void
on_data(void *owner, struct evbuffer *data)
{
    RelayMove_t *this = owner;
    Buffers_append(this->data, data);
    gsize event = EventPipe_firstEventLength(this->data, &this->searched);
    gsize size = event > 0 ? event : evbuffer_get_length(this->data);
    if (size > (gsize)get_context(this)->settings->limits.event_max) {
        cancel_oversized(this);
    }
    else if (event > 0) {
        replace_attempt(this);
    }
}

static SilenceAction_t
on_silent(void *owner)
{
    (void)owner;
    return SILENCE_GIVE_UP;
}

static gboolean
on_unproved(void *owner)
{
    (void)owner;
    return TRUE;
}

/* The second engine answered with a complete stream and no event: the silent
 * engine had sent the last event already. */
static void
end_complete(RelayMove_t *this, const RelayHead_t *head)
{
    RelayExchange_t *exchange = this->exchange;
    replace_attempt(this);
    RelayRun_endAdopted(exchange, ATTEMPT_COMPLETE, head);
}

static AttemptEnd_t
adjust_end(const RelayMove_t *this, AttemptEnd_t end)
{
    return end == ATTEMPT_CLOSED && EventPipe_isPartialEvent(this->data)
               ? ATTEMPT_CUT
               : end;
}

/* The move's attempt ended without an event. */
static void
on_ended(void *owner, AttemptEnd_t attempt_end, const RelayHead_t *head)
{
    RelayMove_t *this = owner;
    AttemptEnd_t end = adjust_end(this, attempt_end);
    if (end == ATTEMPT_COMPLETE && this->cause == &silence) {
        end_complete(this, head);
        return;
    }
    this->attempt = NULL;
    this->may_have_run = end != ATTEMPT_NOT_RUN && !Recovery_isUnsent(end);
    RelayFeedback_clearPending(&this->feedback);
    Exchange_noteCrashEvidence(&this->exchange->super, this->upstream, end, 0);
    if (end == ATTEMPT_OVERSIZED) {
        cancel_oversized(this);
        return;
    }
    if (end == ATTEMPT_NOT_RUN && head) {
        RelayFeedback_noteRefusal(&this->feedback, head);
        if (get_context(this)->dispatch) {
            Dispatch_reportRefusal(get_context(this)->dispatch, &this->ticket);
        }
    }
    else if (end != ATTEMPT_SILENT) {
        RelayFeedback_noteReachability(&this->feedback, end);
    }
    cancel_move(this, Recovery_endName(end));
}

static const RelayAttemptEvents_t attempt_events = {
    .answered = on_answered,
    .head = on_head,
    .data = on_data,
    .silent = on_silent,
    .unproved = on_unproved,
    .ended = on_ended,
};

static void
on_timeout(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    cancel_move(data, "silent");
}

static void
send_request(RelayMove_t *this, const RelayPlacementInput_t *input,
             RelayDestination_t *destination)
{
    RelayExchange_t *exchange = this->exchange;
    Exchange_t *super = &exchange->super;
    this->upstream = Upstream_ref(destination->choice.upstream);
    this->upstream->in_flight++;
    UpstreamBackoff_noteSent(&this->upstream->backoff, Clock_nowMs());
    this->started_us = Clock_nowUs();
    RetryBudget_withdraw(super->context->budget, super->target->str);
    Context_countRetry(super->context,
                       Recovery_endName(this->cause->retry_reason),
                       super->target->str, super->customer_class->str);
    RelayPlacer_prepare(super->context, input, destination);
    RelayDestination_log(destination, super->id->str, &exchange->request);
    RelayFeedback_begin(&this->feedback, super->context, super->id->str,
                        destination);
    this->attempt =
        RelayRun_send(exchange, destination, &attempt_events, this);
    if (this->cause->has_timeout) {
        Clock_arm(this->timeout, super->context->settings->relay.move_wait_ms);
    }
}

/* Whether the chosen upstream is another one and, if the cause requires that,
 * expected to send an event within the route's longest pause. */
static gboolean
is_acceptable(const RelayExchange_t *exchange, const MoveCause_t *cause,
              const Choice_t *choice)
{
    if (!choice->upstream || choice->upstream == exchange->super.upstream) {
        return FALSE;
    }
    return !cause->needs_short_gap ||
           choice->cost_us <= exchange->route->pause_ms * CLOCK_US_PER_MS;
}

/* Skips upstreams with a limit: a stream can stay at its engine, so their
 * capacity is left to requests that have no other upstream. */
static void
choose_upstream(const RelayExchange_t *exchange, RelayPlacementInput_t *input,
                RelayDestination_t *destination)
{
    const Exchange_t *super = &exchange->super;
    *input = RelayExchange_placementInput(exchange);
    input->terms = (PlacementConstraints_t){
        .avoid = super->upstream,
        .excludes_limited = TRUE,
    };
    RelayPlacer_choose(super->context, input, destination);
}

static void
send_or_cancel(RelayMove_t *this, const RelayPlacementInput_t *input,
               RelayDestination_t *destination)
{
    Refusal_t refusal = REFUSAL_COUNT;
    if (!RelayDispatch_isAllowed(this->exchange, &refusal)) {
        cancel_move(this, Refusal_spec(refusal)->code);
    }
    else if (!is_acceptable(this->exchange, this->cause,
                            &destination->choice)) {
        cancel_move(this, "far");
    }
    else {
        send_request(this, input, destination);
    }
}

static void
on_dispatched(void *owner, const DispatchAnswer_t *answer)
{
    RelayMove_t *this = owner;
    RelayPlacementInput_t input;
    RelayDestination_t destination;
    this->query = NULL;
    this->ticket = answer->ticket;
    choose_upstream(this->exchange, &input, &destination);
    if (answer->choice.upstream &&
        Policy_mayUse(&destination.placement, answer->choice.upstream)) {
        destination.choice = answer->choice;
    }
    else if (get_context(this)->dispatch) {
        Dispatch_endTicket(get_context(this)->dispatch, &this->ticket);
    }
    send_or_cancel(this, &input, &destination);
}

static RelayMove_t *
create_move(RelayExchange_t *exchange, const MoveCause_t *cause)
{
    RelayMove_t *this = g_new0(RelayMove_t, 1);
    this->exchange = exchange;
    this->cause = cause;
    this->started_us = Clock_nowUs();
    this->data = evbuffer_new();
    this->timeout =
        Clock_timer(exchange->super.context->base, on_timeout, this);
    return this;
}

static void
start_move(RelayExchange_t *exchange, const MoveCause_t *cause)
{
    Context_t *context = exchange->super.context;
    DispatchAdmission_t no_admission = {0};
    RelayPlacementInput_t input;
    RelayDestination_t destination;
    choose_upstream(exchange, &input, &destination);
    if (!is_acceptable(exchange, cause, &destination.choice)) {
        return;
    }
    if (cause->once_per_attempt) {
        StreamMover_remove(context->mover, exchange);
    }
    RelayMove_t *this = create_move(exchange, cause);
    exchange->move = this;
    this->query =
        context->dispatch
            ? Dispatch_query(context->dispatch, &destination.placement,
                             exchange->request.model, &destination.choice,
                             &no_admission, on_dispatched, this)
            : NULL;
    if (!this->query) {
        send_or_cancel(this, &input, &destination);
    }
}

/* Called again by StreamMover while no other engine is expected to send the
 * next event soon enough. Once a
 * move has started, the attempt gets no second one: if that engine refuses the
 * stream, it will most likely end before another engine takes it. Hedged
 * attempts may have used up the route's limit of attempts. */
static void
move_from_unloading(void *stream)
{
    RelayExchange_t *this = stream;
    if (!this->move && EventPipe_hasNumericId(this->event_pipe) &&
        Exchange_mayRetry(&this->super)) {
        start_move(this, &unloading);
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

static const MovableClass_t movable_class = {
    .upstream = movable_upstream,
    .target = movable_target,
    .move = move_from_unloading,
};

/* Called at the first event: before that an engine that is about to load
 * weights refuses the request itself. */
void
RelayMove_allow(RelayExchange_t *this)
{
    if (this->route->by_prefix && Exchange_mayRetry(&this->super)) {
        StreamMover_add(this->super.context->mover, this, &movable_class);
    }
}

gboolean
RelayMove_hedge(RelayExchange_t *this)
{
    if (!this->event_pipe || !RelayAnswer_isHeadSent(this->answer) ||
        !EventPipe_hasNumericId(this->event_pipe)) {
        return FALSE;
    }
    if (!this->move && Clock_nowMs() >= this->next_hedge_ms) {
        start_move(this, &silence);
    }
    return TRUE;
}

void
RelayMove_noteEvents(RelayExchange_t *this)
{
    if (this->move && this->move->cause == &silence) {
        cancel_move(this->move, "heard");
    }
}

void
RelayMove_forbid(RelayExchange_t *this)
{
    StreamMover_remove(this->super.context->mover, this);
    if (this->move) {
        cancel_move(this->move, "over");
    }
}

gboolean
RelayMove_failOver(RelayExchange_t *this)
{
    if (!this->move || !this->move->attempt || this->super.caller_left ||
        this->super.over) {
        return FALSE;
    }
    StreamMover_remove(this->super.context->mover, this);
    adopt_attempt(this->move);
    return TRUE;
}
