#ifndef HEADER_Claims
#define HEADER_Claims
/**
 * DOC: Claims
 *
 * Claims keys and records releases and outcomes for requests. An entry is sent
 * to the router that owns its shard, which keeps the number of calls to the
 * log low. If that router does not answer, this one writes to the shard
 * itself. Either way the fold decides (ClaimIndex.h).
 */
#include <event2/event.h>

#include "ClaimIndex.h"
#include "Counters.h"
#include "LogClient.h"
#include "Membership.h"
#include "StoreEpoch.h"

/** Number of streams over which claims are distributed */
#define CLAIM_SHARDS 16

/** struct Claims_t - opaque */
typedef struct Claims Claims_t;

/**
 * ClaimsDone_t - called once for each claim
 * @verdict: GRANTED, IN_DOUBT, ALREADY_RAN, NOT_COVERED, or UNDECIDED if the
 *     deadline passed. After the last two the claim is released, as it may
 *     have been appended.
 */
typedef void (*ClaimsDone_t)(Wt__ClaimVerdict verdict, void *data);

/**
 * struct ClaimsSpec_t - the parts that claims use; all must outlive them
 */
typedef struct {
    const Settings_t *settings;
    LogClient_t *log;
    const StoreEpoch_t *epoch; /* epoch of the log */
    Membership_t *membership;
    Counters_t *counters;
} ClaimsSpec_t;

/** Claims_create() - start without claims */
Claims_t *Claims_create(struct event_base *base, const ClaimsSpec_t *spec);

/** Claims_destroy() - free it; the log client must be freed first */
void Claims_destroy(Claims_t *this);

/**
 * Claims_acquire() - claim a key
 * @attempt: unguessable id, used for this claim alone
 * @key_time_ms: wall-clock time before which the key did not exist
 * @deadline_ms: monotonic time at which the claim ends undecided
 */
void Claims_acquire(Claims_t *this, const ClaimId_t *key,
                    const ClaimId_t *attempt, gint64 key_time_ms,
                    gint64 deadline_ms, ClaimsDone_t done, void *data);

/**
 * Claims_record() - record a release or an outcome
 *
 * The entry is retried for ten minutes. If this router dies before, the claim
 * stays active and a repeat of the key is refused as IN_DOUBT.
 */
void Claims_record(Claims_t *this, Wt__ClaimKind kind, const ClaimId_t *key,
                   const ClaimId_t *attempt);

/** Claims_receive() - receive a peer's ClaimCall or ClaimReply */
void Claims_receive(Claims_t *this, Member_t *from,
                    const Wt__PeerMessage *message);

/** Claims_countPending() - number of entries that have no result yet */
guint Claims_countPending(const Claims_t *this);

#endif
