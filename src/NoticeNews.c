#include "NoticeNews.h"

#include <math.h>

#include "Clock.h"

/* News waits so long for more. */
#define TURN_MS 20
/* Facts of one message, some 30 bytes each. */
#define FACTS_OF_A_MESSAGE 64
/* A router that starts hears of upstreams before it has their list: such facts
 * wait so long. */
#define EARLY_MS 10000
#define EARLY_MAX 4096

struct NoticeNews {
    NoticeNewsSpec_t spec;
    GHashTable *waiting; /* set of &hash of upstreams that have news */
    struct event *turn;
    GArray *early; /* News_t about upstreams that are not listed here yet */
};

/* A peer's fact. */
typedef struct {
    guint64 upstream;
    guint64 incarnation;
    NoticeFact_t fact;
    gint64 until_ms; /* kept until then for its upstream to be listed */
} News_t;

typedef struct {
    Wt__NoticeFact facts[FACTS_OF_A_MESSAGE];
    Wt__NoticeFact *list[FACTS_OF_A_MESSAGE];
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
take_waiting(const NoticeNews_t *this, Batch_t *batch)
{
    GHashTableIter iter;
    gpointer hash = NULL;
    g_hash_table_iter_init(&iter, this->waiting);
    while (batch->count < FACTS_OF_A_MESSAGE &&
           g_hash_table_iter_next(&iter, &hash, NULL)) {
        const Upstream_t *upstream =
            UpstreamSet_findHash(this->spec.upstreams, *(guint64 *)hash);
        if (upstream) {
            add_fact(batch, upstream);
        }
        g_hash_table_iter_remove(&iter);
    }
}

static void
on_turn(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    const NoticeNews_t *this = data;
    Batch_t batch = {.count = 0};
    Wt__NoticeNews body;
    Wt__PeerMessage message;
    take_waiting(this, &batch);
    make_message(&batch, &body, &message);
    Membership_sendAll(this->spec.membership, &message);
    if (g_hash_table_size(this->waiting) > 0) {
        Clock_arm(this->turn, TURN_MS);
    }
}

/* An incarnation that is not known here yet voids what is known. */
static void
take_fact(NoticeNews_t *this, Upstream_t *upstream, const News_t *news)
{
    Upstream_noteIncarnation(upstream, news->incarnation, Clock_nowMs());
    if (news->incarnation == upstream->incarnation &&
        this->spec.take(this->spec.owner, upstream, &news->fact) &&
        !Membership_isMesh(this->spec.membership)) {
        NoticeNews_tell(this, upstream);
    }
}

static void
on_added(void *owner, Upstream_t *upstream)
{
    NoticeNews_t *this = owner;
    for (guint i = this->early->len; i > 0; i--) {
        News_t news = g_array_index(this->early, News_t, i - 1);
        if (news.upstream == upstream->hash) {
            g_array_remove_index_fast(this->early, i - 1);
            take_fact(this, upstream, &news);
        }
    }
}

NoticeNews_t *
NoticeNews_create(struct event_base *base, const NoticeNewsSpec_t *spec)
{
    NoticeNews_t *this = g_new0(NoticeNews_t, 1);
    this->spec = *spec;
    this->waiting =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    this->turn = Clock_timer(base, on_turn, this);
    this->early = g_array_new(FALSE, FALSE, sizeof(News_t));
    UpstreamSet_onAdded(spec->upstreams, on_added, this);
    return this;
}

void
NoticeNews_destroy(NoticeNews_t *this)
{
    event_free(this->turn);
    UpstreamSet_onAdded(this->spec.upstreams, NULL, NULL);
    g_array_unref(this->early);
    g_hash_table_destroy(this->waiting);
    g_free(this);
}

void
NoticeNews_tell(NoticeNews_t *this, const Upstream_t *upstream)
{
    g_hash_table_add(this->waiting,
                     g_memdup2(&upstream->hash, sizeof(upstream->hash)));
    if (!evtimer_pending(this->turn, NULL)) {
        Clock_arm(this->turn, TURN_MS);
    }
}

static void
send_batch(const NoticeNews_t *this, Member_t *member, Batch_t *batch)
{
    Wt__NoticeNews body;
    Wt__PeerMessage message;
    make_message(batch, &body, &message);
    Membership_send(this->spec.membership, member, &message);
    batch->count = 0;
}

void
NoticeNews_introduce(const NoticeNews_t *this, Member_t *member)
{
    const GPtrArray *all = UpstreamSet_all(this->spec.upstreams);
    Batch_t batch = {.count = 0};
    for (guint i = 0; i < all->len; i++) {
        const Upstream_t *upstream = g_ptr_array_index(all, i);
        if (upstream->limit.version > 0 || upstream->leaving) {
            add_fact(&batch, upstream);
        }
        if (batch.count == FACTS_OF_A_MESSAGE) {
            send_batch(this, member, &batch);
        }
    }
    if (batch.count > 0) {
        send_batch(this, member, &batch);
    }
}

/* A router of another build may say anything. */
static gboolean
is_sound(const Wt__NoticeFact *fact)
{
    return isfinite(fact->per_s) && fact->per_s >= 0 &&
           fact->per_s <= ADVERTISED_LIMIT_MAX_PER_S;
}

static void
keep_early(NoticeNews_t *this, const News_t *news)
{
    gint64 now_ms = Clock_nowMs();
    for (guint i = this->early->len; i > 0; i--) {
        if (g_array_index(this->early, News_t, i - 1).until_ms < now_ms) {
            g_array_remove_index_fast(this->early, i - 1);
        }
    }
    if (this->early->len < EARLY_MAX) {
        g_array_append_val(this->early, *news);
    }
}

/* Where all are linked with all, everyone has it from its source. */
void
NoticeNews_take(NoticeNews_t *this, const Wt__NoticeNews *message)
{
    for (size_t i = 0; i < message->n_facts; i++) {
        const Wt__NoticeFact *fact = message->facts[i];
        News_t news = {
            .upstream = fact->upstream,
            .incarnation = fact->incarnation,
            .fact = {{fact->is_named, fact->is_named ? fact->per_s : 0,
                      fact->version},
                     fact->leaving},
            .until_ms = Clock_nowMs() + EARLY_MS,
        };
        Upstream_t *upstream =
            UpstreamSet_findHash(this->spec.upstreams, fact->upstream);
        if (!is_sound(fact)) {
            continue;
        }
        if (upstream) {
            take_fact(this, upstream, &news);
        }
        else {
            keep_early(this, &news);
        }
    }
}
