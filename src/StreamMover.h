#ifndef HEADER_StreamMover
#define HEADER_StreamMover
/**
 * DOC: StreamMover
 *
 * An engine that is to load weights waits for its running streams to end,
 * which takes longer than the load itself, and serves nobody else meanwhile.
 * Streams that may go on at another engine are taken there instead, as long
 * as the retry budget has more than the failures of others may need.
 */
#include <event2/event.h>

#include "Policy.h"
#include "RetryBudget.h"

/** How long a stream is left to end by itself once its engine pauses, in ms:
 * the order follows the pause by 300 to 450 ms (docs/MEASUREMENTS.md) */
#define MOVE_AFTER_MS 250

/** Engines that must be left to choose from */
#define MOVE_TARGETS_MIN 2

/**
 * struct MovableClass_t - a stream that can be moved
 * @upstream: where it runs, or NULL while it runs nowhere
 * @target: name of what it is for
 * @move: go on elsewhere
 */
typedef struct {
    const Upstream_t *(*upstream)(const void *stream);
    const char *(*target)(const void *stream);
    void (*move)(void *stream);
} MovableClass_t;

/** struct StreamMover_t - opaque */
typedef struct StreamMover StreamMover_t;

/**
 * StreamMover_create() - no stream is known yet
 * @upstreams: tells what else there is; must outlive it
 * @budget: of retries; must outlive it
 */
StreamMover_t *StreamMover_create(struct event_base *base,
                                  const UpstreamSet_t *upstreams,
                                  RetryBudget_t *budget);

/** StreamMover_destroy() - free it; no stream may be left */
void StreamMover_destroy(StreamMover_t *this);

/** StreamMover_add() - a stream may be moved from now on */
void StreamMover_add(StreamMover_t *this, void *stream,
                     const MovableClass_t *class);

/** StreamMover_remove() - it may not any more; nothing if it is not known */
void StreamMover_remove(StreamMover_t *this, void *stream);

/** StreamMover_tick() - move those that are due; called by a timer as well */
void StreamMover_tick(StreamMover_t *this, gint64 now_ms);

#endif
