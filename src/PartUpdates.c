#include "PartUpdates.h"

#include <string.h>

#include "Clock.h"
#include "PeerAge.h"

/* How long an update waits so that later ones join its message. */
#define BROADCAST_DELAY_MS 20
/* The same for a part that is in answers that go well: in this time most such
 * parts are in another one. */
#define KNOWN_DELAY_MS 500
/* Facts of one broadcast, some 64 bytes each with one crash: 102 KB a second
 * over each link. */
#define FACTS_PER_BROADCAST 32
/* Facts of one message to a peer that just connected. */
#define FACTS_PER_MESSAGE 128

struct PartUpdates {
    Membership_t *membership;
    PartTable_t *table;
    const PartUpdatesEvents_t *events;
    void *owner;
    GHashTable
        *unsent; /* digests of changed entries -> gint64, when to send */
    struct event *broadcast_timer;
};

typedef struct {
    PartMessage_t messages[FACTS_PER_MESSAGE];
    Wt__PartFact *list[FACTS_PER_MESSAGE];
    guint count;
} Batch_t;

static void
encode_mark(const PartMark_t *mark, Wt__PartMark *out)
{
    wt__part_mark__init(out);
    out->crash = mark->crash;
    out->customer = mark->customer_hash;
    out->request = mark->request;
    out->place = mark->place;
    out->age_ms = PeerAge_of(mark->at_ms);
    out->ran_ms = mark->ran_ms;
    out->voided = mark->voided;
}

void
PartUpdates_encode(const PartEntry_t *entry, PartMessage_t *out)
{
    Wt__PartFact *fact = &out->fact;
    wt__part_fact__init(fact);
    fact->digest.data = (guint8 *)entry->part.digest.bytes;
    fact->digest.len = sizeof(entry->part.digest.bytes);
    fact->depth = entry->part.depth;
    fact->known = entry->is_known;
    for (guint i = 0; i < entry->mark_count; i++) {
        encode_mark(&entry->marks[i], &out->marks[i]);
        out->list[i] = &out->marks[i];
    }
    fact->n_marks = entry->mark_count;
    fact->marks = out->list;
}

gboolean
PartUpdates_apply(PartTable_t *table, const Wt__PartFact *message,
                  gint64 elapsed_ms, RequestDigest_t *out)
{
    PartFact_t fact = {
        .part.depth = MIN(message->depth, PROMPT_PARTS_MAX),
        .is_known = message->known,
    };
    gboolean changed = FALSE;
    if (message->digest.len != sizeof(fact.part.digest.bytes)) {
        return FALSE;
    }
    memcpy(fact.part.digest.bytes, message->digest.data, message->digest.len);
    for (size_t i = 0; i < message->n_marks; i++) {
        const Wt__PartMark *mark = message->marks[i];
        fact.mark = (PartMark_t){
            .crash = mark->crash,
            .customer_hash = mark->customer,
            .request = mark->request,
            .place = mark->place,
            .at_ms = PeerAge_atMs(mark->age_ms, elapsed_ms),
            .ran_ms = mark->ran_ms,
            .voided = mark->voided,
        };
        changed = PartTable_add(table, &fact) || changed;
    }
    *out = fact.part.digest;
    return changed;
}

static void
add_entry(Batch_t *batch, const PartEntry_t *entry)
{
    PartMessage_t *message = &batch->messages[batch->count];
    PartUpdates_encode(entry, message);
    batch->list[batch->count] = &message->fact;
    batch->count++;
}

static void
make_message(Batch_t *batch, Wt__CrashNews *body, Wt__PeerMessage *message)
{
    wt__crash_news__init(body);
    wt__peer_message__init(message);
    body->n_parts = batch->count;
    body->parts = batch->list;
    message->body_case = WT__PEER_MESSAGE__BODY_CRASH_NEWS;
    message->crash_news = body;
}

/* What was cleared before any peer was told of it is not worth a message. */
static gboolean
is_worth_telling(const PartEntry_t *entry)
{
    return entry && (entry->is_told || PartEntry_countValid(entry) > 0);
}

