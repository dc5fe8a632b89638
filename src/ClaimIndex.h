#ifndef HEADER_ClaimIndex
#define HEADER_ClaimIndex
/**
 * DOC: ClaimIndex
 *
 * The fold of one shard's claims, in the order of their offsets. It alone
 * says who may run a key's request; it does not matter who appended a record
 * or when anyone's clock says it was.
 *
 * A claim is granted if no claim of its key stands at its own offset. An
 * attempt that was denied or released is void for ever, even for a claim of
 * it that lands later.
 */
#include <glib.h>

#include "claims.pb-c.h"
#include "peer.pb-c.h"

/** Bytes of a key and of an attempt's id */
#define CLAIM_ID_BYTES 16

/** struct ClaimId_t - a key or an attempt */
typedef struct {
    guint8 bytes[CLAIM_ID_BYTES];
} ClaimId_t;

/** struct ClaimIndex_t - opaque */
typedef struct ClaimIndex ClaimIndex_t;

/** ClaimIndex_create() - no claims */
ClaimIndex_t *ClaimIndex_create(void);

/** ClaimIndex_destroy() - free it */
void ClaimIndex_destroy(ClaimIndex_t *this);

/** ClaimIndex_fold() - take the next record */
void ClaimIndex_fold(ClaimIndex_t *this, const Wt__ClaimRecord *record);

/** ClaimIndex_verdict() - what stands for an attempt after its claim was
 * folded */
Wt__ClaimVerdict ClaimIndex_verdict(const ClaimIndex_t *this,
                                    const ClaimId_t *key,
                                    const ClaimId_t *attempt);

/** ClaimIndex_stands() - whether any claim of a key stands */
gboolean ClaimIndex_stands(const ClaimIndex_t *this, const ClaimId_t *key);

/** ClaimIndex_expire() - forget what was recorded before a wall-clock time */
void ClaimIndex_expire(ClaimIndex_t *this, gint64 before_ms);

/** ClaimIndex_size() - claims that stand */
guint ClaimIndex_size(const ClaimIndex_t *this);

#endif
