#ifndef HEADER_NameFilter
#define HEADER_NameFilter
/**
 * DOC: NameFilter
 *
 * Bloom filter of router names and incarnations. A router that queries for
 * unknown routers sends the known ones in such a filter, which takes two bytes
 * for each.
 */
#include <glib.h>

/** struct NameFilter_t - bits of the filter, and the seed of its hashes */
typedef struct {
    GByteArray *bits;
    guint32 seed;
} NameFilter_t;

/** NameFilter_init() - initialize an empty filter for @count names */
void NameFilter_init(NameFilter_t *this, guint count, guint32 seed);

/** NameFilter_clear() - free the bits */
void NameFilter_clear(NameFilter_t *this);

/** NameFilter_add() - add a name with an incarnation */
void NameFilter_add(NameFilter_t *this, const char *name, guint64 incarnation);

/**
 * NameFilter_mayContain() - whether a name may be in a filter
 * @bits: bits of the filter
 * @length: length of @bits in bytes; an empty filter contains no name
 *
 * About one in four hundred absent names is reported as present.
 */
gboolean NameFilter_mayContain(const guint8 *bits, gsize length, guint32 seed,
                               const char *name, guint64 incarnation);

#endif
