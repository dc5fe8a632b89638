#include "TransferLink.h"

#include <math.h>

#include "Clock.h"

/* Half-life of the excess: a queue of transfers of some hundred milliseconds
 * each has changed by then. */
#define EXCESS_HALF_LIFE_MS 400.0
/* Weight of a new observation in the smoothed excess. */
#define EXCESS_GAIN 0.4

gint64
TransferLink_localUs(const TransferLink_t *this, gint64 now_us)
{
    return MAX(this->busy_until_us - now_us, 0);
}

void
TransferLink_reserve(TransferLink_t *source, TransferLink_t *destination,
                     gint64 transfer_us, gint64 now_us)
{
    gint64 start_us = now_us + MAX(TransferLink_localUs(source, now_us),
                                   TransferLink_localUs(destination, now_us));
    source->busy_until_us = start_us + transfer_us;
    destination->busy_until_us = start_us + transfer_us;
}

static double
decayed_excess_us(const TransferLink_t *this, gint64 now_ms)
{
    double age_ms = (double)(now_ms - this->excess_at_ms);
    return this->excess_us * exp2(-age_ms / EXCESS_HALF_LIFE_MS);
}

gint64
TransferLink_waitUs(const TransferLink_t *this, gint64 now_us)
{
    return TransferLink_localUs(this, now_us) + this->others_us +
           (gint64)decayed_excess_us(this, now_us / CLOCK_US_PER_MS);
}

void
TransferLink_noteExcess(TransferLink_t *this, gint64 added_us, gint64 now_ms)
{
    double estimated_us = decayed_excess_us(this, now_ms);
    double observed_us = MAX(estimated_us + (double)added_us, 0.0);
    this->excess_us =
        estimated_us + (observed_us - estimated_us) * EXCESS_GAIN;
    this->excess_at_ms = now_ms;
}
