#include "UpstreamListing.h"

#include <xxhash.h>

#include "Clock.h"
#include "DepartedUpstreams.h"
#include "ListExchange.h"
#include "Log.h"
#include "PeerAge.h"
#include "Random.h"
#include "RecordFollower.h"
#include "RecordRelay.h"

/* Time for one prompt token on an engine that does not report it, until first
 * tokens have shown it: that of a fast engine, as to overrate it costs a wait,
 * and to underrate it a refusal. */
#define LISTED_PREFILL_US_PER_TOKEN 17.6

/* One router after the other reads the list and tells its peers: the first
 * so often in the time in which it must be known, but not more often than the
 * least, each further one so much later, so that it only reads where those
 * before it have told nothing. */
#define READS_IN_TIME 3
#define READ_LEAST_MS 600
#define READ_STEP_MS 250
/* A reader gets the heartbeats of all upstreams since its last read, and where
 * nobody is told all would read at once: the store bears so many entries; the
 * routers beyond them take their turns later. */
#define ENTRIES_AT_ONCE 100000
/* Longest mean pause between tries of a router that others read for, while the
 * store fails: with 300 routers some 90 calls a second in place of 370. */
#define RETRY_MOST_MS 3200
/* All routers list the topic anew when the store comes back older; so much of
 * time for each of them up to the most, as the store serves a few thousand
 * calls a second. */
#define LIST_SPREAD_MS 10
#define LIST_SPREAD_MOST_MS 1000
/* How long a peer may take to tell what is missing, and bytes that it tells of
 * it at once: 26 ms of a link of 20 Mbit/s. */
#define GAP_MS 600
#define GAP_BYTES 65536
/* The step between ranks doubles so often while calls fail. */
#define RETRY_DOUBLINGS 6
/* How often it is looked whether the other routers are known by now. */
#define SETTLED_LOOK_MS 200
/* New upstreams that are named, of those that come with one list or one end of
 * the topic. */
#define LISTED_NAMED 64
/* Name under which routers are ranked for it. */
#define RANK_KEY "listing"

/* Hashes of an upstream's last entry. */
typedef struct {
    guint64 entry;       /* of its bytes */
    guint64 place;       /* of all that it says but the weights */
    gboolean unreadable; /* it names no upstream to use */
} Seen_t;

struct UpstreamListing {
    UpstreamListingSpec_t spec;
    RecordFollower_t *follower;
    DepartedUpstreams_t *departed;
    GHashTable *missing; /* set of names that may come back */
    GHashTable *seen;    /* name -> Seen_t */
    GHashTable *samples; /* target -> name of an upstream that serves it */
    RecordRelay_t *relay;
    ListCopy_t *copy;
    ListExchange_t *exchange; /* NULL without peers */
    struct event *return_over;
    struct event *settled;
    gint64 regained_ms;    /* 0 where the list was never out of reach */
    gboolean known;        /* some of it was read */
    gboolean feeding;      /* what is told now comes from a peer */
    gboolean listing;      /* records of a list have come since the last end */
    guint listed;          /* upstreams that were new in it */
    gint64 current_ms;     /* when the topic's end was last known */
    gint64 told_ms;        /* when a peer last told something new */
    guint retries;         /* turns in a row that were taken after a failure */
    gint64 called_ms;      /* when this router last took its turn */
    Member_t *teller;      /* whose word is taken now, or NULL */
    StorePosition_t ahead; /* furthest end that peers have told of */
    gint64 gap_ms;         /* since when something is missing; 0: nothing */
    gint64 gap_asked_ms;   /* when a peer was asked for what is missing */
    GString *gap_peer;     /* its name */
};

static void
log_upstream(const char *event, const char *name, const char *reason)
{
    Log_begin(LOG_LEVEL_INFO, event);
    Log_text("upstream", name);
    Log_text("reason", reason);
    Log_end();
}

