#ifndef HEADER_OrderPath
#define HEADER_OrderPath
/**
 * DOC: OrderPath
 *
 * Whether the orders of this router reach the engines that need one. A router
 * that reaches the store can renew the lease of the orders although it has no
 * path to any engine, so it must leave the lease to other routers then.
 */
#include <glib.h>

/**
 * struct OrderPath_t - zeroed at the start
 * @blocked_ms: since when none of the engines can be reached, monotonic; 0
 *     while some can
 * @lost_ms: when the path was lost, monotonic; 0 for a path that is in use
 */
typedef struct {
    gint64 blocked_ms;
    gint64 lost_ms;
} OrderPath_t;

/**
 * OrderPath_update() - apply the current state of the engines
 * @pending: number of engines that need an order
 * @unreachable: those among them that this router can't reach
 * @lease_ms: duration of a lease; a lost path is not in use again before that,
 *     so that two routers do not take the lease in turns
 *
 * Return: whether the path was lost or found by this call
 */
gboolean OrderPath_update(OrderPath_t *this, guint pending, guint unreachable,
                          gint64 lease_ms, gint64 now_ms);

/** OrderPath_isBlocked() - whether this router must not take the lease */
gboolean OrderPath_isBlocked(const OrderPath_t *this);

/** OrderPath_isLost() - whether this router must give up the lease */
gboolean OrderPath_isLost(const OrderPath_t *this);

#endif
