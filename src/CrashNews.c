#include "CrashNews.h"

#include <string.h>

#include "Clock.h"
#include "PeerAge.h"

/* News waits so long for more. */
#define TURN_MS 20
/* Facts of one turn, some 45 bytes each: 70 KB a second over each link. */
#define FACTS_OF_A_TURN 32
/* Facts of one message to a new link. */
#define FACTS_OF_A_MESSAGE 256

struct CrashNews {
    Membership_t *membership;
    CrashTable_t *table;
    const CrashNewsEvents_t *events;
    void *owner;
    GHashTable *waiting; /* set of digests that have news */
    GArray *alive;       /* crashes that were none */
    struct event *turn;
};

typedef struct {
    Wt__CrashFact facts[FACTS_OF_A_MESSAGE];
    Wt__CrashFact *list[FACTS_OF_A_MESSAGE];
    guint64 ids[FACTS_OF_A_MESSAGE][CRASHES_OF_ONE];
    guint count;
} Batch_t;

/* Those that count stand first in the room that both share. */
void
CrashNews_write(const CrashEntry_t *entry, Wt__CrashFact *out,
                guint64 ids[CRASHES_OF_ONE])
{
    guint counted = 0;
    guint voided = CRASHES_OF_ONE;
    for (guint i = 0; i < entry->mark_count; i++) {
        const CrashMark_t *mark = &entry->marks[i];
        ids[mark->voided ? --voided : counted++] = mark->crash;
    }
    wt__crash_fact__init(out);
    out->digest.data = (guint8 *)entry->digest.bytes;
    out->digest.len = sizeof(entry->digest.bytes);
    out->owner = entry->owner;
    out->n_crashes = counted;
    out->crashes = ids;
    out->n_voided = CRASHES_OF_ONE - voided;
    out->voided = ids + voided;
    out->age_ms = PeerAge_of(entry->last_ms);
}

CrashChange_t
CrashNews_read(CrashTable_t *table, const Wt__CrashFact *message, gint64 at_ms)
{
    CrashFact_t fact = {.owner = message->owner, .at_ms = at_ms};
    CrashChange_t change = CRASH_KNOWN;
    if (message->digest.len != sizeof(fact.digest.bytes)) {
        return CRASH_KNOWN;
    }
    memcpy(fact.digest.bytes, message->digest.data, message->digest.len);
    for (size_t i = 0; i < message->n_voided; i++) {
        fact.crash = message->voided[i];
        CrashChange_t one = CrashTable_void(table, &fact);
        change = MAX(change, one);
    }
    for (size_t i = 0; i < message->n_crashes; i++) {
        fact.crash = message->crashes[i];
        CrashChange_t one = CrashTable_add(table, &fact, Clock_nowMs());
        change = MAX(change, one);
    }
    return change;
}

