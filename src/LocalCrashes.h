#ifndef HEADER_LocalCrashes
#define HEADER_LocalCrashes
/**
 * DOC: LocalCrashes
 *
 * Crashes of upstreams that this router has detected. They are remembered so
 * that one can be retracted: an upstream that was presumed dead may later
 * answer a request that was sent to it after the presumed crash.
 */
#include <glib.h>

/** struct LocalCrashes_t - opaque */
typedef struct LocalCrashes LocalCrashes_t;

/** LocalCrashes_create() - create an empty list */
LocalCrashes_t *LocalCrashes_create(void);

/** LocalCrashes_destroy() - free the list */
void LocalCrashes_destroy(LocalCrashes_t *this);

/**
 * LocalCrashes_add() - remember a crash
 * @crash: identity of the upstream's incarnation
 * @at_ms: time of the crash, monotonic; a crash that is already listed keeps
 *     its time
 */
void LocalCrashes_add(LocalCrashes_t *this, guint64 crash, gint64 at_ms);

/**
 * LocalCrashes_retract() - remove a crash if the upstream's answer disproves
 * it
 * @crash: identity of the incarnation that has answered
 * @sent_ms: when the answered request was sent, monotonic
 *
 * Return: TRUE if the crash was listed and the request was sent after it
 */
gboolean LocalCrashes_retract(LocalCrashes_t *this, guint64 crash,
                              gint64 sent_ms);

#endif
