#ifndef HEADER_Upstream
#define HEADER_Upstream
/**
 * DOC: Upstream
 *
 * One upstream, an engine or an instance of a plain service, as this router
 * sees it: its declaration, its current state and its idle connections. It is
 * reference-counted, since requests can outlive a change of declarations.
 */
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

#include "ConnectionKeeping.h"
#include "Declarations.h"
#include "EngineBacklog.h"
#include "EngineMemory.h"
#include "EngineRuns.h"
#include "PooledConnection.h"
#include "TransferLink.h"
#include "UpstreamBackoff.h"
#include "UpstreamLimit.h"

/**
 * struct Upstream_t - one upstream
 * @name: declared name
 * @address: address on which it listens
 * @hall: hall in which it stands
 * @region: region of the hall
 * @role: engine or plain service
 * @serves: names of models or services, GString *
 * @slots: maximum number of open requests of this router
 * @hash: hash of the name, the same on all routers
 * @incarnation: newest known incarnation, 0 for none yet
 * @weights: version of weights that it last reported, may be empty
 * @software: version of its software, see Upstream_software()
 * @software_incarnation: incarnation that @software was stated for
 * @leaving: gets no new work; ends only with a newer incarnation
 * @leaving_ms: when this router learned that it is leaving, 0 if it is not
 * @removed: no longer declared
 * @replaced: another instance answered at its address, so that it has departed
 *     and its state is lost
 * @in_flight: open requests of this router
 * @pending_tokens: prompt tokens that this router sent and that are not yet
 *     computed
 * @reported_tokens: waiting prompt tokens that it last reported
 * @reported_running: running streams that it last reported
 * @reported_at_ms: when it made that report
 * @prefill_us_per_token: learned time to compute one prompt token
 * @failures: consecutive failures
 * @ejections: consecutive ejections; each lasts twice as long as the last, up
 * to a maximum
 * @ejected_until_ms: gets no work before, and one request as a probe after
 * @probing: that request is in flight
 * @live_since_ms: when this incarnation was first seen, for slow start
 * @versions_increase: versions of its weights are numbers that only increase
 * @paused_until_ms: refuses work until then, or until its weights change
 * @unloading_since_ms: when it paused to change its weights, 0 if it has not
 * @load_soon_until_ms: until when a load of other weights is expected to begin
 * @peer_tokens: like @pending_tokens, for the other routers, as they reported
 * @peer_requests: open requests of the other routers
 * @ticket_tokens: like @pending_tokens, for requests that this router placed
 *     here for others
 * @ticket_requests: open requests among those
 * @backlog: prompts that this router placed here for others or for itself as
 *     the dispatcher of a group, and that are still to be computed
 * @suspect: was unreachable; gets no work until it has answered a probe
 * @suspected_by_peer: suspected only because a peer could not reach it
 * @suspicion_reported_ms: when a suspicion was last exchanged with peers, see
 *     Upstream_noteSuspicionReport(); 0 for never
 * @suspicion_resolved: a router has reached it since, and the peers know
 * @unanswered: failed probes since it was last reached
 * @probe_wanted: has been silent beyond a timeout; it stays in use and is to
 *     be probed, which decides whether it is suspected
 * @wait_us: learned wait for a first token beyond the request's computation
 * @wait_at_ms: when @wait_us was learned; the value decays
 * @run_us: learned time from a request's first token to its end, 0 for none
 * @last_answer_ms: when it last answered anything, 0 for never
 * @limit: limit of the requests from all routers together
 * @backoff: backoff that it asked of this router
 * @memory: turnover of its cache
 * @runs: requests that it runs, by its own word
 * @link: link over which cached prefixes are copied to and from it
 * @base: event base of its connections
 * @waiters: UpstreamWaiter_t of the requests that are assigned to it
 * @idle: PooledConnection_t, the most recently used one at the tail
 * @idle_max: maximum number of idle connections
 * @sample: an idle connection that requests which may run only once leave
 *     alone until it has stayed open for a while or is closed, or NULL
 * @keeping: whether it keeps its connections
 * @references: reference count
 */
