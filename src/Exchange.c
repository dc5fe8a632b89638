#include "Exchange.h"

#include <string.h>

#include "Answer.h"
#include "Attempt.h"
#include "Clock.h"
#include "EngineHttp.h"
#include "Log.h"
#include "OnceGuard.h"
#include "Placer.h"
#include "Random.h"
#include "Recovery.h"
#include "StreamHandle.h"

#define MAX_BACKOFF_DOUBLINGS 6

struct Exchange {
    Context_t *context;
    const EngineWire_t *wire;
    Answer_t *answer;
    Prompt_t *prompt;
    ResumePoint_t *resume;
    GString *id;
    GString *customer;
    GString *customer_class;
    GString *target;
    gint64 priority;
    gint64 started_us;
    gint64 deadline_ms;
    gboolean repeatable;
    OnceGuard_t *guard; /* of a request that may run only once */
    struct event *deadline;
    struct event *backoff;
    Trace_t *trace;
    TraceAttempt_t *attempt_trace;

    Placement_t placement;
    Attempt_t *attempt;
    Upstream_t *upstream; /* of the attempt under way */
    guint missing_tokens; /* counted in upstream->pending_tokens */
    guint expected_cached;
    Upstream_t *avoid;
    gboolean is_resume; /* the attempt under way asks for a rest */

    StreamHandle_t stream;
    guint resumes;

    GString *text;       /* tokens that the caller has */
    guint64 first_token; /* place of the first of them in the whole answer */
    guint64 tokens;
    guint prompt_tokens;
    guint cached_tokens;
    guint attempts;
    gboolean sent;
    gboolean left; /* the caller is gone */
    gboolean over;
};

static void place(Exchange_t *this);
static void resume_stream(Exchange_t *this);

static void
set_upstream(Upstream_t **slot, Upstream_t *upstream)
{
    if (upstream) {
        Upstream_ref(upstream);
    }
    if (*slot) {
        Upstream_unref(*slot);
    }
    *slot = upstream;
}

static void
Exchange_destroy(Exchange_t *this)
{
    Answer_destroy(this->answer);
    if (this->prompt) {
        Prompt_destroy(this->prompt);
    }
    if (this->resume) {
        ResumePoint_destroy(this->resume);
    }
    event_free(this->deadline);
    event_free(this->backoff);
    set_upstream(&this->upstream, NULL);
    set_upstream(&this->avoid, NULL);
    StreamHandle_clear(&this->stream);
    g_string_free(this->id, TRUE);
    g_string_free(this->customer, TRUE);
    g_string_free(this->customer_class, TRUE);
    g_string_free(this->target, TRUE);
    g_string_free(this->text, TRUE);
    g_free(this);
}

static void
reap(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Exchange_destroy(data);
}

static void
settle_pending(Exchange_t *this)
{
    if (this->upstream) {
        this->upstream->pending_tokens -= this->missing_tokens;
    }
    this->missing_tokens = 0;
}

/* The attempt no longer counts against its upstream. */
static void
drop_attempt(Exchange_t *this, const char *outcome)
{
    if (!this->attempt) {
        return;
    }
    this->attempt = NULL;
    settle_pending(this);
    this->upstream->in_flight--;
    this->upstream->probing = FALSE;
    this->attempt_trace->outcome = outcome;
    set_upstream(&this->upstream, NULL);
}

static void
log_end(const Exchange_t *this, const char *outcome)
{
    Log_begin(LOG_LEVEL_INFO, "request_done");
    Log_text("request", this->id->str);
    Log_text("customer", this->customer->str);
    Log_text("service", this->target->str);
    Log_text("outcome", outcome);
    Log_number("attempts", this->attempts);
    Log_number("resumes", this->resumes);
    Log_number("tokens", (gint64)this->tokens);
    Log_number("prompt_tokens", this->prompt_tokens);
    Log_number("cached_tokens", this->cached_tokens);
    Log_end();
}

static void
end_exchange(Exchange_t *this, const char *outcome, RunState_t run)
{
    this->over = TRUE;
    if (this->guard) {
        OnceGuard_end(this->guard, run);
    }
    this->context->open_requests--;
    CustomerLimits_leave(this->context->limits, this->customer->str);
    log_end(this, outcome);
    this->trace->outcome = outcome;
    Traces_keep(this->context->traces, this->trace);
    evtimer_del(this->deadline);
    event_free(this->backoff);
    this->backoff = Clock_timer(this->context->base, reap, this);
    Clock_arm(this->backoff, 0);
}

