#ifndef HEADER_ClaimIndex
#define HEADER_ClaimIndex
/**
 * DOC: ClaimIndex
 *
 * The fold of one shard's claims, in the order of their offsets. The fold
 * alone decides which attempt may run a key's request. The decision does not
 * depend on the router that appended a record, nor on any clock.
 *
 * A claim is granted if its key has no active claim at the offset of the
 * claim's record. An attempt that was denied or released stays void: a claim
 * of the same attempt at a later offset is denied too.
 */
#include <glib.h>

#include "claims.pb-c.h"
#include "peer.pb-c.h"

/** Length of a key and of an attempt's id, in bytes */
#define CLAIM_ID_BYTES 16

/** struct ClaimId_t - a key or an attempt */
typedef struct {
    guint8 bytes[CLAIM_ID_BYTES];
} ClaimId_t;

/** struct ClaimIndex_t - opaque */
typedef struct ClaimIndex ClaimIndex_t;

/** ClaimIndex_create() - an index without claims */
ClaimIndex_t *ClaimIndex_create(void);

/** ClaimIndex_destroy() - free it */
void ClaimIndex_destroy(ClaimIndex_t *this);

/** ClaimIndex_fold() - apply the next record */
void ClaimIndex_fold(ClaimIndex_t *this, const Wt__ClaimRecord *record);

/** ClaimIndex_verdict() - verdict on an attempt whose claim has been folded */
Wt__ClaimVerdict ClaimIndex_verdict(const ClaimIndex_t *this,
                                    const ClaimId_t *key,
                                    const ClaimId_t *attempt);

/** ClaimIndex_hasClaim() - whether a key has an active claim */
gboolean ClaimIndex_hasClaim(const ClaimIndex_t *this, const ClaimId_t *key);

/** ClaimIndex_expire() - remove claims and void attempts that were recorded
 * before a wall-clock time */
void ClaimIndex_expire(ClaimIndex_t *this, gint64 before_ms);

/** ClaimIndex_size() - number of active claims */
guint ClaimIndex_size(const ClaimIndex_t *this);

#endif
