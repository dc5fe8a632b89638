#ifndef HEADER_StoreEpoch
#define HEADER_StoreEpoch
/**
 * DOC: StoreEpoch
 *
 * Tracks which copy of its records the platform's store serves. After an
 * outage a store may come back older, restored from an earlier copy: the last
 * records are lost and their offsets are assigned again. The store then serves
 * a new epoch with a larger number, which each of its answers contains. All
 * clients of a store in this process share one object.
 */
#include "Counters.h"

/** struct StoreEpoch_t - opaque */
typedef struct StoreEpoch StoreEpoch_t;

/**
 * StoreEpoch_create() - an object that knows no epoch yet
 * @counters: for the number of times that the store came back older; NULL for
 *     none, as in module tests
 */
StoreEpoch_t *StoreEpoch_create(Counters_t *counters);

/** StoreEpoch_destroy() - free it; the store's clients must be freed first */
void StoreEpoch_destroy(StoreEpoch_t *this);

/**
 * StoreEpoch_note() - record an epoch that an answer or a message contains
 * @epoch: 0 from a store that has no epochs
 * @by: source of the epoch, for the log
 *
 * Return: FALSE if a newer epoch is known
 */
gboolean StoreEpoch_note(StoreEpoch_t *this, guint64 epoch, const char *by);

/**
 * StoreEpoch_check() - record and check the epoch of an answer of the store
 * @text: the epoch's number; NULL if the answer contains none
 *
 * Return: FALSE, with WT_ERROR_OLD_EPOCH, for an answer of an earlier epoch,
 * which was in transit while the store came back older: its records may be
 * lost
 */
gboolean StoreEpoch_check(StoreEpoch_t *this, const char *text,
                          GError **error);

/**
 * StoreEpochHandler_t - called each time the store has come back older
 */
typedef void (*StoreEpochHandler_t)(void *owner);

/** StoreEpoch_addListener() - notify @owner each time the store comes back
 * older */
void StoreEpoch_addListener(StoreEpoch_t *this, StoreEpochHandler_t handler,
                            void *owner);

/** StoreEpoch_removeListener() - stop notifying @owner */
void StoreEpoch_removeListener(StoreEpoch_t *this, const void *owner);

/** StoreEpoch_sinceMs() - monotonic time at which this process first saw the
 * newest epoch; a store of an older epoch granted nothing after it */
gint64 StoreEpoch_sinceMs(const StoreEpoch_t *this);

/** StoreEpoch_newest() - the newest known epoch; 0 if none is known */
guint64 StoreEpoch_newest(const StoreEpoch_t *this);

#endif
