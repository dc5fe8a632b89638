#ifndef HEADER_Names
#define HEADER_Names
/**
 * DOC: Names
 *
 * Lists of names, each a GString.
 */
#include <glib.h>

/** Names_equal() - whether both hold the same texts in the same order */
gboolean Names_equal(const GPtrArray *one, const GPtrArray *other);

#endif
