#ifndef HEADER_OrderTurn
#define HEADER_OrderTurn
/**
 * DOC: OrderTurn
 *
 * Which router takes the lease of the orders when its holder is gone. Routers
 * are ranked alike on all of them, and those before a router may be cut off
 * from the store without knowing or saying so. Each therefore waits only for
 * as long as one that reaches the store takes to be seen, and so many may
 * take the lease that an outage for a third of the routers spares one of
 * them.
 */
#include <glib.h>

/** Routers that may take the lease at any time. A third of them and one more
 * is within them at up to 21 routers; beyond, one in 6,000 outages of a third
 * takes them all */
#define ORDER_TURN_CANDIDATES 8

/** Of these, so many follow the lease also while there is nothing to order:
 * each costs a call to the store in a poll */
#define ORDER_TURN_FOLLOWERS 3

/**
 * OrderTurn_isCandidate() - whether a router may take the lease
 * @rank: of the router
 * @stalled_ms: for how long nothing has come of wanted weights
 */
gboolean OrderTurn_isCandidate(guint rank, gint64 stalled_ms);

/** OrderTurn_patienceMs() - how long a candidate leaves a free lease to those
 * ranked before it */
gint64 OrderTurn_patienceMs(guint rank);

#endif
