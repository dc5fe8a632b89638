#include "StopOutlook.h"

#include "Clock.h"

/* Mean deviations above the mean within which some 95 in 100 of normally
 * distributed times lie. */
#define MARGIN_SPREADS 2

gint64
StopOutlook_neededMs(const StopOutlook_t *this)
{
    gint64 needed_us = this->mean_us + MARGIN_SPREADS * this->spread_us;
    return this->mean_us > 0 ? needed_us / CLOCK_US_PER_MS : 0;
}

/* One whose deadline comes first ends by that. */
gboolean
StopOutlook_isOutlasting(const StopOutlook_t *this)
{
    return this->deadline_left_ms > this->stop_left_ms &&
           StopOutlook_neededMs(this) > this->stop_left_ms;
}
