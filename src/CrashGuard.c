#include "CrashGuard.h"

#include <string.h>

#include "Clock.h"
#include "CompletedRequests.h"
#include "CrashEvidence.h"
#include "CrashRecords.h"
#include "CrashUpdates.h"
#include "LocalCrashes.h"
#include "Log.h"

/* When a request may be retried that is refused only because of pending
 * crashes. */
#define PENDING_RETRY_MS 1000
/* Interval at which old entries are removed from the table. */
#define EXPIRE_INTERVAL_MS 60000

struct CrashGuard {
    CrashGuardSpec_t spec;
    CrashTable_t *table;
    CrashEvidence_t *evidence;
    CrashUpdates_t *updates;
    CrashRecords_t *records;
    CompletedRequests_t *completed;
    GHashTable *requests; /* set of active requests */
    LocalCrashes_t *local_crashes;
    PartGuard_t *parts;
    struct event *expire_timer;
    gboolean records_known; /* the stored records were read */
};

static void
recheck_all(CrashGuard_t *this)
{
    g_autoptr(GList) requests = g_hash_table_get_keys(this->requests);
    for (const GList *link = requests; link; link = link->next) {
        this->spec.recheck(link->data);
    }
}

static void
log_entry(const char *event, const CrashEntry_t *entry, const char *reason)
{
    char digest[REQUEST_DIGEST_TEXT + 1];
    RequestDigest_write(&entry->digest, digest);
    Log_begin(LOG_LEVEL_WARNING, event);
    Log_text("digest", digest);
    Log_text("reason", reason);
    Log_number("crashes", CrashEntry_countValid(entry));
    Log_number("age_ms", Clock_nowMs() - entry->last_ms);
    Log_number("own", entry->is_local);
    Log_number("hold_ms", CrashEntry_quarantineMs(entry, Clock_nowMs()));
    Log_end();
}

static void
store_record(CrashGuard_t *this, CrashEntry_t *entry)
{
    entry->is_stored = TRUE;
    CrashRecords_store(this->records, entry);
}

static void
begin_quarantine(CrashGuard_t *this, CrashEntry_t *entry, const char *reason)
{
    log_entry("request_held", entry, reason);
    Counters_add(this->spec.counters, "requests_held_total", NULL, 1);
    recheck_all(this);
}

static void
remove_record(CrashGuard_t *this, CrashEntry_t *entry)
{
    if (entry->is_stored) {
        entry->is_stored = FALSE;
        CrashRecords_remove(this->records, &entry->digest);
    }
}

static gboolean
clear_crashes(CrashGuard_t *this, const RequestDigest_t *digest,
              const char *reason)
{
    CrashEntry_t *entry = CrashTable_find(this->table, digest);
    if (!entry) {
        return FALSE;
    }
    gboolean was_quarantined =
        CrashEntry_quarantineMs(entry, Clock_nowMs()) > 0;
    if (!CrashTable_voidAll(this->table, digest)) {
        return FALSE;
    }
    CrashUpdates_broadcast(this->updates, digest);
    if (was_quarantined) {
        log_entry("request_let_go", entry, reason);
    }
    remove_record(this, entry);
    return TRUE;
}

/* A request that was completed here recently is most likely not the cause of
 * its crashes: other requests were running on the same upstreams. */
static gboolean
exempt_if_completed(CrashGuard_t *this, const CrashEntry_t *entry)
{
    return CrashEntry_countValid(entry) >= CRASHES_TO_QUARANTINE &&
           CompletedRequests_consume(this->completed, &entry->digest,
                                     Clock_nowMs()) &&
           clear_crashes(this, &entry->digest, "had_come_through");
}

/* A peer has voided the crashes. The completed answer known here is consumed
 * too, so that only one router exempts the request. */
static void
note_cleared(CrashGuard_t *this, CrashEntry_t *entry)
{
    CompletedRequests_consume(this->completed, &entry->digest, Clock_nowMs());
    remove_record(this, entry);
}