static void
add_entry(Batch_t *batch, const CrashEntry_t *entry)
{
    guint place = batch->count++;
    CrashNews_write(entry, &batch->facts[place], batch->ids[place]);
    batch->list[place] = &batch->facts[place];
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

/* Takes from those that wait what fits, with so many crashes at the least. */
static void
take_waiting(CrashNews_t *this, Batch_t *batch, guint least)
{
    GHashTableIter iter;
    gpointer digest = NULL;
    g_hash_table_iter_init(&iter, this->waiting);
    while (batch->count < FACTS_OF_A_TURN &&
           g_hash_table_iter_next(&iter, &digest, NULL)) {
        const CrashEntry_t *entry = CrashTable_find(this->table, digest);
        if (entry && entry->mark_count < least) {
            continue;
        }
        if (entry) {
            add_entry(batch, entry);
        }
        g_hash_table_iter_remove(&iter);
    }
}

static void
on_turn(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    CrashNews_t *this = data;
    g_autofree Batch_t *batch = g_new0(Batch_t, 1);
    Wt__CrashNews body;
    Wt__PeerMessage message;
    take_waiting(this, batch, 2);
    take_waiting(this, batch, 0);
    make_message(batch, this->alive, &body, &message);
    Membership_sendAll(this->membership, &message);
    g_array_set_size(this->alive, 0);
    if (g_hash_table_size(this->waiting) > 0) {
        Clock_arm(this->turn, TURN_MS);
    }
}

CrashNews_t *
CrashNews_create(struct event_base *base, Membership_t *membership,
                 CrashTable_t *table, const CrashNewsEvents_t *events,
                 void *owner)
{
    CrashNews_t *this = g_new0(CrashNews_t, 1);
    this->membership = membership;
    this->table = table;
    this->events = events;
    this->owner = owner;
    this->waiting = g_hash_table_new_full(RequestDigest_hash,
                                          RequestDigest_equal, g_free, NULL);
    this->alive = g_array_new(FALSE, FALSE, sizeof(guint64));
    this->turn = Clock_timer(base, on_turn, this);
    return this;
}

void
CrashNews_destroy(CrashNews_t *this)
{
    event_free(this->turn);
    g_hash_table_destroy(this->waiting);
    g_array_unref(this->alive);
    g_free(this);
}

static void
wake(CrashNews_t *this)
{
    if (!evtimer_pending(this->turn, NULL)) {
        Clock_arm(this->turn, TURN_MS);
    }
}

void
CrashNews_tell(CrashNews_t *this, const RequestDigest_t *digest)
{
    g_hash_table_add(this->waiting, g_memdup2(digest, sizeof(*digest)));
    wake(this);
}

void
CrashNews_tellAlive(CrashNews_t *this, guint64 crash)
{
    g_array_append_val(this->alive, crash);
    wake(this);
}

typedef struct {
    CrashNews_t *owner;
    Member_t *member;
    Batch_t *batch;
} Introduction_t;

static void
send_batch(const Introduction_t *introduction)
{
    Wt__CrashNews body;
    Wt__PeerMessage message;
    make_message(introduction->batch, NULL, &body, &message);
    Membership_send(introduction->owner->membership, introduction->member,
                    &message);
    introduction->batch->count = 0;
}

static void
introduce_entry(CrashEntry_t *entry, void *data)
{
    Introduction_t *introduction = data;
    add_entry(introduction->batch, entry);
    if (introduction->batch->count == FACTS_OF_A_MESSAGE) {
        send_batch(introduction);
    }
}

static void
tell_complete(const CrashNews_t *this, Member_t *member)
{
    Wt__CrashNews news = WT__CRASH_NEWS__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    news.complete = TRUE;
    message.body_case = WT__PEER_MESSAGE__BODY_CRASH_NEWS;
    message.crash_news = &news;
    Membership_send(this->membership, member, &message);
}

void
CrashNews_introduce(CrashNews_t *this, Member_t *member, gboolean is_complete)
{
    g_autofree Batch_t *batch = g_new0(Batch_t, 1);
    Introduction_t introduction = {this, member, batch};
    CrashTable_forEach(this->table, introduce_entry, &introduction);
    if (batch->count > 0) {
        send_batch(&introduction);
    }
    if (is_complete) {
        tell_complete(this, member);
    }
}

static void
take_fact(CrashNews_t *this, const Wt__CrashFact *fact, gboolean pass_on)
{
    gint64 at_ms = PeerAge_atMs(fact->age_ms);
    CrashChange_t change = CrashNews_read(this->table, fact, at_ms);
    if (change == CRASH_KNOWN) {
        return;
    }
    RequestDigest_t digest;
    memcpy(digest.bytes, fact->digest.data, sizeof(digest.bytes));
    if (pass_on) {
        CrashNews_tell(this, &digest);
    }
    this->events->changed(this->owner, &digest, change);
}

/* Where all are linked with all, everyone has it from its source. */
void
CrashNews_take(CrashNews_t *this, const Wt__CrashNews *message)
{
    gboolean pass_on = !Membership_isMesh(this->membership);
    for (size_t i = 0; i < message->n_alive; i++) {
        guint64 crash = message->alive[i];
        if (CrashTable_retract(this->table, crash) && pass_on) {
            CrashNews_tellAlive(this, crash);
        }
    }
    for (size_t i = 0; i < message->n_facts; i++) {
        take_fact(this, message->facts[i], pass_on);
    }
}
