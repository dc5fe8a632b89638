#include "RouteSync.h"

#include "Clock.h"
#include "FreshnessRelay.h"
#include "ListExchange.h"
#include "Log.h"
#include "PeerAge.h"
#include "Random.h"
#include "RecordFollower.h"
#include "RecordRelay.h"
#include "RouteVersions.h"

/* How often it is checked whether peers still tell something. */
#define TICK_MS 200
/* Where peers have told nothing for so long, a router asks for itself, as
 * those that ask for all may be gone or cut off; not more often than once in
 * the second time, doubled so often while the store does not answer. */
#define UNTOLD_MS 1800
#define ASK_EVERY_MS 1000
#define ASK_DOUBLINGS 2
/* A reader leaves it to those before it, each for so much longer than a read
 * is held: their word comes within some hundred milliseconds. */
#define READER_STEP_MS 300
/* Each further router in rank repeats a call that has failed so much later. */
#define RETRY_STEP_MS 100
/* Routers that are untold at once ask one after the other, so much of time
 * for each of them up to the most: the first answer reaches the rest, which
 * then need not ask. The most leaves a second of the usual limit on age. */
#define UNTOLD_SPREAD_MS 10
#define UNTOLD_SPREAD_MOST_MS 1000
/* Turns that are told apart when one is drawn. */
#define TURNS 1000
/* Who is behind the others asks the store not more often than this. */
#define ASK_BEHIND_MS 400
/* Who is behind asks peers for so long before it asks the store: a router
 * that tells of a record may itself have only heard of it. */
#define BEHIND_MOST_MS 600
/* And asks a peer not more often than this: the answer takes a round trip
 * and, of a configuration of 100 KB on a link of 10 Mbit/s, 80 ms. */
#define PULL_EVERY_MS 100

struct RouteSync {
    RouteSyncSpec_t spec;
    RouteVersions_t *versions;
    RecordFollower_t *follower;
    FreshnessRelay_t *relay;
    RecordRelay_t *records;
    ListCopy_t *copy;
    ListExchange_t *exchange; /* for a start beside many others */
    GHashTable *newest; /* key -> KeyedRecord_t, to tell peers that ask */
    struct event *tick;
    gint64 asked_ms;
    gint64 pulled_ms;
    gint64 called_ms;      /* when this router last took its turn */
    StorePosition_t ahead; /* furthest end that peers have told of */
    gint64 behind_ms; /* since when less is known here; 0 where it is not */
    double turn;      /* from 0 to 1, when it asks of those that are untold */
    gboolean feeding; /* what is told now comes from a peer */
    gboolean copied;  /* the copy is whole since the last list */
};

static void
keep_newest(RouteSync_t *this, const KeyedRecord_t *record)
{
    KeyedRecord_t *kept = g_new0(KeyedRecord_t, 1);
    kept->key = g_string_new(record->key->str);
    kept->value = record->value ? g_bytes_ref(record->value) : NULL;
    kept->position = record->position;
    g_hash_table_replace(this->newest, kept->key->str, kept);
}

static void
on_record(void *owner, const KeyedRecord_t *record)
{
    RouteSync_t *this = owner;
    keep_newest(this, record);
    ListCopy_put(this->copy, record);
    if (!RecordFollower_isListing(this->follower)) {
        ListCopy_noteChange(this->copy, record);
    }
    RecordRelay_addUpdate(this->records, record->key->str, record->value,
                          record->position);
    RouteVersions_take(this->versions, record);
}

static gint64
reader_pause_ms(const RouteSync_t *this)
{
    gint64 rank = FreshnessRelay_rank(this->relay);
    return rank > 0 ? this->spec.reader_wait_ms + rank * READER_STEP_MS : 0;
}

static void
set_reads(RouteSync_t *this)
{
    if (FreshnessRelay_isReader(this->relay)) {
        RecordFollower_setReadTiming(this->follower, this->spec.reader_wait_ms,
                                     reader_pause_ms(this), 0);
        return;
    }
    RecordFollower_setReadTiming(this->follower, 0, this->spec.wait_ms,
                                 this->spec.wait_ms);
}

static gboolean
ask_peer(RouteSync_t *this, Member_t *from, StorePosition_t known)
{
    gint64 now_ms = Clock_nowMs();
    if (now_ms - this->pulled_ms < PULL_EVERY_MS) {
        return TRUE;
    }
    gboolean sent = RecordRelay_sendQuery(
        this->records, from, known, RouteVersions_newest(this->versions));
    if (sent) {
        this->pulled_ms = now_ms;
    }
    return sent;
}

