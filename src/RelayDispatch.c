#include "RelayDispatch.h"

#include "Clock.h"
#include "LoadShed.h"
#include "RelayRun.h"

/* A key may be revoked while its request waits for another attempt. */
gboolean
RelayDispatch_isAllowed(const RelayExchange_t *this)
{
    const Context_t *context = this->super.context;
    const RouteConfig_t *config = RouteTable_config(context->routes);
    if (!this->customer) {
        return TRUE;
    }
    return RouteTable_isFresh(context->routes,
                              context->settings->relay.config_max_age_ms) &&
           RouteConfig_findCustomer(config, this->request.key);
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
    LoadShedFacts_t facts = {
        .expected_us = placing->choice.cost_us,
        .own_us = placing->choice.own_us,
        .objective_ms = this->route->objective_ms,
        .spread_us = Forecast_spreadUs(context->forecast, super->target->str),
        .left_ms = super->deadline_ms - Clock_nowMs(),
    };
    LoadShedPlan_t plan = LoadShed_decide(&facts);
    if (!plan.admitted) {
        LoadShed_log(&facts, &plan, super->id->str,
                     placing->choice.upstream->name->str);
        RelayAnswer_setRetryAfter(this->answer, plan.retry_after_ms);
    }
    return !plan.admitted;
}

static void
refuse_now(Exchange_t *super, Refusal_t refusal, const char *detail)
{
    Exchange_refuse(super, refusal, Exchange_runState(super), detail);
}

/* The dispatcher may not have heard yet of what this router knows. */
static gboolean
may_follow(const RelayPlacing_t *placing, const Choice_t *choice)
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
        refuse_now(super, REFUSAL_OVERLOADED, NULL);
        return;
    }
    RelayPlacer_prepare(super->context, wish, placing);
    RelayPlacing_log(placing, super->id->str, &this->request);
    RelayRun_start(this, placing);
}

/* Where this router alone would send it; the caller is told where there is no
 * such place. */
static gboolean
choose(RelayExchange_t *this, const RelayWish_t *wish, RelayPlacing_t *placing)
{
    Exchange_t *super = &this->super;
    if (!RelayAnswer_request(this->answer)) {
        refuse_now(super, REFUSAL_CALLER_LEFT, NULL);
        return FALSE;
    }
    if (!RelayDispatch_isAllowed(this)) {
        refuse_now(super, REFUSAL_CONFIG_STALE,
                   "The key was revoked, or that can't be told.");
        return FALSE;
    }
    RelayPlacer_choose(super->context, wish, placing);
    if (!placing->choice.upstream) {
        RelayPlacing_log(placing, super->id->str, &this->request);
        refuse_now(super, REFUSAL_NO_UPSTREAM, NULL);
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
    if (may_follow(&placing, choice)) {
        placing.choice = *choice;
    }
    else {
        RelayExchange_endTicket(this);
    }
    go_to(this, &wish, &placing);
}

void
RelayDispatch_place(RelayExchange_t *this)
{
    Exchange_t *super = &this->super;
    RelayWish_t wish = RelayExchange_wish(this);
    RelayPlacing_t placing;
    if (!choose(this, &wish, &placing)) {
        return;
    }
    Dispatch_t *dispatch =
        this->route->by_prefix ? super->context->dispatch : NULL;
    this->ask = dispatch ? Dispatch_ask(dispatch, &placing.placement,
                                        this->request.model, &placing.choice,
                                        on_dispatched, this)
                         : NULL;
    if (!this->ask) {
        go_to(this, &wish, &placing);
    }
}
