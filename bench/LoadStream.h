#ifndef HEADER_LoadStream
#define HEADER_LoadStream
/**
 * DOC: LoadStream
 *
 * One streamed request of the load tool, measured from the moment at which
 * it was due, and checked token by token against the answer that its prompt
 * must have.
 */
#include <event2/event.h>
#include <glib.h>

#include "Histogram.h"
#include "Workload.h"

/**
 * struct Results_t - what a run has measured; times in microseconds
 * @first_token: from the due time to the first token
 * @gaps: between tokens
 * @whole: streams that were whole and right
 * @broken: streams that ended early with an error event or a cut
 * @wrong: streams with a token that was not the expected one
 * @refused: by reason
 * @late: whole streams whose deadline had passed
 * @tokens: received
 * @urgent_asked: requests of the top priority
 * @urgent_in_time: of these, whole within the deadline
 * @samples: due time and first token's delay of each whole stream, guint64
 *     pairs
 */
typedef struct {
    Histogram_t first_token;
    Histogram_t gaps;
    guint64 asked;
    guint64 whole;
    guint64 broken;
    guint64 wrong;
    guint64 refused;
    guint64 late;
    guint64 tokens;
    guint64 urgent_asked;
    guint64 urgent_in_time;
    GHashTable *reasons; /* code -> count */
    GArray *samples;
} Results_t;

/**
 * struct LoadTarget_t - whom to ask
 * @base: the loop
 * @host: IP number
 * @port: TCP port
 * @authorization: header's value
 * @direct: an engine is asked itself, without a router
 * @deadline_ms: sent with the request, 0 for none
 * @priority: sent with urgent requests, or NULL
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

/** LoadDone_t - called once for each stream */
typedef void (*LoadDone_t)(void *data);

/**
 * LoadStream_start() - ask; takes @asked over
 * @due_us: when it was to be asked, monotonic
 */
void LoadStream_start(const LoadTarget_t *target, Asked_t *asked,
                      gint64 due_us, Results_t *results, LoadDone_t done,
                      void *data);

#endif
