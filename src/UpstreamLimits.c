#include "UpstreamLimits.h"

#include "Clock.h"
#include "Log.h"
#include "Random.h"

#define MILLI 1000
/* Nobody is told to come back later than that. */
#define RETURN_MOST_MS 10000

struct UpstreamLimits {
    Membership_t *membership;
    Counters_t *counters;
    GHashTable *returning; /* target -> TokenBucket_t of those refused */
};

static void
log_limit(const char *key, const UpstreamLimit_t *limit)
{
    char text[G_ASCII_DTOSTR_BUF_SIZE];
    g_ascii_formatd(text, sizeof(text), "%.6g", limit->per_s);
    Log_text(key, limit->is_named ? text : "none");
}

static void
log_change(const Upstream_t *upstream, const UpstreamLimit_t *before,
           const char *by, const char *request_id)
{
    const UpstreamLimit_t *limit = &upstream->limit;
    Log_begin(LOG_LEVEL_INFO, "upstream_limit");
    Log_text("upstream", upstream->name->str);
    log_limit("per_s", limit);
    log_limit("before", before);
    Log_number("version", (gint64)limit->version);
    Log_number("before_ms", before->learned_ms > 0
                                ? limit->learned_ms - before->learned_ms
                                : -1);
    Log_text("by", by);
    if (request_id) {
        Log_text("request", request_id);
    }
    Log_end();
}

static void
count_learned(const UpstreamLimits_t *this, const char *labels)
{
    Counters_add(this->counters, "upstream_limits_learned_total", labels, 1);
}

gboolean
UpstreamLimits_takeFact(const UpstreamLimits_t *this, Upstream_t *upstream,
                        const UpstreamLimitFact_t *fact)
{
    UpstreamLimit_t before = upstream->limit;
    if (!UpstreamLimit_takeFact(&upstream->limit, fact, Clock_nowMs())) {
        return FALSE;
    }
    count_learned(this, "by=\"peer\"");
    log_change(upstream, &before, "peer", NULL);
    return TRUE;
}

UpstreamLimits_t *
UpstreamLimits_create(Membership_t *membership, Counters_t *counters)
{
    UpstreamLimits_t *this = g_new0(UpstreamLimits_t, 1);
    this->membership = membership;
    this->counters = counters;
    this->returning =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return this;
}

void
UpstreamLimits_destroy(UpstreamLimits_t *this)
{
    g_hash_table_destroy(this->returning);
    g_free(this);
}

static void
note_unreadable(const UpstreamLimits_t *this, Upstream_t *upstream,
                const char *request_id)
{
    Counters_add(this->counters, "upstream_limits_unreadable_total", NULL, 1);
    if (UpstreamLimit_isReported(&upstream->limit, Clock_nowMs())) {
        return;
    }
    Log_begin(LOG_LEVEL_WARNING, "upstream_limit_unreadable");
    Log_text("upstream", upstream->name->str);
    Log_text("request", request_id ? request_id : "none");
    log_limit("kept", &upstream->limit);
    Log_end();
}

gboolean
UpstreamLimits_noteAnswer(UpstreamLimits_t *this, Upstream_t *upstream,
                          const NamedLimit_t *said, gint64 sent_ms,
                          const char *request_id)
{
    UpstreamLimit_t before = upstream->limit;
    if (said->kind == LIMIT_UNREADABLE) {
        note_unreadable(this, upstream, request_id);
        return FALSE;
    }
    if (!UpstreamLimit_noteAnswer(&upstream->limit, said, sent_ms,
                                  Clock_nowMs())) {
        return FALSE;
    }
    count_learned(this, "by=\"answer\"");
    log_change(upstream, &before, "answer", request_id);
    return TRUE;
}

void
UpstreamLimits_noteRefused(UpstreamLimits_t *this, Upstream_t *upstream,
                           const RateVerdict_t *verdict,
                           const char *request_id)
{
    UpstreamLimit_noteFull(&upstream->limit, verdict->retry_after_ms + 1,
                           Clock_nowMs());
    Counters_add(this->counters, "upstream_limit_full_total", NULL, 1);
    Log_begin(LOG_LEVEL_INFO, "upstream_full");
    Log_text("request", request_id);
    Log_text("upstream", upstream->name->str);
    log_limit("per_s", &upstream->limit);
    Log_number("limit_version", (gint64)upstream->limit.version);
    Log_number("left_milli", (gint64)(verdict->left * MILLI));
    Log_text("by", verdict->by);
    Log_number("age_ms", verdict->age_ms);
    Log_number("full_ms", verdict->retry_after_ms);
    Log_end();
}

static TokenBucket_t *
bucket_of(UpstreamLimits_t *this, const char *target)
{
    TokenBucket_t *bucket = g_hash_table_lookup(this->returning, target);
    if (!bucket) {
        bucket = g_new0(TokenBucket_t, 1);
        g_hash_table_insert(this->returning, g_strdup(target), bucket);
    }
    return bucket;
}

/* Of what the upstreams take together, each router has its part of those that
 * come back. They are spread over the time in which that part takes them. */
guint
UpstreamLimits_retryAfterMs(UpstreamLimits_t *this, const char *target,
                            const LimitedCapacity_t *room)
{
    gint64 now_ms = Clock_nowMs();
    TokenBucket_t *bucket = bucket_of(this, target);
    RateLimit_t share = {.per_s =
                             room->per_s / Membership_live(this->membership)};
    TokenBucket_setLimit(bucket, &share, now_ms);
    guint behind_ms = TokenBucket_refuse(bucket, 1, now_ms);
    guint turn_ms = Random_below(behind_ms) + 1;
    return (guint)MIN(room->full_ms + turn_ms, RETURN_MOST_MS);
}
