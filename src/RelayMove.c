#include "RelayMove.h"

#include <event2/buffer.h>

#include "Clock.h"
#include "Log.h"
#include "RelayDispatch.h"
#include "RelayRun.h"

/* How often the wait until another upstream is tried beside a silent one may
 * be doubled. */
#define MAX_BACKOFF_DOUBLINGS 6

/* Why a stream is to move, and what follows from that. */
typedef struct {
    const char *name;
    AttemptEnd_t counted_as; /* among the retries */
    /* The next event must come soon enough to go unnoticed. */
    gboolean must_be_near;
    /* Its own engine goes on, so that both run for a while. */
    gboolean is_bounded;
    /* In each attempt, rather than again and again. */
    gboolean is_tried_once;
} MoveCause_t;

static const MoveCause_t unloading = {
    .name = "unloading",
    .counted_as = ATTEMPT_MOVED,
    .must_be_near = TRUE,
    .is_bounded = TRUE,
    .is_tried_once = TRUE,
};
static const MoveCause_t silence = {
    .name = "silent",
    .counted_as = ATTEMPT_SILENT,
};

struct RelayMove {
    RelayExchange_t *exchange;
    const MoveCause_t *cause;
    DispatchQuery_t *ask; /* question to the dispatcher, or NULL */
    DispatchTicket_t ticket;
    RelayAttempt_t *attempt; /* at the next engine, or NULL */
    gboolean may_have_run;   /* it ended, and is not known not to have run */
    RelayFeedback_t feedback;
    Upstream_t *upstream; /* of @attempt; held, and counts it */
    gint64 started_us;
    struct evbuffer *data; /* of its answer */
    struct event *timeout;
};

static Context_t *
context_of(const RelayMove_t *this)
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

/* What the other engine may have run counts against the route's most, and
 * what it refused against those that are not counted. */
static void
note_try(RelayMove_t *this)
{
    RelayExchange_t *exchange = this->exchange;
    Exchange_t *super = &exchange->super;
    if (!this->upstream) {
        return;
    }
    gboolean may_have_run = this->attempt ? RelayAttempt_wasSent(this->attempt)
                                          : this->may_have_run;
    super->attempts++;
    exchange->unrun += may_have_run ? 0 : 1;
    guint doublings = MIN(exchange->unrun, MAX_BACKOFF_DOUBLINGS);
    exchange->beside_ms =
        Clock_nowMs() +
        (super->context->settings->limits.backoff_ms << doublings);
}

/* The stream stays where it is. */
static void
take_back(RelayMove_t *this, const char *reason)
{
    log_move(this, "stream_stays", reason);
    if (this->ask) {
        Dispatch_cancelQuery(this->ask);
    }
    note_try(this);
    if (this->attempt) {
        RelayFeedback_settle(&this->feedback);
        RelayAttempt_cancel(this->attempt);
    }
    if (context_of(this)->dispatch) {
        Dispatch_endTicket(context_of(this)->dispatch, &this->ticket);
    }
    free_move(this);
}

/* The attempt before it must be over. The move is gone afterwards. */
static void
hand_over(RelayMove_t *this)
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

/* The attempt before it is given up for the next one. */
static void
leave_attempt(RelayMove_t *this)
{
    RelayExchange_t *exchange = this->exchange;
    StreamMover_remove(context_of(this)->mover, exchange);
    RelayRun_cancel(exchange);
    Exchange_noteEnd(&exchange->super, ATTEMPT_MOVED);
    hand_over(this);
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
    if (head->status >= HTTP_MOVEPERM) {
        take_back(this, "failed");
    }
}

/* The caller's stream is left to the engine that has it. */
static void
stay_for_oversize(RelayMove_t *this)
{
    Context_countOversized(context_of(this), this->exchange->super.id->str,
                           this->upstream->name->str);
    take_back(this, Recovery_endName(ATTEMPT_OVERSIZED));
}

