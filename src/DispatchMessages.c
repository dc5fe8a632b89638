#include "DispatchMessages.h"

#include "PromptTime.h"

#define TOKENS_PER_KTOKEN 1000

guint32
DispatchMessages_clampUs(gint64 us)
{
    return (guint32)CLAMP(us, 0, G_MAXINT32);
}

static guint64
hash_or_zero(const Upstream_t *upstream)
{
    return upstream ? upstream->hash : 0;
}

void
DispatchMessages_fillQuery(Wt__PlaceAsk *query, const Placement_t *placement,
                           const char *model,
                           const DispatchAdmission_t *admission)
{
    guint shared_level = Placement_sharedLevel(placement);
    query->target = (char *)placement->target;
    query->model = (char *)(model ? model : "");
    query->prefix = placement->levels[shared_level];
    query->prefix_tokens = placement->level_tokens[shared_level];
    query->prompt_tokens = placement->prompt_tokens;
    query->avoid = hash_or_zero(placement->avoid);
    query->run_us = DispatchMessages_clampUs(placement->run_us);
    query->latest_us = DispatchMessages_clampUs(placement->latest_us);
    query->urgent = placement->urgent;
    query->urgent_objective_us =
        DispatchMessages_clampUs(placement->urgent_objective_us);
    query->group = placement->group;
    query->customer = admission->customer;
    query->request = admission->key;
    query->left_ms = DispatchMessages_clampUs(admission->left_ms);
    query->has_next = admission->has_next;
}

void
DispatchMessages_fillAnswer(Wt__PlaceAnswer *answer, const Choice_t *choice,
                            const GroupDecision_t *decision)
{
    answer->upstream = hash_or_zero(choice->upstream);
    answer->fetch_from = hash_or_zero(choice->supply.source);
    answer->supply = choice->supply.kind;
    answer->move_us = DispatchMessages_clampUs(choice->supply.move_us);
    answer->move_wait_us = DispatchMessages_clampUs(choice->supply.wait_us);
    answer->cached_tokens = choice->expected_cached;
    answer->cost_us = DispatchMessages_clampUs(choice->cost_us);
    answer->own_us = DispatchMessages_clampUs(choice->own_us);
    answer->group = choice->group;
    answer->reserved = choice->reserved;
    answer->verdict = decision->verdict;
    answer->retry_after_ms = decision->retry_after_ms;
    answer->promised_us = DispatchMessages_clampUs(decision->promised_us);
    answer->is_return = decision->is_return;
    answer->over_share = decision->is_over_share;
    if (choice->upstream && choice->reserved > 0) {
        answer->ktoken_us = DispatchMessages_clampUs(
            (gint64)(TOKENS_PER_KTOKEN *
                     choice->upstream->prefill_us_per_token));
    }
}

gboolean
DispatchMessages_boundAnswer(Wt__PlaceAnswer *answer, guint engines,
                             gint64 left_ms)
{
    static const guint32 ktoken_min =
        (guint32)(TOKENS_PER_KTOKEN * PROMPT_TIME_SLOPE_US_MIN);
    static const guint32 ktoken_max =
        (guint32)(TOKENS_PER_KTOKEN * PROMPT_TIME_SLOPE_US_MAX);
    Wt__PlaceAnswer sent = *answer;
    answer->reserved = MIN(sent.reserved, MAX(engines, 1) - 1);
    answer->retry_after_ms = MIN(sent.retry_after_ms, left_ms);
    if (sent.ktoken_us > 0) {
        answer->ktoken_us = CLAMP(sent.ktoken_us, ktoken_min, ktoken_max);
    }
    return answer->reserved != sent.reserved ||
           answer->retry_after_ms != sent.retry_after_ms ||
           answer->ktoken_us != sent.ktoken_us;
}

/* A router of another build may send kinds that this one does not know. */
static SupplyKind_t
get_supply_kind(const Wt__PlaceAnswer *answer)
{
    return answer->supply <= SUPPLY_COMPUTED ? (SupplyKind_t)answer->supply
                                             : SUPPLY_UNKNOWN;
}

Choice_t
DispatchMessages_readChoice(const Wt__PlaceAnswer *answer,
                            const UpstreamSet_t *upstreams)
{
    return (Choice_t){
        .upstream = UpstreamSet_findByHash(upstreams, answer->upstream),
        .reason = "dispatched",
        .expected_cached = answer->cached_tokens,
        .cost_us = answer->cost_us,
        .own_us = answer->own_us,
        .group = answer->group,
        .reserved = answer->reserved,
        .supply =
            {
                .kind = get_supply_kind(answer),
                .tokens = answer->cached_tokens,
                .move_us = answer->move_us,
                .wait_us = answer->move_wait_us,
                .source =
                    UpstreamSet_findByHash(upstreams, answer->fetch_from),
            },
    };
}

/* A verdict that this build does not know counts as a refusal for lack of
 * room: the dispatcher has opened no ticket. */
GroupDecision_t
DispatchMessages_readDecision(const Wt__PlaceAnswer *answer)
{
    return (GroupDecision_t){
        .verdict = answer->verdict < GROUP_VERDICTS
                       ? (GroupVerdict_t)answer->verdict
                       : GROUP_LATE,
        .retry_after_ms = answer->retry_after_ms,
        .promised_us = answer->promised_us,
        .is_return = answer->is_return,
        .is_over_share = answer->over_share,
    };
}

double
DispatchMessages_readUsPerToken(const Wt__PlaceAnswer *answer)
{
    return (double)answer->ktoken_us / TOKENS_PER_KTOKEN;
}