static void
drop(UpstreamListing_t *this, const char *name, const char *reason)
{
    const Upstream_t *upstream = UpstreamSet_find(this->spec.upstreams, name);
    log_upstream("upstream_gone", name, reason);
    DepartedUpstreams_note(this->departed, upstream,
                           StoreEpoch_newest(this->spec.epoch), Clock_nowMs());
    UpstreamSet_drop(this->spec.upstreams, name);
}

static void
on_return_over(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    UpstreamListing_t *this = data;
    GHashTableIter iter;
    gpointer name = NULL;
    g_hash_table_iter_init(&iter, this->missing);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        drop(this, name, "not_back_after_outage");
        g_hash_table_iter_remove(&iter);
    }
}

static gint64
return_left_ms(const UpstreamListing_t *this)
{
    if (RecordFollower_isLost(this->follower)) {
        return this->spec.return_ms;
    }
    if (this->regained_ms == 0) {
        return 0;
    }
    return this->regained_ms + this->spec.return_ms - Clock_nowMs();
}

static void
take_removal(UpstreamListing_t *this, const char *name)
{
    g_hash_table_remove(this->seen, name);
    if (!UpstreamSet_find(this->spec.upstreams, name)) {
        return;
    }
    gint64 left_ms = return_left_ms(this);
    if (left_ms <= 0) {
        drop(this, name, "not_listed");
        return;
    }
    log_upstream("upstream_missing", name, "lapsed_in_outage");
    g_hash_table_add(this->missing, g_strdup(name));
    Clock_arm(this->return_over, left_ms);
}

static void
note_leaving(UpstreamListing_t *this, Upstream_t *upstream)
{
    if (!Upstream_noteLeaving(upstream, upstream->incarnation,
                              Clock_nowMs())) {
        return;
    }
    Membership_spreadUpstream(this->spec.membership, upstream->name->str);
    log_upstream("upstream_leaving", upstream->name->str, "listed");
}

/* The weights of an upstream that is new here come with its entry. */
static void
take_weights(const UpstreamListing_t *this, Upstream_t *upstream,
             const char *weights, gboolean is_new)
{
    if (!*weights || !Upstream_noteWeights(upstream, weights) || is_new ||
        !this->spec.hints) {
        return;
    }
    Hint_t hint = {HINT_LOADED, upstream->hash,
                   (guint)Upstream_weightsVersion(upstream)};
    HintFlood_broadcast(this->spec.hints, &hint);
}

static gboolean
is_serving(const Upstream_t *upstream, const GString *target)
{
    for (guint i = 0; i < upstream->serves->len; i++) {
        if (g_string_equal(upstream->serves->pdata[i], target)) {
            return TRUE;
        }
    }
    return FALSE;
}

/* The set is put in order anew when it is asked after an entry: to ask for
 * each of 3,000 new ones took a router 2 s of processor time at its start. */
static const Upstream_t *
find_sample(const UpstreamListing_t *this, UpstreamRole_t role,
            const GString *target)
{
    const char *name = g_hash_table_lookup(this->samples, target->str);
    const Upstream_t *known =
        name ? UpstreamSet_find(this->spec.upstreams, name) : NULL;
    if (known && known->role == role && is_serving(known, target)) {
        return known;
    }
    const GPtrArray *others =
        UpstreamSet_serving(this->spec.upstreams, role, target->str);
    if (others->len == 0) {
        return NULL;
    }
    const Upstream_t *first = g_ptr_array_index(others, 0);
    g_hash_table_replace(this->samples, g_strdup(target->str),
                         g_strdup(first->name->str));
    return first;
}

/* What is known of an upstream that has started anew under its name is gone:
 * it holds nothing of before. */
static void
take_incarnation(const UpstreamListing_t *this, Upstream_t *upstream,
                 const ListedUpstream_t *entry)
{
    guint64 before = upstream->incarnation;
    if (!Upstream_noteIncarnation(upstream, ListedUpstream_incarnation(entry),
                                  Clock_nowMs())) {
        return;
    }
    if (this->spec.membership) {
        Membership_spreadUpstream(this->spec.membership, upstream->name->str);
    }
    Log_begin(LOG_LEVEL_INFO, "upstream_reborn");
    Log_text("upstream", upstream->name->str);
    Log_number("incarnation", (gint64)upstream->incarnation);
    Log_number("before", (gint64)before);
    Log_end();
}

