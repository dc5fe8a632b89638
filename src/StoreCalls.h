#ifndef HEADER_StoreCalls
#define HEADER_StoreCalls
/**
 * DOC: StoreCalls
 *
 * Counts this router's calls of the platform's store by topic and cause. All
 * routers share the store's limited rate of calls, so an idle router must not
 * call it.
 */
#include "Counters.h"

/**
 * enum StoreCause_t - why a call is made
 * @STORE_START: reads the existing records at the start
 * @STORE_FOLLOW: reads new records, as this router reads for the others or
 *     has received no updates from them
 * @STORE_BEHIND: reads records that a peer knows of but cannot send
 * @STORE_PEERS_SILENT: reads because no peer has sent an update for long
 * @STORE_RETRY: repeats a call that failed
 * @STORE_MORE: reads on after an answer that did not contain all records
 * @STORE_ACQUIRE: acquires a lease
 * @STORE_RENEW: renews a lease
 * @STORE_RELEASE: releases a lease
 * @STORE_WRITE: writes a record that must be durable
 * @STORE_CHECK: reads as a caller waits for what is newest
 */
typedef enum {
    STORE_START,
    STORE_FOLLOW,
    STORE_BEHIND,
    STORE_PEERS_SILENT,
    STORE_RETRY,
    STORE_MORE,
    STORE_ACQUIRE,
    STORE_RENEW,
    STORE_RELEASE,
    STORE_WRITE,
    STORE_CHECK,
} StoreCause_t;

/**
 * StoreCalls_note() - count and log a call that is about to be made
 * @counters: NULL for none, as in module tests
 * @topic: topic that the call reads or writes
 */
void StoreCalls_note(Counters_t *counters, const char *topic,
                     StoreCause_t cause);

#endif