typedef struct {
    GString *name;
    Address_t address;
    GString *hall;
    GString *region;
    UpstreamRole_t role;
    GPtrArray *serves;
    guint slots;
    guint64 hash;

    guint64 incarnation;
    GString *weights;
    GString *software;
    guint64 software_incarnation;
    gboolean leaving;
    gint64 leaving_ms;
    gboolean removed;
    gboolean replaced;
    guint in_flight;
    gint64 pending_tokens;
    gint64 reported_tokens;
    guint reported_running;
    gint64 reported_at_ms;
    double prefill_us_per_token;
    guint failures;
    guint ejections;
    gint64 ejected_until_ms;
    gboolean probing;
    gint64 live_since_ms;
    gboolean versions_increase;
    gint64 paused_until_ms;
    gint64 unloading_since_ms;
    gint64 load_soon_until_ms;
    guint peer_tokens;
    guint peer_requests;
    guint64 ticket_tokens;
    guint ticket_requests;
    EngineBacklog_t backlog;
    gboolean suspect;
    gboolean suspected_by_peer;
    gint64 suspicion_reported_ms;
    gboolean suspicion_resolved;
    guint unanswered;
    gboolean probe_wanted;
    double wait_us;
    gint64 wait_at_ms;
    double run_us;
    gint64 last_answer_ms;
    UpstreamLimit_t limit;
    UpstreamBackoff_t backoff;
    EngineMemory_t memory;
    EngineRuns_t *runs;
    TransferLink_t link;

    struct event_base *base;
    GQueue waiters;
    GQueue idle;
    guint idle_max;
    PooledConnection_t *sample;
    ConnectionKeeping_t keeping;
    guint references;
} Upstream_t;

/** Upstream_create() - create an upstream with one reference */
Upstream_t *Upstream_create(struct event_base *base, const char *name,
                            const UpstreamSpec_t *spec, guint idle_max);

/** Upstream_hashIncarnation() - identity of one incarnation of an upstream,
 * the same at all routers */
guint64 Upstream_hashIncarnation(const Upstream_t *this, guint64 incarnation);

/** Upstream_ref() - add a reference */
Upstream_t *Upstream_ref(Upstream_t *this);

/** Upstream_unref() - drop a reference; the last one frees the upstream */
void Upstream_unref(Upstream_t *this);

/** Upstream_takesWork() - whether the upstream is declared, is not leaving and
 * has a free slot */
gboolean Upstream_takesWork(const Upstream_t *this);

/**
 * Upstream_isUsable() - whether new work may be sent to the upstream now
 *
 * It is usable if it takes work, is neither suspected nor paused, and is not
 * ejected or is due for a probe.
 */
gboolean Upstream_isUsable(const Upstream_t *this, gint64 now_ms);

/** Upstream_stateName() - "live", "leaving", "resting", "ejected" or "removed"
 */
const char *Upstream_stateName(const Upstream_t *this, gint64 now_ms);

/**
 * Upstream_noteIncarnation() - record an incarnation
 *
 * An incarnation older than the known one is ignored. A newer one resets the
 * leaving mark, the reported load, the learned wait, the pause, the limit, the
 * backoff, the ejection, the wish for a probe and the cache contents, and
 * closes idle connections.
 *
 * Return: TRUE if the incarnation was not known
 */
gboolean Upstream_noteIncarnation(Upstream_t *this, guint64 incarnation,
                                  gint64 now_ms);

/** Upstream_noteSoftware() - record the software version that the upstream's
 * entry states; empty for none */
void Upstream_noteSoftware(Upstream_t *this, const char *software,
                           guint64 incarnation);

/** Upstream_isSoftwareKnown() - whether its entry is that of the process that
 * runs now */
gboolean Upstream_isSoftwareKnown(const Upstream_t *this);

/**
 * Upstream_software() - version of the software that the upstream runs
 *
 * An upstream that has started again may run other software than before.
 *
 * Return: an empty text if the version of this incarnation is not known
 */
