#include "OriginQueries.h"

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
/* How long a query waits at a router that has not read the records yet. */
#define LEARN_TIMEOUT_MS 1000

struct OriginQuery {
    guint64 ticket;
    RequestDigest_t digest;
    GRefString *service;
    gboolean may_change;
    AskedRouters_t *asked; /* owners and witnesses, or all */
    guint owners_max;
    gboolean asks_all;     /* the stream may have begun at the base */
    gboolean is_base_lost; /* no reply can show that it did */
    GArray *processes;     /* guint64, that would know the stream */
    GRefString *only;      /* version that routers take for the only one */
    guint votes;           /* routers that do */
    gboolean is_disputed;  /* others know of another version */
    gint64 send_ms;        /* when it is sent first */
    gint64 asked_ms;
    gint64 expires_ms;
    gboolean has_waited; /* the list no longer matters */
    OriginAsked_t done;
    void *owner;
};

struct OriginQueries {
    const OriginLinks_t *links;
    OriginFacts_t *facts;
    GHashTable *queries; /* &ticket -> OriginQuery_t */
    guint64 ticket;
    AskedRouter_t known[ORIGIN_ROUTERS_MAX]; /* at the last tick */
    guint known_count;
};

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

OriginQueries_t *
OriginQueries_create(const OriginLinks_t *links, OriginFacts_t *facts)
{
    OriginQueries_t *this = g_new0(OriginQueries_t, 1);
    this->links = links;
    this->facts = facts;
    this->queries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_query);
    return this;
}

void
OriginQueries_destroy(OriginQueries_t *this)
{
    g_hash_table_destroy(this->queries);
    g_free(this);
}

static void
send_query(const OriginQueries_t *this, const OriginQuery_t *query,
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
        OriginLinks_send(this->links, due[i], &message);
    }
}

/* Returns whether the list may still name a single version. */
static gboolean
awaits_list(const OriginQueries_t *this, const OriginQuery_t *query)
{
    return !query->may_change &&
           !OriginFacts_isListLater(this->facts, query->asked_ms) &&
           OriginFacts_findSole(this->facts, query->service);
}

