#include "Forecast.h"

#include "Clock.h"

/* Before anything was seen: a step of an engine or a few. */
#define FIRST_SPREAD_US 50000
/* Share of a new miss in the mean: some twenty count. */
#define SPREAD_GAIN 0.05
/* A request that hung for seconds tells of a fault, not of the estimate. */
#define MISS_MOST_US 500000
/* Services remembered; a configuration has far fewer. */
#define SERVICES_MAX 1024

struct Forecast {
    GHashTable *spreads; /* service -> gint64 *, in us */
};

Forecast_t *
Forecast_create(void)
{
    Forecast_t *this = g_new0(Forecast_t, 1);
    this->spreads =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return this;
}

void
Forecast_destroy(Forecast_t *this)
{
    g_hash_table_destroy(this->spreads);
    g_free(this);
}

static gint64 *
spread_of(Forecast_t *this, const char *service)
{
    gint64 *spread_us = g_hash_table_lookup(this->spreads, service);
    if (!spread_us) {
        if (g_hash_table_size(this->spreads) >= SERVICES_MAX) {
            g_hash_table_remove_all(this->spreads);
        }
        spread_us = g_new(gint64, 1);
        *spread_us = FIRST_SPREAD_US;
        g_hash_table_insert(this->spreads, g_strdup(service), spread_us);
    }
    return spread_us;
}

void
Forecast_noteFirst(Forecast_t *this, const char *service, gint64 expected_us,
                   gint64 passed_us)
{
    gint64 *spread_us = spread_of(this, service);
    gint64 miss_us = MIN(ABS(passed_us - expected_us), MISS_MOST_US);
    *spread_us += (gint64)((double)(miss_us - *spread_us) * SPREAD_GAIN);
}

gint64
Forecast_spreadUs(const Forecast_t *this, const char *service)
{
    const gint64 *spread_us = g_hash_table_lookup(this->spreads, service);
    return spread_us ? *spread_us : FIRST_SPREAD_US;
}
