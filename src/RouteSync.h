#ifndef HEADER_RouteSync
#define HEADER_RouteSync
/**
 * DOC: RouteSync
 *
 * Follows the operators' records on the platform's store: the whole
 * configuration and the named versions of weights.
 *
 * Load pattern: hundreds of routers must know of each record within seconds,
 * and that there is no newer one. A call of each router for each record, and
 * its retries while the store is down, would be most of what the store
 * serves. A few readers ask it; the others get short records from them at
 * once and ask a peer for long ones. The store is asked by a router that is
 * behind or untold for longer than that takes, so that neither readers that
 * are gone nor peers that are silent keep it from what is in force.
 */
#include "Membership.h"
#include "ModelVersions.h"
#include "PlatformForm.h"
#include "RouteTable.h"
#include "StoreEpoch.h"

/**
 * struct RouteSyncSpec_t - what it needs; all must outlive it
 * @source: of the records
 * @form: of the platform
 * @routes: gets each newer configuration
 * @weights: gets each newer version
 * @membership: through which routers share how fresh it is
 * @reader_wait_ms: how long the store may hold a read of a router that asks
 *     for the others: bounds how old the knowledge that a configuration is
 *     the newest gets
 * @epoch: of the store
 * @is_alone: no other routers are to be found
 * @counters: for calls to the store
 * @wait_ms: so long after the last word of peers all others ask the store
 * @unknown_age_ms: age that is assumed of versions named before the start
 */
typedef struct {
    RecordSource_t *source;
    const PlatformForm_t *form;
    RouteTable_t *routes;
    ModelVersions_t *weights;
    Membership_t *membership;
    StoreEpoch_t *epoch;
    gboolean is_alone;
    Counters_t *counters;
    gint64 reader_wait_ms;
    gint64 wait_ms;
    gint64 unknown_age_ms;
} RouteSyncSpec_t;

/** struct RouteSync_t - opaque */
typedef struct RouteSync RouteSync_t;

/** RouteSync_create() - start to follow */
RouteSync_t *RouteSync_create(struct event_base *base,
                              const RouteSyncSpec_t *spec);

/** RouteSync_take() - a peer tells how fresh its knowledge is */
void RouteSync_take(RouteSync_t *this, Member_t *from,
                    const Wt__ConfigCurrent *message);

/** RouteSync_introduce() - a router was linked just now */
void RouteSync_introduce(RouteSync_t *this, Member_t *member);

/** RouteSync_takePart() - a peer tells records */
void RouteSync_takePart(RouteSync_t *this, const Wt__TopicPart *message);

/** RouteSync_answer() - a peer asks for records */
void RouteSync_answer(RouteSync_t *this, Member_t *from,
                      const Wt__TopicAsk *message);

/** RouteSync_takeAsk() - a peer that starts asks for all records */
void RouteSync_takeAsk(RouteSync_t *this, Member_t *from,
                       const Wt__ListAsk *ask);

/** RouteSync_takePage() - a peer tells records that it was asked for */
void RouteSync_takePage(RouteSync_t *this, Member_t *from,
                        const Wt__ListPage *page);

/** RouteSync_setWaits() - for the reads from now on, as for create */
void RouteSync_setWaits(RouteSync_t *this, gint64 reader_wait_ms,
                        gint64 wait_ms);

/** RouteSync_destroy() - free it; its source must be freed first */
void RouteSync_destroy(RouteSync_t *this);

#endif