static void
cancel_stream(const Exchange_t *this)
{
    StreamHandle_cancel(&this->stream, this->context->base, this->wire,
                        this->context->settings->limits.token_timeout_ms);
}

static void
refuse(Exchange_t *this, Refusal_t refusal, RunState_t run, const char *detail)
{
    Context_countRefusal(this->context, refusal, run, this->id->str,
                         this->target->str, this->customer_class->str);
    Answer_refuse(this->answer, refusal, run, detail);
    end_exchange(this, Refusal_spec(refusal)->code, run);
}

static RunState_t
run_state(const Exchange_t *this)
{
    if (this->tokens > 0) {
        return RUN_DONE;
    }
    gboolean sent =
        this->sent || (this->attempt && Attempt_wasSent(this->attempt));
    return sent ? RUN_MAYBE : RUN_NOT;
}

static void
on_deadline(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Exchange_t *this = data;
    RunState_t run = run_state(this);
    if (this->attempt) {
        Attempt_cancel(this->attempt);
        drop_attempt(this, "deadline");
    }
    cancel_stream(this);
    refuse(this, REFUSAL_DEADLINE_PASSED, run, NULL);
}

static void
on_grace_over(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Exchange_t *this = data;
    cancel_stream(this);
    end_exchange(this, "caller_left", run_state(this));
}

/* The engine goes on for a while, so that the caller may resume at any
 * router; a resume there takes the stream away from our cancel. */
static void
on_caller_left(void *owner)
{
    Exchange_t *this = owner;
    if (this->over) {
        return;
    }
    this->left = TRUE;
    Context_countRefusal(this->context, REFUSAL_CALLER_LEFT, run_state(this),
                         this->id->str, this->target->str,
                         this->customer_class->str);
    if (this->attempt) {
        Attempt_cancel(this->attempt);
        this->sent = this->sent || Attempt_wasSent(this->attempt);
        drop_attempt(this, "caller_left");
    }
    event_free(this->backoff);
    this->backoff = Clock_timer(this->context->base, on_grace_over, this);
    evtimer_del(this->deadline);
    gboolean may_return =
        this->prompt && this->prompt->stream && this->stream.upstream;
    Clock_arm(this->backoff,
              may_return ? this->context->settings->limits.resume_grace_ms
                         : 0);
}

static void
on_caller_drained(void *owner)
{
    Exchange_t *this = owner;
    if (this->attempt) {
        Attempt_release(this->attempt);
    }
}

static const AnswerEvents_t answer_events = {
    .left = on_caller_left,
    .drained = on_caller_drained,
};

static void
seal_token(Exchange_t *this)
{
    GString *sealed = StreamHandle_seal(
        &this->stream, this->context->settings->keys.seal, this->customer->str,
        this->id->str, this->target->str);
    Answer_setToken(this->answer, sealed);
    g_string_free(sealed, TRUE);
}

static void
note_incarnation(const Exchange_t *this, guint64 incarnation)
{
    if (Upstream_noteIncarnation(this->upstream, incarnation, Clock_nowMs())) {
        Membership_noteUpstream(this->context->membership,
                                this->upstream->name->str);
    }
}

static void
note_head(const Exchange_t *this, const EngineHead_t *head)
{
    Upstream_t *upstream = this->upstream;
    gint64 now_ms = Clock_nowMs();
    note_incarnation(this, head->incarnation);
    Upstream_noteWeights(upstream, head->weights);
    Upstream_noteSuccess(upstream);
    upstream->reported_tokens = head->waiting_tokens;
    upstream->reported_running = head->running;
    upstream->reported_at_ms = now_ms;
}

static void
on_started(void *owner, const EngineHead_t *head)
{
    Exchange_t *this = owner;
    note_head(this, head);
    StreamHandle_set(&this->stream, this->upstream, head);
    seal_token(this);
    if (this->is_resume) {
        return;
    }
    this->prompt_tokens = head->prompt_tokens;
    this->cached_tokens = head->cached_tokens;
    this->attempt_trace->prompt_tokens = head->prompt_tokens;
    this->attempt_trace->cached_tokens = head->cached_tokens;
    Counters_add(this->context->counters, "prompt_tokens_total", NULL,
                 head->prompt_tokens);
    Counters_add(this->context->counters, "cached_tokens_total", NULL,
                 head->cached_tokens);
    Policy_learn(this->context->policy, &this->placement, this->upstream,
                 this->expected_cached, head->cached_tokens);
}

