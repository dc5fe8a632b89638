#ifndef HEADER_RateLocalCounts
#define HEADER_RateLocalCounts
/**
 * DOC: RateLocalCounts
 *
 * The counts that this router keeps for all routers (RateCountTable.h), and
 * the checks that this needs: notifies the requesters when a limit is no
 * longer open, measures which fraction of the routers is reachable, probes the
 * candidates that rank above this router, and detects that this process was
 * stalled.
 */
#include "RateCandidates.h"

/** struct RateLocalCounts_t - opaque */
typedef struct RateLocalCounts RateLocalCounts_t;

/** RateLocalCounts_create() - start without counts; @links and @candidates
 * must outlive it */
RateLocalCounts_t *RateLocalCounts_create(RateLinks_t *links,
                                          RateCandidates_t *candidates);

/** RateLocalCounts_destroy() - free it */
void RateLocalCounts_destroy(RateLocalCounts_t *this);

/** RateLocalCounts_decide() - decide on a claim */
RateDecision_t RateLocalCounts_decide(RateLocalCounts_t *this,
                                      const RateClaim_t *claim);

/** RateLocalCounts_remove() - remove a subject's count, as another router
 * keeps it */
void RateLocalCounts_remove(RateLocalCounts_t *this, const char *subject);

/** RateLocalCounts_noteProbeReply() - record the reply to a probe; unknown
 * tickets are ignored */
void RateLocalCounts_noteProbeReply(RateLocalCounts_t *this, guint64 ticket);

/** RateLocalCounts_tick() - run the checks if they are due */
void RateLocalCounts_tick(RateLocalCounts_t *this, gint64 now_ms);

/** RateLocalCounts_dueMs() - when the next checks are due, monotonic; 0 for
 * never */
gint64 RateLocalCounts_dueMs(const RateLocalCounts_t *this);

#endif
