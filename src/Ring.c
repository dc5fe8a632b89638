#include "Ring.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

typedef struct {
    guint64 position;
    Upstream_t *upstream;
} Point_t;

struct Ring {
    Point_t *points;
    guint count;
};

static int
compare_points(const void *a, const void *b)
{
    const Point_t *left = a;
    const Point_t *right = b;
    if (left->position != right->position) {
        return left->position < right->position ? -1 : 1;
    }
    return strcmp(left->upstream->name->str, right->upstream->name->str);
}

Ring_t *
Ring_create(const GPtrArray *upstreams, const char *region)
{
    Ring_t *this = g_new0(Ring_t, 1);
    this->points = g_new(Point_t, (gsize)upstreams->len * RING_POINTS + 1);
    for (guint i = 0; i < upstreams->len; i++) {
        Upstream_t *upstream = g_ptr_array_index(upstreams, i);
        if (region && strcmp(upstream->region->str, region) != 0) {
            continue;
        }
        for (guint64 copy = 0; copy < RING_POINTS; copy++) {
            guint64 position =
                XXH3_64bits_withSeed(&copy, sizeof(copy), upstream->hash);
            this->points[this->count++] = (Point_t){position, upstream};
        }
    }
    qsort(this->points, this->count, sizeof(Point_t), compare_points);
    return this;
}

void
Ring_destroy(Ring_t *this)
{
    g_free(this->points);
    g_free(this);
}

static guint
find_point_at_or_after(const Ring_t *this, guint64 key)
{
    guint low = 0;
    guint high = this->count;
    while (low < high) {
        guint middle = low + (high - low) / 2;
        if (this->points[middle].position < key) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

void
Ring_walk(const Ring_t *this, guint64 key, guint points_max, RingVisit_t visit,
          void *data)
{
    guint first = find_point_at_or_after(this, key);
    guint visits_max = MIN(points_max, this->count);
    for (guint i = 0; i < visits_max; i++) {
        if (!visit(this->points[(first + i) % this->count].upstream, data)) {
            return;
        }
    }
}
