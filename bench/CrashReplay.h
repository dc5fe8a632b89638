#ifndef HEADER_CrashReplay
#define HEADER_CrashReplay
/**
 * DOC: CrashReplay
 *
 * Simulates, in virtual time, how the decisions about crashes alone
 * (CrashTable.h) handle poison requests and engines that fail by themselves.
 * Load pattern: each poison request is sent repeatedly to random routers and
 * crashes the engine that begins to run it, together with every other request
 * running there. Harmless requests are retried a limited number of times. A
 * crashed engine restarts after some seconds under a new incarnation.
 */
#include <glib.h>

/**
 * enum CrashMemory_t - which routers learn of a crash
 * @CRASH_MEMORY_NONE: none
 * @CRASH_MEMORY_LOCAL: only the router whose request ran on the engine
 * @CRASH_MEMORY_STORE: all routers, from a store that each of them polls every
 *     @poll_ms
 * @CRASH_MEMORY_KEEPER: one router for each request, which broadcasts the
 *     crashes once the request must be quarantined
 * @CRASH_MEMORY_ALL: all routers, by a broadcast of the router whose request
 *     ran on the engine
 */
typedef enum {
    CRASH_MEMORY_NONE,
    CRASH_MEMORY_LOCAL,
    CRASH_MEMORY_STORE,
    CRASH_MEMORY_KEEPER,
    CRASH_MEMORY_ALL,
    CRASH_MEMORY_COUNT,
} CrashMemory_t;

/**
 * struct CrashReplaySpec_t - the load and the rules of quarantine
 * @seed: of the random numbers
 * @duration_ms: time in which new requests arrive
 * @routers: number of routers
 * @engines: number of engines
 * @rate: harmless requests a second
 * @run_ms: mean run time of a harmless request
 * @repeated_percent: share of harmless requests drawn from @repeated_count
 *     recurring ones; every other one is sent by its caller only once
 * @repeated_count: number of recurring harmless requests
 * @poison_count: number of poison requests
 * @poison_rate: arrivals of each poison request a second
 * @crash_delay_max_ms: longest time until a poison request crashes its engine
 * @attempts: attempts that a router makes of one try at most
 * @tries: tries of one request at most; each one after the first is a retry
 *     by its caller
 * @restart_ms: time until a crashed engine is up again
 * @outage_percent: share of the engines that fail together by themselves
 * @outage_count: number of such outages
 * @outage_interval_ms: time between two outages
 * @crash_detect_ms: time until a router knows that an engine has crashed
 * @update_delay_ms: time until a broadcast reaches the other routers
 * @poll_ms: see CRASH_MEMORY_STORE
 * @memory: which routers learn of a crash
 * @quarantine_at: number of crashes that quarantines a request
 * @keep_after_success: a request that completes stays in quarantine
 * @explained_below: below this number of crashes, a crash under a request
 *     does not count if it also happened under another quarantined request
 *     with more crashes; 0 to count every crash
 * @success_memory_ms: time for which a router remembers that a request
 *     completed; within it, a request that reaches quarantine has its crashes
 *     voided at all routers, once; 0 to disable
 * @trial_delay_ms: time after the last crash at which one router sends a
 *     quarantined request once more; 0 to disable
 */
typedef struct {
    guint32 seed;
    gint64 duration_ms;
    guint routers;
    guint engines;
    double rate;
    double run_ms;
    guint repeated_percent;
    guint repeated_count;
    guint poison_count;
    double poison_rate;
    gint64 crash_delay_max_ms;
    guint attempts;
    guint tries;
    gint64 restart_ms;
    guint outage_percent;
    guint outage_count;
    gint64 outage_interval_ms;
    gint64 crash_detect_ms;
    gint64 update_delay_ms;
    gint64 poll_ms;
    CrashMemory_t memory;
    guint quarantine_at;
    gboolean keep_after_success;
    guint explained_below;
    gint64 success_memory_ms;
    gint64 trial_delay_ms;
} CrashReplaySpec_t;

/**
 * struct CrashReplayResult_t - counts of one replay
 * @harmless_requests: harmless requests that arrived
 * @served: harmless requests that completed
 * @refused: tries of harmless requests that were refused for quarantine
 * @refused_repeated: part of @refused that fell on recurring requests
 * @unserved: harmless requests whose last try was refused for quarantine
 * @crashes: engines crashed by poison requests
 * @crashes_max: engines crashed by the poison request that crashed most
 * @late_max: times that a poison request was sent later than
 *     CRASH_REPLAY_PROPAGATION_MAX_MS after its third crash; the maximum over
 *     all poison requests
 * @messages: messages between routers, or to the store
 * @first_quarantine_ms: mean time from the third crash of a poison request
 *     until a router other than the one that saw the crash first refuses it
 */
typedef struct {
    guint harmless_requests;
    guint served;
    guint refused;
    guint refused_repeated;
    guint unserved;
    guint crashes;
    guint crashes_max;
    guint late_max;
    guint64 messages;
    double first_quarantine_ms;
} CrashReplayResult_t;

/** Time in which all routers must know of a third crash, in ms */
#define CRASH_REPLAY_PROPAGATION_MAX_MS 3000

/** CrashReplaySpec_default() - eight routers, nine engines, 60 harmless
 * requests a second and one poison request sent five times a second; no
 * router learns of crashes */
CrashReplaySpec_t CrashReplaySpec_default(guint32 seed);

/** CrashReplay_run() - run the simulation to its end */
CrashReplayResult_t CrashReplay_run(const CrashReplaySpec_t *spec);

/** CrashReplay_formatMemory() - name of a CrashMemory_t for tables */
const char *CrashReplay_formatMemory(CrashMemory_t memory);

#endif
