#ifndef HEADER_Forecast
#define HEADER_Forecast
/**
 * DOC: Forecast
 *
 * How far the estimates of first tokens are off, by service: an estimate is of
 * use only together with that.
 */
#include <glib.h>

/** struct Forecast_t - opaque */
typedef struct Forecast Forecast_t;

/** Forecast_create() - nothing learned yet */
Forecast_t *Forecast_create(void);

/** Forecast_destroy() - free it */
void Forecast_destroy(Forecast_t *this);

/** Forecast_noteFirst() - when a first token was expected, and when it came */
void Forecast_noteFirst(Forecast_t *this, const char *service,
                        gint64 expected_us, gint64 passed_us);

/** Forecast_spreadUs() - by how much first tokens of a service miss what was
 * expected, on the mean */
gint64 Forecast_spreadUs(const Forecast_t *this, const char *service);

#endif
