#include "OrderTurn.h"

/* An append and the read that shows it take two calls; a store that is slow
 * takes 240 ms for one. Two who take at once cost a call, as the record of
 * the second has no effect. */
#define STEP_MS 180
/* Where nothing has come of wanted weights for so long, all candidates may be
 * gone or cut off, and any router may step in; spread out, so that few of
 * them try at once. */
#define STALLED_MS 2500
#define SPREAD_MS 350
#define SPREADS 20

gboolean
OrderTurn_isCandidate(guint rank, gint64 stalled_ms)
{
    gint64 most_ms = STALLED_MS + (gint64)(rank % SPREADS) * SPREAD_MS;
    return rank < ORDER_TURN_CANDIDATES || stalled_ms >= most_ms;
}

gint64
OrderTurn_patienceMs(guint rank)
{
    return (gint64)MIN(rank, ORDER_TURN_CANDIDATES) * STEP_MS;
}
