#include "ReplayEngine.h"

#include "Clock.h"

/* A prefix, or the tokens of an ended request, which stay in memory too. */
typedef struct {
    guint64 prefix; /* 0 for an ended request */
    guint tokens;
    GList link; /* in the engine's lru */
} CacheEntry_t;

struct ReplayEngine {
    const ReplayFleet_t *fleet;
    const ReplayEngineHandlers_t *handlers;
    void *owner;
    GQueue waiting;         /* ReplayWork_t */
    GPtrArray *running;     /* ReplayWork_t */
    GHashTable *entries;    /* &prefix -> CacheEntry_t */
    GQueue lru;             /* CacheEntry_t, least recently used first */
    guint64 cached_tokens;  /* of all entries in @lru */
    guint64 running_tokens; /* reserved by running requests */
    guint64 read_tokens;
};

ReplayEngine_t *
ReplayEngine_create(const ReplayFleet_t *fleet,
                    const ReplayEngineHandlers_t *handlers, void *owner)
{
    ReplayEngine_t *this = g_new0(ReplayEngine_t, 1);
    this->fleet = fleet;
    this->handlers = handlers;
    this->owner = owner;
    this->running = g_ptr_array_new_with_free_func(g_free);
    this->entries = g_hash_table_new(g_int64_hash, g_int64_equal);
    g_queue_init(&this->waiting);
    g_queue_init(&this->lru);
    return this;
}

static void
evict_oldest(ReplayEngine_t *this)
{
    CacheEntry_t *entry = g_queue_peek_head(&this->lru);
    g_queue_unlink(&this->lru, &entry->link);
    this->cached_tokens -= entry->tokens;
    if (entry->prefix != 0) {
        g_hash_table_remove(this->entries, &entry->prefix);
    }
    g_free(entry);
}

void
ReplayEngine_destroy(ReplayEngine_t *this)
{
    while (!g_queue_is_empty(&this->lru)) {
        evict_oldest(this);
    }
    g_queue_clear_full(&this->waiting, g_free);
    g_ptr_array_unref(this->running);
    g_hash_table_destroy(this->entries);
    g_free(this);
}

/* Adds a request behind the waiting ones of its rank. */
static void
push_waiting(ReplayEngine_t *this, ReplayWork_t *work)
{
    GList *link = this->waiting.tail;
    while (link && ((ReplayWork_t *)link->data)->rank > work->rank) {
        link = link->prev;
    }
    g_queue_insert_after(&this->waiting, link, work);
}

void
ReplayEngine_send(ReplayEngine_t *this, ReplayWork_t *work)
{
    push_waiting(this, work);
}

gboolean
ReplayEngine_hasPrefix(const ReplayEngine_t *this, guint64 prefix)
{
    return g_hash_table_contains(this->entries, &prefix);
}

gboolean
ReplayEngine_isIdle(const ReplayEngine_t *this)
{
    return this->running->len == 0 &&
           g_queue_is_empty((GQueue *)&this->waiting);
}

gboolean
ReplayEngine_hasRoom(const ReplayEngine_t *this)
{
    for (guint i = 0; i < this->running->len; i++) {
        const ReplayWork_t *work = g_ptr_array_index(this->running, i);
        if (work->left_tokens > 0) {
            return FALSE;
        }
    }
    return this->running->len < this->fleet->slots &&
           g_queue_is_empty((GQueue *)&this->waiting);
}

static guint
reserved_tokens(const ReplayWork_t *work)
{
    return work->own_tokens + work->out_tokens;
}

static void
evict_to_capacity(ReplayEngine_t *this)
{
    guint64 capacity = (guint64)this->fleet->cache_tokens;
    while (this->cached_tokens + this->running_tokens > capacity &&
           !g_queue_is_empty(&this->lru)) {
        evict_oldest(this);
    }
}

static void
insert_entry(ReplayEngine_t *this, guint64 prefix, guint tokens)
{
    CacheEntry_t *entry = g_new0(CacheEntry_t, 1);
    entry->prefix = prefix;
    entry->tokens = tokens;
    entry->link.data = entry;
    if (prefix != 0) {
        g_hash_table_insert(this->entries, &entry->prefix, entry);
    }
    g_queue_push_tail_link(&this->lru, &entry->link);
    this->cached_tokens += tokens;
    evict_to_capacity(this);
}

/* Marks a prefix as most recently used; FALSE if it is not cached. */
static gboolean
touch_entry(ReplayEngine_t *this, guint64 prefix)
{
    CacheEntry_t *entry = g_hash_table_lookup(this->entries, &prefix);
    if (!entry) {
        return FALSE;
    }
    g_queue_unlink(&this->lru, &entry->link);
    g_queue_push_tail_link(&this->lru, &entry->link);
    return TRUE;
}

