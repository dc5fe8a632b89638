#ifndef HEADER_UpstreamListing
#define HEADER_UpstreamListing
/**
 * DOC: UpstreamListing
 *
 * Keeps an UpstreamSet in step with the platform's list of live and leaving
 * upstreams. An upstream that is gone from the list gets no new work, but
 * for a while after the list itself was out of reach: entries lapse in an
 * outage and come back soon after it. Routers tell each other what they read
 * of it; each reads for itself only where it is told nothing.
 */
#include "HallRegions.h"
#include "HintFlood.h"
#include "ListedUpstream.h"
#include "Membership.h"
#include "RecordSource.h"
#include "StoreEpoch.h"
#include "UpstreamSet.h"

/**
 * struct UpstreamListingSpec_t - what it needs; all must outlive it
 * @source: of the list
 * @topic: of the list
 * @decode: reads an entry
 * @upstreams: kept in step
 * @membership: told of what is read and of those that leave; NULL for none,
 *     as in module tests
 * @hints: by which routers hear of weights; NULL for none, as in module tests
 * @epoch: of the store
 * @counters: for calls to the store; NULL for none, as in module tests
 * @regions: of the halls that upstreams stand in
 * @poll_ms: oldest that the knowledge of the list may be when it is read
 * @return_ms: how long after an outage a missing entry may still come back
 */
typedef struct {
    RecordSource_t *source;
    const char *topic;
    ListedUpstreamDecode_t decode;
    UpstreamSet_t *upstreams;
    Membership_t *membership;
    HintFlood_t *hints;
    StoreEpoch_t *epoch;
    Counters_t *counters;
    const HallRegions_t *regions;
    gint64 poll_ms;
    gint64 return_ms;
} UpstreamListingSpec_t;

/** struct UpstreamListing_t - opaque */
typedef struct UpstreamListing UpstreamListing_t;

/** UpstreamListing_create() - start to follow the list */
UpstreamListing_t *UpstreamListing_create(struct event_base *base,
                                          const UpstreamListingSpec_t *spec);

/** UpstreamListing_setTimes() - for reads and outages from now on, as for
 * create */
void UpstreamListing_setTimes(UpstreamListing_t *this, gint64 poll_ms,
                              gint64 return_ms);

/** UpstreamListing_destroy() - free it; its source must be freed first */
void UpstreamListing_destroy(UpstreamListing_t *this);

/** UpstreamListing_take() - a peer tells what it has read of the list; @from
 * is asked for what is missing before it, NULL for nobody */
void UpstreamListing_take(UpstreamListing_t *this, Member_t *from,
                          const Wt__TopicPart *message);

/** UpstreamListing_answer() - a peer asks for what is missing */
void UpstreamListing_answer(const UpstreamListing_t *this, Member_t *from,
                            const Wt__TopicAsk *ask);

/** UpstreamListing_takeAsk() - a peer asks for a page of the list; only with
 * a membership */
void UpstreamListing_takeAsk(UpstreamListing_t *this, Member_t *from,
                             const Wt__ListAsk *ask);

/** UpstreamListing_takePage() - a peer tells a page that it was asked for;
 * only with a membership */
void UpstreamListing_takePage(UpstreamListing_t *this, Member_t *from,
                              const Wt__ListPage *page);

/** UpstreamListing_isKnown() - whether some of the list was read */
gboolean UpstreamListing_isKnown(const UpstreamListing_t *this);

#endif