static void
on_changed(void *owner, const RequestDigest_t *digest, CrashChange_t change)
{
    CrashGuard_t *this = owner;
    CrashEntry_t *entry = CrashTable_find(this->table, digest);
    if (!entry || exempt_if_completed(this, entry)) {
        return;
    }
    if (change == CRASH_QUARANTINED) {
        begin_quarantine(this, entry, "peer");
    }
    if (CrashEntry_countValid(entry) == 0) {
        note_cleared(this, entry);
    }
    /* Each router that has detected one of the crashes stores the record, as
     * no single router may have detected all three. */
    gboolean is_quarantined =
        CrashEntry_quarantineMs(entry, Clock_nowMs()) > 0;
    if (is_quarantined && entry->is_local) {
        store_record(this, entry);
    }
}

static void
log_crash(const LostAttempt_t *attempt, const CrashEntry_t *entry,
          const char *proof)
{
    char digest[REQUEST_DIGEST_TEXT + 1];
    g_autoptr(GString) parts = PromptParts_describe(attempt->parts);
    RequestDigest_write(&attempt->digest, digest);
    Log_begin(LOG_LEVEL_INFO, "crash_counted");
    Log_text("request", attempt->request->str);
    Log_text("digest", digest);
    Log_text("upstream", attempt->upstream->name->str);
    Log_text("proof", proof);
    Log_text("parts", parts->str);
    Log_number("began_ms", attempt->began_ms > 0
                               ? attempt->at_ms - attempt->began_ms
                               : -1);
    Log_number("crashes", CrashEntry_countValid(entry));
    Log_number("us", (Clock_nowMs() - attempt->at_ms) * CLOCK_US_PER_MS);
    Log_end();
}

static void
on_crash(void *owner, const LostAttempt_t *attempt, const char *proof)
{
    CrashGuard_t *this = owner;
    guint64 crash =
        Upstream_hashIncarnation(attempt->upstream, attempt->incarnation);
    if (!CrashTable_isRetracted(this->table, crash)) {
        PartGuard_noteCrash(this->parts, attempt, crash);
    }
    CrashFact_t fact = {
        .digest = attempt->digest,
        .customer_hash = attempt->customer_hash,
        .crash = crash,
        .at_ms = attempt->at_ms,
    };
    CrashChange_t change = CrashTable_add(this->table, &fact, Clock_nowMs());
    CrashEntry_t *entry = CrashTable_find(this->table, &attempt->digest);
    if (!entry) {
        return;
    }
    entry->is_local = TRUE;
    LocalCrashes_add(this->local_crashes, fact.crash, fact.at_ms);
    log_crash(attempt, entry, proof);
    if (change == CRASH_UNCHANGED) {
        return;
    }
    if (exempt_if_completed(this, entry)) {
        return;
    }
    CrashUpdates_broadcast(this->updates, &attempt->digest);
    if (change == CRASH_QUARANTINED) {
        begin_quarantine(this, entry, proof);
    }
    if (CrashEntry_quarantineMs(entry, Clock_nowMs()) > 0) {
        store_record(this, entry);
    }
}

static void
on_record(void *owner, const Wt__CrashRecord *record)
{
    CrashGuard_t *this = owner;
    RequestDigest_t digest;
    if (record->part) {
        PartGuard_readRecord(this->parts, record);
        return;
    }
    gint64 age_ms = MAX(Clock_wallMs() - record->last_wall_ms, 0);
    CrashChange_t change =
        CrashUpdates_apply(this->table, record->fact, Clock_nowMs() - age_ms);
    if (record->fact->digest.len != sizeof(digest.bytes)) {
        return;
    }
    memcpy(digest.bytes, record->fact->digest.data, sizeof(digest.bytes));
    CrashEntry_t *entry = CrashTable_find(this->table, &digest);
    if (entry) {
        entry->is_stored = TRUE;
    }
    if (entry && change == CRASH_QUARANTINED) {
        begin_quarantine(this, entry, "recorded");
    }
}

static void
sync_all_peers(CrashGuard_t *this)
{
    const GPtrArray *members = Membership_members(this->spec.membership);
    for (guint i = 0; i < members->len; i++) {
        CrashGuard_syncPeer(this, g_ptr_array_index(members, i));
    }
}