static void
note_first_token(Exchange_t *this)
{
    gint64 now_us = Clock_nowUs();
    if (this->attempt_trace->first_token_us == 0) {
        this->attempt_trace->first_token_us = now_us - this->started_us;
        settle_pending(this);
    }
    if (this->tokens == 0) {
        Counters_observe(this->context->counters, "first_token_us",
                         (guint64)(now_us - this->started_us));
    }
}

static void
on_token(void *owner, const EngineToken_t *token)
{
    Exchange_t *this = owner;
    note_first_token(this);
    this->tokens++;
    this->attempt_trace->tokens++;
    if (this->repeatable) {
        g_string_append_len(this->text, token->text, (gssize)token->length);
    }
    Answer_token(this->answer, token->text, token->length, token->finish,
                 this->first_token + this->tokens);
    if (Answer_isFull(this->answer) && !Attempt_isHeld(this->attempt)) {
        Counters_add(this->context->counters, "streams_held_total", NULL, 1);
        Attempt_hold(this->attempt);
    }
}

static void
finish(Exchange_t *this)
{
    Answer_finish(this->answer, this->prompt_tokens, this->tokens,
                  this->cached_tokens);
    Counters_add(this->context->counters, "answers_total", NULL, 1);
    end_exchange(this, "whole", RUN_DONE);
}

static RecoveryFacts_t
facts_of(const Exchange_t *this, AttemptEnd_t end)
{
    const LimitsSection_t *limits = &this->context->settings->limits;
    return (RecoveryFacts_t){
        .end = end,
        .was_resume = this->is_resume,
        .progressed = this->attempt_trace->tokens > 0,
        .stream_known = this->stream.upstream != NULL,
        .resumes = this->resumes,
        .tokens = this->tokens,
        .sent = this->sent,
        .repeatable = this->repeatable && !this->resume,
        .attempts = this->attempts,
        .max_attempts = (guint)limits->max_attempts,
        .budget = RetryBudget_hasOne(this->context->budget),
        .time_left = Clock_nowMs() < this->deadline_ms,
    };
}

static void
on_backoff(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    place(data);
}

/* At once the first time, as it goes elsewhere; then with full jitter,
 * doubled with each attempt. */
static void
place_later(Exchange_t *this)
{
    if (this->attempts <= 1) {
        Clock_arm(this->backoff, 0);
        return;
    }
    guint doublings = MIN(this->attempts - 1, MAX_BACKOFF_DOUBLINGS);
    gint64 most =
        (this->context->settings->limits.backoff_ms << doublings) * 2;
    Clock_arm(this->backoff, most > 0 ? Random_below((guint32)most) : 0);
}

static gboolean
is_upstream_fault(AttemptEnd_t end)
{
    return end != ATTEMPT_WHOLE && end != ATTEMPT_NOT_RUN &&
           end != ATTEMPT_REJECTED;
}

static void
note_failure(Exchange_t *this, AttemptEnd_t end)
{
    const LimitsSection_t *limits = &this->context->settings->limits;
    if (end == ATTEMPT_MISMATCH) {
        Counters_add(this->context->counters, "answer_mismatch_total", NULL,
                     1);
    }
    if (is_upstream_fault(end) &&
        Upstream_noteFailure(this->upstream, (guint)limits->eject_failures,
                             limits->eject_ms, Clock_nowMs())) {
        Log_begin(LOG_LEVEL_WARNING, "upstream_ejected");
        Log_text("upstream", this->upstream->name->str);
        Log_text("reason", Recovery_endName(end));
        Log_end();
    }
}

