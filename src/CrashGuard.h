#ifndef HEADER_CrashGuard
#define HEADER_CrashGuard
/**
 * DOC: CrashGuard
 *
 * Keeps requests that make upstreams end from being sent to more of them. It
 * is told of each attempt that breaks off or comes through, learns whether an
 * upstream has ended (CrashEvidence.h), keeps what all routers know of it
 * together (CrashTable.h, CrashNews.h, CrashRecords.h), and says of a request
 * whether it may be sent. One that has come through a moment before
 * (WholeAnswers.h) is excused once.
 */
#include <event2/event.h>

#include "Counters.h"
#include "CrashSubject.h"
#include "CrashTable.h"
#include "Membership.h"
#include "RecordSource.h"
#include "StoreEpoch.h"
#include "Upstream.h"

/**
 * struct CrashGuardSpec_t - what it needs; all must outlive it
 * @membership: of the other routers
 * @counters: of this router
 * @key: under which digests are made, the same on all routers
 * @source: of the records that last; must be freed first
 * @epoch: of the store that keeps them
 * @topic: that they stand in
 * @connects: nobody else probes upstreams that are in doubt
 * @recheck: called for each open request once one is held back that was not
 */
typedef struct {
    Membership_t *membership;
    Counters_t *counters;
    GBytes *key;
    RecordSource_t *source;
    StoreEpoch_t *epoch;
    const char *topic;
    gboolean connects;
    void (*recheck)(void *request);
} CrashGuardSpec_t;

/**
 * struct CrashVerdict_t - why a request may not be sent
 * @crashes: that count, and attempts that broke off and may be some
 * @open: the latter alone
 * @age_ms: how long ago the last one was
 * @is_own: this router has counted one itself; else all it knows of it was
 *     told by peers or read from the store
 * @wait_ms: when it may be sent again
 */
typedef struct {
    guint crashes;
    guint open;
    gint64 age_ms;
    gboolean is_own;
    gint64 wait_ms;
} CrashVerdict_t;

/** struct CrashGuard_t - opaque */
typedef struct CrashGuard CrashGuard_t;

/** CrashGuard_create() - nothing is known; begins to read the records */
CrashGuard_t *CrashGuard_create(struct event_base *base,
                                const CrashGuardSpec_t *spec);

/** CrashGuard_destroy() - free it */
void CrashGuard_destroy(CrashGuard_t *this);

/** CrashGuard_enter() - a request is open from now on */
void CrashGuard_enter(CrashGuard_t *this, void *request);

/** CrashGuard_leave() - a request is over */
void CrashGuard_leave(CrashGuard_t *this, void *request);

/**
 * CrashGuard_holds() - whether a request must not be sent to any upstream
 * @out: why, where it must not
 */
gboolean CrashGuard_holds(CrashGuard_t *this, CrashSubject_t *subject,
                          CrashVerdict_t *out);

/** CrashGuard_logHeld() - say in the log why a request was not sent
 * @request: its id */
void CrashGuard_logHeld(const CrashGuard_t *this, CrashSubject_t *subject,
                        const CrashVerdict_t *verdict, const char *request);

/**
 * CrashGuard_noteLost() - an attempt of a request broke off at an upstream
 * @request: its id
 * @is_cut: the connection broke; else the upstream fell silent
 */
void CrashGuard_noteLost(CrashGuard_t *this, CrashSubject_t *subject,
                         const char *request, Upstream_t *upstream,
                         gboolean is_cut);

/** CrashGuard_noteUnreached() - no connection to an upstream came up */
void CrashGuard_noteUnreached(CrashGuard_t *this, const Upstream_t *upstream);

/**
 * CrashGuard_noteWhole() - a request came through at an upstream
 * @sent_ms: when it was sent there, monotonic
 */
void CrashGuard_noteWhole(CrashGuard_t *this, CrashSubject_t *subject,
                          const Upstream_t *upstream, gint64 sent_ms);

/** CrashGuard_take() - a peer's message */
void CrashGuard_take(CrashGuard_t *this, const Wt__CrashNews *message);

/** CrashGuard_introduce() - a router was linked just now */
void CrashGuard_introduce(CrashGuard_t *this, Member_t *member);

/** CrashGuard_release() - an operator lets a request go
 *
 * Return: FALSE where nothing counts against it
 */
gboolean CrashGuard_release(CrashGuard_t *this, const RequestDigest_t *digest);

/** CrashGuard_forEach() - all that is known */
void CrashGuard_forEach(const CrashGuard_t *this, CrashVisit_t visit,
                        void *data);

#endif
