#ifndef HEADER_Names
#define HEADER_Names
/**
 * DOC: Names
 *
 * Lists of names, held as GPtrArray of GString.
 */
#include <glib.h>

/** Names_equal() - whether two lists hold the same names in the same order */
gboolean Names_equal(const GPtrArray *one, const GPtrArray *other);

#endif