/* As fast as another one that serves the same, as far as is known. */
static double
expected_speed(const UpstreamListing_t *this, const ListedUpstream_t *entry)
{
    if (entry->spec.serves->len == 0) {
        return LISTED_PREFILL_US_PER_TOKEN;
    }
    const Upstream_t *sample =
        find_sample(this, (UpstreamRole_t)entry->spec.role,
                    g_ptr_array_index(entry->spec.serves, 0));
    return sample ? sample->prefill_us_per_token : LISTED_PREFILL_US_PER_TOKEN;
}

/* Of a long list the first are named; its last line has the count. */
static void
note_new(UpstreamListing_t *this, const char *name,
         const ListedUpstream_t *entry)
{
    this->listed++;
    if (this->listed > LISTED_NAMED) {
        return;
    }
    log_upstream("upstream_listed", name, entry->leaving ? "leaving" : "live");
}

static void
take_entry(UpstreamListing_t *this, const char *name,
           const ListedUpstream_t *entry)
{
    gboolean is_new = !UpstreamSet_find(this->spec.upstreams, name);
    double speed = is_new ? expected_speed(this, entry) : 0;
    Upstream_t *upstream =
        UpstreamSet_put(this->spec.upstreams, name, &entry->spec);
    if (is_new) {
        note_new(this, name, entry);
        Upstream_noteIncarnation(upstream, ListedUpstream_incarnation(entry),
                                 Clock_nowMs());
        upstream->versions_increase = TRUE;
        upstream->prefill_us_per_token = speed;
    }
    else {
        take_incarnation(this, upstream, entry);
    }
    take_weights(this, upstream, entry->weights->str, is_new);
    if (entry->leaving) {
        note_leaving(this, upstream);
    }
}

/* Most entries are heartbeats that say the same again; with thousands of
 * upstreams it counts that they are not read. The same holds for one that
 * names no upstream, which would be logged each time. */
static gboolean
is_unchanged(const UpstreamListing_t *this, const char *name, guint64 hash)
{
    const Seen_t *seen = g_hash_table_lookup(this->seen, name);
    return seen && seen->entry == hash &&
           (seen->unreadable || UpstreamSet_find(this->spec.upstreams, name));
}

static void
note_seen(UpstreamListing_t *this, const char *name, const Seen_t *seen)
{
    g_hash_table_replace(this->seen, g_strdup(name),
                         g_memdup2(seen, sizeof(*seen)));
}

/* Peers that are linked are told; who asks later is told by the copy. */
static void
tell_change(UpstreamListing_t *this, const KeyedRecord_t *record)
{
    RecordRelay_addUpdate(this->relay, record->key->str, record->value,
                          record->position);
    if (!this->listing) {
        ListCopy_noteChange(this->copy, record);
    }
}

/* Weights change often, all engines' within seconds; peers hear of them by
 * hints, which take a tenth of the bytes. */
static void
relay_entry(UpstreamListing_t *this, const KeyedRecord_t *record, guint64 hash,
            guint64 place)
{
    const char *name = record->key->str;
    const Seen_t *seen = g_hash_table_lookup(this->seen, name);
    if (!seen || seen->place != place) {
        tell_change(this, record);
    }
    Seen_t now = {.entry = hash, .place = place};
    note_seen(this, name, &now);
}

/* Another writer has put something in its place: peers are told, as what they
 * know of it ends here as well. */
static void
take_unreadable(UpstreamListing_t *this, const KeyedRecord_t *record,
                guint64 hash, const GError *error)
{
    const char *name = record->key->str;
    Seen_t seen = {.entry = hash, .unreadable = TRUE};
    Log_begin(LOG_LEVEL_WARNING, "listing_entry_unreadable");
    Log_text("upstream", name);
    Log_text("reason", error ? error->message : "");
    Log_end();
    tell_change(this, record);
    note_seen(this, name, &seen);
    if (UpstreamSet_find(this->spec.upstreams, name)) {
        drop(this, name, "entry_unreadable");
    }
}

