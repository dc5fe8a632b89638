#include "OriginKeeper.h"

#include <string.h>

#include "Clock.h"
#include "Log.h"

/* A lost datagram is sent again once within ORIGIN_ASK_TIMEOUT_MS. */
#define ASK_REPEAT_MS 80
/* Interval at which queries are checked until the store was read. */
#define LEARN_CHECK_MS 10
/* Interval at which other queries are checked for routers that have joined. */
#define JOIN_CHECK_MS 50
/* How long a query waits for the end of the list: until the router that reads
 * for the others has read again. */
#define LIST_TIMEOUT_MS 1000
/* Routers that are asked if no reachable router can read the list, of which
 * most must agree: owners and those ranked next. */
#define WITNESSES 8
/* Owners are told again of streams that still run, as they may have restarted
 * or others may have become owners. */
#define TELL_AGAIN_MS 2000
/* Streams in one datagram: 60 bytes each. */
#define STREAMS_PER_MESSAGE 16
/* How long a stream that was sent whole stays in the record: its end may have
 * been lost on the way to the caller. */
#define RECORD_WHOLE_MS 3000
/* Longest name of a service or version that is accepted, in bytes. */
#define NAME_MAX_BYTES 255

struct OriginQuery {
    guint64 ticket;
    RequestDigest_t digest;
    GRefString *service;
    gboolean may_change;
    AskedRouters_t *asked; /* owners and witnesses, or all */
    guint owners_max;
    gboolean asks_all;    /* the stream may have begun at the base */
    GArray *processes;    /* guint64, that would know the stream */
    GRefString *only;     /* version that routers take for the only one */
    guint votes;          /* routers that do */
    gboolean is_disputed; /* others know of another version */
    gint64 send_ms;       /* when it is sent first */
    gint64 asked_ms;
    gint64 expires_ms;
    gboolean has_waited; /* the list no longer matters */
    OriginAsked_t done;
    void *owner;
};

struct OriginKeeper {
    OriginKeeperSpec_t spec;
    StreamOrigins_t *origins;
    GHashTable *queries; /* &ticket -> OriginQuery_t */
    guint64 ticket;
    AskedRouter_t known[ORIGIN_ROUTERS_MAX]; /* at the last tick */
    guint known_count;
    gboolean is_restored;
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
free_query(gpointer data)
{
    OriginQuery_t *query = data;
    g_ref_string_release(query->service);
    AskedRouters_destroy(query->asked);
    g_array_unref(query->processes);
    if (query->only) {
        g_ref_string_release(query->only);
    }
    g_free(query);
}

static void
free_batch(gpointer data)
{
    Batch_t *batch = data;
    g_ptr_array_unref(batch->entries);
    g_free(batch);
}

const char *
OriginSource_name(OriginSource_t source)
{
    static const char *const names[] = {
        [ORIGIN_FROM_NOBODY] = "nobody", [ORIGIN_FROM_HERE] = "here",
        [ORIGIN_FROM_STORE] = "store",   [ORIGIN_FROM_OWNER] = "owner",
        [ORIGIN_FROM_LIST] = "list",     [ORIGIN_FROM_BASE] = "base",
    };
    return names[source];
}

static void
count(const OriginKeeper_t *this, const char *counter, guint64 more)
{
    Counters_add(this->spec.counters, counter, NULL, more);
}

static void
send_message(const OriginKeeper_t *this, guint64 router,
             const Wt__PeerMessage *message)
{
    this->spec.links->send(this->spec.owner, router, message);
}

static guint
find_others(const OriginKeeper_t *this, const RequestDigest_t *digest,
            guint64 *out, guint max)
{
    guint64 owners[WITNESSES];
    guint others = 0;
    guint found =
        this->spec.links->find_owners(this->spec.owner, digest, owners, max);
    for (guint i = 0; i < found; i++) {
        if (owners[i] != ORIGIN_SELF) {
            out[others++] = owners[i];
        }
    }
    return others;
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
        send_message(this, router, &message);
        count(this, "origin_messages_total", 1);
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
    guint others = find_others(keeper, &entry->digest, owners, ORIGIN_OWNERS);
    for (guint i = 0; i < others; i++) {
        g_ptr_array_add(get_batch(telling, owners[i])->entries, entry);
    }
    entry->is_told = TRUE;
    entry->is_recorded = TRUE;
    entry->renewed_ms = telling->now_ms;
    count(keeper, "origins_told_total", 1);
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
    this->queries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_query);
    SoftwareVersions_addMixedCallback(spec->versions, on_mixed, this);
    return this;
}

