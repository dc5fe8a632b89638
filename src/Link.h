#ifndef HEADER_Link
#define HEADER_Link
/**
 * DOC: Link
 *
 * The network link of an engine or a store, over which cached prefixes are
 * moved one after the other: how long a move that begins now has to wait. It
 * adds up the moves that routers have asked for, and what moves took beyond
 * that.
 */
#include <glib.h>

/**
 * struct Link_t - one link
 * @busy_until_us: when the moves that this router asked for end, monotonic
 * @others_us: what other routers' moves still take
 * @excess_us: what moves took beyond what was expected of them
 * @excess_at_ms: when that was learned, monotonic
 */
typedef struct {
    gint64 busy_until_us;
    gint64 others_us;
    double excess_us;
    gint64 excess_at_ms;
} Link_t;

/** Link_begin() - a move of this router over both links */
void Link_begin(Link_t *giver, Link_t *taker, gint64 move_us, gint64 now_us);

/** Link_ownUs() - what the moves of this router still take */
gint64 Link_ownUs(const Link_t *this, gint64 now_us);

/** Link_waitUs() - until a move that is asked for now begins */
gint64 Link_waitUs(const Link_t *this, gint64 now_us);

/** Link_noteExcess() - a move took so much longer than expected, or less */
void Link_noteExcess(Link_t *this, gint64 excess_us, gint64 now_ms);

#endif
