#ifndef HEADER_NameFilter
#define HEADER_NameFilter
/**
 * DOC: NameFilter
 *
 * A Bloom filter of routers and their incarnations: who asks for the routers
 * that it does not know tells those that it knows in a byte each.
 */
#include <glib.h>

/** struct NameFilter_t - bits, and a seed that the hashes begin with */
typedef struct {
    GByteArray *bits;
    guint32 seed;
} NameFilter_t;

/** NameFilter_init() - empty, with room for @count names */
void NameFilter_init(NameFilter_t *this, guint count, guint32 seed);

/** NameFilter_clear() - free what it holds */
void NameFilter_clear(NameFilter_t *this);

/** NameFilter_add() - a name is known */
void NameFilter_add(NameFilter_t *this, const char *name, guint64 incarnation);

/**
 * NameFilter_has() - whether a name may be in a filter; one in some four
 * hundred that is not is taken for one that is
 * @bits: of the filter
 * @length: of @bits in bytes; no name is in an empty one
 */
gboolean NameFilter_has(const guint8 *bits, gsize length, guint32 seed,
                        const char *name, guint64 incarnation);

#endif
