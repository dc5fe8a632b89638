#ifndef HEADER_Upstream
#define HEADER_Upstream
/**
 * DOC: Upstream
 *
 * One engine or plain service's instance as this router sees it: what is
 * declared of it, what is known of it now, and its idle connections. It is
 * counted by reference, since requests outlive a change of declarations.
 */
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

#include "Declarations.h"
#include "EngineMemory.h"
#include "Link.h"
#include "UpstreamBackoff.h"
#include "UpstreamLimit.h"

/**
 * struct Upstream_t - one upstream
 * @name: as declared
 * @address: where it listens
 * @hall: hall that it stands in
 * @region: region of the hall
 * @role: engine or plain service
 * @serves: names of models or services, GString *
 * @slots: most open requests of this router
 * @hash: of the name, for agreement between routers
 * @incarnation: newest that was heard of, 0 for none yet
 * @weights: version that it last reported, may be empty
 * @leaving: gets no new work; never taken back for an incarnation
 * @leaving_ms: when this router learned so; 0 where it is not leaving
 * @removed: no longer declared
 * @replaced: another instance was met at its address, so that it is gone and
 *     what it held with it
 * @in_flight: this router's open requests
 * @pending_tokens: prompt tokens that this router sent and that are not yet
 *     computed
 * @reported_tokens: prompt tokens that it last said were waiting
 * @reported_running: streams that it last said were running
 * @reported_at_ms: when it said so
 * @prefill_us_per_token: learned time for one prompt token
 * @failures: in a row
 * @ejections: in a row, each longer than the one before
 * @ejected_until_ms: gets no work before, but for one probe after
 * @probing: a request after the ejection is under way
 * @live_since_ms: when this incarnation was first heard of, for slow start
 * @weights_rise: versions of its weights are numbers that only grow
 * @paused_until_ms: it refuses work until then, or until it has other weights
 * @unloading_since_ms: when it began to pause in order to change its weights,
 *     0 where it does not
 * @soon_until_ms: it is to change its weights before long; expected until then
 * @others_tokens: like pending_tokens, of the other routers as they told
 * @others_requests: their open requests
 * @ticket_tokens: like pending_tokens, of what was placed here for others
 * @ticket_requests: those requests that are open
 * @suspect: it was not reached; gets no work until it has answered a probe
 * @heard_doubt: it is suspect only because a peer did not reach it
 * @doubted_ms: when routers last told each other that it was not reached, by
 *     Upstream_noteDoubt(); 0 for never
 * @doubt_settled: routers have told each other since that it was reached
 * @unanswered: probes since it was last reached
 * @wait_us: learned wait for a first token beyond its own computation
 * @wait_at_ms: when that was learned; it fades
 * @run_us: learned time from a request's first token to its end, 0 for none
 * @proved_ms: when it last answered anything, 0 for never
 * @limit: of the requests that it takes from all routers together
 * @rest: that it wants of this router
 * @memory: how far its cache has turned over
 * @link: over which cached prefixes come to it and leave it
 * @base: of its connections
 * @waiters: UpstreamWaiter_t that are not sent yet, or were sent
 * @idle: IdleConnection_t, the one used last at the tail
 * @idle_max: most of them
 * @references: by which it is held
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
    gboolean weights_rise;
    gint64 paused_until_ms;
    gint64 unloading_since_ms;
    gint64 soon_until_ms;
    guint others_tokens;
    guint others_requests;
    guint64 ticket_tokens;
    guint ticket_requests;
    gboolean suspect;
    gboolean heard_doubt;
    gint64 doubted_ms;
    gboolean doubt_settled;
    guint unanswered;
    double wait_us;
    gint64 wait_at_ms;
    double run_us;
    gint64 proved_ms;
    UpstreamLimit_t limit;
    UpstreamBackoff_t rest;
    EngineMemory_t memory;
    Link_t link;

    struct event_base *base;
    GQueue waiters;
    GQueue idle;
    guint idle_max;
    guint references;
} Upstream_t;

/** Upstream_create() - with one reference */
Upstream_t *Upstream_create(struct event_base *base, const char *name,
                            const UpstreamSpec_t *spec, guint idle_max);

