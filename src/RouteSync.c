#include "RouteSync.h"

#include <string.h>

#include "CatchUp.h"
#include "Clock.h"
#include "FreshnessRelay.h"
#include "ListExchange.h"
#include "Log.h"
#include "PeerAge.h"
#include "RecordAnswers.h"
#include "RecordFollower.h"
#include "RecordRelay.h"
#include "RouteAnswer.h"
#include "RouteQueries.h"
#include "RouteVersions.h"
#include "StoreChecks.h"

/* Interval of the check whether peers still send updates. */
#define TICK_MS 200
/* A reader of rank n > 0 waits reader_wait_ms + n * READER_STEP_MS before it
 * reads: the update of the reader of rank 0 arrives within some hundred
 * milliseconds after the held read ends. */
#define READER_STEP_MS 300
/* Delay of the retry of a failed call, per router of lower rank. */
#define RETRY_STEP_MS 100
/* Bytes of a patch that is broadcast. Each peer gets it over several links, so
 * it must be short next to what these carry in a moment. */
#define PATCH_BROADCAST_BYTES 4096

struct RouteSync {
    RouteSyncSpec_t spec;
    RouteVersions_t *versions;
    RecordFollower_t *follower;
    FreshnessRelay_t *relay;
    RecordRelay_t *records;
    ListCopy_t *copy;
    ListExchange_t *exchange; /* lists from peers when many routers start */
    RecordAnswers_t *answers;
    struct event *tick;
    gint64 store_called_ms; /* when retry_delay_ms() last allowed a call */
    CatchUp_t *catch_up;
    RouteQueries_t *queries;
    StoreChecks_t *checks;
    gint64 end_ms;             /* when the topic ended at the known position */
    gboolean is_from_peer;     /* the records being applied are from a peer */
    gboolean is_copy_complete; /* the copy has all records since the list */
};

static void
on_record(void *owner, const KeyedRecord_t *record)
{
    RouteSync_t *this = owner;
    RecordAnswers_store(this->answers, record);
    ListCopy_put(this->copy, record);
    if (!RecordFollower_isListing(this->follower)) {
        ListCopy_noteChange(this->copy, record);
    }
    RecordRelay_addUpdate(this->records, record->key->str, record->value,
                          record->position);
    RouteVersions_apply(this->versions, record);
}

static gint64
reader_delay_ms(const RouteSync_t *this)
{
    gint64 rank = FreshnessRelay_rank(this->relay);
    return rank > 0 ? this->spec.reader_wait_ms + rank * READER_STEP_MS : 0;
}

static void
set_read_timing(RouteSync_t *this)
{
    if (FreshnessRelay_isReader(this->relay)) {
        RecordFollower_setReadTiming(this->follower, this->spec.reader_wait_ms,
                                     reader_delay_ms(this), 0);
        return;
    }
    RecordFollower_setReadTiming(this->follower, 0, this->spec.wait_ms,
                                 this->spec.wait_ms);
}

/* In a full mesh the peer that sent the records has sent them to all. */
static gboolean
should_broadcast(const RouteSync_t *this)
{
    return !this->is_from_peer || !Membership_isMesh(this->spec.membership);
}

/* Broadcasts what has changed in long records, if that is short. */
static void
broadcast_patch(RouteSync_t *this, StorePosition_t end, gint64 at_ms)
{
    StorePosition_t from;
    if (!RecordRelay_lastEnd(this->records, &from) ||
        from.epoch != end.epoch || !should_broadcast(this)) {
        return;
    }
    GArray *encoded = RecordAnswers_encode(this->answers, from);
    if (!encoded) {
        return;
    }
    if (RecordAnswers_countEncoded(encoded) <= PATCH_BROADCAST_BYTES) {
        RecordRelay_sendPatch(this->records, NULL, from.offset, encoded, end,
                              at_ms);
    }
    g_array_unref(encoded);
}

/* Broadcasts the new records. If they are too long for that, what has changed
 * in them is broadcast, then the new end, and peers that lack more query for
 * the records. */
static void
broadcast_updates(RouteSync_t *this, StorePosition_t end, gint64 at_ms)
{
    if (!RecordRelay_hasUpdates(this->records)) {
        return;
    }
    if (RecordRelay_isOversized(this->records)) {
        broadcast_patch(this, end, at_ms);
        FreshnessRelay_broadcastNow(this->relay);
    }
    RecordRelay_broadcast(this->records, end, at_ms, 0, this->is_from_peer);
}

