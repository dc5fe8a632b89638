#include "RelayDispatch.h"

#include <string.h>

#include "Clock.h"
#include "ExchangeCapacity.h"
#include "LoadShed.h"
#include "Log.h"
#include "RelayRun.h"
#include "RelayStop.h"

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

static RelayStopRequest_t
stop_request(const RelayExchange_t *this)
{
    return (RelayStopRequest_t){
        .id = this->super.id->str,
        .route = this->route->name->str,
        .size = this->request.answer_tokens,
        .deadline_ms = this->super.deadline_ms,
    };
}

/* A stream that has begun can't be served by another router any more, so that
 * an attempt which may be broken off is better than none. */
static gboolean
is_outlasting_stop(const RelayExchange_t *this)
{
    RelayStopRequest_t request = stop_request(this);
    return Exchange_runState(&this->super) != RUN_DONE &&
           RelayStop_isOutlasting(this->super.context, &request);
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
    if (is_outlasting_stop(this)) {
        *refusal = REFUSAL_STOPPING;
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

/* Only a first attempt is shed: a request with later ones has waited already.
 * A stream that its caller continues has begun, so that the time to a first
 * event says nothing of it. */
static gboolean
may_be_shed(const RelayExchange_t *this)
{
    const Exchange_t *super = &this->super;
    return this->route->by_prefix && super->attempts == 0 &&
           !this->origin.software &&
           super->context->settings->relay.refuse_late;
}

static gboolean
shed_if_late(RelayExchange_t *this, const RelayDestination_t *destination)
{
    const Exchange_t *super = &this->super;
    const Context_t *context = super->context;
    if (!may_be_shed(this)) {
        return FALSE;
    }
    LoadShedInput_t shed_input = {
        .expected_us = destination->choice.cost_us,
        .own_us = destination->choice.own_us,
        .objective_ms = this->route->objective_ms,
        .spread_us = EstimateError_spreadUs(
            context->estimate_error,
            RelayPlacer_spreadKey(context, &destination->placement,
                                  this->route->name->str)),
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
note_outlasting_stop(const RelayExchange_t *this)
{
    RelayStopRequest_t request = stop_request(this);
    RelayStop_noteRefused(this->super.context, &request, "placing");
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
    if (!ExchangeCapacity_acquire(super, destination->choice.upstream)) {
        return;
    }
    RelayPlacer_prepare(super->context, input, destination);
    RelayDestination_log(destination, super->id->str, &this->request);
    RelayRun_start(this, destination);
}

/* Starts an attempt that no dispatcher has admitted, unless it would be
 * late. */
static void
start_or_shed(RelayExchange_t *this, const RelayPlacementInput_t *input,
              RelayDestination_t *destination)
{
    if (shed_if_late(this, destination)) {
        RelayExchange_endTicket(this);
        refuse_request(&this->super, REFUSAL_OVERLOADED);
        return;
    }
    start_attempt(this, input, destination);
}

/* A partitioned group has decided; others leave it to this router whether the
 * request would be late. */
static void
start_admitted(RelayExchange_t *this, const RelayPlacementInput_t *input,
               RelayDestination_t *destination)
{
    if (destination->choice.reserved > 0) {
        start_attempt(this, input, destination);
    }
    else {
        start_or_shed(this, input, destination);
    }
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
        if (refusal == REFUSAL_STOPPING) {
            note_outlasting_stop(this);
        }
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

static void on_dispatched(void *owner, const DispatchAnswer_t *answer);
static void decide_here(RelayExchange_t *this,
                        const RelayPlacementInput_t *input,
                        RelayDestination_t *destination);

static void
log_decision(const RelayExchange_t *this, const DispatchAnswer_t *answer)
{
    const Choice_t *choice = &answer->choice;
    const GroupDecision_t *decision = &answer->decision;
    Log_begin(LOG_LEVEL_INFO, "request_shed");
    Log_text("request", this->super.id->str);
    Log_text("upstream", choice->upstream ? choice->upstream->name->str : "");
    Log_text("verdict", GroupAdmission_name(decision->verdict));
    Log_text("customer", this->super.customer->str);
    Log_text("route", this->route->name->str);
    Log_number("rank", RelayExchange_rank(this));
    Log_number("group", choice->group);
    Log_number("reserved", choice->reserved);
    Log_number("expected_us", choice->cost_us);
    Log_number("own_us", choice->own_us);
    Log_number("promised_us", decision->promised_us);
    Log_number("is_return", decision->is_return);
    Log_number("over_share", decision->is_over_share);
    Log_number("objective_ms", this->route->objective_ms);
    Log_number("left_ms", this->admission.left_ms);
    Log_number("retry_after_ms", decision->retry_after_ms);
    Log_end();
}

/* Decides on a request in the second group, if this router dispatches for it
 * and it is partitioned. */
static gboolean
decide_next_group(RelayExchange_t *this, const RelayPlacementInput_t *input,
                  RelayDestination_t *destination)
{
    const Choice_t *choice = &destination->choice;
    if (!choice->upstream || choice->side == 0 ||
        choice->group + 1 != this->next_group) {
        return FALSE;
    }
    decide_here(this, input, destination);
    return TRUE;
}

/* Asks a second group for a request that the first one has no room for.
 * Returns FALSE if it was asked already, or there is none. */
static gboolean
ask_next_group(RelayExchange_t *this, const DispatchAnswer_t *answer)
{
    Context_t *context = this->super.context;
    RelayPlacementInput_t input = RelayExchange_placementInput(this);
    RelayDestination_t destination;
    if (!this->admission.has_next) {
        return FALSE;
    }
    RelayPlacer_choose(context, &input, &destination);
    this->next_group =
        Dispatch_nextGroup(this->admission.key, answer->choice.group,
                           destination.placement.groups);
    this->admission.has_next = FALSE;
    this->admission.left_ms = MAX(this->super.deadline_ms - Clock_nowMs(), 1);
    input.group = this->next_group;
    RelayPlacer_choose(context, &input, &destination);
    this->query = Dispatch_query(context->dispatch, &destination.placement,
                                 this->request.model, &destination.choice,
                                 &this->admission, on_dispatched, this);
    if (this->query) {
        return TRUE;
    }
    return decide_next_group(this, &input, &destination);
}

static void
refuse_for_group(RelayExchange_t *this, const DispatchAnswer_t *answer)
{
    log_decision(this, answer);
    if (answer->decision.retry_after_ms > 0) {
        RelayAnswer_setRetryAfter(this->answer,
                                  answer->decision.retry_after_ms);
    }
    refuse_request(&this->super, REFUSAL_OVERLOADED);
}

static void
on_dispatched(void *owner, const DispatchAnswer_t *answer)
{
    RelayExchange_t *this = owner;
    RelayPlacementInput_t input = RelayExchange_placementInput(this);
    RelayDestination_t destination;
    this->query = NULL;
    this->ticket = answer->ticket;
    if (this->super.over || this->super.caller_left ||
        !choose_upstream(this, &input, &destination)) {
        RelayExchange_endTicket(this);
        return;
    }
    if (answer->decision.verdict != GROUP_ADMITTED) {
        if (!ask_next_group(this, answer)) {
            refuse_for_group(this, answer);
        }
        return;
    }
    if (!is_usable(&destination, &answer->choice)) {
        RelayExchange_endTicket(this);
        start_or_shed(this, &input, &destination);
        return;
    }
    destination.choice = answer->choice;
    start_admitted(this, &input, &destination);
}

/* Dispatch, or NULL if there is none, the request has no home, as its route is
 * not placed by prefix or its prompt has no prefix, it requires a software
 * version, which the dispatcher does not consider, or it has asked for
 * capacity at an upstream's limit, which it does after the query. */
static Dispatch_t *
select_dispatcher(const RelayExchange_t *this,
                  const RelayPlacementInput_t *input)
{
    const Exchange_t *super = &this->super;
    gboolean was_queried =
        input->terms.permitted || super->upstream_gate.refusals > 0;
    gboolean has_home = this->route->by_prefix && this->request.part_count > 0;
    return has_home && !was_queried && !input->software
               ? super->context->dispatch
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

/* A request that must not be refused has no left_ms. */
static void
fill_admission(RelayExchange_t *this, const Placement_t *placement)
{
    Exchange_t *super = &this->super;
    GBytes *key = super->context->settings->keys.salt;
    gboolean is_refusable = may_be_shed(this);
    this->admission = (DispatchAdmission_t){0};
    if (placement->urgent_objective_us <= 0 || !super->request_hashes) {
        return;
    }
    const RequestDigest_t *digest =
        RequestHashes_digest(super->request_hashes, key);
    memcpy(&this->admission.key, digest->bytes, sizeof(this->admission.key));
    this->admission.customer =
        RequestHashes_customerHash(super->request_hashes, key);
    this->admission.left_ms =
        is_refusable ? MAX(super->deadline_ms - Clock_nowMs(), 1) : 0;
    this->admission.has_next = is_refusable && placement->urgent &&
                               placement->groups > 1 && this->next_group == 0;
}

/* Decides on a request in a group that this router dispatches for itself. */
static void
decide_here(RelayExchange_t *this, const RelayPlacementInput_t *input,
            RelayDestination_t *destination)
{
    DispatchAnswer_t answer = {.choice = destination->choice};
    answer.decision =
        Dispatch_decide(this->super.context->dispatch, &destination->placement,
                        &destination->choice, &this->admission);
    if (answer.decision.verdict == GROUP_ADMITTED) {
        start_admitted(this, input, destination);
    }
    else if (!ask_next_group(this, &answer)) {
        refuse_for_group(this, &answer);
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
    fill_admission(this, &destination.placement);
    this->query =
        dispatch ? Dispatch_query(dispatch, &destination.placement,
                                  this->request.model, &destination.choice,
                                  &this->admission, on_dispatched, this)
                 : NULL;
    if (!this->query && dispatch) {
        decide_here(this, &input, &destination);
    }
    else if (!this->query) {
        start_or_shed(this, &input, &destination);
    }
}
