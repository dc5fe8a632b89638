#include "CrashUpdates.h"

#include <string.h>

#include "Clock.h"
#include "PeerAge.h"

/* How long an update waits so that later ones join its message. */
#define BROADCAST_DELAY_MS 20
/* Facts of one broadcast, some 45 bytes each: 70 KB a second over each link.
 */
#define FACTS_PER_BROADCAST 32
/* Facts of one message to a peer that just connected. */
#define FACTS_PER_MESSAGE 256

struct CrashUpdates {
    Membership_t *membership;
    CrashTable_t *table;
    const CrashUpdatesEvents_t *events;
    void *owner;
    GHashTable *unsent; /* set of digests of changed entries */
    GArray *alive;      /* retracted crashes to send */
    struct event *broadcast_timer;
};

typedef struct {
    Wt__CrashFact facts[FACTS_PER_MESSAGE];
    Wt__CrashFact *list[FACTS_PER_MESSAGE];
    guint64 ids[FACTS_PER_MESSAGE][CRASHES_PER_REQUEST_MAX];
    guint count;
} Batch_t;

/* Valid and voided crashes share @ids: valid ones fill it from the start,
 * voided ones from the end. */
void
CrashUpdates_encode(const CrashEntry_t *entry, Wt__CrashFact *out,
                    guint64 ids[CRASHES_PER_REQUEST_MAX])
{
    guint counted = 0;
    guint voided = CRASHES_PER_REQUEST_MAX;
    for (guint i = 0; i < entry->mark_count; i++) {
        const CrashMark_t *mark = &entry->marks[i];
        ids[mark->voided ? --voided : counted++] = mark->crash;
    }
    wt__crash_fact__init(out);
    out->digest.data = (guint8 *)entry->digest.bytes;
    out->digest.len = sizeof(entry->digest.bytes);
    out->owner = entry->customer_hash;
    out->n_crashes = counted;
    out->crashes = ids;
    out->n_voided = CRASHES_PER_REQUEST_MAX - voided;
    out->voided = ids + voided;
    out->age_ms = PeerAge_of(entry->last_ms);
}

CrashChange_t
CrashUpdates_apply(CrashTable_t *table, const Wt__CrashFact *message,
                   gint64 at_ms)
{
    CrashFact_t fact = {.customer_hash = message->owner, .at_ms = at_ms};
    CrashChange_t change = CRASH_UNCHANGED;
    if (message->digest.len != sizeof(fact.digest.bytes)) {
        return CRASH_UNCHANGED;
    }
    memcpy(fact.digest.bytes, message->digest.data, message->digest.len);
    for (size_t i = 0; i < message->n_voided; i++) {
        fact.crash = message->voided[i];
        CrashChange_t fact_change = CrashTable_void(table, &fact);
        change = MAX(change, fact_change);
    }
    for (size_t i = 0; i < message->n_crashes; i++) {
        fact.crash = message->crashes[i];
        CrashChange_t fact_change =
            CrashTable_add(table, &fact, Clock_nowMs());
        change = MAX(change, fact_change);
    }
    return change;
}

static void
add_entry(Batch_t *batch, const CrashEntry_t *entry)
{
    guint idx = batch->count++;
    CrashUpdates_encode(entry, &batch->facts[idx], batch->ids[idx]);
    batch->list[idx] = &batch->facts[idx];
}

static void
make_message(Batch_t *batch, GArray *alive, Wt__CrashNews *body,
             Wt__PeerMessage *message)
{
    wt__crash_news__init(body);
    wt__peer_message__init(message);
    body->n_facts = batch->count;
    body->facts = batch->list;
    body->n_alive = alive ? alive->len : 0;
    body->alive = alive ? (guint64 *)alive->data : NULL;
    message->body_case = WT__PEER_MESSAGE__BODY_CRASH_NEWS;
    message->crash_news = body;
}

/* Moves unsent entries with at least @min_crashes crashes to the batch until
 * it is full. */
static void
add_unsent(CrashUpdates_t *this, Batch_t *batch, guint min_crashes)
{
    GHashTableIter iter;
    gpointer digest = NULL;
    g_hash_table_iter_init(&iter, this->unsent);
    while (batch->count < FACTS_PER_BROADCAST &&
           g_hash_table_iter_next(&iter, &digest, NULL)) {
        const CrashEntry_t *entry = CrashTable_find(this->table, digest);
        if (entry && entry->mark_count < min_crashes) {
            continue;
        }
        if (entry) {
            add_entry(batch, entry);
        }
        g_hash_table_iter_remove(&iter);
    }
}

