#ifndef HEADER_RunTimes
#define HEADER_RunTimes
/**
 * DOC: RunTimes
 *
 * Recent mean time that streams of each route run after their first event, as
 * observed by this router. Streams of one route are similar, while streams of
 * two routes may differ by a factor of ten on the same engine.
 */
#include <glib.h>

/** struct RunTimes_t - opaque */
typedef struct RunTimes RunTimes_t;

/** RunTimes_create() - no stream observed yet */
RunTimes_t *RunTimes_create(void);

/** RunTimes_destroy() - free it */
void RunTimes_destroy(RunTimes_t *this);

/** RunTimes_note() - a stream ended @run_us after its first event */
void RunTimes_note(RunTimes_t *this, const char *route, gint64 run_us);

/** RunTimes_expectedUs() - mean of a route, 0 where no stream has ended yet */
gint64 RunTimes_expectedUs(const RunTimes_t *this, const char *route);

#endif
