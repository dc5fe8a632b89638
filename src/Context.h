#ifndef HEADER_Context
#define HEADER_Context
/**
 * DOC: Context
 *
 * The parts of one router process that the handling of requests needs. It
 * owns none of them; Router.h does.
 */
#include <event2/event.h>
#include <glib.h>

#include "CacheStore.h"
#include "Claims.h"
#include "ConfigLog.h"
#include "ConfigStore.h"
#include "Counters.h"
#include "CrashGuard.h"
#include "CustomerLimits.h"
#include "DeferredCalls.h"
#include "Dispatch.h"
#include "EngineSplit.h"
#include "EstimateError.h"
#include "Membership.h"
#include "ModelVersions.h"
#include "PeerDatagrams.h"
#include "Policy.h"
#include "RateLimits.h"
#include "Refusal.h"
#include "RetryBudget.h"
#include "RouteTable.h"
#include "RunTimes.h"
#include "Settings.h"
#include "StreamMover.h"
#include "Trace.h"
#include "UpstreamLimits.h"
#include "UpstreamListing.h"
#include "UpstreamNotices.h"
#include "UpstreamSet.h"

struct PlatformForm;

/**
 * struct Context_t - the parts
 * @base: the event loop
 * @settings: of this router
 * @form: of the platform; NULL where it is the native one
 * @routes: where the platform's form has routes, else NULL
 * @weights: versions that operators have named; NULL where they declare them
 * @listing: where the platform's form has one, else NULL
 * @cache_store: where the platform's form has one, else NULL
 * @speeds: EngineSpeed_t * by the name of the service, where engines don't
 *     report theirs; else NULL
 * @pauses: whether streams are held up; NULL on the native platform
 * @run_times: of streams by their routes; NULL on the native platform
 * @forecast: how far estimates are off; NULL on the native platform
 * @load_share: tells the other routers of loads, or NULL
 * @mover: of streams whose engines pause; NULL on the native platform
 * @dispatch: places requests together with the other routers, or NULL
 * @counters: of this router
 * @config: the declarations in force
 * @config_log: where they are kept; NULL where the platform's form has routes
 * @membership: the other routers
 * @datagrams: to the other routers; NULL where the port can't be had
 * @claims: of keys; NULL where the platform's form has routes
 * @upstreams: declared or listed
 * @policy: by which engines are chosen
 * @service_policy: by which plain services' instances are chosen
 * @limits: of customers' open requests
 * @rates: of customers' limits
 * @upstream_limits: learns those of upstreams
 * @notices: takes in what upstreams say of themselves
 * @budget: of retries
 * @crashes: which requests must not be sent
 * @traces: of recent requests
 * @deferred_calls: what is done at the end of a turn of the loop
 * @stopping: SIGTERM came; new requests are refused after the grace
 * @refusing: the grace is over
 * @open_requests: callers' requests under way
 * @incarnation: of this process, grows with each start
 */
typedef struct {
    struct event_base *base;
    const Settings_t *settings;
    const struct PlatformForm *form;
    RouteTable_t *routes;
    ModelVersions_t *weights;
    UpstreamListing_t *listing;
    CacheStore_t *cache_store;
    GHashTable *speeds;
    EngineSplit_t *pauses;
    RunTimes_t *run_times;
    EstimateError_t *estimate_error;
    struct LoadShare *load_share;
    StreamMover_t *mover;
    Dispatch_t *dispatch;
    Counters_t *counters;
    ConfigStore_t *config;
    ConfigLog_t *config_log;
    Membership_t *membership;
    PeerDatagrams_t *datagrams;
    Claims_t *claims;
    UpstreamSet_t *upstreams;
    Policy_t *policy;
    Policy_t *service_policy;
    CustomerLimits_t *limits;
    RateLimits_t *rates;
    UpstreamLimits_t *upstream_limits;
    UpstreamNotices_t *notices;
    RetryBudget_t *budget;
    CrashGuard_t *crashes;
    Traces_t *traces;
    DeferredCalls_t *deferred_calls;
    gboolean stopping;
    gboolean refusing;
    guint open_requests;
    guint64 incarnation;
} Context_t;

/**
 * struct Caller_t - who asks, known after authentication
 * @customer: the declaration, only valid until the loop runs on
 * @priority: level that the request has
 * @deadline_ms: monotonic time by which the answer must be whole
 * @repeatable: running the request again does no harm
 * @key: its Idempotency-Key, or empty
 */
typedef struct {
    const Object_t *customer;
    gint64 priority;
    gint64 deadline_ms;
    gboolean repeatable;
    const char *key;
} Caller_t;

/**
 * Caller_rate() - what a request takes of its customer's limit
 * @customer: name of the customer; must live as long as what is returned
 * @tokens: of its prompt and the most of its answer; 0 for a plain service
 */
RateRequest_t Caller_rate(const Caller_t *caller, const char *customer,
                          double tokens);

/**
 * Context_countRefusal() - count and log a refusal
 * @detail: more about this case, or NULL
 */
void Context_countRefusal(Context_t *this, Refusal_t refusal, RunState_t run,
                          const char *request, const char *target,
                          const char *customer_class, const char *detail);

/** Context_countOversized() - count and log an event, or an answer that is no
 * stream, that is too large */
void Context_countOversized(Context_t *this, const char *request,
                            const char *upstream);

/** Context_countRetry() - count a retry by the reason for it */
void Context_countRetry(Context_t *this, const char *reason,
                        const char *target, const char *customer_class);

#endif
