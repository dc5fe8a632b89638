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
    GQueue order;       /* used longest ago first */
    GHashTable *ever;   /* hash -> itself: computed here at any time */
    guint most;
    guint64 violations;
    guint64 recomputed;
};

EngineCache_t *
EngineCache_create(guint blocks)
{
    EngineCache_t *this = g_new0(EngineCache_t, 1);
    this->blocks =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    this->ever =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    g_queue_init(&this->order);
    this->most = blocks;
    return this;
}

void
EngineCache_destroy(EngineCache_t *this)
{
    g_hash_table_destroy(this->blocks);
    g_hash_table_destroy(this->ever);
    g_free(this);
}

void
EngineCache_flush(EngineCache_t *this)
{
    g_hash_table_remove_all(this->blocks);
    g_queue_init(&this->order);
}

static guint64
next_hash(const GString *text, gsize at, guint64 hash)
{
    return XXH3_64bits_withSeed(text->str + at, BLOCK_BYTES, hash);
}

static void
use(EngineCache_t *this, Block_t *block)
{
    g_queue_unlink(&this->order, &block->link);
    g_queue_push_tail_link(&this->order, &block->link);
}

guint
EngineCache_find(EngineCache_t *this, const GString *text,
                 const CacheOrigin_t *origin)
{
    guint64 hash = origin->salt;
    guint tokens = 0;
    for (gsize at = 0; at + BLOCK_BYTES <= text->len; at += BLOCK_BYTES) {
        hash = next_hash(text, at, hash);
        Block_t *block = g_hash_table_lookup(this->blocks, &hash);
        if (!block) {
            break;
        }
        if (block->origin.user != origin->user ||
            block->origin.weights != origin->weights) {
            this->violations++;
        }
        use(this, block);
        tokens += CACHE_BLOCK_TOKENS;
    }
    return tokens;
}

static void
evict_one(EngineCache_t *this)
{
    Block_t *block = g_queue_peek_head(&this->order);
    g_queue_unlink(&this->order, &block->link);
    g_hash_table_remove(this->blocks, &block->hash);
}

static void
note_computed(EngineCache_t *this, guint64 hash)
{
    if (g_hash_table_contains(this->ever, &hash)) {
        this->recomputed += CACHE_BLOCK_TOKENS;
        return;
    }
    g_hash_table_add(this->ever, g_memdup2(&hash, sizeof(hash)));
}

static void
add_block(EngineCache_t *this, guint64 hash, const CacheOrigin_t *origin)
{
    if (this->most == 0) {
        return;
    }
    if (g_hash_table_size(this->blocks) >= this->most) {
        evict_one(this);
    }
    Block_t *block = g_new0(Block_t, 1);
    block->hash = hash;
    block->origin = *origin;
    block->link.data = block;
    g_hash_table_insert(this->blocks, &block->hash, block);
    g_queue_push_tail_link(&this->order, &block->link);
    note_computed(this, hash);
}

void
EngineCache_insert(EngineCache_t *this, const GString *text,
                   const CacheOrigin_t *origin)
{
    guint64 hash = origin->salt;
    for (gsize at = 0; at + BLOCK_BYTES <= text->len; at += BLOCK_BYTES) {
        hash = next_hash(text, at, hash);
        Block_t *block = g_hash_table_lookup(this->blocks, &hash);
        if (block) {
            use(this, block);
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
