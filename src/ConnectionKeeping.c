#include "ConnectionKeeping.h"

/* Closing after a longer time is that of a connection without use. */
#define CLOSED_AFTER_MAX_MS 1000

void
ConnectionKeeping_clear(ConnectionKeeping_t *this)
{
    *this = (ConnectionKeeping_t){0};
}

void
ConnectionKeeping_noteAnswer(ConnectionKeeping_t *this)
{
    this->is_proved = TRUE;
}

void
ConnectionKeeping_noteClosed(ConnectionKeeping_t *this, gint64 after_ms)
{
    if (after_ms > CLOSED_AFTER_MAX_MS) {
        return;
    }
    this->stayed_open = FALSE;
    this->was_refuted = TRUE;
    this->closed_after_ms = MAX(this->closed_after_ms, after_ms);
}

gboolean
ConnectionKeeping_noteOpen(ConnectionKeeping_t *this, gint64 idle_ms)
{
    if (idle_ms >= MAX(KEEPING_IDLE_MS, 2 * this->closed_after_ms)) {
        this->stayed_open = TRUE;
    }
    return this->is_proved || this->stayed_open;
}

gboolean
ConnectionKeeping_needsSample(const ConnectionKeeping_t *this)
{
    return !this->is_proved && !this->stayed_open;
}

gboolean
ConnectionKeeping_allows(const ConnectionKeeping_t *this, gboolean is_once)
{
    if (this->is_proved || (!is_once && !this->was_refuted)) {
        return TRUE;
    }
    return this->stayed_open && !this->is_tried;
}

gboolean
ConnectionKeeping_beginTrial(ConnectionKeeping_t *this)
{
    if (this->is_proved || this->is_tried) {
        return FALSE;
    }
    this->is_tried = TRUE;
    return TRUE;
}

void
ConnectionKeeping_endTrial(ConnectionKeeping_t *this)
{
    this->is_tried = FALSE;
}
