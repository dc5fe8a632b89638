#ifndef HEADER_ManagedEngine
#define HEADER_ManagedEngine
/**
 * DOC: ManagedEngine
 *
 * One engine as the sender of orders sees it: the state that was read under
 * the current lease, and the order that is under way. Before an engine gets an
 * order, its pause is announced to all routers, so that they send it no
 * requests that it would refuse.
 */
#include "Counters.h"
#include "HintBroadcast.h"
#include "Lease.h"
#include "Membership.h"
#include "OrderForm.h"
#include "UpstreamNotices.h"
#include "UpstreamPath.h"

/**
 * struct OrderSender_t - what all engines of a sender share
 * @base: event loop for the calls
 * @form: wire format of orders
 * @lease: lease under which orders are sent
 * @membership: gossips pauses and loads
 * @hints: broadcasts pauses and loads; NULL for gossip alone
 * @notices: handle notices in the answers of upstreams; or NULL
 * @path: told of calls that fail; or NULL
 * @counters: for orders
 * @holder: name of the sender
 * @timeout_ms: for each call
 * @last_order_ms: when the last order was sent, monotonic; 0 for none
 * @stale_until_ms: no order is sent before this time, as an engine has seen a
 *     higher fencing number; 0 for no limit
 */
typedef struct {
    struct event_base *base;
    const OrderForm_t *form;
    Lease_t *lease;
    Membership_t *membership;
    HintBroadcast_t *hints;
    UpstreamNotices_t *notices;
    UpstreamPath_t *path;
    Counters_t *counters;
    const char *holder;
    gint64 timeout_ms;
    gint64 last_order_ms;
    gint64 stale_until_ms;
} OrderSender_t;

/**
 * struct WantedWeights_t - weights that an engine should have; the strings
 * belong to whoever fills it in
 * @model: model to load weights of
 * @weights: wanted version
 * @lag_ms: how long the engine has lacked a newer version; 0 if unknown
 */
typedef struct {
    const char *model;
    const char *weights;
    gint64 lag_ms;
} WantedWeights_t;

/** struct ManagedEngine_t - opaque */
typedef struct ManagedEngine ManagedEngine_t;

/** ManagedEngine_create() - start without a known state */
ManagedEngine_t *ManagedEngine_create(OrderSender_t *giver,
                                      Upstream_t *upstream);

/** ManagedEngine_destroy() - cancel its call and free it */
void ManagedEngine_destroy(ManagedEngine_t *this);

/** ManagedEngine_upstream() - the upstream that the engine is */
Upstream_t *ManagedEngine_upstream(const ManagedEngine_t *this);

/** ManagedEngine_hasCall() - whether a call to the engine is open */
gboolean ManagedEngine_hasCall(const ManagedEngine_t *this);

/**
 * ManagedEngine_isLoading() - whether the engine holds one of the slots for
 * concurrent loads
 */
gboolean ManagedEngine_isLoading(const ManagedEngine_t *this);

/**
 * ManagedEngine_isUnreachable() - whether this router can't reach the engine
 *
 * It suspects the engine after failed requests of its own, or its last call to
 * the engine failed.
 */
gboolean ManagedEngine_isUnreachable(const ManagedEngine_t *this);

/**
 * ManagedEngine_probe() - read the state of an engine whose last call failed,
 * at growing intervals, although this router does not hold the lease
 *
 * Return: whether a read was started
 */
gboolean ManagedEngine_probe(ManagedEngine_t *this);

/**
 * ManagedEngine_advance() - take the next step towards the wanted weights
 * @may_load: whether a slot for one more load is free
 *
 * Return: TRUE if the engine has taken that slot
 */
gboolean ManagedEngine_advance(ManagedEngine_t *this,
                               const WantedWeights_t *wanted,
                               gboolean may_load);

/** ManagedEngine_needsSlot() - whether the engine waits for a slot to load */
gboolean ManagedEngine_needsSlot(const ManagedEngine_t *this,
                                 const WantedWeights_t *wanted);

/** ManagedEngine_announceLoadSoon() - announce that the engine loads soon, so
 * that routers send it no more long-running requests */
void ManagedEngine_announceLoadSoon(ManagedEngine_t *this);

#endif
