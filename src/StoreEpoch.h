#ifndef HEADER_StoreEpoch
#define HEADER_StoreEpoch
/**
 * DOC: StoreEpoch
 *
 * Which copy of its records the platform's store serves. A store that was
 * away may come back from an older copy: what was written last is gone, and
 * its offsets are given out again. It then serves a new epoch, whose number
 * is larger and stands in each of its answers. One object is shared by all
 * clients of a store in this process.
 */
#include "Counters.h"

/** struct StoreEpoch_t - opaque */
typedef struct StoreEpoch StoreEpoch_t;

/**
 * StoreEpoch_create() - none is known yet
 * @counters: for returns; NULL for none, as in module tests
 */
StoreEpoch_t *StoreEpoch_create(Counters_t *counters);

/** StoreEpoch_destroy() - free it; the store's clients must be freed first */
void StoreEpoch_destroy(StoreEpoch_t *this);

/**
 * StoreEpoch_note() - an epoch was told
 * @epoch: 0 from a store that tells none
 * @by: who told it, for the log
 *
 * Return: FALSE where a newer one is known
 */
gboolean StoreEpoch_note(StoreEpoch_t *this, guint64 epoch, const char *by);

/**
 * StoreEpoch_check() - an answer of the store has come
 * @text: the number that it tells; NULL where it tells none
 *
 * Return: FALSE, with WT_ERROR_OLD_EPOCH, for an answer that was on its way
 * while the store came back older: what it tells may be gone
 */
gboolean StoreEpoch_check(StoreEpoch_t *this, const char *text,
                          GError **error);

/**
 * StoreEpochRose_t - the store has come back older
 */
typedef void (*StoreEpochRose_t)(void *owner);

/** StoreEpoch_listen() - tell an owner of each return */
void StoreEpoch_listen(StoreEpoch_t *this, StoreEpochRose_t rose, void *owner);

/** StoreEpoch_leave() - tell it no more */
void StoreEpoch_leave(StoreEpoch_t *this, const void *owner);

/** StoreEpoch_sinceMs() - when the newest was first told (monotonic); all
 * that older ones had granted was granted before */
gint64 StoreEpoch_sinceMs(const StoreEpoch_t *this);

/** StoreEpoch_newest() - 0 where none was told */
guint64 StoreEpoch_newest(const StoreEpoch_t *this);

#endif
