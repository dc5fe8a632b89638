#ifndef HEADER_OrderPath
#define HEADER_OrderPath
/**
 * DOC: OrderPath
 *
 * Whether the orders of this router can reach engines. A router that reaches
 * the store can renew the lease of the orders although it has no path to any
 * engine, so it must leave the lease to other routers then. Engines that have
 * ended are no reason: no other router reaches them either.
 */
#include <glib.h>

/**
 * struct OrderPath_t - zeroed at the start
 * @blocked_ms: since when no engine can be reached, monotonic; 0 while some
 * can
 * @lost_ms: when the path was lost, monotonic; 0 for a path that is in use
 */
typedef struct {
    gint64 blocked_ms;
    gint64 lost_ms;
} OrderPath_t;

/**
 * struct OrderPathInput_t - current state of the engines
 * @engines: number of engines for which some weights are wanted
 * @unreachable: those among them that this router can't reach
 * @has_no_path: this router reaches no upstream at all
 * @lease_ms: duration of a lease; a lost path is not in use again before that,
 *     so that two routers do not take the lease in turns
 */
typedef struct {
    guint engines;
    guint unreachable;
    gboolean has_no_path;
    gint64 lease_ms;
} OrderPathInput_t;

/** OrderPath_update() - apply the current state of the engines; returns
 * whether the path was lost or found by this call */
gboolean OrderPath_update(OrderPath_t *this, const OrderPathInput_t *input,
                          gint64 now_ms);

/** OrderPath_isBlocked() - whether this router must not take the lease */
gboolean OrderPath_isBlocked(const OrderPath_t *this);

/** OrderPath_isLost() - whether this router must give up the lease */
gboolean OrderPath_isLost(const OrderPath_t *this);

#endif