const char *Upstream_software(const Upstream_t *this);

/** Pause of an upstream that sheds a request, in ms; its own queue has to
 * shrink first */
#define UPSTREAM_SHED_PAUSE_MS 250

/** Upstream_notePause() - record that the upstream refuses work, for at most
 * @pause_ms */
void Upstream_notePause(Upstream_t *this, gint64 pause_ms, gint64 now_ms);

/** Upstream_noteUnloading() - record a pause for a change of weights */
void Upstream_noteUnloading(Upstream_t *this, gint64 pause_ms, gint64 now_ms);

/**
 * Upstream_noteLoadSoon() - record that the upstream will load other weights
 * @for_ms: time within which the load is expected to begin
 *
 * Return: FALSE if more than half of @for_ms is left of an earlier notice
 */
gboolean Upstream_noteLoadSoon(Upstream_t *this, gint64 for_ms, gint64 now_ms);

/**
 * Upstream_unloadingMs() - time since the upstream paused to change its
 * weights
 *
 * Return: 0 if it is not paused for that reason
 */
gint64 Upstream_unloadingMs(const Upstream_t *this, gint64 now_ms);

/**
 * Upstream_noteUnreachable() - suspect an upstream that this router could not
 * reach
 *
 * The upstream gets no work until it has answered a probe. Its idle
 * connections are closed.
 *
 * Return: TRUE if it was not suspected before
 */
gboolean Upstream_noteUnreachable(Upstream_t *this);

/**
 * Upstream_noteSilent() - ask for a probe of an upstream that was silent
 * beyond a timeout
 *
 * The upstream stays in use, unlike after Upstream_noteUnreachable(). Does
 * nothing if this router suspects it already, since it is probed then.
 */
void Upstream_noteSilent(Upstream_t *this);

/** Upstream_notePeerSuspicion() - suspect an upstream that only a peer could
 * not reach */
void Upstream_notePeerSuspicion(Upstream_t *this);

/**
 * Upstream_resolveSuspicion() - record that a router has reached a suspected
 * upstream with a probe
 *
 * The upstream gets work again if only a peer suspected it. A suspicion by
 * this router itself stays.
 *
 * Return: FALSE if no suspicion was exchanged with peers, or if the last one
 * is resolved already
 */
gboolean Upstream_resolveSuspicion(Upstream_t *this);

/**
 * Upstream_noteSuspicionReport() - record that a suspicion is sent to or
 * received from peers
 *
 * Return: FALSE if the last such report is recent, so that this one adds
 * nothing and is to be dropped
 */
gboolean Upstream_noteSuspicionReport(Upstream_t *this, gint64 now_ms);

/** Upstream_noteReachable() - record an answer, which ends any suspicion and
 * any wish for a probe */
void Upstream_noteReachable(Upstream_t *this, gint64 now_ms);

/**
 * Upstream_noteLeaving() - record that an incarnation takes no new work
 *
 * Requests that still wait for a connection to it are withdrawn.
 *
 * Return: TRUE if it was not known to leave; FALSE also for a former
 * incarnation
 */
gboolean Upstream_noteLeaving(Upstream_t *this, guint64 incarnation,
                              gint64 now_ms);

/**
 * Upstream_noteWeights() - record the version of the upstream's weights
 *
 * If versions only increase, an older version is ignored, since lists and
 * peers lag behind the upstream's own answers. A change ends a pause.
 *
 * Return: whether the version has changed
 */
gboolean Upstream_noteWeights(Upstream_t *this, const char *weights);

/**
 * Upstream_weightsVersion() - the version of its weights as a number
 *
 * Return: 0 if it has none or if it is not a number
 */
guint64 Upstream_weightsVersion(const Upstream_t *this);

/**
 * Upstream_noteFirstToken() - learn the wait from a request's first token
 * @waited_us: time from the attempt's start to its first token
 * @tokens: prompt tokens that had to be computed
 */
