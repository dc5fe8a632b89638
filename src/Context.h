#ifndef HEADER_Context
#define HEADER_Context
/**
 * DOC: Context
 *
 * References to the parts of one router process that handle requests. Router.h
 * owns the parts.
 */
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

#include "AnswerBuffer.h"
#include "AnswerRoom.h"
#include "AnswerTimes.h"
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
#include "FleetSize.h"
#include "ForwardPeers.h"
#include "ForwardProof.h"
#include "Membership.h"
#include "MemoryReport.h"
#include "MemoryUse.h"
#include "ModelVersions.h"
#include "OpenRequests.h"
#include "OriginKeeper.h"
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
#include "UpstreamPath.h"
#include "UpstreamSet.h"

struct PlatformForm;

/**
 * struct Context_t - the parts of a router process
 * @base: the event loop
 * @settings: settings of this router
 * @form: form of the platform; NULL for the native platform
 * @routes: routes, if the platform's form has them, else NULL
 * @weights: versions of weights that operators have named; NULL if operators
 *     declare them
 * @listing: list of upstreams, if the platform's form has one, else NULL
 * @cache_store: store of cached prefixes, if the platform's form has one, else
 *     NULL
 * @speeds: EngineSpeed_t * by the name of the service, if engines don't report
 *     their speeds; else NULL
 * @engine_split: detects long prompts that delay streams; NULL on the
 *     native platform
 * @run_times: run times of streams by route; NULL on the native platform
 * @answer_times: times of whole answers by route; NULL on the native platform
 * @estimate_error: errors of the estimates; NULL on the native platform
 * @partitions: partitions of the groups of engines; NULL on the native
 *     platform
 * @path: whether this router reaches upstreams; NULL on the native platform
 * @forward_peers: routers that requests are forwarded to; NULL on the native
 *     platform
 * @load_share: sends upstreams' loads to the other routers, or NULL
 * @mover: moves streams away from engines that pause; NULL on the native
 *     platform
 * @dispatch: places requests together with the other routers, or NULL
 * @counters: metrics of this router
 * @config: the declarations in force
 * @config_log: log of the declarations; NULL if the platform's form has routes
 * @membership: the other routers
 * @datagrams: datagrams to the other routers
 * @claims: claims of keys; NULL if the platform's form has routes
 * @upstreams: declared or listed upstreams
 * @policy: policy by which engines are chosen
 * @service_policy: policy by which instances of plain services are chosen
 * @limits: limits of customers' open requests
 * @rates: rate limits of customers
 * @fleet_size: among how many routers a limit over all of them is divided
 * @upstream_limits: learns the limits of upstreams
 * @notices: receives upstreams' notices about themselves
 * @budget: retry budget
 * @crashes: quarantines requests that must not be sent
 * @versions: software versions of the services; NULL on the native platform
 * @origins: software versions that began streams; NULL on the native platform
 * @traces: traces of recent requests
 * @deferred_calls: work that is done at the end of a loop iteration
 * @stopping: SIGTERM was received; new requests are refused after the grace
 *     period
 * @stop_ends_ms: monotonic time at which open requests are ended; valid while
 *     @stopping
 * @refusing: the grace period is over
 * @open_requests: number of callers' open requests
 * @open: those requests
 * @answer_bytes: bytes of answers that are buffered until they are complete
 * @answer_room: bounds these and whole answers that wait for their callers
 * @memory: what the process uses of its memory
 * @memory_report: tells what holds it
 * @output_bytes: bytes of streams that wait for slow callers
 * @incarnation: incarnation of this process, which grows with each start
 * @forward_proof: proves requests that this router forwards (ForwardProof.h)
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
    EngineSplit_t *engine_split;
    RunTimes_t *run_times;
    AnswerTimes_t *answer_times;
    EstimateError_t *estimate_error;
    GroupPartitions_t *partitions;
    UpstreamPath_t *path;
    ForwardPeers_t *forward_peers;
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
    FleetSize_t *fleet_size;
    UpstreamLimits_t *upstream_limits;
    UpstreamNotices_t *notices;
    RetryBudget_t *budget;
    CrashGuard_t *crashes;
    SoftwareVersions_t *versions;
    OriginKeeper_t *origins;
    Traces_t *traces;
    DeferredCalls_t *deferred_calls;
    gboolean stopping;
    gint64 stop_ends_ms;
    gboolean refusing;
    guint open_requests;
    OpenRequests_t *open;
    gsize answer_bytes;
    AnswerRoom_t *answer_room;
    MemoryUse_t *memory;
    MemoryReport_t *memory_report;
    gsize output_bytes;
    guint64 incarnation;
    char forward_proof[FORWARD_PROOF_LENGTH + 1];
} Context_t;

/** Context_answerLimits() - limits of a body that is buffered until it is
 * complete */
AnswerBufferLimits_t Context_answerLimits(const Context_t *this);

/**
 * Context_waitMs() - how long an answer to a caller may take
 * @wait_ms: how long the caller waits; 0 for the default
 * @limit_ms: longest time that its route allows; 0 for no limit
 */
gint64 Context_waitMs(const Context_t *context, gint64 wait_ms,
                      gint64 limit_ms);

/**
 * struct Caller_t - caller of a request, known after authentication
 * @customer: the customer's declaration, valid only until control returns to
 *     the event loop
 * @priority: priority level of the request
 * @deadline_ms: monotonic time by which the answer must be complete
 * @repeatable: it does no harm to run the request again
 * @key: Idempotency-Key of the request, or empty
 */
typedef struct {
    const Object_t *customer;
    gint64 priority;
    gint64 deadline_ms;
    gboolean repeatable;
    const char *key;
} Caller_t;

/**
 * Caller_makeRateRequest() - describe what a request charges to its customer's
 * rate limit
 * @customer: name of the customer; must outlive the result
 * @tokens: tokens of the prompt and maximum tokens of the answer; 0 for a
 *     plain service
 */
RateRequest_t Caller_makeRateRequest(const Caller_t *caller,
                                     const char *customer, double tokens);

/**
 * Context_countRefusal() - count and log a refusal
 * @detail: details for the log, or NULL
 */
void Context_countRefusal(Context_t *this, Refusal_t refusal, RunState_t run,
                          const char *request, const char *target,
                          const char *customer_class, const char *detail);

/** Context_prepareCaller() - bound and count what the kernel holds for a
 * caller that has sent a request */
void Context_prepareCaller(const Context_t *this,
                           struct evhttp_connection *connection);

/** Context_areAnswersUnread() - whether callers hold so many bytes of answers
 * that no new call may begin */
gboolean Context_areAnswersUnread(const Context_t *this);

/** Context_isMemoryFull() - whether no long work may begin */
gboolean Context_isMemoryFull(const Context_t *this);

/** Context_isMemoryUsedUp() - whether nothing may begin */
gboolean Context_isMemoryUsedUp(const Context_t *this);

/** Context_countOversized() - count and log an event of a stream, or an answer
 * that is no stream, that is too large */
void Context_countOversized(Context_t *this, const char *request,
                            const char *upstream);

/** Context_countRetry() - count a retry by its reason */
void Context_countRetry(Context_t *this, const char *reason,
                        const char *target, const char *customer_class);

#endif
