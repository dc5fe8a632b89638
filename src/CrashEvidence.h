#ifndef HEADER_CrashEvidence
#define HEADER_CrashEvidence
/**
 * DOC: CrashEvidence
 *
 * Whether an upstream has ended under a request. That an attempt broke off is
 * no proof: connections break for other reasons as well, and a request that is
 * told to have ended an upstream which lives would be held back for nothing.
 * An attempt that broke off is kept until one of these is seen:
 *
 * - the upstream has ended: no connection to it comes up, its incarnation is
 *   another one, it is no longer listed, or another one has its address;
 * - it lives: a request that was sent to it later has come through.
 *
 * Where neither is seen in time nothing is counted. An upstream that was
 * leaving as the attempt broke off ends by plan, which is no crash.
 */
#include <event2/event.h>

#include "RequestDigest.h"
#include "Upstream.h"

/**
 * struct CrashLoss_t - an attempt that broke off
 * @digest: of the request
 * @owner: its customer; see RequestDigest_hashCustomer()
 * @request: its id
 * @upstream: of the attempt
 * @incarnation: of the upstream
 * @is_cut: the connection broke; else the upstream fell silent, where only its
 *     end itself counts
 * @at_ms: when, monotonic
 * @tried_ms: when a connection there was last tried for it, 0 for never
 */
typedef struct {
    RequestDigest_t digest;
    guint64 owner;
    GString *request;
    Upstream_t *upstream;
    guint64 incarnation;
    gboolean is_cut;
    gint64 at_ms;
    gint64 tried_ms;
} CrashLoss_t;

/**
 * struct CrashEvidenceEvents_t - what it tells its owner
 * @ended: the upstream has ended; @proof says how that is known
 */
typedef struct {
    void (*ended)(void *owner, const CrashLoss_t *loss, const char *proof);
} CrashEvidenceEvents_t;

/** struct CrashEvidence_t - opaque */
typedef struct CrashEvidence CrashEvidence_t;

/**
 * CrashEvidence_create() - nothing broke off
 * @connects: see for itself whether a connection comes up, where nobody else
 *     probes upstreams that are in doubt
 */
CrashEvidence_t *CrashEvidence_create(struct event_base *base,
                                      gboolean connects,
                                      const CrashEvidenceEvents_t *events,
                                      void *owner);

/** CrashEvidence_destroy() - free it */
void CrashEvidence_destroy(CrashEvidence_t *this);

/**
 * CrashEvidence_add() - an attempt broke off
 * @loss: @request and @upstream are copied and held
 */
void CrashEvidence_add(CrashEvidence_t *this, const CrashLoss_t *loss);

/** CrashLossTest_t - whether a loss is one of those that are asked for */
typedef gboolean (*CrashLossTest_t)(const CrashLoss_t *loss, const void *data);

/** CrashEvidence_count() - upstreams where an attempt of a request was cut
 * lately, and of which it is not known yet whether they have ended
 * @is_counted: those for which it says TRUE are left out */
guint CrashEvidence_count(const CrashEvidence_t *this,
                          const RequestDigest_t *digest,
                          CrashLossTest_t is_counted, const void *data);

/** CrashEvidence_forget() - a request has come through since */
void CrashEvidence_forget(CrashEvidence_t *this,
                          const RequestDigest_t *digest);

/** CrashEvidence_isEmpty() - whether all is known */
gboolean CrashEvidence_isEmpty(const CrashEvidence_t *this);

/** CrashEvidence_noteUnreached() - no connection to an upstream came up */
void CrashEvidence_noteUnreached(CrashEvidence_t *this,
                                 const Upstream_t *upstream);

/** CrashEvidence_noteLives() - a request that was sent then has come through
 * there */
void CrashEvidence_noteLives(CrashEvidence_t *this, const Upstream_t *upstream,
                             gint64 sent_ms);

#endif
