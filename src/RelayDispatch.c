#include "RelayDispatch.h"

#include "Clock.h"
#include "ExchangeCapacity.h"
#include "LoadShed.h"
#include "RelayRun.h"

/* While a request waits for another attempt, its key may be revoked or
 * assigned to another customer, on whose account it must not run. */
static gboolean
is_key_valid(const RelayExchange_t *this, Refusal_t *refusal)
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
    const RouteCustomer_t *key_owner = RouteConfig_findCustomer(
        RouteTable_config(context->routes), this->request.key);
    if (!key_owner || !g_string_equal(key_owner->name, this->customer->name)) {
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
    if (Exchange_isQuarantined(&this->super)) {
        *refusal = REFUSAL_CRASHES_UPSTREAMS;
        return FALSE;
    }
    return is_key_valid(this, refusal);
}

gboolean
RelayDispatch_mayRetry(const RelayExchange_t *this, Refusal_t *refusal)
{
    const Exchange_t *super = &this->super;
    RelayPlacementInput_t input = RelayExchange_placementInput(this);
    RelayDestination_t destination;
    if (!RelayDispatch_isAllowed(this, refusal)) {
        return FALSE;
    }
    input.terms.avoid = super->upstream;
    RelayPlacer_choose(super->context, &input, &destination);
    if (!destination.choice.upstream ||
        destination.choice.upstream == super->upstream) {
        *refusal = REFUSAL_NO_UPSTREAM;
        return FALSE;
    }
    return TRUE;
}

/* Only a first attempt is shed: a request with later ones has waited
 * already. */
static gboolean
shed_if_late(RelayExchange_t *this, const RelayDestination_t *destination)
{
    const Exchange_t *super = &this->super;
    const Context_t *context = super->context;
    if (!this->route->by_prefix || super->attempts > 0 ||
        !context->settings->relay.refuse_late) {
        return FALSE;
    }
    LoadShedInput_t shed_input = {
        .expected_us = destination->choice.cost_us,
        .own_us = destination->choice.own_us,
        .objective_ms = this->route->objective_ms,
        .spread_us = EstimateError_spreadUs(context->estimate_error,
                                            super->target->str),
        .left_ms = super->deadline_ms - Clock_nowMs(),
    };
    LoadShedDecision_t decision = LoadShed_decide(&shed_input);
    if (!decision.admitted) {
        LoadShed_log(&shed_input, &decision, super->id->str,
                     destination->choice.upstream->name->str);
        RelayAnswer_setRetryAfter(this->answer, decision.retry_after_ms);
    }
    return !decision.admitted;
}

static void
refuse_request(Exchange_t *super, Refusal_t refusal)
{
    if (refusal == REFUSAL_CRASHES_UPSTREAMS) {
        Exchange_refuseQuarantined(super);
        return;
    }
    gboolean depends_on_config =
        refusal == REFUSAL_CONFIG_STALE || refusal == REFUSAL_KEY_REVOKED;
    g_autofree char *detail =
        depends_on_config ? RouteTable_describe(super->context->routes) : NULL;
    Exchange_refuse(super, refusal, Exchange_runState(super), detail);
}

/* The dispatcher may not know yet what this router knows of the upstream. */
static gboolean
is_usable(const RelayDestination_t *destination, const Choice_t *choice)
{
    return choice->upstream &&
           Policy_mayUse(&destination->placement, choice->upstream);
}

static void
start_attempt(RelayExchange_t *this, const RelayPlacementInput_t *input,
              RelayDestination_t *destination)
{
    Exchange_t *super = &this->super;
    if (shed_if_late(this, destination)) {
        RelayExchange_endTicket(this);
        refuse_request(super, REFUSAL_OVERLOADED);
        return;
    }
    if (!ExchangeCapacity_acquire(super, destination->choice.upstream)) {
        return;
    }
    RelayPlacer_prepare(super->context, input, destination);
    RelayDestination_log(destination, super->id->str, &this->request);
    RelayRun_start(this, destination);
}

/* Chooses an upstream from this router's own knowledge; refuses the request if
 * it is not allowed or no upstream fits. */
static gboolean
choose_upstream(RelayExchange_t *this, RelayPlacementInput_t *input,
                RelayDestination_t *destination)
{
    Exchange_t *super = &this->super;
    Refusal_t refusal = REFUSAL_COUNT;
    if (!RelayDispatch_isAllowed(this, &refusal)) {
        refuse_request(super, refusal);
        return FALSE;
    }
    RelayPlacer_choose(super->context, input, destination);
    if (!destination->choice.upstream && input->terms.permitted) {
        ExchangeCapacity_release(super);
        input->terms.permitted = NULL;
        RelayPlacer_choose(super->context, input, destination);
    }
    if (!destination->choice.upstream) {
        RelayDestination_log(destination, super->id->str, &this->request);
        ExchangeCapacity_refuse(super, &destination->placement);
        return FALSE;
    }
    return TRUE;
}

static void
on_dispatched(void *owner, const Choice_t *choice,
              const DispatchTicket_t *ticket)
{
    RelayExchange_t *this = owner;
    RelayPlacementInput_t input = RelayExchange_placementInput(this);
    RelayDestination_t destination;
    this->query = NULL;
    this->ticket = *ticket;
    if (this->super.over || this->super.caller_left ||
        !choose_upstream(this, &input, &destination)) {
        RelayExchange_endTicket(this);
        return;
    }
    if (is_usable(&destination, choice)) {
        destination.choice = *choice;
    }
    else {
        RelayExchange_endTicket(this);
    }
    start_attempt(this, &input, &destination);
}

/* The dispatcher to query, or NULL if there is none, the route is not placed
 * by prefix, or the request has asked for capacity at an upstream's limit,
 * which it does after the query. */
static Dispatch_t *
select_dispatcher(const RelayExchange_t *this,
                  const RelayPlacementInput_t *input)
{
    const Exchange_t *super = &this->super;
    gboolean was_queried =
        input->terms.permitted || super->upstream_gate.refusals > 0;
    return this->route->by_prefix && !was_queried ? super->context->dispatch
                                                  : NULL;
}

/* If the request has a ticket, it is placed again because the upstream that
 * the dispatcher chose had no capacity: reports that to the dispatcher. */
static void
report_full_upstream(RelayExchange_t *this, const RelayPlacementInput_t *input)
{
    Dispatch_t *dispatch = this->super.context->dispatch;
    if (dispatch && !input->terms.permitted) {
        Dispatch_reportRefusal(dispatch, &this->ticket);
    }
}

void
RelayDispatch_place(RelayExchange_t *this)
{
    RelayPlacementInput_t input = RelayExchange_placementInput(this);
    RelayDestination_t destination;
    report_full_upstream(this, &input);
    if (!choose_upstream(this, &input, &destination)) {
        return;
    }
    Dispatch_t *dispatch = select_dispatcher(this, &input);
    this->query =
        dispatch ? Dispatch_query(dispatch, &destination.placement,
                                  this->request.model, &destination.choice,
                                  on_dispatched, this)
                 : NULL;
    if (!this->query) {
        start_attempt(this, &input, &destination);
    }
}
