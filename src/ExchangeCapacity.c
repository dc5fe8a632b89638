#include "ExchangeCapacity.h"

#include "Clock.h"
#include "Random.h"
#include "UpstreamListing.h"

/* Minimum delay before the next choice after limits or backoffs have excluded
 * all upstreams. */
#define CAPACITY_RETRY_MIN_MS 10
/* Retry-After of callers whose upstreams are all leaving: this minimum plus a
 * random part, so that they do not all arrive at once at the first upstream
 * that replaces them. */
#define LEAVING_RETRY_AFTER_MIN_MS 1000
#define LEAVING_RETRY_JITTER_MS 1000
/* Retry-After of callers whose upstreams have all asked for a backoff: the end
 * of the first backoff, limited to the maximum, plus a random part. */
#define BACKOFF_RETRY_JITTER_MS 1000
#define BACKOFF_RETRY_AFTER_MAX_MS 10000

PlacementConstraints_t
ExchangeCapacity_terms(const Exchange_t *this)
{
    return (PlacementConstraints_t){
        .avoid = this->avoid,
        .permitted = UpstreamGate_permitted(&this->upstream_gate),
        .excludes_limited =
            this->upstream_gate.refusals >= UPSTREAM_GATE_REFUSALS_MAX,
    };
}

/* The next choice excludes the upstream without capacity. An exchange that
 * needs this upstream waits until it may have capacity. */
static void
place_after_full(Exchange_t *this)
{
    const Upstream_t *upstream = this->upstream_gate.full;
    gint64 wait_ms =
        this->needs_same_upstream
            ? UpstreamLimit_fullMs(&upstream->limit, Clock_nowMs())
            : 0;
    Clock_arm(this->next_timer, wait_ms);
}

static void
on_capacity(void *owner, UpstreamGateResult_t result)
{
    Exchange_t *this = owner;
    if (result == UPSTREAM_GATE_FULL) {
        place_after_full(this);
        return;
    }
    Exchange_place(this);
}

static gboolean
acquire_capacity(Exchange_t *this, Upstream_t *upstream)
{
    UpstreamGateSpec_t spec = {
        .limits = this->context->upstream_limits,
        .rates = this->context->rates,
        .request_id = this->id->str,
        .done = on_capacity,
        .owner = this,
    };
    UpstreamGateResult_t result =
        UpstreamGate_acquire(&this->upstream_gate, upstream, &spec);
    if (result == UPSTREAM_GATE_FULL) {
        place_after_full(this);
    }
    return result == UPSTREAM_GATE_OPEN;
}

gboolean
ExchangeCapacity_acquire(Exchange_t *this, Upstream_t *upstream)
{
    this->needs_same_upstream = FALSE;
    return acquire_capacity(this, upstream);
}

gboolean
ExchangeCapacity_acquireSame(Exchange_t *this, Upstream_t *upstream)
{
    gint64 backoff_ms =
        UpstreamBackoff_leftMs(&upstream->backoff, Clock_nowMs());
    if (backoff_ms > 0) {
        Clock_arm(this->next_timer, backoff_ms);
        return FALSE;
    }
    this->needs_same_upstream = TRUE;
    return acquire_capacity(this, upstream);
}

void
ExchangeCapacity_release(Exchange_t *this)
{
    UpstreamGate_release(&this->upstream_gate);
}

/* The caller has begun to read the answer, and a refusal would truncate it. */
static void
wait_for_capacity(Exchange_t *this, const LimitedCapacity_t *limited)
{
    this->upstream_gate.refusals = 0;
    Clock_arm(this->next_timer, MAX(limited->full_ms, CAPACITY_RETRY_MIN_MS));
}

static void
refuse_limited(Exchange_t *this, const LimitedCapacity_t *limited)
{
    if (Exchange_runState(this) == RUN_DONE) {
        wait_for_capacity(this, limited);
        return;
    }
    guint retry_after_ms = UpstreamLimits_retryAfterMs(
        this->context->upstream_limits, this->target->str, limited);
    g_autofree char *detail = g_strdup_printf("upstreams=%u per_s=%.6g",
                                              limited->count, limited->per_s);
    RefusalNotice_t notice = {REFUSAL_UPSTREAMS_LIMITED,
                              Exchange_runState(this), detail, retry_after_ms};
    Exchange_refuseWith(this, &notice);
}

static void
refuse_backing_off(Exchange_t *this, const BackedOffUpstreams_t *backing_off)
{
    if (Exchange_runState(this) == RUN_DONE) {
        Clock_arm(this->next_timer,
                  MAX(backing_off->first_ms, CAPACITY_RETRY_MIN_MS));
        return;
    }
    gint64 retry_after_ms =
        MIN(backing_off->first_ms, BACKOFF_RETRY_AFTER_MAX_MS) + 1 +
        Random_below(BACKOFF_RETRY_JITTER_MS);
    g_autofree char *detail =
        g_strdup_printf("upstreams=%u first_ms=%" G_GINT64_FORMAT,
                        backing_off->count, backing_off->first_ms);
    RefusalNotice_t notice = {REFUSAL_UPSTREAMS_RESTING,
                              Exchange_runState(this), detail,
                              (guint)retry_after_ms};
    Exchange_refuseWith(this, &notice);
}

/* When other upstreams will replace the leaving ones is unknown. */
static void
refuse_leaving(Exchange_t *this, guint count)
{
    g_autofree char *detail = g_strdup_printf("upstreams=%u", count);
    guint retry_after_ms =
        LEAVING_RETRY_AFTER_MIN_MS + 1 + Random_below(LEAVING_RETRY_JITTER_MS);
    RefusalNotice_t notice = {REFUSAL_UPSTREAMS_LEAVING,
                              Exchange_runState(this), detail, retry_after_ms};
    Exchange_refuseWith(this, &notice);
}

static void
refuse_software_gone(Exchange_t *this, const Placement_t *placement)
{
    g_autofree char *detail =
        g_strdup_printf("software=%s", placement->software);
    Exchange_refuse(this, REFUSAL_SOFTWARE_GONE, Exchange_runState(this),
                    detail);
}

/* Before the list was read nothing tells which versions serve. */
static gboolean
is_list_known(const Exchange_t *this)
{
    return UpstreamListing_isKnown(this->context->listing);
}

void
ExchangeCapacity_refuse(Exchange_t *this, const Placement_t *placement)
{
    if (!Policy_hasSoftware(placement) && is_list_known(this)) {
        refuse_software_gone(this, placement);
        return;
    }
    LimitedCapacity_t limited = Policy_findLimited(placement);
    BackedOffUpstreams_t backing_off = Policy_findBackedOff(placement);
    if (limited.count > 0) {
        refuse_limited(this, &limited);
    }
    else if (backing_off.count > 0) {
        refuse_backing_off(this, &backing_off);
    }
    else if (Policy_areAllLeaving(placement)) {
        refuse_leaving(this, placement->serving->len);
    }
    else {
        Exchange_refuse(this, REFUSAL_NO_UPSTREAM, Exchange_runState(this),
                        NULL);
    }
}
