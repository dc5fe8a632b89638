#include "Context.h"

#include <event2/bufferevent.h>

#include "Clock.h"
#include "Log.h"
#include "PendingReply.h"
#include "SocketBuffers.h"
#include "SocketUse.h"

RateRequest_t
Caller_makeRateRequest(const Caller_t *caller, const char *customer,
                       double tokens)
{
    const Customer_t *spec = caller->customer->spec;
    RateRequest_t rate = {
        .subject = customer,
        .limit = {(double)spec->rate, (double)spec->burst,
                  caller->customer->revision},
        .units = 1,
    };
    if (spec->unit == LIMIT_TOKENS) {
        rate.units = tokens > 0 ? tokens : (double)spec->plain_tokens;
    }
    return rate;
}

void
Context_countRefusal(Context_t *this, Refusal_t refusal, RunState_t run,
                     const char *request, const char *target,
                     const char *customer_class, const char *detail)
{
    const RefusalSpec_t *spec = Refusal_spec(refusal);
    g_autofree char *labels =
        g_strdup_printf("reason=\"%s\",service=\"%s\",class=\"%s\"",
                        spec->code, target, customer_class);
    Counters_add(this->counters, "refusals_total", labels, 1);
    Log_begin(LOG_LEVEL_INFO, "request_refused");
    Log_text("request", request);
    Log_text("reason", spec->code);
    Log_text("run", Refusal_runName(run));
    Log_text("service", target);
    if (detail) {
        Log_text("detail", detail);
    }
    Log_end();
}

void
Context_countRetry(Context_t *this, const char *reason, const char *target,
                   const char *customer_class)
{
    g_autofree char *labels =
        g_strdup_printf("reason=\"%s\",service=\"%s\",class=\"%s\"", reason,
                        target, customer_class);
    Counters_add(this->counters, "retries_total", labels, 1);
}

void
Context_countOversized(Context_t *this, const char *request,
                       const char *upstream)
{
    Counters_add(this->counters, "events_oversized_total", NULL, 1);
    Log_begin(LOG_LEVEL_WARNING, "event_oversized");
    Log_text("request", request);
    Log_text("upstream", upstream);
    Log_number("event_max", this->settings->limits.event_max);
    Log_number("answer_max", this->settings->limits.answer_max);
    Log_number("answers_max", this->settings->limits.answers_max);
    Log_number("answer_bytes", (gint64)this->answer_bytes);
    Log_end();
}

/* The first of those that wait goes on beyond answers_max (AnswerRoom.h). */
AnswerBufferLimits_t
Context_answerLimits(const Context_t *this)
{
    const LimitsSection_t *limits = &this->settings->limits;
    return (AnswerBufferLimits_t){
        .size_max = (gsize)MIN(limits->answer_max, limits->answers_max),
        .total_max = (gsize)limits->answers_max * 3 / 2,
    };
}

gint64
Context_waitMs(const Context_t *context, gint64 wait_ms, gint64 limit_ms)
{
    if (wait_ms == 0) {
        wait_ms = context->settings->limits.default_deadline_ms;
    }
    return limit_ms > 0 ? MIN(wait_ms, limit_ms) : wait_ms;
}

void
Context_prepareCaller(const Context_t *this,
                      struct evhttp_connection *connection)
{
    const LimitsSection_t *limits = &this->settings->limits;
    CallerShare_t share = {
        .memory = (gsize)limits->memory,
        .callers = this->open_requests + PendingReply_count() + 1,
        .most = (gsize)limits->stream_buffer,
    };
    struct bufferevent *stream = evhttp_connection_get_bufferevent(connection);
    SocketBuffers_limitCaller(bufferevent_getfd(stream), &share);
}

/* A call takes little for a short time: before it is refused, who reads
 * nothing is given up, and what was freed is given back. */
gboolean
Context_isMemoryUsedUp(const Context_t *this)
{
    gint64 now_ms = Clock_nowMs();
    if (MemoryUse_room(this->memory, now_ms) > 0) {
        return FALSE;
    }
    SocketUse_makeRoom(now_ms);
    gboolean is_used_up = MemoryUse_room(this->memory, now_ms) == 0;
    if (is_used_up) {
        MemoryReport_noteRefusal(this->memory_report, now_ms);
    }
    return is_used_up;
}

/* Without a limit of the memory, the room for answers is the only bound. */
gboolean
Context_areAnswersUnread(const Context_t *this)
{
    gboolean is_bounded = this->settings->limits.memory > 0;
    gboolean is_short =
        MemoryUse_level(this->memory, Clock_nowMs()) != MEMORY_EASY;
    return (!is_bounded || is_short) && AnswerRoom_isUsedUp(this->answer_room);
}

gboolean
Context_isMemoryFull(const Context_t *this)
{
    gint64 now_ms = Clock_nowMs();
    gboolean is_full = MemoryUse_level(this->memory, now_ms) == MEMORY_FULL;
    if (is_full) {
        MemoryReport_noteRefusal(this->memory_report, now_ms);
    }
    return is_full;
}
