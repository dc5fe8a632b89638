#include "RateCountTable.h"

#include "Clock.h"
#include "Random.h"

/* Initial level of a new count, as a fraction of the depth. A keeper that dies
 * and restarts causes two new counts, which grant a quarter of the burst a
 * second time. */
#define START_FRACTION 0.125
/* Initial debt of a new count if the subject's limit was exhausted, in seconds
 * of the rate. For this long some routers may still query another keeper
 * (RateKeeper.h). */
#define EXHAUSTED_DEBT_S 0.5
/* While more than this fraction of the depth is left, the limit is open:
 * routers admit requests without a query. In a replay of a customer at five
 * times its share, 90 routers admitted less than a twentieth of a second's
 * rate before they were notified that the limit had closed. */
#define OPEN_FRACTION 0.5
/* A subject is near its limit when less than this fraction of the depth is
 * left. Below START_FRACTION, since otherwise each new count would start to
 * measure the reach. */
#define NEAR_LIMIT_FRACTION 0.1
/* The subject of an exact limit counts as near it for this long after a claim.
 */
#define EXACT_IN_USE_MS 2000
/* Longest time for which a router relies on a reply (RateStates.c). Routers
 * that sent a claim within this time are notified when the limit closes. */
#define REQUESTER_TTL_MS 10000
#define IDLE_TTL_MS 60000
/* Number of different initial debts of an exact limit. */
#define DEBT_STEPS 1024

typedef struct {
    TokenBucket_t bucket;
    RateLimit_t limit;      /* whole limit, @bucket has the reachable part */
    GHashTable *requesters; /* &from -> gint64 *, time of its last claim */
    gboolean open;
    gint64 last_claim_ms;
} Count_t;

struct RateCountTable {
    GHashTable *counts; /* subject -> Count_t */
    double reach;
    double exact_reach;
};

static void
free_count(gpointer data)
{
    Count_t *count = data;
    g_hash_table_destroy(count->requesters);
    g_free(count);
}

RateCountTable_t *
RateCountTable_create(void)
{
    RateCountTable_t *this = g_new0(RateCountTable_t, 1);
    this->counts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_count);
    this->reach = 1;
    this->exact_reach = 1;
    return this;
}

void
RateCountTable_destroy(RateCountTable_t *this)
{
    g_hash_table_destroy(this->counts);
    g_free(this);
}

/* Several parts of a partitioned network may begin to count at the same
 * moment. Random debts spread the first requests that they admit. */
static void
init_bucket(const RateCountTable_t *this, TokenBucket_t *bucket,
            const RateClaim_t *claim, gint64 now_ms)
{
    TokenBucket_init(bucket, &claim->limit, START_FRACTION, now_ms);
    if (claim->limit.exact && this->exact_reach < 1) {
        double debt = (double)Random_below(DEBT_STEPS) / DEBT_STEPS;
        bucket->level = -debt * (1 - this->exact_reach);
    }
    if (claim->exhausted) {
        bucket->level = -claim->limit.per_s * EXHAUSTED_DEBT_S;
    }
}

static Count_t *
get_count(RateCountTable_t *this, const RateClaim_t *claim, gint64 now_ms)
{
    Count_t *count = g_hash_table_lookup(this->counts, claim->subject);
    if (!count) {
        count = g_new0(Count_t, 1);
        count->limit = claim->limit;
        count->requesters =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
        init_bucket(this, &count->bucket, claim, now_ms);
        g_hash_table_insert(this->counts, g_strdup(claim->subject), count);
    }
    return count;
}

/* Routers learn of a changed limit at different times; the newest version
 * applies. A raised limit adds the increase of the depth to the level at once.
 * Otherwise calls would be refused until the debt under the lower limit is
 * paid, although callers are informed of the higher limit. */
static void
set_limit(const RateCountTable_t *this, Count_t *count,
          const RateLimit_t *limit, gint64 now_ms)
{
    double depth_increase = 0;
    if (limit->version >= count->limit.version) {
        depth_increase =
            TokenBucket_depth(limit) - TokenBucket_depth(&count->limit);
        count->limit = *limit;
    }
    RateLimit_t reachable = count->limit;
    double reach = limit->exact ? this->exact_reach : this->reach;
    reachable.per_s *= reach;
    reachable.burst *= reach;
    TokenBucket_setLimit(&count->bucket, &reachable, now_ms);
    TokenBucket_refund(&count->bucket, MAX(depth_increase, 0) * reach, now_ms);
}

