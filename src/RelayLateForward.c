#include "RelayLateForward.h"

#include "Clock.h"
#include "Log.h"
#include "RelayForward.h"

gboolean
RelayLateForward_decide(const LateForwardInput_t *input)
{
    gboolean is_path_doubtful =
        input->is_path_in_doubt ||
        (input->is_unsent && !input->has_path_worked) ||
        (input->is_service_unreached && !input->is_unserved);
    return input->run == RUN_NOT && !input->is_from_router &&
           input->left_ms > 0 &&
           (input->is_path_lost || (is_path_doubtful && !input->is_answered));
}

static gint64
attempt_ms(const Exchange_t *super)
{
    gint64 started_us = super->started_us;
    if (super->attempt_trace) {
        started_us += super->attempt_trace->started_us;
    }
    return started_us / CLOCK_US_PER_MS;
}

/* A peer's word is not enough: then the upstream has most likely ended. */
gboolean
RelayLateForward_isServiceUnreached(const RelayExchange_t *exchange)
{
    const Exchange_t *super = &exchange->super;
    const GPtrArray *serving = UpstreamSet_findServing(
        super->context->upstreams, ROLE_SERVICE, super->target->str);
    for (guint i = 0; i < serving->len; i++) {
        const Upstream_t *upstream = g_ptr_array_index(serving, i);
        if (upstream->suspect && !upstream->suspected_by_peer) {
            return TRUE;
        }
    }
    return FALSE;
}

static LateForwardInput_t
build_input(const RelayExchange_t *exchange)
{
    const Exchange_t *super = &exchange->super;
    const UpstreamPath_t *path = super->context->path;
    return (LateForwardInput_t){
        .run = Exchange_runState(super),
        .is_from_router = RelayAnswer_isForRouter(exchange->answer),
        .is_unsent = exchange->is_unsent,
        .is_answered = super->attempts > 0 && !exchange->is_unsent,
        .is_path_lost = UpstreamPath_isLost(path),
        .is_path_in_doubt = UpstreamPath_isInDoubt(path),
        .has_path_worked =
            UpstreamPath_hasWorkedSince(path, attempt_ms(super)),
        .is_service_unreached = RelayLateForward_isServiceUnreached(exchange),
        .is_unserved = ForwardPeers_isUnserved(
            super->context->forward_peers, super->target->str, Clock_nowMs()),
        .left_ms = super->deadline_ms - Clock_nowMs(),
    };
}

static void
log_decision(const RelayExchange_t *exchange, const LateForwardInput_t *input)
{
    Log_begin(LOG_LEVEL_INFO, "request_taken_before_loss");
    Log_text("request", exchange->super.id->str);
    Log_number("attempts", exchange->super.attempts);
    Log_number("unsent", input->is_unsent);
    Log_number("answered", input->is_answered);
    Log_number("path_lost", input->is_path_lost);
    Log_number("path_in_doubt", input->is_path_in_doubt);
    Log_number("path_worked", input->has_path_worked);
    Log_number("service_unreached", input->is_service_unreached);
    Log_number("left_ms", input->left_ms);
    Log_end();
}

/* Without another router the refusal of this one says more. */
static gboolean
has_peer(const RelayExchange_t *exchange)
{
    return ForwardPeers_choose(exchange->super.context->forward_peers, NULL,
                               Clock_nowMs()) != NULL;
}

static gboolean
is_wanted(const RelayExchange_t *exchange, const LateForwardInput_t *input)
{
    gboolean is_wanted = RelayAnswer_request(exchange->answer) &&
                         RelayLateForward_decide(input) && has_peer(exchange);
    if (is_wanted) {
        log_decision(exchange, input);
    }
    return is_wanted;
}

gboolean
RelayLateForward_isDue(const RelayExchange_t *exchange)
{
    LateForwardInput_t input = build_input(exchange);
    return input.is_path_lost && is_wanted(exchange, &input);
}

gboolean
RelayLateForward_mayReplace(const RelayExchange_t *exchange, Refusal_t refusal)
{
    LateForwardInput_t input = build_input(exchange);
    return refusal == REFUSAL_NO_UPSTREAM && is_wanted(exchange, &input);
}

void
RelayLateForward_start(RelayExchange_t *exchange)
{
    const Exchange_t *super = &exchange->super;
    RelayTakeOverSpec_t spec = {
        .id = super->id->str,
        .service = super->target->str,
        .answer = g_steal_pointer(&exchange->answer),
        .body = exchange->request_body,
        .is_repeatable = super->repeatable,
        .deadline_ms = super->deadline_ms,
    };
    RelayForward_takeOver(super->context, &spec);
}