/* Hundreds of routers that start at once would each read the store. A router
 * that has read the records, or has received them from a peer, sends them to
 * its peers, which then skip the read. */
static void
on_records_known(void *owner)
{
    CrashGuard_t *this = owner;
    if (!this->records_known) {
        this->records_known = TRUE;
        CrashRecords_skipRead(this->records);
        sync_all_peers(this);
    }
}

/* All routers remove the expired entries from their tables; the first in rank
 * removes the records from the store. */
static void
on_expire(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    CrashGuard_t *this = data;
    PartGuard_expire(this->parts);
    g_autoptr(GArray) stored = CrashTable_expire(this->table, Clock_nowMs());
    for (guint i = 0; i < stored->len; i++) {
        const RequestDigest_t *digest =
            &g_array_index(stored, RequestDigest_t, i);
        char key[REQUEST_DIGEST_TEXT + 1];
        RequestDigest_write(digest, key);
        if (Membership_localRank(this->spec.membership, key, NULL) == 0) {
            CrashRecords_remove(this->records, digest);
        }
    }
    Clock_arm(this->expire_timer, EXPIRE_INTERVAL_MS);
}

/* Restores a record that the store may have lost; the first router in rank
 * does so for all. */
static void
rewrite_record(CrashEntry_t *entry, void *data)
{
    CrashGuard_t *this = data;
    char key[REQUEST_DIGEST_TEXT + 1];
    RequestDigest_write(&entry->digest, key);
    if (Membership_localRank(this->spec.membership, key, NULL) != 0) {
        return;
    }
    if (CrashEntry_quarantineMs(entry, Clock_nowMs()) > 0) {
        store_record(this, entry);
    }
    else if (entry->mark_count >= CRASHES_TO_QUARANTINE) {
        CrashRecords_remove(this->records, &entry->digest);
    }
}

/* Before membership has converged, each router would rank itself first. */
static void
on_store_restored(void *owner)
{
    CrashGuard_t *this = owner;
    if (Membership_isConverged(this->spec.membership)) {
        CrashTable_forEach(this->table, rewrite_record, this);
        PartGuard_rewriteRecords(this->parts);
    }
}

static void
on_part_held(void *owner)
{
    recheck_all(owner);
}

static void
create_parts(CrashGuard_t *this, struct event_base *base)
{
    PartGuardSpec_t spec = {
        .membership = this->spec.membership,
        .counters = this->spec.counters,
        .records = this->records,
        .crashes = this->table,
        .evidence = this->evidence,
        .held = on_part_held,
        .owner = this,
    };
    this->parts = PartGuard_create(base, &spec);
}

static const CrashEvidenceEvents_t evidence_events = {.ended = on_crash};
static const CrashUpdatesEvents_t updates_events = {.changed = on_changed};

CrashGuard_t *
CrashGuard_create(struct event_base *base, const CrashGuardSpec_t *spec)
{
    CrashGuard_t *this = g_new0(CrashGuard_t, 1);
    CrashRecordsSpec_t records = {
        .source = spec->source,
        .topic = spec->topic,
        .counters = spec->counters,
        .read = on_record,
        .read_all = on_records_known,
        .owner = this,
    };
    this->spec = *spec;
    this->table = CrashTable_create();
    this->evidence = CrashEvidence_create(base, spec->tests_upstreams,
                                          &evidence_events, this);
    CrashEvidence_setPath(this->evidence, spec->path);
    this->updates = CrashUpdates_create(base, spec->membership, this->table,
                                        &updates_events, this);
    this->records = CrashRecords_create(base, &records);
    this->completed = CompletedRequests_create(COMPLETED_REQUESTS_MAX,
                                               COMPLETED_REQUESTS_RETAIN_MS);
    create_parts(this, base);
    this->requests = g_hash_table_new(g_direct_hash, g_direct_equal);
    this->local_crashes = LocalCrashes_create();
    this->expire_timer = Clock_timer(base, on_expire, this);
    StoreEpoch_addListener(spec->epoch, on_store_restored, this);
    Clock_arm(this->expire_timer, EXPIRE_INTERVAL_MS);
    return this;
}

