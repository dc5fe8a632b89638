#include "UpstreamLimits.h"

#include "Clock.h"
#include "Log.h"
#include "Random.h"

#define MILLI 1000
#define RETRY_AFTER_MAX_MS 10000

struct UpstreamLimits {
    Membership_t *membership;
    Counters_t *counters;
    GHashTable *retrying; /* target -> TokenBucket_t of refused requests */
};

static void
log_limit(const char *key, const UpstreamLimit_t *limit)
{
    char text[G_ASCII_DTOSTR_BUF_SIZE];
    g_ascii_formatd(text, sizeof(text), "%.6g", limit->per_s);
    Log_text(key, limit->is_named ? text : "none");
}

static void
log_change(const Upstream_t *upstream, const UpstreamLimit_t *previous,
           const char *by, const char *request_id)
{
    const UpstreamLimit_t *limit = &upstream->limit;
    Log_begin(LOG_LEVEL_INFO, "upstream_limit");
    Log_text("upstream", upstream->name->str);
    log_limit("per_s", limit);
    log_limit("before", previous);
    Log_number("version", (gint64)limit->version);
    Log_number("before_ms", previous->learned_ms > 0
                                ? limit->learned_ms - previous->learned_ms
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
UpstreamLimits_applyFact(const UpstreamLimits_t *this, Upstream_t *upstream,
                         const UpstreamLimitFact_t *fact)
{
    UpstreamLimit_t previous = upstream->limit;
    if (!UpstreamLimit_applyFact(&upstream->limit, fact, Clock_nowMs())) {
        return FALSE;
    }
    count_learned(this, "by=\"peer\"");
    log_change(upstream, &previous, "peer", NULL);
    return TRUE;
}

UpstreamLimits_t *
UpstreamLimits_create(Membership_t *membership, Counters_t *counters)
{
    UpstreamLimits_t *this = g_new0(UpstreamLimits_t, 1);
    this->membership = membership;
    this->counters = counters;
    this->retrying =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return this;
}

void
UpstreamLimits_destroy(UpstreamLimits_t *this)
{
    g_hash_table_destroy(this->retrying);
    g_free(this);
}

static void
note_unreadable(const UpstreamLimits_t *this, Upstream_t *upstream,
                const char *request_id)
{
    Counters_add(this->counters, "upstream_limits_unreadable_total", NULL, 1);
    if (UpstreamLimit_noteReport(&upstream->limit, Clock_nowMs())) {
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
                          const AdvertisedLimit_t *advertised, gint64 sent_ms,
                          const char *request_id)
{
    UpstreamLimit_t previous = upstream->limit;
    if (advertised->kind == LIMIT_UNREADABLE) {
        note_unreadable(this, upstream, request_id);
        return FALSE;
    }
    if (!UpstreamLimit_noteAnswer(&upstream->limit, advertised, sent_ms,
                                  Clock_nowMs())) {
        return FALSE;
    }
    count_learned(this, "by=\"answer\"");
    log_change(upstream, &previous, "answer", request_id);
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
get_bucket(UpstreamLimits_t *this, const char *target)
{
    TokenBucket_t *bucket = g_hash_table_lookup(this->retrying, target);
    if (!bucket) {
        bucket = g_new0(TokenBucket_t, 1);
        g_hash_table_insert(this->retrying, g_strdup(target), bucket);
    }
    return bucket;
}

/* Each router may use its share of the rate that the upstreams take together.
 * The retries of the requests it has refused are spread at random over the
 * time in which this share can admit them. */
guint
UpstreamLimits_retryAfterMs(UpstreamLimits_t *this, const char *target,
                            const LimitedCapacity_t *capacity)
{
    gint64 now_ms = Clock_nowMs();
    TokenBucket_t *bucket = get_bucket(this, target);
    RateLimit_t share = {.per_s = capacity->per_s /
                                  Membership_countActive(this->membership)};
    TokenBucket_setLimit(bucket, &share, now_ms);
    guint queue_ms = TokenBucket_noteRefused(bucket, 1, now_ms);
    guint delay_ms = Random_below(queue_ms) + 1;
    return (guint)MIN(capacity->full_ms + delay_ms, RETRY_AFTER_MAX_MS);
}
