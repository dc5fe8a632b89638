#ifndef HEADER_RunTimes
#define HEADER_RunTimes
/**
 * DOC: RunTimes
 *
 * How long streams of each route run after their first event, as this router
 * has seen of late. Streams of one kind are alike, while those of two kinds
 * may differ by ten times on the same engine.
 */
#include <glib.h>

/** struct RunTimes_t - opaque */
typedef struct RunTimes RunTimes_t;

/** RunTimes_create() - nothing was seen */
RunTimes_t *RunTimes_create(void);

/** RunTimes_destroy() - free it */
void RunTimes_destroy(RunTimes_t *this);

/** RunTimes_note() - a stream of a route has run so long to its end */
void RunTimes_note(RunTimes_t *this, const char *route, gint64 run_us);

/** RunTimes_expectedUs() - mean of a route, 0 where nothing was seen */
gint64 RunTimes_expectedUs(const RunTimes_t *this, const char *route);

#endif
