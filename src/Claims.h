#ifndef HEADER_Claims
#define HEADER_Claims
/**
 * DOC: Claims
 *
 * Claims as requests use them. An entry goes to the router that owns its
 * shard, for the sake of cost; where that router does not answer, this one
 * writes to the shard itself. Either way the fold decides (ClaimIndex.h).
 */
#include <event2/event.h>

#include "ClaimIndex.h"
#include "Counters.h"
#include "LogClient.h"
#include "Membership.h"
#include "StoreEpoch.h"

/** Streams over which claims are spread */
#define CLAIM_SHARDS 16

/** struct Claims_t - opaque */
typedef struct Claims Claims_t;

/**
 * ClaimsDone_t - called once for each claim
 * @verdict: GRANTED, IN_DOUBT, ALREADY_RAN, NOT_COVERED, or UNDECIDED where
 *     the deadline passed; what may have landed is released then
 */
typedef void (*ClaimsDone_t)(Wt__ClaimVerdict verdict, void *data);

/**
 * struct ClaimsSpec_t - what it needs; all must outlive it
 */
typedef struct {
    const Settings_t *settings;
    LogClient_t *log;
    const StoreEpoch_t *epoch; /* of the log */
    Membership_t *membership;
    Counters_t *counters;
} ClaimsSpec_t;

/** Claims_create() - no claims yet */
Claims_t *Claims_create(struct event_base *base, const ClaimsSpec_t *spec);

/** Claims_destroy() - free it; the log client must be freed first */
void Claims_destroy(Claims_t *this);

/**
 * Claims_acquire() - claim a key
 * @attempt: unguessable, used for this claim alone
 * @key_time_ms: wall-clock time before which the key did not exist
 * @deadline_ms: monotonic
 */
void Claims_acquire(Claims_t *this, const ClaimId_t *key,
                    const ClaimId_t *attempt, gint64 key_time_ms,
                    gint64 deadline_ms, ClaimsDone_t done, void *data);

/**
 * Claims_record() - record a release or an outcome
 *
 * It is tried for minutes; when this router dies before, the claim stands
 * and a repeat of the key is told that its outcome is in doubt.
 */
void Claims_record(Claims_t *this, Wt__ClaimKind kind, const ClaimId_t *key,
                   const ClaimId_t *attempt);

/** Claims_take() - a ClaimCall or ClaimReply came */
void Claims_take(Claims_t *this, Member_t *from,
                 const Wt__PeerMessage *message);

/** Claims_open() - entries that are not settled yet */
guint Claims_open(const Claims_t *this);

#endif
