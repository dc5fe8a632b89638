#include "RateGate.h"

static void
on_verdict(void *owner, const RateVerdict_t *verdict)
{
    RateGate_t *this = owner;
    this->query = NULL;
    this->taken = verdict->admitted;
    this->by = verdict->by;
    this->done(this->owner, verdict);
}

void
RateGate_acquire(RateGate_t *this, RateLimits_t *rates,
                 const RateRequest_t *request, RateDone_t done, void *owner)
{
    RateVerdict_t verdict;
    *this = (RateGate_t){
        .rates = rates,
        .request = *request,
        .done = done,
        .owner = owner,
    };
    this->query =
        RateLimits_acquire(rates, &this->request, &verdict, on_verdict, this);
    if (!this->query) {
        on_verdict(this, &verdict);
    }
}

void
RateGate_release(RateGate_t *this, gboolean has_run)
{
    if (this->query) {
        RateLimits_cancel(this->rates, this->query);
        this->query = NULL;
    }
    if (this->taken && !has_run) {
        RateLimits_refund(this->rates, &this->request);
    }
    this->taken = FALSE;
}
