#include "UpstreamListing.h"

#include <xxhash.h>

#include "Clock.h"
#include "DepartedUpstreams.h"
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
/* Longest mean pause between tries of a router that others read for, while the
 * store fails: with 300 routers some 90 calls a second in place of 370. */
#define RETRY_MOST_MS 3200
/* All routers list the topic anew when the store comes back older; so much of
 * time for each of them up to the most, as the store serves a few thousand
 * calls a second. */
#define LIST_SPREAD_MS 10
#define LIST_SPREAD_MOST_MS 1000
/* How often it is looked whether the other routers are known by now. */
#define SETTLED_LOOK_MS 200
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
    struct event *return_over;
    struct event *settled;
    gint64 regained_ms; /* 0 where the list was never out of reach */
    gboolean known;     /* it was read at least once */
    gboolean feeding;   /* what is told now comes from a peer */
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
    Membership_noteUpstream(this->spec.membership, upstream->name->str);
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
                   (guint)Upstream_version(upstream)};
    HintFlood_tell(this->spec.hints, &hint);
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
        Membership_noteUpstream(this->spec.membership, upstream->name->str);
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

static void
take_entry(UpstreamListing_t *this, const char *name,
           const ListedUpstream_t *entry)
{
    gboolean is_new = !UpstreamSet_find(this->spec.upstreams, name);
    double speed = is_new ? expected_speed(this, entry) : 0;
    Upstream_t *upstream =
        UpstreamSet_put(this->spec.upstreams, name, &entry->spec);
    if (is_new) {
        log_upstream("upstream_listed", name,
                     entry->leaving ? "leaving" : "live");
        Upstream_noteIncarnation(upstream, ListedUpstream_incarnation(entry),
                                 Clock_nowMs());
        upstream->weights_rise = TRUE;
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

/* Weights change often, all engines' within seconds; peers hear of them by
 * hints, which take a tenth of the bytes. */
static void
relay_entry(UpstreamListing_t *this, const KeyedRecord_t *record, guint64 hash,
            guint64 place)
{
    const char *name = record->key->str;
    const Seen_t *seen = g_hash_table_lookup(this->seen, name);
    if (!seen || seen->place != place) {
        RecordRelay_add(this->relay, name, record->value, record->position);
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
    RecordRelay_add(this->relay, name, record->value, record->position);
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

static void
on_record(void *owner, const KeyedRecord_t *record)
{
    UpstreamListing_t *this = owner;
    const char *name = record->key->str;
    if (!record->value) {
        RecordRelay_add(this->relay, name, NULL, record->position);
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
    if (!Membership_isSettled(this->spec.membership)) {
        return this->spec.poll_ms;
    }
    gint64 rank = Membership_rank(this->spec.membership, RANK_KEY, NULL);
    gint64 wanted = every_ms + rank * READ_STEP_MS;
    return MIN(wanted, this->spec.poll_ms);
}

static void
set_reads(UpstreamListing_t *this)
{
    gint64 pause = pause_ms(this);
    gboolean for_others = pause < this->spec.poll_ms;
    RecordFollower_setReads(this->follower, 0, pause,
                            for_others ? 0 : RETRY_MOST_MS);
}

static void
on_current(void *owner, StorePosition_t end, gint64 at_ms)
{
    UpstreamListing_t *this = owner;
    this->known = TRUE;
    set_reads(this);
    RecordRelay_tell(this->relay, end, at_ms, this->regained_ms,
                     this->feeding);
}

/* Ranks are known once the router has had time to learn of the others. */
static void
on_settled(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    UpstreamListing_t *this = data;
    if (Membership_isSettled(this->spec.membership)) {
        set_reads(this);
    }
    else {
        Clock_arm(this->settled, SETTLED_LOOK_MS);
    }
}

void
UpstreamListing_take(UpstreamListing_t *this, const Wt__TopicPart *message)
{
    if (!StoreEpoch_note(this->spec.epoch, message->epoch, "peer")) {
        return;
    }
    KeyedPage_t page = RecordRelay_read(message);
    if (message->regained_age_ms > 0) {
        gint64 regained_ms = PeerAge_atMs(message->regained_age_ms);
        this->regained_ms = MAX(this->regained_ms, regained_ms);
    }
    this->feeding = TRUE;
    RecordFollower_feed(this->follower, message->from, &page,
                        PeerAge_atMs(message->age_ms));
    this->feeding = FALSE;
    g_ptr_array_unref(page.records);
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
    gint64 routers =
        this->spec.membership ? Membership_live(this->spec.membership) : 1;
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
}

static const RecordFollowerEvents_t follower_events = {
    .record = on_record,
    .current = on_current,
    .regained = on_regained,
};

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
    StoreEpoch_listen(spec->epoch, on_store_back, this);
    if (spec->membership) {
        Clock_arm(this->settled, SETTLED_LOOK_MS);
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
    StoreEpoch_leave(this->spec.epoch, this);
    RecordFollower_destroy(this->follower);
    RecordRelay_destroy(this->relay);
    DepartedUpstreams_destroy(this->departed);
    event_free(this->return_over);
    event_free(this->settled);
    g_hash_table_destroy(this->missing);
    g_hash_table_destroy(this->seen);
    g_hash_table_destroy(this->samples);
    g_free(this);
}

gboolean
UpstreamListing_isKnown(const UpstreamListing_t *this)
{
    return this->known;
}
