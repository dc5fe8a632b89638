#ifndef HEADER_StreamMover
#define HEADER_StreamMover
/**
 * DOC: StreamMover
 *
 * Moves streams away from engines that are about to load other weights. Such
 * an engine accepts no requests until its running streams have ended, which
 * takes longer than the load itself. Streams that can continue at another
 * engine are moved there, as long as the retry budget has headroom beyond what
 * is reserved for failures.
 */
#include <event2/event.h>

#include "Policy.h"
#include "RetryBudget.h"

/** Time for which a stream may end by itself after its engine has paused, in
 * ms; shorter than the 300 to 450 ms after which the order to load follows the
 * pause */
#define MOVE_DELAY_MS 250

/** Minimum number of other usable engines for a move */
#define MOVE_TARGETS_MIN 2

/**
 * struct MovableClass_t - functions of a stream that can be moved
 * @upstream: the engine that runs the stream, or NULL if none does
 * @target: name of the model or service that the stream is for
 * @move: continue the stream at another engine
 */
typedef struct {
    const Upstream_t *(*upstream)(const void *stream);
    const char *(*target)(const void *stream);
    void (*move)(void *stream);
} MovableClass_t;

/** struct StreamMover_t - opaque */
typedef struct StreamMover StreamMover_t;

/**
 * StreamMover_create() - create a mover without streams
 * @upstreams: the engines to choose from; must outlive the mover
 * @budget: each move needs headroom in it; must outlive the mover
 */
StreamMover_t *StreamMover_create(struct event_base *base,
                                  const UpstreamSet_t *upstreams,
                                  RetryBudget_t *budget);

/** StreamMover_destroy() - free the mover, which must have no streams */
void StreamMover_destroy(StreamMover_t *this);

/** StreamMover_add() - allow a stream to be moved */
void StreamMover_add(StreamMover_t *this, void *stream,
                     const MovableClass_t *class);

/** StreamMover_remove() - forbid moving a stream; no effect if not added */
void StreamMover_remove(StreamMover_t *this, void *stream);

/** StreamMover_tick() - move the streams that are due; a timer calls it as
 * well */
void StreamMover_tick(StreamMover_t *this, gint64 now_ms);

#endif
