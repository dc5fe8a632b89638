#include "RunTimes.h"

/* Weight of a new observation in the mean, which covers about ten streams. */
#define MEAN_GAIN 0.1

struct RunTimes {
    GHashTable *means; /* route -> double *, in us */
};

RunTimes_t *
RunTimes_create(void)
{
    RunTimes_t *this = g_new0(RunTimes_t, 1);
    this->means =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return this;
}

void
RunTimes_destroy(RunTimes_t *this)
{
    g_hash_table_destroy(this->means);
    g_free(this);
}

void
RunTimes_note(RunTimes_t *this, const char *route, gint64 run_us)
{
    double *mean = g_hash_table_lookup(this->means, route);
    if (!mean) {
        mean = g_new(double, 1);
        *mean = (double)run_us;
        g_hash_table_insert(this->means, g_strdup(route), mean);
    }
    *mean += ((double)run_us - *mean) * MEAN_GAIN;
}

gint64
RunTimes_expectedUs(const RunTimes_t *this, const char *route)
{
    const double *mean = g_hash_table_lookup(this->means, route);
    return mean ? (gint64)*mean : 0;
}
