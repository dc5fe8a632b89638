#ifndef HEADER_RateBook
#define HEADER_RateBook
/**
 * DOC: RateBook
 *
 * What subjects have taken of their limits, as the one router knows it that
 * keeps the count for all (RateKeeper.h). Decisions alone: facts in, a ruling
 * out.
 *
 * The load that it answers: a subject that sends many times its limit, spread
 * over all routers. Each of them sees a small part of it, so that only a count
 * of all can tell; and what it has in excess must be refused before it waits
 * anywhere, or the others' requests wait behind it.
 *
 * A count that begins anew, as the router that kept it is gone, has stood
 * still or is out of reach, does not know what was taken before. It begins
 * with a small part of the depth, or with a debt where routers know that the
 * subject was near its limit: with the whole depth, each new count would let
 * the subject take its burst once more, while routers that still ask the
 * other keeper get theirs there.
 */
#include "TokenBucket.h"

/**
 * struct RateClaim_t - what a router asks or tells
 * @subject: whose limit it is
 * @limit: as the router knows it
 * @units: that a request would take; 0 where only @spent is told
 * @spent: that was let in there unasked, or given back where it is negative
 * @pressed: nothing was left by the last word that the router has
 * @from: identity of the router
 */
typedef struct {
    const char *subject;
    RateLimit_t limit;
    double units;
    double spent;
    gboolean pressed;
    guint64 from;
} RateClaim_t;

/**
 * struct RateRuling_t - what follows
 * @admitted: the request may go on
 * @open: so much is left that routers may let requests in and tell afterwards
 * @closed_now: that has just ended
 * @retry_after_ms: of one that is not admitted, else 0
 * @left: units; below 0 while some are owed
 */
typedef struct {
    gboolean admitted;
    gboolean open;
    gboolean closed_now;
    guint retry_after_ms;
    double left;
} RateRuling_t;

/** RateTold_t - called for a router that has asked of late */
typedef void (*RateTold_t)(guint64 from, void *data);

/** struct RateBook_t - opaque */
typedef struct RateBook RateBook_t;

/** RateBook_create() - nothing is known */
RateBook_t *RateBook_create(void);

/** RateBook_destroy() - free it */
void RateBook_destroy(RateBook_t *this);

/** RateBook_rule() - decide on a claim */
RateRuling_t RateBook_rule(RateBook_t *this, const RateClaim_t *claim,
                           gint64 now_ms);

/**
 * RateBook_setReach() - only a part of all routers is reached
 *
 * Those that are not may have a keeper of their own, which lets in its part.
 * @part: of the routers, 1 for all
 */
void RateBook_setReach(RateBook_t *this, double part);

/** RateBookEach_t - called for a subject whose count is kept */
typedef void (*RateBookEach_t)(const char *subject, void *data);

/** RateBook_forEach() - all subjects whose count is kept; the book must not
 * be changed meanwhile */
void RateBook_forEach(const RateBook_t *this, RateBookEach_t each, void *data);

/** RateBook_counts() - subjects whose count is kept */
guint RateBook_counts(const RateBook_t *this);

/** RateBook_isPressed() - whether a subject is near its limit */
gboolean RateBook_isPressed(const RateBook_t *this, gint64 now_ms);

/** RateBook_forEachAsker() - the routers that asked for a subject of late */
void RateBook_forEachAsker(const RateBook_t *this, const char *subject,
                           gint64 now_ms, RateTold_t told, void *data);

/** RateBook_drop() - another router keeps a subject's count */
void RateBook_drop(RateBook_t *this, const char *subject);

/** RateBook_forget() - what is known is out of date: this process stood
 * still */
void RateBook_forget(RateBook_t *this);

/** RateBook_sweep() - forget subjects that were not heard of for a minute */
void RateBook_sweep(RateBook_t *this, gint64 now_ms);

#endif
