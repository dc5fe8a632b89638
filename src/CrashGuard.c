#include "CrashGuard.h"

#include <string.h>

#include <xxhash.h>

#include "Clock.h"
#include "CountedCrashes.h"
#include "CrashEvidence.h"
#include "CrashNews.h"
#include "CrashRecords.h"
#include "Log.h"
#include "WholeAnswers.h"

/* When to come back, for a request of which it is not known yet whether its
 * last attempt ended an upstream. */
#define OPEN_WAIT_MS 1000
/* How often old entries are looked for. */
#define FORGET_EVERY_MS 60000
struct CrashGuard {
    CrashGuardSpec_t spec;
    CrashTable_t *table;
    CrashEvidence_t *evidence;
    CrashNews_t *news;
    CrashRecords_t *records;
    WholeAnswers_t *whole;
    GHashTable *open; /* set of requests */
    CountedCrashes_t *counted;
    struct event *forget;
    gboolean is_complete; /* what is kept on the store is known */
};

static guint64
crash_of(const Upstream_t *upstream, guint64 incarnation)
{
    return XXH3_64bits_withSeed(upstream->name->str, upstream->name->len,
                                incarnation);
}

static void
recheck_all(CrashGuard_t *this)
{
    g_autoptr(GList) requests = g_hash_table_get_keys(this->open);
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
    Log_number("crashes", CrashEntry_counted(entry));
    Log_number("age_ms", Clock_nowMs() - entry->last_ms);
    Log_number("own", entry->is_own);
    Log_number("hold_ms", CrashEntry_heldMs(entry, Clock_nowMs()));
    Log_end();
}

static void
keep(CrashGuard_t *this, CrashEntry_t *entry)
{
    entry->is_recorded = TRUE;
    CrashRecords_keep(this->records, entry);
}

static void
begin_hold(CrashGuard_t *this, CrashEntry_t *entry, const char *reason)
{
    log_entry("request_held", entry, reason);
    Counters_add(this->spec.counters, "requests_held_total", NULL, 1);
    recheck_all(this);
}

static void
drop_record(CrashGuard_t *this, CrashEntry_t *entry)
{
    if (entry->is_recorded) {
        entry->is_recorded = FALSE;
        CrashRecords_drop(this->records, &entry->digest);
    }
}

static gboolean
clear(CrashGuard_t *this, const RequestDigest_t *digest, const char *reason)
{
    CrashEntry_t *entry = CrashTable_find(this->table, digest);
    if (!entry) {
        return FALSE;
    }
    gboolean was_held = CrashEntry_heldMs(entry, Clock_nowMs()) > 0;
    if (!CrashTable_clear(this->table, digest)) {
        return FALSE;
    }
    CrashNews_tell(this->news, digest);
    if (was_held) {
        log_entry("request_let_go", entry, reason);
    }
    drop_record(this, entry);
    return TRUE;
}

/* It has come through here before: that upstreams ended as it ran there is
 * most likely the doing of others. */
static gboolean
is_excused(CrashGuard_t *this, const CrashEntry_t *entry)
{
    return CrashEntry_counted(entry) >= CRASHES_HELD &&
           WholeAnswers_take(this->whole, &entry->digest, Clock_nowMs()) &&
           clear(this, &entry->digest, "had_come_through");
}

/* A peer has let it go: it is excused by one router only. */
static void
note_cleared(CrashGuard_t *this, CrashEntry_t *entry)
{
    WholeAnswers_take(this->whole, &entry->digest, Clock_nowMs());
    drop_record(this, entry);
}

static void
on_changed(void *owner, const RequestDigest_t *digest, CrashChange_t change)
{
    CrashGuard_t *this = owner;
    CrashEntry_t *entry = CrashTable_find(this->table, digest);
    if (!entry || is_excused(this, entry)) {
        return;
    }
    if (change == CRASH_HOLDS) {
        begin_hold(this, entry, "peer");
    }
    if (CrashEntry_counted(entry) == 0) {
        note_cleared(this, entry);
    }
    /* Two routers may each have counted a part of the three. */
    gboolean is_held = CrashEntry_heldMs(entry, Clock_nowMs()) > 0;
    if (is_held && entry->is_own) {
        keep(this, entry);
    }
}

