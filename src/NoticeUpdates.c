#include "NoticeUpdates.h"

#include <math.h>

#include "Clock.h"

/* Delay between a change and its message, so that changes are batched. */
#define BATCH_DELAY_MS 20
/* A fact takes about 30 bytes. */
#define FACTS_PER_MESSAGE_MAX 64
/* A starting router receives facts about upstreams before it has the list of
 * upstreams; it keeps such facts for this long. */
#define UNLISTED_TIMEOUT_MS 10000
#define UNLISTED_MAX 4096

struct NoticeUpdates {
    NoticeUpdatesSpec_t spec;
    GHashTable *pending; /* set of &hash of upstreams with unsent changes */
    struct event *timer;
    GArray *unlisted; /* ReceivedFact_t about upstreams not listed yet */
};

typedef struct {
    guint64 upstream;
    guint64 incarnation;
    NoticeFact_t fact;
    gint64 expires_ms; /* kept until then for the upstream to be listed */
} ReceivedFact_t;

typedef struct {
    Wt__NoticeFact facts[FACTS_PER_MESSAGE_MAX];
    Wt__NoticeFact *list[FACTS_PER_MESSAGE_MAX];
    guint count;
} Batch_t;

static void
add_fact(Batch_t *batch, const Upstream_t *upstream)
{
    Wt__NoticeFact *fact = &batch->facts[batch->count];
    wt__notice_fact__init(fact);
    fact->upstream = upstream->hash;
    fact->incarnation = upstream->incarnation;
    fact->version = upstream->limit.version;
    fact->is_named = upstream->limit.is_named;
    fact->per_s = upstream->limit.per_s;
    fact->leaving = upstream->leaving;
    batch->list[batch->count++] = fact;
}

static void
make_message(Batch_t *batch, Wt__NoticeNews *body, Wt__PeerMessage *message)
{
    wt__notice_news__init(body);
    wt__peer_message__init(message);
    body->n_facts = batch->count;
    body->facts = batch->list;
    message->body_case = WT__PEER_MESSAGE__BODY_NOTICE_NEWS;
    message->notice_news = body;
}

static void
collect_pending(const NoticeUpdates_t *this, Batch_t *batch)
{
    GHashTableIter iter;
    gpointer hash = NULL;
    g_hash_table_iter_init(&iter, this->pending);
    while (batch->count < FACTS_PER_MESSAGE_MAX &&
           g_hash_table_iter_next(&iter, &hash, NULL)) {
        const Upstream_t *upstream =
            UpstreamSet_findByHash(this->spec.upstreams, *(guint64 *)hash);
        if (upstream) {
            add_fact(batch, upstream);
        }
        g_hash_table_iter_remove(&iter);
    }
}

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    const NoticeUpdates_t *this = data;
    Batch_t batch = {.count = 0};
    Wt__NoticeNews body;
    Wt__PeerMessage message;
    collect_pending(this, &batch);
    make_message(&batch, &body, &message);
    Membership_broadcast(this->spec.membership, &message);
    if (g_hash_table_size(this->pending) > 0) {
        Clock_arm(this->timer, BATCH_DELAY_MS);
    }
}

/* A newer incarnation resets the state of the former one. In a full mesh every
 * router has the fact from the router that learned it. */
static void
apply_fact(NoticeUpdates_t *this, Upstream_t *upstream,
           const ReceivedFact_t *received)
{
    Upstream_noteIncarnation(upstream, received->incarnation, Clock_nowMs());
    if (received->incarnation == upstream->incarnation &&
        this->spec.handler(this->spec.owner, upstream, &received->fact) &&
        !Membership_isMesh(this->spec.membership)) {
        NoticeUpdates_broadcast(this, upstream);
    }
}

static void
on_upstream_added(void *owner, Upstream_t *upstream)
{
    NoticeUpdates_t *this = owner;
    for (guint i = this->unlisted->len; i > 0; i--) {
        ReceivedFact_t received =
            g_array_index(this->unlisted, ReceivedFact_t, i - 1);
        if (received.upstream == upstream->hash) {
            g_array_remove_index_fast(this->unlisted, i - 1);
            apply_fact(this, upstream, &received);
        }
    }
}

