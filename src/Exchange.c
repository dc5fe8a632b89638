#include "Exchange.h"

#include "Clock.h"
#include "ExchangeLog.h"
#include "Random.h"

#define MAX_BACKOFF_DOUBLINGS 6
/* The deadline is looked at in such steps: a timer does not count the time for
 * which the machine is suspended, and a request would be held as much longer
 * than its caller waits. */
#define DEADLINE_STEP_MS 500

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
    if (this->over || this->left) {
        return;
    }
    if (Exchange_isHeld(this)) {
        Exchange_refuseHeld(this);
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

/* One timer serves the next attempt, then the grace, then the end. */
static void
run_later(Exchange_t *this, event_callback_fn callback, gint64 ms)
{
    event_free(this->later);
    this->later = Clock_timer(this->context->base, callback, this);
    Clock_arm(this->later, ms);
}

static void
end_exchange(Exchange_t *this, const char *outcome, RunState_t run)
{
    this->over = TRUE;
    if (this->guard) {
        OnceGuard_end(this->guard, run);
        this->guard = NULL;
    }
    this->context->open_requests--;
    CrashGuard_leave(this->context->crashes, this);
    CustomerLimits_leave(this->context->limits, this->customer->str);
    RateGate_leave(&this->gate, run != RUN_NOT);
    UpstreamGate_leave(&this->room);
    ExchangeLog_end(this, outcome);
    this->trace->outcome = outcome;
    Traces_keep(this->context->traces, this->trace);
    evtimer_del(this->deadline);
    run_later(this, on_reap, 0);
}

static void
abandon(Exchange_t *this)
{
    if (this->class->abandon) {
        this->class->abandon(this);
    }
}

/* The attempt no longer counts against its upstream. */
static void
drop_attempt(Exchange_t *this, const char *outcome)
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
take_back_attempt(Exchange_t *this, const char *outcome)
{
    if (this->upstream) {
        this->sent = this->class->drop(this) || this->sent;
        drop_attempt(this, outcome);
    }
}

static void
arm_deadline(Exchange_t *this)
{
    gint64 left_ms = this->deadline_ms - Clock_nowMs();
    Clock_arm(this->deadline, MIN(left_ms, DEADLINE_STEP_MS));
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
    take_back_attempt(this, "deadline");
    abandon(this);
    Exchange_refuse(this, REFUSAL_DEADLINE_PASSED, Exchange_runState(this),
                    NULL);
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
        this->subject = CrashSubject_create(&identity);
    }
    this->trace = Trace_create(spec->id, spec->customer, spec->target);
    this->deadline = Clock_timer(context->base, on_deadline, this);
    this->later = Clock_timer(context->base, on_backoff, this);
}

void
Exchange_clear(Exchange_t *this)
{
    event_free(this->deadline);
    event_free(this->later);
    set_upstream(&this->upstream, NULL);
    set_upstream(&this->avoid, NULL);
    g_string_free(this->id, TRUE);
    g_string_free(this->customer, TRUE);
    g_string_free(this->customer_class, TRUE);
    g_string_free(this->target, TRUE);
    if (this->key) {
        g_string_free(this->key, TRUE);
    }
    if (this->subject) {
        CrashSubject_destroy(this->subject);
    }
}

void
Exchange_begin(Exchange_t *this)
{
    this->context->open_requests++;
    CrashGuard_enter(this->context->crashes, this);
    RetryBudget_setRouters(this->context->budget,
                           Membership_live(this->context->membership),
                           Clock_nowMs());
    RetryBudget_deposit(this->context->budget, this->target->str);
    arm_deadline(this);
}

void
Exchange_refuseWith(Exchange_t *this, const RefusalNotice_t *notice)
{
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
    if (this->left) {
        return; /* about to end, which releases the claim */
    }
    if (granted) {
        Exchange_place(this);
        return;
    }
    Exchange_refuse(this, refusal, run, NULL);
}

static void
claim(Exchange_t *this)
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
    this->guard = OnceGuard_create(&spec, &refusal);
    if (!this->guard) {
        Exchange_refuse(this, refusal, RUN_NOT, NULL);
        return;
    }
    OnceGuard_claim(this->guard, on_claimed, this);
}

static void
on_verdict(void *owner, const RateVerdict_t *verdict)
{
    Exchange_t *this = owner;
    RefusalNotice_t notice = {REFUSAL_RATE_LIMITED, RUN_NOT, NULL,
                              verdict->retry_after_ms};
    if (this->over || this->left) {
        return;
    }
    if (!verdict->admitted) {
        ExchangeLog_limited(this, verdict);
        Exchange_refuseWith(this, &notice);
    }
    else if (this->key && !this->repeatable) {
        claim(this);
    }
    else {
        Exchange_place(this);
    }
}

