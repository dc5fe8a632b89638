#include "NameFilter.h"

#include <string.h>
#include <xxhash.h>

#define BITS_PER_NAME 16
#define BITS_PER_BYTE 8
#define HASHES_PER_NAME 4

void
NameFilter_init(NameFilter_t *this, guint count, guint32 seed)
{
    gsize bytes = (gsize)count * BITS_PER_NAME / BITS_PER_BYTE + 1;
    this->seed = seed;
    this->bits = g_byte_array_sized_new((guint)bytes);
    g_byte_array_set_size(this->bits, (guint)bytes);
    memset(this->bits->data, 0, bytes);
}

void
NameFilter_clear(NameFilter_t *this)
{
    g_byte_array_unref(this->bits);
}

static guint64
hash_name(guint32 seed, const char *name, guint64 incarnation)
{
    return XXH3_64bits_withSeed(name, strlen(name), incarnation ^ seed);
}

static guint64
bit_index(guint64 hash, guint hash_index, gsize bytes)
{
    guint64 step = (hash >> 32) | 1;
    return (hash + hash_index * step) % ((guint64)bytes * BITS_PER_BYTE);
}

void
NameFilter_add(NameFilter_t *this, const char *name, guint64 incarnation)
{
    guint64 hash = hash_name(this->seed, name, incarnation);
    for (guint i = 0; i < HASHES_PER_NAME; i++) {
        guint64 bit = bit_index(hash, i, this->bits->len);
        this->bits->data[bit / BITS_PER_BYTE] |=
            (guint8)(1U << (bit % BITS_PER_BYTE));
    }
}

gboolean
NameFilter_mayContain(const guint8 *bits, gsize length, guint32 seed,
                      const char *name, guint64 incarnation)
{
    guint64 hash = hash_name(seed, name, incarnation);
    for (guint i = 0; i < HASHES_PER_NAME && length > 0; i++) {
        guint64 bit = bit_index(hash, i, length);
        if (!(bits[bit / BITS_PER_BYTE] & (1U << (bit % BITS_PER_BYTE)))) {
            return FALSE;
        }
    }
    return length > 0;
}
