#ifndef HEADER_EngineCache
#define HEADER_EngineCache
/**
 * DOC: EngineCache
 *
 * An engine's prefix cache: blocks of tokens, found by a chained hash, the
 * ones used longest ago evicted first. Each block carries where it came
 * from, so that a block served to the wrong request is noticed.
 */
#include <glib.h>

/** Tokens of a block */
#define CACHE_BLOCK_TOKENS 16
/** Bytes of text that count as a token */
#define CACHE_TOKEN_BYTES 4

/**
 * struct CacheOrigin_t - where a block came from, or who asks for it
 * @salt: cache salt of the request
 * @user: hash of the request's user field
 * @weights: hash of the version of weights in use
 */
typedef struct {
    guint64 salt;
    guint64 user;
    guint64 weights;
} CacheOrigin_t;

/** struct EngineCache_t - opaque */
typedef struct EngineCache EngineCache_t;

/** EngineCache_create() - an empty cache of so many blocks */
EngineCache_t *EngineCache_create(guint blocks);

/** EngineCache_destroy() - free it */
void EngineCache_destroy(EngineCache_t *this);

/** EngineCache_flush() - forget all blocks */
void EngineCache_flush(EngineCache_t *this);

/**
 * EngineCache_find() - how many tokens of a text are cached
 * @text: the prompt
 */
guint EngineCache_find(EngineCache_t *this, const GString *text,
                       const CacheOrigin_t *origin);

/** EngineCache_insert() - all whole blocks of a text are computed now */
void EngineCache_insert(EngineCache_t *this, const GString *text,
                        const CacheOrigin_t *origin);

/** EngineCache_violations() - blocks served that came from another user or
 * from other weights */
guint64 EngineCache_violations(const EngineCache_t *this);

/** EngineCache_recomputed() - tokens inserted that had been computed here
 * before */
guint64 EngineCache_recomputed(const EngineCache_t *this);

/** EngineCache_size() - blocks held */
guint EngineCache_size(const EngineCache_t *this);

#endif