static void
log_counted(const CrashLoss_t *loss, const CrashEntry_t *entry,
            const char *proof)
{
    char digest[REQUEST_DIGEST_TEXT + 1];
    RequestDigest_write(&loss->digest, digest);
    Log_begin(LOG_LEVEL_INFO, "crash_counted");
    Log_text("request", loss->request->str);
    Log_text("digest", digest);
    Log_text("upstream", loss->upstream->name->str);
    Log_text("proof", proof);
    Log_number("crashes", CrashEntry_counted(entry));
    Log_number("us", (Clock_nowMs() - loss->at_ms) * CLOCK_US_PER_MS);
    Log_end();
}

static void
on_ended(void *owner, const CrashLoss_t *loss, const char *proof)
{
    CrashGuard_t *this = owner;
    CrashFact_t fact = {
        .digest = loss->digest,
        .owner = loss->owner,
        .crash = crash_of(loss->upstream, loss->incarnation),
        .at_ms = loss->at_ms,
    };
    CrashChange_t change = CrashTable_add(this->table, &fact, Clock_nowMs());
    CrashEntry_t *entry = CrashTable_find(this->table, &loss->digest);
    if (!entry) {
        return;
    }
    entry->is_own = TRUE;
    CountedCrashes_add(this->counted, fact.crash, fact.at_ms);
    log_counted(loss, entry, proof);
    if (change == CRASH_KNOWN) {
        return;
    }
    if (is_excused(this, entry)) {
        return;
    }
    CrashNews_tell(this->news, &loss->digest);
    if (change == CRASH_HOLDS) {
        begin_hold(this, entry, proof);
    }
    if (CrashEntry_heldMs(entry, Clock_nowMs()) > 0) {
        keep(this, entry);
    }
}

static void
on_record(void *owner, const Wt__CrashRecord *record)
{
    CrashGuard_t *this = owner;
    RequestDigest_t digest;
    gint64 age_ms = MAX(Clock_wallMs() - record->last_wall_ms, 0);
    CrashChange_t change =
        CrashNews_read(this->table, record->fact, Clock_nowMs() - age_ms);
    if (record->fact->digest.len != sizeof(digest.bytes)) {
        return;
    }
    memcpy(digest.bytes, record->fact->digest.data, sizeof(digest.bytes));
    CrashEntry_t *entry = CrashTable_find(this->table, &digest);
    if (entry) {
        entry->is_recorded = TRUE;
    }
    if (entry && change == CRASH_HOLDS) {
        begin_hold(this, entry, "recorded");
    }
}

static void
introduce_all(CrashGuard_t *this)
{
    const GPtrArray *members = Membership_members(this->spec.membership);
    for (guint i = 0; i < members->len; i++) {
        CrashGuard_introduce(this, g_ptr_array_index(members, i));
    }
}

/* A start of hundreds of routers would be as many calls to the store: who has
 * read it, or was told by one who has, tells its peers, which then need not.
 */
static void
on_read_all(void *owner)
{
    CrashGuard_t *this = owner;
    if (!this->is_complete) {
        this->is_complete = TRUE;
        CrashRecords_skip(this->records);
        introduce_all(this);
    }
}

/* One router removes the records of what all of them forget. */
static void
on_forget(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    CrashGuard_t *this = data;
    g_autoptr(GArray) recorded = CrashTable_forget(this->table, Clock_nowMs());
    for (guint i = 0; i < recorded->len; i++) {
        const RequestDigest_t *digest =
            &g_array_index(recorded, RequestDigest_t, i);
        char key[REQUEST_DIGEST_TEXT + 1];
        RequestDigest_write(digest, key);
        if (Membership_rank(this->spec.membership, key, NULL) == 0) {
            CrashRecords_drop(this->records, digest);
        }
    }
    Clock_arm(this->forget, FORGET_EVERY_MS);
}

