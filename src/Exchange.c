#include "Exchange.h"

#include "Clock.h"
#include "ExchangeLog.h"
#include "Random.h"

#define MAX_BACKOFF_DOUBLINGS 6
/* Interval at which the deadline is checked. Timers do not count the time
 * during which the machine is suspended, so with a single timer the request
 * would be held that much longer than its caller waits. */
#define DEADLINE_CHECK_MS 500

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
on_reap(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Exchange_t *this = data;
    this->class->destroy(this);
}

void
Exchange_place(Exchange_t *this)
{
    if (this->over || this->caller_left) {
        return;
    }
    if (Exchange_isQuarantined(this)) {
        Exchange_refuseQuarantined(this);
        return;
    }
    this->class->place(this);
}

static void
on_backoff(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Exchange_place(data);
}

/* One timer serves the next attempt, the grace period and the destruction, as
 * only one of them is pending at a time. */
static void
restart_next_timer(Exchange_t *this, event_callback_fn callback, gint64 ms)
{
    event_free(this->next_timer);
    this->next_timer = Clock_timer(this->context->base, callback, this);
    Clock_arm(this->next_timer, ms);
}

static void
end_exchange(Exchange_t *this, const char *outcome, RunState_t run)
{
    this->over = TRUE;
    if (this->once_guard) {
        OnceGuard_end(this->once_guard, run);
        this->once_guard = NULL;
    }
    this->context->open_requests--;
    OpenRequests_remove(this->context->open, this);
    CrashGuard_removeRequest(this->context->crashes, this);
    CustomerLimits_release(this->context->limits, this->customer->str);
    RateGate_release(&this->rate_gate, run != RUN_NOT);
    UpstreamGate_release(&this->upstream_gate);
    ExchangeLog_end(this, outcome);
    this->trace->outcome = outcome;
    Traces_add(this->context->traces, this->trace);
    evtimer_del(this->deadline_timer);
    restart_next_timer(this, on_reap, 0);
}

static void
abandon_stream(Exchange_t *this)
{
    if (this->class->abandon) {
        this->class->abandon(this);
    }
}

/* Stops counting the attempt as in flight at its upstream. */
static void
release_attempt(Exchange_t *this, const char *outcome)
{
    if (!this->upstream) {
        return;
    }
    this->upstream->in_flight--;
    this->upstream->probing = FALSE;
    this->attempt_trace->outcome = outcome;
    set_upstream(&this->upstream, NULL);
}

static void
cancel_attempt(Exchange_t *this, const char *outcome)
{
    if (this->upstream) {
        this->sent = this->class->drop(this) || this->sent;
        release_attempt(this, outcome);
    }
}

static void
arm_deadline(Exchange_t *this)
{
    gint64 left_ms = this->deadline_ms - Clock_nowMs();
    Clock_arm(this->deadline_timer, MIN(left_ms, DEADLINE_CHECK_MS));
}

static void
give_up(Exchange_t *this, const char *outcome, Refusal_t refusal)
{
    cancel_attempt(this, outcome);
    abandon_stream(this);
    Exchange_refuse(this, refusal, Exchange_runState(this), NULL);
}

static void
on_deadline(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Exchange_t *this = data;
    if (Clock_nowMs() < this->deadline_ms) {
        arm_deadline(this);
        return;
    }
    give_up(this, "deadline", REFUSAL_DEADLINE_PASSED);
}

static void
on_router_ends(void *request)
{
    give_up(request, "stopping", REFUSAL_STOPPING);
}

void
Exchange_init(Exchange_t *this, const ExchangeClass_t *class,
              Context_t *context, const ExchangeSpec_t *spec)
{
    this->class = class;
    this->context = context;
    this->id = g_string_new(spec->id);
    this->customer = g_string_new(spec->customer);
    this->customer_class = g_string_new(spec->customer_class);
    this->target = g_string_new(spec->target);
    this->priority = spec->priority;
    this->deadline_ms = spec->deadline_ms;
    this->repeatable = spec->repeatable;
    this->max_attempts = spec->max_attempts;
    this->started_us = Clock_nowUs();
    if (spec->body) {
        RequestIdentity_t identity = {spec->customer, spec->path, spec->body};
        this->request_hashes = RequestHashes_create(&identity, &spec->parts);
    }
    this->trace = Trace_create(spec->id, spec->customer, spec->target);
    this->deadline_timer = Clock_timer(context->base, on_deadline, this);
    this->next_timer = Clock_timer(context->base, on_backoff, this);
}

