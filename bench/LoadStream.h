#ifndef HEADER_LoadStream
#define HEADER_LoadStream
/**
 * DOC: LoadStream
 *
 * One streamed request of the load tool. Times count from the moment at which
 * the request was due, and each token is compared with the answer that the
 * engine stand-in must give to the prompt.
 */
#include <event2/event.h>
#include <glib.h>

#include "Histogram.h"
#include "Workload.h"

/**
 * struct LoadResults_t - measurements of a run; times in microseconds
 * @first_token: time from the due time to the first token
 * @gaps: time between two tokens
 * @asked: requests sent
 * @complete: streams that were complete and had only expected tokens
 * @broken: streams that ended early with an error event or a closed
 *     connection
 * @wrong: streams with a token that was not the expected one
 * @refused: requests answered with an HTTP status other than 200
 * @late: complete streams that ended after their deadline
 * @tokens: tokens received
 * @urgent_asked: requests of the top priority
 * @urgent_in_time: urgent requests that were complete within the deadline
 * @reasons: number of refused and broken streams by error code
 * @samples: due time and delay of the first token of each complete stream, as
 *     pairs of guint64
 */
typedef struct {
    Histogram_t first_token;
    Histogram_t gaps;
    guint64 asked;
    guint64 complete;
    guint64 broken;
    guint64 wrong;
    guint64 refused;
    guint64 late;
    guint64 tokens;
    guint64 urgent_asked;
    guint64 urgent_in_time;
    GHashTable *reasons; /* code -> count */
    GArray *samples;
} LoadResults_t;

/**
 * struct LoadTarget_t - server that receives requests, and their headers
 * @base: event loop
 * @host: IP address
 * @port: TCP port
 * @authorization: value of the Authorization header
 * @direct: the target is an engine rather than a router
 * @deadline_ms: value of X-Request-Deadline-Ms, 0 to omit it
 * @priority: value of X-Priority, or NULL to omit it
 */
typedef struct {
    struct event_base *base;
    const char *host;
    guint16 port;
    const char *authorization;
    gboolean direct;
    guint deadline_ms;
    const char *priority;
} LoadTarget_t;

/** LoadDoneHandler_t - called once when a stream has ended */
typedef void (*LoadDoneHandler_t)(void *data);

/**
 * LoadStream_start() - send a request; takes ownership of @request
 * @due_us: time at which the request was due, monotonic
 */
void LoadStream_start(const LoadTarget_t *target, LoadRequest_t *request,
                      gint64 due_us, LoadResults_t *results,
                      LoadDoneHandler_t done, void *data);

#endif