void
OriginKeeper_destroy(OriginKeeper_t *this)
{
    g_hash_table_destroy(this->queries);
    StreamOrigins_destroy(this->origins);
    g_free(this);
}

void
OriginKeeper_setWindow(OriginKeeper_t *this, gint64 window_ms)
{
    this->spec.window_ms = window_ms;
}

static const char *
find_listed_only(const OriginKeeper_t *this, const char *service)
{
    return SoftwareVersions_findOnly(this->spec.versions, service,
                                     this->spec.window_ms, Clock_nowMs());
}

static gint64
list_ms(const OriginKeeper_t *this)
{
    return this->spec.links->list_ms(this->spec.owner);
}

/* With an old list another version may serve already. */
const char *
OriginKeeper_findOnly(const OriginKeeper_t *this, const char *service)
{
    return this->spec.links->is_list_current(this->spec.owner)
               ? find_listed_only(this, service)
               : NULL;
}

static gboolean
is_learned(const OriginKeeper_t *this)
{
    return this->is_restored &&
           SoftwareVersions_isLearned(this->spec.versions);
}

static void
learn(const OriginKeeper_t *this, gboolean is_urgent)
{
    if (!is_learned(this)) {
        this->spec.links->learn(this->spec.owner, is_urgent);
    }
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
    const char *only = OriginKeeper_findOnly(this, service);
    if (!may_change && only && strcmp(only, software) == 0) {
        return;
    }
    learn(this, FALSE);
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
    this->is_restored = TRUE;
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

static void
send_query(const OriginKeeper_t *this, const OriginQuery_t *query,
           gint64 now_ms)
{
    guint64 due[ASKED_ROUTERS_MAX];
    Wt__OriginAsk ask = WT__ORIGIN_ASK__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    ask.ticket = query->ticket;
    ask.digest.data = (guint8 *)query->digest.bytes;
    ask.digest.len = sizeof(query->digest.bytes);
    ask.service = query->service;
    message.body_case = WT__PEER_MESSAGE__BODY_ORIGIN_ASK;
    message.origin_ask = &ask;
    guint count_due = AskedRouters_takeDue(query->asked, now_ms, due);
    for (guint i = 0; i < count_due; i++) {
        send_message(this, due[i], &message);
        count(this, "origin_messages_total", 1);
    }
}

static gboolean
fill_known(const OriginKeeper_t *this, const RequestDigest_t *digest,
           gint64 now_ms, OriginAnswer_t *out)
{
    const StreamOrigin_t *entry =
        StreamOrigins_find(this->origins, digest, now_ms);
    if (!entry) {
        return FALSE;
    }
    out->source = entry->is_restored ? ORIGIN_FROM_STORE : ORIGIN_FROM_HERE;
    out->service = entry->service;
    out->software = entry->software;
    out->age_ms = now_ms - entry->renewed_ms;
    return TRUE;
}

/* The only version that the list of this router shows, whether or not another
 * one may have served before this router started. */
static const char *
find_sole(const OriginKeeper_t *this, const char *service)
{
    return SoftwareVersions_findSole(this->spec.versions, service,
                                     this->spec.window_ms, Clock_nowMs());
}

/* A stream begins at a version only after that was listed, so that a list that
 * was read later than the caller came shows the version. */
static gboolean
is_list_later(const OriginKeeper_t *this, const OriginQuery_t *query)
{
    return list_ms(this) >= query->asked_ms;
}

/* Returns whether the list may still name a single version. */
static gboolean
awaits_list(const OriginKeeper_t *this, const OriginQuery_t *query)
{
    return !query->may_change && !is_list_later(this, query) &&
           find_sole(this, query->service);
}

/* Whether this process would know a stream that it had begun at another
 * version than the base. */
static gboolean
would_know(const OriginKeeper_t *this, const char *service)
{
    gint64 now_ms = Clock_nowMs();
    return this->spec.gate &&
           StreamOrigins_isComplete(this->origins, now_ms) &&
           VersionGate_isFresh(this->spec.gate, service, now_ms);
}

static const char *
find_base(const OriginKeeper_t *this, const OriginQuery_t *query)
{
    gboolean is_read = query->asks_all && is_learned(this) &&
                       VersionGate_readMs(this->spec.gate) >= query->asked_ms;
    return is_read && would_know(this, query->service)
               ? VersionGate_findBase(this->spec.gate, query->service,
                                      query->processes)
               : NULL;
}

static gboolean
agree_others(const OriginQuery_t *query, const char *sole)
{
    return query->only && sole && !query->is_disputed &&
           strcmp(query->only, sole) == 0;
}

/* A router that began a stream at a newer version, which another part of the
 * routers may have read before the store was lost, can be reached by most
 * routers, or the asker can. */
static gboolean
agree_most(const OriginQuery_t *query, const char *sole)
{
    guint asked = AskedRouters_count(query->asked);
    return query->votes > 0 && 2 * (query->votes + 1) > asked + 1 &&
           agree_others(query, sole);
}

static const char *
find_only(const OriginKeeper_t *this, const OriginQuery_t *query)
{
    if (query->may_change) {
        return NULL;
    }
    const char *sole = find_sole(this, query->service);
    if (!is_list_later(this, query)) {
        return agree_most(query, sole) ? sole : NULL;
    }
    const char *only = find_listed_only(this, query->service);
    return only || !agree_others(query, sole) ? only : sole;
}

/* No owner knows the stream: it was not told, or all that were told of it have
 * restarted. It may have been restored since the query began. */
static void
fill_unknown(const OriginKeeper_t *this, const OriginQuery_t *query,
             OriginAnswer_t *out)
{
    *out = (OriginAnswer_t){
        .replies = AskedRouters_countReplies(query->asked),
    };
    if (fill_known(this, &query->digest, Clock_nowMs(), out)) {
        return;
    }
    const char *only = find_only(this, query);
    if (only) {
        out->source = ORIGIN_FROM_LIST;
        out->service = query->service;
        out->software = only;
        return;
    }
    const char *base = find_base(this, query);
    if (base) {
        out->source = ORIGIN_FROM_BASE;
        out->service = query->service;
        out->software = base;
    }
}

static gboolean
is_store_lost(const OriginKeeper_t *this)
{
    return this->spec.links->is_store_lost(this->spec.owner);
}

/* Nobody else is left to be asked. */
static gboolean
is_exhausted(const OriginKeeper_t *this, const OriginQuery_t *query)
{
    if (!is_learned(this)) {
        return FALSE;
    }
    if (!query->may_change && is_list_later(this, query) &&
        find_listed_only(this, query->service)) {
        return TRUE;
    }
    gboolean is_open = AskedRouters_countOpen(query->asked) > 0;
    if (query->asks_all) {
        return !is_open && find_base(this, query);
    }
    return !is_open && (!awaits_list(this, query) || is_store_lost(this));
}

/* Owners that were not asked yet, as the list might have sufficed, are asked
 * once it does not. */
static void
end_list_wait(OriginQuery_t *query, gint64 now_ms)
{
    query->has_waited = TRUE;
    if (query->asks_all) {
        return;
    }
    query->expires_ms = MIN(query->expires_ms, now_ms + ORIGIN_ASK_TIMEOUT_MS);
    query->send_ms = MIN(query->send_ms, now_ms);
    AskedRouters_hurry(query->asked, now_ms);
}

static void
send_if_due(const OriginKeeper_t *this, OriginQuery_t *query, gint64 now_ms)
{
    if (!query->has_waited &&
        (!awaits_list(this, query) || is_store_lost(this))) {
        end_list_wait(query, now_ms);
    }
    if (now_ms >= AskedRouters_dueMs(query->asked)) {
        send_query(this, query, now_ms);
    }
}

static void
schedule_query(const OriginKeeper_t *this, const OriginQuery_t *query,
               gint64 now_ms)
{
    gint64 due_ms = MIN(AskedRouters_dueMs(query->asked), query->expires_ms);
    gboolean is_waiting =
        !is_learned(this) || awaits_list(this, query) || query->asks_all;
    gint64 check_ms = is_waiting ? LEARN_CHECK_MS : JOIN_CHECK_MS;
    schedule_tick(this, MIN(due_ms - now_ms, check_ms));
}

/* Returns whether one of them was not asked yet. */
static gboolean
ask_owners(const OriginKeeper_t *this, const OriginQuery_t *query,
           gint64 now_ms)
{
    guint64 owners[WITNESSES];
    gboolean has_new = FALSE;
    guint found = find_others(this, &query->digest, owners, query->owners_max);
    for (guint i = 0; i < found; i++) {
        AskedRouter_t owner = {.router = owners[i]};
        has_new |= AskedRouters_add(query->asked, &owner,
                                    MAX(query->send_ms, now_ms));
    }
    return has_new;
}

/* While the list names a single version owners are asked only if its end is
 * not known soon. */
static OriginQuery_t *
create_query(OriginKeeper_t *this, const RequestDigest_t *digest,
             const char *service, gboolean may_change)
{
    OriginQuery_t *query = g_new0(OriginQuery_t, 1);
    gint64 now_ms = Clock_nowMs();
    query->digest = *digest;
    query->service = g_ref_string_new_intern(service);
    query->may_change = may_change;
    query->processes = g_array_new(FALSE, FALSE, sizeof(guint64));
    gboolean is_sole = !may_change && find_sole(this, service);
    query->owners_max = is_sole ? WITNESSES : ORIGIN_OWNERS;
    query->asked = AskedRouters_create(ASK_REPEAT_MS);
    query->asked_ms = now_ms;
    gboolean is_sure = !may_change && OriginKeeper_findOnly(this, service);
    query->expires_ms = now_ms + LIST_TIMEOUT_MS;
    query->send_ms =
        is_sure ? query->expires_ms - ORIGIN_ASK_TIMEOUT_MS : now_ms;
    ask_owners(this, query, now_ms);
    return query;
}

static void
check_list(const OriginKeeper_t *this, const OriginQuery_t *query)
{
    if (awaits_list(this, query)) {
        this->spec.links->check_list(this->spec.owner);
    }
}

static gboolean
may_be_base(const OriginKeeper_t *this, const OriginQuery_t *query)
{
    return this->spec.gate && !query->may_change &&
           SoftwareVersions_findBase(this->spec.versions, query->service) &&
           !find_sole(this, query->service);
}

static void
add_own_process(const OriginKeeper_t *this, const OriginQuery_t *query)
{
    guint64 process = VersionGate_process(this->spec.gate);
    g_array_append_val(query->processes, process);
}

static guint
find_all(const OriginKeeper_t *this, AskedRouter_t *out)
{
    return this->spec.links->find_all(this->spec.owner, out,
                                      ORIGIN_ROUTERS_MAX);
}

/* A router that has started again may have voted already, which must not count
 * twice. Returns whether one was not asked yet. */
static gboolean
ask_each(OriginQuery_t *query, const AskedRouter_t *routers, guint count,
         gint64 now_ms)
{
    guint before = AskedRouters_count(query->asked);
    guint added = 0;
    for (guint i = 0; i < count; i++) {
        added += AskedRouters_add(query->asked, &routers[i], now_ms) ? 1 : 0;
    }
    if (added > AskedRouters_count(query->asked) - before) {
        query->is_disputed = TRUE;
    }
    return added > 0;
}

/* The owners are asked again with the others: each of them tells whether it
 * would know the stream. */
static void
ask_all(const OriginKeeper_t *this, OriginQuery_t *query, gint64 now_ms)
{
    AskedRouter_t all[ORIGIN_ROUTERS_MAX];
    guint found = find_all(this, all);
    if (found > ORIGIN_ROUTERS_MAX) {
        return;
    }
    AskedRouters_clear(query->asked);
    query->asks_all = TRUE;
    query->send_ms = now_ms;
    query->expires_ms = now_ms + ORIGIN_ASK_ALL_TIMEOUT_MS;
    ask_each(query, all, found, now_ms);
    add_own_process(this, query);
}

/* Until the records of versions were read the base may not be known. */
static void
check_base(const OriginKeeper_t *this, OriginQuery_t *query, gint64 now_ms)
{
    if (!query->asks_all && may_be_base(this, query)) {
        ask_all(this, query, now_ms);
    }
    if (query->asks_all &&
        VersionGate_readMs(this->spec.gate) < query->asked_ms) {
        this->spec.links->read_records(this->spec.owner);
    }
}

OriginQuery_t *
OriginKeeper_ask(OriginKeeper_t *this, const RequestDigest_t *digest,
                 const char *service, gboolean may_change, OriginAnswer_t *out,
                 OriginAsked_t done, void *owner)
{
    *out = (OriginAnswer_t){.source = ORIGIN_FROM_NOBODY};
    if (fill_known(this, digest, Clock_nowMs(), out)) {
        return NULL;
    }
    OriginQuery_t *query = create_query(this, digest, service, may_change);
    check_base(this, query, query->asked_ms);
    if (is_exhausted(this, query)) {
        fill_unknown(this, query, out);
        out->service = out->service ? service : NULL;
        free_query(query);
        return NULL;
    }
    query->done = done;
    query->owner = owner;
    learn(this, TRUE);
    query->ticket = ++this->ticket;
    g_hash_table_insert(this->queries, &query->ticket, query);
    check_list(this, query);
    send_if_due(this, query, query->asked_ms);
    schedule_query(this, query, query->asked_ms);
    return query;
}

void
OriginKeeper_cancel(OriginKeeper_t *this, OriginQuery_t *query)
{
    g_hash_table_remove(this->queries, &query->ticket);
}

/* Removes the query before the call, which may ask again. */
static void
finish_query(OriginKeeper_t *this, OriginQuery_t *query,
             const OriginAnswer_t *answer)
{
    g_hash_table_steal(this->queries, &query->ticket);
    query->done(query->owner, answer);
    free_query(query);
}

static void
finish_unknown(OriginKeeper_t *this, OriginQuery_t *query)
{
    OriginAnswer_t answer;
    fill_unknown(this, query, &answer);
    finish_query(this, query, &answer);
}

static gboolean
is_valid_name(const char *name)
{
    return *name != '\0' && strlen(name) <= NAME_MAX_BYTES;
}

static gboolean
read_digest(const ProtobufCBinaryData *bytes, RequestDigest_t *out)
{
    if (bytes->len != sizeof(out->bytes)) {
        return FALSE;
    }
    memcpy(out->bytes, bytes->data, sizeof(out->bytes));
    return TRUE;
}

static void
receive_origin(OriginKeeper_t *this, const Wt__StreamOrigin *origin)
{
    RequestDigest_t digest;
    gint64 now_ms = Clock_nowMs();
    gint64 left_ms = MIN((gint64)origin->left_ms, this->spec.window_ms);
    gboolean is_valid = read_digest(&origin->digest, &digest) &&
                        is_valid_name(origin->service) &&
                        strlen(origin->software) <= NAME_MAX_BYTES;
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

/* What an old list shows counts only while nobody reads a newer one. */
static const char *
find_only_for_peer(const OriginKeeper_t *this, const char *service)
{
    return is_store_lost(this) ? find_listed_only(this, service)
                               : OriginKeeper_findOnly(this, service);
}

static gboolean
has_several(const OriginKeeper_t *this, const char *service)
{
    g_autoptr(GPtrArray) serving = SoftwareVersions_listServing(
        this->spec.versions, service, this->spec.window_ms, Clock_nowMs());
    return serving->len > 1;
}

static void
receive_query(const OriginKeeper_t *this, const Wt__OriginAsk *ask,
              guint64 from)
{
    RequestDigest_t digest;
    if (!read_digest(&ask->digest, &digest) || !is_valid_name(ask->service)) {
        return;
    }
    Wt__OriginAnswer answer = WT__ORIGIN_ANSWER__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    const StreamOrigin_t *entry =
        StreamOrigins_find(this->origins, &digest, Clock_nowMs());
    const char *only = entry ? NULL : find_only_for_peer(this, ask->service);
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
    else if (has_several(this, ask->service)) {
        answer.verdict = WT__ORIGIN_VERDICT__ORIGIN_SEVERAL_VERSIONS;
    }
    if (!entry && would_know(this, ask->service)) {
        answer.process = VersionGate_process(this->spec.gate);
    }
    message.body_case = WT__PEER_MESSAGE__BODY_ORIGIN_ANSWER;
    message.origin_answer = &answer;
    send_message(this, from, &message);
    count(this, "origin_messages_total", 1);
}

static void
note_only(OriginQuery_t *query, const Wt__OriginAnswer *answer)
{
    const char *software = answer->software;
    if (!is_valid_name(software) ||
        (query->only && strcmp(query->only, software) != 0)) {
        query->is_disputed = TRUE;
        return;
    }
    query->votes++;
    if (!query->only) {
        query->only = g_ref_string_new_intern(software);
    }
}

static void
note_verdict(OriginQuery_t *query, const Wt__OriginAnswer *answer)
{
    if (answer->verdict == WT__ORIGIN_VERDICT__ORIGIN_ONLY_VERSION) {
        note_only(query, answer);
    }
    else if (answer->verdict == WT__ORIGIN_VERDICT__ORIGIN_SEVERAL_VERSIONS) {
        query->is_disputed = TRUE;
    }
}

static void
receive_answer(OriginKeeper_t *this, const Wt__OriginAnswer *answer,
               guint64 from)
{
    OriginQuery_t *query = g_hash_table_lookup(this->queries, &answer->ticket);
    if (!query || !AskedRouters_noteReply(query->asked, from)) {
        return;
    }
    if (answer->verdict == WT__ORIGIN_VERDICT__ORIGIN_KNOWN) {
        OriginAnswer_t known = {
            .source = ORIGIN_FROM_OWNER,
            .service = answer->service,
            .software = answer->software,
            .replies = AskedRouters_countReplies(query->asked),
        };
        finish_query(this, query, &known);
        return;
    }
    note_verdict(query, answer);
    if (answer->process != 0) {
        g_array_append_val(query->processes, answer->process);
    }
    check_base(this, query, Clock_nowMs());
    if (is_exhausted(this, query)) {
        finish_unknown(this, query);
    }
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
        receive_answer(this, message->origin_answer, from);
    }
}

/* Returns whether other routers are known than at the last tick. */
static gboolean
note_known(OriginKeeper_t *this)
{
    AskedRouter_t all[ORIGIN_ROUTERS_MAX];
    guint found = find_all(this, all);
    gsize size = MIN(found, ORIGIN_ROUTERS_MAX) * sizeof(all[0]);
    if (found == this->known_count && memcmp(all, this->known, size) == 0) {
        return FALSE;
    }
    memcpy(this->known, all, size);
    this->known_count = found;
    return TRUE;
}

static gboolean
ask_joined(const OriginKeeper_t *this, OriginQuery_t *query, gint64 now_ms)
{
    guint known = MIN(this->known_count, ORIGIN_ROUTERS_MAX);
    return query->asks_all ? ask_each(query, this->known, known, now_ms)
                           : ask_owners(this, query, now_ms);
}

static void
log_joined(const OriginKeeper_t *this, guint asking)
{
    Log_begin(LOG_LEVEL_INFO, "origin_joined_asked");
    Log_number("queries", asking);
    Log_number("members", this->known_count);
    Log_end();
    count(this, "origin_joined_asked_total", asking);
}

/* A process that knows the stream, or whose statement shows what began it, may
 * become known only after the query began. */
static void
ask_all_joined(OriginKeeper_t *this, gint64 now_ms)
{
    GHashTableIter iter;
    gpointer query = NULL;
    guint asking = 0;
    if (g_hash_table_size(this->queries) == 0 || !note_known(this)) {
        return;
    }
    g_hash_table_iter_init(&iter, this->queries);
    while (g_hash_table_iter_next(&iter, NULL, &query)) {
        asking += ask_joined(this, query, now_ms) ? 1 : 0;
    }
    if (asking > 0) {
        log_joined(this, asking);
    }
}

/* Collects first: the callback of a query may ask or cancel others. */
static void
expire_queries(OriginKeeper_t *this, gint64 now_ms)
{
    GHashTableIter iter;
    gpointer query = NULL;
    g_autoptr(GArray) expired = g_array_new(FALSE, FALSE, sizeof(guint64));
    ask_all_joined(this, now_ms);
    g_hash_table_iter_init(&iter, this->queries);
    while (g_hash_table_iter_next(&iter, NULL, &query)) {
        const OriginQuery_t *open = query;
        check_base(this, query, now_ms);
        if (now_ms >= open->expires_ms || is_exhausted(this, open)) {
            g_array_append_val(expired, open->ticket);
        }
        else {
            check_list(this, query);
            send_if_due(this, query, now_ms);
            schedule_query(this, open, now_ms);
        }
    }
    for (guint i = 0; i < expired->len; i++) {
        query = g_hash_table_lookup(this->queries,
                                    &g_array_index(expired, guint64, i));
        if (query) {
            finish_unknown(this, query);
        }
    }
}

void
OriginKeeper_tick(OriginKeeper_t *this)
{
    expire_queries(this, Clock_nowMs());
    tell_again(this);
}

guint
OriginKeeper_count(const OriginKeeper_t *this)
{
    return StreamOrigins_count(this->origins);
}
