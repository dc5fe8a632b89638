#include "PartGuard.h"

#include <string.h>
#include <xxhash.h>

#include "Clock.h"
#include "CompletedRequests.h"
#include "Log.h"
#include "PartUpdates.h"

/* When a request may be retried that is refused only because of pending
 * crashes. */
#define PENDING_RETRY_MS 1000
/* Parts that were in answers that went well; 32,768 of 100 B take 3.3 MB. */
#define KNOWN_PARTS_MAX 32768
/* How long such a part is remembered. */
#define KNOWN_PARTS_RETAIN_MS 600000

struct PartGuard {
    PartGuardSpec_t spec;
    PartTable_t *table;
    PartUpdates_t *updates;
    CompletedRequests_t *known;
};

static void
log_entry(const char *event, const PartEntry_t *entry)
{
    gint64 now_ms = Clock_nowMs();
    char digest[REQUEST_DIGEST_TEXT + 1];
    g_autofree char *id =
        g_strdup_printf("%" G_GINT64_MODIFIER "x", entry->part.id);
    RequestDigest_write(&entry->part.digest, digest);
    Log_begin(LOG_LEVEL_WARNING, event);
    Log_text("digest", digest);
    Log_text("part", entry->part.id ? id : "unknown");
    Log_number("depth", entry->part.depth);
    Log_number("crashes", PartEntry_countValid(entry));
    Log_number("customers", PartEntry_countCustomers(entry));
    Log_number("known", entry->is_known);
    Log_number("own", entry->is_local);
    Log_number("age_ms", now_ms - entry->last_ms);
    Log_number("hold_ms", PartEntry_quarantineMs(entry, now_ms));
    Log_end();
}

static void
store_record(PartGuard_t *this, PartEntry_t *entry)
{
    entry->is_stored = TRUE;
    CrashRecords_storePart(this->spec.records, entry);
}

static void
remove_record(PartGuard_t *this, PartEntry_t *entry)
{
    if (entry->is_stored) {
        entry->is_stored = FALSE;
        CrashRecords_remove(this->spec.records, &entry->part.digest);
    }
}

static void
on_held_changed(PartEntry_t *entry, void *data)
{
    PartGuard_t *this = data;
    log_entry(entry->is_held ? "part_held" : "part_let_go", entry);
    if (!entry->is_held) {
        remove_record(this, entry);
        return;
    }
    Counters_add(this->spec.counters, "parts_held_total", NULL, 1);
    if (entry->is_local) {
        store_record(this, entry);
    }
    this->spec.held(this->spec.owner);
}

static void
evaluate(PartGuard_t *this)
{
    PartTable_evaluate(this->table, Clock_nowMs(), on_held_changed, this);
}

static gboolean
is_known(const PartGuard_t *this, const RequestDigest_t *digest)
{
    return CompletedRequests_has(this->known, digest, Clock_nowMs());
}

/* Peers may not know the part from answers that went well, as this router
 * does. */
static void
on_changed(void *owner, const RequestDigest_t *digest)
{
    PartGuard_t *this = owner;
    PartEntry_t *entry = PartTable_find(this->table, digest);
    if (entry && !entry->is_known && is_known(this, digest)) {
        entry->is_known = TRUE;
        PartUpdates_broadcast(this->updates, entry);
    }
}

static const PartUpdatesEvents_t updates_events = {.changed = on_changed};

PartGuard_t *
PartGuard_create(struct event_base *base, const PartGuardSpec_t *spec)
{
    PartGuard_t *this = g_new0(PartGuard_t, 1);
    this->spec = *spec;
    this->table = PartTable_create();
    this->updates = PartUpdates_create(base, spec->membership, this->table,
                                       &updates_events, this);
    this->known =
        CompletedRequests_create(KNOWN_PARTS_MAX, KNOWN_PARTS_RETAIN_MS);
    return this;
}

void
PartGuard_destroy(PartGuard_t *this)
{
    CompletedRequests_destroy(this->known);
    PartUpdates_destroy(this->updates);
    PartTable_destroy(this->table);
    g_free(this);
}

gboolean
PartGuard_isEmpty(const PartGuard_t *this)
{
    return PartTable_size(this->table) == 0;
}

static gboolean
is_suspect(const LostAttempt_t *attempt)
{
    return attempt->began_ms == 0 ||
           attempt->at_ms - attempt->began_ms < PART_ANSWER_BEGUN_MS;
}

static guint64
hash_crash(const LostAttempt_t *attempt)
{
    return Upstream_hashIncarnation(attempt->upstream, attempt->incarnation);
}

