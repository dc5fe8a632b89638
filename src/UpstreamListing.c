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

/* Assumed prefill time per prompt token of an engine that does not report it,
 * until first tokens have been observed. It is that of a fast engine:
 * overestimating the speed costs a request a wait, underestimating it a
 * refusal. */
#define LISTED_PREFILL_US_PER_TOKEN 17.6

/* Routers read the list in order of their ranks and send it to their peers.
 * The first one reads READS_PER_POLL times within poll_ms, but at least
 * READ_MIN_MS apart. Each further rank waits READ_STEP_MS longer, so that it
 * only reads if the routers of lower ranks have sent nothing. */
#define READS_PER_POLL 3
#define READ_MIN_MS 600
#define READ_STEP_MS 250
/* A read returns the heartbeats of all upstreams since the router's last read,
 * and routers that receive nothing from their peers would all read at once.
 * The store can serve this many entries at once; routers whose ranks are too
 * high for that read later. */
#define ENTRIES_AT_ONCE_MAX 100000
/* Maximum mean pause between retries while the store fails, for a router whose
 * peers read for it: with 300 routers about 90 calls per second instead of
 * 370. */
#define RETRY_MAX_MS 3200
/* Routers of the first ranks check the list's end for callers, at most once
 * per CHECK_STEP_MS for each router of the fleet, within the bounds: what they
 * read is sent to all. The others wait for that, or for the regular read. */
#define CHECK_RANKS 8
#define CHECK_STEP_MS 5
#define CHECK_MIN_MS 100
/* When the store is restored from an older copy, all routers list the topic
 * again. The calls are spread over LIST_SPREAD_MS per router, up to the
 * maximum, as the store serves a few thousand calls per second. */
#define LIST_SPREAD_MS 10
#define LIST_SPREAD_MAX_MS 1000
/* Timeout of a query for missing records, and the maximum bytes of one answer:
 * 26 ms of a 20 Mbit/s link. */
#define GAP_QUERY_TIMEOUT_MS 600
#define GAP_ANSWER_MAX_BYTES 65536
/* The step between ranks doubles with each retry, up to this many times. */
#define RETRY_DOUBLINGS_MAX 6
/* Interval at which the router checks whether its membership has converged. */
#define MEMBERSHIP_CHECK_MS 200
/* Maximum number of new upstreams that are logged by name, for each list or
 * read of the topic's end. */
#define LISTED_LOGGED_MAX 64
/* Key by which routers are ranked for reading the list. */
#define RANK_KEY "listing"

/* Hashes of an upstream's last entry. */
typedef struct {
    guint64 value;           /* of the entry's bytes */
    guint64 without_weights; /* of the entry's other fields */
    gboolean unreadable;     /* the entry is not a valid upstream */
} EntryHashes_t;

struct UpstreamListing {
    UpstreamListingSpec_t spec;
    RecordFollower_t *follower;
    DepartedUpstreams_t *departed;
    GHashTable *missing;      /* names that may be listed again in time */
    GHashTable *entry_hashes; /* name -> EntryHashes_t */
    GHashTable *samples; /* target -> name of an upstream that serves it */
    RecordRelay_t *relay;
    ListCopy_t *copy;
    ListExchange_t *exchange; /* NULL without peers */
    struct event *return_timer;
    struct event *membership_timer;
    gint64 restored_ms;       /* end of the last outage; 0 if there was none */
    gboolean known;           /* any part of the list has been read */
    gboolean is_from_peer;    /* the records being applied are a peer's */
    gboolean is_expired;      /* records expired before they were read */
    gboolean is_list_open;    /* list records came since the last end */
    guint listed;             /* new upstreams since the last end */
    gint64 current_ms;        /* when the topic's end was last known */
    gint64 checked_ms;        /* when the end was last checked */
    gint64 peer_update_ms;    /* when a peer last sent new records */
    guint retries;            /* consecutive calls made after a failure */
    gint64 called_ms;         /* when this router last called the store */
    Member_t *sender;         /* of the records being applied, or NULL */
    StorePosition_t peer_end; /* furthest end received from peers */
    gint64 gap_since_ms;      /* since when records are missing; 0: none */
    gint64 gap_query_ms;      /* when the open gap query was sent; 0: none */
    GString *gap_peer;        /* name of the queried peer */
    GHashTable *gap_sources;  /* names of other peers that sent a later end */
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
remove_upstream(UpstreamListing_t *this, const char *name, const char *reason)
{
    const Upstream_t *upstream = UpstreamSet_find(this->spec.upstreams, name);
    log_upstream("upstream_gone", name, reason);
    DepartedUpstreams_note(this->departed, upstream,
                           StoreEpoch_newest(this->spec.epoch), Clock_nowMs());
    UpstreamSet_remove(this->spec.upstreams, name);
    if (this->spec.versions) {
        SoftwareVersions_remove(this->spec.versions, name, Clock_nowMs());
    }
}

static void
on_return_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    UpstreamListing_t *this = data;
    GHashTableIter iter;
    gpointer name = NULL;
    g_hash_table_iter_init(&iter, this->missing);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        remove_upstream(this, name, "not_back_after_outage");
        g_hash_table_iter_remove(&iter);
    }
}

