#ifndef HEADER_Orders
#define HEADER_Orders
/**
 * DOC: Orders
 *
 * Brings the engines of this router's region to the wanted weights. Only
 * the holder of the region's lease gives orders, each with the lease's
 * number. A few routers may take the lease; any other steps in once nothing
 * has come of wanted weights for a while. An order names the state that is
 * wanted, not a step towards it, and is sent only while the lease outlasts its
 * time-out, so that even an engine that ignores the number never gets an order
 * of a holder that has lost it.
 */
#include <event2/event.h>

#include "Counters.h"
#include "LogClient.h"
#include "Membership.h"
#include "OrderedEngine.h"
#include "Settings.h"
#include "StoreEpoch.h"

/**
 * WantedWeightsOf_t - the weights that an engine should have
 *
 * Return: FALSE where it is no engine or nothing is wanted of it
 */
typedef gboolean (*WantedWeightsOf_t)(void *data, const Upstream_t *upstream,
                                      WantedWeights_t *out);

/**
 * struct OrdersSpec_t - what it needs; all must outlive it
 * @settings: of this router
 * @incarnation: of this process
 * @log: that holds the lease
 * @epoch: of the store that keeps it
 * @form: how engines are spoken to
 * @wanted: asked again at each step
 * @wanted_data: for @wanted
 * @upstreams: those that are engines of the region get orders
 * @membership: tells who may take the lease; told of new weights
 * @hints: tells all routers of pauses and loads; NULL for gossip alone
 * @notices: take in what answers say of their upstreams; or NULL
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
    HintFlood_t *hints;
    UpstreamNotices_t *notices;
    Counters_t *counters;
} OrdersSpec_t;

/** struct Orders_t - opaque */
typedef struct Orders Orders_t;

/** Orders_create() - start to follow the lease */
Orders_t *Orders_create(struct event_base *base, const OrdersSpec_t *spec);

/**
 * Orders_stop() - give no more orders
 *
 * Where all engines check fencing numbers the lease is released, so that
 * another router goes on at once; else it has to lapse.
 */
void Orders_stop(Orders_t *this);

/** Orders_destroy() - free it; the log client must be freed first */
void Orders_destroy(Orders_t *this);

#endif