static const char *
find_base(const OriginQueries_t *this, const OriginQuery_t *query)
{
    return query->asks_all
               ? OriginFacts_findBase(this->facts, query->service,
                                      query->processes, query->asked_ms)
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
find_only(const OriginQueries_t *this, const OriginQuery_t *query)
{
    if (query->may_change) {
        return NULL;
    }
    const char *sole = OriginFacts_findSole(this->facts, query->service);
    if (!OriginFacts_isListLater(this->facts, query->asked_ms)) {
        return agree_most(query, sole) ? sole : NULL;
    }
    const char *only = OriginFacts_findListedOnly(this->facts, query->service);
    return only || !agree_others(query, sole) ? only : sole;
}

/* No owner knows the stream: it was not told, or all that were told of it have
 * restarted. It may have been restored since the query began. */
static void
fill_unknown(const OriginQueries_t *this, const OriginQuery_t *query,
             OriginAnswer_t *out)
{
    *out = (OriginAnswer_t){
        .replies = AskedRouters_countReplies(query->asked),
    };
    if (OriginFacts_findStream(this->facts, &query->digest, out)) {
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
is_settled(const OriginQueries_t *this)
{
    return this->links->class->is_settled(this->links->owner);
}

/* Nobody else is left to be asked. */
static gboolean
is_exhausted(const OriginQueries_t *this, const OriginQuery_t *query)
{
    if (!OriginFacts_isLearned(this->facts)) {
        return FALSE;
    }
    if (!query->may_change &&
        OriginFacts_isListLater(this->facts, query->asked_ms) &&
        OriginFacts_findListedOnly(this->facts, query->service)) {
        return TRUE;
    }
    gboolean is_open = AskedRouters_countOpen(query->asked) > 0;
    if (query->asks_all && !query->is_base_lost) {
        return !is_open && find_base(this, query);
    }
    return !is_open && is_settled(this) &&
           (!awaits_list(this, query) || OriginFacts_isStoreLost(this->facts));
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
send_if_due(const OriginQueries_t *this, OriginQuery_t *query, gint64 now_ms)
{
    if (!query->has_waited &&
        (!awaits_list(this, query) || OriginFacts_isStoreLost(this->facts))) {
        end_list_wait(query, now_ms);
    }
    if (now_ms >= AskedRouters_dueMs(query->asked)) {
        send_query(this, query, now_ms);
    }
}

/* Whether a query that has expired waits for the records all the same, which
 * may state what began the stream. */
static gboolean
awaits_records(const OriginQueries_t *this, const OriginQuery_t *query,
               gint64 now_ms)
{
    return !OriginFacts_isLearned(this->facts) && !find_only(this, query) &&
           now_ms - query->asked_ms < LEARN_TIMEOUT_MS;
}

static gboolean
is_over(const OriginQueries_t *this, const OriginQuery_t *query, gint64 now_ms)
{
    gboolean has_expired =
        now_ms >= query->expires_ms && !awaits_records(this, query, now_ms);
    return has_expired || is_exhausted(this, query);
}

static void
schedule_query(const OriginQueries_t *this, const OriginQuery_t *query,
               gint64 now_ms)
{
    gint64 expires_ms = query->expires_ms > now_ms
                            ? query->expires_ms
                            : query->asked_ms + LEARN_TIMEOUT_MS;
    gint64 due_ms = MIN(AskedRouters_dueMs(query->asked), expires_ms);
    gboolean is_waiting = !OriginFacts_isLearned(this->facts) ||
                          awaits_list(this, query) || query->asks_all ||
                          !is_settled(this);
    gint64 check_ms = is_waiting ? LEARN_CHECK_MS : JOIN_CHECK_MS;
    this->links->class->schedule_tick(this->links->owner,
                                      MIN(due_ms - now_ms, check_ms));
}

/* Returns whether one of them was not asked yet. */
static gboolean
ask_owners(const OriginQueries_t *this, const OriginQuery_t *query,
           gint64 now_ms)
{
    guint64 owners[ORIGIN_WITNESSES];
    gboolean has_new = FALSE;
    guint found = OriginLinks_findOthers(this->links, &query->digest, owners,
                                         query->owners_max);
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
create_query(OriginQueries_t *this, const RequestDigest_t *digest,
             const char *service, gboolean may_change)
{
    OriginQuery_t *query = g_new0(OriginQuery_t, 1);
    gint64 now_ms = Clock_nowMs();
    query->digest = *digest;
    query->service = g_ref_string_new_intern(service);
    query->may_change = may_change;
    query->processes = g_array_new(FALSE, FALSE, sizeof(guint64));
    gboolean is_sole =
        !may_change && OriginFacts_findSole(this->facts, service);
    query->owners_max = is_sole ? ORIGIN_WITNESSES : ORIGIN_OWNERS;
    query->asked = AskedRouters_create(ASK_REPEAT_MS);
    query->asked_ms = now_ms;
    gboolean is_sure =
        !may_change && OriginFacts_findOnly(this->facts, service);
    query->expires_ms = now_ms + LIST_TIMEOUT_MS;
    query->send_ms =
        is_sure ? query->expires_ms - ORIGIN_ASK_TIMEOUT_MS : now_ms;
    ask_owners(this, query, now_ms);
    return query;
}

static void
check_list(const OriginQueries_t *this, const OriginQuery_t *query)
{
    gboolean asks_base = query->asks_all && !OriginFacts_isListLater(
                                                this->facts, query->asked_ms);
    if (awaits_list(this, query) || asks_base) {
        this->links->class->check_list(this->links->owner);
    }
}

static void
add_own_process(const OriginQueries_t *this, const OriginQuery_t *query)
{
    guint64 process = OriginFacts_process(this->facts);
    g_array_append_val(query->processes, process);
}

static guint
find_all(const OriginQueries_t *this, AskedRouter_t *out)
{
    return this->links->class->find_all(this->links->owner, out,
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
ask_all(const OriginQueries_t *this, OriginQuery_t *query, gint64 now_ms)
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

/* Only a router that knows the stream can tell then. */
static void
note_base_lost(const OriginQueries_t *this, OriginQuery_t *query)
{
    if (query->is_base_lost || awaits_list(this, query) ||
        !OriginFacts_isLearned(this->facts) ||
        !OriginFacts_isBaseLost(this->facts, query->service)) {
        return;
    }
    query->is_base_lost = TRUE;
    query->expires_ms =
        MIN(query->expires_ms, query->send_ms + ORIGIN_ASK_TIMEOUT_MS);
}

/* Until the records of versions were read the base may not be known. */
static void
check_base(const OriginQueries_t *this, OriginQuery_t *query, gint64 now_ms)
{
    if (!query->asks_all && !query->may_change &&
        OriginFacts_mayBeBase(this->facts, query->service)) {
        ask_all(this, query, now_ms);
    }
    if (query->asks_all &&
        !OriginFacts_areRecordsLater(this->facts, query->asked_ms)) {
        this->links->class->read_records(this->links->owner);
    }
    if (query->asks_all) {
        note_base_lost(this, query);
    }
}

OriginQuery_t *
OriginQueries_ask(OriginQueries_t *this, const RequestDigest_t *digest,
                  const char *service, gboolean may_change,
                  OriginAnswer_t *out, OriginAsked_t done, void *owner)
{
    *out = (OriginAnswer_t){.source = ORIGIN_FROM_NOBODY};
    if (OriginFacts_findStream(this->facts, digest, out)) {
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
    OriginFacts_learn(this->facts, TRUE);
    query->ticket = ++this->ticket;
    g_hash_table_insert(this->queries, &query->ticket, query);
    check_list(this, query);
    send_if_due(this, query, query->asked_ms);
    schedule_query(this, query, query->asked_ms);
    return query;
}

void
OriginQueries_cancel(OriginQueries_t *this, OriginQuery_t *query)
{
    g_hash_table_remove(this->queries, &query->ticket);
}

/* Removes the query before the call, which may ask again. */
static void
finish_query(OriginQueries_t *this, OriginQuery_t *query,
             const OriginAnswer_t *answer)
{
    g_hash_table_steal(this->queries, &query->ticket);
    query->done(query->owner, answer);
    free_query(query);
}

static void
finish_unknown(OriginQueries_t *this, OriginQuery_t *query)
{
    OriginAnswer_t answer;
    fill_unknown(this, query, &answer);
    finish_query(this, query, &answer);
}

static void
note_only(OriginQuery_t *query, const Wt__OriginAnswer *answer)
{
    const char *software = answer->software;
    if (!OriginLinks_isName(software) ||
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

void
OriginQueries_receive(OriginQueries_t *this, const Wt__OriginAnswer *answer,
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

/* Returns whether other routers are known than at the last tick. */
static gboolean
note_known(OriginQueries_t *this)
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
ask_joined(const OriginQueries_t *this, OriginQuery_t *query, gint64 now_ms)
{
    guint known = MIN(this->known_count, ORIGIN_ROUTERS_MAX);
    return query->asks_all ? ask_each(query, this->known, known, now_ms)
                           : ask_owners(this, query, now_ms);
}

static void
log_joined(const OriginQueries_t *this, guint asking)
{
    Log_begin(LOG_LEVEL_INFO, "origin_joined_asked");
    Log_number("queries", asking);
    Log_number("members", this->known_count);
    Log_end();
    Counters_add(this->links->counters, "origin_joined_asked_total", NULL,
                 asking);
}

/* A process that knows the stream, or whose statement shows what began it, may
 * become known only after the query began. */
static void
ask_all_joined(OriginQueries_t *this, gint64 now_ms)
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
void
OriginQueries_tick(OriginQueries_t *this)
{
    gint64 now_ms = Clock_nowMs();
    GHashTableIter iter;
    gpointer query = NULL;
    g_autoptr(GArray) expired = g_array_new(FALSE, FALSE, sizeof(guint64));
    ask_all_joined(this, now_ms);
    g_hash_table_iter_init(&iter, this->queries);
    while (g_hash_table_iter_next(&iter, NULL, &query)) {
        const OriginQuery_t *open = query;
        check_base(this, query, now_ms);
        if (is_over(this, open, now_ms)) {
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