static void
on_data(void *owner, struct evbuffer *data)
{
    RelayMove_t *this = owner;
    evbuffer_add_buffer(this->data, data);
    gsize event = EventPipe_firstLength(this->data);
    gsize size = event > 0 ? event : evbuffer_get_length(this->data);
    if (size > (gsize)context_of(this)->settings->limits.event_max) {
        stay_for_oversize(this);
    }
    else if (event > 0) {
        leave_attempt(this);
    }
}

static SilenceStep_t
on_silent(void *owner)
{
    (void)owner;
    return SILENCE_GIVE_UP;
}

/* Nothing is left to send: the engine fell silent behind its last event. */
static void
end_whole(RelayMove_t *this, const RelayHead_t *head)
{
    RelayExchange_t *exchange = this->exchange;
    leave_attempt(this);
    RelayRun_end(exchange, ATTEMPT_WHOLE, head);
}

/* It ended without an event. */
static void
on_ended(void *owner, AttemptEnd_t end, const RelayHead_t *head)
{
    RelayMove_t *this = owner;
    if (end == ATTEMPT_WHOLE && this->cause == &silence) {
        end_whole(this, head);
        return;
    }
    this->attempt = NULL;
    this->may_have_run = end != ATTEMPT_NOT_RUN && !Recovery_isUnsent(end);
    RelayFeedback_settle(&this->feedback);
    Exchange_noteLost(&this->exchange->super, this->upstream, end);
    if (end == ATTEMPT_OVERSIZED) {
        stay_for_oversize(this);
        return;
    }
    if (end == ATTEMPT_NOT_RUN && head) {
        RelayFeedback_noteRefusal(&this->feedback, head);
        if (context_of(this)->dispatch) {
            Dispatch_reportRefusal(context_of(this)->dispatch, &this->ticket);
        }
    }
    else if (end != ATTEMPT_SILENT) {
        RelayFeedback_noteReach(&this->feedback, end);
    }
    take_back(this, Recovery_endName(end));
}

static const RelayAttemptEvents_t attempt_events = {
    .answered = on_answered,
    .head = on_head,
    .data = on_data,
    .silent = on_silent,
    .ended = on_ended,
};

static void
on_timeout(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    take_back(data, "silent");
}

static void
send_request(RelayMove_t *this, const RelayWish_t *wish,
             RelayPlacing_t *placing)
{
    RelayExchange_t *exchange = this->exchange;
    Exchange_t *super = &exchange->super;
    this->upstream = Upstream_ref(placing->choice.upstream);
    this->upstream->in_flight++;
    UpstreamRest_noteSent(&this->upstream->rest, Clock_nowMs());
    this->started_us = Clock_nowUs();
    RetryBudget_withdraw(super->context->budget, super->target->str);
    Context_countRetry(super->context,
                       Recovery_endName(this->cause->counted_as),
                       super->target->str, super->customer_class->str);
    RelayPlacer_prepare(super->context, wish, placing);
    RelayPlacing_log(placing, super->id->str, &exchange->request);
    RelayFeedback_begin(&this->feedback, super->context, super->id->str,
                        placing);
    this->attempt = RelayRun_send(exchange, placing, &attempt_events, this);
    if (this->cause->is_bounded) {
        Clock_arm(this->timeout, super->context->settings->relay.move_wait_ms);
    }
}

/* The pause until its next event must stay one that goes unnoticed. */
static gboolean
is_near(const RelayExchange_t *exchange, const MoveCause_t *cause,
        const Choice_t *choice)
{
    if (!choice->upstream || choice->upstream == exchange->super.upstream) {
        return FALSE;
    }
    return !cause->must_be_near ||
           choice->cost_us <= exchange->route->pause_ms * CLOCK_US_PER_MS;
}

/* A stream that goes on where it is leaves the room of a limited upstream to
 * requests that have nowhere else to go. */
