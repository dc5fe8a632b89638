#ifndef HEADER_FakeRates
#define HEADER_FakeRates
/**
 * DOC: FakeRates
 *
 * Simulates routers that together enforce the limit of one customer, in
 * virtual time and without sockets. A seed determines the load and the faults.
 * Each router runs the RateKeeper or the RateShare of the product. The network
 * loses and delays messages and is partitioned; routers are killed, paused and
 * restarted.
 */
#include "RateLimits.h"

/** Most routers of a simulation */
#define FAKE_RATES_MAX 300

/**
 * enum FakeRatesMethod_t - how the limit is enforced
 * @FAKE_RATES_KEEPER: one router counts all requests (RateKeeper)
 * @FAKE_RATES_SHARE: each router has a fixed share of the limit (RateShare)
 * @FAKE_RATES_NONE: the limit is not enforced
 */
typedef enum {
    FAKE_RATES_KEEPER,
    FAKE_RATES_SHARE,
    FAKE_RATES_NONE,
} FakeRatesMethod_t;

/**
 * struct FakeRatesSpec_t - parameters of a simulation
 * @method: how the limit is enforced
 * @seed: seed of all random draws
 * @routers: number of routers
 * @caller_routers: number of routers that the customer's callers are connected
 *     to
 * @per_s: limit in units per second; the burst has the same number of units
 * @load: units requested per second, as a fraction of the limit
 * @units: mean units of a request, exponentially distributed
 * @seconds: duration in virtual time
 * @cuts: the network is partitioned into two parts at random times
 * @kills: some or all routers are killed and restarted at random times
 * @pauses: some routers are paused at random times
 * @lags: some routers handle messages late at random times, as with a busy
 *     processor
 * @changes: the limit is lowered and raised at random times
 * @forgets: a router that starts knows no others and finds those it can reach;
 *     a router that is unreachable for ten seconds is taken for gone. Some
 *     partitions leave each router that they cut off alone
 * @is_upstream_limit: the limit is that of an upstream: each request costs one
 *     unit, and a router whose request was refused refuses further requests
 *     locally until the retry time of that refusal
 */
typedef struct {
    FakeRatesMethod_t method;
    guint32 seed;
    guint routers;
    guint caller_routers;
    double per_s;
    double load;
    double units;
    guint seconds;
    gboolean cuts;
    gboolean kills;
    gboolean pauses;
    gboolean lags;
    gboolean changes;
    gboolean forgets;
    gboolean is_upstream_limit;
} FakeRatesSpec_t;

/**
 * struct FakeRatesResult_t - result of a simulation
 * @requests: number of requests
 * @refused: number of refused requests
 * @ideal_refused: number of requests that a single token bucket for all
 *     routers would refuse if it started empty
 * @requested_units: units of all requests
 * @admitted_units: units of the admitted requests
 * @excess: most units admitted in any window of eight seconds, less the rate
 *     times the window and the burst, in seconds of the rate; negative if no
 *     window exceeded that bound
 * @peak_units: most units admitted in any window of four seconds
 * @messages: number of messages that the routers sent
 * @acquire_calls: number of requests that the router did not refuse locally
 *     because of an earlier refusal
 * @max_wait_ms: longest time that a request waited for its decision
 * @mean_wait_ms: mean of these times over all requests
 */
typedef struct {
    guint requests;
    guint refused;
    guint ideal_refused;
    double requested_units;
    double admitted_units;
    double excess;
    double peak_units;
    guint messages;
    guint acquire_calls;
    gint64 max_wait_ms;
    double mean_wait_ms;
} FakeRatesResult_t;

/** FakeRates_simulate() - run a simulation */
FakeRatesResult_t FakeRates_simulate(const FakeRatesSpec_t *spec);

#endif
