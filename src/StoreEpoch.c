#include "StoreEpoch.h"

#include "Log.h"

struct StoreEpoch {
    Counters_t *counters;
    guint64 newest;
    gboolean known;
};

StoreEpoch_t *
StoreEpoch_create(Counters_t *counters)
{
    StoreEpoch_t *this = g_new0(StoreEpoch_t, 1);
    this->counters = counters;
    return this;
}

void
StoreEpoch_destroy(StoreEpoch_t *this)
{
    g_free(this);
}

static void
log_return(guint64 before, guint64 now, const char *by)
{
    Log_begin(LOG_LEVEL_WARNING, "store_came_back_older");
    Log_number("epoch", (gint64)now);
    Log_number("before", (gint64)before);
    Log_text("by", by);
    Log_end();
}

static void
log_first(guint64 epoch, const char *by)
{
    Log_begin(LOG_LEVEL_INFO, "store_epoch");
    Log_number("epoch", (gint64)epoch);
    Log_text("by", by);
    Log_end();
}

static void
note_return(StoreEpoch_t *this, guint64 epoch, const char *by)
{
    log_return(this->newest, epoch, by);
    this->newest = epoch;
    if (this->counters) {
        Counters_add(this->counters, "store_returns_total", NULL, 1);
    }
}

gboolean
StoreEpoch_note(StoreEpoch_t *this, guint64 epoch, const char *by)
{
    if (!this->known) {
        this->known = TRUE;
        this->newest = epoch;
        log_first(epoch, by);
        return TRUE;
    }
    if (epoch > this->newest) {
        note_return(this, epoch, by);
    }
    return epoch == this->newest;
}

guint64
StoreEpoch_newest(const StoreEpoch_t *this)
{
    return this->newest;
}
