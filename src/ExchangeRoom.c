#include "ExchangeRoom.h"

#include "Clock.h"
#include "Random.h"

/* Room at limited upstreams is asked for again no sooner. */
#define ROOM_STEP_MS 10
/* Callers whose upstreams all leave come back after this and up to so much
 * more, so that they do not meet the first of the new ones all at once. */
#define LEAVING_RETURN_MS 1000
#define LEAVING_SPREAD_MS 1000
/* Callers whose upstreams all rest come back up to so much later than the
 * first of these; nobody is told to come back later than the most. */
#define REST_SPREAD_MS 1000
#define REST_RETURN_MOST_MS 10000

PlacementTerms_t
ExchangeRoom_terms(const Exchange_t *this)
{
    return (PlacementTerms_t){
        .avoid = this->avoid,
        .permitted = UpstreamGate_permitted(&this->room),
        .spares_limited = this->room.refusals >= UPSTREAM_GATE_REFUSALS_MAX,
    };
}

/* What has no room is left out by the next choice; who needs this very
 * upstream waits. */
static void
place_without_room(Exchange_t *this)
{
    const Upstream_t *upstream = this->room.full;
    gint64 wait_ms =
        this->waits_for_room
            ? UpstreamLimit_fullMs(&upstream->limit, Clock_nowMs())
            : 0;
    Clock_arm(this->later, wait_ms);
}

static void
on_room(void *owner, UpstreamGateStep_t step)
{
    Exchange_t *this = owner;
    if (step == UPSTREAM_GATE_FULL) {
        place_without_room(this);
        return;
    }
    Exchange_place(this);
}

static gboolean
ask_for_room(Exchange_t *this, Upstream_t *upstream)
{
    UpstreamGateSpec_t spec = {
        .limits = this->context->upstream_limits,
        .rates = this->context->rates,
        .request_id = this->id->str,
        .done = on_room,
        .owner = this,
    };
    UpstreamGateStep_t step = UpstreamGate_enter(&this->room, upstream, &spec);
    if (step == UPSTREAM_GATE_FULL) {
        place_without_room(this);
    }
    return step == UPSTREAM_GATE_OPEN;
}

gboolean
ExchangeRoom_mayGo(Exchange_t *this, Upstream_t *upstream)
{
    this->waits_for_room = FALSE;
    return ask_for_room(this, upstream);
}

gboolean
ExchangeRoom_mayReturn(Exchange_t *this, Upstream_t *upstream)
{
    gint64 rest_ms = UpstreamRest_leftMs(&upstream->rest, Clock_nowMs());
    if (rest_ms > 0) {
        Clock_arm(this->later, rest_ms);
        return FALSE;
    }
    this->waits_for_room = TRUE;
    return ask_for_room(this, upstream);
}

void
ExchangeRoom_forgo(Exchange_t *this)
{
    UpstreamGate_leave(&this->room);
}

/* A refusal would end an answer in the middle that its caller has begun to
 * read. */
static void
wait_for_any_room(Exchange_t *this, const LimitedRoom_t *room)
{
    this->room.refusals = 0;
    Clock_arm(this->later, MAX(room->full_ms, ROOM_STEP_MS));
}

static void
refuse_limited(Exchange_t *this, const LimitedRoom_t *room)
{
    if (Exchange_runState(this) == RUN_DONE) {
        wait_for_any_room(this, room);
        return;
    }
    guint retry_after_ms = UpstreamLimits_retryAfterMs(
        this->context->upstream_limits, this->target->str, room);
    g_autofree char *detail =
        g_strdup_printf("upstreams=%u per_s=%.6g", room->count, room->per_s);
    RefusalNotice_t notice = {REFUSAL_UPSTREAMS_LIMITED,
                              Exchange_runState(this), detail, retry_after_ms};
    Exchange_refuseWith(this, &notice);
}

static void
refuse_resting(Exchange_t *this, const RestingUpstreams_t *resting)
{
    if (Exchange_runState(this) == RUN_DONE) {
        Clock_arm(this->later, MAX(resting->first_ms, ROOM_STEP_MS));
        return;
    }
    gint64 retry_after_ms = MIN(resting->first_ms, REST_RETURN_MOST_MS) + 1 +
                            Random_below(REST_SPREAD_MS);
    g_autofree char *detail =
        g_strdup_printf("upstreams=%u first_ms=%" G_GINT64_FORMAT,
                        resting->count, resting->first_ms);
    RefusalNotice_t notice = {REFUSAL_UPSTREAMS_RESTING,
                              Exchange_runState(this), detail,
                              (guint)retry_after_ms};
    Exchange_refuseWith(this, &notice);
}

/* Others come in their place; when is not known. */
static void
refuse_leaving(Exchange_t *this, guint count)
{
    g_autofree char *detail = g_strdup_printf("upstreams=%u", count);
    guint retry_after_ms =
        LEAVING_RETURN_MS + 1 + Random_below(LEAVING_SPREAD_MS);
    RefusalNotice_t notice = {REFUSAL_UPSTREAMS_LEAVING,
                              Exchange_runState(this), detail, retry_after_ms};
    Exchange_refuseWith(this, &notice);
}

void
ExchangeRoom_refuse(Exchange_t *this, const Placement_t *placement)
{
    LimitedRoom_t room = Policy_findLimited(placement);
    RestingUpstreams_t resting = Policy_findResting(placement);
    if (room.count > 0) {
        refuse_limited(this, &room);
    }
    else if (resting.count > 0) {
        refuse_resting(this, &resting);
    }
    else if (Policy_areAllLeaving(placement)) {
        refuse_leaving(this, placement->serving->len);
    }
    else {
        Exchange_refuse(this, REFUSAL_NO_UPSTREAM, Exchange_runState(this),
                        NULL);
    }
}
