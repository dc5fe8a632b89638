#ifndef HEADER_Random
#define HEADER_Random
/**
 * DOC: Random
 *
 * Unguessable ids, and a seeded pseudo-random generator for jitter and random
 * choices.
 */
#include <glib.h>

/** Length of an id made by Random_id(), in characters */
#define RANDOM_ID_LENGTH 32

/** Random_id() - make an unguessable id of 128 bits in hex digits */
void Random_id(char out[RANDOM_ID_LENGTH + 1]);

/** Random_seed() - seed Random_below() to make it repeatable; 0 seeds from the
 * system */
void Random_seed(guint32 seed);

/**
 * Random_below() - a random number from 0 to @bound - 1
 * @bound: above 0
 */
guint32 Random_below(guint32 bound);

#endif