void
CrashGuard_destroy(CrashGuard_t *this)
{
    StoreEpoch_removeListener(this->spec.epoch, this);
    event_free(this->expire_timer);
    PartGuard_destroy(this->parts);
    LocalCrashes_destroy(this->local_crashes);
    g_hash_table_destroy(this->requests);
    CompletedRequests_destroy(this->completed);
    CrashRecords_destroy(this->records);
    CrashUpdates_destroy(this->updates);
    CrashEvidence_destroy(this->evidence);
    CrashTable_destroy(this->table);
    g_free(this);
}

void
CrashGuard_addRequest(CrashGuard_t *this, void *request)
{
    g_hash_table_add(this->requests, request);
}

void
CrashGuard_removeRequest(CrashGuard_t *this, void *request)
{
    g_hash_table_remove(this->requests, request);
}

static gboolean
has_no_crashes(const CrashGuard_t *this)
{
    return CrashTable_size(this->table) == 0 &&
           PartGuard_isEmpty(this->parts) &&
           CrashEvidence_isEmpty(this->evidence);
}

typedef struct {
    const RequestDigest_t *digest;
    const CrashEntry_t *entry;
} PendingFilter_t;

/* A crash that a peer has reported already must not count as pending too. */
static gboolean
is_pending_of_request(const LostAttempt_t *attempt, const void *data)
{
    const PendingFilter_t *filter = data;
    return RequestDigest_equal(&attempt->digest, filter->digest) &&
           !(filter->entry &&
             CrashEntry_hasCrash(
                 filter->entry, Upstream_hashIncarnation(
                                    attempt->upstream, attempt->incarnation)));
}

/* A request that was lost with others which have a quarantined part is not the
 * cause of these crashes. */
static guint
count_unexplained(const CrashGuard_t *this, const CrashEntry_t *entry)
{
    guint count = 0;
    for (guint i = 0; i < entry->mark_count; i++) {
        const CrashMark_t *mark = &entry->marks[i];
        count +=
            !mark->voided && !PartGuard_isExplained(this->parts, mark->crash)
                ? 1
                : 0;
    }
    return count;
}

static gboolean
is_request_quarantined(const CrashGuard_t *this, const RequestDigest_t *digest,
                       CrashQuarantine_t *out)
{
    gint64 now_ms = Clock_nowMs();
    const CrashEntry_t *entry = CrashTable_find(this->table, digest);
    PendingFilter_t filter = {digest, entry};
    guint counted = entry ? count_unexplained(this, entry) : 0;
    gint64 quarantine_ms = counted >= CRASHES_TO_QUARANTINE
                               ? CrashEntry_quarantineMs(entry, now_ms)
                               : 0;
    out->pending = CrashEvidence_countPending(this->evidence,
                                              is_pending_of_request, &filter);
    out->crashes = counted + out->pending;
    out->age_ms = entry ? now_ms - entry->last_ms : 0;
    out->is_local = out->pending > 0 || (entry && entry->is_local);
    out->wait_ms = quarantine_ms > 0 ? quarantine_ms : PENDING_RETRY_MS;
    return quarantine_ms > 0 ||
           (out->pending > 0 && out->crashes >= CRASHES_TO_QUARANTINE);
}

gboolean
CrashGuard_isQuarantined(CrashGuard_t *this, RequestHashes_t *hashes,
                         CrashVerdict_t *out)
{
    if (has_no_crashes(this)) {
        return FALSE;
    }
    GBytes *key = this->spec.key;
    out->is_part = PartGuard_isQuarantined(
        this->parts, RequestHashes_parts(hashes, key),
        RequestHashes_customerHash(hashes, key), &out->part);
    return out->is_part ||
           is_request_quarantined(this, RequestHashes_digest(hashes, key),
                                  &out->request);
}

void
CrashGuard_logQuarantined(const CrashGuard_t *this, RequestHashes_t *hashes,
                          const CrashVerdict_t *verdict, const char *request)
{
    CrashVerdict_log(verdict, RequestHashes_digest(hashes, this->spec.key),
                     request);
}