static void
choose(const RelayExchange_t *exchange, RelayWish_t *wish,
       RelayPlacing_t *placing)
{
    const Exchange_t *super = &exchange->super;
    *wish = RelayExchange_wish(exchange);
    wish->terms = (PlacementTerms_t){
        .avoid = super->upstream,
        .spares_limited = TRUE,
    };
    RelayPlacer_choose(super->context, wish, placing);
}

static void
send_or_stay(RelayMove_t *this, const RelayWish_t *wish,
             RelayPlacing_t *placing)
{
    Refusal_t refusal = REFUSAL_COUNT;
    if (!RelayDispatch_isAllowed(this->exchange, &refusal)) {
        take_back(this, Refusal_spec(refusal)->code);
    }
    else if (!is_near(this->exchange, this->cause, &placing->choice)) {
        take_back(this, "far");
    }
    else {
        send_request(this, wish, placing);
    }
}

static void
on_dispatched(void *owner, const Choice_t *choice,
              const DispatchTicket_t *ticket)
{
    RelayMove_t *this = owner;
    RelayWish_t wish;
    RelayPlacing_t placing;
    this->ask = NULL;
    this->ticket = *ticket;
    choose(this->exchange, &wish, &placing);
    if (choice->upstream &&
        Policy_mayUse(&placing.placement, choice->upstream)) {
        placing.choice = *choice;
    }
    else if (context_of(this)->dispatch) {
        Dispatch_endTicket(context_of(this)->dispatch, &this->ticket);
    }
    send_or_stay(this, &wish, &placing);
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
begin(RelayExchange_t *exchange, const MoveCause_t *cause)
{
    Context_t *context = exchange->super.context;
    RelayWish_t wish;
    RelayPlacing_t placing;
    choose(exchange, &wish, &placing);
    if (!is_near(exchange, cause, &placing.choice)) {
        return;
    }
    if (cause->is_tried_once) {
        StreamMover_remove(context->mover, exchange);
    }
    RelayMove_t *this = create_move(exchange, cause);
    exchange->move = this;
    this->ask = context->dispatch
                    ? Dispatch_query(context->dispatch, &placing.placement,
                                     exchange->request.model, &placing.choice,
                                     on_dispatched, this)
                    : NULL;
    if (!this->ask) {
        send_or_stay(this, &wish, &placing);
    }
}

/* One that is far is looked at again; else there is one such try for each
 * attempt: where the next engine would not have it, it most likely ends before
 * another one would. Tries beside a silent engine may have used up what its
 * route allows. */
static void
leave_engine(void *stream)
{
    RelayExchange_t *this = stream;
    if (!this->move && EventPipe_isNumbered(this->events) &&
        Exchange_mayRepeat(&this->super)) {
        begin(this, &unloading);
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
    .move = leave_engine,
};

/* One that has begun: before that its engine would refuse it by itself. Where
 * its route allows no other attempt it stays. */
void
RelayMove_allow(RelayExchange_t *this)
{
    if (this->route->by_prefix && Exchange_mayRepeat(&this->super)) {
        StreamMover_add(this->super.context->mover, this, &movable_class);
    }
}

gboolean
RelayMove_goBeside(RelayExchange_t *this)
{
    if (!this->events || !RelayAnswer_isBegun(this->answer) ||
        !EventPipe_isNumbered(this->events)) {
        return FALSE;
    }
    if (!this->move && Clock_nowMs() >= this->beside_ms) {
        begin(this, &silence);
    }
    return TRUE;
}

void
RelayMove_noteHeard(RelayExchange_t *this)
{
    if (this->move && this->move->cause == &silence) {
        take_back(this->move, "heard");
    }
}

void
RelayMove_forbid(RelayExchange_t *this)
{
    StreamMover_remove(this->super.context->mover, this);
    if (this->move) {
        take_back(this->move, "over");
    }
}

gboolean
RelayMove_complete(RelayExchange_t *this)
{
    if (!this->move || !this->move->attempt || this->super.left ||
        this->super.over) {
        return FALSE;
    }
    StreamMover_remove(this->super.context->mover, this);
    hand_over(this->move);
    return TRUE;
}
