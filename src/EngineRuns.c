#include "EngineRuns.h"

/* Maximum age of the facts in a report. */
#define REPORT_LAG_MS 500
/* Interval between reports that are asked for. */
#define ASK_INTERVAL_MS 1000

struct EngineRuns {
    GHashTable *events; /* NULL if no report listed the requests */
    guint queued;
    gint64 reported_ms; /* when the last report was asked for */
    gint64 asked_ms;    /* when a report was asked for last, 0 for never */
};

EngineRuns_t *
EngineRuns_create(void)
{
    return g_new0(EngineRuns_t, 1);
}

void
EngineRuns_destroy(EngineRuns_t *this)
{
    EngineRuns_clear(this);
    g_free(this);
}

void
EngineRuns_clear(EngineRuns_t *this)
{
    g_clear_pointer(&this->events, g_hash_table_unref);
}

void
EngineRuns_replace(EngineRuns_t *this, GHashTable *events, guint queued,
                   gint64 asked_ms)
{
    EngineRuns_clear(this);
    this->events = events;
    this->queued = queued;
    this->reported_ms = asked_ms;
}

gboolean
EngineRuns_mayAsk(EngineRuns_t *this, gint64 now_ms)
{
    if (this->asked_ms != 0 && now_ms - this->asked_ms < ASK_INTERVAL_MS) {
        return FALSE;
    }
    this->asked_ms = now_ms;
    return TRUE;
}

gboolean
EngineRuns_isLost(const EngineRuns_t *this, const char *id, guint64 events,
                  gint64 since_ms)
{
    gpointer made = NULL;
    if (!this->events || this->reported_ms - since_ms < REPORT_LAG_MS) {
        return FALSE;
    }
    if (g_hash_table_lookup_extended(this->events, id, NULL, &made)) {
        return GPOINTER_TO_UINT(made) > events;
    }
    return this->queued == 0;
}
