#include "FirstTokenEstimate.h"

#include "CacheStore.h"
#include "PrefixSupply.h"

void
FirstTokenEstimate_expect(FirstTokenEstimate_t *this,
                          const Placement_t *placement, const Choice_t *choice)
{
    const Supply_t *supply = &choice->supply;
    gint64 engine_us =
        choice->cost_us - choice->own_us - supply->move_us - supply->wait_us;
    guint cached = MIN(choice->expected_cached, placement->prompt_tokens);
    *this = (FirstTokenEstimate_t){
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
FirstTokenEstimate_clear(FirstTokenEstimate_t *this)
{
    if (this->supply.source) {
        Upstream_unref(this->supply.source);
        this->supply.source = NULL;
    }
}

static TransferLink_t *
source_link(const FirstTokenEstimate_t *this)
{
    if (this->supply.kind == SUPPLY_ENGINE && this->supply.source) {
        return &this->supply.source->link;
    }
    return this->supply.kind == SUPPLY_STORE ? this->store_link : NULL;
}

/* Splits the delay beyond the expected one between the engine's queue and the
 * source's link, in proportion to the delay expected of each. A slow link must
 * not make the engine look busy: requests that avoid the engine for that need
 * moves over links themselves. */
void
FirstTokenEstimate_learn(const FirstTokenEstimate_t *this, gint64 waited_us,
                         gint64 now_ms)
{
    TransferLink_t *link = source_link(this);
    gint64 moved_us = this->supply.move_us + this->supply.wait_us;
    if (!link || moved_us <= 0) {
        Upstream_noteFirstToken(this->upstream, waited_us,
                                this->missing_tokens, now_ms);
        return;
    }
    gint64 min_us =
        Upstream_minFirstTokenUs(this->upstream, this->missing_tokens) +
        moved_us;
    gint64 excess_us = waited_us - min_us - this->engine_us;
    gint64 link_us = excess_us * moved_us / (moved_us + this->engine_us);
    TransferLink_noteExcess(link, link_us, now_ms);
    Upstream_noteFirstToken(this->upstream, waited_us - moved_us - link_us,
                            this->missing_tokens, now_ms);
}
