#include "ReturnSchedule.h"

#include "Random.h"

/* A few round trips: a caller that returns sooner meets the same queue. */
#define RETURN_MIN_MS 200
/* Timers of callers are not exact. */
#define EARLY_MAX_MS 100
/* Callers that are later than this have most likely given up. */
#define LATE_MAX_MS 200
/* A promise is forgotten this long after its time. */
#define EXPIRY_MS 1000
/* Nobody knows the load further ahead. */
#define HORIZON_MS 10000
/* Part of the room that is handed out. Each place for a return is one that a
 * new request does not get, and new requests keep coming while there is not
 * room for all. */
#define RETURN_PART 0.2
/* Part of the distance between two returns by which one is moved at random. */
#define JITTER_PART 0.25
#define JITTER_MAX_MS 100.0
/* Promises are counted by their time in steps of this. */
#define BUCKET_MS 50
/* Covers EXPIRY_MS, HORIZON_MS and the jitter. */
#define BUCKETS 256

typedef struct {
    guint64 key;
    gint64 due_ms;
    GList link; /* in @promises */
} Promise_t;

struct ReturnSchedule {
    GHashTable *by_key; /* &key -> Promise_t */
    GQueue promises;    /* Promise_t in the order of their times */
    guint promises_max;
    double next_ms; /* last time that was handed out */
    guint due[BUCKETS];
};

ReturnSchedule_t *
ReturnSchedule_create(guint promises_max)
{
    ReturnSchedule_t *this = g_new0(ReturnSchedule_t, 1);
    this->by_key =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    g_queue_init(&this->promises);
    this->promises_max = promises_max;
    return this;
}

void
ReturnSchedule_destroy(ReturnSchedule_t *this)
{
    g_hash_table_destroy(this->by_key);
    g_free(this);
}

static guint *
bucket_of(ReturnSchedule_t *this, gint64 due_ms)
{
    return &this->due[due_ms / BUCKET_MS % BUCKETS];
}

static void
remove_promise(ReturnSchedule_t *this, Promise_t *promise)
{
    (*bucket_of(this, promise->due_ms))--;
    g_queue_unlink(&this->promises, &promise->link);
    g_hash_table_remove(this->by_key, &promise->key);
}

static void
expire(ReturnSchedule_t *this, gint64 now_ms)
{
    Promise_t *first = g_queue_peek_head(&this->promises);
    while (first && first->due_ms + EXPIRY_MS < now_ms) {
        remove_promise(this, first);
        first = g_queue_peek_head(&this->promises);
    }
}

static void
add_promise(ReturnSchedule_t *this, guint64 key, gint64 due_ms)
{
    Promise_t *promise = g_hash_table_lookup(this->by_key, &key);
    if (promise) {
        remove_promise(this, promise);
    }
    if (g_hash_table_size(this->by_key) >= this->promises_max) {
        return;
    }
    promise = g_new0(Promise_t, 1);
    promise->key = key;
    promise->due_ms = due_ms;
    promise->link.data = promise;
    g_queue_push_tail_link(&this->promises, &promise->link);
    g_hash_table_insert(this->by_key, &promise->key, promise);
    (*bucket_of(this, due_ms))++;
}

static double
random_part(double spacing_ms)
{
    double part_ms = MIN(spacing_ms * JITTER_PART, JITTER_MAX_MS);
    return part_ms * Random_below(1000) / 1000;
}

guint
ReturnSchedule_promise(ReturnSchedule_t *this, const ReturnRequest_t *request,
                       gint64 now_ms)
{
    gint64 longest_ms = MAX(request->longest_ms, 0);
    expire(this, now_ms);
    if (request->room_per_s <= 0) {
        return (guint)longest_ms;
    }
    double spacing_ms = 1000 / (request->room_per_s * RETURN_PART);
    double free_ms = (double)(now_ms + MAX(request->fits_ms, RETURN_MIN_MS));
    double turn_ms = MAX(free_ms, this->next_ms + spacing_ms);
    gint64 due_ms = (gint64)(turn_ms + random_part(spacing_ms));
    gint64 wait_ms = due_ms - now_ms;
    if (wait_ms > MIN(longest_ms, HORIZON_MS)) {
        return (guint)longest_ms;
    }
    this->next_ms = turn_ms;
    add_promise(this, request->key, due_ms);
    return (guint)wait_ms;
}

gboolean
ReturnSchedule_claim(ReturnSchedule_t *this, guint64 key, gint64 now_ms)
{
    expire(this, now_ms);
    Promise_t *promise = g_hash_table_lookup(this->by_key, &key);
    if (!promise || now_ms < promise->due_ms - EARLY_MAX_MS) {
        return FALSE;
    }
    remove_promise(this, promise);
    return TRUE;
}

guint
ReturnSchedule_countDue(ReturnSchedule_t *this, gint64 within_ms,
                        gint64 now_ms)
{
    expire(this, now_ms);
    guint count = 0;
    gint64 first_ms = MAX(now_ms - LATE_MAX_MS + BUCKET_MS, 0);
    gint64 last_ms = now_ms + CLAMP(within_ms, 0, HORIZON_MS);
    gint64 last = last_ms / BUCKET_MS;
    for (gint64 i = first_ms / BUCKET_MS; i <= last; i++) {
        count += this->due[i % BUCKETS];
    }
    return count;
}
