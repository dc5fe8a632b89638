#ifndef HEADER_ClaimShard
#define HEADER_ClaimShard
/**
 * DOC: ClaimShard
 *
 * Follows one claims stream of the log from its start and appends entries to
 * it in batches: entries that are submitted during an append are written
 * together by the next one. An entry is answered once its own record has been
 * folded.
 */
#include <event2/event.h>

#include "ClaimIndex.h"
#include "LogClient.h"
#include "StoreEpoch.h"

/**
 * ClaimShardDone_t - called once for each entry
 * @verdict: UNDECIDED if it is unknown whether the entry was or will be
 *     appended
 * @covered_from_ms: wall-clock time since which all claims of the stream are
 *     known; 0 for all time, G_MAXINT64 for none
 */
typedef void (*ClaimShardDone_t)(Wt__ClaimVerdict verdict,
                                 gint64 covered_from_ms, void *data);

/** struct ClaimShard_t - opaque */
typedef struct ClaimShard ClaimShard_t;

/**
 * ClaimShard_create() - start to follow a shard's stream
 * @epoch: epoch of the log
 * @number: number of the shard
 * @poll_ms: how long the log may hold the answer to a read
 * @retain_ms: how long claims are retained
 */
ClaimShard_t *ClaimShard_create(struct event_base *base, LogClient_t *log,
                                const StoreEpoch_t *epoch, guint number,
                                gint64 poll_ms, gint64 retain_ms);

/** ClaimShard_destroy() - free it; the log client must be freed first */
void ClaimShard_destroy(ClaimShard_t *this);

/** ClaimShard_submit() - append an entry to the stream */
void ClaimShard_submit(ClaimShard_t *this, const Wt__ClaimEntry *entry,
                       ClaimShardDone_t done, void *data);

#endif