/* A peer that has a newer configuration told so before it could be asked. */
static void
ask_any(RouteSync_t *this)
{
    const GPtrArray *members = Membership_members(this->spec.membership);
    StorePosition_t known = RecordFollower_position(this->follower);
    for (guint i = 0; i < members->len; i++) {
        if (ask_peer(this, g_ptr_array_index(members, i), known)) {
            return;
        }
    }
}

/* What is too long to be told to all is asked for by those that hear of it. */
static void
pass_on(RouteSync_t *this, StorePosition_t end, gint64 at_ms)
{
    if (!RecordRelay_hasUpdates(this->records)) {
        return;
    }
    if (RecordRelay_isOversized(this->records)) {
        FreshnessRelay_broadcastNow(this->relay);
    }
    RecordRelay_broadcast(this->records, end, at_ms, 0, this->feeding);
}

static void
on_current(void *owner, StorePosition_t end, gint64 at_ms)
{
    RouteSync_t *this = owner;
    if (StorePosition_compare(end, this->ahead) >= 0) {
        this->behind_ms = 0;
    }
    if (!this->copied) {
        this->copied = TRUE;
        ListCopy_startChanges(this->copy, end);
    }
    ListExchange_setCurrent(this->exchange, end, at_ms);
    RouteVersions_noteCurrent(this->versions, at_ms);
    FreshnessRelay_noteEnd(this->relay, end, at_ms);
    pass_on(this, end, at_ms);
    set_reads(this);
    if (RouteVersions_isBehind(this->versions)) {
        ask_any(this);
    }
}

static void
ask_store(RouteSync_t *this, gint64 least_ms, StoreCause_t cause)
{
    gint64 now_ms = Clock_nowMs();
    if (now_ms - this->asked_ms >= least_ms) {
        this->asked_ms = now_ms;
        RecordFollower_checkEnd(this->follower, cause);
    }
}

static gboolean
is_long_behind(const RouteSync_t *this)
{
    return this->behind_ms > 0 &&
           Clock_nowMs() - this->behind_ms >= BEHIND_MOST_MS;
}

static void
catch_up(RouteSync_t *this, Member_t *from, StorePosition_t known,
         StorePosition_t end)
{
    if (StorePosition_compare(end, this->ahead) > 0) {
        this->ahead = end;
    }
    if (this->behind_ms == 0) {
        this->behind_ms = Clock_nowMs();
    }
    if (from && !is_long_behind(this)) {
        ask_peer(this, from, known);
    }
    else {
        ask_store(this, ASK_BEHIND_MS, STORE_BEHIND);
    }
}

/* Who was told that there is nothing new need not ask for it. */
static void
feed_end(RouteSync_t *this, StorePosition_t end, gint64 at_ms)
{
    KeyedPage_t page = {.records = g_ptr_array_new(), .end = end};
    this->feeding = TRUE;
    RecordFollower_applyPeerRecords(this->follower, end.offset, &page, at_ms);
    this->feeding = FALSE;
    g_ptr_array_unref(page.records);
}

/* Only who has read to the same end knows that nothing newer existed. */
static gboolean
on_fresh(void *owner, Member_t *from, StorePosition_t end, gint64 at_ms)
{
    RouteSync_t *this = owner;
    if (!StoreEpoch_note(this->spec.epoch, end.epoch, "peer")) {
        return FALSE;
    }
    StorePosition_t known = RecordFollower_position(this->follower);
    if (known.epoch != end.epoch) {
        return FALSE;
    }
    gint ahead = StorePosition_compare(known, end);
    if (ahead == 0) {
        RouteVersions_noteCurrent(this->versions, at_ms);
        feed_end(this, end, at_ms);
    }
    else if (ahead < 0 && known.offset > 0) {
        catch_up(this, from, known, end);
    }
    return ahead >= 0;
}

/* By the routers that are known now: at a start they are not yet. */
static gint64
spread_ms(const RouteSync_t *this)
{
    gint64 routers = Membership_countActive(this->spec.membership);
    gint64 most_ms = MIN(routers * UNTOLD_SPREAD_MS, UNTOLD_SPREAD_MOST_MS);
    return (gint64)(this->turn * (double)most_ms);
}

static void
draw_turn(RouteSync_t *this)
{
    this->turn = (double)Random_below(TURNS) / TURNS;
}

/* All routers list the topic anew at once: they take turns, as those that are
 * untold do. */
