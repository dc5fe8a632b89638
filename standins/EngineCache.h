#ifndef HEADER_EngineCache
#define HEADER_EngineCache
/**
 * DOC: EngineCache
 *
 * A stand-in engine's prefix cache: blocks of tokens that are looked up by a
 * chained hash and evicted in LRU order. Each block records the request that
 * it was computed for, so that a hit from another user or from other weights
 * is counted as a violation.
 */
#include <glib.h>

/** Tokens per block */
#define CACHE_BLOCK_TOKENS 16
/** Bytes of text per token */
#define CACHE_TOKEN_BYTES 4

/**
 * struct CacheOrigin_t - request that a block was computed for, or
 * that looks blocks up
 * @salt: cache salt of the request
 * @user: hash of the request's user field
 * @weights: hash of the engine's weights version
 */
typedef struct {
    guint64 salt;
    guint64 user;
    guint64 weights;
} CacheOrigin_t;

/** struct EngineCache_t - opaque */
typedef struct EngineCache EngineCache_t;

/**
 * EngineCache_create() - create an empty cache
 * @blocks: capacity; with 0 nothing is cached
 */
EngineCache_t *EngineCache_create(guint blocks);

/** EngineCache_destroy() - free the cache and its blocks */
void EngineCache_destroy(EngineCache_t *this);

/** EngineCache_flush() - remove all blocks; the history that
 * EngineCache_recomputed() counts by is kept */
void EngineCache_flush(EngineCache_t *this);

/**
 * EngineCache_matchPrefix() - count the cached tokens of the longest cached
 * prefix, and mark its blocks as used
 * @text: the prompt
 * @origin: the request; its salt seeds the hash
 */
guint EngineCache_matchPrefix(EngineCache_t *this, const GString *text,
                              const CacheOrigin_t *origin);

/** EngineCache_insert() - cache all complete blocks of a text; an
 * incomplete last block is left out */
void EngineCache_insert(EngineCache_t *this, const GString *text,
                        const CacheOrigin_t *origin);

/** EngineCache_violations() - number of hits on blocks of another user or of
 * other weights */
guint64 EngineCache_violations(const EngineCache_t *this);

/** EngineCache_recomputed() - number of inserted tokens that the engine had
 * already computed before, and evicted or flushed since */
guint64 EngineCache_recomputed(const EngineCache_t *this);

/** EngineCache_size() - number of cached blocks */
guint EngineCache_size(const EngineCache_t *this);

#endif