void
Exchange_clear(Exchange_t *this)
{
    event_free(this->deadline_timer);
    event_free(this->next_timer);
    set_upstream(&this->upstream, NULL);
    set_upstream(&this->avoid, NULL);
    g_string_free(this->id, TRUE);
    g_string_free(this->customer, TRUE);
    g_string_free(this->customer_class, TRUE);
    g_string_free(this->target, TRUE);
    if (this->key) {
        g_string_free(this->key, TRUE);
    }
    if (this->request_hashes) {
        RequestHashes_destroy(this->request_hashes);
    }
}

void
Exchange_begin(Exchange_t *this)
{
    this->context->open_requests++;
    OpenRequests_add(this->context->open, this, on_router_ends);
    CrashGuard_addRequest(this->context->crashes, this);
    RetryBudget_setRouterCount(
        this->context->budget,
        Membership_countActive(this->context->membership), Clock_nowMs());
    RetryBudget_deposit(this->context->budget, this->target->str);
    arm_deadline(this);
}

void
Exchange_forward(Exchange_t *this)
{
    end_exchange(this, "forwarded", RUN_NOT);
    this->class->forward(this);
}

void
Exchange_refuseWith(Exchange_t *this, const RefusalNotice_t *notice)
{
    if (notice->run == RUN_NOT && this->class->may_forward &&
        this->class->may_forward(this, notice->refusal)) {
        Exchange_forward(this);
        return;
    }
    Context_countRefusal(this->context, notice->refusal, notice->run,
                         this->id->str, this->target->str,
                         this->customer_class->str, notice->detail);
    this->class->refuse(this, notice);
    end_exchange(this, Refusal_spec(notice->refusal)->code, notice->run);
}

static void
on_claimed(gboolean granted, Refusal_t refusal, RunState_t run, void *data)
{
    Exchange_t *this = data;
    if (this->caller_left) {
        return; /* end_exchange(), which releases the claim, follows */
    }
    if (granted) {
        Exchange_place(this);
        return;
    }
    Exchange_refuse(this, refusal, run, NULL);
}

static void
claim_key(Exchange_t *this)
{
    Refusal_t refusal = REFUSAL_KEY_REQUIRED;
    OnceGuardSpec_t spec = {
        .claims = this->context->claims,
        .customer = this->customer->str,
        .target = this->target->str,
        .key = this->key->str,
        .horizon_ms = this->context->settings->platform.claim_horizon_ms,
        .deadline_ms = this->deadline_ms,
    };
    this->once_guard = OnceGuard_create(&spec, &refusal);
    if (!this->once_guard) {
        Exchange_refuse(this, refusal, RUN_NOT, NULL);
        return;
    }
    OnceGuard_claim(this->once_guard, on_claimed, this);
}

static void
on_rate_verdict(void *owner, const RateVerdict_t *verdict)
{
    Exchange_t *this = owner;
    RefusalNotice_t notice = {REFUSAL_RATE_LIMITED, RUN_NOT, NULL,
                              verdict->retry_after_ms};
    if (this->over || this->caller_left) {
        return;
    }
    if (!verdict->admitted) {
        ExchangeLog_rateLimited(this, verdict);
        Exchange_refuseWith(this, &notice);
    }
    else if (this->key && !this->repeatable) {
        claim_key(this);
    }
    else {
        Exchange_place(this);
    }
}

void
Exchange_admit(Exchange_t *this, const RateRequest_t *rate, const char *key)
{
    this->key = key ? g_string_new(key) : NULL;
    RateGate_acquire(&this->rate_gate, this->context->rates, rate,
                     on_rate_verdict, this);
}

void
Exchange_noteAttempt(Exchange_t *this, Upstream_t *upstream,
                     const char *reason)
{
    this->attempts++;
    this->attempt_trace =
        Trace_addAttempt(this->trace, upstream->name->str, reason);
    this->attempt_trace->started_us = Clock_nowUs() - this->started_us;
    this->silence_counted = FALSE;
    this->begun_noted = FALSE;
    set_upstream(&this->upstream, upstream);
    this->origin = NoticeOrigin_begin(upstream, this->id->str);
    UpstreamGate_consume(&this->upstream_gate, upstream);
    ExchangeLog_sentToLimited(this);
    ExchangeLog_sentToLeaving(this);
    ExchangeLog_sentDuringBackoff(this);
    UpstreamBackoff_noteSent(&upstream->backoff, Clock_nowMs());
    upstream->in_flight++;
    upstream->probing = upstream->ejections > 0;
}

void
Exchange_noteNotice(const Exchange_t *this, const UpstreamNotice_t *notice)
{
    UpstreamNotices_apply(this->context->notices, &this->origin, notice);
}

static gboolean
is_upstream_fault(AttemptEnd_t end)
{
    return end != ATTEMPT_COMPLETE && end != ATTEMPT_CLOSED &&
           end != ATTEMPT_NOT_RUN && end != ATTEMPT_REJECTED &&
           end != ATTEMPT_STALE && end != ATTEMPT_TAKEN_BACK &&
           end != ATTEMPT_WITHDRAWN && end != ATTEMPT_MOVED &&
           end != ATTEMPT_OTHER_START;
}