static void
recover(Exchange_t *this, AttemptEnd_t end, const char *code)
{
    RecoveryFacts_t facts = facts_of(this, end);
    RecoveryPlan_t plan = Recovery_decide(&facts);
    if (plan.step != RECOVERY_RESUME) {
        cancel_stream(this);
    }
    if (plan.step == RECOVERY_GIVE_UP) {
        if (this->resume && facts.time_left) {
            plan.refusal = REFUSAL_RESUME_GONE;
        }
        refuse(this, plan.refusal, plan.run, code);
        return;
    }
    RetryBudget_withdraw(this->context->budget);
    Context_countRetry(this->context, Recovery_endName(end), this->target->str,
                       this->customer_class->str);
    Log_begin(LOG_LEVEL_INFO, plan.step == RECOVERY_RESUME
                                  ? "stream_resumed"
                                  : "request_placed_again");
    Log_text("request", this->id->str);
    Log_text("reason", Recovery_endName(end));
    Log_number("tokens", (gint64)this->tokens);
    Log_end();
    if (plan.step == RECOVERY_RESUME) {
        resume_stream(this);
        return;
    }
    StreamHandle_clear(&this->stream);
    place_later(this);
}

/* What an engine says of itself as it refuses is news as well. */
static void
note_refusal(const Exchange_t *this, const EngineRefusal_t *refusal)
{
    Upstream_t *upstream = this->upstream;
    note_incarnation(this, refusal->incarnation);
    if (refusal->leaving && !upstream->leaving) {
        Upstream_noteLeaving(upstream, upstream->incarnation);
        Membership_noteUpstream(this->context->membership,
                                upstream->name->str);
        Log_begin(LOG_LEVEL_INFO, "upstream_leaving");
        Log_text("upstream", upstream->name->str);
        Log_text("source", "upstream");
        Log_end();
    }
}

static void
on_ended(void *owner, AttemptEnd_t end, const EngineRefusal_t *refusal)
{
    Exchange_t *this = owner;
    note_failure(this, end);
    if (end != ATTEMPT_NOT_SENT && end != ATTEMPT_NOT_RUN &&
        end != ATTEMPT_REJECTED) {
        this->sent = TRUE;
    }
    if (refusal) {
        note_refusal(this, refusal);
    }
    gboolean is_stale = refusal && refusal->incarnation != 0;
    set_upstream(&this->avoid, is_stale ? NULL : this->upstream);
    drop_attempt(this, Recovery_endName(end));
    if (end == ATTEMPT_WHOLE) {
        finish(this);
        return;
    }
    recover(this, end, refusal ? refusal->code : NULL);
}

static const AttemptEvents_t attempt_events = {
    .started = on_started,
    .token = on_token,
    .ended = on_ended,
};

static void
start_attempt(Exchange_t *this, Upstream_t *upstream, const char *path,
              GBytes *body, const char *reason)
{
    const LimitsSection_t *limits = &this->context->settings->limits;
    AttemptSpec_t spec = {
        .upstream = upstream,
        .wire = this->wire,
        .path = path,
        .body = body,
        .first_index = this->first_token + this->tokens,
        .fresh = !this->repeatable,
        .connect_ms = limits->connect_timeout_ms,
        .first_token_ms = limits->first_token_timeout_ms,
        .token_ms = limits->token_timeout_ms,
    };
    this->attempts++;
    this->attempt_trace =
        Trace_addAttempt(this->trace, upstream->name->str, reason);
    this->attempt_trace->started_us = Clock_nowUs() - this->started_us;
    set_upstream(&this->upstream, upstream);
    upstream->in_flight++;
    upstream->probing = upstream->ejections > 0;
    this->attempt =
        Attempt_start(this->context->base, &spec, &attempt_events, this);
    g_bytes_unref(body);
}

static void
resume_stream(Exchange_t *this)
{
    this->is_resume = TRUE;
    this->resumes++;
    GBytes *body = this->wire->resume_body(this->stream.stream,
                                           this->first_token + this->tokens);
    start_attempt(this, this->stream.upstream, this->wire->resume_path, body,
                  "resume");
}

static void
start_new_stream(Exchange_t *this, const Placing_t *placing)
{
    const Choice_t *choice = &placing->choice;
    EngineOrder_t order = {
        .prompt = this->prompt,
        .salt = placing->salt,
        .priority = this->priority,
        .incarnation = choice->upstream->incarnation,
        .weights = placing->weights,
        .sent_text = this->text,
        .sent_tokens = this->tokens,
    };
    guint tokens = placing->placement.prompt_tokens;
    this->is_resume = FALSE;
    this->placement = placing->placement;
    this->expected_cached = choice->expected_cached;
    this->missing_tokens = tokens - MIN(choice->expected_cached, tokens);
    choice->upstream->pending_tokens += this->missing_tokens;
    start_attempt(this, choice->upstream, this->wire->start_path(this->prompt),
                  this->wire->start_body(&order), choice->reason);
    this->attempt_trace->candidates = choice->candidates;
}