static gint64
return_remaining_ms(const UpstreamListing_t *this)
{
    if (RecordFollower_isLost(this->follower)) {
        return this->spec.return_ms;
    }
    if (this->restored_ms == 0) {
        return 0;
    }
    return this->restored_ms + this->spec.return_ms - Clock_nowMs();
}

/* What was listed and removed meanwhile is not known. */
static void
note_gap(const UpstreamListing_t *this)
{
    if (this->spec.versions && this->current_ms > 0) {
        SoftwareVersions_noteGap(this->spec.versions, Clock_nowMs());
    }
}

static void
apply_removal(UpstreamListing_t *this, const char *name)
{
    if (!g_hash_table_remove(this->entry_hashes, name)) {
        note_gap(this);
    }
    if (!UpstreamSet_find(this->spec.upstreams, name)) {
        return;
    }
    gint64 remaining_ms = return_remaining_ms(this);
    if (remaining_ms <= 0) {
        remove_upstream(this, name, "not_listed");
        return;
    }
    log_upstream("upstream_missing", name, "lapsed_in_outage");
    g_hash_table_add(this->missing, g_strdup(name));
    Clock_arm(this->return_timer, remaining_ms);
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

/* Peers learn the weights of a new upstream from its entry, so only changes
 * are sent as hints. */
static void
apply_weights(const UpstreamListing_t *this, Upstream_t *upstream,
              const char *weights, gboolean is_new)
{
    if (!*weights || !Upstream_noteWeights(upstream, weights) || is_new ||
        !this->spec.hints) {
        return;
    }
    Hint_t hint = {HINT_LOADED, upstream->hash,
                   (guint)Upstream_weightsVersion(upstream)};
    HintBroadcast_add(this->spec.hints, &hint);
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

/* Caches one upstream per target, because the set rebuilds its indexes when
 * they are read after a change: a look-up for each of 3,000 new upstreams took
 * a router 2 s of CPU time at its start. */
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
    const GPtrArray *serving =
        UpstreamSet_findServing(this->spec.upstreams, role, target->str);
    if (serving->len == 0) {
        return NULL;
    }
    const Upstream_t *first = g_ptr_array_index(serving, 0);
    g_hash_table_replace(this->samples, g_strdup(target->str),
                         g_strdup(first->name->str));
    return first;
}

/* An upstream that restarted under the same name has lost its memory, so the
 * state of its previous incarnation is reset. */
static void
apply_incarnation(const UpstreamListing_t *this, Upstream_t *upstream,
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

/* A new upstream is assumed to be as fast as another one of its target. */
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

/* Only the first upstreams of a long list are logged by name; log_listed()
 * logs the count. */
static void
note_new_upstream(UpstreamListing_t *this, const char *name,
                  const ListedUpstream_t *entry)
{
    this->listed++;
    if (this->listed > LISTED_LOGGED_MAX) {
        return;
    }
    Log_begin(LOG_LEVEL_INFO, "upstream_listed");
    Log_text("upstream", name);
    Log_text("reason", entry->leaving ? "leaving" : "live");
    Log_text("software", entry->software->str);
    Log_end();
}

/* An upstream that leaves begins no streams. */
static guint64
start_of(const Upstream_t *upstream, const ListedUpstream_t *entry)
{
    return entry->leaving ? 0
                          : Upstream_hashIncarnation(
                                upstream, ListedUpstream_incarnation(entry));
}

static void
apply_software(const UpstreamListing_t *this, Upstream_t *upstream,
               const ListedUpstream_t *entry)
{
    const char *software = entry->software->str;
    Upstream_noteSoftware(upstream, software,
                          ListedUpstream_incarnation(entry));
    if (this->spec.versions && entry->spec.serves->len > 0) {
        const GString *service = g_ptr_array_index(entry->spec.serves, 0);
        SoftwareVersions_put(this->spec.versions, upstream->name->str,
                             service->str, software, Clock_nowMs());
        SoftwareVersions_noteStart(this->spec.versions, upstream->name->str,
                                   start_of(upstream, entry));
    }
}

static void
apply_entry(UpstreamListing_t *this, const char *name,
            const ListedUpstream_t *entry)
{
    gboolean is_new = !UpstreamSet_find(this->spec.upstreams, name);
    double speed = is_new ? expected_speed(this, entry) : 0;
    Upstream_t *upstream =
        UpstreamSet_put(this->spec.upstreams, name, &entry->spec);
    if (is_new) {
        note_new_upstream(this, name, entry);
        Upstream_noteIncarnation(upstream, ListedUpstream_incarnation(entry),
                                 Clock_nowMs());
        upstream->versions_increase = TRUE;
        upstream->prefill_us_per_token = speed;
    }
    else {
        apply_incarnation(this, upstream, entry);
    }
    apply_software(this, upstream, entry);
    apply_weights(this, upstream, entry->weights->str, is_new);
    if (entry->leaving) {
        note_leaving(this, upstream);
    }
}

/* Most records are heartbeats that repeat the last entry. With thousands of
 * upstreams decoding them again is expensive, and an unreadable entry would be
 * logged each time. */
static gboolean
is_unchanged(const UpstreamListing_t *this, const char *name, guint64 hash)
{
    const EntryHashes_t *last = g_hash_table_lookup(this->entry_hashes, name);
    return last && last->value == hash &&
           (last->unreadable || UpstreamSet_find(this->spec.upstreams, name));
}

static void
store_hashes(UpstreamListing_t *this, const char *name,
             const EntryHashes_t *hashes)
{
    g_hash_table_replace(this->entry_hashes, g_strdup(name),
                         g_memdup2(hashes, sizeof(*hashes)));
}

/* Queues a record for all connected peers. Outside of a list it is also added
 * to the changes of the copy, from which later queries are answered. */
static void
relay_change(UpstreamListing_t *this, const KeyedRecord_t *record)
{
    RecordRelay_addUpdate(this->relay, record->key->str, record->value,
                          record->position);
    if (!this->is_list_open) {
        ListCopy_noteChange(this->copy, record);
    }
}

/* Entries whose weights alone changed are not relayed: the weights of all
 * engines may change within seconds, and peers learn of them by hints, which
 * take a tenth of the bytes. */
static void
relay_entry(UpstreamListing_t *this, const KeyedRecord_t *record, guint64 hash,
            guint64 without_weights)
{
    const char *name = record->key->str;
    const EntryHashes_t *last = g_hash_table_lookup(this->entry_hashes, name);
    if (!last || last->without_weights != without_weights) {
        relay_change(this, record);
    }
    EntryHashes_t hashes = {.value = hash, .without_weights = without_weights};
    store_hashes(this, name, &hashes);
}

/* Another writer has overwritten the upstream's entry. The record is relayed,
 * as peers have to remove the upstream as well. */
static void
apply_unreadable(UpstreamListing_t *this, const KeyedRecord_t *record,
                 guint64 hash, const GError *error)
{
    const char *name = record->key->str;
    EntryHashes_t hashes = {.value = hash, .unreadable = TRUE};
    Log_begin(LOG_LEVEL_WARNING, "listing_entry_unreadable");
    Log_text("upstream", name);
    Log_text("reason", error ? error->message : "");
    Log_end();
    relay_change(this, record);
    store_hashes(this, name, &hashes);
    if (UpstreamSet_find(this->spec.upstreams, name)) {
        remove_upstream(this, name, "entry_unreadable");
    }
}

/* Return: FALSE if the entry of a departed upstream is from an older copy and
 * is to be ignored */
static gboolean
check_departed(UpstreamListing_t *this, const KeyedRecord_t *record,
               ListedUpstream_t *entry)
{
    const char *name = record->key->str;
    DepartedCheck_t departed = DepartedUpstreams_check(
        this->departed, name, ListedUpstream_incarnation(entry),
        record->position.epoch);
    gboolean is_new = !RecordFollower_isListing(this->follower);
    if (departed == DEPARTED_NOT || (departed == DEPARTED_LAPSED && is_new)) {
        DepartedUpstreams_remove(this->departed, name);
        return TRUE;
    }
    log_upstream("upstream_entry_older", name,
                 departed == DEPARTED_LEFT ? "left" : "lapsed");
    entry->leaving = TRUE;
    return departed == DEPARTED_LEFT;
}

/* A store restored from an older copy may list an upstream as it was before
 * its last start, at an address that another upstream may use by now. */
static gboolean
is_former_incarnation(const UpstreamListing_t *this, const char *name,
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
        if (!is_former_incarnation(this, record->key->str, &entry) &&
            check_departed(this, record, &entry)) {
            relay_entry(this, record, hash,
                        ListedUpstream_hashWithoutWeights(&entry));
            apply_entry(this, record->key->str, &entry);
        }
    }
    else {
        apply_unreadable(this, record, hash, error);
    }
    ListedUpstream_clear(&entry);
}

/* A router that knows only a part of the upstreams already uses them. */
static void
note_list_record(UpstreamListing_t *this)
{
    this->known = TRUE;
    if (RecordFollower_isListing(this->follower) && !this->is_list_open) {
        this->is_list_open = TRUE;
    }
}

static void
on_record(void *owner, const KeyedRecord_t *record)
{
    UpstreamListing_t *this = owner;
    const char *name = record->key->str;
    note_list_record(this);
    ListCopy_put(this->copy, record);
    if (!record->value) {
        relay_change(this, record);
        apply_removal(this, name);
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

/* How long this router leaves the next read to routers of lower ranks. While
 * its membership has not converged it would take itself for the first rank. */
static gint64
read_pause_ms(const UpstreamListing_t *this)
{
    gint64 interval_ms = MAX(this->spec.poll_ms / READS_PER_POLL, READ_MIN_MS);
    if (!this->spec.membership) {
        return MIN(interval_ms, this->spec.poll_ms);
    }
    if (!Membership_isConverged(this->spec.membership)) {
        return this->spec.poll_ms;
    }
    gint64 rank = Membership_localRank(this->spec.membership, RANK_KEY, NULL);
    gint64 wanted = interval_ms + rank * READ_STEP_MS;
    return MIN(wanted, this->spec.poll_ms);
}

static void
set_read_timing(UpstreamListing_t *this)
{
    gint64 pause_ms = read_pause_ms(this);
    gboolean reads_for_peers = pause_ms < this->spec.poll_ms;
    RecordFollower_setReadTiming(this->follower, 0, pause_ms,
                                 reads_for_peers ? 0 : RETRY_MAX_MS);
}

static void
end_list(UpstreamListing_t *this, StorePosition_t end)
{
    this->is_list_open = FALSE;
    ListCopy_startChanges(this->copy, end);
}

static void
log_listed(UpstreamListing_t *this, StorePosition_t end)
{
    if (this->listed > LISTED_LOGGED_MAX) {
        Log_begin(LOG_LEVEL_INFO, "upstreams_listed");
        Log_number("new", this->listed);
        Log_number("upstreams", ListCopy_countKeys(this->copy));
        Log_text("from", this->is_from_peer ? "peer" : "store");
        Log_number("end", (gint64)end.offset);
        Log_end();
    }
    this->listed = 0;
}

static void
note_current(UpstreamListing_t *this, StorePosition_t end, gint64 at_ms)
{
    if (this->is_expired &&
        at_ms - this->current_ms > this->spec.poll_ms + READ_MIN_MS) {
        note_gap(this);
    }
    this->is_expired = FALSE;
    if (this->is_list_open || !this->known) {
        end_list(this, end);
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
    note_current(this, end, at_ms);
    this->known = TRUE;
    set_read_timing(this);
    RecordRelay_broadcast(this->relay, end, at_ms, this->restored_ms,
                          this->is_from_peer);
}

/* Ranks are valid once the membership has converged. */
static void
on_membership_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    UpstreamListing_t *this = data;
    if (Membership_isConverged(this->spec.membership)) {
        set_read_timing(this);
    }
    else {
        Clock_arm(this->membership_timer, MEMBERSHIP_CHECK_MS);
    }
}

static gboolean
query_gap(UpstreamListing_t *this, Member_t *peer)
{
    StorePosition_t known = RecordFollower_position(this->follower);
    gboolean sent = RecordRelay_sendQuery(this->relay, peer, known, 0, FALSE);
    this->gap_query_ms = sent ? Clock_nowMs() : 0;
    g_string_assign(this->gap_peer, sent ? peer->name->str : "");
    g_hash_table_remove(this->gap_sources, peer->name->str);
    return sent;
}

/* Queries the missing records from the peer that sent a later end. A read from
 * the store would return the heartbeats of all upstreams as well. */
static gboolean
on_gap(void *owner)
{
    UpstreamListing_t *this = owner;
    gint64 now_ms = Clock_nowMs();
    if (this->sender) {
        g_hash_table_add(this->gap_sources, g_strdup(this->sender->name->str));
    }
    if (this->gap_query_ms > 0 &&
        now_ms - this->gap_query_ms < GAP_QUERY_TIMEOUT_MS) {
        return TRUE;
    }
    if (!this->sender) {
        return FALSE;
    }
    if (this->gap_since_ms == 0) {
        this->gap_since_ms = now_ms;
    }
    return !ListExchange_mayQuery(this->exchange, this->sender,
                                  now_ms - this->gap_since_ms) ||
           query_gap(this, this->sender);
}

/* One answer may cover only a part of a long gap. Only the peer queried last
 * is queried again: a late answer from another peer would start a second
 * series of queries. */
static void
continue_gap_query(UpstreamListing_t *this, Member_t *peer)
{
    StorePosition_t known = RecordFollower_position(this->follower);
    if (!peer || !g_string_equal(this->gap_peer, peer->name)) {
        return;
    }
    this->gap_query_ms = 0;
    if (StorePosition_compare(known, this->peer_end) < 0) {
        query_gap(this, peer);
    }
    else {
        g_hash_table_remove_all(this->gap_sources);
    }
}

static Member_t *
pick_gap_source(const UpstreamListing_t *this)
{
    const GPtrArray *members = Membership_members(this->spec.membership);
    gint64 waited_ms = Clock_nowMs() - this->gap_since_ms;
    guint start = members->len > 0 ? Random_below(members->len) : 0;
    for (guint i = 0; i < members->len; i++) {
        Member_t *member =
            g_ptr_array_index(members, (start + i) % members->len);
        if (member->link &&
            g_hash_table_contains(this->gap_sources, member->name->str) &&
            ListExchange_mayQuery(this->exchange, member, waited_ms)) {
            return member;
        }
    }
    return NULL;
}

/* A peer serves few routers at a time; another one that has the records is
 * asked at once. */
static void
receive_refusal(UpstreamListing_t *this, const Member_t *from)
{
    if (this->gap_query_ms == 0 ||
        !g_string_equal(this->gap_peer, from->name)) {
        return;
    }
    this->gap_query_ms = 0;
    g_string_truncate(this->gap_peer, 0);
    Member_t *next = pick_gap_source(this);
    if (next) {
        query_gap(this, next);
    }
}

void
UpstreamListing_receive(UpstreamListing_t *this, Member_t *from,
                        const Wt__TopicPart *message)
{
    if (!StoreEpoch_note(this->spec.epoch, message->epoch, "peer")) {
        return;
    }
    if (message->refused) {
        receive_refusal(this, from);
        return;
    }
    KeyedPage_t page = RecordRelay_decode(message);
    if (message->regained_age_ms > 0) {
        gint64 restored_ms =
            PeerAge_atMs(message->regained_age_ms, Member_transitMs(from));
        this->restored_ms = MAX(this->restored_ms, restored_ms);
    }
    if (StorePosition_compare(page.end, this->peer_end) > 0) {
        this->peer_end = page.end;
    }
    this->is_from_peer = TRUE;
    this->sender = from;
    gint64 at_ms = message->partial
                       ? 0
                       : PeerAge_atMs(message->age_ms, Member_transitMs(from));
    gboolean applied = RecordFollower_applyPeerRecords(
        this->follower, message->from, &page, at_ms);
    this->sender = NULL;
    this->is_from_peer = FALSE;
    g_ptr_array_unref(page.records);
    if (applied) {
        this->peer_update_ms = Clock_nowMs();
        this->gap_since_ms = 0;
        continue_gap_query(this, from);
    }
}

void
UpstreamListing_answerQuery(const UpstreamListing_t *this, Member_t *from,
                            const Wt__TopicAsk *query)
{
    StorePosition_t start = {query->epoch, query->from};
    StorePosition_t known = RecordFollower_position(this->follower);
    StorePosition_t end = known;
    g_autoptr(GPtrArray) records = g_ptr_array_new();
    if (known.epoch == start.epoch && known.offset > start.offset &&
        ListExchange_mayServe(this->exchange, from) &&
        ListCopy_readChanges(this->copy, start, GAP_ANSWER_MAX_BYTES, records,
                             &end)) {
        gboolean all = StorePosition_compare(end, known) == 0;
        RecordRelay_sendAnswer(this->relay, from, start.offset, records, end,
                               all ? this->current_ms : 0);
        return;
    }
    RecordRelay_sendRefusal(this->relay, from, query);
}

static void
on_restored(void *owner)
{
    UpstreamListing_t *this = owner;
    this->restored_ms = Clock_nowMs();
}

static gint64
list_spread_ms(const UpstreamListing_t *this)
{
    gint64 routers = this->spec.membership
                         ? Membership_countActive(this->spec.membership)
                         : 1;
    gint64 max_ms = MIN(routers * LIST_SPREAD_MS, LIST_SPREAD_MAX_MS);
    return Random_below((guint32)max_ms);
}

static void
on_expired(void *owner)
{
    UpstreamListing_t *this = owner;
    this->is_expired = TRUE;
}

/* The store was restored from an older copy. Entries that it lost are written
 * again, as after any outage; until then the known upstreams stay in use. */
static void
on_epoch_rise(void *owner)
{
    UpstreamListing_t *this = owner;
    this->restored_ms = Clock_nowMs();
    RecordFollower_beginEpoch(this->follower, list_spread_ms(this));
    if (this->exchange) {
        ListExchange_startQueries(this->exchange);
    }
}

/* Expected entries of a read: all heartbeats, or the records up to the end
 * that peers have sent, if those are more. */
static gint64
count_missing_entries(const UpstreamListing_t *this)
{
    StorePosition_t known = RecordFollower_position(this->follower);
    gint64 behind = (gint64)(this->peer_end.offset - known.offset);
    gboolean comparable =
        known.offset > 0 && this->peer_end.epoch == known.epoch && behind > 0;
    return MAX(ListCopy_countKeys(this->copy), comparable ? behind : 1);
}

/* Routers whose ranks exceed what the store serves at once read later, one
 * rank after the other, and only if no peer has sent updates. */
static gint64
read_due_ms(const UpstreamListing_t *this)
{
    gint64 rank = Membership_localRank(this->spec.membership, RANK_KEY, NULL);
    gint64 excess = rank - ENTRIES_AT_ONCE_MAX / count_missing_entries(this);
    gint64 last_ms =
        MAX(MAX(this->current_ms, this->peer_update_ms), this->called_ms);
    return excess > 0 ? last_ms + this->spec.poll_ms + excess * READ_STEP_MS
                      : 0;
}

/* After a failed call the store is overloaded or unreachable. If it can serve
 * the reads of all routers at once, each router retries within poll_ms, the
 * time in which a leaving upstream must be known, as peers may not know the
 * records that it missed. */
static gint64
retry_due_ms(const UpstreamListing_t *this)
{
    gint64 rank = Membership_localRank(this->spec.membership, RANK_KEY, NULL);
    gint64 routers = Membership_countActive(this->spec.membership);
    gboolean can_serve_all =
        ListCopy_countKeys(this->copy) > 0 &&
        routers * count_missing_entries(this) <= ENTRIES_AT_ONCE_MAX;
    gint64 step_ms = READ_STEP_MS << MIN(this->retries, RETRY_DOUBLINGS_MAX);
    gint64 after_ms = can_serve_all
                          ? MIN(rank * READ_STEP_MS, this->spec.poll_ms)
                          : rank * step_ms;
    return MAX(this->called_ms, this->peer_update_ms) + after_ms;
}

static gint64
read_wait_ms(UpstreamListing_t *this)
{
    gint64 now_ms = Clock_nowMs();
    if (!Membership_isComplete(this->spec.membership)) {
        return MEMBERSHIP_CHECK_MS;
    }
    gboolean lost = RecordFollower_isLost(this->follower);
    gint64 due_ms = lost ? retry_due_ms(this) : read_due_ms(this);
    if (due_ms > now_ms) {
        return due_ms - now_ms;
    }
    this->called_ms = now_ms;
    this->retries = lost ? this->retries + 1 : 0;
    return 0;
}

static gint64
call_wait_ms(void *owner, gboolean lists)
{
    UpstreamListing_t *this = owner;
    if (!this->exchange) {
        return 0;
    }
    return lists ? ListExchange_msUntilStoreRead(this->exchange)
                 : read_wait_ms(this);
}

static const RecordFollowerEvents_t follower_events = {
    .record = on_record,
    .current = on_current,
    .restored = on_restored,
    .expired = on_expired,
    .wait_ms = call_wait_ms,
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
    Clock_arm(this->membership_timer, MEMBERSHIP_CHECK_MS);
}

UpstreamListing_t *
UpstreamListing_create(struct event_base *base,
                       const UpstreamListingSpec_t *spec)
{
    UpstreamListing_t *this = g_new0(UpstreamListing_t, 1);
    this->spec = *spec;
    this->missing =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    this->entry_hashes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    this->samples =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    this->departed = DepartedUpstreams_create();
    this->relay = RecordRelay_create(spec->membership, spec->topic);
    this->copy = ListCopy_create();
    this->gap_peer = g_string_new(NULL);
    this->gap_sources =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    this->return_timer = Clock_timer(base, on_return_timer, this);
    this->membership_timer = Clock_timer(base, on_membership_timer, this);
    RecordFollowerSpec_t follow = {
        .source = spec->source,
        .topic = spec->topic,
        .pause_ms = spec->poll_ms,
        .counters = spec->counters,
    };
    this->follower =
        RecordFollower_create(base, &follow, &follower_events, this);
    StoreEpoch_addListener(spec->epoch, on_epoch_rise, this);
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
    g_hash_table_destroy(this->gap_sources);
    RecordRelay_destroy(this->relay);
    DepartedUpstreams_destroy(this->departed);
    event_free(this->return_timer);
    event_free(this->membership_timer);
    g_hash_table_destroy(this->missing);
    g_hash_table_destroy(this->entry_hashes);
    g_hash_table_destroy(this->samples);
    g_free(this);
}

void
UpstreamListing_answerListQuery(UpstreamListing_t *this, Member_t *from,
                                const Wt__ListAsk *query)
{
    ListExchange_answerQuery(this->exchange, from, query);
}

void
UpstreamListing_receivePage(UpstreamListing_t *this, Member_t *from,
                            const Wt__ListPage *page)
{
    this->is_from_peer = TRUE;
    ListExchange_receivePage(this->exchange, from, page);
    this->is_from_peer = FALSE;
}

gboolean
UpstreamListing_isCurrent(const UpstreamListing_t *this)
{
    return this->known && Clock_nowMs() - this->current_ms <=
                              this->spec.poll_ms + READ_MIN_MS;
}

gboolean
UpstreamListing_isKnown(const UpstreamListing_t *this)
{
    return this->known;
}

gint64
UpstreamListing_endMs(const UpstreamListing_t *this)
{
    return this->current_ms;
}

static gint64
check_interval_ms(const UpstreamListing_t *this)
{
    gint64 routers = this->spec.membership
                         ? Membership_countActive(this->spec.membership)
                         : 1;
    return CLAMP(routers * CHECK_STEP_MS, CHECK_MIN_MS, READ_MIN_MS);
}

static gboolean
may_check(const UpstreamListing_t *this)
{
    return !this->spec.membership ||
           Membership_localRank(this->spec.membership, RANK_KEY, NULL) <
               CHECK_RANKS;
}

void
UpstreamListing_checkEnd(UpstreamListing_t *this)
{
    gint64 now_ms = Clock_nowMs();
    if (now_ms - this->checked_ms >= check_interval_ms(this) &&
        may_check(this) &&
        RecordFollower_checkEnd(this->follower, STORE_CHECK)) {
        this->checked_ms = now_ms;
    }
}

gboolean
UpstreamListing_isLost(const UpstreamListing_t *this)
{
    return RecordFollower_isLost(this->follower);
}
