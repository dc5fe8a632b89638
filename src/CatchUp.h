#ifndef HEADER_CatchUp
#define HEADER_CatchUp
/**
 * DOC: CatchUp
 *
 * Whether the peers of this router know records of the operators that it
 * lacks, since when, and what was done about it. A log line tells when this
 * begins, another one when it ends.
 */
#include <glib.h>

#include "Counters.h"
#include "StorePosition.h"

/** struct CatchUp_t - opaque */
typedef struct CatchUp CatchUp_t;

/** CatchUp_create() - start as a router that lacks nothing
 * @counters: counts bytes received in vain; NULL for none */
CatchUp_t *CatchUp_create(Counters_t *counters);

/** CatchUp_destroy() - free it */
void CatchUp_destroy(CatchUp_t *this);

/** CatchUp_reset() - forget what peers know, as a new epoch has begun */
void CatchUp_reset(CatchUp_t *this);

/**
 * CatchUp_noteBehind() - a peer knows records up to @end
 * @known: position of this router
 * @peer: name of the peer, or NULL
 */
void CatchUp_noteBehind(CatchUp_t *this, StorePosition_t known,
                        StorePosition_t end, const char *peer);

/** CatchUp_notePosition() - this router has all records before @known */
void CatchUp_notePosition(CatchUp_t *this, StorePosition_t known);

/** CatchUp_noteQuery() - a peer was queried for the records */
void CatchUp_noteQuery(CatchUp_t *this);

/** CatchUp_noteStoreRead() - the store was read for the records */
void CatchUp_noteStoreRead(CatchUp_t *this);

/** CatchUp_noteUnused() - records of this many bytes were received that were
 * known already */
void CatchUp_noteUnused(CatchUp_t *this, gsize bytes);

/** CatchUp_behindMs() - how long this router has been behind; 0 if it is not
 */
gint64 CatchUp_behindMs(const CatchUp_t *this);

#endif
