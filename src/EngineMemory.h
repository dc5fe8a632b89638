#ifndef HEADER_EngineMemory
#define HEADER_EngineMemory
/**
 * DOC: EngineMemory
 *
 * How far an engine's memory has turned over since a prefix was last used
 * there. An engine keeps what was used last, so that a prefix has given way
 * once more tokens have been brought in than there is room for beside the
 * requests that run.
 */
#include <glib.h>

/**
 * struct EngineMemory_t - of one engine, as far as routers have told
 * @epoch: grows each time that all is dropped
 * @taken: tokens brought in so far
 * @untold: of these, tokens of this router's requests that peers have not
 *     been told of
 * @prompt_tokens: mean length of the prompts that it was sent
 */
typedef struct {
    guint epoch;
    guint64 taken;
    guint untold;
    double prompt_tokens;
} EngineMemory_t;

/**
 * struct MemoryMark_t - when a prefix was used, in terms of what was brought
 * in
 * @epoch: of the memory
 * @taken: of the memory
 */
typedef struct {
    guint epoch;
    guint64 taken;
} MemoryMark_t;

/** EngineMemory_clear() - it has dropped all, as for other weights */
void EngineMemory_clear(EngineMemory_t *this);

/**
 * EngineMemory_take() - a request of this router was sent there
 * @prompt_tokens: of its prompt
 * @new_tokens: of these, that are not there yet
 */
void EngineMemory_take(EngineMemory_t *this, guint prompt_tokens,
                       guint new_tokens);

/** EngineMemory_takeTold() - the same as a peer has told it */
void EngineMemory_takeTold(EngineMemory_t *this, guint new_tokens);

/** EngineMemory_mark() - now */
MemoryMark_t EngineMemory_mark(const EngineMemory_t *this);

/**
 * EngineMemory_keeps() - whether what was used at @mark is still there
 * @room: tokens that it holds
 * @running: requests under way there
 */
gboolean EngineMemory_keeps(const EngineMemory_t *this,
                            const MemoryMark_t *mark, guint room,
                            guint running);

#endif
