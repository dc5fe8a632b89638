#include "ExchangeLog.h"

#include "Clock.h"
#include "Log.h"

/* Adds the rate limit's charge if the customer has a limit. */
static void
log_rate(const RateGate_t *rate_gate)
{
    if (rate_gate->by && rate_gate->request.limit.per_s > 0) {
        Log_number("units", (gint64)rate_gate->request.units);
        Log_text("rate_by", rate_gate->by);
    }
}

void
ExchangeLog_end(const Exchange_t *this, const char *outcome)
{
    Log_begin(LOG_LEVEL_INFO, "request_done");
    Log_text("request", this->id->str);
    Log_text("customer", this->customer->str);
    Log_text("service", this->target->str);
    Log_text("outcome", outcome);
    Log_number("attempts", this->attempts);
    Log_number("us", Clock_nowUs() - this->started_us);
    log_rate(&this->rate_gate);
    if (this->class->log_end) {
        this->class->log_end(this);
    }
    Log_end();
}

void
ExchangeLog_rateLimited(const Exchange_t *this, const RateVerdict_t *verdict)
{
    const RateRequest_t *rate = &this->rate_gate.request;
    Log_begin(LOG_LEVEL_INFO, "request_limited");
    Log_text("request", this->id->str);
    Log_text("customer", this->customer->str);
    Log_number("units", (gint64)rate->units);
    Log_number("per_s", (gint64)rate->limit.per_s);
    Log_number("burst", (gint64)rate->limit.burst);
    Log_number("limit_version", (gint64)rate->limit.version);
    Log_number("left", (gint64)verdict->left);
    Log_text("by", verdict->by);
    Log_number("age_ms", verdict->age_ms);
    Log_number("retry_after_ms", verdict->retry_after_ms);
    Log_end();
}

void
ExchangeLog_sentToLimited(const Exchange_t *this)
{
    const UpstreamLimit_t *limit = &this->upstream->limit;
    if (!limit->is_named) {
        return;
    }
    Log_begin(LOG_LEVEL_INFO, "sent_to_limited");
    Log_text("request", this->id->str);
    Log_text("upstream", this->upstream->name->str);
    Log_text("reason", this->attempt_trace->reason);
    Log_number("attempts", this->attempts);
    Log_number("limit_version", (gint64)limit->version);
    Log_number("limit_age_ms", Clock_nowMs() - limit->learned_ms);
    Log_end();
}

void
ExchangeLog_sentToLeaving(const Exchange_t *this)
{
    if (!this->upstream->leaving) {
        return;
    }
    Counters_add(this->context->counters, "sent_to_leaving_total", NULL, 1);
    Log_begin(LOG_LEVEL_WARNING, "sent_to_leaving");
    Log_text("request", this->id->str);
    Log_text("upstream", this->upstream->name->str);
    Log_text("reason", this->attempt_trace->reason);
    Log_number("attempts", this->attempts);
    Log_number("told_ms", Clock_nowMs() - this->upstream->leaving_ms);
    Log_end();
}

void
ExchangeLog_sentDuringBackoff(const Exchange_t *this)
{
    const UpstreamBackoff_t *backoff = &this->upstream->backoff;
    gint64 now_ms = Clock_nowMs();
    gint64 left_ms = UpstreamBackoff_leftMs(backoff, now_ms);
    if (left_ms == 0) {
        return;
    }
    Counters_add(this->context->counters, "sent_to_resting_total", NULL, 1);
    Log_begin(LOG_LEVEL_WARNING, "sent_to_resting");
    Log_text("request", this->id->str);
    Log_text("upstream", this->upstream->name->str);
    Log_text("reason", this->attempt_trace->reason);
    Log_number("attempts", this->attempts);
    Log_number("asked_age_ms", now_ms - backoff->asked_ms);
    Log_number("left_ms", left_ms);
    Log_end();
}

void
ExchangeLog_ejected(const Exchange_t *this, AttemptEnd_t end)
{
    Log_begin(LOG_LEVEL_WARNING, "upstream_ejected");
    Log_text("upstream", this->upstream->name->str);
    Log_text("reason", Recovery_endName(end));
    Log_number("failures", this->upstream->failures);
    Log_number("ejections", this->upstream->ejections);
    Log_end();
}

static void
log_recovery_input(const Exchange_t *this, const RecoveryInput_t *input)
{
    Log_number("attempts", input->attempts);
    Log_number("max_attempts", input->max_attempts);
    Log_number("sent", input->sent);
    Log_number("repeatable", input->repeatable);
    Log_number("budget", input->budget);
    Log_number("left_ms", this->deadline_ms - Clock_nowMs());
}

void
ExchangeLog_silentAttempt(const Exchange_t *this, const RecoveryInput_t *input)
{
    Log_begin(LOG_LEVEL_INFO, "attempt_kept");
    Log_text("request", this->id->str);
    Log_text("reason", Recovery_endName(ATTEMPT_SILENT));
    Log_text("upstream", this->upstream->name->str);
    log_recovery_input(this, input);
    Log_end();
}

/* The native platform's list states no versions. */
static void
log_software(const Upstream_t *upstream)
{
    const char *software = Upstream_software(upstream);
    if (*software) {
        Log_text("software", software);
    }
}

void
ExchangeLog_recovery(const Exchange_t *this, const RecoveryInput_t *input,
                     const RecoveryDecision_t *decision)
{
    Log_begin(LOG_LEVEL_INFO, "attempt_failed");
    Log_text("request", this->id->str);
    Log_text("reason", Recovery_endName(input->end));
    Log_text("next", Recovery_actionName(decision->action));
    if (this->avoid) {
        Log_text("upstream", this->avoid->name->str);
        log_software(this->avoid);
    }
    log_recovery_input(this, input);
    Log_end();
}
