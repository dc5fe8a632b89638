#ifndef HEADER_CountedCrashes
#define HEADER_CountedCrashes
/**
 * DOC: CountedCrashes
 *
 * Crashes that this router has counted and that may yet turn out to be none:
 * an upstream that was taken for ended may answer what was sent to it later.
 */
#include <glib.h>

/** struct CountedCrashes_t - opaque */
typedef struct CountedCrashes CountedCrashes_t;

/** CountedCrashes_create() - none */
CountedCrashes_t *CountedCrashes_create(void);

/** CountedCrashes_destroy() - free it */
void CountedCrashes_destroy(CountedCrashes_t *this);

/**
 * CountedCrashes_add() - one was counted
 * @crash: identity of the upstream's incarnation
 * @at_ms: when it ended, monotonic; one that is known already keeps its time
 */
void CountedCrashes_add(CountedCrashes_t *this, guint64 crash, gint64 at_ms);

/**
 * CountedCrashes_remove() - the upstream has answered
 * @sent_ms: when what it answers was sent
 *
 * Return: whether that was after it was counted, so that it counts no more
 */
gboolean CountedCrashes_remove(CountedCrashes_t *this, guint64 crash,
                               gint64 sent_ms);

#endif
