#ifndef HEADER_CrashTable
#define HEADER_CrashTable
/**
 * DOC: CrashTable
 *
 * Records which requests were running on upstreams that crashed, and decides
 * which of these requests are quarantined. The table has no side effects.
 *
 * Load pattern: a poison request crashes each engine that starts to run it and
 * is retried through any router. All requests that run on the engine are lost
 * with it, so one crash says little about a request. A request that never
 * completes and was running on three different upstreams when they crashed is
 * taken to be the cause.
 *
 * Facts of several routers can be merged in any order: a recorded crash stays
 * recorded, and a voided one stays voided.
 */
#include "RequestDigest.h"

/** Valid crashes, each of another upstream, that quarantine a request */
#define CRASHES_TO_QUARANTINE 3

/** Crashes stored per request; with 12 valid ones the quarantine is already
 * at its maximum */
#define CRASHES_PER_REQUEST_MAX 12

/** Quarantine after the third crash, in ms; doubled with each further crash,
 * up to QUARANTINE_MAX_MS. Engines and their models change by the hour; until
 * then each try would cost an engine. */
#define QUARANTINE_MIN_MS 600000
/** Longest quarantine, in ms: one day */
#define QUARANTINE_MAX_MS 86400000
/** How long an entry with too few crashes for a quarantine is stored, in ms */
#define CRASH_SUSPECT_RETAIN_MS 3600000
/** How long an entry that has led to a quarantine is stored, in ms */
#define CRASH_QUARANTINED_RETAIN_MS 172800000

/** Entries per customer; beyond that its own least important one is evicted */
#define CRASH_ENTRIES_PER_CUSTOMER_MAX 256
/** Entries in all; 8,192 entries of 300 B take 2.5 MB */
#define CRASH_ENTRIES_MAX 8192
/** Retracted crashes that are remembered */
#define CRASHES_RETRACTED_MAX 1024

/**
 * struct CrashFact_t - an upstream crashed while it ran a request
 * @digest: of the request
 * @customer_hash: of the request's customer; see RequestDigest_hashCustomer()
 * @crash: identity of the upstream's incarnation that crashed
 * @at_ms: time of the crash, monotonic
 */
typedef struct {
    RequestDigest_t digest;
    guint64 customer_hash;
    guint64 crash;
    gint64 at_ms;
} CrashFact_t;

/**
 * struct CrashMark_t - one crash of an entry
 * @crash: see CrashFact_t
 * @voided: the crash does not count, since the request has completed later,
 *     the upstream is alive, or an operator has released the request
 */
typedef struct {
    guint64 crash;
    gboolean voided;
} CrashMark_t;

/**
 * struct CrashEntry_t - the crashes of one request
 * @digest: of the request
 * @customer_hash: of the request's customer
 * @marks: crashes, in the order in which they were added; a voided one may be
 *     replaced when all are in use
 * @mark_count: used elements of @marks
 * @last_ms: time of the latest crash, monotonic
 * @is_local: this router has recorded at least one of the crashes itself
 * @is_stored: the entry is in the platform's store
 */
typedef struct {
    RequestDigest_t digest;
    guint64 customer_hash;
    CrashMark_t marks[CRASHES_PER_REQUEST_MAX];
    guint mark_count;
    gint64 last_ms;
    gboolean is_local;
    gboolean is_stored;
} CrashEntry_t;

/**
 * enum CrashChange_t - what a fact has changed in the table, in rising order
 * @CRASH_UNCHANGED: nothing
 * @CRASH_CHANGED: an entry, which the peers may not know yet
 * @CRASH_QUARANTINED: an entry, and the quarantine of its request begins
 */
typedef enum {
    CRASH_UNCHANGED,
    CRASH_CHANGED,
    CRASH_QUARANTINED
} CrashChange_t;

/** struct CrashTable_t - opaque */
typedef struct CrashTable CrashTable_t;

/** CrashTable_create() - create an empty table */
CrashTable_t *CrashTable_create(void);

/** CrashTable_destroy() - free the table and its entries */
void CrashTable_destroy(CrashTable_t *this);

/** CrashTable_size() - number of entries */
guint CrashTable_size(const CrashTable_t *this);

/** CrashTable_find() - the entry of a request or NULL; valid until the table
 * changes */
CrashEntry_t *CrashTable_find(const CrashTable_t *this,
                              const RequestDigest_t *digest);

/** CrashTable_add() - add a crash to the entry of its request */
CrashChange_t CrashTable_add(CrashTable_t *this, const CrashFact_t *fact,
                             gint64 now_ms);

/** CrashTable_void() - void one crash of a request, also one that is not in
 * the table yet */
CrashChange_t CrashTable_void(CrashTable_t *this, const CrashFact_t *fact);

/**
 * CrashTable_voidAll() - void all crashes of a request
 *
 * Return: TRUE if any of them was valid
 */
gboolean CrashTable_voidAll(CrashTable_t *this, const RequestDigest_t *digest);

/**
 * CrashTable_retract() - void a crash in all entries, since the upstream is
 * alive
 *
 * Return: FALSE if the crash was retracted before
 */
gboolean CrashTable_retract(CrashTable_t *this, guint64 crash);

/** CrashTable_isRetracted() - whether a crash was retracted lately */
gboolean CrashTable_isRetracted(const CrashTable_t *this, guint64 crash);

/** CrashTable_expire() - remove old entries; to be called at intervals
 *
 * Return: RequestDigest_t of the removed entries that were stored; the caller
 * frees the array
 */
GArray *CrashTable_expire(CrashTable_t *this, gint64 now_ms);

/** CrashVisit_t - called for each entry; must not remove it */
typedef void (*CrashVisit_t)(CrashEntry_t *entry, void *data);

/** CrashTable_forEach() - visit all entries, in no particular order */
void CrashTable_forEach(const CrashTable_t *this, CrashVisit_t visit,
                        void *data);

/** CrashEntry_countValid() - number of crashes that are not voided */
guint CrashEntry_countValid(const CrashEntry_t *this);

/** CrashEntry_hasCrash() - whether a crash is listed, valid or voided */
gboolean CrashEntry_hasCrash(const CrashEntry_t *this, guint64 crash);

/** CrashEntry_quarantineMs() - remaining time in quarantine; 0 if the request
 * is not quarantined */
gint64 CrashEntry_quarantineMs(const CrashEntry_t *this, gint64 now_ms);

#endif
