#include "StreamExchange.h"

#include "Answer.h"
#include "Attempt.h"
#include "Clock.h"
#include "EngineHttp.h"
#include "ExchangeCapacity.h"
#include "HttpCall.h"
#include "Log.h"
#include "Placer.h"
#include "StreamHandle.h"

typedef struct {
    Exchange_t super;
    const EngineWire_t *wire;
    Answer_t *answer;
    Prompt_t *prompt;
    ResumePoint_t *resume_point; /* NULL unless the caller resumes a stream */

    Placement_t placement;
    Attempt_t *attempt;
    guint uncached_tokens; /* counted in upstream->pending_tokens */
    guint expected_cached;
    gboolean is_resume;      /* the current attempt resumes a stream */
    gboolean resume_pending; /* a resume waits for capacity of its engine */

    StreamHandle_t stream;
    guint resumes;
    gboolean was_stale; /* the last attempt met the end of its connection */

    GString *text;        /* text sent by this exchange, if repeatable */
    guint copies;         /* of each token's text that are kept to the end */
    gsize kept_bytes;     /* counted in the context's answer_bytes */
    guint64 start_offset; /* tokens that the caller had before */
    guint64 tokens;
    guint prompt_tokens;
    guint cached_tokens;
} StreamExchange_t;

static void
destroy(Exchange_t *super)
{
    StreamExchange_t *this = (StreamExchange_t *)super;
    Answer_destroy(this->answer);
    if (this->prompt) {
        Prompt_destroy(this->prompt);
    }
    if (this->resume_point) {
        ResumePoint_destroy(this->resume_point);
    }
    StreamHandle_clear(&this->stream);
    super->context->answer_bytes -= this->kept_bytes;
    g_string_free(this->text, TRUE);
    Exchange_clear(super);
    g_free(this);
}

static void
clear_pending_tokens(StreamExchange_t *this)
{
    if (this->super.upstream) {
        this->super.upstream->pending_tokens -= this->uncached_tokens;
    }
    this->uncached_tokens = 0;
}

static gboolean
drop(Exchange_t *super)
{
    StreamExchange_t *this = (StreamExchange_t *)super;
    gboolean sent = this->attempt && Attempt_wasSent(this->attempt);
    if (this->attempt) {
        Attempt_cancel(this->attempt);
        this->attempt = NULL;
    }
    clear_pending_tokens(this);
    return sent;
}

static void
refuse(Exchange_t *super, const RefusalNotice_t *notice)
{
    const StreamExchange_t *this = (StreamExchange_t *)super;
    Answer_refuse(this->answer, notice);
}

static void
abandon(Exchange_t *super)
{
    StreamExchange_t *this = (StreamExchange_t *)super;
    StreamHandle_cancel(&this->stream, super->context->base, this->wire,
                        super->context->settings->limits.token_timeout_ms);
    StreamHandle_clear(&this->stream);
    this->resume_pending = FALSE;
}

static void
add_recovery_input(const Exchange_t *super, RecoveryInput_t *input)
{
    const StreamExchange_t *this = (const StreamExchange_t *)super;
    input->was_resume = this->is_resume;
    input->progressed =
        super->attempt_trace && super->attempt_trace->tokens > 0;
    input->stream_known = this->stream.upstream != NULL;
    input->resumes = this->resumes;
    input->tokens = this->tokens;
    input->repeatable = super->repeatable && !this->resume_point;
    input->resume_only = this->resume_point != NULL;
}

static void
log_end(const Exchange_t *super)
{
    const StreamExchange_t *this = (const StreamExchange_t *)super;
    Log_number("resumes", this->resumes);
    Log_number("tokens", (gint64)this->tokens);
    Log_number("prompt_tokens", this->prompt_tokens);
    Log_number("cached_tokens", this->cached_tokens);
}

/* The engine continues the stream during the grace period, so that the caller
 * may resume it at any router. The engine ignores the cancel of this router if
 * the stream was resumed at another router. */
static void
on_caller_left(void *owner, Refusal_t reason)
{
    StreamExchange_t *this = owner;
    Exchange_t *super = &this->super;
    if (super->over) {
        return;
    }
    gboolean may_resume =
        this->prompt && this->prompt->stream && this->stream.upstream;
    Exchange_noteCallerLeft(
        super, reason,
        may_resume ? super->context->settings->limits.resume_grace_ms : 0);
}

static void
on_caller_drained(void *owner)
{
    StreamExchange_t *this = owner;
    if (this->attempt) {
        Attempt_resumeReading(this->attempt);
    }
}

static const AnswerEvents_t answer_events = {
    .left = on_caller_left,
    .drained = on_caller_drained,
};