static void
note_failure(Exchange_t *this, AttemptEnd_t end)
{
    const LimitsSection_t *limits = &this->context->settings->limits;
    if (end == ATTEMPT_MISMATCH) {
        Counters_add(this->context->counters, "answer_mismatch_total", NULL,
                     1);
    }
    if (end == ATTEMPT_OVERSIZED) {
        Context_countOversized(this->context, this->id->str,
                               this->upstream->name->str);
    }
    if (is_upstream_fault(end) && !this->silence_counted &&
        Upstream_noteFailure(this->upstream, (guint)limits->eject_failures,
                             limits->eject_ms, Clock_nowMs())) {
        ExchangeLog_ejected(this, end);
    }
}

/* When the answer of the last attempt began, 0 if it has not. */
static gint64
began_ms(const Exchange_t *this)
{
    gint64 first_us = this->attempt_trace->first_token_us;
    return first_us > 0 ? (this->started_us + first_us) / CLOCK_US_PER_MS : 0;
}

static gint64
sent_ms(const Exchange_t *this)
{
    gint64 sent_us = this->started_us + this->attempt_trace->started_us;
    return sent_us / CLOCK_US_PER_MS;
}

void
Exchange_noteCrashEvidence(const Exchange_t *this, Upstream_t *upstream,
                           AttemptEnd_t end, gint64 began_ms)
{
    CrashGuard_t *crashes = this->context->crashes;
    gboolean is_lost = end == ATTEMPT_CUT || end == ATTEMPT_STALE;
    AttemptLoss_t loss = {
        .request = this->id->str,
        .upstream = upstream,
        .sent_ms = sent_ms(this),
        .connection_lost = is_lost,
        .began_ms = began_ms,
    };
    if (end == ATTEMPT_NOT_SENT) {
        CrashGuard_noteConnectFailed(crashes, upstream);
    }
    else if (this->request_hashes && (is_lost || end == ATTEMPT_SILENT)) {
        CrashGuard_noteLostAttempt(crashes, this->request_hashes, &loss);
    }
}

static void
note_complete(const Exchange_t *this)
{
    CrashGuard_noteComplete(this->context->crashes, this->request_hashes,
                            this->avoid, sent_ms(this), began_ms(this));
}

void
Exchange_noteAttemptEnd(Exchange_t *this, AttemptEnd_t end)
{
    note_failure(this, end);
    if (end == ATTEMPT_COMPLETE || end == ATTEMPT_CLOSED) {
        Upstream_noteSuccess(this->upstream);
    }
    if (!Recovery_isUnsent(end) && end != ATTEMPT_NOT_RUN &&
        end != ATTEMPT_REJECTED) {
        this->sent = TRUE;
    }
    set_upstream(&this->avoid, this->upstream);
    release_attempt(this, Recovery_endName(end));
    Exchange_noteCrashEvidence(this, this->avoid, end, began_ms(this));
    if (end == ATTEMPT_COMPLETE && this->request_hashes) {
        note_complete(this);
    }
}

void
Exchange_noteProgress(Exchange_t *this)
{
    gint64 began = began_ms(this);
    if (!this->begun_noted && this->request_hashes && began > 0 &&
        Clock_nowMs() - began >= PART_ANSWER_BEGUN_MS) {
        this->begun_noted = TRUE;
        CrashGuard_noteBegun(this->context->crashes, this->request_hashes,
                             began);
    }
}

void
Exchange_clearAvoided(Exchange_t *this)
{
    set_upstream(&this->avoid, NULL);
}

static RecoveryInput_t
recovery_input(const Exchange_t *this, AttemptEnd_t end)
{
    RecoveryInput_t input = {
        .end = end,
        .sent = this->sent,
        .repeatable = this->repeatable,
        .attempts = this->attempts,
        .max_attempts = this->max_attempts,
        .budget =
            Recovery_isUnsent(end) ||
            RetryBudget_hasRetry(this->context->budget, this->target->str),
        .time_left = Clock_nowMs() < this->deadline_ms,
    };
    if (this->class->add_recovery_input) {
        this->class->add_recovery_input(this, &input);
    }
    return input;
}

gboolean
Exchange_mayRetry(const Exchange_t *this)
{
    RecoveryInput_t input = recovery_input(this, ATTEMPT_SILENT);
    input.sent = TRUE;
    RecoveryDecision_t decision = Recovery_decide(&input);
    return decision.action != RECOVERY_GIVE_UP;
}

void
Exchange_noteSilent(Exchange_t *this)
{
    if (this->silence_counted) {
        return;
    }
    RecoveryInput_t input = recovery_input(this, ATTEMPT_SILENT);
    ExchangeLog_silentAttempt(this, &input);
    note_failure(this, ATTEMPT_SILENT);
    this->silence_counted = TRUE;
}

