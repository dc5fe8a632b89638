#ifndef HEADER_Counters
#define HEADER_Counters
/**
 * DOC: Counters
 *
 * Counters and duration histograms of this process, for example refusals and
 * retries by reason, service and customer class. A counter is created on
 * first use. Once COUNTERS_MAX counters exist, increments of new names go to
 * "counters_overflow", which bounds the memory.
 *
 * Histograms have no such bound: their names are constants in the code.
 */
#include <glib.h>

#include "Histogram.h"

#define COUNTERS_MAX 4096

/**
 * struct Counters_t - opaque
 */
typedef struct Counters Counters_t;

/**
 * Counters_create() - create an empty set
 */
Counters_t *Counters_create(void);

/**
 * Counters_destroy() - free the set
 */
void Counters_destroy(Counters_t *this);

/**
 * Counters_add() - add to the counter of this name
 * @name: metric name, in snake_case
 * @labels: "key=\"value\",..." as in the Prometheus text format, or NULL
 */
void Counters_add(Counters_t *this, const char *name, const char *labels,
                  guint64 amount);

/**
 * Counters_observe() - record a duration in the histogram of this name
 */
void Counters_observe(Counters_t *this, const char *name,
                      guint64 microseconds);

/**
 * Counters_value() - current value of a counter, 0 if it was never used
 */
guint64 Counters_value(const Counters_t *this, const char *name,
                       const char *labels);

/**
 * CountersVisit_t - called for each counter
 */
typedef void (*CountersVisit_t)(const char *name, guint64 value, void *data);

/**
 * Counters_forEach() - visit all counters whose name has a prefix, in order
 *
 * Histograms are visited as NAME_count, NAME_sum and their quantiles.
 */
void Counters_forEach(const Counters_t *this, const char *prefix,
                      CountersVisit_t visit, void *data);

#endif
