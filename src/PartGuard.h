#ifndef HEADER_PartGuard
#define HEADER_PartGuard
/**
 * DOC: PartGuard
 *
 * Keeps requests with a part of a prompt that crashes the upstreams that begin
 * to answer it from being sent. It is told of crashes and of answers that went
 * well by CrashGuard.h, shares what it knows with all routers (PartTable.h,
 * PartUpdates.h) and stores the quarantined parts.
 */
#include <event2/event.h>

#include "Counters.h"
#include "CrashEvidence.h"
#include "CrashRecords.h"
#include "Membership.h"
#include "PartTable.h"

/** An answer that has gone on for this time after it began shows that its
 * parts are harmless, in ms: several times what a crash takes after that */
#define PART_ANSWER_BEGUN_MS 500

/**
 * struct PartGuardSpec_t - dependencies; all must outlive the guard
 * @membership: of the other routers
 * @counters: of this router
 * @records: stored quarantines
 * @crashes: of requests, which knows the upstreams that are alive after all
 * @evidence: lost attempts of this router that may turn out to be crashes
 * @held: called when a quarantine begins
 * @owner: passed to @held
 */
typedef struct {
    Membership_t *membership;
    Counters_t *counters;
    CrashRecords_t *records;
    const CrashTable_t *crashes;
    const CrashEvidence_t *evidence;
    void (*held)(void *owner);
    void *owner;
} PartGuardSpec_t;

/**
 * struct PartQuarantine_t - why and for how long a part is quarantined
 * @part: the part
 * @crashes: valid crashes plus @pending
 * @pending: upstreams that may have crashed, not yet known
 * @age_ms: time since the latest crash
 * @is_local: this router has recorded a crash itself or has pending ones
 * @wait_ms: time until a request with the part may be sent again
 */
typedef struct {
    PartKey_t part;
    guint crashes;
    guint pending;
    gint64 age_ms;
    gboolean is_local;
    gint64 wait_ms;
} PartQuarantine_t;

/** struct PartGuard_t - opaque */
typedef struct PartGuard PartGuard_t;

/** PartGuard_create() - create without crashes */
PartGuard_t *PartGuard_create(struct event_base *base,
                              const PartGuardSpec_t *spec);

/** PartGuard_destroy() - free the guard */
void PartGuard_destroy(PartGuard_t *this);

/** PartGuard_isEmpty() - whether no crash is known; pending ones aside */
gboolean PartGuard_isEmpty(const PartGuard_t *this);

/**
 * PartGuard_isQuarantined() - whether a request must not be sent because of a
 * part of its prompt
 * @parts: PartKey_t of its prompt
 * @out: the reason; meaningful only if TRUE is returned
 */
gboolean PartGuard_isQuarantined(const PartGuard_t *this, const GArray *parts,
                                 guint64 customer_hash, PartQuarantine_t *out);

/** PartGuard_noteCrash() - an upstream has crashed
 * @attempt: that was lost there
 * @crash: identity of the upstream's incarnation */
void PartGuard_noteCrash(PartGuard_t *this, const LostAttempt_t *attempt,
                         guint64 crash);

/** PartGuard_noteAnswer() - an answer began and went on, or was completed
 * @began_ms: when it began, monotonic */
void PartGuard_noteAnswer(PartGuard_t *this, const GArray *parts,
                          gint64 began_ms);

/** PartGuard_isExplained() - whether a quarantined part explains a crash */
gboolean PartGuard_isExplained(const PartGuard_t *this, guint64 crash);

/** PartGuard_retract() - an upstream is alive after all */
void PartGuard_retract(PartGuard_t *this, guint64 crash);

/** PartGuard_receive() - apply a peer's message, sent at most @transit_ms ago
 */
void PartGuard_receive(PartGuard_t *this, const Wt__CrashNews *message,
                       gint64 transit_ms);

/** PartGuard_readRecord() - apply a stored quarantine */
void PartGuard_readRecord(PartGuard_t *this, const Wt__CrashRecord *record);

/** PartGuard_syncPeer() - send all known crashes to a router that just
 * connected */
void PartGuard_syncPeer(const PartGuard_t *this, Member_t *member);

/** PartGuard_release() - release a part from quarantine for an operator
 *
 * Return: FALSE if no valid crash of the part is known
 */
gboolean PartGuard_release(PartGuard_t *this, const RequestDigest_t *digest);

/** PartGuard_rewriteRecords() - store the quarantines again that the store may
 * have lost */
void PartGuard_rewriteRecords(PartGuard_t *this);

/** PartGuard_expire() - remove old entries; to be called at intervals */
void PartGuard_expire(PartGuard_t *this);

/** PartGuard_forEach() - visit the entries of all parts */
void PartGuard_forEach(const PartGuard_t *this, PartVisit_t visit, void *data);

#endif
