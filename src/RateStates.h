#ifndef HEADER_RateStates
#define HEADER_RateStates
/**
 * DOC: RateStates
 *
 * What this router knows of each subject of a limit: the last reply of the
 * router that keeps the subject's count (RateKeeper.h), and what this router
 * has admitted since. The state of a subject is removed a minute after its
 * last use, since upstreams depart and others join under new names for
 * as long as a router runs.
 */
#include "LocalShare.h"
#include "RateLimits.h"
#include "RateLinks.h"

/**
 * struct RateState_t - state of one subject
 * @share: what this router may admit by itself
 * @open: by the last reply requests may be admitted without a query
 * @empty: by the last reply no units were left
 * @reply_ms: when the last reply was received, 0 for never
 * @version: version of the limit that the last reply was about
 * @reported_ms: when the oldest unanswered report was sent, or 0
 * @unreported: units admitted since the last report
 * @used_ms: when the state was last looked up
 */
typedef struct {
    LocalShare_t share;
    gboolean open;
    gboolean empty;
    gint64 reply_ms;
    guint64 version;
    gint64 reported_ms;
    double unreported;
    gint64 used_ms;
} RateState_t;

/** struct RateStates_t - opaque */
typedef struct RateStates RateStates_t;

/** RateStates_create() - start without subjects */
RateStates_t *RateStates_create(void);

/** RateStates_destroy() - free it */
void RateStates_destroy(RateStates_t *this);

/** RateStates_get() - state of a subject, created if there is none */
RateState_t *RateStates_get(RateStates_t *this, const char *subject);

/** RateStates_find() - state of a subject, or NULL */
RateState_t *RateStates_find(const RateStates_t *this, const char *subject);

/** RateState_isExhausted() - whether a recent reply said that no units were
 * left */
gboolean RateState_isExhausted(const RateState_t *this);

/** RateState_isOpen() - whether requests may be admitted without a query and
 * reported afterwards */
gboolean RateState_isOpen(const RateState_t *this, const RateLimit_t *limit,
                          gint64 now_ms);

/** RateState_noteReply() - record a keeper's reply */
void RateState_noteReply(RateState_t *this, gboolean open, double left);

/** RateState_createClaim() - claim for a request; moves the unreported units
 * into the claim */
RateClaim_t RateState_createClaim(RateState_t *this,
                                  const RateRequest_t *request);

#endif