static void
set_resume_token(StreamExchange_t *this)
{
    const Exchange_t *super = &this->super;
    GString *sealed = StreamHandle_seal(
        &this->stream, super->context->settings->keys.seal,
        super->customer->str, super->id->str, super->target->str);
    Answer_setResumeToken(this->answer, sealed);
    g_string_free(sealed, TRUE);
}

static void
note_incarnation(const Exchange_t *super, guint64 incarnation)
{
    if (Upstream_noteIncarnation(super->upstream, incarnation,
                                 Clock_nowMs())) {
        Membership_spreadUpstream(super->context->membership,
                                  super->upstream->name->str);
    }
}

static void
note_head(const Exchange_t *super, const EngineHead_t *head)
{
    Upstream_t *upstream = super->upstream;
    note_incarnation(super, head->incarnation);
    Upstream_noteWeights(upstream, head->weights);
    Upstream_noteSuccess(upstream);
    upstream->reported_tokens = head->waiting_tokens;
    upstream->reported_running = head->running;
    upstream->reported_at_ms = Clock_nowMs();
}

static void
on_started(void *owner, const EngineHead_t *head)
{
    StreamExchange_t *this = owner;
    Exchange_t *super = &this->super;
    Counters_t *counters = super->context->counters;
    note_head(super, head);
    StreamHandle_set(&this->stream, super->upstream, head);
    set_resume_token(this);
    if (this->is_resume) {
        return;
    }
    this->prompt_tokens = head->prompt_tokens;
    this->cached_tokens = head->cached_tokens;
    super->attempt_trace->prompt_tokens = head->prompt_tokens;
    super->attempt_trace->cached_tokens = head->cached_tokens;
    Counters_add(counters, "prompt_tokens_total", NULL, head->prompt_tokens);
    Counters_add(counters, "cached_tokens_total", NULL, head->cached_tokens);
    Policy_learn(super->context->policy, &this->placement, super->upstream,
                 this->expected_cached, head->cached_tokens);
}

static void
note_first_token(StreamExchange_t *this)
{
    const Exchange_t *super = &this->super;
    gint64 passed_us = Clock_nowUs() - super->started_us;
    if (super->attempt_trace->first_token_us == 0) {
        super->attempt_trace->first_token_us = passed_us;
        clear_pending_tokens(this);
    }
    if (this->tokens == 0) {
        Counters_observe(super->context->counters, "first_token_us",
                         (guint64)passed_us);
    }
}

/* Counts the text of a token; returns FALSE if there is no room for it. */
static gboolean
take_room(StreamExchange_t *this, gsize length)
{
    Context_t *context = this->super.context;
    AnswerBufferLimits_t limits = Context_answerLimits(context);
    gsize added = length * this->copies;
    gsize kept = this->kept_bytes + added;
    gboolean is_short = kept <= ANSWER_BUFFER_FREE_MAX;
    if (kept > limits.size_max ||
        (!is_short && context->answer_bytes + added > limits.total_max)) {
        return FALSE;
    }
    context->answer_bytes += added;
    this->kept_bytes = kept;
    return TRUE;
}

static void
on_token(void *owner, const EngineToken_t *token)
{
    StreamExchange_t *this = owner;
    if (!take_room(this, token->length)) {
        Attempt_fail(this->attempt, ATTEMPT_OVERSIZED);
        return;
    }
    note_first_token(this);
    Exchange_noteProgress(&this->super);
    this->tokens++;
    this->super.attempt_trace->tokens++;
    if (this->super.repeatable) {
        g_string_append_len(this->text, token->text, (gssize)token->length);
    }
    Answer_writeToken(this->answer, token->text, token->length, token->finish,
                      this->start_offset + this->tokens);
    if (Answer_isFull(this->answer) &&
        !Attempt_isReadingPaused(this->attempt)) {
        Counters_add(this->super.context->counters, "streams_held_total", NULL,
                     1);
        Attempt_pauseReading(this->attempt);
    }
}

/* A refusal reports the engine's incarnation, and may announce that the engine
 * is leaving. */
static void
note_refusal(const Exchange_t *super, const EngineRefusal_t *refusal)
{
    note_incarnation(super, refusal->incarnation);
    if (refusal->leaving) {
        UpstreamNotices_noteLeaving(super->context->notices, &super->origin,
                                    "refusal");
    }
}

static void
finish(StreamExchange_t *this)
{
    Answer_finish(this->answer, this->prompt_tokens, this->tokens,
                  this->cached_tokens);
    Exchange_finish(&this->super, ATTEMPT_COMPLETE);
}

