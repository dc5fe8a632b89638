#include "Claims.h"

#include <string.h>
#include <xxhash.h>

#include "ClaimShard.h"
#include "Clock.h"
#include "Log.h"
#include "Random.h"

#define CALL_TIMEOUT_MS 2500
#define RETRY_MS 100
/* How long a release or an outcome is retried. */
#define RECORD_TIMEOUT_MS 600000
/* Largest difference between the clocks of callers and routers. */
#define CLOCK_MARGIN_MS 30000

/* An entry of this router, until its result is known. */
typedef struct {
    Claims_t *owner;
    Wt__ClaimKind kind;
    ClaimId_t key;
    ClaimId_t attempt;
    guint shard;
    guint64 call; /* number of the open call to the owner, 0 for none */
    gint64 key_time_ms;
    gint64 deadline_ms;
    ClaimsDone_t done; /* NULL for releases, outcomes, and once called */
    void *data;
    struct event *timer;
    gboolean peer_failed;       /* submit locally next time */
    gboolean submitted_locally; /* the local shard has not answered yet */
} Pending_t;

/* A peer's call, answered when the shard has completed its entry. */
typedef struct {
    Claims_t *owner;
    char *peer;
    guint64 call;
} ServedCall_t;

struct Claims {
    struct event_base *base;
    ClaimsSpec_t spec;
    ClaimShard_t *shards[CLAIM_SHARDS]; /* NULL until first used */
    GHashTable *calls;                  /* &call -> Pending_t */
    GHashTable *pending;                /* set of Pending_t */
    GHashTable *served;                 /* set of ServedCall_t */
    guint64 next_call;
    gboolean closing;
};

static void send_entry(Pending_t *pending);

static void
shard_name(guint shard, char out[24])
{
    g_snprintf(out, 24, "claims-%u", shard);
}

static ClaimShard_t *
get_shard(Claims_t *this, guint shard)
{
    const PlatformSection_t *platform = &this->spec.settings->platform;
    if (!this->shards[shard]) {
        this->shards[shard] = ClaimShard_create(
            this->base, this->spec.log, this->spec.epoch, shard,
            platform->log_poll_ms, 2 * platform->claim_horizon_ms);
    }
    return this->shards[shard];
}

static void
Pending_destroy(Pending_t *pending)
{
    g_hash_table_remove(pending->owner->pending, pending);
    event_free(pending->timer);
    g_free(pending);
}

static void
end_call(Pending_t *pending)
{
    if (pending->call != 0) {
        g_hash_table_remove(pending->owner->calls, &pending->call);
        pending->call = 0;
    }
}

static void
fill_entry(Pending_t *pending, Wt__ClaimEntry *entry)
{
    wt__claim_entry__init(entry);
    entry->kind = pending->kind;
    entry->key.data = pending->key.bytes;
    entry->key.len = CLAIM_ID_BYTES;
    entry->attempt.data = pending->attempt.bytes;
    entry->attempt.len = CLAIM_ID_BYTES;
}

static gboolean
is_covered(const Pending_t *pending, gint64 covered_from_ms)
{
    return covered_from_ms == 0 ||
           (covered_from_ms < G_MAXINT64 - CLOCK_MARGIN_MS &&
            pending->key_time_ms >= covered_from_ms + CLOCK_MARGIN_MS);
}

/* An abandoned claim may have been appended or may be appended later. */
static void
release_abandoned(Pending_t *pending)
{
    Claims_record(pending->owner, WT__CLAIM_KIND__RELEASE, &pending->key,
                  &pending->attempt);
}

static void
complete_pending(Pending_t *pending, Wt__ClaimVerdict verdict)
{
    ClaimsDone_t done = pending->done;
    pending->done = NULL;
    end_call(pending);
    evtimer_del(pending->timer);
    if (pending->kind == WT__CLAIM_KIND__CLAIM && !pending->owner->closing &&
        (verdict == WT__CLAIM_VERDICT__UNDECIDED ||
         verdict == WT__CLAIM_VERDICT__NOT_COVERED)) {
        release_abandoned(pending);
    }
    if (done) {
        done(verdict, pending->data);
    }
    if (!pending->submitted_locally) {
        Pending_destroy(pending);
    }
}

static gboolean
is_past_deadline(const Pending_t *pending)
{
    return Clock_nowMs() >= pending->deadline_ms;
}

