#ifndef HEADER_EngineBacklog
#define HEADER_EngineBacklog
/**
 * DOC: EngineBacklog
 *
 * Time until an engine has computed the prompts that a dispatcher has placed
 * there. An engine computes prompts one after the other, or shares its steps
 * between them, which ends at the same time. The backlog shrinks by itself as
 * time passes, so that a prompt that is nearly done counts for what is left of
 * it, and a lost report can't keep an engine busy for ever.
 */
#include <glib.h>

/** Longest time that one prompt counts, in us: nobody waits longer for a first
 * token, and callers declare the length of their prompts */
#define ENGINE_BACKLOG_PROMPT_MAX_US ((gint64)5000000)

/**
 * struct EngineBacklog_t - backlog of one engine; zeroed at first
 * @until_us: when the last prompt will be computed, monotonic
 * @open: prompts that were placed and whose first token has not been reported
 */
typedef struct {
    gint64 until_us;
    guint open;
} EngineBacklog_t;

/** EngineBacklog_add() - a prompt that takes @compute_us was placed, which
 * counts for ENGINE_BACKLOG_PROMPT_MAX_US at the most */
void EngineBacklog_add(EngineBacklog_t *this, gint64 compute_us,
                       gint64 now_us);

/** EngineBacklog_remove() - a prompt was computed, or its request has ended
 * without; without open prompts the backlog is empty */
void EngineBacklog_remove(EngineBacklog_t *this, gint64 now_us);

/** EngineBacklog_lose() - the engine has started again and lost its prompts;
 * each of them is still to be removed */
void EngineBacklog_lose(EngineBacklog_t *this);

/** EngineBacklog_waitUs() - time until the backlog is computed, in us */
gint64 EngineBacklog_waitUs(const EngineBacklog_t *this, gint64 now_us);

#endif