void
Exchange_enter(Exchange_t *this, const RateRequest_t *rate, const char *key)
{
    this->key = key ? g_string_new(key) : NULL;
    RateGate_enter(&this->gate, this->context->rates, rate, on_verdict, this);
}

void
Exchange_noteAttempt(Exchange_t *this, Upstream_t *upstream,
                     const char *reason)
{
    this->attempts++;
    this->attempt_trace =
        Trace_addAttempt(this->trace, upstream->name->str, reason);
    this->attempt_trace->started_us = Clock_nowUs() - this->started_us;
    this->is_kept = FALSE;
    set_upstream(&this->upstream, upstream);
    this->origin = NoticeOrigin_begin(upstream, this->id->str);
    UpstreamGate_use(&this->room, upstream);
    ExchangeLog_limitedUpstream(this);
    ExchangeLog_leavingUpstream(this);
    ExchangeLog_restingUpstream(this);
    UpstreamRest_noteSent(&upstream->rest, Clock_nowMs());
    upstream->in_flight++;
    upstream->probing = upstream->ejections > 0;
}

void
Exchange_noteNotice(const Exchange_t *this, const UpstreamNotice_t *notice)
{
    UpstreamNotices_take(this->context->notices, &this->origin, notice);
}

static gboolean
is_upstream_fault(AttemptEnd_t end)
{
    return end != ATTEMPT_WHOLE && end != ATTEMPT_NOT_RUN &&
           end != ATTEMPT_REJECTED && end != ATTEMPT_TAKEN_BACK &&
           end != ATTEMPT_WITHDRAWN && end != ATTEMPT_MOVED;
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
    if (is_upstream_fault(end) && !this->is_kept &&
        Upstream_noteFailure(this->upstream, (guint)limits->eject_failures,
                             limits->eject_ms, Clock_nowMs())) {
        ExchangeLog_ejected(this, end);
    }
}

void
Exchange_noteLost(const Exchange_t *this, Upstream_t *upstream,
                  AttemptEnd_t end)
{
    CrashGuard_t *crashes = this->context->crashes;
    if (end == ATTEMPT_NOT_SENT) {
        CrashGuard_noteUnreached(crashes, upstream);
    }
    else if (this->subject && (end == ATTEMPT_CUT || end == ATTEMPT_SILENT)) {
        CrashGuard_noteLost(crashes, this->subject, this->id->str, upstream,
                            end == ATTEMPT_CUT);
    }
}

static void
note_whole(const Exchange_t *this)
{
    gint64 sent_us = this->started_us + this->attempt_trace->started_us;
    CrashGuard_noteWhole(this->context->crashes, this->subject, this->avoid,
                         sent_us / CLOCK_US_PER_MS);
}

void
Exchange_noteEnd(Exchange_t *this, AttemptEnd_t end)
{
    note_failure(this, end);
    if (end == ATTEMPT_WHOLE) {
        Upstream_noteSuccess(this->upstream);
    }
    if (!Recovery_isUnsent(end) && end != ATTEMPT_NOT_RUN &&
        end != ATTEMPT_REJECTED) {
        this->sent = TRUE;
    }
    set_upstream(&this->avoid, this->upstream);
    drop_attempt(this, Recovery_endName(end));
    Exchange_noteLost(this, this->avoid, end);
    if (end == ATTEMPT_WHOLE && this->subject) {
        note_whole(this);
    }
}

void
Exchange_avoidNone(Exchange_t *this)
{
    set_upstream(&this->avoid, NULL);
}

static RecoveryFacts_t
facts_of(const Exchange_t *this, AttemptEnd_t end)
{
    RecoveryFacts_t facts = {
        .end = end,
        .sent = this->sent,
        .repeatable = this->repeatable,
        .attempts = this->attempts,
        .max_attempts = this->max_attempts,
        .budget = Recovery_isUnsent(end) ||
                  RetryBudget_hasOne(this->context->budget, this->target->str),
        .time_left = Clock_nowMs() < this->deadline_ms,
    };
    if (this->class->facts) {
        this->class->facts(this, &facts);
    }
    return facts;
}

gboolean
Exchange_mayRepeat(const Exchange_t *this)
{
    RecoveryFacts_t facts = facts_of(this, ATTEMPT_SILENT);
    facts.sent = TRUE;
    RecoveryPlan_t plan = Recovery_decide(&facts);
    return plan.step != RECOVERY_GIVE_UP;
}

