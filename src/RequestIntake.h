#ifndef HEADER_RequestIntake
#define HEADER_RequestIntake
/**
 * DOC: RequestIntake
 *
 * Watches what callers send before evhttp reads it: whether the framing of
 * their requests is sound (RequestFraming.h), without empty lines between
 * them and with methods that evhttp reads, and whether there is room for
 * their bodies (BodyBudget.h). A connection whose body has no room is read
 * slowly until there is, so that its caller waits and its end is noticed;
 * after a while its request is refused. While memory is short, requests that
 * have stopped are refused (Arrivals.h), and those that grow where nothing is
 * left. A request with a malformed line or too
 * many lines, or one that takes too long to arrive, is refused before evhttp
 * has read it, and its connection is closed. So is one that evhttp refuses by
 * itself, in place of evhttp's page (ErrorPage.h).
 */
#include <event2/bufferevent.h>
#include <event2/http.h>

#include "Arrivals.h"
#include "BodyBudget.h"
#include "Counters.h"
#include "MemoryUse.h"

/**
 * struct IntakeLimits_t - limits of bodies; must outlive the server
 * @budget: of all bodies
 * @memory: of the process
 * @arrivals: from RequestIntake_begin()
 * @max_body: largest body, which a body of unknown length claims
 * @max_header: longest head of a caller; RELAY_ADDED_BYTES more for another
 *     router
 * @key_header: header that carries a caller's key, or NULL
 * @forward_proof: proves that another router sends a request
 * @read_timeout_ms: how long a head may take, and a body beyond a second for
 *     each KiB; 0 for no limit
 * @counters: of refused requests
 */
typedef struct {
    BodyBudget_t *budget;
    MemoryUse_t *memory;
    Arrivals_t *arrivals;
    gsize max_body;
    gsize max_header;
    const char *key_header;
    const char *forward_proof;
    gint64 read_timeout_ms;
    Counters_t *counters;
} IntakeLimits_t;

/** RequestIntake_begin() - before connections are watched
 * @limits: with @memory and @budget */
void RequestIntake_begin(struct event_base *base, IntakeLimits_t *limits);

/** RequestIntake_clear() - forget all connections, which must have been freed
 */
void RequestIntake_clear(void);

/** RequestIntake_countArriving() - requests of which a part has come, and the
 * last bytes a short while ago; some of them may have been given up since */
guint RequestIntake_countArriving(gint64 now_ms);

/** RequestIntake_watch() - watch a connection that a server accepts */
void RequestIntake_watch(struct bufferevent *stream,
                         const IntakeLimits_t *limits);

/** RequestIntake_noteTaken() - a request was handed out; what is written until
 * its answer was sent is no page of evhttp. To be called first, as it sets the
 * callback of the request's completion. */
void RequestIntake_noteTaken(struct evhttp_request *request);

/**
 * RequestIntake_isAmbiguous() - whether receivers of a request may disagree
 * on where its body ends
 *
 * By its head (BodyFraming_isAmbiguousRequest()), or because the chunks of a
 * request on its connection are broken. What follows must not be read.
 */
gboolean RequestIntake_isAmbiguous(struct evhttp_request *request);

/** RequestIntake_noteAnswered() - the answer to a request was sent */
void RequestIntake_noteAnswered(struct evhttp_request *request);

/**
 * RequestIntake_takeBody() - move the body out of a request
 *
 * The body counts against the budget until it is freed.
 */
GBytes *RequestIntake_takeBody(struct evhttp_request *request);

/** RequestIntake_dropBody() - free the body of a request that is refused */
void RequestIntake_dropBody(struct evhttp_request *request);

#endif