/* What the store has lost is written again, by one router for all. */
static void
put_back(CrashEntry_t *entry, void *data)
{
    CrashGuard_t *this = data;
    char key[REQUEST_DIGEST_TEXT + 1];
    RequestDigest_write(&entry->digest, key);
    if (Membership_rank(this->spec.membership, key, NULL) != 0) {
        return;
    }
    if (CrashEntry_heldMs(entry, Clock_nowMs()) > 0) {
        keep(this, entry);
    }
    else if (entry->mark_count >= CRASHES_HELD) {
        CrashRecords_drop(this->records, &entry->digest);
    }
}

/* Who does not know the others yet would take itself for the first. */
static void
on_store_back(void *owner)
{
    CrashGuard_t *this = owner;
    if (Membership_isSettled(this->spec.membership)) {
        CrashTable_forEach(this->table, put_back, this);
    }
}

static const CrashEvidenceEvents_t evidence_events = {.ended = on_ended};
static const CrashNewsEvents_t news_events = {.changed = on_changed};

CrashGuard_t *
CrashGuard_create(struct event_base *base, const CrashGuardSpec_t *spec)
{
    CrashGuard_t *this = g_new0(CrashGuard_t, 1);
    CrashRecordsSpec_t records = {
        .source = spec->source,
        .topic = spec->topic,
        .counters = spec->counters,
        .read = on_record,
        .read_all = on_read_all,
        .owner = this,
    };
    this->spec = *spec;
    this->table = CrashTable_create();
    this->evidence =
        CrashEvidence_create(base, spec->connects, &evidence_events, this);
    this->news = CrashNews_create(base, spec->membership, this->table,
                                  &news_events, this);
    this->records = CrashRecords_create(base, &records);
    this->whole = WholeAnswers_create();
    this->open = g_hash_table_new(g_direct_hash, g_direct_equal);
    this->counted = CountedCrashes_create();
    this->forget = Clock_timer(base, on_forget, this);
    StoreEpoch_listen(spec->epoch, on_store_back, this);
    Clock_arm(this->forget, FORGET_EVERY_MS);
    return this;
}

void
CrashGuard_destroy(CrashGuard_t *this)
{
    StoreEpoch_leave(this->spec.epoch, this);
    event_free(this->forget);
    CountedCrashes_destroy(this->counted);
    g_hash_table_destroy(this->open);
    WholeAnswers_destroy(this->whole);
    CrashRecords_destroy(this->records);
    CrashNews_destroy(this->news);
    CrashEvidence_destroy(this->evidence);
    CrashTable_destroy(this->table);
    g_free(this);
}

void
CrashGuard_enter(CrashGuard_t *this, void *request)
{
    g_hash_table_add(this->open, request);
}

void
CrashGuard_leave(CrashGuard_t *this, void *request)
{
    g_hash_table_remove(this->open, request);
}

static gboolean
knows_nothing(const CrashGuard_t *this)
{
    return CrashTable_size(this->table) == 0 &&
           CrashEvidence_isEmpty(this->evidence);
}

/* A peer may have told of the upstream's end already. */
static gboolean
is_counted(const CrashLoss_t *loss, const void *data)
{
    const CrashEntry_t *entry = data;
    return entry &&
           CrashEntry_has(entry, crash_of(loss->upstream, loss->incarnation));
}

gboolean
CrashGuard_holds(CrashGuard_t *this, CrashSubject_t *subject,
                 CrashVerdict_t *out)
{
    if (knows_nothing(this)) {
        return FALSE;
    }
    gint64 now_ms = Clock_nowMs();
    const RequestDigest_t *digest =
        CrashSubject_digest(subject, this->spec.key);
    const CrashEntry_t *entry = CrashTable_find(this->table, digest);
    gint64 held_ms = entry ? CrashEntry_heldMs(entry, now_ms) : 0;
    guint counted = entry ? CrashEntry_counted(entry) : 0;
    out->open = CrashEvidence_count(this->evidence, digest, is_counted, entry);
    out->crashes = counted + out->open;
    out->age_ms = entry ? now_ms - entry->last_ms : 0;
    out->is_own = out->open > 0 || (entry && entry->is_own);
    out->wait_ms = held_ms > 0 ? held_ms : OPEN_WAIT_MS;
    return held_ms > 0 || (out->open > 0 && out->crashes >= CRASHES_HELD);
}

