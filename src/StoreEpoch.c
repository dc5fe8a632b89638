#include "StoreEpoch.h"

#include "Clock.h"
#include "Errors.h"
#include "Log.h"

/* Numbers that any program represents. An epoch read as a larger one would be
 * later than all that follow. */
#define EPOCH_MAX (G_GUINT64_CONSTANT(1) << 53)

typedef struct {
    StoreEpochHandler_t handler;
    void *owner;
} Listener_t;

struct StoreEpoch {
    Counters_t *counters;
    GArray *listeners; /* Listener_t */
    guint64 newest;
    gint64 since_ms; /* when the newest epoch was first seen */
    gboolean known;  /* newest is valid */
};

StoreEpoch_t *
StoreEpoch_create(Counters_t *counters)
{
    StoreEpoch_t *this = g_new0(StoreEpoch_t, 1);
    this->counters = counters;
    this->listeners = g_array_new(FALSE, FALSE, sizeof(Listener_t));
    return this;
}

void
StoreEpoch_destroy(StoreEpoch_t *this)
{
    g_array_unref(this->listeners);
    g_free(this);
}

void
StoreEpoch_addListener(StoreEpoch_t *this, StoreEpochHandler_t handler,
                       void *owner)
{
    Listener_t listener = {handler, owner};
    g_array_append_val(this->listeners, listener);
}

void
StoreEpoch_removeListener(StoreEpoch_t *this, const void *owner)
{
    for (guint i = 0; i < this->listeners->len; i++) {
        if (g_array_index(this->listeners, Listener_t, i).owner == owner) {
            g_array_remove_index(this->listeners, i);
            return;
        }
    }
}

static void
notify_listeners(const StoreEpoch_t *this)
{
    for (guint i = 0; i < this->listeners->len; i++) {
        const Listener_t *listener =
            &g_array_index(this->listeners, Listener_t, i);
        listener->handler(listener->owner);
    }
}

static void
log_restored(guint64 before, guint64 now, const char *by)
{
    Log_begin(LOG_LEVEL_WARNING, "store_came_back_older");
    Log_number("epoch", (gint64)now);
    Log_number("before", (gint64)before);
    Log_text("by", by);
    Log_end();
}

static void
log_first_epoch(guint64 epoch, const char *by)
{
    Log_begin(LOG_LEVEL_INFO, "store_epoch");
    Log_number("epoch", (gint64)epoch);
    Log_text("by", by);
    Log_end();
}

static void
note_restored(StoreEpoch_t *this, guint64 epoch, const char *by)
{
    log_restored(this->newest, epoch, by);
    this->newest = epoch;
    this->since_ms = Clock_nowMs();
    if (this->counters) {
        Counters_add(this->counters, "store_returns_total", NULL, 1);
    }
    notify_listeners(this);
}

gboolean
StoreEpoch_note(StoreEpoch_t *this, guint64 epoch, const char *by)
{
    if (!this->known) {
        this->known = TRUE;
        this->newest = epoch;
        this->since_ms = Clock_nowMs();
        log_first_epoch(epoch, by);
        return TRUE;
    }
    if (epoch > this->newest) {
        note_restored(this, epoch, by);
    }
    return epoch == this->newest;
}

gboolean
StoreEpoch_check(StoreEpoch_t *this, const char *text, GError **error)
{
    guint64 epoch = 0;
    if (text &&
        !g_ascii_string_to_unsigned(text, 10, 0, EPOCH_MAX, &epoch, NULL)) {
        g_set_error_literal(error, WT_ERROR, WT_ERROR_BAD_ANSWER,
                            "the answer's epoch is no number in range");
        return FALSE;
    }
    if (StoreEpoch_note(this, epoch, "answer")) {
        return TRUE;
    }
    g_set_error_literal(error, WT_ERROR, WT_ERROR_OLD_EPOCH,
                        "the answer is of an earlier epoch of the store");
    return FALSE;
}

gint64
StoreEpoch_sinceMs(const StoreEpoch_t *this)
{
    return this->since_ms;
}

guint64
StoreEpoch_newest(const StoreEpoch_t *this)
{
    return this->newest;
}
