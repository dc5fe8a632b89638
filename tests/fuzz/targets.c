#include "targets.h"

#include <sodium.h>

#include "Log.h"

const FuzzTarget_t fuzz_targets[] = {
    {"callerHead", Fuzz_callerHead},
    {"requestFraming", Fuzz_requestFraming},
    {"upstreamHead", Fuzz_upstreamHead},
    {"bodyFraming", Fuzz_bodyFraming},
    {"answerBytes", Fuzz_answerBytes},
    {"engineHead", Fuzz_engineHead},
    {"engineEvents", Fuzz_engineEvents},
    {"eventPipe", Fuzz_eventPipe},
    {"sseParser", Fuzz_sseParser},
    {"storeAnswers", Fuzz_storeAnswers},
    {"logAnswers", Fuzz_logAnswers},
    {"platformRecords", Fuzz_platformRecords},
    {"configRecords", Fuzz_configRecords},
    {"peerMessages", Fuzz_peerMessages},
    {"peerLink", Fuzz_peerLink},
    {"claims", Fuzz_claims},
    {"settings", Fuzz_settings},
    {"declarations", Fuzz_declarations},
    {"prompt", Fuzz_prompt},
    {"resumeToken", Fuzz_resumeToken},
    {"json", Fuzz_json},
    {"logLine", Fuzz_logLine},
    {NULL, NULL},
};

/* Disables the log lines of the parsers. */
#define LOG_LEVEL_NONE ((LogLevel_t)0)

void
FuzzTargets_begin(void)
{
    g_assert(sodium_init() >= 0);
    Log_setLevel(LOG_LEVEL_NONE);
}