/* The first retry is immediate, as it goes to another upstream. Later ones
 * back off exponentially with full jitter. */
static void
schedule_retry(Exchange_t *this)
{
    if (this->attempts <= 1) {
        Clock_arm(this->next_timer, 0);
        return;
    }
    guint doublings = MIN(this->attempts - 1, MAX_BACKOFF_DOUBLINGS);
    gint64 max_delay_ms =
        (this->context->settings->limits.backoff_ms << doublings) * 2;
    Clock_arm(this->next_timer,
              max_delay_ms > 0 ? Random_below((guint32)max_delay_ms) : 0);
}

void
Exchange_recover(Exchange_t *this, AttemptEnd_t end, const char *detail)
{
    RecoveryInput_t input = recovery_input(this, end);
    RecoveryDecision_t decision = Recovery_decide(&input);
    ExchangeLog_recovery(this, &input, &decision);
    if (decision.action == RECOVERY_GIVE_UP) {
        abandon_stream(this);
        Exchange_refuse(this, decision.refusal, decision.run, detail);
        return;
    }
    if (!Recovery_isUnsent(end) && decision.action != RECOVERY_RESUME) {
        RetryBudget_withdraw(this->context->budget, this->target->str);
    }
    Context_countRetry(this->context, Recovery_endName(end), this->target->str,
                       this->customer_class->str);
    if (decision.action == RECOVERY_RESUME) {
        this->class->resume(this);
        return;
    }
    abandon_stream(this);
    schedule_retry(this);
}

gboolean
Exchange_isQuarantined(const Exchange_t *this)
{
    CrashVerdict_t verdict;
    return this->request_hashes &&
           CrashGuard_isQuarantined(this->context->crashes,
                                    this->request_hashes, &verdict);
}

void
Exchange_refuseQuarantined(Exchange_t *this)
{
    CrashVerdict_t verdict = {0};
    CrashGuard_t *crashes = this->context->crashes;
    CrashGuard_isQuarantined(crashes, this->request_hashes, &verdict);
    CrashGuard_logQuarantined(crashes, this->request_hashes, &verdict,
                              this->id->str);
    RefusalNotice_t notice = {verdict.is_part ? REFUSAL_PART_CRASHES_UPSTREAMS
                                              : REFUSAL_CRASHES_UPSTREAMS,
                              Exchange_runState(this), NULL,
                              (guint)CrashVerdict_waitMs(&verdict)};
    abandon_stream(this);
    Exchange_refuseWith(this, &notice);
}

/* An attempt that has produced a token continues: whether it completes shows
 * whether the request is harmless. */
void
Exchange_recheckQuarantine(void *exchange)
{
    Exchange_t *this = exchange;
    gboolean is_queued = this->upstream && !this->over && !this->caller_left &&
                         this->attempt_trace->first_token_us == 0;
    if (is_queued && Exchange_isQuarantined(this)) {
        cancel_attempt(this, "held");
        Exchange_refuseQuarantined(this);
    }
}

void
Exchange_finish(Exchange_t *this, AttemptEnd_t end)
{
    Counters_add(this->context->counters, "answers_total", NULL, 1);
    Counters_observe(this->context->counters, "answer_us",
                     (guint64)(Clock_nowUs() - this->started_us));
    end_exchange(this, Recovery_endName(end), RUN_DONE);
}

void
Exchange_refuse(Exchange_t *this, Refusal_t refusal, RunState_t run,
                const char *detail)
{
    RefusalNotice_t notice = {refusal, run, detail, 0};
    Exchange_refuseWith(this, &notice);
}

static void
on_grace_expired(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Exchange_t *this = data;
    abandon_stream(this);
    end_exchange(this, Refusal_spec(this->left_reason)->code,
                 Exchange_runState(this));
}

void
Exchange_noteCallerLeft(Exchange_t *this, Refusal_t reason, gint64 grace_ms)
{
    this->caller_left = TRUE;
    this->left_reason = reason;
    cancel_attempt(this, Refusal_spec(reason)->code);
    Context_countRefusal(this->context, reason, Exchange_runState(this),
                         this->id->str, this->target->str,
                         this->customer_class->str, NULL);
    evtimer_del(this->deadline_timer);
    restart_next_timer(this, on_grace_expired, grace_ms);
}

RunState_t
Exchange_runState(const Exchange_t *this)
{
    RecoveryInput_t input = {.sent = this->sent};
    if (this->class->add_recovery_input) {
        this->class->add_recovery_input(this, &input);
    }
    if (input.tokens > 0) {
        return RUN_DONE;
    }
    return input.sent ? RUN_MAYBE : RUN_NOT;
}
