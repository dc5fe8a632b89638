#include "Histogram.h"

/* log2 of HISTOGRAM_SUB_BUCKETS */
#define SUB_BUCKET_BITS 4

static unsigned
bucket_index(guint64 value)
{
    if (value < HISTOGRAM_SUB_BUCKETS) {
        return (unsigned)value;
    }
    unsigned top_bit = 63U - (unsigned)__builtin_clzll(value);
    unsigned shift = top_bit - SUB_BUCKET_BITS;
    unsigned bucket =
        (shift + 1) * HISTOGRAM_SUB_BUCKETS +
        (unsigned)((value >> shift) & (HISTOGRAM_SUB_BUCKETS - 1));
    return MIN(bucket, HISTOGRAM_BUCKETS - 1U);
}

static guint64
bucket_upper_bound(unsigned bucket)
{
    if (bucket < HISTOGRAM_SUB_BUCKETS) {
        return bucket;
    }
    unsigned shift = bucket / HISTOGRAM_SUB_BUCKETS - 1;
    guint64 base = HISTOGRAM_SUB_BUCKETS + bucket % HISTOGRAM_SUB_BUCKETS;
    return ((base + 1) << shift) - 1;
}

void
Histogram_record(Histogram_t *this, guint64 value)
{
    this->buckets[bucket_index(value)]++;
    this->count++;
    this->sum += value;
}

guint64
Histogram_quantile(const Histogram_t *this, double share)
{
    guint64 rank = (guint64)((double)this->count * share);
    guint64 seen = 0;
    for (unsigned i = 0; i < HISTOGRAM_BUCKETS; i++) {
        seen += this->buckets[i];
        if (seen > rank || (seen == this->count && seen > 0)) {
            return bucket_upper_bound(i);
        }
    }
    return 0;
}
