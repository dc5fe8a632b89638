#ifndef HEADER_TransferLink
#define HEADER_TransferLink
/**
 * DOC: TransferLink
 *
 * Estimates how long a new transfer of a cached prefix waits for the network
 * link of an engine or a store, which carries one transfer at a time. The wait
 * is the sum of the transfers that routers have requested and the excess of
 * recent transfers over their expected duration.
 */
#include <glib.h>

/**
 * struct TransferLink_t - one link
 * @busy_until_us: end of the transfers requested by this router, monotonic
 * @others_us: remaining duration of transfers requested by other routers
 * @excess_us: smoothed excess of transfers over their expected duration
 * @excess_at_ms: time of the last update of @excess_us, monotonic
 */
typedef struct {
    gint64 busy_until_us;
    gint64 others_us;
    double excess_us;
    gint64 excess_at_ms;
} TransferLink_t;

/** TransferLink_reserve() - add a transfer of this router to both links */
void TransferLink_reserve(TransferLink_t *source, TransferLink_t *destination,
                          gint64 transfer_us, gint64 now_us);

/** TransferLink_localUs() - remaining duration of this router's transfers */
gint64 TransferLink_localUs(const TransferLink_t *this, gint64 now_us);

/** TransferLink_waitUs() - expected wait of a transfer requested now */
gint64 TransferLink_waitUs(const TransferLink_t *this, gint64 now_us);

/** TransferLink_noteExcess() - note by how much a transfer exceeded its
 * expected duration; negative if it was shorter */
void TransferLink_noteExcess(TransferLink_t *this, gint64 excess_us,
                             gint64 now_ms);

#endif
