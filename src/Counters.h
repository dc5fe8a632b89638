#ifndef HEADER_Counters
#define HEADER_Counters
/**
 * DOC: Counters
 *
 * The process's own counters: one for each refusal and each retry reason,
 * by service and customer class, and histograms of durations. A counter is
 * made when it is first used. Their number is bounded: past
 * COUNTERS_MAX all further names count as "counters_overflow".
 */
#include <glib.h>

#include "Histogram.h"

#define COUNTERS_MAX 4096

/**
 * struct Counters_t - opaque
 */
typedef struct Counters Counters_t;

/**
 * Counters_create() - an empty set
 */
Counters_t *Counters_create(void);

/**
 * Counters_destroy() - free it
 */
void Counters_destroy(Counters_t *this);

/**
 * Counters_add() - add to the counter of this name
 * @name: what is counted, in snake_case
 * @labels: "key=\"value\",..." as in plain exposition text, or NULL
 */
void Counters_add(Counters_t *this, const char *name, const char *labels,
                  guint64 amount);

/**
 * Counters_observe() - record a duration
 * @microseconds: its length
 */
void Counters_observe(Counters_t *this, const char *name,
                      guint64 microseconds);

/**
 * Counters_value() - what a counter stands at, 0 for one never used
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
