#include "RelayStop.h"

#include "Clock.h"
#include "Log.h"
#include "StopOutlook.h"

static StopOutlook_t
build_outlook(const Context_t *context, const RelayStopRequest_t *request)
{
    gint64 now_ms = Clock_nowMs();
    AnswerTime_t time =
        AnswerTimes_get(context->answer_times, request->route, request->size);
    return (StopOutlook_t){
        .stop_left_ms = context->stop_ends_ms - now_ms,
        .deadline_left_ms = request->deadline_ms - now_ms,
        .mean_us = time.mean_us,
        .spread_us = time.spread_us,
    };
}

gboolean
RelayStop_isOutlasting(const Context_t *context,
                       const RelayStopRequest_t *request)
{
    if (!context->stopping) {
        return FALSE;
    }
    StopOutlook_t outlook = build_outlook(context, request);
    return StopOutlook_isOutlasting(&outlook);
}

void
RelayStop_noteRefused(const Context_t *context,
                      const RelayStopRequest_t *request, const char *stage)
{
    StopOutlook_t outlook = build_outlook(context, request);
    g_autofree char *labels = g_strdup_printf("stage=\"%s\"", stage);
    Log_begin(LOG_LEVEL_INFO, "request_outlasts_stop");
    Log_text("request", request->id);
    Log_text("route", request->route);
    Log_text("stage", stage);
    Log_number("size", request->size);
    Log_number("needed_ms", StopOutlook_neededMs(&outlook));
    Log_number("mean_us", outlook.mean_us);
    Log_number("spread_us", outlook.spread_us);
    Log_number("stop_left_ms", outlook.stop_left_ms);
    Log_number("deadline_left_ms", outlook.deadline_left_ms);
    Log_end();
    Counters_add(context->counters, "outlasting_stop_total", labels, 1);
}
