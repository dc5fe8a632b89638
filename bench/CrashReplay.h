#ifndef HEADER_CrashReplay
#define HEADER_CrashReplay
/**
 * DOC: CrashReplay
 *
 * Plays requests that make engines end, and engines that end by themselves,
 * against what is decided of crashes alone (CrashTable.h), in a time of its
 * own. Load pattern: some requests come again and again at any router, each
 * ends the engine that begins to run it, and takes all that runs there along;
 * the others are each tried a few times. An engine is back after some seconds
 * as another one.
 */
#include <glib.h>

/**
 * enum CrashMemory_t - who knows of a crash
 * @CRASH_MEMORY_NONE: nobody
 * @CRASH_MEMORY_OWN: the router that had a request there
 * @CRASH_MEMORY_STORE: all, once they have read it from a store that each of
 *     them asks every @poll_ms
 * @CRASH_MEMORY_KEEPER: one router for each request, which tells all once it
 *     is to be held back
 * @CRASH_MEMORY_ALL: all, as the router that had a request there tells them
 */
typedef enum {
    CRASH_MEMORY_NONE,
    CRASH_MEMORY_OWN,
    CRASH_MEMORY_STORE,
    CRASH_MEMORY_KEEPER,
    CRASH_MEMORY_ALL,
    CRASH_MEMORY_COUNT,
} CrashMemory_t;

/**
 * struct CrashReplaySpec_t - a load, and what is decided of it
 * @seed: of all that is drawn
 * @duration_ms: in which requests come
 * @routers: how many
 * @engines: how many
 * @rate: proper requests a second
 * @run_ms: that one runs, on the mean
 * @popular_percent: of them that are one of @popular, the others come once
 * @popular: how many such
 * @deadly: requests that end engines
 * @deadly_rate: how often each of them comes a second
 * @begin_ms: until one has ended its engine, at the most
 * @attempts: of one try at the most
 * @tries: of one request at the most; each later one is a retry of its caller
 * @back_ms: until an engine is back
 * @lost_percent: of the engines end at once by themselves
 * @lost_times: so often
 * @lost_every_ms: so long after one another
 * @proof_ms: until a router knows that an engine has ended
 * @news_ms: until others have heard what it tells
 * @poll_ms: see CRASH_MEMORY_STORE
 * @memory: who knows of a crash
 * @held_at: crashes that hold a request back
 * @no_clearing: one that comes through is not let go
 * @explained_at: crashes that hold a request back though other requests that
 *     are held back ran there as well; 0 where those count like any
 * @remember_ms: a router that has seen one come through so long before takes
 *     its crashes back, once for all routers; 0 for never
 * @trial_ms: so long after the last crash one router sends what is held back
 *     once more; 0 for never
 */
typedef struct {
    guint32 seed;
    gint64 duration_ms;
    guint routers;
    guint engines;
    double rate;
    double run_ms;
    guint popular_percent;
    guint popular;
    guint deadly;
    double deadly_rate;
    gint64 begin_ms;
    guint attempts;
    guint tries;
    gint64 back_ms;
    guint lost_percent;
    guint lost_times;
    gint64 lost_every_ms;
    gint64 proof_ms;
    gint64 news_ms;
    gint64 poll_ms;
    CrashMemory_t memory;
    guint held_at;
    gboolean no_clearing;
    guint explained_at;
    gint64 remember_ms;
    gint64 trial_ms;
} CrashReplaySpec_t;

/**
 * struct CrashReplayResult_t - what became of it
 * @proper: proper requests
 * @served: of them
 * @refused: tries of proper requests that were held back
 * @refused_popular: of them those of requests that come again and again
 * @unserved: proper requests that were not served and whose last try was held
 *     back
 * @ended: engines that ended under deadly requests
 * @ended_most: under the one that ended most
 * @late_most: times that one was sent later than CRASH_REPLAY_CONTACT_MS after
 *     its third crash, of the one with most
 * @messages: between routers, or to a store
 * @first_ms: from the third crash of a deadly request to the first of it that
 *     another router held back, on the mean
 */
typedef struct {
    guint proper;
    guint served;
    guint refused;
    guint refused_popular;
    guint unserved;
    guint ended;
    guint ended_most;
    guint late_most;
    guint64 messages;
    double first_ms;
} CrashReplayResult_t;

/** Routers have so long to hear of a third crash, in ms */
#define CRASH_REPLAY_CONTACT_MS 3000

/** CrashReplaySpec_default() - eight routers and nine engines at 60 requests a
 * second, one deadly request five times a second; nobody remembers
 * crashes */
CrashReplaySpec_t CrashReplaySpec_default(guint32 seed);

/** CrashReplay_run() - play it */
CrashReplayResult_t CrashReplay_run(const CrashReplaySpec_t *spec);

/** CrashReplay_memoryName() - of who knows, for tables */
const char *CrashReplay_memoryName(CrashMemory_t memory);

#endif
