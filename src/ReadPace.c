#include "ReadPace.h"

/* Reaches the maximum without overflow of the shifted pause. */
#define DOUBLINGS_MAX 10

void
ReadPace_noteSent(ReadPace_t *this, gint64 wait_ms, gint64 now_ms)
{
    this->sent_ms = now_ms;
    this->wait_ms = wait_ms;
}

/* The clocks of the store and of this router may differ a little. */
static gboolean
was_held(const ReadPace_t *this, gint64 now_ms)
{
    gint64 held_ms = now_ms - this->sent_ms;
    return this->wait_ms > 0 &&
           (held_ms >= this->wait_ms / 2 || held_ms >= READ_PACE_MIN_MS);
}

gint64
ReadPace_pauseMs(ReadPace_t *this, gboolean was_useful, gint64 now_ms)
{
    if (was_useful || was_held(this, now_ms)) {
        this->useless = 0;
        return 0;
    }
    this->useless++;
    if (this->useless <= READ_PACE_FREE) {
        return 0;
    }
    guint doublings = MIN(this->useless - READ_PACE_FREE - 1, DOUBLINGS_MAX);
    return MIN((gint64)READ_PACE_MIN_MS << doublings, READ_PACE_MAX_MS);
}