/** Upstream_ref() - one more reference */
Upstream_t *Upstream_ref(Upstream_t *this);

/** Upstream_unref() - free it with its last reference */
void Upstream_unref(Upstream_t *this);

/** Upstream_takesWork() - whether it is declared, not leaving and has slots */
gboolean Upstream_takesWork(const Upstream_t *this);

/**
 * Upstream_isUsable() - whether new work should go to it now
 *
 * It takes work, was reached, does not pause, and is not ejected or may be
 * probed again.
 */
gboolean Upstream_isUsable(const Upstream_t *this, gint64 now_ms);

/** Upstream_stateName() - "live", "leaving", "resting", "ejected" or "removed"
 */
const char *Upstream_stateName(const Upstream_t *this, gint64 now_ms);

/**
 * Upstream_noteIncarnation() - learn of an incarnation
 *
 * An older one than is known is passed over. A newer one voids the leaving
 * mark, the load, the waits, the pause, the limit and the ejection of the
 * older, what it held, and the connections to it.
 *
 * Return: TRUE where it is news
 */
gboolean Upstream_noteIncarnation(Upstream_t *this, guint64 incarnation,
                                  gint64 now_ms);

/** An upstream that sheds is left alone for so long, in ms; it has a queue of
 * its own, which has to shrink first */
#define UPSTREAM_SHED_PAUSE_MS 250

/** Upstream_notePause() - it refuses work for so long at the most */
void Upstream_notePause(Upstream_t *this, gint64 pause_ms, gint64 now_ms);

/** Upstream_noteUnloading() - the same, as its weights are to change */
void Upstream_noteUnloading(Upstream_t *this, gint64 pause_ms, gint64 now_ms);

/**
 * Upstream_noteSoon() - it is to change its weights, expected for so long
 *
 * Return: whether that is news
 */
gboolean Upstream_noteSoon(Upstream_t *this, gint64 for_ms, gint64 now_ms);

/**
 * Upstream_unloadingMs() - for how long it has paused to change its weights
 *
 * Return: 0 where it does not
 */
gint64 Upstream_unloadingMs(const Upstream_t *this, gint64 now_ms);

/**
 * Upstream_noteUnreached() - it gets no work until it has answered a probe
 *
 * Its idle connections are closed.
 *
 * Return: TRUE where that is news
 */
gboolean Upstream_noteUnreached(Upstream_t *this);

/** Upstream_noteHeardDoubt() - the same where only a peer did not reach it */
void Upstream_noteHeardDoubt(Upstream_t *this);

/**
 * Upstream_settleDoubt() - a router that probed it has reached it
 *
 * It gets work again where only a peer had not reached it; what this router
 * found out for itself stays.
 *
 * Return: FALSE where no doubt was told, or where this is known already
 */
gboolean Upstream_settleDoubt(Upstream_t *this);

/**
 * Upstream_noteDoubt() - a doubt whether it is reached is told or heard
 *
 * Return: FALSE where another one was a short while ago; it says no more then
 */
gboolean Upstream_noteDoubt(Upstream_t *this, gint64 now_ms);

/** Upstream_noteReached() - it answered something just now */
void Upstream_noteReached(Upstream_t *this, gint64 now_ms);

/**
 * Upstream_noteLeaving() - no new work for this incarnation
 *
 * Requests that still wait for a connection to it are withdrawn.
 *
 * Return: TRUE where it is news
 */
gboolean Upstream_noteLeaving(Upstream_t *this, guint64 incarnation,
                              gint64 now_ms);

/**
 * Upstream_noteWeights() - the version that it is said to have
 *
 * Where versions only rise, an older one is passed over: lists and peers lag
 * behind the upstream's own answers. A change ends a pause.
 *
 * Return: whether that is news
 */
