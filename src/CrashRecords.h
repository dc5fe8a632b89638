#ifndef HEADER_CrashRecords
#define HEADER_CrashRecords
/**
 * DOC: CrashRecords
 *
 * Stores the quarantined requests (CrashTable.h) and parts (PartTable.h) on
 * the platform's store: routers have no disks, and if all routers restarted at
 * once, no peer could send the quarantines to the others. The records are read
 * once at the start; later changes come from peers. A record is written when
 * the quarantine of a request begins and removed when the request is released,
 * so the number of records stays small. While the store is unreachable, writes
 * are queued and only the newest of each request is kept.
 */
#include <event2/event.h>

#include "Counters.h"
#include "CrashTable.h"
#include "PartTable.h"
#include "RecordSource.h"
#include "peer.pb-c.h"

/**
 * struct CrashRecordsSpec_t - dependencies; all must outlive the records
 * @source: of the records; must be freed before them
 * @topic: of the records
 * @counters: of calls to the store; NULL to count none, as in module tests
 * @read: called for each record that is stored at the start
 * @read_all: called once, after the last record was read
 * @owner: passed to @read and @read_all
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

/** CrashRecords_create() - schedule the read of the stored records */
CrashRecords_t *CrashRecords_create(struct event_base *base,
                                    const CrashRecordsSpec_t *spec);

/** CrashRecords_skipRead() - cancel the scheduled read, since a peer has sent
 * all records; a read that is in progress continues */
void CrashRecords_skipRead(CrashRecords_t *this);

/** CrashRecords_destroy() - free the records; queued writes are lost */
void CrashRecords_destroy(CrashRecords_t *this);

/** CrashRecords_store() - write the record of a request */
void CrashRecords_store(CrashRecords_t *this, const CrashEntry_t *entry);

/** CrashRecords_storePart() - write the record of a part of prompts */
void CrashRecords_storePart(CrashRecords_t *this, const PartEntry_t *entry);

/** CrashRecords_remove() - remove the record of a request or a part */
void CrashRecords_remove(CrashRecords_t *this, const RequestDigest_t *digest);

#endif
