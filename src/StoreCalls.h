#ifndef HEADER_StoreCalls
#define HEADER_StoreCalls
/**
 * DOC: StoreCalls
 *
 * Why this router calls the platform's store, counted by topic and cause. A
 * store serves so many calls a second to all routers together, so that what
 * each of them does while nothing happens must not be a call.
 */
#include "Counters.h"

/**
 * enum StoreCause_t - why a call is made
 * @STORE_START: what is there at the start
 * @STORE_FOLLOW: for what is new; the one that reads for others, or nobody
 *     has told this router anything
 * @STORE_BEHIND: a peer knows more, and cannot tell it
 * @STORE_UNTOLD: peers have told nothing for long
 * @STORE_RETRY: the call before has failed
 * @STORE_MORE: the answer before had no room for all
 * @STORE_TAKE: to take a lease
 * @STORE_RENEW: to keep a lease
 * @STORE_RELEASE: to end a lease
 * @STORE_KEEP: to write what must last
 */
typedef enum {
    STORE_START,
    STORE_FOLLOW,
    STORE_BEHIND,
    STORE_UNTOLD,
    STORE_RETRY,
    STORE_MORE,
    STORE_TAKE,
    STORE_RENEW,
    STORE_RELEASE,
    STORE_KEEP,
} StoreCause_t;

/**
 * StoreCalls_note() - a call is about to be made
 * @counters: NULL for none, as in module tests
 * @topic: that it is about
 */
void StoreCalls_note(Counters_t *counters, const char *topic,
                     StoreCause_t cause);

#endif
