#ifndef HEADER_ClaimShard
#define HEADER_ClaimShard
/**
 * DOC: ClaimShard
 *
 * One claims stream of the log, followed from its start and written in
 * groups: entries that come while an append is under way go out together in
 * the next one. An entry is answered once the fold has passed its own record.
 */
#include <event2/event.h>

#include "ClaimIndex.h"
#include "LogClient.h"
#include "StoreEpoch.h"

/**
 * ClaimShardDone_t - called once for each entry
 * @verdict: UNDECIDED where the entry may have landed or may yet
 * @covered_from_ms: claims since then are known; 0 for all
 */
typedef void (*ClaimShardDone_t)(Wt__ClaimVerdict verdict,
                                 gint64 covered_from_ms, void *data);

/** struct ClaimShard_t - opaque */
typedef struct ClaimShard ClaimShard_t;

/**
 * ClaimShard_create() - start to follow
 * @epoch: of the log
 * @number: of the shard
 * @poll_ms: how long the log may hold a read
 * @keep_ms: how long claims are remembered
 */
ClaimShard_t *ClaimShard_create(struct event_base *base, LogClient_t *log,
                                const StoreEpoch_t *epoch, guint number,
                                gint64 poll_ms, gint64 keep_ms);

/** ClaimShard_destroy() - free it; the log client must be freed first */
void ClaimShard_destroy(ClaimShard_t *this);

/** ClaimShard_submit() - get an entry into the stream */
void ClaimShard_submit(ClaimShard_t *this, const Wt__ClaimEntry *entry,
                       ClaimShardDone_t done, void *data);

#endif
