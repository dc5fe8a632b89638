#ifndef HEADER_CrashGuard
#define HEADER_CrashGuard
/**
 * DOC: CrashGuard
 *
 * Keeps poison requests, which crash the upstreams that run them, from being
 * sent to further upstreams. It is notified of each lost or completed attempt,
 * finds out whether the upstream has crashed (CrashEvidence.h), shares the
 * crashes with all routers (CrashTable.h, CrashUpdates.h, CrashRecords.h) and
 * decides whether a request is quarantined. A request that was completed
 * shortly before (CompletedRequests.h) is exempt once. Requests with a part of
 * a prompt that crashes upstreams are kept back in the same way (PartGuard.h).
 */
#include <event2/event.h>

#include "Counters.h"
#include "CrashTable.h"
#include "CrashVerdict.h"
#include "Membership.h"
#include "PartGuard.h"
#include "RecordSource.h"
#include "RequestHashes.h"
#include "StoreEpoch.h"
#include "Upstream.h"
#include "UpstreamPath.h"

/**
 * struct CrashGuardSpec_t - dependencies; all must outlive the guard
 * @membership: of the other routers
 * @counters: of this router
 * @key: of the request digests, the same on all routers
 * @source: of the stored records; must be freed before the guard
 * @epoch: of the platform's store
 * @topic: of the stored records
 * @tests_upstreams: see CrashEvidence_create()
 * @path: see CrashEvidence_setPath(); or NULL
 * @recheck: called for each active request when a quarantine begins
 */
typedef struct {
    Membership_t *membership;
    Counters_t *counters;
    GBytes *key;
    RecordSource_t *source;
    StoreEpoch_t *epoch;
    const char *topic;
    gboolean tests_upstreams;
    UpstreamPath_t *path;
    void (*recheck)(void *request);
} CrashGuardSpec_t;

/** struct CrashGuard_t - opaque */
typedef struct CrashGuard CrashGuard_t;

/** CrashGuard_create() - create without crashes and start to read the stored
 * records */
CrashGuard_t *CrashGuard_create(struct event_base *base,
                                const CrashGuardSpec_t *spec);

/** CrashGuard_destroy() - free the guard */
void CrashGuard_destroy(CrashGuard_t *this);

/** CrashGuard_addRequest() - register an active request for rechecks */
void CrashGuard_addRequest(CrashGuard_t *this, void *request);

/** CrashGuard_removeRequest() - unregister a request */
void CrashGuard_removeRequest(CrashGuard_t *this, void *request);

/**
 * CrashGuard_isQuarantined() - whether a request must not be sent to any
 * upstream
 * @out: the reason; meaningful only if TRUE is returned
 */
gboolean CrashGuard_isQuarantined(CrashGuard_t *this, RequestHashes_t *hashes,
                                  CrashVerdict_t *out);

/** CrashGuard_logQuarantined() - log why a request was not sent
 * @request: id of the request */
void CrashGuard_logQuarantined(const CrashGuard_t *this,
                               RequestHashes_t *hashes,
                               const CrashVerdict_t *verdict,
                               const char *request);

/**
 * struct AttemptLoss_t - an attempt of a request that failed at an upstream
 * @request: id of the request
 * @upstream: that the attempt was sent to
 * @sent_ms: when it was sent, monotonic
 * @connection_lost: TRUE if the connection broke; FALSE if the upstream went
 *     silent
 * @began_ms: when the answer began, monotonic; 0 if it had not
 */
typedef struct {
    const char *request;
    Upstream_t *upstream;
    gint64 sent_ms;
    gboolean connection_lost;
    gint64 began_ms;
} AttemptLoss_t;

/** CrashGuard_noteLostAttempt() - an attempt of a request failed */
void CrashGuard_noteLostAttempt(CrashGuard_t *this, RequestHashes_t *hashes,
                                const AttemptLoss_t *loss);

/** CrashGuard_noteConnectFailed() - a connection to an upstream could not be
 * opened */
void CrashGuard_noteConnectFailed(CrashGuard_t *this,
                                  const Upstream_t *upstream);

/** CrashGuard_noteBegun() - the answer to a request has gone on for
 * PART_ANSWER_BEGUN_MS
 * @began_ms: when it began, monotonic */
void CrashGuard_noteBegun(CrashGuard_t *this, RequestHashes_t *hashes,
                          gint64 began_ms);

/**
 * CrashGuard_noteComplete() - an upstream has completed a request
 * @sent_ms: when the request was sent to the upstream, monotonic
 * @began_ms: when the answer began, monotonic; 0 if that is not known
 */
void CrashGuard_noteComplete(CrashGuard_t *this, RequestHashes_t *hashes,
                             const Upstream_t *upstream, gint64 sent_ms,
                             gint64 began_ms);

/** CrashGuard_receive() - apply a peer's message, sent at most @transit_ms ago
 */
void CrashGuard_receive(CrashGuard_t *this, const Wt__CrashNews *message,
                        gint64 transit_ms);

/** CrashGuard_syncPeer() - send all known crashes to a router that just
 * connected */
void CrashGuard_syncPeer(CrashGuard_t *this, Member_t *member);

/** CrashGuard_release() - release a request, or a part of prompts, from
 * quarantine for an operator
 *
 * Return: FALSE if no valid crash of it is known
 */
gboolean CrashGuard_release(CrashGuard_t *this, const RequestDigest_t *digest);

/** CrashGuard_forEach() - visit the entries of all requests */
void CrashGuard_forEach(const CrashGuard_t *this, CrashVisit_t visit,
                        void *data);

/** CrashGuard_forEachPart() - visit the entries of all parts of prompts */
void CrashGuard_forEachPart(const CrashGuard_t *this, PartVisit_t visit,
                            void *data);

#endif
