#ifndef HEADER_OriginRecords
#define HEADER_OriginRecords
/**
 * DOC: OriginRecords
 *
 * Keeps on the platform's store which software version began each stream that
 * runs or may be continued, for services with several versions: after a
 * restart of all routers these streams can go on as others do. Each router
 * writes one record of its own streams, at most one each interval, so that
 * streams which began just before the restart may be missing. The record also
 * states that its router uses several versions (VersionGate.h). A router that
 * starts reads the records of all routers once, and again while a caller
 * continues a stream that may have begun before the others joined.
 */
#include "Membership.h"
#include "OriginKeeper.h"
#include "RecordSource.h"
#include "VersionGate.h"

/** Streams in a record, 64 KB; the last that began are preferred */
#define ORIGIN_RECORD_STREAMS_MAX 4096

/**
 * struct OriginRecordsSpec_t - dependencies; all must outlive the records
 * @source: of the records; must be freed before them
 * @topic: of the records
 * @membership: the other routers, among which the calls to the store are
 *     shared; NULL for none, as in module tests
 * @router: name of this router
 * @counters: of calls to the store; NULL to count none, as in module tests
 * @gate: of this process, which is told what the records state
 * @versions: versions of the services, which learn from the first read
 */
typedef struct {
    RecordSource_t *source;
    const char *topic;
    const Membership_t *membership;
    const char *router;
    Counters_t *counters;
    VersionGate_t *gate;
    SoftwareVersions_t *versions;
} OriginRecordsSpec_t;

/** struct OriginRecords_t - opaque */
typedef struct OriginRecords OriginRecords_t;

/** OriginRecords_create() - create records that are not read yet */
OriginRecords_t *OriginRecords_create(struct event_base *base,
                                      const OriginRecordsSpec_t *spec);

/** OriginRecords_setKeeper() - restore the streams of the records to a keeper,
 * and write those that it records; to be called before the event loop runs.
 * @keeper must outlive the records */
void OriginRecords_setKeeper(OriginRecords_t *this, OriginKeeper_t *keeper);

/**
 * OriginRecords_scheduleRead() - read the records, if they were not read yet
 * @is_urgent: a caller waits for them; otherwise the reads of routers that
 *     start at once are spread
 */
void OriginRecords_scheduleRead(OriginRecords_t *this, gboolean is_urgent);

/** OriginRecords_readAgain() - read the records again, if they were read
 * before; at most once each interval */
void OriginRecords_readAgain(OriginRecords_t *this);

/** OriginRecords_scheduleWrite() - the streams that the keeper records have
 * changed */
void OriginRecords_scheduleWrite(OriginRecords_t *this);

/** OriginRecords_destroy() - free the records; queued writes are lost */
void OriginRecords_destroy(OriginRecords_t *this);

#endif
