#include "RateGate.h"

static void
on_verdict(void *owner, const RateVerdict_t *verdict)
{
    RateGate_t *this = owner;
    this->ask = NULL;
    this->taken = verdict->admitted;
    this->by = verdict->by;
    this->done(this->owner, verdict);
}

void
RateGate_enter(RateGate_t *this, RateLimits_t *rates,
               const RateRequest_t *request, RateDone_t done, void *owner)
{
    RateVerdict_t verdict;
    *this = (RateGate_t){
        .rates = rates,
        .request = *request,
        .done = done,
        .owner = owner,
    };
    this->ask =
        RateLimits_enter(rates, &this->request, &verdict, on_verdict, this);
    if (!this->ask) {
        on_verdict(this, &verdict);
    }
}

void
RateGate_leave(RateGate_t *this, gboolean has_run)
{
    if (this->ask) {
        RateLimits_cancel(this->rates, this->ask);
        this->ask = NULL;
    }
    if (this->taken && !has_run) {
        RateLimits_giveBack(this->rates, &this->request);
    }
    this->taken = FALSE;
}
