#ifndef HEADER_StoreChecks
#define HEADER_StoreChecks
/**
 * DOC: StoreChecks
 *
 * When a router reads the operators' records from the store beside its usual
 * reads: if it has lacked records that its peers have for long, or if peers
 * have told it nothing for long. It makes no such call while the records are
 * arriving from a peer or from the store, and later if a reader is receiving
 * them. Routers that stop receiving updates at the same time spread their
 * calls.
 */
#include "CatchUp.h"
#include "Membership.h"
#include "RecordFollower.h"
#include "RouteQueries.h"
#include "RouteTable.h"

/**
 * struct StoreChecksSpec_t - what the checks need; all must outlive them
 * @routes: tells how fresh the configuration is
 * @membership: number of routers, over which calls are spread
 * @source: source of the records
 * @follower: makes the calls
 * @catch_up: since when records are missing
 * @queries: queries to peers
 */
typedef struct {
    const RouteTable_t *routes;
    const Membership_t *membership;
    const RecordSource_t *source;
    RecordFollower_t *follower;
    CatchUp_t *catch_up;
    const RouteQueries_t *queries;
} StoreChecksSpec_t;

/** struct StoreChecks_t - opaque */
typedef struct StoreChecks StoreChecks_t;

/** StoreChecks_create() - start without a check */
StoreChecks_t *StoreChecks_create(const StoreChecksSpec_t *spec);

/** StoreChecks_destroy() - free it */
void StoreChecks_destroy(StoreChecks_t *this);

/** StoreChecks_checkNow() - read the store, unless that was done a moment ago
 */
void StoreChecks_checkNow(StoreChecks_t *this);

/** StoreChecks_checkIfLongBehind() - read the store if peers have had more
 * records for long */
void StoreChecks_checkIfLongBehind(StoreChecks_t *this);

/** StoreChecks_checkIfStale() - read the store if it was not known for long
 * that the configuration is the newest
 * @is_reader_receiving: a reader is receiving a long record */
void StoreChecks_checkIfStale(StoreChecks_t *this,
                              gboolean is_reader_receiving);

/** StoreChecks_spreadMs() - this router's share of the time over which all
 * routers spread their calls */
gint64 StoreChecks_spreadMs(const StoreChecks_t *this);

#endif