/* Return: FALSE where an older copy lists what has departed */
static gboolean
check_departed(UpstreamListing_t *this, const KeyedRecord_t *record,
               ListedUpstream_t *entry)
{
    const char *name = record->key->str;
    Departed_t departed = DepartedUpstreams_find(
        this->departed, name, ListedUpstream_incarnation(entry),
        record->position.epoch);
    gboolean is_new = !RecordFollower_isListing(this->follower);
    if (departed == DEPARTED_NOT || (departed == DEPARTED_LAPSED && is_new)) {
        DepartedUpstreams_forget(this->departed, name);
        return TRUE;
    }
    log_upstream("upstream_entry_older", name,
                 departed == DEPARTED_LEFT ? "left" : "lapsed");
    entry->leaving = TRUE;
    return departed == DEPARTED_LEFT;
}

/* An older copy has an upstream where it was before its last start: at an
 * address that may be another one's by now. */
static gboolean
is_of_former_start(const UpstreamListing_t *this, const char *name,
                   const ListedUpstream_t *entry)
{
    const Upstream_t *known = UpstreamSet_find(this->spec.upstreams, name);
    if (!known || ListedUpstream_incarnation(entry) >= known->incarnation) {
        return FALSE;
    }
    log_upstream("upstream_entry_older", name, "former_start");
    return TRUE;
}

static void
read_entry(UpstreamListing_t *this, const KeyedRecord_t *record, guint64 hash)
{
    ListedUpstream_t entry;
    ListedUpstream_init(&entry);
    g_autoptr(GError) error = NULL;
    if (this->spec.decode(record->value, &entry, &error)) {
        g_string_assign(
            entry.spec.region,
            HallRegions_find(this->spec.regions, entry.spec.hall->str));
        if (!is_of_former_start(this, record->key->str, &entry) &&
            check_departed(this, record, &entry)) {
            relay_entry(this, record, hash, ListedUpstream_hashPlace(&entry));
            take_entry(this, record->key->str, &entry);
        }
    }
    else {
        take_unreadable(this, record, hash, error);
    }
    ListedUpstream_clear(&entry);
}

/* A router that knows a part of the upstreams serves by them. */
static void
note_listing(UpstreamListing_t *this)
{
    this->known = TRUE;
    if (RecordFollower_isListing(this->follower) && !this->listing) {
        this->listing = TRUE;
    }
}

static void
on_record(void *owner, const KeyedRecord_t *record)
{
    UpstreamListing_t *this = owner;
    const char *name = record->key->str;
    note_listing(this);
    ListCopy_put(this->copy, record);
    if (!record->value) {
        tell_change(this, record);
        take_removal(this, name);
        return;
    }
    gsize length = 0;
    const void *bytes = g_bytes_get_data(record->value, &length);
    guint64 hash = XXH3_64bits(bytes, length);
    g_hash_table_remove(this->missing, name);
    if (!is_unchanged(this, name, hash)) {
        read_entry(this, record, hash);
    }
}

/* How long this router leaves the next read to those before it. One that does
 * not know the others yet would take itself for the first. */
static gint64
pause_ms(const UpstreamListing_t *this)
{
    gint64 every_ms = MAX(this->spec.poll_ms / READS_IN_TIME, READ_LEAST_MS);
    if (!this->spec.membership) {
        return MIN(every_ms, this->spec.poll_ms);
    }
    if (!Membership_isConverged(this->spec.membership)) {
        return this->spec.poll_ms;
    }
    gint64 rank = Membership_localRank(this->spec.membership, RANK_KEY, NULL);
    gint64 wanted = every_ms + rank * READ_STEP_MS;
    return MIN(wanted, this->spec.poll_ms);
}

static void
set_reads(UpstreamListing_t *this)
{
    gint64 pause = pause_ms(this);
    gboolean for_others = pause < this->spec.poll_ms;
    RecordFollower_setReadTiming(this->follower, 0, pause,
                                 for_others ? 0 : RETRY_MOST_MS);
}

