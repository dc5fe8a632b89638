#include "FairShare.h"

#include <math.h>

/* Long enough to cover some requests of a customer, short enough that a burst
 * counts while it lasts. */
#define TIME_CONSTANT_MS 2000.0
/* Of all customers' demand: many requests, and nobody is to be refused for a
 * burst that is over. */
#define TOTAL_TIME_CONSTANT_MS 500.0
/* The averages hardly move in this time, and the cost of sorting all customers
 * does not grow with the requests. */
#define LEVEL_INTERVAL_MS 50
/* A customer that asks for this many times its share would fill the queue
 * whenever it falls a little below its share, and the others would be late. */
#define FAR_ABOVE_SHARE 1.25
/* It counts as over from this part of its share on; free slots are left to it
 * for the rest. */
#define PART_OF_SHARE 0.95
/* From this part of all demand on, a customer is alone: what it is not given
 * would be idle. */
#define ALONE_PART 0.999
/* Nobody is over it. */
#define LEVEL_NONE (G_MAXDOUBLE / 2)

/* Averages in us of engine time per second, as of @at_ms. */
typedef struct {
    guint64 customer;
    double demand;
    double served;
    gint64 at_ms;
} Share_t;

struct FairShare {
    GHashTable *by_customer; /* &customer -> Share_t */
    guint customers_max;
    double total; /* demand of all, as of @total_ms */
    gint64 total_ms;
    double *demands; /* sorted while the level is computed */
    double level;
    double demand_sum; /* when @level was computed */
    double level_room;
    gint64 level_ms; /* when @level was computed; -1 for never */
};

FairShare_t *
FairShare_create(guint customers_max)
{
    FairShare_t *this = g_new0(FairShare_t, 1);
    this->by_customer =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    this->customers_max = MAX(customers_max, 1);
    this->demands = g_new(double, this->customers_max);
    this->level_ms = -1;
    return this;
}

void
FairShare_destroy(FairShare_t *this)
{
    g_hash_table_destroy(this->by_customer);
    g_free(this->demands);
    g_free(this);
}

static void
decay(Share_t *share, gint64 now_ms)
{
    gint64 age_ms = now_ms - share->at_ms;
    if (age_ms <= 0) {
        return;
    }
    double left = exp(-(double)age_ms / TIME_CONSTANT_MS);
    share->demand *= left;
    share->served *= left;
    share->at_ms = now_ms;
}

static void
remove_least_demand(FairShare_t *this, gint64 now_ms)
{
    Share_t *least = NULL;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, this->by_customer);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Share_t *share = value;
        decay(share, now_ms);
        if (!least || share->demand < least->demand) {
            least = share;
        }
    }
    g_hash_table_remove(this->by_customer, &least->customer);
}

static Share_t *
share_of(FairShare_t *this, guint64 customer, gint64 now_ms)
{
    Share_t *share = g_hash_table_lookup(this->by_customer, &customer);
    if (share) {
        decay(share, now_ms);
        return share;
    }
    if (g_hash_table_size(this->by_customer) >= this->customers_max) {
        remove_least_demand(this, now_ms);
    }
    share = g_new0(Share_t, 1);
    share->customer = customer;
    share->at_ms = now_ms;
    g_hash_table_insert(this->by_customer, &share->customer, share);
    return share;
}

/* What work adds to an average per second. */
static double
rate_of(gint64 work_us, double time_constant_ms)
{
    return (double)MAX(work_us, 0) * 1000 / time_constant_ms;
}

static void
decay_total(FairShare_t *this, gint64 now_ms)
{
    double age_ms = (double)MAX(now_ms - this->total_ms, 0);
    this->total *= exp(-age_ms / TOTAL_TIME_CONSTANT_MS);
    this->total_ms = now_ms;
}

void
FairShare_noteDemand(FairShare_t *this, guint64 customer, gint64 work_us,
                     gint64 now_ms)
{
    Share_t *share = share_of(this, customer, now_ms);
    share->demand += rate_of(work_us, TIME_CONSTANT_MS);
    decay_total(this, now_ms);
    this->total += rate_of(work_us, TOTAL_TIME_CONSTANT_MS);
}

void
FairShare_noteServed(FairShare_t *this, guint64 customer, gint64 work_us,
                     gint64 now_ms)
{
    Share_t *share = share_of(this, customer, now_ms);
    share->served += rate_of(work_us, TIME_CONSTANT_MS);
}

static int
compare(const void *a, const void *b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;
    return (left > right) - (left < right);
}

static guint
collect_demands(FairShare_t *this, gint64 now_ms)
{
    guint count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, this->by_customer);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        decay(value, now_ms);
        this->demands[count++] = ((Share_t *)value)->demand;
    }
    return count;
}

/* Max-min: who asks for less than an equal part of what is left gets all of
 * it, beginning with the one that asks for the least. */
static double
compute_level(FairShare_t *this, double room, gint64 now_ms)
{
    guint count = collect_demands(this, now_ms);
    qsort(this->demands, count, sizeof(double), compare);
    this->demand_sum = 0;
    for (guint i = 0; i < count; i++) {
        this->demand_sum += this->demands[i];
    }
    for (guint i = 0; i < count; i++) {
        double equal = room / (count - i);
        if (this->demands[i] > equal) {
            return equal;
        }
        room -= this->demands[i];
    }
    return LEVEL_NONE;
}

static void
update_level(FairShare_t *this, double room, gint64 now_ms)
{
    gint64 age_ms = now_ms - this->level_ms;
    if (this->level_ms >= 0 && age_ms < LEVEL_INTERVAL_MS &&
        room == this->level_room) {
        return;
    }
    this->level = compute_level(this, room, now_ms);
    this->level_room = room;
    this->level_ms = now_ms;
}

static double
limit_of(const FairShare_t *this, const Share_t *share)
{
    if (share->demand > FAR_ABOVE_SHARE * this->level) {
        return this->level * PART_OF_SHARE;
    }
    return this->level;
}

gboolean
FairShare_isOver(FairShare_t *this, guint64 customer, double room,
                 gint64 now_ms)
{
    Share_t *share = g_hash_table_lookup(this->by_customer, &customer);
    decay_total(this, now_ms);
    if (!share || this->total <= room) {
        return FALSE;
    }
    update_level(this, room, now_ms);
    decay(share, now_ms);
    if (share->demand >= ALONE_PART * this->demand_sum) {
        return FALSE;
    }
    return share->served > limit_of(this, share);
}