static void
on_ended(void *owner, AttemptEnd_t end, const EngineRefusal_t *refusal)
{
    StreamExchange_t *this = owner;
    Exchange_t *super = &this->super;
    if (refusal) {
        note_refusal(super, refusal);
    }
    this->attempt = NULL;
    this->was_stale = end == ATTEMPT_STALE;
    clear_pending_tokens(this);
    Exchange_noteAttemptEnd(super, end);
    if (refusal && refusal->incarnation != 0) {
        Exchange_clearAvoided(super);
    }
    if (end == ATTEMPT_COMPLETE) {
        finish(this);
        return;
    }
    Exchange_recover(super, end, refusal ? refusal->code : NULL);
}

/* A silent attempt ends if another attempt is allowed. The last attempt is
 * continued instead: when the only engine stalled for some seconds, all
 * attempts were used up before it recovered. */
static gboolean
on_silent(void *owner)
{
    StreamExchange_t *this = owner;
    if (Exchange_mayRetry(&this->super)) {
        return TRUE;
    }
    Exchange_noteSilent(&this->super);
    return FALSE;
}

static void
on_answered(void *owner, const UpstreamNotice_t *notice)
{
    const StreamExchange_t *this = owner;
    Exchange_noteNotice(&this->super, notice);
}

static const AttemptEvents_t attempt_events = {
    .answered = on_answered,
    .started = on_started,
    .token = on_token,
    .silent = on_silent,
    .ended = on_ended,
};

static void
start_attempt(StreamExchange_t *this, Upstream_t *upstream, const char *path,
              GBytes *body, const char *reason)
{
    Exchange_t *super = &this->super;
    const LimitsSection_t *limits = &super->context->settings->limits;
    AttemptSpec_t spec = {
        .upstream = upstream,
        .wire = this->wire,
        .path = path,
        .body = body,
        .first_index = this->start_offset + this->tokens,
        .event_max = (gsize)limits->event_max,
        .head_max = (gsize)limits->max_header,
        .fresh = !super->repeatable || this->was_stale,
        .is_resume = this->is_resume,
        .connect_ms = limits->connect_timeout_ms,
        .first_token_ms = limits->first_token_timeout_ms,
        .token_ms = limits->token_timeout_ms,
    };
    Exchange_noteAttempt(super, upstream, reason);
    this->attempt =
        Attempt_start(super->context->base, &spec, &attempt_events, this);
    g_bytes_unref(body);
}

/* A stream that can be continued on another engine does not wait for the end
 * of its upstream's backoff. */
static gboolean
should_leave_upstream(const StreamExchange_t *this)
{
    const Upstream_t *upstream = this->stream.upstream;
    return this->super.repeatable && this->prompt &&
           UpstreamBackoff_leftMs(&upstream->backoff, Clock_nowMs()) > 0;
}

static void
resume(Exchange_t *super)
{
    StreamExchange_t *this = (StreamExchange_t *)super;
    if (should_leave_upstream(this)) {
        abandon(super);
        Exchange_place(super);
        return;
    }
    this->resume_pending =
        !ExchangeCapacity_acquireSame(super, this->stream.upstream);
    if (this->resume_pending) {
        return;
    }
    this->is_resume = TRUE;
    this->resumes++;
    GBytes *body = this->wire->resume_body(this->stream.stream,
                                           this->start_offset + this->tokens);
    start_attempt(this, this->stream.upstream, this->wire->resume_path, body,
                  "resume");
}

static void
start_new_stream(StreamExchange_t *this, const PlacerResult_t *placer_result)
{
    const Choice_t *choice = &placer_result->choice;
    EngineStreamRequest_t stream_request = {
        .prompt = this->prompt,
        .salt = placer_result->salt,
        .priority = this->super.priority,
        .incarnation = choice->upstream->incarnation,
        .weights = placer_result->weights,
        .sent_text = this->text,
        .sent_tokens = this->tokens,
    };
    guint tokens = placer_result->placement.prompt_tokens;
    this->is_resume = FALSE;
    this->placement = placer_result->placement;
    this->expected_cached = choice->expected_cached;
    this->uncached_tokens = tokens - MIN(choice->expected_cached, tokens);
    choice->upstream->pending_tokens += this->uncached_tokens;
    start_attempt(this, choice->upstream, this->wire->start_path(this->prompt),
                  this->wire->start_body(&stream_request), choice->reason);
    this->super.attempt_trace->candidates = choice->candidates;
}

/* Returns FALSE if the model is no longer declared. */
static gboolean
choose(StreamExchange_t *this, PlacerResult_t *placer_result)
{
    Exchange_t *super = &this->super;
    PlacementConstraints_t constraints = ExchangeCapacity_terms(super);
    gboolean is_declared =
        Placer_place(super->context, this->prompt, super->customer->str,
                     &constraints, placer_result);
    if (!is_declared || placer_result->choice.upstream ||
        !constraints.permitted) {
        return is_declared;
    }
    ExchangeCapacity_release(super);
    constraints.permitted = NULL;
    return Placer_place(super->context, this->prompt, super->customer->str,
                        &constraints, placer_result);
}

