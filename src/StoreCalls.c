#include "StoreCalls.h"

#include "Log.h"

static const char *const cause_names[] = {
    [STORE_START] = "start",     [STORE_FOLLOW] = "follow",
    [STORE_BEHIND] = "behind",   [STORE_PEERS_SILENT] = "untold",
    [STORE_RETRY] = "retry",     [STORE_MORE] = "more",
    [STORE_ACQUIRE] = "take",    [STORE_RENEW] = "renew",
    [STORE_RELEASE] = "release", [STORE_WRITE] = "keep",
    [STORE_CHECK] = "check",
};

void
StoreCalls_note(Counters_t *counters, const char *topic, StoreCause_t cause)
{
    Log_begin(LOG_LEVEL_DEBUG, "store_call");
    Log_text("topic", topic);
    Log_text("cause", cause_names[cause]);
    Log_end();
    if (counters) {
        g_autofree char *labels = g_strdup_printf("topic=\"%s\",cause=\"%s\"",
                                                  topic, cause_names[cause]);
        Counters_add(counters, "store_calls_total", labels, 1);
    }
}
