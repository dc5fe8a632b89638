#ifndef HEADER_RateLimits
#define HEADER_RateLimits
/**
 * DOC: RateLimits
 *
 * Whether a limit leaves room for a request. A limit is one of a customer or
 * of an upstream, its subject, and holds for all routers together; there is a
 * way for each answer to who knows what the others have let in, behind one
 * table of functions.
 */
#include <glib.h>

#include "TokenBucket.h"

/**
 * struct RateRequest_t - a request that is to be let in
 * @subject: whose limit it is
 * @limit: without a rate every request is let in
 * @units: that it takes
 */
typedef struct {
    const char *subject;
    RateLimit_t limit;
    double units;
} RateRequest_t;

/**
 * struct RateVerdict_t - what came of it
 * @admitted: it may go on
 * @retry_after_ms: when one that may not should come back
 * @by: by whose word: "self" for this router's count for all, "keeper" for
 * that of another, "open" for a word that its keeper gave before, "share" for
 *     this router's own part
 * @age_ms: of that word
 * @left: units; below 0 while some are owed
 */
typedef struct {
    gboolean admitted;
    guint retry_after_ms;
    const char *by;
    gint64 age_ms;
    double left;
} RateVerdict_t;

/** RateDone_t - called once for a question that was not cancelled */
typedef void (*RateDone_t)(void *owner, const RateVerdict_t *verdict);

/** struct RateAsk_t - a question under way; opaque */
typedef struct RateAsk RateAsk_t;

typedef struct RateLimits RateLimits_t;

/**
 * struct RateLimitsClass_t - one way
 * @name: for the log
 * @enter: see RateLimits_enter()
 * @cancel: see RateLimits_cancel(); NULL where nothing is ever asked
 * @give_back: see RateLimits_giveBack()
 * @destroy: free it
 */
typedef struct {
    const char *name;
    RateAsk_t *(*enter)(RateLimits_t *this, const RateRequest_t *request,
                        RateVerdict_t *out, RateDone_t done, void *owner);
    void (*cancel)(RateAsk_t *ask);
    void (*give_back)(RateLimits_t *this, const RateRequest_t *request);
    void (*destroy)(RateLimits_t *this);
} RateLimitsClass_t;

/** struct RateLimits_t - extended by each way */
struct RateLimits {
    const RateLimitsClass_t *class;
};

/**
 * RateLimits_enter() - whether a request may go on
 * @request: may be gone when the answer comes
 * @out: set where it is known at once
 * @done: else called with it, not before the return
 * @owner: for @done
 *
 * Return: NULL where @out is set
 */
RateAsk_t *RateLimits_enter(RateLimits_t *this, const RateRequest_t *request,
                            RateVerdict_t *out, RateDone_t done, void *owner);

/** RateLimits_cancel() - forget a question; what it takes is given back */
void RateLimits_cancel(RateLimits_t *this, RateAsk_t *ask);

/** RateLimits_giveBack() - a request that was let in has not run */
void RateLimits_giveBack(RateLimits_t *this, const RateRequest_t *request);

/** RateLimits_destroy() - free it; no question may be open */
void RateLimits_destroy(RateLimits_t *this);

#endif
