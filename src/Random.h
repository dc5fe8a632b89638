#ifndef HEADER_Random
#define HEADER_Random
/**
 * DOC: Random
 *
 * Unguessable ids, and a seeded generator for jitter and choices.
 */
#include <glib.h>

/** Characters of an id made by Random_id() */
#define RANDOM_ID_LENGTH 32

/** Random_id() - a new unguessable id of 128 bits in hex digits */
void Random_id(char out[RANDOM_ID_LENGTH + 1]);

/** Random_seed() - make Random_below() repeatable; 0 seeds from the system */
void Random_seed(guint32 seed);

/**
 * Random_below() - a number from 0 to below @bound
 * @bound: above 0
 */
guint32 Random_below(guint32 bound);

#endif
