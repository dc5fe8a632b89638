#include "OrderPath.h"

/* A holder gives up its lease only after this time: a single engine that
 * still needs an order may be silent for a moment. */
#define LOST_AFTER_MS 700

static gboolean
lose(OrderPath_t *this, gint64 now_ms)
{
    if (this->lost_ms != 0 || now_ms - this->blocked_ms < LOST_AFTER_MS) {
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

gboolean
OrderPath_update(OrderPath_t *this, guint pending, guint unreachable,
                 gint64 lease_ms, gint64 now_ms)
{
    if (pending == 0 || unreachable < pending) {
        this->blocked_ms = 0;
        return find(this, lease_ms, now_ms);
    }
    if (this->blocked_ms == 0) {
        this->blocked_ms = now_ms;
    }
    return lose(this, now_ms);
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
