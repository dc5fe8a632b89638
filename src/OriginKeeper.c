#include "OriginKeeper.h"

#include <string.h>

#include "Clock.h"

/* Owners are told again of streams that still run, as they may have restarted
 * or others may have become owners. */
#define TELL_AGAIN_MS 2000
/* Streams in one datagram: 60 bytes each. */
#define STREAMS_PER_MESSAGE 16
/* How long a stream that was sent whole stays in the record: its end may have
 * been lost on the way to the caller. */
#define RECORD_WHOLE_MS 3000

struct OriginKeeper {
    OriginKeeperSpec_t spec;
    StreamOrigins_t *origins;
    OriginLinks_t links;
    OriginFacts_t *facts;
    OriginQueries_t *queries;
};

/* Streams for one owner that are not sent yet. */
typedef struct {
    GPtrArray *entries; /* StreamOrigin_t */
} Batch_t;

/* Streams to tell owners of. */
typedef struct {
    OriginKeeper_t *keeper;
    const char *service; /* NULL for all */
    GPtrArray *targets;  /* services, if @service is a route */
    gint64 now_ms;
    guint live;          /* streams among them that run here */
    GHashTable *batches; /* &router -> Batch_t */
} Telling_t;

static void
free_batch(gpointer data)
{
    Batch_t *batch = data;
    g_ptr_array_unref(batch->entries);
    g_free(batch);
}

static void
fill_origin(Wt__StreamOrigin *out, const StreamOrigin_t *entry, gint64 now_ms)
{
    out->digest.data = (guint8 *)entry->digest.bytes;
    out->digest.len = sizeof(entry->digest.bytes);
    out->service = entry->service;
    out->software = entry->software;
    out->left_ms = (guint32)MAX(entry->expires_ms - now_ms, 0);
}

static void
send_origins(const OriginKeeper_t *this, guint64 router,
             const GPtrArray *entries, gint64 now_ms)
{
    for (guint from = 0; from < entries->len; from += STREAMS_PER_MESSAGE) {
        Wt__StreamOrigin origins[STREAMS_PER_MESSAGE];
        Wt__StreamOrigin *pointers[STREAMS_PER_MESSAGE];
        Wt__OriginNews news = WT__ORIGIN_NEWS__INIT;
        Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
        news.n_origins = MIN(entries->len - from, STREAMS_PER_MESSAGE);
        news.origins = pointers;
        for (guint i = 0; i < news.n_origins; i++) {
            wt__stream_origin__init(&origins[i]);
            fill_origin(&origins[i], g_ptr_array_index(entries, from + i),
                        now_ms);
            pointers[i] = &origins[i];
        }
        message.body_case = WT__PEER_MESSAGE__BODY_ORIGIN_NEWS;
        message.origin_news = &news;
        OriginLinks_send(&this->links, router, &message);
    }
}

static Batch_t *
get_batch(const Telling_t *telling, guint64 router)
{
    Batch_t *batch = g_hash_table_lookup(telling->batches, &router);
    if (!batch) {
        batch = g_new0(Batch_t, 1);
        batch->entries = g_ptr_array_new();
        g_hash_table_insert(telling->batches,
                            g_memdup2(&router, sizeof(router)), batch);
    }
    return batch;
}

static void
add_to_batches(const Telling_t *telling, StreamOrigin_t *entry)
{
    const OriginKeeper_t *keeper = telling->keeper;
    guint64 owners[ORIGIN_OWNERS];
    guint others = OriginLinks_findOthers(&keeper->links, &entry->digest,
                                          owners, ORIGIN_OWNERS);
    for (guint i = 0; i < others; i++) {
        g_ptr_array_add(get_batch(telling, owners[i])->entries, entry);
    }
    entry->is_told = TRUE;
    entry->is_recorded = TRUE;
    entry->renewed_ms = telling->now_ms;
    Counters_add(keeper->links.counters, "origins_told_total", NULL, 1);
}

static Telling_t
begin_telling(OriginKeeper_t *this, const char *service)
{
    return (Telling_t){
        .keeper = this,
        .service = service,
        .now_ms = Clock_nowMs(),
        .batches = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                         free_batch),
    };
}

