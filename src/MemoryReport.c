#include "MemoryReport.h"

#include "Log.h"
#include "PendingReply.h"

#define INTERVAL_MS 1000

struct MemoryReport {
    const MemoryParts_t *parts;
    gint64 told_ms;  /* 0 if never */
    guint64 refused; /* since the last line */
};

MemoryReport_t *
MemoryReport_create(const MemoryParts_t *parts)
{
    MemoryReport_t *this = g_new0(MemoryReport_t, 1);
    this->parts = parts;
    return this;
}

void
MemoryReport_destroy(MemoryReport_t *this)
{
    g_free(this);
}

static void
log_parts(const MemoryReport_t *this, gint64 now_ms)
{
    const MemoryParts_t *parts = this->parts;
    gsize bodies = parts->bodies ? BodyBudget_used(parts->bodies) : 0;
    Log_begin(LOG_LEVEL_WARNING, "memory_short");
    Log_number("refused", (gint64)this->refused);
    Log_number("used", (gint64)MemoryUse_used(parts->memory, now_ms));
    Log_number("own", (gint64)MemoryUse_own(parts->memory));
    Log_number("memory", (gint64)MemoryUse_max(parts->memory));
    Log_number("bodies", (gint64)bodies);
    Log_number("answers", (gint64)(*parts->answers));
    Log_number("replies", (gint64)PendingReply_bytes());
    Log_number("streams", (gint64)(*parts->streams));
    Log_end();
}

gboolean
MemoryReport_noteRefusal(MemoryReport_t *this, gint64 now_ms)
{
    this->refused++;
    if (this->told_ms > 0 && now_ms - this->told_ms < INTERVAL_MS) {
        return FALSE;
    }
    log_parts(this, now_ms);
    this->told_ms = now_ms;
    this->refused = 0;
    return TRUE;
}
