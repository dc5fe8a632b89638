#ifndef HEADER_CatchUp
#define HEADER_CatchUp
/**
 * DOC: CatchUp
 *
 * Whether the peers of this router know records of the operators that it
 * lacks, since when, and which peer was queried for them. One peer is queried
 * at a time: a record may be so long that its transfers would hold each other
 * up. A log line tells when this begins, another one when it ends.
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
 *
 * Return: whether no peer was known to have records up to there before
 */
gboolean CatchUp_noteBehind(CatchUp_t *this, StorePosition_t known,
                            StorePosition_t end, const char *peer);

/** CatchUp_notePosition() - this router has all records before @known; returns
 * whether this ends the time in which it lacks records */
gboolean CatchUp_notePosition(CatchUp_t *this, StorePosition_t known);

/** CatchUp_noteQuery() - a peer was queried for the records
 * @peer: name of the peer */
void CatchUp_noteQuery(CatchUp_t *this, const char *peer);

/** CatchUp_noteAnswer() - a peer has sent records; another query may follow if
 * it is the one that was queried */
void CatchUp_noteAnswer(CatchUp_t *this, const char *peer);

/** CatchUp_queriedPeer() - name of the peer whose answer is awaited, or NULL
 */
const char *CatchUp_queriedPeer(const CatchUp_t *this);

/**
 * CatchUp_isTransferring() - whether the answer to the last query may still
 * arrive
 * @is_receiving: a message of CatchUp_queriedPeer() is arriving
 */
gboolean CatchUp_isTransferring(const CatchUp_t *this, gboolean is_receiving);

/** CatchUp_noteRefusal() - a peer does not answer the query; another one may
 * be queried
 * @peer: name of the peer */
void CatchUp_noteRefusal(CatchUp_t *this, const char *peer);

/** CatchUp_nextSource() - name of a peer that is known to have all records and
 * has not refused to send them, or NULL */
const char *CatchUp_nextSource(const CatchUp_t *this);

/** CatchUp_noteStoreRead() - the store was read for the records */
void CatchUp_noteStoreRead(CatchUp_t *this);

/** CatchUp_noteUnused() - records of this many bytes were received that were
 * known already */
void CatchUp_noteUnused(CatchUp_t *this, gsize bytes);

/** CatchUp_behindMs() - how long this router has been behind; 0 if it is not
 */
gint64 CatchUp_behindMs(const CatchUp_t *this);

#endif