static void
schedule_retry(Pending_t *pending)
{
    if (is_past_deadline(pending)) {
        complete_pending(pending, WT__CLAIM_VERDICT__UNDECIDED);
        return;
    }
    gint64 wait_ms = RETRY_MS / 2 + Random_below(RETRY_MS);
    Clock_arm(pending->timer,
              MIN(wait_ms, pending->deadline_ms - Clock_nowMs()));
}

static void
apply_verdict(Pending_t *pending, Wt__ClaimVerdict verdict,
              gint64 covered_from_ms)
{
    if (verdict == WT__CLAIM_VERDICT__UNDECIDED) {
        schedule_retry(pending);
    }
    else if (verdict == WT__CLAIM_VERDICT__GRANTED &&
             !is_covered(pending, covered_from_ms)) {
        complete_pending(pending, WT__CLAIM_VERDICT__NOT_COVERED);
    }
    else {
        complete_pending(pending, verdict);
    }
}

static void
on_local_verdict(Wt__ClaimVerdict verdict, gint64 covered_from_ms, void *data)
{
    Pending_t *pending = data;
    gboolean is_awaited =
        pending->done || pending->kind != WT__CLAIM_KIND__CLAIM;
    pending->submitted_locally = FALSE;
    if (!is_awaited) {
        Pending_destroy(pending);
        return;
    }
    apply_verdict(pending, verdict, covered_from_ms);
}

static void
submit_locally(Pending_t *pending)
{
    Wt__ClaimEntry entry;
    fill_entry(pending, &entry);
    pending->submitted_locally = TRUE;
    Clock_arm(pending->timer, pending->deadline_ms - Clock_nowMs());
    ClaimShard_submit(get_shard(pending->owner, pending->shard), &entry,
                      on_local_verdict, pending);
}

static gboolean
submit_to_owner(Pending_t *pending, Member_t *member)
{
    Claims_t *this = pending->owner;
    Wt__ClaimEntry entry;
    Wt__ClaimCall call = WT__CLAIM_CALL__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    fill_entry(pending, &entry);
    call.call = ++this->next_call;
    call.shard = pending->shard;
    call.entry = &entry;
    message.body_case = WT__PEER_MESSAGE__BODY_CLAIM_CALL;
    message.claim_call = &call;
    if (!Membership_send(this->spec.membership, member, &message)) {
        return FALSE;
    }
    pending->call = call.call;
    g_hash_table_insert(this->calls, &pending->call, pending);
    Clock_arm(pending->timer,
              MIN(CALL_TIMEOUT_MS, pending->deadline_ms - Clock_nowMs()));
    return TRUE;
}

/* Sends the entry to the shard's owner. Submits it locally if this router is
 * the owner, or if the owner cannot be reached or did not answer the last
 * call. */
static void
send_entry(Pending_t *pending)
{
    char name[24];
    shard_name(pending->shard, name);
    Member_t *owner =
        Membership_findOwner(pending->owner->spec.membership, name);
    if (owner && !pending->peer_failed && submit_to_owner(pending, owner)) {
        return;
    }
    submit_locally(pending);
}

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Pending_t *pending = data;
    if (is_past_deadline(pending)) {
        complete_pending(pending, WT__CLAIM_VERDICT__UNDECIDED);
        return;
    }
    if (pending->submitted_locally) {
        /* The event loop's clock lags a little behind Clock_nowMs(), so the
         * timer may fire shortly before the deadline. */
        Clock_arm(pending->timer,
                  MAX(pending->deadline_ms - Clock_nowMs(), 1));
        return;
    }
    if (pending->call != 0) {
        end_call(pending);
        pending->peer_failed = TRUE;
        Counters_add(pending->owner->spec.counters, "claim_owner_silent_total",
                     NULL, 1);
    }
    send_entry(pending);
}

static Pending_t *
create_pending(Claims_t *this, Wt__ClaimKind kind, const ClaimId_t *key,
               const ClaimId_t *attempt)
{
    Pending_t *pending = g_new0(Pending_t, 1);
    pending->owner = this;
    pending->kind = kind;
    pending->key = *key;
    pending->attempt = *attempt;
    pending->shard = key->bytes[0] % CLAIM_SHARDS;
    pending->timer = Clock_timer(this->base, on_timer, pending);
    g_hash_table_add(this->pending, pending);
    return pending;
}