static void
on_broadcast(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    CrashUpdates_t *this = data;
    g_autofree Batch_t *batch = g_new0(Batch_t, 1);
    Wt__CrashNews body;
    Wt__PeerMessage message;
    add_unsent(this, batch, 2);
    add_unsent(this, batch, 0);
    make_message(batch, this->alive, &body, &message);
    Membership_broadcast(this->membership, &message);
    g_array_set_size(this->alive, 0);
    if (g_hash_table_size(this->unsent) > 0) {
        Clock_arm(this->broadcast_timer, BROADCAST_DELAY_MS);
    }
}

CrashUpdates_t *
CrashUpdates_create(struct event_base *base, Membership_t *membership,
                    CrashTable_t *table, const CrashUpdatesEvents_t *events,
                    void *owner)
{
    CrashUpdates_t *this = g_new0(CrashUpdates_t, 1);
    this->membership = membership;
    this->table = table;
    this->events = events;
    this->owner = owner;
    this->unsent = g_hash_table_new_full(RequestDigest_hash,
                                         RequestDigest_equal, g_free, NULL);
    this->alive = g_array_new(FALSE, FALSE, sizeof(guint64));
    this->broadcast_timer = Clock_timer(base, on_broadcast, this);
    return this;
}

void
CrashUpdates_destroy(CrashUpdates_t *this)
{
    event_free(this->broadcast_timer);
    g_hash_table_destroy(this->unsent);
    g_array_unref(this->alive);
    g_free(this);
}

static void
schedule_broadcast(CrashUpdates_t *this)
{
    if (!evtimer_pending(this->broadcast_timer, NULL)) {
        Clock_arm(this->broadcast_timer, BROADCAST_DELAY_MS);
    }
}

void
CrashUpdates_broadcast(CrashUpdates_t *this, const RequestDigest_t *digest)
{
    g_hash_table_add(this->unsent, g_memdup2(digest, sizeof(*digest)));
    schedule_broadcast(this);
}

void
CrashUpdates_broadcastAlive(CrashUpdates_t *this, guint64 crash)
{
    g_array_append_val(this->alive, crash);
    schedule_broadcast(this);
}

typedef struct {
    CrashUpdates_t *updates;
    Member_t *member;
    Batch_t *batch;
} PeerSync_t;

static void
send_batch(const PeerSync_t *sync)
{
    Wt__CrashNews body;
    Wt__PeerMessage message;
    make_message(sync->batch, NULL, &body, &message);
    Membership_send(sync->updates->membership, sync->member, &message);
    sync->batch->count = 0;
}

static void
sync_entry(CrashEntry_t *entry, void *data)
{
    PeerSync_t *sync = data;
    add_entry(sync->batch, entry);
    if (sync->batch->count == FACTS_PER_MESSAGE) {
        send_batch(sync);
    }
}

static void
send_complete(const CrashUpdates_t *this, Member_t *member)
{
    Wt__CrashNews body = WT__CRASH_NEWS__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    body.complete = TRUE;
    message.body_case = WT__PEER_MESSAGE__BODY_CRASH_NEWS;
    message.crash_news = &body;
    Membership_send(this->membership, member, &message);
}

void
CrashUpdates_syncPeer(CrashUpdates_t *this, Member_t *member,
                      gboolean records_known)
{
    g_autofree Batch_t *batch = g_new0(Batch_t, 1);
    PeerSync_t sync = {this, member, batch};
    CrashTable_forEach(this->table, sync_entry, &sync);
    if (batch->count > 0) {
        send_batch(&sync);
    }
    if (records_known) {
        send_complete(this, member);
    }
}

static void
receive_fact(CrashUpdates_t *this, const Wt__CrashFact *fact,
             gint64 transit_ms, gboolean forward)
{
    gint64 at_ms = PeerAge_atMs(fact->age_ms, transit_ms);
    CrashChange_t change = CrashUpdates_apply(this->table, fact, at_ms);
    if (change == CRASH_UNCHANGED) {
        return;
    }
    RequestDigest_t digest;
    memcpy(digest.bytes, fact->digest.data, sizeof(digest.bytes));
    if (forward) {
        CrashUpdates_broadcast(this, &digest);
    }
    this->events->changed(this->owner, &digest, change);
}

/* In a full mesh each peer receives the message from its sender, so nothing is
 * forwarded. */
void
CrashUpdates_receive(CrashUpdates_t *this, const Wt__CrashNews *message,
                     gint64 transit_ms)
{
    gboolean forward = !Membership_isMesh(this->membership);
    for (size_t i = 0; i < message->n_alive; i++) {
        guint64 crash = message->alive[i];
        if (CrashTable_retract(this->table, crash) && forward) {
            CrashUpdates_broadcastAlive(this, crash);
        }
    }
    for (size_t i = 0; i < message->n_facts; i++) {
        receive_fact(this, message->facts[i], transit_ms, forward);
    }
}
