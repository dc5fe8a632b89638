#ifndef HEADER_RateCounts
#define HEADER_RateCounts
/**
 * DOC: RateCounts
 *
 * The counts that this router keeps for all (RateBook.h), and what it must
 * know of the others for it: whom to tell that little is left, which part of
 * them it reaches, who comes before it, and that it did not stand still
 * meanwhile.
 */
#include "RateRoll.h"

/** struct RateCounts_t - opaque */
typedef struct RateCounts RateCounts_t;

/** RateCounts_create() - none is kept; all must outlive it */
RateCounts_t *RateCounts_create(RateLinks_t *links, RateRoll_t *roll);

/** RateCounts_destroy() - free it */
void RateCounts_destroy(RateCounts_t *this);

/** RateCounts_rule() - decide on a claim */
RateRuling_t RateCounts_rule(RateCounts_t *this, const RateClaim_t *claim);

/** RateCounts_drop() - another router keeps a subject's count */
void RateCounts_drop(RateCounts_t *this, const char *subject);

/** RateCounts_noteAnswer() - a sign of life came; other tickets are passed
 * over */
void RateCounts_noteAnswer(RateCounts_t *this, guint64 ticket);

/** RateCounts_tick() - look at the others, if it is time */
void RateCounts_tick(RateCounts_t *this, gint64 now_ms);

/** RateCounts_dueMs() - when it will be, monotonic; 0 for never */
gint64 RateCounts_dueMs(const RateCounts_t *this);

#endif
