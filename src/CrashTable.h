#ifndef HEADER_CrashTable
#define HEADER_CrashTable
/**
 * DOC: CrashTable
 *
 * Under which requests upstreams have ended, and which of these requests are
 * sent to none any more: a decision from facts alone, without any effect.
 *
 * Load pattern: a request makes each engine that begins to run it end, and
 * comes again at any router. An engine takes all that it runs with it, so that
 * one crash says little of a request; three different upstreams that ended
 * under the same one, while it never came through, say that it is the cause.
 *
 * What several routers know is put together in any order: a crash that was
 * counted or voided once stays so.
 */
#include "RequestDigest.h"

/** Upstreams that end under a request before it is held back */
#define CRASHES_HELD 3

/** Crashes that are remembered of one request: with so many it is held back
 * for the longest time */
#define CRASHES_OF_ONE 12

/** How long a request is held back after the third crash, in ms; doubled with
 * each further one, up to CRASH_HOLD_MOST_MS. Engines and what they run are
 * changed by the hour; until then each try would cost an engine. */
#define CRASH_HOLD_MS 600000
/** Longest hold, in ms: a day */
#define CRASH_HOLD_MOST_MS 86400000
/** How long crashes that hold nothing back are remembered, in ms */
#define CRASH_SUSPECT_MS 3600000
/** How long those are remembered that have held a request back, in ms */
#define CRASH_MEMORY_MS 172800000

/** Requests remembered of one customer: its other ones go first */
#define CRASH_ENTRIES_OF_ONE 256
/** Requests remembered in all: 8,192 entries of 300 B are 2.5 MB (computed) */
#define CRASH_ENTRIES 8192
/** Crashes remembered that turned out to be none */
#define CRASHES_VOIDED 1024

/**
 * struct CrashFact_t - an upstream ended under a request
 * @digest: of the request
 * @owner: its customer; see RequestDigest_hashCustomer()
 * @crash: identity of the upstream's incarnation that ended
 * @at_ms: when, monotonic
 */
typedef struct {
    RequestDigest_t digest;
    guint64 owner;
    guint64 crash;
    gint64 at_ms;
} CrashFact_t;

/**
 * struct CrashMark_t - one crash of an entry
 * @crash: see CrashFact_t
 * @voided: it does not count: the request has come through since, the upstream
 *     lives, or an operator says so
 */
typedef struct {
    guint64 crash;
    gboolean voided;
} CrashMark_t;

/**
 * struct CrashEntry_t - what is known of one request
 * @digest: of it
 * @owner: its customer
 * @marks: crashes, in the order in which they were learned
 * @mark_count: how many
 * @last_ms: when the last one that counts was, monotonic
 * @is_own: this router has counted one of them itself
 * @is_recorded: it stands in the platform's store
 */
typedef struct {
    RequestDigest_t digest;
    guint64 owner;
    CrashMark_t marks[CRASHES_OF_ONE];
    guint mark_count;
    gint64 last_ms;
    gboolean is_own;
    gboolean is_recorded;
} CrashEntry_t;

/**
 * enum CrashChange_t - what a fact has changed
 * @CRASH_KNOWN: nothing
 * @CRASH_NEWS: something that others may not know
 * @CRASH_HOLDS: the same, and the request is held back from now on
 */
typedef enum { CRASH_KNOWN, CRASH_NEWS, CRASH_HOLDS } CrashChange_t;

/** struct CrashTable_t - opaque */
typedef struct CrashTable CrashTable_t;

/** CrashTable_create() - nothing is known */
CrashTable_t *CrashTable_create(void);

/** CrashTable_destroy() - free it */
void CrashTable_destroy(CrashTable_t *this);

/** CrashTable_size() - requests of which anything is known */
guint CrashTable_size(const CrashTable_t *this);

/** CrashTable_find() - what is known of a request; NULL for nothing; valid
 * until the table changes */
CrashEntry_t *CrashTable_find(const CrashTable_t *this,
                              const RequestDigest_t *digest);

/** CrashTable_add() - an upstream ended under a request */
CrashChange_t CrashTable_add(CrashTable_t *this, const CrashFact_t *fact,
                             gint64 now_ms);

/** CrashTable_void() - one crash of a request does not count; it may not be
 * known here yet */
CrashChange_t CrashTable_void(CrashTable_t *this, const CrashFact_t *fact);

/**
 * CrashTable_clear() - none of a request's crashes counts
 *
 * Return: whether any did
 */
gboolean CrashTable_clear(CrashTable_t *this, const RequestDigest_t *digest);

/**
 * CrashTable_retract() - an upstream has not ended after all
 *
 * Return: FALSE where that is known already
 */
gboolean CrashTable_retract(CrashTable_t *this, guint64 crash);

/** CrashTable_forget() - drop what is too old; to be called now and then
 *
 * Return: RequestDigest_t of those dropped that were recorded; the caller
 * frees the array
 */
GArray *CrashTable_forget(CrashTable_t *this, gint64 now_ms);

/** CrashVisit_t - called for each entry, which it must not drop */
typedef void (*CrashVisit_t)(CrashEntry_t *entry, void *data);

/** CrashTable_forEach() - in no order */
void CrashTable_forEach(const CrashTable_t *this, CrashVisit_t visit,
                        void *data);

/** CrashEntry_counted() - crashes that count */
guint CrashEntry_counted(const CrashEntry_t *this);

/** CrashEntry_has() - whether a crash is among those known, voided or not */
gboolean CrashEntry_has(const CrashEntry_t *this, guint64 crash);

/** CrashEntry_heldMs() - for how much longer it is held back, 0 for not */
gint64 CrashEntry_heldMs(const CrashEntry_t *this, gint64 now_ms);

#endif
