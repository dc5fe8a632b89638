#include "UpstreamGate.h"

/* Customers are subjects of rate limits as well and may have the same names as
 * upstreams. The control character keeps them apart, as no name of a customer
 * begins with one. */
#define SUBJECT_FORMAT "\x1f%s/%" G_GUINT64_FORMAT

static void
release_capacity(UpstreamGate_t *this, gboolean is_used)
{
    RateGate_release(&this->rate, is_used);
    this->has_capacity = FALSE;
    g_clear_pointer(&this->upstream, Upstream_unref);
    if (this->subject) {
        g_string_free(this->subject, TRUE);
        this->subject = NULL;
    }
}

static void
on_verdict(void *owner, const RateVerdict_t *verdict)
{
    UpstreamGate_t *this = owner;
    gboolean is_late = this->answered;
    this->answered = TRUE;
    this->has_capacity = verdict->admitted;
    if (!verdict->admitted) {
        this->refusals++;
        g_clear_pointer(&this->full, Upstream_unref);
        this->full = Upstream_ref(this->upstream);
        UpstreamLimits_noteRefused(this->limits, this->upstream, verdict,
                                   this->request_id);
        release_capacity(this, FALSE);
    }
    if (is_late) {
        this->done(this->owner, verdict->admitted ? UPSTREAM_GATE_OPEN
                                                  : UPSTREAM_GATE_FULL);
    }
}

static UpstreamGateResult_t
request_capacity(UpstreamGate_t *this, Upstream_t *upstream,
                 RateLimits_t *rates)
{
    this->upstream = Upstream_ref(upstream);
    this->subject = g_string_new(NULL);
    g_string_printf(this->subject, SUBJECT_FORMAT, upstream->name->str,
                    upstream->incarnation);
    RateRequest_t request = {
        .subject = this->subject->str,
        .limit = UpstreamLimit_rate(&upstream->limit),
        .units = 1,
    };
    this->answered = FALSE;
    RateGate_acquire(&this->rate, rates, &request, on_verdict, this);
    if (this->answered) {
        return this->has_capacity ? UPSTREAM_GATE_OPEN : UPSTREAM_GATE_FULL;
    }
    this->answered = TRUE;
    return UPSTREAM_GATE_PENDING;
}

UpstreamGateResult_t
UpstreamGate_acquire(UpstreamGate_t *this, Upstream_t *upstream,
                     const UpstreamGateSpec_t *spec)
{
    if (!upstream->limit.is_named ||
        upstream == UpstreamGate_permitted(this)) {
        return UPSTREAM_GATE_OPEN;
    }
    release_capacity(this, FALSE);
    this->limits = spec->limits;
    this->request_id = spec->request_id;
    this->done = spec->done;
    this->owner = spec->owner;
    return request_capacity(this, upstream, spec->rates);
}

const Upstream_t *
UpstreamGate_permitted(const UpstreamGate_t *this)
{
    return this->has_capacity ? this->upstream : NULL;
}

void
UpstreamGate_consume(UpstreamGate_t *this, const Upstream_t *upstream)
{
    release_capacity(this, upstream == UpstreamGate_permitted(this));
}

void
UpstreamGate_release(UpstreamGate_t *this)
{
    release_capacity(this, FALSE);
    g_clear_pointer(&this->full, Upstream_unref);
}
