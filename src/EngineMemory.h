#ifndef HEADER_EngineMemory
#define HEADER_EngineMemory
/**
 * DOC: EngineMemory
 *
 * Estimates whether an engine's cache still holds a prefix. An engine evicts
 * what was used longest ago, so that a prefix is evicted once more tokens
 * have been inserted since its last use than the cache can hold in addition to
 * those of the running requests.
 */
#include <glib.h>

/**
 * struct EngineMemory_t - cache of one engine, by the reports of all routers
 * @epoch: incremented each time that the engine drops its whole cache
 * @inserted_tokens: tokens inserted so far
 * @unsent_tokens: tokens inserted by this router's requests that were not yet
 *     sent to the peers
 * @prompt_tokens: mean length of the prompts that this router sent there
 */
typedef struct {
    guint epoch;
    guint64 inserted_tokens;
    guint unsent_tokens;
    double prompt_tokens;
} EngineMemory_t;

/**
 * struct MemoryMark_t - state of an engine's cache when a prefix was used
 * @epoch: epoch of the cache
 * @inserted_tokens: tokens inserted by then
 */
typedef struct {
    guint epoch;
    guint64 inserted_tokens;
} MemoryMark_t;

/** EngineMemory_clear() - the engine has dropped its cache, as when it loads
 * other weights */
void EngineMemory_clear(EngineMemory_t *this);

/**
 * EngineMemory_noteSent() - this router sent a request to the engine
 * @prompt_tokens: length of the prompt
 * @new_tokens: tokens of the prompt that are not in the cache yet
 */
void EngineMemory_noteSent(EngineMemory_t *this, guint prompt_tokens,
                           guint new_tokens);

/** EngineMemory_notePeerTokens() - a peer reported tokens that its requests
 * inserted */
void EngineMemory_notePeerTokens(EngineMemory_t *this, guint new_tokens);

/** EngineMemory_mark() - the present state, to be kept with a prefix */
MemoryMark_t EngineMemory_mark(const EngineMemory_t *this);

/**
 * EngineMemory_retains() - whether a prefix used at @mark is still cached
 * @capacity_tokens: tokens that the cache can hold
 * @running: requests under way on the engine
 */
gboolean EngineMemory_retains(const EngineMemory_t *this,
                              const MemoryMark_t *mark, guint capacity_tokens,
                              guint running);

#endif
