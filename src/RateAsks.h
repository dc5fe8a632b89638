#ifndef HEADER_RateAsks
#define HEADER_RateAsks
/**
 * DOC: RateAsks
 *
 * Questions about limits that are under way, and when each is late. One that
 * is not answered waits until it is known which of the routers that may keep
 * the count live, and is asked once more.
 */
#include "RateLimits.h"
#include "RateLinks.h"

/** enum RateStep_t - how far a question is */
typedef enum {
    RATE_STEP_ASKED,
    RATE_STEP_ROLL_CALLED,
    RATE_STEP_ASKED_AGAIN,
} RateStep_t;

/**
 * struct RateAsk - one question
 * @asker: who has asked it
 * @ticket: of its messages
 * @step: how far it is
 * @subject: whose limit it is about
 * @limit: as it was known
 * @units: that the request takes
 * @late_ms: from when on no answer is waited for, monotonic
 * @was_sent_on: it was sent to another keeper by the first
 * @cancelled: nobody waits for it any more
 * @done: called with the verdict
 * @owner: for @done
 */
struct RateAsk {
    void *asker;
    guint64 ticket;
    RateStep_t step;
    GString *subject;
    RateLimit_t limit;
    double units;
    gint64 late_ms;
    gboolean was_sent_on;
    gboolean cancelled;
    RateDone_t done;
    void *owner;
};

/** struct RateAsks_t - opaque */
typedef struct RateAsks RateAsks_t;

/** RateAsks_create() - none; @links must outlive it */
RateAsks_t *RateAsks_create(RateLinks_t *links);

/** RateAsks_destroy() - free it; nobody is told */
void RateAsks_destroy(RateAsks_t *this);

/** RateAsks_add() - a new question for a request */
RateAsk_t *RateAsks_add(RateAsks_t *this, void *asker,
                        const RateRequest_t *request);

/** RateAsks_wait() - it goes on to a step, and is late after RATE_WAIT_MS */
void RateAsks_wait(RateAsks_t *this, RateAsk_t *ask, RateStep_t step);

/** RateAsks_find() - by its ticket, or NULL */
RateAsk_t *RateAsks_find(const RateAsks_t *this, guint64 ticket);

/** RateAsks_firstLate() - one that is late, or NULL */
RateAsk_t *RateAsks_firstLate(const RateAsks_t *this, gint64 now_ms);

/** RateAsks_wakeAgain() - ask to be woken when the next one is late */
void RateAsks_wakeAgain(const RateAsks_t *this, gint64 now_ms);

/** RateAsks_finish() - it is gone, and its owner told, unless cancelled */
void RateAsks_finish(RateAsks_t *this, RateAsk_t *ask,
                     const RateVerdict_t *verdict);

/** RateAsk_request() - what was asked; valid as long as the question */
RateRequest_t RateAsk_request(const RateAsk_t *this);

#endif