void
CrashGuard_noteLostAttempt(CrashGuard_t *this, RequestHashes_t *hashes,
                           const AttemptLoss_t *loss)
{
    g_autoptr(GString) id = g_string_new(loss->request);
    LostAttempt_t attempt = {
        .digest = *RequestHashes_digest(hashes, this->spec.key),
        .customer_hash = RequestHashes_customerHash(hashes, this->spec.key),
        .parts = RequestHashes_parts(hashes, this->spec.key),
        .sent_ms = loss->sent_ms,
        .began_ms = loss->began_ms,
        .request = id,
        .upstream = loss->upstream,
        .incarnation = loss->upstream->incarnation,
        .connection_lost = loss->connection_lost,
        .at_ms = Clock_nowMs(),
    };
    if (loss->began_ms > 0 &&
        attempt.at_ms - loss->began_ms >= PART_ANSWER_BEGUN_MS) {
        PartGuard_noteAnswer(this->parts, attempt.parts, loss->began_ms);
    }
    CrashEvidence_add(this->evidence, &attempt);
}

void
CrashGuard_noteBegun(CrashGuard_t *this, RequestHashes_t *hashes,
                     gint64 began_ms)
{
    PartGuard_noteAnswer(
        this->parts, RequestHashes_parts(hashes, this->spec.key), began_ms);
}

void
CrashGuard_noteConnectFailed(CrashGuard_t *this, const Upstream_t *upstream)
{
    CrashEvidence_noteConnectFailed(this->evidence, upstream);
}

/* Retracts the recorded crash of an upstream that has answered, with the same
 * incarnation, a request that was sent to it after the crash. */
static void
retract_if_alive(CrashGuard_t *this, const Upstream_t *upstream,
                 gint64 sent_ms)
{
    guint64 crash = Upstream_hashIncarnation(upstream, upstream->incarnation);
    if (!LocalCrashes_retract(this->local_crashes, crash, sent_ms)) {
        return;
    }
    if (CrashTable_retract(this->table, crash)) {
        PartGuard_retract(this->parts, crash);
        CrashUpdates_broadcastAlive(this->updates, crash);
        Log_begin(LOG_LEVEL_INFO, "crash_retracted");
        Log_text("upstream", upstream->name->str);
        Log_end();
    }
}

void
CrashGuard_noteComplete(CrashGuard_t *this, RequestHashes_t *hashes,
                        const Upstream_t *upstream, gint64 sent_ms,
                        gint64 began_ms)
{
    const RequestDigest_t *digest =
        RequestHashes_digest(hashes, this->spec.key);
    PartGuard_noteAnswer(this->parts,
                         RequestHashes_parts(hashes, this->spec.key),
                         began_ms > 0 ? began_ms : sent_ms);
    CompletedRequests_note(this->completed, digest, Clock_nowMs());
    if (has_no_crashes(this)) {
        return;
    }
    CrashEvidence_noteAlive(this->evidence, upstream, sent_ms);
    retract_if_alive(this, upstream, sent_ms);
    CrashEvidence_removeRequest(this->evidence, digest);
    clear_crashes(this, digest, "came_through");
}

void
CrashGuard_receive(CrashGuard_t *this, const Wt__CrashNews *message,
                   gint64 transit_ms)
{
    CrashUpdates_receive(this->updates, message, transit_ms);
    PartGuard_receive(this->parts, message, transit_ms);
    if (message->complete) {
        on_records_known(this);
    }
}

void
CrashGuard_syncPeer(CrashGuard_t *this, Member_t *member)
{
    PartGuard_syncPeer(this->parts, member);
    CrashUpdates_syncPeer(this->updates, member, this->records_known);
}

gboolean
CrashGuard_release(CrashGuard_t *this, const RequestDigest_t *digest)
{
    return PartGuard_release(this->parts, digest) ||
           clear_crashes(this, digest, "operator");
}

void
CrashGuard_forEach(const CrashGuard_t *this, CrashVisit_t visit, void *data)
{
    CrashTable_forEach(this->table, visit, data);
}

void
CrashGuard_forEachPart(const CrashGuard_t *this, PartVisit_t visit, void *data)
{
    PartGuard_forEach(this->parts, visit, data);
}
