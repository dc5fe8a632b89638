#include "FirstToken.h"

#include "CacheStore.h"
#include "PrefixSupply.h"

void
FirstToken_expect(FirstToken_t *this, const Placement_t *placement,
                  const Choice_t *choice)
{
    const Supply_t *supply = &choice->supply;
    gint64 engine_us =
        choice->cost_us - choice->own_us - supply->move_us - supply->wait_us;
    guint cached = MIN(choice->expected_cached, placement->prompt_tokens);
    *this = (FirstToken_t){
        .upstream = choice->upstream,
        .supply = *supply,
        .store_link = placement->cache_store
                          ? CacheStore_link(
                                placement->cache_store,
                                CacheStore_prefix(PrefixSupply_key(placement),
                                                  choice->upstream->weights))
                          : NULL,
        .missing_tokens = placement->prompt_tokens - cached,
        .expected_us = choice->cost_us,
        .engine_us = MAX(engine_us, 0),
    };
    if (this->supply.source) {
        Upstream_ref(this->supply.source);
    }
}

void
FirstToken_clear(FirstToken_t *this)
{
    if (this->supply.source) {
        Upstream_unref(this->supply.source);
        this->supply.source = NULL;
    }
}

static Link_t *
giver_link(const FirstToken_t *this)
{
    if (this->supply.kind == SUPPLY_ENGINE && this->supply.source) {
        return &this->supply.source->link;
    }
    return this->supply.kind == SUPPLY_STORE ? this->store_link : NULL;
}

/* What a first token took beyond what was expected is laid to the engine's
 * queue and to the giver's link, each by what was expected of it: a slow link
 * must not make the engine look busy, as requests that leave it for that need
 * moves of their own. */
void
FirstToken_learn(const FirstToken_t *this, gint64 waited_us, gint64 now_ms)
{
    Link_t *link = giver_link(this);
    gint64 moved_us = this->supply.move_us + this->supply.wait_us;
    if (!link || moved_us <= 0) {
        Upstream_noteFirstToken(this->upstream, waited_us,
                                this->missing_tokens, now_ms);
        return;
    }
    gint64 least_us =
        Upstream_leastUs(this->upstream, this->missing_tokens) + moved_us;
    gint64 excess_us = waited_us - least_us - this->engine_us;
    gint64 link_us = excess_us * moved_us / (moved_us + this->engine_us);
    Link_noteExcess(link, link_us, now_ms);
    Upstream_noteFirstToken(this->upstream, waited_us - moved_us - link_us,
                            this->missing_tokens, now_ms);
}