gboolean Upstream_noteWeights(Upstream_t *this, const char *weights);

/**
 * Upstream_version() - the version of its weights as a number
 *
 * Return: 0 where it has none or it is no number
 */
guint64 Upstream_version(const Upstream_t *this);

/**
 * Upstream_noteFirstToken() - learn how long a request waited there
 * @waited_us: from the attempt's start to its first token
 * @tokens: of its prompt that had to be computed
 */
void Upstream_noteFirstToken(Upstream_t *this, gint64 waited_us, guint tokens,
                             gint64 now_ms);

/** First token of a request that nothing holds up, beside its computation, in
 * us */
#define UPSTREAM_LEAST_FIRST_US 20000

/** Upstream_leastUs() - until a first token where nothing holds it up */
gint64 Upstream_leastUs(const Upstream_t *this, guint tokens);

/** Upstream_noteRun() - learn how long a request ran after its first token */
void Upstream_noteRun(Upstream_t *this, gint64 run_us);

/** Upstream_requests() - open requests there of all routers, as far as is
 * known here */
guint Upstream_requests(const Upstream_t *this);

/** Upstream_waitUs() - the wait that was learned, faded with its age */
gint64 Upstream_waitUs(const Upstream_t *this, gint64 now_ms);

/** Upstream_noteSuccess() - it answered; ends an ejection */
void Upstream_noteSuccess(Upstream_t *this);

/**
 * Upstream_noteFailure() - it failed; may eject it
 * @most: failures in a row that eject
 * @eject_ms: length of the first ejection
 *
 * Return: TRUE where it is ejected now
 */
gboolean Upstream_noteFailure(Upstream_t *this, guint most, gint64 eject_ms,
                              gint64 now_ms);

/**
 * struct UpstreamWaiter_t - a request that goes to an upstream
 * @link: of the list that it is in; zeroed while it is in none
 * @withdraw: it must not be sent any more; nothing where it was sent
 * @owner: of @withdraw
 */
typedef struct {
    GList link;
    void (*withdraw)(void *owner);
    void *owner;
} UpstreamWaiter_t;

/** Upstream_addWaiter() - it is withdrawn where the upstream takes no new work
 * before it is sent */
void Upstream_addWaiter(Upstream_t *this, UpstreamWaiter_t *waiter);

/** Upstream_withdrawWaiters() - none of them is sent from now on, for
 * those that come after it is not asked */
void Upstream_withdrawWaiters(Upstream_t *this);

/** Upstream_removeWaiter() - it is over; may be called again */
void Upstream_removeWaiter(Upstream_t *this, UpstreamWaiter_t *waiter);

/** For Upstream_takeConnection(): however long a connection rested */
#define UPSTREAM_ANY_IDLE G_MAXINT64
/** For Upstream_takeConnection(): only a new connection will do */
#define UPSTREAM_NO_IDLE (-1)

/**
 * Upstream_takeConnection() - an idle connection or a new one
 * @idle_max_ms: an idle one must not have rested longer
 * @now_ms: monotonic
 */
struct evhttp_connection *
Upstream_takeConnection(Upstream_t *this, gint64 idle_max_ms, gint64 now_ms);

/**
 * Upstream_keepConnection() - give an idle connection back
 * @now_ms: monotonic, when its rest begins
 *
 * Must not be called from within a callback of the connection unless it is
 * certain that it is kept; see Upstream_canKeep().
 */
void Upstream_keepConnection(Upstream_t *this,
                             struct evhttp_connection *connection,
                             gint64 now_ms);

/**
 * Upstream_isWarm() - whether a connection to it rested for a short while only
 * @rest_ms: longest rest
 */
gboolean Upstream_isWarm(const Upstream_t *this, gint64 rest_ms,
                         gint64 now_ms);

/** Upstream_canKeep() - whether one more idle connection is wanted */
gboolean Upstream_canKeep(const Upstream_t *this);

#endif