static void
finish_telling(const Telling_t *telling)
{
    GHashTableIter iter;
    gpointer router = NULL;
    gpointer batch = NULL;
    g_hash_table_iter_init(&iter, telling->batches);
    while (g_hash_table_iter_next(&iter, &router, &batch)) {
        send_origins(telling->keeper, *(guint64 *)router,
                     ((Batch_t *)batch)->entries, telling->now_ms);
    }
    g_hash_table_destroy(telling->batches);
}

static gboolean
is_telling_of(const Telling_t *telling, const char *service)
{
    return strcmp(service, telling->service) == 0 ||
           g_ptr_array_find_with_equal_func(telling->targets, service,
                                            g_str_equal, NULL);
}

static void
tell_if_untold(void *owner, StreamOrigin_t *entry)
{
    const Telling_t *telling = owner;
    if (entry->is_own && !entry->is_told &&
        is_telling_of(telling, entry->service)) {
        add_to_batches(telling, entry);
    }
}

static void
schedule_tick(const OriginKeeper_t *this, gint64 in_ms)
{
    this->spec.links->schedule_tick(this->spec.owner, in_ms);
}

static void
record(const OriginKeeper_t *this)
{
    this->spec.links->record(this->spec.owner);
}

/* The streams that began while a service had one version, or a route had one
 * service, are told once it gets another one. */
static void
on_mixed(void *owner, const char *service)
{
    OriginKeeper_t *this = owner;
    Telling_t telling = begin_telling(this, service);
    g_autoptr(GPtrArray) targets = SoftwareVersions_listServing(
        this->spec.versions, service, this->spec.window_ms, telling.now_ms);
    telling.targets = targets;
    StreamOrigins_forEach(this->origins, tell_if_untold, &telling);
    finish_telling(&telling);
    record(this);
    schedule_tick(this, TELL_AGAIN_MS);
}

static void
tell_again_if_live(void *owner, StreamOrigin_t *entry)
{
    Telling_t *telling = owner;
    if (!entry->is_live || !entry->is_told) {
        return;
    }
    telling->live++;
    if (telling->now_ms - entry->renewed_ms >= TELL_AGAIN_MS) {
        entry->expires_ms = telling->now_ms + telling->keeper->spec.window_ms;
        add_to_batches(telling, entry);
    }
}

static void
tell_again(OriginKeeper_t *this)
{
    Telling_t telling = begin_telling(this, NULL);
    StreamOrigins_forEach(this->origins, tell_again_if_live, &telling);
    finish_telling(&telling);
    if (telling.live > 0) {
        schedule_tick(this, TELL_AGAIN_MS);
    }
}

OriginKeeper_t *
OriginKeeper_create(const OriginKeeperSpec_t *spec)
{
    OriginKeeper_t *this = g_new0(OriginKeeper_t, 1);
    this->spec = *spec;
    this->origins = StreamOrigins_create(STREAM_ORIGINS_MAX);
    this->links = (OriginLinks_t){spec->links, spec->owner, spec->counters};
    OriginFactsSpec_t facts = {
        .links = &this->links,
        .origins = this->origins,
        .versions = spec->versions,
        .gate = spec->gate,
        .window_ms = spec->window_ms,
    };
    this->facts = OriginFacts_create(&facts);
    this->queries = OriginQueries_create(&this->links, this->facts);
    SoftwareVersions_addMixedCallback(spec->versions, on_mixed, this);
    return this;
}

void
OriginKeeper_destroy(OriginKeeper_t *this)
{
    OriginQueries_destroy(this->queries);
    OriginFacts_destroy(this->facts);
    StreamOrigins_destroy(this->origins);
    g_free(this);
}

void
OriginKeeper_setWindow(OriginKeeper_t *this, gint64 window_ms)
{
    this->spec.window_ms = window_ms;
    OriginFacts_setWindow(this->facts, window_ms);
}

const char *
OriginKeeper_findOnly(const OriginKeeper_t *this, const char *service)
{
    return OriginFacts_findOnly(this->facts, service);
}