static void
place(Exchange_t *super)
{
    StreamExchange_t *this = (StreamExchange_t *)super;
    RunState_t run = Exchange_runState(super);
    PlacerResult_t placer_result;
    if (this->resume_pending) {
        resume(super);
    }
    else if (!choose(this, &placer_result)) {
        Exchange_refuse(super, REFUSAL_UNKNOWN_MODEL, run, NULL);
    }
    else if (!placer_result.choice.upstream) {
        ExchangeCapacity_refuse(super, &placer_result.placement);
    }
    else if (ExchangeCapacity_acquire(super, placer_result.choice.upstream)) {
        start_new_stream(this, &placer_result);
    }
}

static const ExchangeClass_t class = {
    .destroy = destroy,
    .place = place,
    .drop = drop,
    .refuse = refuse,
    .add_recovery_input = add_recovery_input,
    .resume = resume,
    .abandon = abandon,
    .log_end = log_end,
};

/* A resume by the caller can only use the engine that has the stream. */
static void
place_resume(StreamExchange_t *this)
{
    Exchange_t *super = &this->super;
    Upstream_t *upstream = UpstreamSet_find(super->context->upstreams,
                                            this->resume_point->upstream->str);
    if (!upstream || upstream->incarnation > this->resume_point->incarnation) {
        Exchange_refuse(super, REFUSAL_RESUME_GONE, RUN_DONE, NULL);
        return;
    }
    super->sent = TRUE;
    this->start_offset = this->resume_point->offset;
    StreamHandle_restore(&this->stream, upstream, this->resume_point);
    resume(super);
}

/* Customers share no cached prefixes. */
static PromptParts_t
read_parts(const StreamExchangeSpec_t *spec, guint64 ids[PROMPT_LEVELS_MAX])
{
    guint count = spec->prompt ? spec->prompt->level_count : 0;
    for (guint i = 0; i < count; i++) {
        ids[i] = spec->prompt->levels[i].hash;
    }
    return (PromptParts_t){spec->caller->customer->name->str, ids, count};
}

static StreamExchange_t *
create(Context_t *context, const StreamExchangeSpec_t *spec)
{
    const Caller_t *caller = spec->caller;
    const Customer_t *customer = caller->customer->spec;
    g_autoptr(GBytes) body =
        spec->prompt ? Http_copyBody(spec->request) : NULL;
    StreamExchange_t *this = g_new0(StreamExchange_t, 1);
    guint64 part_ids[PROMPT_LEVELS_MAX];
    ExchangeSpec_t base = {
        .id = spec->id,
        .customer = caller->customer->name->str,
        .customer_class = customer->customer_class->str,
        .target =
            spec->prompt ? spec->prompt->model->str : spec->resume->model->str,
        .priority = caller->priority,
        .deadline_ms = caller->deadline_ms,
        .repeatable = caller->repeatable,
        .max_attempts = (guint)context->settings->limits.max_attempts,
        .path = evhttp_request_get_uri(spec->request),
        .parts = read_parts(spec, part_ids),
        .body = body,
    };
    Exchange_init(&this->super, &class, context, &base);
    this->wire = &EngineHttp_wire;
    this->prompt = spec->prompt;
    this->resume_point = spec->resume;
    this->text = g_string_new(NULL);
    this->copies += base.repeatable ? 1 : 0;
    this->copies += spec->prompt && !spec->prompt->stream ? 1 : 0;
    return this;
}

/* Only for new requests: the tokens of a resumed one were charged when it
 * started. */
static RateRequest_t
rate_request(const StreamExchange_t *this, const StreamExchangeSpec_t *spec)
{
    double tokens =
        (double)Prompt_tokens(this->prompt) + (double)this->prompt->max_tokens;
    return Caller_makeRateRequest(spec->caller, this->super.customer->str,
                                  tokens);
}

void
StreamExchange_start(Context_t *context, const StreamExchangeSpec_t *spec)
{
    StreamExchange_t *this = create(context, spec);
    AnswerSpec_t answer_spec = {
        .request = spec->request,
        .chat = spec->chat,
        .stream = !spec->prompt || spec->prompt->stream,
        .id = spec->id,
        .model = this->super.target->str,
        .buffer_max = (gsize)context->settings->limits.stream_buffer,
        .deferred_calls = context->deferred_calls,
    };
    this->answer =
        Answer_create(context->base, &answer_spec, &answer_events, this);
    Exchange_begin(&this->super);
    if (this->resume_point) {
        place_resume(this);
    }
    else {
        RateRequest_t rate = rate_request(this, spec);
        Exchange_admit(&this->super, &rate, spec->caller->key);
    }
}
