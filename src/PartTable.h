#ifndef HEADER_PartTable
#define HEADER_PartTable
/**
 * DOC: PartTable
 *
 * Records which parts of prompts (PromptParts.h) were in requests whose
 * answers had not begun, or just had, when their upstreams crashed, and
 * decides which parts are quarantined. The table has no side effects.
 *
 * Load pattern: one part crashes each upstream that begins to answer it,
 * whatever else the request holds. No two of these requests are alike, they
 * come at any router, and sound requests share their customer and their other
 * parts. Each crash names all parts of all suspect requests of that upstream.
 * What is at all of the crashes and at no answer that went well is the cause:
 *
 * - an answer that began after a crash and went on voids that crash for its
 *   parts;
 * - of parts with the same crashes the deepest is taken, as the ones before it
 *   are those that other requests share, and parts that are in no answer that
 *   went well before all others;
 * - a crash that a quarantined part explains counts for no other part;
 * - at least two requests must have had the part: one that comes again and
 * again is itself the cause (CrashTable.h);
 * - a part that was in answers that went well needs more crashes, which must
 *   not have happened at the same moment.
 *
 * Facts of several routers can be merged in any order: a recorded crash stays
 * recorded, and a voided one stays voided.
 */
#include "CrashTable.h"
#include "PromptParts.h"

/** Valid crashes that quarantine a part that is in no answer that went well */
#define PART_CRASHES_UNKNOWN 3
/** The same for a part that is in such answers, or if all were at one address:
 * an upstream that is ill crashes by itself */
#define PART_CRASHES_KNOWN 5
/** Crashes of a part that is in such answers, each of a request that was sent
 * after the crash before: upstreams that are lost together are no evidence */
#define PART_CRASHES_IN_TURN 3
/** How much later a request must have been sent to count as sent after a
 * crash, in ms: upstreams that are lost together are not lost in the same
 * instant */
#define PART_CRASH_GAP_MS 100
/** Crashes stored per part */
#define PART_MARKS_MAX 12
/** Entries per customer, and in all; 8,192 entries of 560 B take 4.6 MB */
#define PART_ENTRIES_PER_CUSTOMER_MAX 1024
#define PART_ENTRIES_MAX 8192

/**
 * struct PartMark_t - one crash of a part
 * @crash: identity of the upstream's incarnation
 * @customer_hash: of the customer whose request had the part
 * @request: hash of that request
 * @place: hash of the upstream's address
 * @at_ms: when the request was lost, monotonic
 * @ran_ms: how long before that it was sent
 * @voided: the crash does not count
 */
typedef struct {
    guint64 crash;
    guint64 customer_hash;
    guint32 request;
    guint32 place;
    gint64 at_ms;
    guint32 ran_ms;
    gboolean voided;
} PartMark_t;

/**
 * struct PartFact_t - an upstream crashed under a request with a part
 * @part: the part; its id is 0 if it is not known
 * @mark: the crash
 * @is_known: the part was in answers that went well
 */
typedef struct {
    PartKey_t part;
    PartMark_t mark;
    gboolean is_known;
} PartFact_t;

/**
 * struct PartEntry_t - the crashes of one part
 * @part: the part
 * @owner_hash: customer of the first crash, whose share of the table it uses
 * @marks: crashes, in the order in which they were added
 * @mark_count: used elements of @marks
 * @last_ms: time of the latest crash, monotonic
 * @is_known: the part was in answers that went well, at any router
 * @is_local: this router has recorded at least one of the crashes itself
 * @is_told: peers have been told of the entry
 * @is_stored: the entry is in the platform's store
 * @is_held: the part is quarantined
 * @was_held: it has been
 */
typedef struct {
    PartKey_t part;
    guint64 owner_hash;
    PartMark_t marks[PART_MARKS_MAX];
    guint mark_count;
    gint64 last_ms;
    gboolean is_known;
    gboolean is_local;
    gboolean is_told;
    gboolean is_stored;
    gboolean is_held;
    gboolean was_held;
} PartEntry_t;

/** struct PartTable_t - opaque */
typedef struct PartTable PartTable_t;

/** PartTable_create() - create an empty table */
PartTable_t *PartTable_create(void);

/** PartTable_destroy() - free the table and its entries */
void PartTable_destroy(PartTable_t *this);

/** PartTable_size() - number of entries */
guint PartTable_size(const PartTable_t *this);

/** PartTable_find() - the entry of a part or NULL; valid until the table
 * changes */
PartEntry_t *PartTable_find(const PartTable_t *this,
                            const RequestDigest_t *digest);

/** PartTable_add() - add a crash, valid or voided
 *
 * Return: whether that has changed the entry
 */
gboolean PartTable_add(PartTable_t *this, const PartFact_t *fact);

/** PartTable_noteAnswer() - an answer with a part began and went well
 *
 * Return: whether that has changed the entry, if there is one
 */
gboolean PartTable_noteAnswer(PartTable_t *this, const RequestDigest_t *digest,
                              gint64 began_ms);

/** PartTable_voidAll() - void all crashes of a part
 *
 * Return: whether any of them was valid
 */
gboolean PartTable_voidAll(PartTable_t *this, const RequestDigest_t *digest);

/** PartTable_retract() - void a crash in all entries, as the upstream is alive
 */
void PartTable_retract(PartTable_t *this, guint64 crash);

/** PartVisit_t - called for an entry; must not remove it */
typedef void (*PartVisit_t)(PartEntry_t *entry, void *data);

/** PartTable_evaluate() - decide which parts are quarantined
 * @changed: called for each part whose quarantine begins or ends */
void PartTable_evaluate(PartTable_t *this, gint64 now_ms, PartVisit_t changed,
                        void *data);

/** PartTable_isExplained() - whether a quarantined part explains a crash */
gboolean PartTable_isExplained(const PartTable_t *this, guint64 crash);

/** PartTable_expire() - remove old entries; to be called at intervals
 * @removed: called for each before */
void PartTable_expire(PartTable_t *this, gint64 now_ms, PartVisit_t removed,
                      void *data);

/** PartTable_forEach() - visit all entries, in no particular order */
void PartTable_forEach(const PartTable_t *this, PartVisit_t visit, void *data);

/** PartEntry_countValid() - number of crashes that are not voided */
guint PartEntry_countValid(const PartEntry_t *this);

/** PartEntry_hasCrash() - whether a crash is listed, valid or voided */
gboolean PartEntry_hasCrash(const PartEntry_t *this, guint64 crash);

/** PartEntry_countCustomers() - number of customers with valid crashes */
guint PartEntry_countCustomers(const PartEntry_t *this);

/**
 * PartEntry_concerns() - whether the quarantine of a part concerns a customer
 *
 * A part that has crashed upstreams for one customer only may be sound in the
 * requests of another, which may not know of it; one try of that customer
 * tells.
 */
gboolean PartEntry_concerns(const PartEntry_t *this, guint64 customer_hash);

/** PartEntry_quarantineMs() - remaining time in quarantine; 0 for none */
gint64 PartEntry_quarantineMs(const PartEntry_t *this, gint64 now_ms);

#endif