void
Claims_acquire(Claims_t *this, const ClaimId_t *key, const ClaimId_t *attempt,
               gint64 key_time_ms, gint64 deadline_ms, ClaimsDone_t done,
               void *data)
{
    Pending_t *pending =
        create_pending(this, WT__CLAIM_KIND__CLAIM, key, attempt);
    pending->key_time_ms = key_time_ms;
    pending->deadline_ms = deadline_ms;
    pending->done = done;
    pending->data = data;
    Counters_add(this->spec.counters, "claims_total", NULL, 1);
    send_entry(pending);
}

void
Claims_record(Claims_t *this, Wt__ClaimKind kind, const ClaimId_t *key,
              const ClaimId_t *attempt)
{
    Pending_t *pending = create_pending(this, kind, key, attempt);
    pending->deadline_ms = Clock_nowMs() + RECORD_TIMEOUT_MS;
    send_entry(pending);
}

/* Calls of peers to this router as a shard's owner */

static Member_t *
find_member(const Claims_t *this, const char *name)
{
    const GPtrArray *members = Membership_members(this->spec.membership);
    for (guint i = 0; i < members->len; i++) {
        Member_t *member = g_ptr_array_index(members, i);
        if (strcmp(member->name->str, name) == 0) {
            return member;
        }
    }
    return NULL;
}

static void
on_served(Wt__ClaimVerdict verdict, gint64 covered_from_ms, void *data)
{
    ServedCall_t *served = data;
    Claims_t *this = served->owner;
    Member_t *member = find_member(this, served->peer);
    Wt__ClaimReply reply = WT__CLAIM_REPLY__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    reply.call = served->call;
    reply.verdict = verdict;
    reply.covered_from_ms = covered_from_ms;
    message.body_case = WT__PEER_MESSAGE__BODY_CLAIM_REPLY;
    message.claim_reply = &reply;
    if (member) {
        Membership_send(this->spec.membership, member, &message);
    }
    g_hash_table_remove(this->served, served);
}

static void
free_served(gpointer data)
{
    ServedCall_t *served = data;
    g_free(served->peer);
    g_free(served);
}

static void
serve_call(Claims_t *this, const Member_t *from, const Wt__ClaimCall *call)
{
    if (call->shard >= CLAIM_SHARDS || !call->entry) {
        return;
    }
    ServedCall_t *served = g_new0(ServedCall_t, 1);
    served->owner = this;
    served->peer = g_strdup(from->name->str);
    served->call = call->call;
    g_hash_table_add(this->served, served);
    ClaimShard_submit(get_shard(this, call->shard), call->entry, on_served,
                      served);
}

static void
receive_reply(Claims_t *this, const Wt__ClaimReply *reply)
{
    Pending_t *pending = g_hash_table_lookup(this->calls, &reply->call);
    if (pending) {
        end_call(pending);
        pending->peer_failed = reply->verdict == WT__CLAIM_VERDICT__UNDECIDED;
        apply_verdict(pending, reply->verdict, reply->covered_from_ms);
    }
}

void
Claims_receive(Claims_t *this, Member_t *from, const Wt__PeerMessage *message)
{
    if (message->body_case == WT__PEER_MESSAGE__BODY_CLAIM_CALL) {
        serve_call(this, from, message->claim_call);
    }
    else {
        receive_reply(this, message->claim_reply);
    }
}

Claims_t *
Claims_create(struct event_base *base, const ClaimsSpec_t *spec)
{
    Claims_t *this = g_new0(Claims_t, 1);
    this->base = base;
    this->spec = *spec;
    this->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
    this->pending = g_hash_table_new(g_direct_hash, g_direct_equal);
    this->served = g_hash_table_new_full(g_direct_hash, g_direct_equal,
                                         free_served, NULL);
    return this;
}

/* Ends all pending entries as undecided. */
static void
abort_all(Claims_t *this)
{
    this->closing = TRUE;
    GList *all = g_hash_table_get_keys(this->pending);
    for (GList *at = all; at; at = at->next) {
        Pending_t *pending = at->data;
        pending->submitted_locally = FALSE;
        complete_pending(pending, WT__CLAIM_VERDICT__UNDECIDED);
    }
    g_list_free(all);
}

void
Claims_destroy(Claims_t *this)
{
    for (guint i = 0; i < CLAIM_SHARDS; i++) {
        if (this->shards[i]) {
            ClaimShard_destroy(this->shards[i]);
        }
    }
    abort_all(this);
    g_hash_table_destroy(this->calls);
    g_hash_table_destroy(this->pending);
    g_hash_table_destroy(this->served);
    g_free(this);
}

guint
Claims_countPending(const Claims_t *this)
{
    return g_hash_table_size(this->pending);
}