void
Exchange_noteKept(Exchange_t *this)
{
    if (this->is_kept) {
        return;
    }
    RecoveryFacts_t facts = facts_of(this, ATTEMPT_SILENT);
    ExchangeLog_kept(this, &facts);
    note_failure(this, ATTEMPT_SILENT);
    this->is_kept = TRUE;
}

/* At once the first time, as it goes elsewhere; then with full jitter,
 * doubled with each attempt. */
static void
place_later(Exchange_t *this)
{
    if (this->attempts <= 1) {
        Clock_arm(this->later, 0);
        return;
    }
    guint doublings = MIN(this->attempts - 1, MAX_BACKOFF_DOUBLINGS);
    gint64 most =
        (this->context->settings->limits.backoff_ms << doublings) * 2;
    Clock_arm(this->later, most > 0 ? Random_below((guint32)most) : 0);
}

void
Exchange_recover(Exchange_t *this, AttemptEnd_t end, const char *detail)
{
    RecoveryFacts_t facts = facts_of(this, end);
    RecoveryPlan_t plan = Recovery_decide(&facts);
    ExchangeLog_recovery(this, &facts, &plan);
    if (plan.step == RECOVERY_GIVE_UP) {
        abandon(this);
        Exchange_refuse(this, plan.refusal, plan.run, detail);
        return;
    }
    if (!Recovery_isUnsent(end)) {
        RetryBudget_withdraw(this->context->budget, this->target->str);
    }
    Context_countRetry(this->context, Recovery_endName(end), this->target->str,
                       this->customer_class->str);
    if (plan.step == RECOVERY_RESUME) {
        this->class->resume(this);
        return;
    }
    abandon(this);
    place_later(this);
}

gboolean
Exchange_isHeld(const Exchange_t *this)
{
    CrashVerdict_t verdict;
    return this->subject &&
           CrashGuard_holds(this->context->crashes, this->subject, &verdict);
}

void
Exchange_refuseHeld(Exchange_t *this)
{
    CrashVerdict_t verdict = {0};
    CrashGuard_t *crashes = this->context->crashes;
    CrashGuard_holds(crashes, this->subject, &verdict);
    CrashGuard_logHeld(crashes, this->subject, &verdict, this->id->str);
    RefusalNotice_t notice = {REFUSAL_CRASHES_UPSTREAMS,
                              Exchange_runState(this), NULL,
                              (guint)verdict.wait_ms};
    abandon(this);
    Exchange_refuseWith(this, &notice);
}

/* One that has begun is left to show whether it comes through. */
void
Exchange_recheck(void *exchange)
{
    Exchange_t *this = exchange;
    gboolean waits = this->upstream && !this->over && !this->left &&
                     this->attempt_trace->first_token_us == 0;
    if (waits && Exchange_isHeld(this)) {
        take_back_attempt(this, "held");
        Exchange_refuseHeld(this);
    }
}

void
Exchange_finish(Exchange_t *this)
{
    Counters_add(this->context->counters, "answers_total", NULL, 1);
    Counters_observe(this->context->counters, "answer_us",
                     (guint64)(Clock_nowUs() - this->started_us));
    end_exchange(this, "whole", RUN_DONE);
}

void
Exchange_refuse(Exchange_t *this, Refusal_t refusal, RunState_t run,
                const char *detail)
{
    RefusalNotice_t notice = {refusal, run, detail, 0};
    Exchange_refuseWith(this, &notice);
}

static void
on_grace_over(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Exchange_t *this = data;
    abandon(this);
    end_exchange(this, "caller_left", Exchange_runState(this));
}

void
Exchange_leave(Exchange_t *this, gint64 grace_ms)
{
    this->left = TRUE;
    Context_countRefusal(this->context, REFUSAL_CALLER_LEFT,
                         Exchange_runState(this), this->id->str,
                         this->target->str, this->customer_class->str, NULL);
    take_back_attempt(this, "caller_left");
    evtimer_del(this->deadline);
    run_later(this, on_grace_over, grace_ms);
}

RunState_t
Exchange_runState(const Exchange_t *this)
{
    RecoveryFacts_t facts = {.sent = this->sent};
    if (this->class->facts) {
        this->class->facts(this, &facts);
    }
    if (facts.tokens > 0) {
        return RUN_DONE;
    }
    return facts.sent ? RUN_MAYBE : RUN_NOT;
}