static void
end_listing(UpstreamListing_t *this, StorePosition_t end)
{
    this->listing = FALSE;
    ListCopy_startChanges(this->copy, end);
}

static void
log_listed(UpstreamListing_t *this, StorePosition_t end)
{
    if (this->listed > LISTED_NAMED) {
        Log_begin(LOG_LEVEL_INFO, "upstreams_listed");
        Log_number("new", this->listed);
        Log_number("upstreams", ListCopy_countKeys(this->copy));
        Log_text("from", this->feeding ? "peer" : "store");
        Log_number("end", (gint64)end.offset);
        Log_end();
    }
    this->listed = 0;
}

static void
note_copy(UpstreamListing_t *this, StorePosition_t end, gint64 at_ms)
{
    if (this->listing || !this->known) {
        end_listing(this, end);
    }
    log_listed(this, end);
    this->current_ms = at_ms;
    if (this->exchange) {
        ListExchange_setCurrent(this->exchange, end, at_ms);
    }
}

static void
on_current(void *owner, StorePosition_t end, gint64 at_ms)
{
    UpstreamListing_t *this = owner;
    note_copy(this, end, at_ms);
    this->known = TRUE;
    set_reads(this);
    RecordRelay_broadcast(this->relay, end, at_ms, this->regained_ms,
                          this->feeding);
}

/* Ranks are known once the router has had time to learn of the others. */
static void
on_settled(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    UpstreamListing_t *this = data;
    if (Membership_isConverged(this->spec.membership)) {
        set_reads(this);
    }
    else {
        Clock_arm(this->settled, SETTLED_LOOK_MS);
    }
}

static gboolean
ask_rest(UpstreamListing_t *this, Member_t *peer)
{
    StorePosition_t known = RecordFollower_position(this->follower);
    gboolean asked = RecordRelay_sendQuery(this->relay, peer, known, 0);
    this->gap_asked_ms = asked ? Clock_nowMs() : 0;
    g_string_assign(this->gap_peer, asked ? peer->name->str : "");
    return asked;
}

/* Who has told of a later end knows what is missing before it. Each router
 * that read it from the store would read all upstreams' heartbeats as well. */
static gboolean
on_gap(void *owner)
{
    UpstreamListing_t *this = owner;
    gint64 now_ms = Clock_nowMs();
    if (this->gap_asked_ms > 0 && now_ms - this->gap_asked_ms < GAP_MS) {
        return TRUE;
    }
    if (!this->teller) {
        return FALSE;
    }
    if (this->gap_ms == 0) {
        this->gap_ms = now_ms;
    }
    return !ListExchange_mayQuery(this->exchange, this->teller,
                                  now_ms - this->gap_ms) ||
           ask_rest(this, this->teller);
}

/* An answer has a part of a long gap. Only who was asked last is asked on: an
 * answer that comes late would begin a second row of them. */
static void
go_on_asking(UpstreamListing_t *this, Member_t *peer)
{
    StorePosition_t known = RecordFollower_position(this->follower);
    if (!peer || !g_string_equal(this->gap_peer, peer->name)) {
        return;
    }
    this->gap_asked_ms = 0;
    if (StorePosition_compare(known, this->ahead) < 0) {
        ask_rest(this, peer);
    }
}

void
UpstreamListing_take(UpstreamListing_t *this, Member_t *from,
                     const Wt__TopicPart *message)
{
    if (!StoreEpoch_note(this->spec.epoch, message->epoch, "peer")) {
        return;
    }
    KeyedPage_t page = RecordRelay_decode(message);
    if (message->regained_age_ms > 0) {
        gint64 regained_ms = PeerAge_atMs(message->regained_age_ms);
        this->regained_ms = MAX(this->regained_ms, regained_ms);
    }
    if (StorePosition_compare(page.end, this->ahead) > 0) {
        this->ahead = page.end;
    }
    this->feeding = TRUE;
    this->teller = from;
    gint64 at_ms = message->partial ? 0 : PeerAge_atMs(message->age_ms);
    gboolean taken = RecordFollower_applyPeerRecords(
        this->follower, message->from, &page, at_ms);
    this->teller = NULL;
    this->feeding = FALSE;
    g_ptr_array_unref(page.records);
    if (taken) {
        this->told_ms = Clock_nowMs();
        this->gap_ms = 0;
        go_on_asking(this, from);
    }
}