void Upstream_noteFirstToken(Upstream_t *this, gint64 waited_us, guint tokens,
                             gint64 now_ms);

/** Time to the first token of a request that does not wait, apart from the
 * computation of its prompt, in us */
#define UPSTREAM_MIN_FIRST_TOKEN_US 20000

/** Upstream_minFirstTokenUs() - time to the first token of a request that does
 * not wait, including the computation of @tokens */
gint64 Upstream_minFirstTokenUs(const Upstream_t *this, guint tokens);

/** Upstream_noteRunTime() - learn the time that requests run after their first
 * token */
void Upstream_noteRunTime(Upstream_t *this, gint64 run_us);

/** Upstream_countRequests() - open requests of all routers at the upstream, as
 * far as this router knows */
guint Upstream_countRequests(const Upstream_t *this);

/** Upstream_waitUs() - the learned wait, decayed with its age */
gint64 Upstream_waitUs(const Upstream_t *this, gint64 now_ms);

/** Upstream_noteSuccess() - record a success, which ends an ejection */
void Upstream_noteSuccess(Upstream_t *this);

/**
 * Upstream_noteFailure() - record a failure; may eject the upstream
 * @failures_max: consecutive failures that eject it
 * @eject_ms: length of the first ejection
 *
 * Return: TRUE if the failure ejects it
 */
gboolean Upstream_noteFailure(Upstream_t *this, guint failures_max,
                              gint64 eject_ms, gint64 now_ms);

/**
 * struct UpstreamWaiter_t - a request that is assigned to an upstream
 * @link: link in the upstream's list; zeroed while in no list
 * @withdraw: called if the request must no longer be sent; must do nothing if
 *     it was sent already
 * @owner: argument of @withdraw
 */
typedef struct {
    GList link;
    void (*withdraw)(void *owner);
    void *owner;
} UpstreamWaiter_t;

/** Upstream_addWaiter() - register a request, to be withdrawn if the upstream
 * stops taking new work before the request is sent */
void Upstream_addWaiter(Upstream_t *this, UpstreamWaiter_t *waiter);

/** Upstream_withdrawWaiters() - withdraw all requests that are registered now;
 * requests registered later are not affected */
void Upstream_withdrawWaiters(Upstream_t *this);

/** Upstream_removeWaiter() - unregister a request; does nothing if it is not
 * registered */
void Upstream_removeWaiter(Upstream_t *this, UpstreamWaiter_t *waiter);

/** For Upstream_takeConnection(): accept any idle connection */
#define UPSTREAM_ANY_IDLE G_MAXINT64
/** For Upstream_takeConnection(): accept only a new connection */
#define UPSTREAM_NO_IDLE (-1)

/**
 * Upstream_takeConnection() - take an idle connection or create one
 * @idle_max_ms: longest idle time of a connection to reuse
 * @request_id: a connection that has carried a request with this id is not
 *     reused; NULL if any may be
 * @is_once: the request may run only once
 * @now_ms: monotonic
 */
PooledConnection_t *Upstream_takeConnection(Upstream_t *this,
                                            gint64 idle_max_ms,
                                            const char *request_id,
                                            gboolean is_once, gint64 now_ms);

/**
 * Upstream_poolConnection() - put a connection into the pool of idle ones
 * @now_ms: start of its idle time, monotonic
 *
 * Must not be called from a callback of the connection unless
 * Upstream_canPoolConnection() has returned TRUE.
 */
void Upstream_poolConnection(Upstream_t *this, PooledConnection_t *connection,
                             gint64 now_ms);

/**
 * Upstream_hasWarmConnection() - whether the pool has a recently used
 * connection
 * @idle_max_ms: longest idle time of such a connection
 */
gboolean Upstream_hasWarmConnection(const Upstream_t *this, gint64 idle_max_ms,
                                    gint64 now_ms);

/** Upstream_canPoolConnection() - whether the pool takes one more connection
 */
gboolean Upstream_canPoolConnection(const Upstream_t *this);

#endif
