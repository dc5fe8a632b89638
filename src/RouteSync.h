#ifndef HEADER_RouteSync
#define HEADER_RouteSync
/**
 * DOC: RouteSync
 *
 * Follows the operators' records on the platform's store: the whole
 * configuration and the named versions of weights.
 */
#include "Membership.h"
#include "NamedWeights.h"
#include "PlatformForm.h"
#include "RouteTable.h"

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
 * @wait_ms: the same for all others
 * @unknown_age_ms: age that is assumed of versions named before the start
 */
typedef struct {
    RecordSource_t *source;
    const PlatformForm_t *form;
    RouteTable_t *routes;
    NamedWeights_t *weights;
    Membership_t *membership;
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
void RouteSync_take(RouteSync_t *this, const Wt__ConfigCurrent *message);

/** RouteSync_setWaits() - for the reads from now on, as for create */
void RouteSync_setWaits(RouteSync_t *this, gint64 reader_wait_ms,
                        gint64 wait_ms);

/** RouteSync_destroy() - free it; its source must be freed first */
void RouteSync_destroy(RouteSync_t *this);

#endif
