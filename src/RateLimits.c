#include "RateLimits.h"

RateAsk_t *
RateLimits_enter(RateLimits_t *this, const RateRequest_t *request,
                 RateVerdict_t *out, RateDone_t done, void *owner)
{
    if (request->limit.per_s <= 0) {
        *out = (RateVerdict_t){.admitted = TRUE, .by = "no_limit"};
        return NULL;
    }
    return this->class->enter(this, request, out, done, owner);
}

void
RateLimits_cancel(RateLimits_t *this, RateAsk_t *ask)
{
    this->class->cancel(ask);
}

void
RateLimits_giveBack(RateLimits_t *this, const RateRequest_t *request)
{
    if (request->limit.per_s > 0) {
        this->class->give_back(this, request);
    }
}

void
RateLimits_destroy(RateLimits_t *this)
{
    this->class->destroy(this);
}
