#ifndef HEADER_RateRoll
#define HEADER_RateRoll
/**
 * DOC: RateRoll
 *
 * Which of the routers that may keep a count live. One that does not answer is
 * passed over until it is heard of. Of all that may keep a subject's count a
 * sign of life is asked for at once, so that those in one part of a network
 * that was cut find the same keeper within one wait.
 */
#include "Counters.h"
#include "RateLinks.h"

/** No router is there to ask */
#define RATE_NOBODY G_MAXUINT64

/** struct RateRoll_t - opaque */
typedef struct RateRoll RateRoll_t;

/** RateRoll_create() - all are taken to live; all must outlive it */
RateRoll_t *RateRoll_create(RateLinks_t *links, Counters_t *counters);

/** RateRoll_destroy() - free it */
void RateRoll_destroy(RateRoll_t *this);

/** RateRoll_keeper() - the first that is not silent; RATE_NOBODY where all
 * are */
guint64 RateRoll_keeper(RateRoll_t *this, const char *subject);

/**
 * RateRoll_better() - the router that should have been asked instead of this
 * one: it comes before this one, and was heard of just now
 * @asker: which is none
 *
 * Return: RATE_SELF where this one should
 */
guint64 RateRoll_better(RateRoll_t *this, const char *subject, guint64 asker);

/** RateRoll_call() - ask all that may keep a subject's count, or those before
 * this router, for a sign of life */
void RateRoll_call(RateRoll_t *this, const char *subject);

/** RateRoll_noteHeard() - a message of a router came */
void RateRoll_noteHeard(RateRoll_t *this, guint64 router);

/** RateRoll_trust() - others say that a router lives */
void RateRoll_trust(RateRoll_t *this, guint64 router);

/** RateRoll_expire() - who has not shown in time is silent */
void RateRoll_expire(RateRoll_t *this, gint64 now_ms);

/** RateRoll_isWaiting() - whether RateRoll_expire() is wanted */
gboolean RateRoll_isWaiting(const RateRoll_t *this);

#endif
