#include "RateBook.h"

#include "Clock.h"

/* Of the depth, in a count that begins anew. A keeper that dies and comes back
 * makes two new counts, so that a quarter of the burst is granted twice. */
#define START_PART 0.125
/* The same for a subject near its limit, below nothing: for as long as this
 * debt takes to be paid some routers may still ask another keeper (half a
 * second, RateKeeper.h). */
#define PRESSED_START_S 0.5
/* While more than this part of the depth is left, routers need not ask before
 * they let a request in: what 90 routers let in until they hear that it has
 * ended was under a twentieth of a second's rate in the replay of a customer
 * at five times its share. */
#define OPEN_PART 0.5
/* A subject is near its limit when less is left; a count that begins anew is
 * not, or each would look at who is reached. */
#define PRESSED_PART 0.1
/* The subject of an exact limit is near it as long as the count is used. */
#define EXACT_MS 2000
/* A word of the keeper counts for so long at the most (RateKeeper.h); who has
 * asked in this time is told when it ends. */
#define ASKER_MS 10000
#define FORGET_MS 60000

typedef struct {
    TokenBucket_t bucket;
    RateLimit_t limit;  /* the whole, where a part of the routers is reached */
    GHashTable *askers; /* &from -> gint64 *, when it asked */
    gboolean open;
    gint64 heard_ms;
} Count_t;

struct RateBook {
    GHashTable *counts; /* subject -> Count_t */
    double reach;
};

static void
free_count(gpointer data)
{
    Count_t *count = data;
    g_hash_table_destroy(count->askers);
    g_free(count);
}

RateBook_t *
RateBook_create(void)
{
    RateBook_t *this = g_new0(RateBook_t, 1);
    this->counts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_count);
    this->reach = 1;
    return this;
}

void
RateBook_destroy(RateBook_t *this)
{
    g_hash_table_destroy(this->counts);
    g_free(this);
}

static void
begin_bucket(TokenBucket_t *bucket, const RateClaim_t *claim, gint64 now_ms)
{
    TokenBucket_init(bucket, &claim->limit, START_PART, now_ms);
    if (claim->pressed) {
        bucket->level = -claim->limit.per_s * PRESSED_START_S;
    }
}

static Count_t *
count_of(RateBook_t *this, const RateClaim_t *claim, gint64 now_ms)
{
    Count_t *count = g_hash_table_lookup(this->counts, claim->subject);
    if (!count) {
        count = g_new0(Count_t, 1);
        count->limit = claim->limit;
        count->askers =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
        begin_bucket(&count->bucket, claim, now_ms);
        g_hash_table_insert(this->counts, g_strdup(claim->subject), count);
    }
    return count;
}

/* Routers learn of another limit at different moments; the newest holds. A
 * higher one lets its larger burst in at once: what was owed under the lower
 * one would take its time to be paid while callers are told of the higher. */
static void
set_limit(const RateBook_t *this, Count_t *count, const RateLimit_t *limit,
          gint64 now_ms)
{
    double gained = 0;
    if (limit->version >= count->limit.version) {
        gained = TokenBucket_depth(limit) - TokenBucket_depth(&count->limit);
        count->limit = *limit;
    }
    RateLimit_t reached = count->limit;
    reached.per_s *= this->reach;
    reached.burst *= this->reach;
    TokenBucket_setLimit(&count->bucket, &reached, now_ms);
    TokenBucket_giveBack(&count->bucket, MAX(gained, 0) * this->reach, now_ms);
}

static void
note_asker(Count_t *count, guint64 from, gint64 now_ms)
{
    gint64 *asked_ms = g_hash_table_lookup(count->askers, &from);
    if (!asked_ms) {
        asked_ms = g_new(gint64, 1);
        g_hash_table_insert(count->askers, g_memdup2(&from, sizeof(from)),
                            asked_ms);
    }
    *asked_ms = now_ms;
}

static gboolean
decide(Count_t *count, const RateClaim_t *claim, gint64 now_ms,
       RateRuling_t *out)
{
    if (claim->units <= 0) {
        return TRUE;
    }
    if (TokenBucket_take(&count->bucket, claim->units, now_ms)) {
        return TRUE;
    }
    out->retry_after_ms =
        TokenBucket_refuse(&count->bucket, claim->units, now_ms);
    return FALSE;
}

RateRuling_t
RateBook_rule(RateBook_t *this, const RateClaim_t *claim, gint64 now_ms)
{
    Count_t *count = count_of(this, claim, now_ms);
    RateRuling_t ruling = {0};
    set_limit(this, count, &claim->limit, now_ms);
    count->heard_ms = now_ms;
    note_asker(count, claim->from, now_ms);
    TokenBucket_spend(&count->bucket, claim->spent, now_ms);
    ruling.admitted = decide(count, claim, now_ms, &ruling);
    ruling.open = !claim->limit.exact &&
                  TokenBucket_part(&count->bucket, now_ms) > OPEN_PART;
    ruling.closed_now = count->open && !ruling.open;
    ruling.left = count->bucket.level;
    count->open = ruling.open;
    return ruling;
}

void
RateBook_setReach(RateBook_t *this, double part)
{
    this->reach = part;
}

void
RateBook_forEach(const RateBook_t *this, RateBookEach_t each, void *data)
{
    GHashTableIter iter;
    gpointer subject = NULL;
    g_hash_table_iter_init(&iter, this->counts);
    while (g_hash_table_iter_next(&iter, &subject, NULL)) {
        each(subject, data);
    }
}

guint
RateBook_counts(const RateBook_t *this)
{
    return g_hash_table_size(this->counts);
}

/* A router that is cut off may see no more than the whole of an exact limit,
 * as others send the rest of the load there; its part is less all the same. */
static gboolean
is_pressed(Count_t *count, gint64 now_ms)
{
    gboolean is_exact =
        count->limit.exact && now_ms - count->heard_ms < EXACT_MS;
    return is_exact || TokenBucket_part(&count->bucket, now_ms) < PRESSED_PART;
}

gboolean
RateBook_isPressed(const RateBook_t *this, gint64 now_ms)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, this->counts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (is_pressed(value, now_ms)) {
            return TRUE;
        }
    }
    return FALSE;
}

void
RateBook_forEachAsker(const RateBook_t *this, const char *subject,
                      gint64 now_ms, RateTold_t told, void *data)
{
    Count_t *count = g_hash_table_lookup(this->counts, subject);
    GHashTableIter iter;
    gpointer from = NULL;
    gpointer asked_ms = NULL;
    if (!count) {
        return;
    }
    g_hash_table_iter_init(&iter, count->askers);
    while (g_hash_table_iter_next(&iter, &from, &asked_ms)) {
        if (now_ms - *(gint64 *)asked_ms > ASKER_MS) {
            g_hash_table_iter_remove(&iter);
            continue;
        }
        told(*(guint64 *)from, data);
    }
}

void
RateBook_drop(RateBook_t *this, const char *subject)
{
    g_hash_table_remove(this->counts, subject);
}

void
RateBook_forget(RateBook_t *this)
{
    g_hash_table_remove_all(this->counts);
}

static gboolean
is_idle(gpointer name, gpointer value, gpointer now_ms)
{
    (void)name;
    return ((const Count_t *)value)->heard_ms + FORGET_MS <
           *(const gint64 *)now_ms;
}

void
RateBook_sweep(RateBook_t *this, gint64 now_ms)
{
    g_hash_table_foreach_remove(this->counts, is_idle, &now_ms);
}
