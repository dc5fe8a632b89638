#include "WeightLoadSlots.h"

/* Outdated engines get no requests and may all load at once, up to this
 * percentage of the reachable engines: with more parallel loads, each one
 * takes longer than the next one would wait for a slot. */
#define OUTDATED_LOADING_MAX_PERCENT 60

WeightLoadSlots_t
WeightLoadSlots_compute(const WeightLoadSlotsInput_t *input)
{
    guint usual = MAX(input->min_loading,
                      input->reachable * input->loading_percent / 100);
    guint max_outdated = input->reachable * OUTDATED_LOADING_MAX_PERCENT / 100;
    return (WeightLoadSlots_t){
        .loading = input->loading,
        .max_loading = MAX(usual, MIN(input->outdated, max_outdated)),
        .serving = input->serving,
        .min_serving = input->reachable - MIN(usual, input->reachable),
    };
}

gboolean
WeightLoadSlots_isAvailable(const WeightLoadSlots_t *this, gboolean serves)
{
    return this->loading < this->max_loading &&
           (!serves || this->serving > this->min_serving);
}

void
WeightLoadSlots_acquire(WeightLoadSlots_t *this, gboolean serves)
{
    this->loading++;
    if (serves) {
        this->serving--;
    }
}
