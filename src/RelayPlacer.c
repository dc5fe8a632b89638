#include "RelayPlacer.h"

#include <string.h>

#include "Clock.h"

/* Mixes the identity of the parts so far with the next one. */
#define PART_MULTIPLIER G_GUINT64_CONSTANT(0x9E3779B97F4A7C15)

static SaltInput_t
salt_input(const RelayWish_t *wish, const char *weights)
{
    gboolean walled = wish->customer && !wish->customer->shares_cache;
    return (SaltInput_t){
        .customer = walled ? wish->customer->name->str : "",
        .model = wish->request->model ? wish->request->model : "",
        .weights = weights,
        .adapter = "",
        .adapter_weights = "",
    };
}

/* A part is found only behind all parts before it, so that its identity
 * holds theirs. The last part is the request's own and shared with none. */
static void
fill_levels(Placement_t *placement, const RelayRequest_t *request,
            guint64 seed)
{
    guint64 identity = seed;
    guint tokens = 0;
    for (guint i = 0; i < request->part_count; i++) {
        identity = (identity ^ request->parts[i].id) * PART_MULTIPLIER;
        identity ^= identity >> 32;
        tokens += request->parts[i].tokens;
        placement->levels[i] = identity;
        placement->level_tokens[i] = tokens;
    }
    placement->level_count = request->part_count;
    placement->prompt_tokens = MAX(request->prompt_tokens, tokens);
}

void
RelayPlacer_place(const Context_t *context, const RelayWish_t *wish,
                  RelayPlacing_t *out)
{
    const RouterSection_t *router = &context->settings->router;
    out->placement = (Placement_t){
        .target = wish->service,
        .serving = UpstreamSet_serving(context->upstreams, ROLE_SERVICE,
                                       wish->service),
        .generation = UpstreamSet_generation(context->upstreams),
        .hall = router->hall->str,
        .region = router->region->str,
        .avoid = wish->avoid,
        .now_ms = Clock_nowMs(),
    };
    out->salt[0] = '\0';
    if (!wish->route->by_prefix) {
        out->choice = Policy_choose(context->service_policy, &out->placement);
        return;
    }
    GBytes *key = context->settings->keys.salt;
    SaltInput_t input = salt_input(wish, "");
    guint64 seed = Salt_make(&input, key, out->salt);
    fill_levels(&out->placement, wish->request, seed);
    out->choice = Policy_choose(context->policy, &out->placement);
    if (out->choice.upstream) {
        input = salt_input(wish, out->choice.upstream->weights->str);
        Salt_make(&input, key, out->salt);
    }
}
