#ifndef HEADER_FakeRates
#define HEADER_FakeRates
/**
 * DOC: FakeRates
 *
 * Routers that hold one customer to its limit together, in virtual time and
 * without sockets, for load patterns and faults drawn from a seed. Each router
 * is a RateKeeper or a RateShare of the product; the network between them
 * loses and delays messages, is cut into parts, and routers are killed, paused
 * and restarted.
 */
#include "RateLimits.h"

/** Most routers of a play */
#define FAKE_RATES_MAX 300

/**
 * enum FakeRatesWay_t - how limits are held
 * @FAKE_RATES_ASK: one router keeps the count
 * @FAKE_RATES_SHARE: each has its part
 * @FAKE_RATES_NONE: not at all
 */
typedef enum {
    FAKE_RATES_ASK,
    FAKE_RATES_SHARE,
    FAKE_RATES_NONE,
} FakeRatesWay_t;

/**
 * struct FakeRatesSpec_t - one play
 * @way: how limits are held
 * @seed: of all that is drawn
 * @routers: how many
 * @callers_at: routers that the customer's callers are connected to
 * @per_s: units of the limit, which is its burst as well
 * @load: what the customer asks, as a part of its limit
 * @units: of a request on the mean, exponentially distributed
 * @seconds: that it lasts
 * @cuts: routers are cut into two parts at times
 * @kills: some or all are killed and come back at times
 * @pauses: some stand still at times
 * @lags: some handle what comes late at times, as their processor is busy
 * @changes: the limit is lowered and raised at times
 * @of_upstream: it is an upstream's limit: each request is one unit and is
 *     asked for, and a router that was refused asks no more until it may
 */
typedef struct {
    FakeRatesWay_t way;
    guint32 seed;
    guint routers;
    guint callers_at;
    double per_s;
    double load;
    double units;
    guint seconds;
    gboolean cuts;
    gboolean kills;
    gboolean pauses;
    gboolean lags;
    gboolean changes;
    gboolean of_upstream;
} FakeRatesSpec_t;

/**
 * struct FakeRatesResult_t - what came of it
 * @asked: requests
 * @refused: of these
 * @refused_by_one: that one bucket would refuse which sees all requests, and
 *     starts empty
 * @asked_units: of all of them
 * @admitted_units: of those let in
 * @excess: most that any window of eight seconds let in beyond the rate times
 *     the window and the burst, as a part of the rate's second; below 0 where
 *     none did
 * @most: units that any four seconds let in
 * @messages: that routers sent
 * @asked_keeper: requests that were not passed by at once, as there was no
 * room
 * @waited_ms: longest that a request waited to be let in
 * @mean_wait_ms: of all requests
 */
typedef struct {
    guint asked;
    guint refused;
    guint refused_by_one;
    double asked_units;
    double admitted_units;
    double excess;
    double most;
    guint messages;
    guint asked_keeper;
    gint64 waited_ms;
    double mean_wait_ms;
} FakeRatesResult_t;

/** FakeRates_play() - play a load against the routers */
FakeRatesResult_t FakeRates_play(const FakeRatesSpec_t *spec);

#endif