static void
add_unsent(PartUpdates_t *this, Batch_t *batch)
{
    gint64 now_ms = Clock_nowMs();
    GHashTableIter iter;
    gpointer digest = NULL;
    gpointer due_ms = NULL;
    g_hash_table_iter_init(&iter, this->unsent);
    while (batch->count < FACTS_PER_BROADCAST &&
           g_hash_table_iter_next(&iter, &digest, &due_ms)) {
        PartEntry_t *entry = PartTable_find(this->table, digest);
        if (*(const gint64 *)due_ms > now_ms) {
            continue;
        }
        if (is_worth_telling(entry)) {
            entry->is_told = TRUE;
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
    PartUpdates_t *this = data;
    g_autofree Batch_t *batch = g_new0(Batch_t, 1);
    Wt__CrashNews body;
    Wt__PeerMessage message;
    add_unsent(this, batch);
    if (batch->count > 0) {
        make_message(batch, &body, &message);
        Membership_broadcast(this->membership, &message);
    }
    if (g_hash_table_size(this->unsent) > 0) {
        Clock_arm(this->broadcast_timer, BROADCAST_DELAY_MS);
    }
}

PartUpdates_t *
PartUpdates_create(struct event_base *base, Membership_t *membership,
                   PartTable_t *table, const PartUpdatesEvents_t *events,
                   void *owner)
{
    PartUpdates_t *this = g_new0(PartUpdates_t, 1);
    this->membership = membership;
    this->table = table;
    this->events = events;
    this->owner = owner;
    this->unsent = g_hash_table_new_full(RequestDigest_hash,
                                         RequestDigest_equal, g_free, g_free);
    this->broadcast_timer = Clock_timer(base, on_broadcast, this);
    return this;
}

void
PartUpdates_destroy(PartUpdates_t *this)
{
    event_free(this->broadcast_timer);
    g_hash_table_destroy(this->unsent);
    g_free(this);
}

/* An entry that peers know is told without delay: it may clear the part. */
void
PartUpdates_broadcast(PartUpdates_t *this, const PartEntry_t *entry)
{
    gboolean waits = entry->is_known && !entry->is_told;
    gint64 due_ms =
        Clock_nowMs() + (waits ? KNOWN_DELAY_MS : BROADCAST_DELAY_MS);
    const gint64 *queued_ms =
        g_hash_table_lookup(this->unsent, &entry->part.digest);
    if (!queued_ms || *queued_ms > due_ms) {
        g_hash_table_replace(
            this->unsent,
            g_memdup2(&entry->part.digest, sizeof(entry->part.digest)),
            g_memdup2(&due_ms, sizeof(due_ms)));
    }
    if (!evtimer_pending(this->broadcast_timer, NULL)) {
        Clock_arm(this->broadcast_timer, BROADCAST_DELAY_MS);
    }
}

typedef struct {
    const PartUpdates_t *updates;
    Member_t *member;
    Batch_t *batch;
} PeerSync_t;

static void
send_batch(const PeerSync_t *sync)
{
    Wt__CrashNews body;
    Wt__PeerMessage message;
    make_message(sync->batch, &body, &message);
    Membership_send(sync->updates->membership, sync->member, &message);
    sync->batch->count = 0;
}

static void
sync_entry(PartEntry_t *entry, void *data)
{
    PeerSync_t *sync = data;
    add_entry(sync->batch, entry);
    if (sync->batch->count == FACTS_PER_MESSAGE) {
        send_batch(sync);
    }
}

void
PartUpdates_syncPeer(const PartUpdates_t *this, Member_t *member)
{
    g_autofree Batch_t *batch = g_new0(Batch_t, 1);
    PeerSync_t sync = {this, member, batch};
    PartTable_forEach(this->table, sync_entry, &sync);
    if (batch->count > 0) {
        send_batch(&sync);
    }
}

static void
receive_fact(PartUpdates_t *this, const Wt__PartFact *fact, gint64 transit_ms,
             gboolean forward)
{
    RequestDigest_t digest;
    if (!PartUpdates_apply(this->table, fact, transit_ms, &digest)) {
        return;
    }
    PartEntry_t *entry = PartTable_find(this->table, &digest);
    if (entry) {
        entry->is_told = TRUE;
        if (forward) {
            PartUpdates_broadcast(this, entry);
        }
    }
    this->events->changed(this->owner, &digest);
}

/* In a full mesh each peer receives the message from its sender, so nothing is
 * forwarded. */
void
PartUpdates_receive(PartUpdates_t *this, const Wt__CrashNews *message,
                    gint64 transit_ms)
{
    gboolean forward = !Membership_isMesh(this->membership);
    for (size_t i = 0; i < message->n_parts; i++) {
        receive_fact(this, message->parts[i], transit_ms, forward);
    }
}
