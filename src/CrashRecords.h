#ifndef HEADER_CrashRecords
#define HEADER_CrashRecords
/**
 * DOC: CrashRecords
 *
 * Which requests are held back (CrashTable.h), kept on the platform's store:
 * routers have no disks, and where all of them start anew none could tell the
 * others. It is read once at the start; what comes later peers tell. A record
 * is written as a request begins to be held back and removed as it is let go,
 * so that there are few of them. While the store is out of reach writes wait,
 * the newest of each request.
 */
#include <event2/event.h>

#include "Counters.h"
#include "CrashTable.h"
#include "RecordSource.h"
#include "peer.pb-c.h"

/**
 * struct CrashRecordsSpec_t - what it needs; all must outlive it
 * @source: of the records; must be freed first
 * @topic: that they stand in
 * @counters: for calls to the store; NULL for none, as in module tests
 * @read: called for each record that is there at the start
 * @read_all: called once, when all were read
 * @owner: for @read
 */
typedef struct {
    RecordSource_t *source;
    const char *topic;
    Counters_t *counters;
    void (*read)(void *owner, const Wt__CrashRecord *record);
    void (*read_all)(void *owner);
    void *owner;
} CrashRecordsSpec_t;

/** struct CrashRecords_t - opaque */
typedef struct CrashRecords CrashRecords_t;

/** CrashRecords_create() - begin to read */
CrashRecords_t *CrashRecords_create(struct event_base *base,
                                    const CrashRecordsSpec_t *spec);

/** CrashRecords_skip() - what is there was told by a peer: where it was not
 * asked for yet, it need not be */
void CrashRecords_skip(CrashRecords_t *this);

/** CrashRecords_destroy() - free it; what was not written is lost */
void CrashRecords_destroy(CrashRecords_t *this);

/** CrashRecords_keep() - write what is known of a request */
void CrashRecords_keep(CrashRecords_t *this, const CrashEntry_t *entry);

/** CrashRecords_drop() - remove a request's record */
void CrashRecords_drop(CrashRecords_t *this, const RequestDigest_t *digest);

#endif