/* The versions that joined are stated once the records were read. */
const char *
OriginKeeper_findHeld(const OriginKeeper_t *this, const char *service,
                      gboolean has_unknown)
{
    const char *held = this->spec.gate
                           ? VersionGate_findHeld(this->spec.gate, service,
                                                  has_unknown, Clock_nowMs())
                           : NULL;
    if (held) {
        record(this);
    }
    return held;
}

void
OriginKeeper_noteUnstated(const OriginKeeper_t *this, const char *service)
{
    VersionGate_noteUnstated(this->spec.gate, service, Clock_nowMs());
}

/* The stream is recorded as soon as another version joins if the records were
 * read before. */
void
OriginKeeper_begin(OriginKeeper_t *this, const RequestDigest_t *digest,
                   const char *service, const char *software,
                   gboolean may_change)
{
    gint64 now_ms = Clock_nowMs();
    StreamOrigin_t *entry =
        StreamOrigins_put(this->origins, digest, service, software,
                          now_ms + this->spec.window_ms, now_ms);
    entry->is_own = TRUE;
    entry->is_live = TRUE;
    entry->is_restored = FALSE;
    if (this->spec.gate) {
        VersionGate_noteBegun(this->spec.gate, service, software, now_ms);
    }
    const char *only = OriginKeeper_findOnly(this, service);
    OriginFacts_learn(this->facts, FALSE);
    if (!may_change && only && strcmp(only, software) == 0) {
        return;
    }
    Telling_t telling = begin_telling(this, service);
    add_to_batches(&telling, entry);
    finish_telling(&telling);
    record(this);
    schedule_tick(this, TELL_AGAIN_MS);
}

/* The caller of a whole stream may have lost its end on the way, but nobody
 * could tell another router of it while there is one version. */
void
OriginKeeper_end(OriginKeeper_t *this, const RequestDigest_t *digest,
                 gboolean is_whole)
{
    gint64 now_ms = Clock_nowMs();
    StreamOrigin_t *entry = StreamOrigins_find(this->origins, digest, now_ms);
    if (!entry || !entry->is_live) {
        return;
    }
    entry->is_live = FALSE;
    entry->expires_ms = now_ms + this->spec.window_ms;
    entry->record_end_ms =
        is_whole ? now_ms + RECORD_WHOLE_MS : entry->expires_ms;
    if (is_whole && !entry->is_told) {
        StreamOrigins_remove(this->origins, digest);
    }
}

/* Streams of others leave half of the table to those of this router. */
static gboolean
has_room(const OriginKeeper_t *this, gboolean is_own)
{
    guint max = is_own ? STREAM_ORIGINS_MAX : STREAM_ORIGINS_MAX / 2;
    return StreamOrigins_count(this->origins) < max;
}

gboolean
OriginKeeper_restore(OriginKeeper_t *this, const RequestDigest_t *digest,
                     const char *service, const char *software,
                     gboolean is_own)
{
    gint64 now_ms = Clock_nowMs();
    gint64 expires_ms = now_ms + this->spec.window_ms;
    gboolean is_known =
        StreamOrigins_find(this->origins, digest, now_ms) != NULL;
    if (!is_known && !has_room(this, is_own)) {
        return FALSE;
    }
    StreamOrigin_t *entry = StreamOrigins_put(this->origins, digest, service,
                                              software, expires_ms, now_ms);
    entry->is_restored = entry->is_restored || !is_known;
    if (is_own) {
        entry->is_recorded = TRUE;
        entry->record_end_ms = MAX(entry->record_end_ms, expires_ms);
    }
    return TRUE;
}

void
OriginKeeper_finishRestore(OriginKeeper_t *this)
{
    OriginFacts_finishRestore(this->facts);
    schedule_tick(this, 0);
}

typedef struct {
    void (*call)(void *owner, StreamOrigin_t *entry);
    void *owner;
    gint64 now_ms;
} RecordedCall_t;

static void
call_if_recorded(void *owner, StreamOrigin_t *entry)
{
    const RecordedCall_t *recorded = owner;
    if (entry->is_recorded &&
        (entry->is_live || recorded->now_ms < entry->record_end_ms)) {
        recorded->call(recorded->owner, entry);
    }
}