typedef struct {
    const RequestDigest_t *digest;
    const PartEntry_t *entry;
    GHashTable *requests; /* hashes of the lost requests with the part */
} PendingFilter_t;

static void
add_request(GHashTable *requests, guint request)
{
    g_hash_table_add(requests, GUINT_TO_POINTER(request));
}

static gboolean
is_pending_with_part(const LostAttempt_t *attempt, const void *data)
{
    const PendingFilter_t *filter = data;
    if (!is_suspect(attempt) ||
        (filter->entry &&
         PartEntry_hasCrash(filter->entry, hash_crash(attempt)))) {
        return FALSE;
    }
    for (guint i = 0; i < attempt->parts->len; i++) {
        const PartKey_t *part = &g_array_index(attempt->parts, PartKey_t, i);
        if (RequestDigest_equal(&part->digest, filter->digest)) {
            add_request(filter->requests,
                        RequestDigest_hash(&attempt->digest));
            return TRUE;
        }
    }
    return FALSE;
}

static void
add_marked_requests(GHashTable *requests, const PartEntry_t *entry)
{
    for (guint i = 0; entry && i < entry->mark_count; i++) {
        if (!entry->marks[i].voided) {
            add_request(requests, entry->marks[i].request);
        }
    }
}

/* Losses that may not be crashes count against unknown parts only, once one is
 * known to be a crash, and if at least two requests had the part. */
static guint
count_pending(const PartGuard_t *this, const PartKey_t *part,
              const PartEntry_t *entry)
{
    if (!entry || PartEntry_countValid(entry) == 0 || entry->is_known ||
        is_known(this, &part->digest)) {
        return 0;
    }
    g_autoptr(GHashTable) requests =
        g_hash_table_new(g_direct_hash, g_direct_equal);
    PendingFilter_t filter = {&part->digest, entry, requests};
    guint pending = CrashEvidence_countPending(this->spec.evidence,
                                               is_pending_with_part, &filter);
    add_marked_requests(requests, entry);
    return g_hash_table_size(requests) > 1 ? pending : 0;
}

static gboolean
is_part_quarantined(const PartGuard_t *this, const PartKey_t *part,
                    guint64 customer_hash, PartQuarantine_t *out)
{
    gint64 now_ms = Clock_nowMs();
    const PartEntry_t *entry = PartTable_find(this->table, &part->digest);
    gboolean concerns = entry && PartEntry_concerns(entry, customer_hash);
    gint64 held_ms = concerns ? PartEntry_quarantineMs(entry, now_ms) : 0;
    guint pending = count_pending(this, part, entry);
    *out = (PartQuarantine_t){
        .part = *part,
        .crashes = (entry ? PartEntry_countValid(entry) : 0) + pending,
        .pending = pending,
        .age_ms = entry ? now_ms - entry->last_ms : 0,
        .is_local = pending > 0 || (entry && entry->is_local),
        .wait_ms = held_ms > 0 ? held_ms : PENDING_RETRY_MS,
    };
    return held_ms > 0 ||
           (pending > 0 && out->crashes >= PART_CRASHES_UNKNOWN);
}

gboolean
PartGuard_isQuarantined(const PartGuard_t *this, const GArray *parts,
                        guint64 customer_hash, PartQuarantine_t *out)
{
    for (guint i = 0; i < parts->len; i++) {
        const PartKey_t *part = &g_array_index(parts, PartKey_t, i);
        if (is_part_quarantined(this, part, customer_hash, out)) {
            return TRUE;
        }
    }
    return FALSE;
}

static void
add_crash(PartGuard_t *this, const LostAttempt_t *attempt, guint64 crash,
          const PartKey_t *part)
{
    const Address_t *address = &attempt->upstream->address;
    PartFact_t fact = {
        .part = *part,
        .mark =
            {
                .crash = crash,
                .customer_hash = attempt->customer_hash,
                .request = RequestDigest_hash(&attempt->digest),
                .place = (guint32)XXH3_64bits_withSeed(
                    address->host, strlen(address->host), address->port),
                .at_ms = attempt->at_ms,
                .ran_ms = (guint32)MAX(attempt->at_ms - attempt->sent_ms, 0),
            },
        .is_known = is_known(this, &part->digest),
    };
    if (!PartTable_add(this->table, &fact)) {
        return;
    }
    PartEntry_t *entry = PartTable_find(this->table, &part->digest);
    entry->is_local = TRUE;
    PartUpdates_broadcast(this->updates, entry);
    if (entry->is_held) {
        store_record(this, entry);
    }
}