static void
note_requester(Count_t *count, guint64 from, gint64 now_ms)
{
    gint64 *claim_ms = g_hash_table_lookup(count->requesters, &from);
    if (!claim_ms) {
        claim_ms = g_new(gint64, 1);
        g_hash_table_insert(count->requesters, g_memdup2(&from, sizeof(from)),
                            claim_ms);
    }
    *claim_ms = now_ms;
}

static gboolean
decide(Count_t *count, const RateClaim_t *claim, gint64 now_ms,
       RateDecision_t *out)
{
    if (claim->units <= 0) {
        return TRUE;
    }
    if (TokenBucket_take(&count->bucket, claim->units, now_ms)) {
        return TRUE;
    }
    out->retry_after_ms =
        TokenBucket_noteRefused(&count->bucket, claim->units, now_ms);
    return FALSE;
}

RateDecision_t
RateCountTable_decide(RateCountTable_t *this, const RateClaim_t *claim,
                      gint64 now_ms)
{
    Count_t *count = get_count(this, claim, now_ms);
    RateDecision_t decision = {0};
    set_limit(this, count, &claim->limit, now_ms);
    count->last_claim_ms = now_ms;
    note_requester(count, claim->from, now_ms);
    TokenBucket_charge(&count->bucket, claim->spent, now_ms);
    decision.admitted = decide(count, claim, now_ms, &decision);
    decision.open =
        !claim->limit.exact &&
        TokenBucket_fraction(&count->bucket, now_ms) > OPEN_FRACTION;
    decision.closed_now = count->open && !decision.open;
    decision.left = count->bucket.level;
    count->open = decision.open;
    return decision;
}

void
RateCountTable_setReach(RateCountTable_t *this, double fraction,
                        double exact_fraction)
{
    this->reach = fraction;
    this->exact_reach = exact_fraction;
}

void
RateCountTable_forEach(const RateCountTable_t *this, RateCountTableEach_t each,
                       void *data)
{
    GHashTableIter iter;
    gpointer subject = NULL;
    g_hash_table_iter_init(&iter, this->counts);
    while (g_hash_table_iter_next(&iter, &subject, NULL)) {
        each(subject, data);
    }
}

guint
RateCountTable_size(const RateCountTable_t *this)
{
    return g_hash_table_size(this->counts);
}

/* A keeper that is cut off may see a load within the whole exact limit,
 * because other routers send the remaining load to the upstream. Its own part
 * of the limit is smaller, so it has to measure its reach while the count is
 * in use. */
static gboolean
is_near_limit(Count_t *count, gint64 now_ms)
{
    gboolean is_exact =
        count->limit.exact && now_ms - count->last_claim_ms < EXACT_IN_USE_MS;
    return is_exact ||
           TokenBucket_fraction(&count->bucket, now_ms) < NEAR_LIMIT_FRACTION;
}

gboolean
RateCountTable_isNearLimit(const RateCountTable_t *this, gint64 now_ms)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, this->counts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (is_near_limit(value, now_ms)) {
            return TRUE;
        }
    }
    return FALSE;
}

void
RateCountTable_forEachRequester(const RateCountTable_t *this,
                                const char *subject, gint64 now_ms,
                                RateCountTableRequester_t callback, void *data)
{
    Count_t *count = g_hash_table_lookup(this->counts, subject);
    GHashTableIter iter;
    gpointer from = NULL;
    gpointer claim_ms = NULL;
    if (!count) {
        return;
    }
    g_hash_table_iter_init(&iter, count->requesters);
    while (g_hash_table_iter_next(&iter, &from, &claim_ms)) {
        if (now_ms - *(gint64 *)claim_ms > REQUESTER_TTL_MS) {
            g_hash_table_iter_remove(&iter);
            continue;
        }
        callback(*(guint64 *)from, data);
    }
}

void
RateCountTable_remove(RateCountTable_t *this, const char *subject)
{
    g_hash_table_remove(this->counts, subject);
}

void
RateCountTable_clear(RateCountTable_t *this)
{
    g_hash_table_remove_all(this->counts);
}

static gboolean
is_idle(gpointer name, gpointer value, gpointer now_ms)
{
    (void)name;
    return ((const Count_t *)value)->last_claim_ms + IDLE_TTL_MS <
           *(const gint64 *)now_ms;
}

void
RateCountTable_sweep(RateCountTable_t *this, gint64 now_ms)
{
    g_hash_table_foreach_remove(this->counts, is_idle, &now_ms);
}
