#include "EngineCache.h"

#include <xxhash.h>

#define BLOCK_BYTES ((gsize)CACHE_BLOCK_TOKENS * CACHE_TOKEN_BYTES)

typedef struct {
    guint64 hash;
    CacheOrigin_t origin;
    GList link;
} Block_t;

struct EngineCache {
    GHashTable *blocks; /* &hash -> Block_t */
    GQueue lru;         /* least recently used first */
    GHashTable
        *computed_hashes; /* set of the hashes of all blocks ever inserted */
    guint max_blocks;
    guint64 violations;
    guint64 recomputed;
};

EngineCache_t *
EngineCache_create(guint blocks)
{
    EngineCache_t *this = g_new0(EngineCache_t, 1);
    this->blocks =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    this->computed_hashes =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    g_queue_init(&this->lru);
    this->max_blocks = blocks;
    return this;
}

void
EngineCache_destroy(EngineCache_t *this)
{
    g_hash_table_destroy(this->blocks);
    g_hash_table_destroy(this->computed_hashes);
    g_free(this);
}

void
EngineCache_flush(EngineCache_t *this)
{
    g_hash_table_remove_all(this->blocks);
    g_queue_init(&this->lru);
}

static guint64
hash_block(const GString *text, gsize offset, guint64 hash)
{
    return XXH3_64bits_withSeed(text->str + offset, BLOCK_BYTES, hash);
}

static void
mark_used(EngineCache_t *this, Block_t *block)
{
    g_queue_unlink(&this->lru, &block->link);
    g_queue_push_tail_link(&this->lru, &block->link);
}

guint
EngineCache_matchPrefix(EngineCache_t *this, const GString *text,
                        const CacheOrigin_t *origin)
{
    guint64 hash = origin->salt;
    guint tokens = 0;
    for (gsize offset = 0; offset + BLOCK_BYTES <= text->len;
         offset += BLOCK_BYTES) {
        hash = hash_block(text, offset, hash);
        Block_t *block = g_hash_table_lookup(this->blocks, &hash);
        if (!block) {
            break;
        }
        if (block->origin.user != origin->user ||
            block->origin.weights != origin->weights) {
            this->violations++;
        }
        mark_used(this, block);
        tokens += CACHE_BLOCK_TOKENS;
    }
    return tokens;
}

static void
evict_oldest(EngineCache_t *this)
{
    Block_t *block = g_queue_peek_head(&this->lru);
    g_queue_unlink(&this->lru, &block->link);
    g_hash_table_remove(this->blocks, &block->hash);
}

static void
note_computed(EngineCache_t *this, guint64 hash)
{
    if (g_hash_table_contains(this->computed_hashes, &hash)) {
        this->recomputed += CACHE_BLOCK_TOKENS;
        return;
    }
    g_hash_table_add(this->computed_hashes, g_memdup2(&hash, sizeof(hash)));
}

static void
add_block(EngineCache_t *this, guint64 hash, const CacheOrigin_t *origin)
{
    if (this->max_blocks == 0) {
        return;
    }
    if (g_hash_table_size(this->blocks) >= this->max_blocks) {
        evict_oldest(this);
    }
    Block_t *block = g_new0(Block_t, 1);
    block->hash = hash;
    block->origin = *origin;
    block->link.data = block;
    g_hash_table_insert(this->blocks, &block->hash, block);
    g_queue_push_tail_link(&this->lru, &block->link);
    note_computed(this, hash);
}

void
EngineCache_insert(EngineCache_t *this, const GString *text,
                   const CacheOrigin_t *origin)
{
    guint64 hash = origin->salt;
    for (gsize offset = 0; offset + BLOCK_BYTES <= text->len;
         offset += BLOCK_BYTES) {
        hash = hash_block(text, offset, hash);
        Block_t *block = g_hash_table_lookup(this->blocks, &hash);
        if (block) {
            mark_used(this, block);
        }
        else {
            add_block(this, hash, origin);
        }
    }
}

guint64
EngineCache_violations(const EngineCache_t *this)
{
    return this->violations;
}

guint64
EngineCache_recomputed(const EngineCache_t *this)
{
    return this->recomputed;
}

guint
EngineCache_size(const EngineCache_t *this)
{
    return g_hash_table_size(this->blocks);
}