static void
on_current(void *owner, StorePosition_t end, gint64 at_ms)
{
    RouteSync_t *this = owner;
    if (CatchUp_notePosition(this->catch_up, end)) {
        RouteTable_noteNewer(this->spec.routes, 0);
    }
    if (!this->is_copy_complete) {
        this->is_copy_complete = TRUE;
        ListCopy_startChanges(this->copy, end);
    }
    this->end_ms = at_ms;
    ListExchange_setCurrent(this->exchange, end, at_ms);
    RouteVersions_noteCurrent(this->versions, at_ms);
    FreshnessRelay_noteEnd(this->relay, end, at_ms);
    broadcast_updates(this, end, at_ms);
    set_read_timing(this);
    if (RouteVersions_isBehind(this->versions)) {
        RouteQueries_sendToAny(this->queries);
    }
}

static void
catch_up(RouteSync_t *this, Member_t *from, StorePosition_t known,
         StorePosition_t end)
{
    if (CatchUp_noteBehind(this->catch_up, known, end,
                           from ? from->name->str : NULL)) {
        RouteTable_noteNewer(this->spec.routes, Clock_nowMs());
    }
    if (!from) {
        StoreChecks_checkNow(this->checks);
        return;
    }
    StoreChecks_checkIfLongBehind(this->checks);
    RouteQueries_send(this->queries, from);
}

/* Notifies the follower that the topic has no records after @end, so that it
 * need not read for them. */
static void
apply_peer_end(RouteSync_t *this, StorePosition_t end, gint64 at_ms)
{
    KeyedPage_t page = {.records = g_ptr_array_new(), .end = end};
    this->is_from_peer = TRUE;
    RecordFollower_applyPeerRecords(this->follower, end.offset, &page, at_ms);
    this->is_from_peer = FALSE;
    g_ptr_array_unref(page.records);
}

/* The peer's time is valid for this router only if it has read to the same
 * end; otherwise newer records may exist. */
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
    gint order = StorePosition_compare(known, end);
    if (order == 0) {
        RouteVersions_noteCurrent(this->versions, at_ms);
        apply_peer_end(this, end, at_ms);
    }
    else if (order < 0 && known.offset > 0) {
        catch_up(this, from, known, end);
    }
    return order == 0;
}

/* All routers list the topic again at the same time. The delay spreads their
 * lists in the same way as store checks without updates. */
static void
on_epoch_change(void *owner)
{
    RouteSync_t *this = owner;
    CatchUp_reset(this->catch_up);
    RouteTable_noteNewer(this->spec.routes, 0);
    this->is_copy_complete = FALSE;
    RecordFollower_beginEpoch(this->follower,
                              StoreChecks_spreadMs(this->checks));
    ListExchange_startQueries(this->exchange);
}

static guint64
version_in_force(void *owner)
{
    const RouteSync_t *this = owner;
    return RouteVersions_inForce(this->versions);
}

static gboolean
is_receiving(void *owner)
{
    const RouteSync_t *this = owner;
    return RecordSource_isReceiving(this->spec.source);
}

static const FreshnessRelayEvents_t relay_events = {
    .fresh = on_fresh,
    .version = version_in_force,
    .is_receiving = is_receiving,
};

/* A failed call means that the store is overloaded or down: routers then retry
 * in the order of their rank and query each other meanwhile. */
static gint64
retry_delay_ms(void *owner, gboolean lists)
{
    (void)lists;
    RouteSync_t *this = owner;
    gint64 now_ms = Clock_nowMs();
    gint64 rank = FreshnessRelay_rank(this->relay);
    gint64 due_ms = this->store_called_ms + rank * RETRY_STEP_MS;
    gboolean waits = RecordFollower_isLost(this->follower) &&
                     Membership_members(this->spec.membership)->len > 0;
    if (waits && rank == G_MAXUINT) {
        return TICK_MS;
    }
    if (waits && due_ms > now_ms) {
        return due_ms - now_ms;
    }
    this->store_called_ms = now_ms;
    return 0;
}