void
PartGuard_noteCrash(PartGuard_t *this, const LostAttempt_t *attempt,
                    guint64 crash)
{
    if (!is_suspect(attempt)) {
        return;
    }
    for (guint i = 0; i < attempt->parts->len; i++) {
        add_crash(this, attempt, crash,
                  &g_array_index(attempt->parts, PartKey_t, i));
    }
    evaluate(this);
}

void
PartGuard_noteAnswer(PartGuard_t *this, const GArray *parts, gint64 began_ms)
{
    gboolean changed = FALSE;
    for (guint i = 0; i < parts->len; i++) {
        const RequestDigest_t *digest =
            &g_array_index(parts, PartKey_t, i).digest;
        CompletedRequests_note(this->known, digest, Clock_nowMs());
        if (PartTable_noteAnswer(this->table, digest, began_ms)) {
            PartUpdates_broadcast(this->updates,
                                  PartTable_find(this->table, digest));
            changed = TRUE;
        }
    }
    if (changed) {
        evaluate(this);
    }
}

gboolean
PartGuard_isExplained(const PartGuard_t *this, guint64 crash)
{
    return PartTable_isExplained(this->table, crash);
}

void
PartGuard_retract(PartGuard_t *this, guint64 crash)
{
    PartTable_retract(this->table, crash);
    evaluate(this);
}

static void
retract_entry(PartEntry_t *entry, void *data)
{
    const PartGuard_t *this = data;
    for (guint i = 0; i < entry->mark_count; i++) {
        PartMark_t *mark = &entry->marks[i];
        mark->voided = mark->voided ||
                       CrashTable_isRetracted(this->spec.crashes, mark->crash);
    }
}

void
PartGuard_receive(PartGuard_t *this, const Wt__CrashNews *message,
                  gint64 transit_ms)
{
    if (message->n_parts == 0 && message->n_alive == 0) {
        return;
    }
    PartUpdates_receive(this->updates, message, transit_ms);
    PartTable_forEach(this->table, retract_entry, this);
    evaluate(this);
}

void
PartGuard_readRecord(PartGuard_t *this, const Wt__CrashRecord *record)
{
    RequestDigest_t digest;
    gint64 elapsed_ms = MAX(Clock_wallMs() - record->part_wall_ms, 0);
    if (!PartUpdates_apply(this->table, record->part, elapsed_ms, &digest)) {
        return;
    }
    PartEntry_t *entry = PartTable_find(this->table, &digest);
    if (entry) {
        entry->is_stored = TRUE;
    }
    evaluate(this);
}

void
PartGuard_syncPeer(const PartGuard_t *this, Member_t *member)
{
    PartUpdates_syncPeer(this->updates, member);
}

gboolean
PartGuard_release(PartGuard_t *this, const RequestDigest_t *digest)
{
    if (!PartTable_voidAll(this->table, digest)) {
        return FALSE;
    }
    PartUpdates_broadcast(this->updates, PartTable_find(this->table, digest));
    evaluate(this);
    return TRUE;
}

/* The first router in rank writes for all. */
static gboolean
is_writer(const PartGuard_t *this, const PartEntry_t *entry)
{
    char key[REQUEST_DIGEST_TEXT + 1];
    RequestDigest_write(&entry->part.digest, key);
    return Membership_localRank(this->spec.membership, key, NULL) == 0;
}

static void
rewrite_record(PartEntry_t *entry, void *data)
{
    PartGuard_t *this = data;
    if (!is_writer(this, entry)) {
        return;
    }
    if (entry->is_held) {
        store_record(this, entry);
    }
    else if (entry->was_held) {
        CrashRecords_remove(this->spec.records, &entry->part.digest);
    }
}

void
PartGuard_rewriteRecords(PartGuard_t *this)
{
    PartTable_forEach(this->table, rewrite_record, this);
}

static void
on_expired(PartEntry_t *entry, void *data)
{
    PartGuard_t *this = data;
    if (entry->is_stored && is_writer(this, entry)) {
        CrashRecords_remove(this->spec.records, &entry->part.digest);
    }
}

void
PartGuard_expire(PartGuard_t *this)
{
    evaluate(this);
    PartTable_expire(this->table, Clock_nowMs(), on_expired, this);
}

void
PartGuard_forEach(const PartGuard_t *this, PartVisit_t visit, void *data)
{
    PartTable_forEach(this->table, visit, data);
}
