#ifndef HEADER_EngineRuns
#define HEADER_EngineRuns
/**
 * DOC: EngineRuns
 *
 * The requests that an engine runs, as its last report lists them. A request
 * may be gone at an engine that works: its answer was lost on the way, or the
 * engine dropped it. Its connection is as silent as that of one that waits
 * behind others, and only the engine can tell them apart.
 */
#include <glib.h>

/** struct EngineRuns_t - opaque */
typedef struct EngineRuns EngineRuns_t;

/** EngineRuns_create() - nothing was reported and asked for yet */
EngineRuns_t *EngineRuns_create(void);

/** EngineRuns_destroy() - free it */
void EngineRuns_destroy(EngineRuns_t *this);

/**
 * EngineRuns_replace() - record a report
 * @events: ids of all requests that run, and the number of events made for
 *     each, as GUINT_TO_POINTER(); takes the reference
 * @queued: number of requests that have not begun
 * @asked_ms: when the report was asked for, monotonic
 */
void EngineRuns_replace(EngineRuns_t *this, GHashTable *events, guint queued,
                        gint64 asked_ms);

/** EngineRuns_clear() - the engine has started again: forget its report */
void EngineRuns_clear(EngineRuns_t *this);

/** EngineRuns_mayAsk() - whether another report may be asked for, which the
 * caller does then; FALSE for a while after that */
gboolean EngineRuns_mayAsk(EngineRuns_t *this, gint64 now_ms);

/**
 * EngineRuns_isLost() - whether nothing more can come of a request
 * @id: its id
 * @events: number of events received of its present run
 * @since_ms: when it was sent, or its last event was received, monotonic
 *
 * Return: TRUE if the engine neither runs it nor has any waiting, or has made
 *     more events of it, by a report that is newer than @since_ms
 */
gboolean EngineRuns_isLost(const EngineRuns_t *this, const char *id,
                           guint64 events, gint64 since_ms);

#endif
