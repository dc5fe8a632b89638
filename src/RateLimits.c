#include "RateLimits.h"

RateQuery_t *
RateLimits_acquire(RateLimits_t *this, const RateRequest_t *request,
                   RateVerdict_t *out, RateDone_t done, void *owner)
{
    if (request->limit.per_s <= 0) {
        *out = (RateVerdict_t){.admitted = TRUE, .by = "no_limit"};
        return NULL;
    }
    return this->class->acquire(this, request, out, done, owner);
}

void
RateLimits_cancel(RateLimits_t *this, RateQuery_t *query)
{
    this->class->cancel(query);
}

void
RateLimits_refund(RateLimits_t *this, const RateRequest_t *request)
{
    if (request->limit.per_s > 0) {
        this->class->refund(this, request);
    }
}

void
RateLimits_destroy(RateLimits_t *this)
{
    this->class->destroy(this);
}
