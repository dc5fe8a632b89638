#include "StoreChecks.h"

#include "Clock.h"
#include "Random.h"

/* A router that received no update from peers for UPDATE_TIMEOUT_MS checks the
 * store itself, as the readers may have departed or lost their links. It
 * checks at most once per STORE_CHECK_INTERVAL_MS; consecutive failures double
 * the interval up to STORE_CHECK_DOUBLINGS_MAX times. */
#define UPDATE_TIMEOUT_MS 1800
/* Additional time while a reader receives a long record: its link is as slow
 * as this router's, and both would receive it at the same time. */
#define RECEIVING_TIMEOUT_MS 1200
#define STORE_CHECK_INTERVAL_MS 1000
#define STORE_CHECK_DOUBLINGS_MAX 2
/* Routers that stop receiving updates at the same time spread their store
 * checks at random over this time per router, up to a maximum: the first
 * router that gets a reply sends it to the others, which then need no check.
 * The maximum leaves one second of the usual limit on the age. */
#define CHECK_SPREAD_PER_ROUTER_MS 10
#define CHECK_SPREAD_MAX_MS 1000
/* Number of distinct values of spread_fraction. */
#define SPREAD_STEPS 1000
/* Minimum interval of store checks while this router is behind its peers. */
#define BEHIND_CHECK_INTERVAL_MS 400
/* A router that is behind queries peers for this time before it checks the
 * store: a peer that announces a record may not have the record itself. */
#define PEER_CATCH_UP_TIMEOUT_MS 600
/* A reader has its own read open and leaves the records to it for longer. */
#define READ_CATCH_UP_TIMEOUT_MS 1200

struct StoreChecks {
    StoreChecksSpec_t spec;
    gint64 store_checked_ms;
    double spread_fraction; /* 0 to 1: share of the spread of store checks */
};

/* Computed from the current membership, which is not known yet at the start.
 */
gint64
StoreChecks_spreadMs(const StoreChecks_t *this)
{
    gint64 routers = Membership_countActive(this->spec.membership);
    gint64 max_ms =
        MIN(routers * CHECK_SPREAD_PER_ROUTER_MS, CHECK_SPREAD_MAX_MS);
    return (gint64)(this->spread_fraction * (double)max_ms);
}

static void
draw_spread_fraction(StoreChecks_t *this)
{
    this->spread_fraction = (double)Random_below(SPREAD_STEPS) / SPREAD_STEPS;
}

StoreChecks_t *
StoreChecks_create(const StoreChecksSpec_t *spec)
{
    StoreChecks_t *this = g_new0(StoreChecks_t, 1);
    this->spec = *spec;
    draw_spread_fraction(this);
    return this;
}

void
StoreChecks_destroy(StoreChecks_t *this)
{
    g_free(this);
}

static void
check_store(StoreChecks_t *this, gint64 min_interval_ms, StoreCause_t cause)
{
    gint64 now_ms = Clock_nowMs();
    if (now_ms - this->store_checked_ms >= min_interval_ms) {
        this->store_checked_ms = now_ms;
        if (RecordFollower_checkEnd(this->spec.follower, cause)) {
            CatchUp_noteStoreRead(this->spec.catch_up);
        }
    }
}

/* Another call to the store would compete with what is arriving. */
static gboolean
is_transferring(const StoreChecks_t *this)
{
    return RouteQueries_isTransferring(this->spec.queries) ||
           RecordSource_isReceiving(this->spec.source);
}

static gboolean
is_long_behind(const StoreChecks_t *this)
{
    gint64 timeout_ms = RecordFollower_isReading(this->spec.follower)
                            ? READ_CATCH_UP_TIMEOUT_MS
                            : PEER_CATCH_UP_TIMEOUT_MS;
    return CatchUp_behindMs(this->spec.catch_up) >= timeout_ms;
}

void
StoreChecks_checkIfLongBehind(StoreChecks_t *this)
{
    if (is_long_behind(this) && !is_transferring(this)) {
        check_store(this, BEHIND_CHECK_INTERVAL_MS, STORE_BEHIND);
    }
}

void
StoreChecks_checkNow(StoreChecks_t *this)
{
    check_store(this, BEHIND_CHECK_INTERVAL_MS, STORE_BEHIND);
}

void
StoreChecks_checkIfStale(StoreChecks_t *this, gboolean is_reader_receiving)
{
    gint64 max_ms = UPDATE_TIMEOUT_MS + StoreChecks_spreadMs(this);
    if (is_reader_receiving) {
        max_ms += RECEIVING_TIMEOUT_MS;
    }
    if (RouteTable_isFresh(this->spec.routes, max_ms) ||
        is_transferring(this)) {
        return;
    }
    guint doublings = MIN(RecordFollower_failedChecks(this->spec.follower),
                          STORE_CHECK_DOUBLINGS_MAX);
    check_store(this, STORE_CHECK_INTERVAL_MS << doublings,
                STORE_PEERS_SILENT);
    draw_spread_fraction(this);
}
