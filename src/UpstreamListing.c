#include "UpstreamListing.h"

#include <xxhash.h>

#include "Clock.h"
#include "Log.h"
#include "RecordFollower.h"

/* Time for one prompt token on an engine that does not report it: 57 tokens
 * a millisecond, as the users' engines are rated. */
#define LISTED_PREFILL_US_PER_TOKEN 17.6

struct UpstreamListing {
    UpstreamListingSpec_t spec;
    RecordFollower_t *follower;
    GHashTable *missing; /* set of names that may come back */
    GHashTable *seen;    /* name -> guint64 *, hash of its last entry */
    struct event *return_over;
    gint64 regained_ms; /* 0 where the list was never out of reach */
    gboolean known;
};

static void
free_string(gpointer string)
{
    g_string_free(string, TRUE);
}

void
ListedUpstream_init(ListedUpstream_t *this)
{
    *this = (ListedUpstream_t){0};
    this->spec.hall = g_string_new(NULL);
    this->spec.region = g_string_new(NULL);
    this->spec.serves = g_ptr_array_new_with_free_func(free_string);
    this->weights = g_string_new(NULL);
}

void
ListedUpstream_clear(ListedUpstream_t *this)
{
    g_string_free(this->spec.hall, TRUE);
    g_string_free(this->spec.region, TRUE);
    g_ptr_array_unref(this->spec.serves);
    g_string_free(this->weights, TRUE);
}

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
    log_upstream("upstream_gone", name, reason);
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
    if (upstream->leaving) {
        return;
    }
    Upstream_noteLeaving(upstream, upstream->incarnation);
    Membership_noteUpstream(this->spec.membership, upstream->name->str);
    log_upstream("upstream_leaving", upstream->name->str, "listed");
}

static void
take_entry(UpstreamListing_t *this, const char *name,
           const ListedUpstream_t *entry)
{
    gboolean is_new = !UpstreamSet_find(this->spec.upstreams, name);
    Upstream_t *upstream =
        UpstreamSet_put(this->spec.upstreams, name, &entry->spec);
    if (is_new) {
        log_upstream("upstream_listed", name,
                     entry->leaving ? "leaving" : "live");
        Upstream_noteIncarnation(upstream, 1, Clock_nowMs());
        upstream->weights_rise = TRUE;
        upstream->prefill_us_per_token = LISTED_PREFILL_US_PER_TOKEN;
    }
    if (entry->weights->len > 0) {
        Upstream_noteWeights(upstream, entry->weights->str);
    }
    if (entry->leaving) {
        note_leaving(this, upstream);
    }
}

/* Most entries are heartbeats that say the same again; with thousands of
 * upstreams it counts that they are not read. */
static gboolean
is_unchanged(UpstreamListing_t *this, const char *name, GBytes *value)
{
    gsize length = 0;
    const void *bytes = g_bytes_get_data(value, &length);
    guint64 hash = XXH3_64bits(bytes, length);
    const guint64 *known = g_hash_table_lookup(this->seen, name);
    if (known && *known == hash &&
        UpstreamSet_find(this->spec.upstreams, name)) {
        return TRUE;
    }
    g_hash_table_replace(this->seen, g_strdup(name),
                         g_memdup2(&hash, sizeof(hash)));
    return FALSE;
}

static void
on_record(void *owner, const char *key, GBytes *value)
{
    UpstreamListing_t *this = owner;
    if (!value) {
        take_removal(this, key);
        return;
    }
    g_hash_table_remove(this->missing, key);
    if (is_unchanged(this, key, value)) {
        return;
    }
    ListedUpstream_t entry;
    ListedUpstream_init(&entry);
    g_string_assign(entry.spec.region, this->spec.region);
    g_autoptr(GError) error = NULL;
    if (this->spec.decode(value, &entry, &error)) {
        take_entry(this, key, &entry);
    }
    else {
        Log_error("listing_entry_unreadable", error);
    }
    ListedUpstream_clear(&entry);
}

static void
on_current(void *owner, guint64 offset, gint64 at_ms)
{
    (void)offset;
    (void)at_ms;
    UpstreamListing_t *this = owner;
    this->known = TRUE;
}

static void
on_regained(void *owner)
{
    UpstreamListing_t *this = owner;
    this->regained_ms = Clock_nowMs();
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
    this->return_over = Clock_timer(base, on_return_over, this);
    RecordFollowerSpec_t follow = {
        .source = spec->source,
        .topic = spec->topic,
        .pause_ms = spec->poll_ms,
    };
    this->follower =
        RecordFollower_create(base, &follow, &follower_events, this);
    return this;
}

void
UpstreamListing_destroy(UpstreamListing_t *this)
{
    RecordFollower_destroy(this->follower);
    event_free(this->return_over);
    g_hash_table_destroy(this->missing);
    g_hash_table_destroy(this->seen);
    g_free(this);
}

gboolean
UpstreamListing_isKnown(const UpstreamListing_t *this)
{
    return this->known;
}