/* Records that are missing before those of a peer are fetched as any others
 * that peers know. If each router read them from the store, a long record
 * would pass over each link once more. */
static gboolean
on_gap(void *owner)
{
    (void)owner;
    return TRUE;
}

static const RecordFollowerEvents_t follower_events = {
    .record = on_record,
    .current = on_current,
    .wait_ms = retry_delay_ms,
    .gap = on_gap,
};

static void
on_tick(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    RouteSync_t *this = data;
    set_read_timing(this);
    StoreChecks_checkIfLongBehind(this->checks);
    RouteQueries_sendNext(this->queries);
    StoreChecks_checkIfStale(this->checks,
                             FreshnessRelay_isReaderReceiving(this->relay));
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

static void
known_records(void *owner, StorePosition_t *position, guint64 *version)
{
    const RouteSync_t *this = owner;
    *position = RecordFollower_position(this->follower);
    *version = RouteVersions_newest(this->versions);
}

static void
create_queries(RouteSync_t *this)
{
    RouteQueriesSpec_t spec = {
        .membership = this->spec.membership,
        .relay = this->records,
        .catch_up = this->catch_up,
        .known = known_records,
        .owner = this,
    };
    this->queries = RouteQueries_create(&spec);
}

static void
create_checks(RouteSync_t *this)
{
    StoreChecksSpec_t spec = {
        .routes = this->spec.routes,
        .membership = this->spec.membership,
        .source = this->spec.source,
        .follower = this->follower,
        .catch_up = this->catch_up,
        .queries = this->queries,
    };
    this->checks = StoreChecks_create(&spec);
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
    this->catch_up = CatchUp_create(spec->counters);
    this->answers = RecordAnswers_create(spec->membership);
    this->records =
        RecordRelay_create(spec->membership, spec->form->config_topic);
    create_copy(this, base);
    create_queries(this);
    this->relay =
        FreshnessRelay_create(base, spec->membership, &relay_events, this);
    this->follower =
        RecordFollower_create(base, &follow, &follower_events, this);
    ListExchange_setFollower(this->exchange, this->follower);
    this->tick = Clock_timer(base, on_tick, this);
    StoreEpoch_addListener(spec->epoch, on_epoch_change, this);
    create_checks(this);
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
    StoreChecks_destroy(this->checks);
    RouteQueries_destroy(this->queries);
    CatchUp_destroy(this->catch_up);
    RecordRelay_destroy(this->records);
    RouteVersions_destroy(this->versions);
    RecordAnswers_destroy(this->answers);
    event_free(this->tick);
    g_free(this);
}

/* A router that has read all records may still be behind, as the store may
 * have lost the configuration that its peers have in force. */
void
RouteSync_receiveCurrent(RouteSync_t *this, Member_t *from,
                         const Wt__ConfigCurrent *message)
{
    StorePosition_t known = RecordFollower_position(this->follower);
    RouteVersions_notePeerVersion(this->versions, message->version);
    if (from && known.offset > 0 && RouteVersions_isBehind(this->versions)) {
        RouteQueries_send(this->queries, from);
    }
    FreshnessRelay_receive(this->relay, from, message);
}

void
RouteSync_syncPeer(RouteSync_t *this, Member_t *member)
{
    FreshnessRelay_syncPeer(this->relay, member);
}

static void
apply_lost_records(RouteSync_t *this, const Wt__TopicPart *message)
{
    KeyedPage_t page = RecordRelay_decode(message);
    for (guint i = 0; i < page.records->len; i++) {
        RouteVersions_apply(this->versions,
                            g_ptr_array_index(page.records, i));
    }
    g_ptr_array_unref(page.records);
}

void
RouteSync_answerListQuery(RouteSync_t *this, Member_t *from,
                          const Wt__ListAsk *ask)
{
    ListExchange_answerQuery(this->exchange, from, ask);
}

void
RouteSync_receiveListPage(RouteSync_t *this, Member_t *from,
                          const Wt__ListPage *page)
{
    if (FreshnessRelay_mayBeStale(this->relay)) {
        return; /* its age is unknown; the page is queried again */
    }
    this->is_from_peer = TRUE;
    ListExchange_receivePage(this->exchange, from, page);
    this->is_from_peer = FALSE;
}

/* Records are valid however late they are processed. The time at which they
 * were the newest is unknown if the message may have waited in this router. */
static gboolean
apply_peer_page(RouteSync_t *this, const Member_t *from, guint64 offset,
                const KeyedPage_t *page, guint32 age_ms)
{
    gint64 at_ms = FreshnessRelay_mayBeStale(this->relay)
                       ? 0
                       : PeerAge_atMs(age_ms, Member_transitMs(from));
    this->is_from_peer = TRUE;
    gboolean applied =
        RecordFollower_applyPeerRecords(this->follower, offset, page, at_ms);
    this->is_from_peer = FALSE;
    return applied;
}

static void
note_gap(RouteSync_t *this, Member_t *from, const Wt__TopicPart *message)
{
    StorePosition_t known = RecordFollower_position(this->follower);
    StorePosition_t end = {message->epoch, message->end};
    if (known.offset > 0 && known.epoch == end.epoch &&
        message->from > known.offset) {
        catch_up(this, from, known, end);
    }
}

void
RouteSync_receivePart(RouteSync_t *this, Member_t *from,
                      const Wt__TopicPart *message)
{
    CatchUp_noteAnswer(this->catch_up, from->name->str);
    if (message->apart) {
        apply_lost_records(this, message);
        return;
    }
    if (!StoreEpoch_note(this->spec.epoch, message->epoch, "peer")) {
        return;
    }
    note_gap(this, from, message);
    KeyedPage_t page = RecordRelay_decode(message);
    if (!apply_peer_page(this, from, message->from, &page, message->age_ms)) {
        CatchUp_noteUnused(this->catch_up,
                           RecordAnswers_countBytes(page.records));
    }
    g_ptr_array_unref(page.records);
}

static gsize
count_patch_bytes(const Wt__TopicPatch *message)
{
    gsize bytes = 0;
    for (size_t i = 0; i < message->n_records; i++) {
        bytes += message->records[i]->frame.len;
    }
    return bytes;
}

static gboolean
decode_patch(const RouteSync_t *this, const Wt__TopicPatch *message,
             GPtrArray *out)
{
    for (size_t i = 0; i < message->n_records; i++) {
        g_autoptr(GError) error = NULL;
        KeyedRecord_t *record = RecordAnswers_decode(
            this->answers, message->records[i], message->epoch, &error);
        if (!record) {
            Log_error("config_patch_unusable", error);
            return FALSE;
        }
        g_ptr_array_add(out, record);
    }
    return TRUE;
}

/* A patch that can't be applied shows all the same that its sender has more
 * records. */
static void
apply_patch(RouteSync_t *this, Member_t *from, const Wt__TopicPatch *message)
{
    StorePosition_t known = RecordFollower_position(this->follower);
    KeyedPage_t page = {
        .records = g_ptr_array_new_with_free_func(KeyedRecord_free),
        .end = {message->epoch, message->end},
    };
    if (message->from > known.offset ||
        !decode_patch(this, message, page.records)) {
        catch_up(this, from, known, page.end);
    }
    else {
        apply_peer_page(this, from, message->from, &page, message->age_ms);
    }
    g_ptr_array_unref(page.records);
}

void
RouteSync_receivePatch(RouteSync_t *this, Member_t *from,
                       const Wt__TopicPatch *message)
{
    if (message->refused) {
        CatchUp_noteRefusal(this->catch_up, from->name->str);
        RouteQueries_sendNext(this->queries);
        return;
    }
    CatchUp_noteAnswer(this->catch_up, from->name->str);
    if (!StoreEpoch_note(this->spec.epoch, message->epoch, "peer")) {
        return;
    }
    StorePosition_t known = RecordFollower_position(this->follower);
    if (known.offset == 0 || known.epoch != message->epoch ||
        message->end <= known.offset) {
        CatchUp_noteUnused(this->catch_up, count_patch_bytes(message));
        return;
    }
    apply_patch(this, from, message);
}

void
RouteSync_answerQuery(RouteSync_t *this, Member_t *from,
                      const Wt__TopicAsk *message)
{
    RouteAnswerSpec_t spec = {
        .answers = this->answers,
        .relay = this->records,
        .versions = this->versions,
        .known = RecordFollower_position(this->follower),
        .end_ms = this->end_ms,
    };
    RouteAnswer_send(&spec, from, message);
}
