#ifndef HEADER_RelayForward
#define HEADER_RelayForward
/**
 * DOC: RelayForward
 *
 * A request that this router forwards to another one, as it reaches no
 * upstream itself. The other router treats it like a request of its own
 * callers: it counts it against limits, places and repeats it, and its answer
 * or refusal is passed on unchanged. A request goes over one other router at
 * most. It is forwarded again only if it is certain that it has not run.
 */
#include "Context.h"
#include "RelayAnswer.h"
#include "RelayForm.h"

/**
 * struct RelayForwardSpec_t - a request to forward
 * @http: the caller's evhttp request; the forward answers it
 * @request: the parsed head; the forward frees its contents
 * @is_repeatable: the request may run more than once
 * @limit_ms: longest time that its route allows, 0 for no limit
 */
typedef struct {
    struct evhttp_request *http;
    const RelayRequest_t *request;
    gboolean is_repeatable;
    gint64 limit_ms;
} RelayForwardSpec_t;

/**
 * struct RelayTakeOverSpec_t - a request that was to be served here
 * @id: its id
 * @service: name of its service
 * @answer: the answer to its caller, of which nothing was sent; the forward
 *     takes ownership
 * @body: the caller's body
 * @is_repeatable: the request may run more than once
 * @deadline_ms: monotonic time by which the answer must be complete
 */
typedef struct {
    const char *id;
    const char *service;
    RelayAnswer_t *answer;
    GBytes *body;
    gboolean is_repeatable;
    gint64 deadline_ms;
} RelayTakeOverSpec_t;

/** RelayForward_start() - start to forward a request; the caller always gets
 * an answer or a refusal */
void RelayForward_start(Context_t *context, const RelayForwardSpec_t *spec);

/** RelayForward_takeOver() - as RelayForward_start(), for a request that has
 * not run and whose caller waits */
void RelayForward_takeOver(Context_t *context,
                           const RelayTakeOverSpec_t *spec);

#endif
