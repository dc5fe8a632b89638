#include "UpstreamGate.h"

/* Names of upstreams and of customers may be alike; no name of a customer
 * begins with a control character. */
#define SUBJECT_FORMAT "\x1f%s/%" G_GUINT64_FORMAT

static void
release(UpstreamGate_t *this, gboolean is_used)
{
    RateGate_release(&this->rate, is_used);
    this->has_room = FALSE;
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
    gboolean was_asked = this->answered;
    this->answered = TRUE;
    this->has_room = verdict->admitted;
    if (!verdict->admitted) {
        this->refusals++;
        g_clear_pointer(&this->full, Upstream_unref);
        this->full = Upstream_ref(this->upstream);
        UpstreamLimits_noteRefused(this->limits, this->upstream, verdict,
                                   this->request_id);
        release(this, FALSE);
    }
    if (was_asked) {
        this->done(this->owner, verdict->admitted ? UPSTREAM_GATE_OPEN
                                                  : UPSTREAM_GATE_FULL);
    }
}

/* @answered tells a verdict within the question from a later one. */
static UpstreamGateStep_t
ask(UpstreamGate_t *this, Upstream_t *upstream, RateLimits_t *rates)
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
        return this->has_room ? UPSTREAM_GATE_OPEN : UPSTREAM_GATE_FULL;
    }
    this->answered = TRUE;
    return UPSTREAM_GATE_ASKED;
}

UpstreamGateStep_t
UpstreamGate_enter(UpstreamGate_t *this, Upstream_t *upstream,
                   const UpstreamGateSpec_t *spec)
{
    if (!upstream->limit.is_named ||
        upstream == UpstreamGate_permitted(this)) {
        return UPSTREAM_GATE_OPEN;
    }
    release(this, FALSE);
    this->limits = spec->limits;
    this->request_id = spec->request_id;
    this->done = spec->done;
    this->owner = spec->owner;
    return ask(this, upstream, spec->rates);
}

const Upstream_t *
UpstreamGate_permitted(const UpstreamGate_t *this)
{
    return this->has_room ? this->upstream : NULL;
}

void
UpstreamGate_use(UpstreamGate_t *this, const Upstream_t *upstream)
{
    release(this, upstream == UpstreamGate_permitted(this));
}

void
UpstreamGate_leave(UpstreamGate_t *this)
{
    release(this, FALSE);
    g_clear_pointer(&this->full, Upstream_unref);
}