NoticeUpdates_t *
NoticeUpdates_create(struct event_base *base, const NoticeUpdatesSpec_t *spec)
{
    NoticeUpdates_t *this = g_new0(NoticeUpdates_t, 1);
    this->spec = *spec;
    this->pending =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    this->timer = Clock_timer(base, on_timer, this);
    this->unlisted = g_array_new(FALSE, FALSE, sizeof(ReceivedFact_t));
    UpstreamSet_setAddedCallback(spec->upstreams, on_upstream_added, this);
    return this;
}

void
NoticeUpdates_destroy(NoticeUpdates_t *this)
{
    event_free(this->timer);
    UpstreamSet_setAddedCallback(this->spec.upstreams, NULL, NULL);
    g_array_unref(this->unlisted);
    g_hash_table_destroy(this->pending);
    g_free(this);
}

void
NoticeUpdates_broadcast(NoticeUpdates_t *this, const Upstream_t *upstream)
{
    g_hash_table_add(this->pending,
                     g_memdup2(&upstream->hash, sizeof(upstream->hash)));
    if (!evtimer_pending(this->timer, NULL)) {
        Clock_arm(this->timer, BATCH_DELAY_MS);
    }
}

static void
send_batch(const NoticeUpdates_t *this, Member_t *member, Batch_t *batch)
{
    Wt__NoticeNews body;
    Wt__PeerMessage message;
    make_message(batch, &body, &message);
    Membership_send(this->spec.membership, member, &message);
    batch->count = 0;
}

void
NoticeUpdates_syncPeer(const NoticeUpdates_t *this, Member_t *member)
{
    const GPtrArray *all = UpstreamSet_all(this->spec.upstreams);
    Batch_t batch = {.count = 0};
    for (guint i = 0; i < all->len; i++) {
        const Upstream_t *upstream = g_ptr_array_index(all, i);
        if (upstream->limit.version > 0 || upstream->leaving) {
            add_fact(&batch, upstream);
        }
        if (batch.count == FACTS_PER_MESSAGE_MAX) {
            send_batch(this, member, &batch);
        }
    }
    if (batch.count > 0) {
        send_batch(this, member, &batch);
    }
}

/* A router of another version may send any number. */
static gboolean
is_valid(const Wt__NoticeFact *fact)
{
    return isfinite(fact->per_s) && fact->per_s >= 0 &&
           fact->per_s <= ADVERTISED_LIMIT_MAX_PER_S;
}

static void
store_unlisted_fact(NoticeUpdates_t *this, const ReceivedFact_t *received)
{
    gint64 now_ms = Clock_nowMs();
    for (guint i = this->unlisted->len; i > 0; i--) {
        if (g_array_index(this->unlisted, ReceivedFact_t, i - 1).expires_ms <
            now_ms) {
            g_array_remove_index_fast(this->unlisted, i - 1);
        }
    }
    if (this->unlisted->len < UNLISTED_MAX) {
        g_array_append_val(this->unlisted, *received);
    }
}

void
NoticeUpdates_receive(NoticeUpdates_t *this, const Wt__NoticeNews *message)
{
    for (size_t i = 0; i < message->n_facts; i++) {
        const Wt__NoticeFact *fact = message->facts[i];
        ReceivedFact_t received = {
            .upstream = fact->upstream,
            .incarnation = fact->incarnation,
            .fact = {{fact->is_named, fact->is_named ? fact->per_s : 0,
                      fact->version},
                     fact->leaving},
            .expires_ms = Clock_nowMs() + UNLISTED_TIMEOUT_MS,
        };
        Upstream_t *upstream =
            UpstreamSet_findByHash(this->spec.upstreams, fact->upstream);
        if (!is_valid(fact)) {
            continue;
        }
        if (upstream) {
            apply_fact(this, upstream, &received);
        }
        else {
            store_unlisted_fact(this, &received);
        }
    }
}
