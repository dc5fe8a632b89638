#include "RelayDispatch.h"

#include "Clock.h"
#include "ExchangeRoom.h"
#include "LoadShed.h"
#include "RelayRun.h"

/* A key may be revoked while its request waits for another attempt, or be
 * given to another customer, in whose name the request did not come. */
static gboolean
has_key(const RelayExchange_t *this, Refusal_t *refusal)
{
    const Context_t *context = this->super.context;
    gint64 max_age_ms = context->settings->relay.config_max_age_ms;
    if (!this->customer) {
        return TRUE;
    }
    if (!RouteTable_isFresh(context->routes, max_age_ms)) {
        *refusal = REFUSAL_CONFIG_STALE;
        return FALSE;
    }
    const RouteCustomer_t *holder = RouteConfig_findCustomer(
        RouteTable_config(context->routes), this->request.key);
    if (!holder || !g_string_equal(holder->name, this->customer->name)) {
        *refusal = REFUSAL_KEY_REVOKED;
        return FALSE;
    }
    return TRUE;
}

gboolean
RelayDispatch_isAllowed(const RelayExchange_t *this, Refusal_t *refusal)
{
    if (!RelayAnswer_request(this->answer)) {
        *refusal = REFUSAL_CALLER_LEFT;
        return FALSE;
    }
    if (Exchange_isHeld(&this->super)) {
        *refusal = REFUSAL_CRASHES_UPSTREAMS;
        return FALSE;
    }
    return has_key(this, refusal);
}

gboolean
RelayDispatch_mayFollow(const RelayExchange_t *this, Refusal_t *refusal)
{
    const Exchange_t *super = &this->super;
    RelayWish_t wish = RelayExchange_wish(this);
    RelayPlacing_t placing;
    if (!RelayDispatch_isAllowed(this, refusal)) {
        return FALSE;
    }
    wish.terms.avoid = super->upstream;
    RelayPlacer_choose(super->context, &wish, &placing);
    if (!placing.choice.upstream ||
        placing.choice.upstream == super->upstream) {
        *refusal = REFUSAL_NO_UPSTREAM;
        return FALSE;
    }
    return TRUE;
}

/* Only the first attempt: later ones have waited already. */
static gboolean
is_shed(RelayExchange_t *this, const RelayPlacing_t *placing)
{
    const Exchange_t *super = &this->super;
    const Context_t *context = super->context;
    if (!this->route->by_prefix || super->attempts > 0 ||
        !context->settings->relay.refuse_late) {
        return FALSE;
    }
    LoadShedInput_t facts = {
        .expected_us = placing->choice.cost_us,
        .own_us = placing->choice.own_us,
        .objective_ms = this->route->objective_ms,
        .spread_us = Forecast_spreadUs(context->forecast, super->target->str),
        .left_ms = super->deadline_ms - Clock_nowMs(),
    };
    LoadShedDecision_t plan = LoadShed_decide(&facts);
    if (!plan.admitted) {
        LoadShed_log(&facts, &plan, super->id->str,
                     placing->choice.upstream->name->str);
        RelayAnswer_setRetryAfter(this->answer, plan.retry_after_ms);
    }
    return !plan.admitted;
}

static void
refuse_now(Exchange_t *super, Refusal_t refusal)
{
    if (refusal == REFUSAL_CRASHES_UPSTREAMS) {
        Exchange_refuseHeld(super);
        return;
    }
    gboolean for_key =
        refusal == REFUSAL_CONFIG_STALE || refusal == REFUSAL_KEY_REVOKED;
    g_autofree char *detail =
        for_key ? RouteTable_describe(super->context->routes) : NULL;
    Exchange_refuse(super, refusal, Exchange_runState(super), detail);
}

/* The dispatcher may not have heard yet of what this router knows. */
static gboolean
is_usable(const RelayPlacing_t *placing, const Choice_t *choice)
{
    return choice->upstream &&
           Policy_mayUse(&placing->placement, choice->upstream);
}

static void
go_to(RelayExchange_t *this, const RelayWish_t *wish, RelayPlacing_t *placing)
{
    Exchange_t *super = &this->super;
    if (is_shed(this, placing)) {
        RelayExchange_endTicket(this);
        refuse_now(super, REFUSAL_OVERLOADED);
        return;
    }
    if (!ExchangeRoom_mayGo(super, placing->choice.upstream)) {
        return;
    }
    RelayPlacer_prepare(super->context, wish, placing);
    RelayPlacing_log(placing, super->id->str, &this->request);
    RelayRun_start(this, placing);
}

/* Where this router alone would send it; the caller is told where there is no
 * such place. */
static gboolean
choose(RelayExchange_t *this, RelayWish_t *wish, RelayPlacing_t *placing)
{
    Exchange_t *super = &this->super;
    Refusal_t refusal = REFUSAL_COUNT;
    if (!RelayDispatch_isAllowed(this, &refusal)) {
        refuse_now(super, refusal);
        return FALSE;
    }
    RelayPlacer_choose(super->context, wish, placing);
    if (!placing->choice.upstream && wish->terms.permitted) {
        ExchangeRoom_forgo(super);
        wish->terms.permitted = NULL;
        RelayPlacer_choose(super->context, wish, placing);
    }
    if (!placing->choice.upstream) {
        RelayPlacing_log(placing, super->id->str, &this->request);
        ExchangeRoom_refuse(super, &placing->placement);
        return FALSE;
    }
    return TRUE;
}

static void
on_dispatched(void *owner, const Choice_t *choice,
              const DispatchTicket_t *ticket)
{
    RelayExchange_t *this = owner;
    RelayWish_t wish = RelayExchange_wish(this);
    RelayPlacing_t placing;
    this->ask = NULL;
    this->ticket = *ticket;
    if (this->super.over || this->super.left ||
        !choose(this, &wish, &placing)) {
        RelayExchange_endTicket(this);
        return;
    }
    if (is_usable(&placing, choice)) {
        placing.choice = *choice;
    }
    else {
        RelayExchange_endTicket(this);
    }
    go_to(this, &wish, &placing);
}

/* A request that has been to the gate of an upstream has asked already. */
static Dispatch_t *
asked_dispatch(const RelayExchange_t *this, const RelayWish_t *wish)
{
    const Exchange_t *super = &this->super;
    gboolean has_asked = wish->terms.permitted || super->room.refusals > 0;
    return this->route->by_prefix && !has_asked ? super->context->dispatch
                                                : NULL;
}

/* What the dispatcher has chosen has no room, which it learns by this. */
static void
return_ticket(RelayExchange_t *this, const RelayWish_t *wish)
{
    Dispatch_t *dispatch = this->super.context->dispatch;
    if (dispatch && !wish->terms.permitted) {
        Dispatch_reportRefusal(dispatch, &this->ticket);
    }
}

void
RelayDispatch_place(RelayExchange_t *this)
{
    RelayWish_t wish = RelayExchange_wish(this);
    RelayPlacing_t placing;
    return_ticket(this, &wish);
    if (!choose(this, &wish, &placing)) {
        return;
    }
    Dispatch_t *dispatch = asked_dispatch(this, &wish);
    this->ask = dispatch ? Dispatch_query(dispatch, &placing.placement,
                                          this->request.model, &placing.choice,
                                          on_dispatched, this)
                         : NULL;
    if (!this->ask) {
        go_to(this, &wish, &placing);
    }
}
