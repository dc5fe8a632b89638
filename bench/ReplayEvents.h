#ifndef HEADER_ReplayEvents
#define HEADER_ReplayEvents
/**
 * DOC: ReplayEvents
 *
 * The events of a replay, by their virtual time. Events at the same time keep
 * the order in which they were added.
 */
#include <glib.h>

/** enum ReplayEventKind_t - what happens */
typedef enum {
    EVENT_ARRIVAL,
    EVENT_STEP,
    EVENT_FIRST_TOKEN,
    EVENT_COMPLETE,
    EVENT_DEADLINE,
    EVENT_SILENT,
    EVENT_SUSPECTED,
    EVENT_RESUMED,
    EVENT_SECOND,
} ReplayEventKind_t;

/**
 * struct ReplayEvent_t - an event
 * @at_us: when it happens
 * @order: number in the order in which events were added
 * @kind: what happens
 * @index: of a request or an engine
 */
typedef struct {
    gint64 at_us;
    guint64 order;
    ReplayEventKind_t kind;
    guint index;
} ReplayEvent_t;

/** struct ReplayEvents_t - opaque */
typedef struct ReplayEvents ReplayEvents_t;

/** ReplayEvents_create() - no events */
ReplayEvents_t *ReplayEvents_create(void);

/** ReplayEvents_destroy() - free it */
void ReplayEvents_destroy(ReplayEvents_t *this);

/** ReplayEvents_add() - add an event */
void ReplayEvents_add(ReplayEvents_t *this, gint64 at_us,
                      ReplayEventKind_t kind, guint index);

/** ReplayEvents_pop() - take the earliest event; FALSE if there is none */
gboolean ReplayEvents_pop(ReplayEvents_t *this, ReplayEvent_t *out);

#endif
