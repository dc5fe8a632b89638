#include "Placer.h"

#include "Clock.h"

static const char *
adapter_weights(const Context_t *context, const Prompt_t *prompt)
{
    const Object_t *adapter = ConfigStore_find(context->config, OBJECT_ADAPTER,
                                               prompt->adapter->str);
    return adapter ? ((const Adapter_t *)adapter->spec)->weights->str : "";
}

static void
fill_levels(Placement_t *placement, const Prompt_t *prompt, guint64 seed)
{
    placement->level_count = prompt->level_count;
    for (guint i = 0; i < prompt->level_count; i++) {
        const PromptLevel_t *level = &prompt->levels[i];
        placement->levels[i] = level->hash ^ seed;
        placement->level_tokens[i] =
            (guint)(level->end / PROMPT_BYTES_PER_TOKEN);
    }
}

static void
fill_placement(const Context_t *context, const Prompt_t *prompt,
               const PlacementConstraints_t *constraints,
               PlacerResult_t *result)
{
    const char *model = prompt->model->str;
    result->placement = (Placement_t){
        .target = model,
        .serving =
            UpstreamSet_findServing(context->upstreams, ROLE_ENGINE, model),
        .generation = UpstreamSet_generation(context->upstreams),
        .prompt_tokens = Prompt_tokens(prompt),
        .hall = context->settings->router.hall->str,
        .region = context->settings->router.region->str,
        .weights = result->weights,
        .now_ms = Clock_nowMs(),
    };
    Placement_setConstraints(&result->placement, constraints);
}

gboolean
Placer_place(const Context_t *context, const Prompt_t *prompt,
             const char *customer, const PlacementConstraints_t *constraints,
             PlacerResult_t *result)
{
    const Object_t *model =
        ConfigStore_find(context->config, OBJECT_MODEL, prompt->model->str);
    if (!model) {
        return FALSE;
    }
    result->weights = ((const Model_t *)model->spec)->weights->str;
    SaltInput_t input = {
        .customer = customer,
        .model = prompt->model->str,
        .weights = result->weights,
        .adapter = prompt->adapter->str,
        .adapter_weights = adapter_weights(context, prompt),
    };
    guint64 seed =
        Salt_make(&input, context->settings->keys.salt, result->salt);
    fill_placement(context, prompt, constraints, result);
    fill_levels(&result->placement, prompt, seed);
    result->choice = Policy_choose(context->policy, &result->placement);
    return TRUE;
}
