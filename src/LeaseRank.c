#include "LeaseRank.h"

/* An append and the read that returns it take two calls; one call to a slow
 * store takes 240 ms. If two routers take the lease at once, this costs one
 * call, as the record of the second one has no effect. */
#define DELAY_PER_RANK_MS 180
/* After this time without progress of the roll-out, all candidates may be
 * down or cut off, and any router may take over. The delay varies by rank to
 * limit how many routers try at once. */
#define STALLED_MS 2500
#define TAKEOVER_STEP_MS 350
#define TAKEOVER_STEPS 20

gboolean
LeaseRank_isCandidate(guint rank, gint64 stalled_ms)
{
    gint64 takeover_ms =
        STALLED_MS + (gint64)(rank % TAKEOVER_STEPS) * TAKEOVER_STEP_MS;
    return rank < LEASE_RANK_CANDIDATES || stalled_ms >= takeover_ms;
}

gint64
LeaseRank_delayMs(guint rank)
{
    return (gint64)MIN(rank, LEASE_RANK_CANDIDATES) * DELAY_PER_RANK_MS;
}