static void
on_return(void *owner)
{
    RouteSync_t *this = owner;
    this->ahead = (StorePosition_t){0};
    this->behind_ms = 0;
    this->copied = FALSE;
    RecordFollower_beginEpoch(this->follower, spread_ms(this));
    ListExchange_startQueries(this->exchange);
    draw_turn(this);
}

static guint64
version_in_force(void *owner)
{
    const RouteSync_t *this = owner;
    return RouteVersions_inForce(this->versions);
}

static const FreshnessRelayEvents_t relay_events = {
    .fresh = on_fresh,
    .version = version_in_force,
};

/* A call that fails shows that the store has too much to do, or that it is
 * away: routers take turns then, and ask each other meanwhile. */
static gint64
wait_ms(void *owner, gboolean lists)
{
    (void)lists;
    RouteSync_t *this = owner;
    gint64 now_ms = Clock_nowMs();
    gint64 rank = FreshnessRelay_rank(this->relay);
    gint64 due_ms = this->called_ms + rank * RETRY_STEP_MS;
    gboolean waits = RecordFollower_isLost(this->follower) &&
                     Membership_members(this->spec.membership)->len > 0;
    if (waits && rank == G_MAXUINT) {
        return TICK_MS;
    }
    if (waits && due_ms > now_ms) {
        return due_ms - now_ms;
    }
    this->called_ms = now_ms;
    return 0;
}

static const RecordFollowerEvents_t follower_events = {
    .record = on_record,
    .current = on_current,
    .wait_ms = wait_ms,
};

static void
ask_untold(RouteSync_t *this)
{
    gint64 most_ms = UNTOLD_MS + spread_ms(this);
    if (RouteTable_isFresh(this->spec.routes, most_ms)) {
        return;
    }
    guint doublings =
        MIN(RecordFollower_failedChecks(this->follower), ASK_DOUBLINGS);
    ask_store(this, ASK_EVERY_MS << doublings, STORE_PEERS_SILENT);
    draw_turn(this);
}

static void
on_tick(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    RouteSync_t *this = data;
    set_reads(this);
    if (is_long_behind(this)) {
        ask_store(this, ASK_BEHIND_MS, STORE_BEHIND);
    }
    ask_untold(this);
    Clock_arm(this->tick, TICK_MS);
}

static void
create_copy(RouteSync_t *this, struct event_base *base)
{
    ListExchangeSpec_t spec = {
        .topic = this->spec.form->config_topic,
        .membership = this->spec.membership,
        .epoch = this->spec.epoch,
        .counters = this->spec.counters,
    };
    this->copy = ListCopy_create();
    this->exchange = ListExchange_create(base, &spec, this->copy);
}

RouteSync_t *
RouteSync_create(struct event_base *base, const RouteSyncSpec_t *spec)
{
    RouteSync_t *this = g_new0(RouteSync_t, 1);
    this->spec = *spec;
    RecordFollowerSpec_t follow = {
        .source = spec->source,
        .topic = spec->form->config_topic,
        .pause_ms = spec->wait_ms,
        .counters = spec->counters,
    };
    RouteVersionsSpec_t versions = {
        .form = spec->form,
        .routes = spec->routes,
        .weights = spec->weights,
        .unknown_age_ms = spec->unknown_age_ms,
        .is_alone = spec->is_alone,
    };
    this->versions = RouteVersions_create(base, &versions);
    this->newest =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, KeyedRecord_free);
    this->records =
        RecordRelay_create(spec->membership, spec->form->config_topic);
    create_copy(this, base);
    this->relay =
        FreshnessRelay_create(base, spec->membership, &relay_events, this);
    this->follower =
        RecordFollower_create(base, &follow, &follower_events, this);
    ListExchange_setFollower(this->exchange, this->follower);
    this->tick = Clock_timer(base, on_tick, this);
    StoreEpoch_addListener(spec->epoch, on_return, this);
    draw_turn(this);
    Clock_arm(this->tick, TICK_MS);
    return this;
}

void
RouteSync_setWaits(RouteSync_t *this, gint64 reader_wait_ms, gint64 wait_ms)
{
    this->spec.reader_wait_ms = reader_wait_ms;
    this->spec.wait_ms = wait_ms;
}

void
RouteSync_destroy(RouteSync_t *this)
{
    StoreEpoch_removeListener(this->spec.epoch, this);
    RecordFollower_destroy(this->follower);
    FreshnessRelay_destroy(this->relay);
    ListExchange_destroy(this->exchange);
    ListCopy_destroy(this->copy);
    RecordRelay_destroy(this->records);
    RouteVersions_destroy(this->versions);
    g_hash_table_destroy(this->newest);
    event_free(this->tick);
    g_free(this);
}