static void
start_work(ReplayEngine_t *this, ReplayWork_t *work)
{
    gboolean cached = work->prefix != 0 && touch_entry(this, work->prefix);
    work->computed = work->prefix != 0 && !cached && !work->fetched;
    work->left_tokens =
        work->own_tokens + (work->computed ? work->shared_tokens : 0);
    this->running_tokens += reserved_tokens(work);
    if (work->prefix != 0 && !cached && work->fetched) {
        insert_entry(this, work->prefix, work->shared_tokens);
    }
    evict_to_capacity(this);
    g_ptr_array_add(this->running, work);
}

static gboolean
fits_memory(const ReplayEngine_t *this, const ReplayWork_t *work)
{
    guint64 capacity = (guint64)this->fleet->cache_tokens;
    return this->running->len == 0 || this->running_tokens +
                                              reserved_tokens(work) +
                                              work->shared_tokens <=
                                          capacity;
}

/* A request whose prefix is still being fetched lets the others of its rank
 * pass. */
static void
admit_waiting(ReplayEngine_t *this, gint64 now_us)
{
    GQueue fetching = G_QUEUE_INIT;
    while (this->running->len < this->fleet->slots) {
        ReplayWork_t *work = g_queue_pop_head(&this->waiting);
        if (!work) {
            break;
        }
        if (work->ready_us > now_us) {
            g_queue_push_tail(&fetching, work);
        }
        else if (fits_memory(this, work)) {
            start_work(this, work);
        }
        else {
            g_queue_push_head(&this->waiting, work);
            break;
        }
    }
    while (!g_queue_is_empty(&fetching)) {
        push_waiting(this, g_queue_pop_head(&fetching));
    }
}

/* Returns the number of prompt tokens read. */
static guint
read_pieces(ReplayEngine_t *this)
{
    guint piece = (guint)this->fleet->piece_tokens;
    guint left = piece;
    guint total = 0;
    for (guint i = 0; i < this->running->len && left > 0; i++) {
        ReplayWork_t *work = g_ptr_array_index(this->running, i);
        guint tokens = MIN(work->left_tokens, left);
        work->left_tokens -= tokens;
        total += tokens;
        if (this->fleet->piece_mode == REPLAY_PIECE_SHARED) {
            left -= tokens;
        }
    }
    return total;
}

gint64
ReplayEngine_step(ReplayEngine_t *this, gint64 now_us)
{
    admit_waiting(this, now_us);
    guint tokens = read_pieces(this);
    this->read_tokens += tokens;
    return this->fleet->step_us +
           this->fleet->step_run_us * this->running->len +
           (gint64)tokens * CLOCK_US_PER_MS / this->fleet->prompt_tokens_ms;
}

static void
remove_running(ReplayEngine_t *this, guint index)
{
    ReplayWork_t *work = g_ptr_array_index(this->running, index);
    this->running_tokens -= reserved_tokens(work);
    insert_entry(this, 0, reserved_tokens(work));
    g_ptr_array_remove_index(this->running, index);
}

static void
make_token(ReplayEngine_t *this, ReplayWork_t *work, gint64 now_us)
{
    gboolean first = !work->begun;
    work->begun = TRUE;
    if (first && work->computed) {
        insert_entry(this, work->prefix, work->shared_tokens);
    }
    work->out_tokens--;
    work->own_tokens++;
    this->handlers->token(this->owner, work, first, now_us);
}

void
ReplayEngine_finish(ReplayEngine_t *this, gint64 now_us)
{
    for (guint i = 0; i < this->running->len;) {
        ReplayWork_t *work = g_ptr_array_index(this->running, i);
        guint id = work->id;
        if (work->left_tokens > 0) {
            i++;
            continue;
        }
        make_token(this, work, now_us);
        if (work->out_tokens > 0) {
            i++;
            continue;
        }
        remove_running(this, i);
        this->handlers->done(this->owner, id, now_us);
    }
}

static gboolean
cancel_waiting(ReplayEngine_t *this, guint id)
{
    for (GList *link = this->waiting.head; link; link = link->next) {
        ReplayWork_t *work = link->data;
        if (work->id == id) {
            g_queue_delete_link(&this->waiting, link);
            g_free(work);
            return TRUE;
        }
    }
    return FALSE;
}

gboolean
ReplayEngine_cancel(ReplayEngine_t *this, guint id)
{
    for (guint i = 0; i < this->running->len; i++) {
        const ReplayWork_t *work = g_ptr_array_index(this->running, i);
        if (work->id == id) {
            remove_running(this, i);
            return TRUE;
        }
    }
    return cancel_waiting(this, id);
}

guint64
ReplayEngine_countReadTokens(const ReplayEngine_t *this)
{
    return this->read_tokens;
}
