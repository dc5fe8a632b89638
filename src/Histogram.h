#ifndef HEADER_Histogram
#define HEADER_Histogram
/**
 * DOC: Histogram
 *
 * A row of counters over geometric ranges, for durations. Each power of two
 * is split into HISTOGRAM_STEPS ranges, so a quantile is at most one part in
 * HISTOGRAM_STEPS too high.
 */
#include <glib.h>

#define HISTOGRAM_STEPS 16
#define HISTOGRAM_RANGES (40 * HISTOGRAM_STEPS)

/**
 * struct Histogram_t - counts of values, plain so that it can be embedded
 * @ranges: how many values fell in each range
 * @count: how many values there were
 * @sum: their sum
 */
typedef struct {
    guint64 ranges[HISTOGRAM_RANGES];
    guint64 count;
    guint64 sum;
} Histogram_t;

/**
 * Histogram_record() - count one value
 * @value: in microseconds wherever the project uses it
 */
void Histogram_record(Histogram_t *this, guint64 value);

/**
 * Histogram_quantile() - the value below which a share of the values lies
 * @share: from 0 to 1
 *
 * Return: the upper edge of the range, 0 where nothing was recorded
 */
guint64 Histogram_quantile(const Histogram_t *this, double share);

#endif
