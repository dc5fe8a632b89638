#include "OrderPath.h"

/* A holder gives up its lease only after this time: engines may be silent for
 * a moment. */
#define LOST_AFTER_MS 700

static gboolean
lose(OrderPath_t *this, gint64 after_ms, gint64 now_ms)
{
    if (this->lost_ms != 0 || now_ms - this->blocked_ms < after_ms) {
        return FALSE;
    }
    this->lost_ms = now_ms;
    return TRUE;
}

static gboolean
find(OrderPath_t *this, gint64 lease_ms, gint64 now_ms)
{
    if (this->lost_ms == 0 || now_ms - this->lost_ms < lease_ms) {
        return FALSE;
    }
    this->lost_ms = 0;
    return TRUE;
}

/* A single engine that can't be reached has most likely ended. */
static gboolean
reaches_none(const OrderPathInput_t *input)
{
    return input->has_no_path ||
           (input->engines > 1 && input->unreachable >= input->engines);
}

gboolean
OrderPath_update(OrderPath_t *this, const OrderPathInput_t *input,
                 gint64 now_ms)
{
    if (!reaches_none(input)) {
        this->blocked_ms = 0;
        return find(this, input->lease_ms, now_ms);
    }
    if (this->blocked_ms == 0) {
        this->blocked_ms = now_ms;
    }
    return lose(this, input->has_no_path ? 0 : LOST_AFTER_MS, now_ms);
}

gboolean
OrderPath_isBlocked(const OrderPath_t *this)
{
    return this->blocked_ms != 0 || this->lost_ms != 0;
}

gboolean
OrderPath_isLost(const OrderPath_t *this)
{
    return this->lost_ms != 0;
}