void
UpstreamListing_answer(const UpstreamListing_t *this, Member_t *from,
                       const Wt__TopicAsk *ask)
{
    StorePosition_t place = {ask->epoch, ask->from};
    StorePosition_t known = RecordFollower_position(this->follower);
    StorePosition_t end = known;
    g_autoptr(GPtrArray) records = g_ptr_array_new();
    if (known.epoch == place.epoch && known.offset > place.offset &&
        ListExchange_mayServe(this->exchange, from) &&
        ListCopy_readChanges(this->copy, place, GAP_BYTES, records, &end)) {
        gboolean all = StorePosition_compare(end, known) == 0;
        RecordRelay_sendAnswer(this->relay, from, place.offset, records, end,
                               all ? this->current_ms : 0);
    }
}

static void
on_regained(void *owner)
{
    UpstreamListing_t *this = owner;
    this->regained_ms = Clock_nowMs();
}

static gint64
spread_ms(const UpstreamListing_t *this)
{
    gint64 routers = this->spec.membership
                         ? Membership_countActive(this->spec.membership)
                         : 1;
    gint64 most_ms = MIN(routers * LIST_SPREAD_MS, LIST_SPREAD_MOST_MS);
    return Random_below((guint32)most_ms);
}

/* Entries that it has lost are written again, as after any outage; until they
 * are, the upstreams that are known stay in use. */
static void
on_store_back(void *owner)
{
    UpstreamListing_t *this = owner;
    this->regained_ms = Clock_nowMs();
    RecordFollower_beginEpoch(this->follower, spread_ms(this));
    if (this->exchange) {
        ListExchange_startQueries(this->exchange);
    }
}

/* What a read brings: all heartbeats, or what peers have told the end of. */
static gint64
entries_missing(const UpstreamListing_t *this)
{
    StorePosition_t known = RecordFollower_position(this->follower);
    gint64 behind = (gint64)(this->ahead.offset - known.offset);
    gboolean comparable =
        known.offset > 0 && this->ahead.epoch == known.epoch && behind > 0;
    return MAX(ListCopy_countKeys(this->copy), comparable ? behind : 1);
}

/* Ranks beyond those that the store bears at once take turns of their own,
 * and only where nobody has told anything. */
static gint64
turn_ms(const UpstreamListing_t *this)
{
    gint64 rank = Membership_localRank(this->spec.membership, RANK_KEY, NULL);
    gint64 beyond = rank - ENTRIES_AT_ONCE / entries_missing(this);
    gint64 last_ms =
        MAX(MAX(this->current_ms, this->told_ms), this->called_ms);
    return beyond > 0 ? last_ms + this->spec.poll_ms + beyond * READ_STEP_MS
                      : 0;
}

/* A call that fails shows that the store has too much to do, or that it is
 * away. Where the store bears the reads of all, each has its turn in the time
 * in which a leaving must be known: peers may not know what it missed. */
static gint64
retry_turn_ms(const UpstreamListing_t *this)
{
    gint64 rank = Membership_localRank(this->spec.membership, RANK_KEY, NULL);
    gint64 routers = Membership_countActive(this->spec.membership);
    gboolean bears = ListCopy_countKeys(this->copy) > 0 &&
                     routers * entries_missing(this) <= ENTRIES_AT_ONCE;
    gint64 step_ms = READ_STEP_MS << MIN(this->retries, RETRY_DOUBLINGS);
    gint64 after_ms =
        bears ? MIN(rank * READ_STEP_MS, this->spec.poll_ms) : rank * step_ms;
    return MAX(this->called_ms, this->told_ms) + after_ms;
}

