#ifndef HEADER_FleetRecord
#define HEADER_FleetRecord
/**
 * DOC: FleetRecord
 *
 * Keeps the number of routers on the platform's store, for routers that start
 * where they reach no others (FleetSize.h). One router writes it, when it
 * knows all others. A router reads it when it first needs it.
 */
#include "FleetSize.h"
#include "Membership.h"
#include "RecordSource.h"

/**
 * struct FleetRecordSpec_t - dependencies; all must outlive the record
 * @source: of the record; must be freed before it
 * @topic: keyed topic of the record
 * @membership: the other routers
 * @size: receives what the store has
 * @counters: of calls to the store; NULL to count none, as in module tests
 * @shrink_ms: how long fewer routers must be known before that is written
 */
typedef struct {
    RecordSource_t *source;
    const char *topic;
    Membership_t *membership;
    FleetSize_t *size;
    Counters_t *counters;
    gint64 shrink_ms;
} FleetRecordSpec_t;

/** Default of FleetRecordSpec_t.shrink_ms: longer than partitions usually last
 */
#define FLEET_RECORD_SHRINK_MS 60000

/** struct FleetRecord_t - opaque */
typedef struct FleetRecord FleetRecord_t;

/** FleetRecord_create() - start without having read the record */
FleetRecord_t *FleetRecord_create(struct event_base *base,
                                  const FleetRecordSpec_t *spec);

/** FleetRecord_destroy() - free it */
void FleetRecord_destroy(FleetRecord_t *this);

#endif
