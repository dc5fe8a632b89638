#ifndef HEADER_Mutator
#define HEADER_Mutator
/**
 * DOC: Mutator
 *
 * Makes inputs out of seeds, the same ones for the same number.
 */
#include <glib.h>

/** Longest input that is made, in bytes: above all lengths at which the
 * parsers change their ways, but for those of whole megabytes */
#define MUTATOR_MAX 4096

/** struct Mutator_t - opaque */
typedef struct Mutator Mutator_t;

/**
 * Mutator_create() - read the seeds
 * @folder: each of its files is a seed
 * @number: that all choices follow from
 *
 * Return: NULL where the folder has no seeds
 */
Mutator_t *Mutator_create(const char *folder, guint64 number);

/** Mutator_destroy() - free it */
void Mutator_destroy(Mutator_t *this);

/** Mutator_seeds() - GBytes *, by name of file */
const GPtrArray *Mutator_seeds(const Mutator_t *this);

/**
 * Mutator_next() - the next input
 * @out: MUTATOR_MAX bytes
 *
 * Return: bytes of it
 */
gsize Mutator_next(Mutator_t *this, guint8 *out);

#endif