static gint64
turn_wait_ms(UpstreamListing_t *this)
{
    gint64 now_ms = Clock_nowMs();
    if (!Membership_isComplete(this->spec.membership)) {
        return SETTLED_LOOK_MS;
    }
    gboolean lost = RecordFollower_isLost(this->follower);
    gint64 due_ms = lost ? retry_turn_ms(this) : turn_ms(this);
    if (due_ms > now_ms) {
        return due_ms - now_ms;
    }
    this->called_ms = now_ms;
    this->retries = lost ? this->retries + 1 : 0;
    return 0;
}

static gint64
wait_ms(void *owner, gboolean lists)
{
    UpstreamListing_t *this = owner;
    if (!this->exchange) {
        return 0;
    }
    return lists ? ListExchange_msUntilStoreRead(this->exchange)
                 : turn_wait_ms(this);
}

static const RecordFollowerEvents_t follower_events = {
    .record = on_record,
    .current = on_current,
    .restored = on_regained,
    .wait_ms = wait_ms,
    .gap = on_gap,
};

static void
create_exchange(UpstreamListing_t *this, struct event_base *base)
{
    ListExchangeSpec_t spec = {
        .topic = this->spec.topic,
        .membership = this->spec.membership,
        .epoch = this->spec.epoch,
        .counters = this->spec.counters,
    };
    this->exchange = ListExchange_create(base, &spec, this->copy);
    ListExchange_setFollower(this->exchange, this->follower);
    Clock_arm(this->settled, SETTLED_LOOK_MS);
}

UpstreamListing_t *
UpstreamListing_create(struct event_base *base,
                       const UpstreamListingSpec_t *spec)
{
    UpstreamListing_t *this = g_new0(UpstreamListing_t, 1);
    this->spec = *spec;
    this->missing =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    this->seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    this->samples =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    this->departed = DepartedUpstreams_create();
    this->relay = RecordRelay_create(spec->membership, spec->topic);
    this->copy = ListCopy_create();
    this->gap_peer = g_string_new(NULL);
    this->return_over = Clock_timer(base, on_return_over, this);
    this->settled = Clock_timer(base, on_settled, this);
    RecordFollowerSpec_t follow = {
        .source = spec->source,
        .topic = spec->topic,
        .pause_ms = spec->poll_ms,
        .counters = spec->counters,
    };
    this->follower =
        RecordFollower_create(base, &follow, &follower_events, this);
    StoreEpoch_addListener(spec->epoch, on_store_back, this);
    if (spec->membership) {
        create_exchange(this, base);
    }
    return this;
}

void
UpstreamListing_setTimes(UpstreamListing_t *this, gint64 poll_ms,
                         gint64 return_ms)
{
    this->spec.poll_ms = poll_ms;
    this->spec.return_ms = return_ms;
}

void
UpstreamListing_destroy(UpstreamListing_t *this)
{
    StoreEpoch_removeListener(this->spec.epoch, this);
    RecordFollower_destroy(this->follower);
    if (this->exchange) {
        ListExchange_destroy(this->exchange);
    }
    ListCopy_destroy(this->copy);
    g_string_free(this->gap_peer, TRUE);
    RecordRelay_destroy(this->relay);
    DepartedUpstreams_destroy(this->departed);
    event_free(this->return_over);
    event_free(this->settled);
    g_hash_table_destroy(this->missing);
    g_hash_table_destroy(this->seen);
    g_hash_table_destroy(this->samples);
    g_free(this);
}

void
UpstreamListing_takeAsk(UpstreamListing_t *this, Member_t *from,
                        const Wt__ListAsk *ask)
{
    ListExchange_answerQuery(this->exchange, from, ask);
}

void
UpstreamListing_takePage(UpstreamListing_t *this, Member_t *from,
                         const Wt__ListPage *page)
{
    this->feeding = TRUE;
    ListExchange_receivePage(this->exchange, from, page);
    this->feeding = FALSE;
}

gboolean
UpstreamListing_isKnown(const UpstreamListing_t *this)
{
    return this->known;
}
