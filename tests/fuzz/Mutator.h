#ifndef HEADER_Mutator
#define HEADER_Mutator
/**
 * DOC: Mutator
 *
 * Generates fuzz inputs by mutating seed files. The same random seed gives
 * the same sequence of inputs.
 */
#include <glib.h>

/** Longest generated input in bytes. It exceeds every length at which the
 * parsers behave differently, except limits of one megabyte and more. */
#define MUTATOR_MAX 4096

/** struct Mutator_t - opaque */
typedef struct Mutator Mutator_t;

/**
 * Mutator_create() - read the seed files
 * @folder: folder whose files are the seeds
 * @number: seed of the random generator
 *
 * Return: the mutator, or NULL if the folder has no readable files
 */
Mutator_t *Mutator_create(const char *folder, guint64 number);

/** Mutator_destroy() - free the mutator and its seeds */
void Mutator_destroy(Mutator_t *this);

/** Mutator_seeds() - all seeds as GBytes, sorted by file name */
const GPtrArray *Mutator_seeds(const Mutator_t *this);

/**
 * Mutator_next() - generate the next input
 * @out: buffer of MUTATOR_MAX bytes
 *
 * Return: length of the input in bytes
 */
gsize Mutator_next(Mutator_t *this, guint8 *out);

#endif
