#include "AnswerTimes.h"

#include <math.h>

/* Least weight of a new observation, which covers about ten answers. */
#define GAIN_MIN 0.1
/* Answers until a route is known. */
#define KNOWN_MIN 5

/* Recent mean and mean deviation of an observed quantity. */
typedef struct {
    guint count;
    double mean;
    double spread;
} Mean_t;

typedef struct {
    Mean_t whole;    /* us */
    Mean_t per_unit; /* us for each unit of the stated size */
} Entry_t;

struct AnswerTimes {
    GHashTable *entries; /* route -> Entry_t, owned */
};

AnswerTimes_t *
AnswerTimes_create(void)
{
    AnswerTimes_t *this = g_new0(AnswerTimes_t, 1);
    this->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return this;
}

void
AnswerTimes_destroy(AnswerTimes_t *this)
{
    g_hash_table_destroy(this->entries);
    g_free(this);
}

static Entry_t *
get_entry(AnswerTimes_t *this, const char *route)
{
    Entry_t *entry = g_hash_table_lookup(this->entries, route);
    if (!entry) {
        entry = g_new0(Entry_t, 1);
        g_hash_table_insert(this->entries, g_strdup(route), entry);
    }
    return entry;
}

/* The first observations weigh the same, so that the very first one does not
 * stand for all. */
static void
add(Mean_t *this, double value)
{
    this->count = MIN(this->count + 1, G_MAXINT32);
    double gain = MAX(1.0 / this->count, GAIN_MIN);
    double error = value - this->mean;
    this->mean += error * gain;
    if (this->count > 1) {
        this->spread += (fabs(error) - this->spread) * gain;
    }
}

void
AnswerTimes_note(AnswerTimes_t *this, const char *route, guint size, gint64 us)
{
    Entry_t *entry = get_entry(this, route);
    add(&entry->whole, (double)us);
    if (size > 0) {
        add(&entry->per_unit, (double)us / size);
    }
}

/* Whether the time is better known from the size than without it. */
static gboolean
is_by_size(const Entry_t *entry)
{
    const Mean_t *whole = &entry->whole;
    const Mean_t *per_unit = &entry->per_unit;
    return per_unit->count >= KNOWN_MIN &&
           per_unit->spread * whole->mean < whole->spread * per_unit->mean;
}

static AnswerTime_t
scale(const Mean_t *mean, double size)
{
    return (AnswerTime_t){(gint64)(mean->mean * size),
                          (gint64)(mean->spread * size)};
}

AnswerTime_t
AnswerTimes_get(const AnswerTimes_t *this, const char *route, guint size)
{
    const Entry_t *entry = g_hash_table_lookup(this->entries, route);
    if (!entry || entry->whole.count < KNOWN_MIN) {
        return (AnswerTime_t){0};
    }
    return size > 0 && is_by_size(entry) ? scale(&entry->per_unit, size)
                                         : scale(&entry->whole, 1);
}