void
CrashGuard_logHeld(const CrashGuard_t *this, CrashSubject_t *subject,
                   const CrashVerdict_t *verdict, const char *request)
{
    char digest[REQUEST_DIGEST_TEXT + 1];
    RequestDigest_write(CrashSubject_digest(subject, this->spec.key), digest);
    Log_begin(LOG_LEVEL_INFO, "request_not_sent");
    Log_text("request", request);
    Log_text("digest", digest);
    Log_number("crashes", verdict->crashes);
    Log_number("open", verdict->open);
    Log_text("by", verdict->is_own ? "self" : "peer");
    Log_number("age_ms", verdict->age_ms);
    Log_number("wait_ms", verdict->wait_ms);
    Log_end();
}

void
CrashGuard_noteLost(CrashGuard_t *this, CrashSubject_t *subject,
                    const char *request, Upstream_t *upstream, gboolean is_cut)
{
    g_autoptr(GString) id = g_string_new(request);
    CrashLoss_t loss = {
        .digest = *CrashSubject_digest(subject, this->spec.key),
        .owner = CrashSubject_owner(subject, this->spec.key),
        .request = id,
        .upstream = upstream,
        .incarnation = upstream->incarnation,
        .is_cut = is_cut,
        .at_ms = Clock_nowMs(),
    };
    CrashEvidence_add(this->evidence, &loss);
}

void
CrashGuard_noteUnreached(CrashGuard_t *this, const Upstream_t *upstream)
{
    CrashEvidence_noteUnreached(this->evidence, upstream);
}

/* An upstream that was taken for ended, and answers under its name what was
 * sent to it afterwards. */
static void
retract_if_counted(CrashGuard_t *this, const Upstream_t *upstream,
                   gint64 sent_ms)
{
    guint64 crash = crash_of(upstream, upstream->incarnation);
    if (!CountedCrashes_remove(this->counted, crash, sent_ms)) {
        return;
    }
    if (CrashTable_retract(this->table, crash)) {
        CrashNews_tellAlive(this->news, crash);
        Log_begin(LOG_LEVEL_INFO, "crash_retracted");
        Log_text("upstream", upstream->name->str);
        Log_end();
    }
}

void
CrashGuard_noteWhole(CrashGuard_t *this, CrashSubject_t *subject,
                     const Upstream_t *upstream, gint64 sent_ms)
{
    const RequestDigest_t *digest =
        CrashSubject_digest(subject, this->spec.key);
    WholeAnswers_note(this->whole, digest, Clock_nowMs());
    if (knows_nothing(this)) {
        return;
    }
    CrashEvidence_noteLives(this->evidence, upstream, sent_ms);
    retract_if_counted(this, upstream, sent_ms);
    CrashEvidence_forget(this->evidence, digest);
    clear(this, digest, "came_through");
}

void
CrashGuard_take(CrashGuard_t *this, const Wt__CrashNews *message)
{
    CrashNews_take(this->news, message);
    if (message->complete) {
        on_read_all(this);
    }
}

void
CrashGuard_introduce(CrashGuard_t *this, Member_t *member)
{
    CrashNews_introduce(this->news, member, this->is_complete);
}

gboolean
CrashGuard_release(CrashGuard_t *this, const RequestDigest_t *digest)
{
    return clear(this, digest, "operator");
}

void
CrashGuard_forEach(const CrashGuard_t *this, CrashVisit_t visit, void *data)
{
    CrashTable_forEach(this->table, visit, data);
}
