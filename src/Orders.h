#ifndef HEADER_Orders
#define HEADER_Orders
/**
 * DOC: Orders
 *
 * Brings the engines of this router's region to the wanted weights. Only the
 * holder of the region's lease sends orders, each with the lease's fencing
 * number. A fixed number of routers may take the lease; any other router takes
 * over if the roll-out makes no progress for a while. An order names the
 * wanted state rather than a step towards it. It is sent only if the lease
 * lasts longer than the order's timeout, so that even an engine that ignores
 * the number never gets an order from a holder that has lost the lease.
 */
#include <event2/event.h>

#include "Counters.h"
#include "LogClient.h"
#include "ManagedEngine.h"
#include "Membership.h"
#include "Settings.h"
#include "StoreEpoch.h"

/**
 * WantedWeightsOf_t - looks up the weights that an upstream should have
 *
 * Return: FALSE if the upstream is no engine or no weights are wanted for it
 */
typedef gboolean (*WantedWeightsOf_t)(void *data, const Upstream_t *upstream,
                                      WantedWeights_t *out);

/**
 * struct OrdersSpec_t - dependencies; all must outlive the object
 * @settings: of this router
 * @incarnation: of this process
 * @log: client of the log that holds the lease
 * @epoch: epoch of the store that holds the log
 * @form: wire format of orders
 * @wanted: looks up wanted weights; called again at each step
 * @wanted_data: passed to @wanted
 * @upstreams: all upstreams; the engines of the region get orders
 * @membership: ranks the candidates for the lease; gossips new weights
 * @hints: broadcasts pauses and loads; NULL for gossip alone
 * @notices: handle notices in the answers of upstreams; or NULL
 * @path: whether this router reaches any upstream; or NULL
 * @counters: for orders
 */
typedef struct {
    const Settings_t *settings;
    guint64 incarnation;
    LogClient_t *log;
    StoreEpoch_t *epoch;
    const OrderForm_t *form;
    WantedWeightsOf_t wanted;
    void *wanted_data;
    UpstreamSet_t *upstreams;
    Membership_t *membership;
    HintBroadcast_t *hints;
    UpstreamNotices_t *notices;
    UpstreamPath_t *path;
    Counters_t *counters;
} OrdersSpec_t;

/** struct Orders_t - opaque */
typedef struct Orders Orders_t;

/** Orders_create() - start sending orders whenever the lease is held */
Orders_t *Orders_create(struct event_base *base, const OrdersSpec_t *spec);

/**
 * Orders_stop() - send no more orders
 *
 * If all engines check fencing numbers, the lease is released, so that another
 * router continues at once; otherwise the lease has to expire.
 */
void Orders_stop(Orders_t *this);

/** Orders_destroy() - free it; the log client must be freed first */
void Orders_destroy(Orders_t *this);

#endif