void
OriginKeeper_forEachRecorded(const OriginKeeper_t *this,
                             void (*call)(void *owner, StreamOrigin_t *entry),
                             void *owner)
{
    RecordedCall_t recorded = {call, owner, Clock_nowMs()};
    StreamOrigins_forEach(this->origins, call_if_recorded, &recorded);
}

OriginQuery_t *
OriginKeeper_ask(OriginKeeper_t *this, const RequestDigest_t *digest,
                 const char *service, gboolean may_change, OriginAnswer_t *out,
                 OriginAsked_t done, void *owner)
{
    return OriginQueries_ask(this->queries, digest, service, may_change, out,
                             done, owner);
}

void
OriginKeeper_cancel(OriginKeeper_t *this, OriginQuery_t *query)
{
    OriginQueries_cancel(this->queries, query);
}

static void
receive_origin(OriginKeeper_t *this, const Wt__StreamOrigin *origin)
{
    RequestDigest_t digest;
    gint64 now_ms = Clock_nowMs();
    gint64 left_ms = MIN((gint64)origin->left_ms, this->spec.window_ms);
    gboolean is_valid =
        OriginLinks_readDigest(&origin->digest, &digest) &&
        OriginLinks_isName(origin->service) &&
        (*origin->software == '\0' || OriginLinks_isName(origin->software));
    if (!is_valid || left_ms == 0) {
        return;
    }
    StreamOrigins_put(this->origins, &digest, origin->service,
                      origin->software, now_ms + left_ms, now_ms);
}

static void
receive_news(OriginKeeper_t *this, const Wt__OriginNews *news)
{
    for (gsize i = 0; i < news->n_origins; i++) {
        receive_origin(this, news->origins[i]);
    }
}

static void
receive_query(const OriginKeeper_t *this, const Wt__OriginAsk *ask,
              guint64 from)
{
    RequestDigest_t digest;
    if (!OriginLinks_readDigest(&ask->digest, &digest) ||
        !OriginLinks_isName(ask->service)) {
        return;
    }
    Wt__OriginAnswer answer = WT__ORIGIN_ANSWER__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    const StreamOrigin_t *entry =
        StreamOrigins_find(this->origins, &digest, Clock_nowMs());
    const char *only =
        entry ? NULL : OriginFacts_findOnlyForPeer(this->facts, ask->service);
    answer.ticket = ask->ticket;
    if (entry) {
        answer.verdict = WT__ORIGIN_VERDICT__ORIGIN_KNOWN;
        answer.service = entry->service;
        answer.software = entry->software;
    }
    else if (only) {
        answer.verdict = WT__ORIGIN_VERDICT__ORIGIN_ONLY_VERSION;
        answer.software = (char *)only;
    }
    else if (OriginFacts_hasSeveral(this->facts, ask->service)) {
        answer.verdict = WT__ORIGIN_VERDICT__ORIGIN_SEVERAL_VERSIONS;
    }
    if (!entry && OriginFacts_wouldKnow(this->facts, ask->service)) {
        answer.process = OriginFacts_process(this->facts);
    }
    message.body_case = WT__PEER_MESSAGE__BODY_ORIGIN_ANSWER;
    message.origin_answer = &answer;
    OriginLinks_send(&this->links, from, &message);
}

void
OriginKeeper_receive(OriginKeeper_t *this, const Wt__PeerMessage *message,
                     guint64 from)
{
    if (message->body_case == WT__PEER_MESSAGE__BODY_ORIGIN_NEWS) {
        receive_news(this, message->origin_news);
    }
    else if (message->body_case == WT__PEER_MESSAGE__BODY_ORIGIN_ASK) {
        receive_query(this, message->origin_ask, from);
    }
    else if (message->body_case == WT__PEER_MESSAGE__BODY_ORIGIN_ANSWER) {
        OriginQueries_receive(this->queries, message->origin_answer, from);
    }
}

void
OriginKeeper_tick(OriginKeeper_t *this)
{
    OriginQueries_tick(this->queries);
    tell_again(this);
}

guint
OriginKeeper_count(const OriginKeeper_t *this)
{
    return StreamOrigins_count(this->origins);
}
