#ifndef HEADER_LeaseRank
#define HEADER_LeaseRank
/**
 * DOC: LeaseRank
 *
 * Selects the routers that may take the lease of the orders when its holder
 * has departed. All routers compute the same ranks. A higher-ranked router may
 * be cut off from the store without knowing or reporting it, so each candidate
 * waits only for the time after which a lease of a higher-ranked router would
 * be visible. There are enough candidates that an outage of a third of the
 * routers leaves at least one of them.
 */
#include <glib.h>

/** Number of routers that may take the lease at any time. With up to 21
 * routers, a third of them plus one fits in; with more routers, one in 6,000
 * outages of a third takes out all candidates. */
#define LEASE_RANK_CANDIDATES 8

/** Number of candidates that follow the lease even while there is nothing to
 * order. Each of them costs one call to the store per poll. */
#define LEASE_RANK_FOLLOWERS 3

/**
 * LeaseRank_isCandidate() - whether a router may take the lease
 * @rank: rank of the router, from 0
 * @stalled_ms: time for which the roll-out of weights has made no progress
 */
gboolean LeaseRank_isCandidate(guint rank, gint64 stalled_ms);

/** LeaseRank_delayMs() - how long a candidate waits before it takes a free
 * lease, so that the routers ranked before it can take it first */
gint64 LeaseRank_delayMs(guint rank);

#endif
