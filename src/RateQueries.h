#ifndef HEADER_RateQueries
#define HEADER_RateQueries
/**
 * DOC: RateQueries
 *
 * Pending queries about limits and their deadlines. A query without a reply
 * waits for the probes that find out which candidates are alive, and is then
 * sent once more.
 */
#include "RateLimits.h"
#include "RateLinks.h"

/**
 * enum RateStep_t - progress of a query
 * @RATE_STEP_QUERIED: the query was sent
 * @RATE_STEP_PROBED: the reply is overdue, and the candidates were probed
 * @RATE_STEP_RETRIED: the query was sent a second time
 */
typedef enum {
    RATE_STEP_QUERIED,
    RATE_STEP_PROBED,
    RATE_STEP_RETRIED,
} RateStep_t;

/**
 * struct RateQuery - a pending query
 * @requester: RateKeeper_t that sent the query
 * @ticket: ticket of the query's messages
 * @step: progress of the query
 * @subject: customer or upstream that the limit belongs to
 * @limit: the limit as it was known when the query was created
 * @units: units that the request takes
 * @deadline_ms: until when the current step waits for a reply, monotonic
 * @was_redirected: the first keeper redirected the query to another one
 * @cancelled: the request no longer waits for the verdict
 * @done: called with the verdict
 * @owner: first argument of @done
 */
struct RateQuery {
    void *requester;
    guint64 ticket;
    RateStep_t step;
    GString *subject;
    RateLimit_t limit;
    double units;
    gint64 deadline_ms;
    gboolean was_redirected;
    gboolean cancelled;
    RateDone_t done;
    void *owner;
};

/** struct RateQueries_t - opaque */
typedef struct RateQueries RateQueries_t;

/** RateQueries_create() - start without queries; @links must outlive it */
RateQueries_t *RateQueries_create(RateLinks_t *links);

/** RateQueries_destroy() - free it without calling the callbacks of pending
 * queries */
void RateQueries_destroy(RateQueries_t *this);

/** RateQueries_add() - create a query for a request */
RateQuery_t *RateQueries_add(RateQueries_t *this, void *requester,
                             const RateRequest_t *request);

/** RateQueries_awaitReply() - enter a step and wait RATE_REPLY_TIMEOUT_MS for
 * its reply */
void RateQueries_awaitReply(RateQueries_t *this, RateQuery_t *query,
                            RateStep_t step);

/** RateQueries_find() - find a query by its ticket, or NULL */
RateQuery_t *RateQueries_find(const RateQueries_t *this, guint64 ticket);

/** RateQueries_firstOverdue() - the oldest query whose deadline has passed, or
 * NULL */
RateQuery_t *RateQueries_firstOverdue(const RateQueries_t *this,
                                      gint64 now_ms);

/** RateQueries_scheduleTick() - schedule a tick for the next deadline */
void RateQueries_scheduleTick(const RateQueries_t *this, gint64 now_ms);

/** RateQueries_finish() - remove a query and call its callback, unless it was
 * cancelled */
void RateQueries_finish(RateQueries_t *this, RateQuery_t *query,
                        const RateVerdict_t *verdict);

/** RateQuery_request() - the request of a query; valid as long as the query */
RateRequest_t RateQuery_request(const RateQuery_t *this);

#endif
