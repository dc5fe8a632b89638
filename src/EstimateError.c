#include "EstimateError.h"

#include "Clock.h"

/* Error that is assumed before the first observation: one or a few steps of an
 * engine. */
#define INITIAL_SPREAD_US 50000
/* Weight of a new error in the mean, which covers about twenty of them. */
#define SPREAD_GAIN 0.05
/* Larger errors are cut off: a request that hangs for seconds indicates a
 * fault rather than a wrong estimate. */
#define ERROR_MAX_US 500000
/* Services that are tracked; a configuration has far fewer. */
#define SERVICES_MAX 1024

struct EstimateError {
    GHashTable *spreads; /* service -> gint64 *, in us */
};

EstimateError_t *
EstimateError_create(void)
{
    EstimateError_t *this = g_new0(EstimateError_t, 1);
    this->spreads =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return this;
}

void
EstimateError_destroy(EstimateError_t *this)
{
    g_hash_table_destroy(this->spreads);
    g_free(this);
}

static gint64 *
spread_of(EstimateError_t *this, const char *service)
{
    gint64 *spread_us = g_hash_table_lookup(this->spreads, service);
    if (!spread_us) {
        if (g_hash_table_size(this->spreads) >= SERVICES_MAX) {
            g_hash_table_remove_all(this->spreads);
        }
        spread_us = g_new(gint64, 1);
        *spread_us = INITIAL_SPREAD_US;
        g_hash_table_insert(this->spreads, g_strdup(service), spread_us);
    }
    return spread_us;
}

void
EstimateError_noteFirst(EstimateError_t *this, const char *service,
                        gint64 expected_us, gint64 passed_us)
{
    gint64 *spread_us = spread_of(this, service);
    gint64 error_us = MIN(ABS(passed_us - expected_us), ERROR_MAX_US);
    *spread_us += (gint64)((double)(error_us - *spread_us) * SPREAD_GAIN);
}

gint64
EstimateError_spreadUs(const EstimateError_t *this, const char *service)
{
    const gint64 *spread_us = g_hash_table_lookup(this->spreads, service);
    return spread_us ? *spread_us : INITIAL_SPREAD_US;
}
