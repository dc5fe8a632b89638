#include "AnswerTimes.h"

#include <math.h>

/* Least weight of a new observation, which covers about ten answers. */
#define GAIN_MIN 0.1
/* Answers until a route is known. */
#define KNOWN_MIN 5

typedef struct {
    guint count;
    double mean_us;
    double spread_us;
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

/* The first answers weigh the same, so that the very first one does not stand
 * for the route. */
void
AnswerTimes_note(AnswerTimes_t *this, const char *route, gint64 us)
{
    Entry_t *entry = get_entry(this, route);
    entry->count = MIN(entry->count + 1, G_MAXINT32);
    double gain = MAX(1.0 / entry->count, GAIN_MIN);
    double error_us = (double)us - entry->mean_us;
    entry->mean_us += error_us * gain;
    if (entry->count > 1) {
        entry->spread_us += (fabs(error_us) - entry->spread_us) * gain;
    }
}

AnswerTime_t
AnswerTimes_get(const AnswerTimes_t *this, const char *route)
{
    const Entry_t *entry = g_hash_table_lookup(this->entries, route);
    if (!entry || entry->count < KNOWN_MIN) {
        return (AnswerTime_t){0};
    }
    return (AnswerTime_t){(gint64)entry->mean_us, (gint64)entry->spread_us};
}
