#include "Random.h"

#include <sodium.h>

static GRand *generator;

void
Random_id(char out[RANDOM_ID_LENGTH + 1])
{
    guint8 bytes[RANDOM_ID_LENGTH / 2];
    randombytes_buf(bytes, sizeof(bytes));
    sodium_bin2hex(out, RANDOM_ID_LENGTH + 1, bytes, sizeof(bytes));
}

void
Random_seed(guint32 seed)
{
    if (generator) {
        g_rand_free(generator);
    }
    generator = seed ? g_rand_new_with_seed(seed) : g_rand_new();
}

guint32
Random_below(guint32 bound)
{
    if (!generator) {
        Random_seed(0);
    }
    return (guint32)g_rand_int_range(generator, 0, (gint32)bound);
}
