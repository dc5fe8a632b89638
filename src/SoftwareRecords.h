#ifndef HEADER_SoftwareRecords
#define HEADER_SoftwareRecords
/**
 * DOC: SoftwareRecords
 *
 * Keeps on the platform's store which software versions have served each
 * service within the time for which streams may be continued
 * (SoftwareVersions.h). After a restart of all routers, which forget the
 * versions that began streams, a stream can be continued without being known
 * only if the record and the list name the same single version: versions may
 * have changed while no router ran. A record is written by a few routers, in
 * case one is lost, whenever the versions of its service change; once more a
 * while later, as the store may carry out an earlier write late; and when the
 * store has come back older.
 */
#include "Membership.h"
#include "RecordSource.h"
#include "SoftwareVersions.h"
#include "StoreEpoch.h"

/** Delay after which a record is written once more: the longest time for which
 * the store is expected to carry out a write late */
#define SOFTWARE_RECORD_REPEAT_MS 6000

/** Routers that write a service's record */
#define SOFTWARE_RECORD_WRITERS 3

/**
 * struct SoftwareRecordsSpec_t - dependencies; all must outlive the records
 * @source: of the records; must be freed before them
 * @topic: of the records
 * @versions: versions of the services, which learn from the records
 * @membership: ranks the routers; NULL for none, as in module tests
 * @router: name of this router
 * @counters: of calls to the store; NULL to count none, as in module tests
 * @is_first_start: no router ran before, so that a service without a record
 *     has served nobody
 * @window_ms: how long streams may be continued
 * @repeat_ms: after which a changed record is written once more; 0 for never
 * @epoch: tells that the store has come back older; NULL for none, as in
 * module tests
 */
typedef struct {
    RecordSource_t *source;
    const char *topic;
    SoftwareVersions_t *versions;
    const Membership_t *membership;
    const char *router;
    Counters_t *counters;
    gboolean is_first_start;
    gint64 window_ms;
    gint64 repeat_ms;
    StoreEpoch_t *epoch;
} SoftwareRecordsSpec_t;

/** struct SoftwareRecords_t - opaque */
typedef struct SoftwareRecords SoftwareRecords_t;

/** SoftwareRecords_create() - create records that are not read yet */
SoftwareRecords_t *SoftwareRecords_create(struct event_base *base,
                                          const SoftwareRecordsSpec_t *spec);

/**
 * SoftwareRecords_scheduleRead() - read the records, if they were not read yet
 * @is_urgent: a caller waits for them; otherwise the reads of routers that
 *     start at once are spread
 */
void SoftwareRecords_scheduleRead(SoftwareRecords_t *this, gboolean is_urgent);

/** SoftwareRecords_setWindow() - change window_ms of the spec */
void SoftwareRecords_setWindow(SoftwareRecords_t *this, gint64 window_ms);

/** SoftwareRecords_destroy() - free the records before the versions change
 * again; queued writes are lost */
void SoftwareRecords_destroy(SoftwareRecords_t *this);

#endif