/* A router that has read the records to their end may still be behind: the
 * store may have lost what its peers have in force. */
void
RouteSync_take(RouteSync_t *this, Member_t *from,
               const Wt__ConfigCurrent *message)
{
    StorePosition_t known = RecordFollower_position(this->follower);
    RouteVersions_tell(this->versions, message->version);
    if (from && known.offset > 0 && RouteVersions_isBehind(this->versions)) {
        ask_peer(this, from, known);
    }
    FreshnessRelay_receive(this->relay, from, message);
}

void
RouteSync_introduce(RouteSync_t *this, Member_t *member)
{
    FreshnessRelay_syncPeer(this->relay, member);
}

static void
take_apart(RouteSync_t *this, const Wt__TopicPart *message)
{
    KeyedPage_t page = RecordRelay_decode(message);
    for (guint i = 0; i < page.records->len; i++) {
        RouteVersions_take(this->versions, g_ptr_array_index(page.records, i));
    }
    g_ptr_array_unref(page.records);
}

void
RouteSync_takeAsk(RouteSync_t *this, Member_t *from, const Wt__ListAsk *ask)
{
    ListExchange_answerQuery(this->exchange, from, ask);
}

void
RouteSync_takePage(RouteSync_t *this, Member_t *from, const Wt__ListPage *page)
{
    if (FreshnessRelay_mayBeStale(this->relay)) {
        return; /* it is asked for again */
    }
    this->feeding = TRUE;
    ListExchange_receivePage(this->exchange, from, page);
    this->feeding = FALSE;
}

/* Records hold whenever they come; how fresh they are is not known where they
 * may have waited here. */
void
RouteSync_takePart(RouteSync_t *this, const Wt__TopicPart *message)
{
    if (message->apart) {
        take_apart(this, message);
        return;
    }
    if (!StoreEpoch_note(this->spec.epoch, message->epoch, "peer")) {
        return;
    }
    KeyedPage_t page = RecordRelay_decode(message);
    gint64 at_ms = FreshnessRelay_mayBeStale(this->relay)
                       ? 0
                       : PeerAge_atMs(message->age_ms);
    this->feeding = TRUE;
    RecordFollower_applyPeerRecords(this->follower, message->from, &page,
                                    at_ms);
    this->feeding = FALSE;
    g_ptr_array_unref(page.records);
}

static gint
compare_offsets(gconstpointer a, gconstpointer b)
{
    const KeyedRecord_t *left = *(KeyedRecord_t *const *)a;
    const KeyedRecord_t *right = *(KeyedRecord_t *const *)b;
    return StorePosition_compare(left->position, right->position);
}

static GPtrArray *
newest_from(const RouteSync_t *this, StorePosition_t from)
{
    GPtrArray *found = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, this->newest);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const KeyedRecord_t *record = value;
        if (StorePosition_compare(record->position, from) >= 0) {
            g_ptr_array_add(found, value);
        }
    }
    g_ptr_array_sort(found, compare_offsets);
    return found;
}

/* What the store has lost and only routers know. */
static void
answer_apart(const RouteSync_t *this, Member_t *from, StorePosition_t known)
{
    GPtrArray *records = RouteVersions_apart(this->versions, known);
    if (records->len > 0) {
        RecordRelay_sendLostRecords(this->records, from, records);
    }
    g_ptr_array_unref(records);
}

/* Who knows no more says nothing: the asker asks another one. */
void
RouteSync_answer(RouteSync_t *this, Member_t *from,
                 const Wt__TopicAsk *message)
{
    StorePosition_t from_there = {message->epoch, message->from};
    StorePosition_t known = RecordFollower_position(this->follower);
    gint64 now_ms = Clock_nowMs();
    gint64 age_ms = RouteTable_ageMs(this->spec.routes, now_ms);
    if (message->version > 0 &&
        message->version < RouteVersions_inForce(this->versions)) {
        answer_apart(this, from, from_there);
    }
    if (known.epoch != from_there.epoch || known.offset <= message->from ||
        age_ms == G_MAXINT64) {
        return;
    }
    GPtrArray *records = newest_from(this, from_there);
    RecordRelay_sendAnswer(this->records, from, message->from, records, known,
                           now_ms - age_ms);
    g_ptr_array_unref(records);
}
