#ifndef HEADER_OrderedEngine
#define HEADER_OrderedEngine
/**
 * DOC: OrderedEngine
 *
 * One engine as the giver of orders sees it: what was read of it under the
 * giver's own lease, and the order that is under way. An engine is told to
 * the peers as pausing before it gets an order, so that they send it nothing
 * that it would refuse.
 */
#include "Counters.h"
#include "HintFlood.h"
#include "Lease.h"
#include "Membership.h"
#include "OrderForm.h"
#include "UpstreamNotices.h"

/**
 * struct OrderGiver_t - what all engines of a giver share
 * @base: of its calls
 * @form: how engines are spoken to
 * @lease: under which it orders
 * @membership: told of pauses and loads, for gossip
 * @hints: tells all routers of pauses and loads; NULL for gossip alone
 * @notices: take in what answers say of their upstreams; or NULL
 * @counters: for orders
 * @holder: its name
 * @timeout_ms: for each call
 * @stale_until_ms: an engine has seen a higher number; no order until then
 */
typedef struct {
    struct event_base *base;
    const OrderForm_t *form;
    Lease_t *lease;
    Membership_t *membership;
    HintFlood_t *hints;
    UpstreamNotices_t *notices;
    Counters_t *counters;
    const char *holder;
    gint64 timeout_ms;
    gint64 stale_until_ms;
} OrderGiver_t;

/**
 * struct WantedWeights_t - what an engine should have; texts of its owner
 * @model: whose weights
 * @weights: the version
 * @lag_ms: how long the engine has lacked a newer version; 0 where unknown
 */
typedef struct {
    const char *model;
    const char *weights;
    gint64 lag_ms;
} WantedWeights_t;

/** struct OrderedEngine_t - opaque */
typedef struct OrderedEngine OrderedEngine_t;

/** OrderedEngine_create() - nothing is known of it yet */
OrderedEngine_t *OrderedEngine_create(OrderGiver_t *giver,
                                      Upstream_t *upstream);

/** OrderedEngine_destroy() - cancel its call and free it */
void OrderedEngine_destroy(OrderedEngine_t *this);

/** OrderedEngine_upstream() - which one it is */
Upstream_t *OrderedEngine_upstream(const OrderedEngine_t *this);

/** OrderedEngine_isOpen() - whether a call to it is under way */
gboolean OrderedEngine_isOpen(const OrderedEngine_t *this);

/**
 * OrderedEngine_isLoading() - whether it holds one of the places of those
 * that load at once
 */
gboolean OrderedEngine_isLoading(const OrderedEngine_t *this);

/**
 * OrderedEngine_tend() - the next step towards the wanted weights, if any
 * @may_load: whether a place for one more load is free
 *
 * Return: TRUE where it has taken that place
 */
gboolean OrderedEngine_tend(OrderedEngine_t *this,
                            const WantedWeights_t *wanted, gboolean may_load);

/** OrderedEngine_isNext() - whether it waits for a place to load */
gboolean OrderedEngine_isNext(const OrderedEngine_t *this,
                              const WantedWeights_t *wanted);

/** OrderedEngine_warn() - it is among the next to load: routers send it no
 * request any more that would run for long */
void OrderedEngine_warn(OrderedEngine_t *this);

#endif
