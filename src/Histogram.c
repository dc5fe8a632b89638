#include "Histogram.h"

/* log2 of HISTOGRAM_STEPS */
#define STEP_BITS 4

static unsigned
range_of(guint64 value)
{
    if (value < HISTOGRAM_STEPS) {
        return (unsigned)value;
    }
    unsigned top = 63U - (unsigned)__builtin_clzll(value);
    unsigned shift = top - STEP_BITS;
    unsigned range = (shift + 1) * HISTOGRAM_STEPS +
                     (unsigned)((value >> shift) & (HISTOGRAM_STEPS - 1));
    return MIN(range, HISTOGRAM_RANGES - 1U);
}

static guint64
upper_edge(unsigned range)
{
    if (range < HISTOGRAM_STEPS) {
        return range;
    }
    unsigned shift = range / HISTOGRAM_STEPS - 1;
    guint64 base = HISTOGRAM_STEPS + range % HISTOGRAM_STEPS;
    return ((base + 1) << shift) - 1;
}

void
Histogram_record(Histogram_t *this, guint64 value)
{
    this->ranges[range_of(value)]++;
    this->count++;
    this->sum += value;
}

guint64
Histogram_quantile(const Histogram_t *this, double share)
{
    guint64 wanted = (guint64)((double)this->count * share);
    guint64 seen = 0;
    for (unsigned i = 0; i < HISTOGRAM_RANGES; i++) {
        seen += this->ranges[i];
        if (seen > wanted || (seen == this->count && seen > 0)) {
            return upper_edge(i);
        }
    }
    return 0;
}
