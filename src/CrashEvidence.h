#ifndef HEADER_CrashEvidence
#define HEADER_CrashEvidence
/**
 * DOC: CrashEvidence
 *
 * Decides whether a lost attempt means that its upstream has crashed. A lost
 * attempt alone is no proof: connections break for other reasons too, and a
 * request blamed for the crash of a live upstream would be quarantined without
 * cause. A lost attempt is therefore stored until one of these is observed:
 *
 * - the upstream has ended: no connection to it can be opened, its incarnation
 *   has changed, it is no longer listed, or another upstream has its address;
 * - the upstream is alive: it has completed a request that was sent to it
 *   after the loss.
 *
 * If neither is observed before the timeout, no crash is reported. An upstream
 * that had announced leaving when the attempt was lost ends as planned, which
 * is no crash.
 */
#include <event2/event.h>

#include "PromptParts.h"
#include "Upstream.h"
#include "UpstreamPath.h"

/**
 * struct LostAttempt_t - an attempt that failed at its upstream
 * @digest: of the request
 * @customer_hash: of the request's customer; see RequestDigest_hashCustomer()
 * @parts: PartKey_t of the request's prompt; a reference is held
 * @sent_ms: when the attempt was sent, monotonic
 * @began_ms: when the answer began, monotonic; 0 if it had not
 * @request: id of the request
 * @upstream: that the attempt was sent to
 * @incarnation: of the upstream at that time; 0 if unknown
 * @connection_lost: TRUE if the connection broke; FALSE if the upstream went
 *     silent, in which case a failed connection is no proof
 * @at_ms: when the attempt was lost, monotonic
 * @path_was_lost: this router has had no path to upstreams since, so that a
 *     failed connection is no proof
 * @last_test_ms: when a connection was last tested for this attempt,
 *     monotonic; 0 for never
 */
typedef struct {
    RequestDigest_t digest;
    guint64 customer_hash;
    GArray *parts;
    gint64 sent_ms;
    gint64 began_ms;
    GString *request;
    Upstream_t *upstream;
    guint64 incarnation;
    gboolean connection_lost;
    gint64 at_ms;
    gboolean path_was_lost;
    gint64 last_test_ms;
} LostAttempt_t;

/**
 * struct CrashEvidenceEvents_t - callbacks to the owner
 * @ended: the attempt's upstream has ended; @proof is the reason, for the log
 */
typedef struct {
    void (*ended)(void *owner, const LostAttempt_t *attempt,
                  const char *proof);
} CrashEvidenceEvents_t;

/** struct CrashEvidence_t - opaque */
typedef struct CrashEvidence CrashEvidence_t;

/**
 * CrashEvidence_create() - create without lost attempts
 * @tests_upstreams: open test connections to upstreams that lost attempts;
 *     needed if no other part of the router probes suspected upstreams
 */
CrashEvidence_t *CrashEvidence_create(struct event_base *base,
                                      gboolean tests_upstreams,
                                      const CrashEvidenceEvents_t *events,
                                      void *owner);

/**
 * CrashEvidence_setPath() - set how to tell whether this router reaches
 * upstreams
 *
 * A failed connection is proof only once another upstream has answered, and
 * unless this router had no path meanwhile.
 */
void CrashEvidence_setPath(CrashEvidence_t *this, UpstreamPath_t *path);

/** CrashEvidence_destroy() - free the evidence; reports nothing */
void CrashEvidence_destroy(CrashEvidence_t *this);

/**
 * CrashEvidence_add() - store a lost attempt
 * @attempt: copied with @request; a reference to @upstream is held. Ignored if
 *     the upstream is leaving or no longer listed
 */
void CrashEvidence_add(CrashEvidence_t *this, const LostAttempt_t *attempt);

/** LostAttemptFilter_t - whether a lost attempt matches */
typedef gboolean (*LostAttemptFilter_t)(const LostAttempt_t *attempt,
                                        const void *data);

/** CrashEvidence_countPending() - count upstreams that recently lost the
 * connection of a matching attempt and that may or may not have ended */
guint CrashEvidence_countPending(const CrashEvidence_t *this,
                                 LostAttemptFilter_t matches,
                                 const void *data);

/** CrashEvidence_removeRequest() - remove the lost attempts of a request that
 * has been completed */
void CrashEvidence_removeRequest(CrashEvidence_t *this,
                                 const RequestDigest_t *digest);

/** CrashEvidence_isEmpty() - whether no lost attempt is stored */
gboolean CrashEvidence_isEmpty(const CrashEvidence_t *this);

/** CrashEvidence_noteConnectFailed() - a connection to an upstream could not
 * be opened */
void CrashEvidence_noteConnectFailed(CrashEvidence_t *this,
                                     const Upstream_t *upstream);

/** CrashEvidence_noteAlive() - an upstream has completed a request that was
 * sent to it at @sent_ms, monotonic */
void CrashEvidence_noteAlive(CrashEvidence_t *this, const Upstream_t *upstream,
                             gint64 sent_ms);

#endif
