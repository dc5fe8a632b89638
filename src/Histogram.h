#ifndef HEADER_Histogram
#define HEADER_Histogram
/**
 * DOC: Histogram
 *
 * Histogram with logarithmic buckets, for durations. Each power of two is
 * split into HISTOGRAM_SUB_BUCKETS equal buckets, so that a quantile is too
 * high by at most 1/HISTOGRAM_SUB_BUCKETS of its value.
 */
#include <glib.h>

#define HISTOGRAM_SUB_BUCKETS 16
#define HISTOGRAM_BUCKETS (40 * HISTOGRAM_SUB_BUCKETS)

/**
 * struct Histogram_t - the counts; zeroed memory is an empty histogram
 * @buckets: number of values in each bucket
 * @count: number of all values
 * @sum: sum of all values
 */
typedef struct {
    guint64 buckets[HISTOGRAM_BUCKETS];
    guint64 count;
    guint64 sum;
} Histogram_t;

/**
 * Histogram_record() - add one value
 * @value: microseconds, in all uses so far
 */
void Histogram_record(Histogram_t *this, guint64 value);

/**
 * Histogram_quantile() - estimate a quantile
 * @share: from 0 to 1
 *
 * Return: the upper bound of the bucket, 0 if the histogram is empty
 */
guint64 Histogram_quantile(const Histogram_t *this, double share);

#endif