static void
place(Exchange_t *this)
{
    Placing_t placing;
    if (!Placer_place(this->context, this->prompt, this->customer->str,
                      this->avoid, &placing)) {
        refuse(this, REFUSAL_UNKNOWN_MODEL, run_state(this), NULL);
    }
    else if (!placing.choice.upstream) {
        refuse(this, REFUSAL_NO_UPSTREAM, run_state(this), NULL);
    }
    else {
        start_new_stream(this, &placing);
    }
}

/* A resume goes to the engine that has the stream, or nowhere. */
static void
place_resume(Exchange_t *this)
{
    Upstream_t *upstream = UpstreamSet_find(this->context->upstreams,
                                            this->resume->upstream->str);
    if (!upstream || upstream->incarnation > this->resume->incarnation) {
        refuse(this, REFUSAL_RESUME_GONE, RUN_DONE, NULL);
        return;
    }
    this->sent = TRUE;
    this->first_token = this->resume->offset;
    StreamHandle_restore(&this->stream, upstream, this->resume);
    resume_stream(this);
}

static Exchange_t *
create(Context_t *context, const ExchangeSpec_t *spec)
{
    const Caller_t *caller = spec->caller;
    const Customer_t *customer = caller->customer->spec;
    Exchange_t *this = g_new0(Exchange_t, 1);
    this->context = context;
    this->wire = &EngineHttp_wire;
    this->prompt = spec->prompt;
    this->resume = spec->resume;
    this->id = g_string_new(spec->id);
    this->customer = g_string_new(caller->customer->name->str);
    this->customer_class = g_string_new(customer->customer_class->str);
    this->target = g_string_new(spec->prompt ? spec->prompt->model->str
                                             : spec->resume->model->str);
    this->priority = caller->priority;
    this->repeatable = caller->repeatable;
    this->started_us = Clock_nowUs();
    this->deadline_ms = caller->deadline_ms;
    this->text = g_string_new(NULL);
    this->trace =
        Trace_create(spec->id, this->customer->str, this->target->str);
    this->deadline = Clock_timer(context->base, on_deadline, this);
    this->backoff = Clock_timer(context->base, on_backoff, this);
    return this;
}

static void
on_claimed(gboolean granted, Refusal_t refusal, RunState_t run, void *data)
{
    Exchange_t *this = data;
    if (this->left) {
        return; /* about to end, which releases the claim */
    }
    if (granted) {
        place(this);
        return;
    }
    refuse(this, refusal, run, NULL);
}

static void
claim(Exchange_t *this, const char *key)
{
    Refusal_t refusal = REFUSAL_KEY_REQUIRED;
    OnceGuardSpec_t spec = {
        .claims = this->context->claims,
        .customer = this->customer->str,
        .target = this->target->str,
        .key = key,
        .horizon_ms = this->context->settings->platform.claim_horizon_ms,
        .deadline_ms = this->deadline_ms,
    };
    this->guard = OnceGuard_create(&spec, &refusal);
    if (!this->guard) {
        refuse(this, refusal, RUN_NOT, NULL);
        return;
    }
    OnceGuard_claim(this->guard, on_claimed, this);
}

void
Exchange_start(Context_t *context, const ExchangeSpec_t *spec)
{
    const Caller_t *caller = spec->caller;
    Exchange_t *this = create(context, spec);
    AnswerSpec_t form = {
        .request = spec->request,
        .chat = spec->chat,
        .stream = !spec->prompt || spec->prompt->stream,
        .id = spec->id,
        .model = this->target->str,
        .buffer_max = (gsize)context->settings->limits.stream_buffer,
        .turn_end = context->turn_end,
    };
    this->answer = Answer_create(context->base, &form, &answer_events, this);
    context->open_requests++;
    RetryBudget_deposit(context->budget);
    Clock_arm(this->deadline, this->deadline_ms - Clock_nowMs());
    if (this->resume) {
        place_resume(this);
    }
    else if (this->repeatable) {
        place(this);
    }
    else {
        claim(this, caller->key);
    }
}
