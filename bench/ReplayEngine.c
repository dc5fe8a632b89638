#include "ReplayEngine.h"

#include "Clock.h"

/* A prefix, or what a request that has ended left behind. */
typedef struct {
    guint64 prefix; /* 0 for what nobody asks for again */
    guint tokens;
    GList link; /* in the order of use */
} Kept_t;

struct ReplayEngine {
    const ReplayFleet_t *fleet;
    const ReplayEvents_t *events;
    void *owner;
    GQueue waiting;      /* ReplayWork_t */
    GPtrArray *running;  /* ReplayWork_t */
    GHashTable *kept;    /* &prefix -> Kept_t */
    GQueue order;        /* Kept_t, used longest ago first */
    guint64 kept_tokens; /* of all in @order */
    guint64 run_tokens;  /* of all that run */
    guint64 read_tokens;
};

ReplayEngine_t *
ReplayEngine_create(const ReplayFleet_t *fleet, const ReplayEvents_t *events,
                    void *owner)
{
    ReplayEngine_t *this = g_new0(ReplayEngine_t, 1);
    this->fleet = fleet;
    this->events = events;
    this->owner = owner;
    this->running = g_ptr_array_new_with_free_func(g_free);
    this->kept = g_hash_table_new(g_int64_hash, g_int64_equal);
    g_queue_init(&this->waiting);
    g_queue_init(&this->order);
    return this;
}

static void
drop_oldest(ReplayEngine_t *this)
{
    Kept_t *kept = g_queue_peek_head(&this->order);
    g_queue_unlink(&this->order, &kept->link);
    this->kept_tokens -= kept->tokens;
    if (kept->prefix != 0) {
        g_hash_table_remove(this->kept, &kept->prefix);
    }
    g_free(kept);
}

void
ReplayEngine_destroy(ReplayEngine_t *this)
{
    while (!g_queue_is_empty(&this->order)) {
        drop_oldest(this);
    }
    g_queue_clear_full(&this->waiting, g_free);
    g_ptr_array_unref(this->running);
    g_hash_table_destroy(this->kept);
    g_free(this);
}

void
ReplayEngine_send(ReplayEngine_t *this, ReplayWork_t *work)
{
    g_queue_push_tail(&this->waiting, work);
}

gboolean
ReplayEngine_holds(const ReplayEngine_t *this, guint64 prefix)
{
    return g_hash_table_contains(this->kept, &prefix);
}

gboolean
ReplayEngine_isIdle(const ReplayEngine_t *this)
{
    return this->running->len == 0 &&
           g_queue_is_empty((GQueue *)&this->waiting);
}

static guint
held_tokens(const ReplayWork_t *work)
{
    return work->own_tokens + work->out_tokens;
}

static void
make_room(ReplayEngine_t *this)
{
    guint64 most = (guint64)this->fleet->cache_tokens;
    while (this->kept_tokens + this->run_tokens > most &&
           !g_queue_is_empty(&this->order)) {
        drop_oldest(this);
    }
}

static void
keep(ReplayEngine_t *this, guint64 prefix, guint tokens)
{
    Kept_t *kept = g_new0(Kept_t, 1);
    kept->prefix = prefix;
    kept->tokens = tokens;
    kept->link.data = kept;
    if (prefix != 0) {
        g_hash_table_insert(this->kept, &kept->prefix, kept);
    }
    g_queue_push_tail_link(&this->order, &kept->link);
    this->kept_tokens += tokens;
    make_room(this);
}

/* Returns whether it was here; it is the newest now. */
static gboolean
use(ReplayEngine_t *this, guint64 prefix)
{
    Kept_t *kept = g_hash_table_lookup(this->kept, &prefix);
    if (!kept) {
        return FALSE;
    }
    g_queue_unlink(&this->order, &kept->link);
    g_queue_push_tail_link(&this->order, &kept->link);
    return TRUE;
}

static void
begin(ReplayEngine_t *this, ReplayWork_t *work)
{
    gboolean here = work->prefix != 0 && use(this, work->prefix);
    work->computed = work->prefix != 0 && !here && !work->fetched;
    work->left_tokens =
        work->own_tokens + (work->computed ? work->shared_tokens : 0);
    this->run_tokens += held_tokens(work);
    if (work->prefix != 0 && !here && work->fetched) {
        keep(this, work->prefix, work->shared_tokens);
    }
    make_room(this);
    g_ptr_array_add(this->running, work);
}

static gboolean
fits(const ReplayEngine_t *this, const ReplayWork_t *work)
{
    guint64 most = (guint64)this->fleet->cache_tokens;
    return this->running->len == 0 ||
           this->run_tokens + held_tokens(work) + work->shared_tokens <= most;
}

static void
admit(ReplayEngine_t *this, gint64 now_us)
{
    guint left = g_queue_get_length(&this->waiting);
    for (; left > 0 && this->running->len < this->fleet->slots; left--) {
        ReplayWork_t *work = g_queue_pop_head(&this->waiting);
        if (work->ready_us > now_us) {
            g_queue_push_tail(&this->waiting, work);
        }
        else if (fits(this, work)) {
            begin(this, work);
        }
        else {
            g_queue_push_head(&this->waiting, work);
            return;
        }
    }
}

/* Returns the tokens read. */
static guint
read_piece(ReplayEngine_t *this)
{
    guint room = (guint)this->fleet->piece_tokens;
    for (guint i = 0; i < this->running->len && room > 0; i++) {
        ReplayWork_t *work = g_ptr_array_index(this->running, i);
        guint tokens = MIN(work->left_tokens, room);
        work->left_tokens -= tokens;
        room -= tokens;
    }
    return (guint)this->fleet->piece_tokens - room;
}

gint64
ReplayEngine_step(ReplayEngine_t *this, gint64 now_us)
{
    admit(this, now_us);
    guint tokens = read_piece(this);
    this->read_tokens += tokens;
    return this->fleet->step_us +
           this->fleet->step_run_us * this->running->len +
           (gint64)tokens * CLOCK_US_PER_MS / this->fleet->prompt_tokens_ms;
}

static void
leave(ReplayEngine_t *this, guint place)
{
    ReplayWork_t *work = g_ptr_array_index(this->running, place);
    this->run_tokens -= held_tokens(work);
    keep(this, 0, held_tokens(work));
    g_ptr_array_remove_index(this->running, place);
}

static void
make_token(ReplayEngine_t *this, ReplayWork_t *work, gint64 now_us)
{
    gboolean first = !work->begun;
    work->begun = TRUE;
    if (first && work->computed) {
        keep(this, work->prefix, work->shared_tokens);
    }
    work->out_tokens--;
    work->own_tokens++;
    this->events->token(this->owner, work, first, now_us);
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
        leave(this, i);
        this->events->done(this->owner, id, now_us);
    }
}

static gboolean
cancel_waiting(ReplayEngine_t *this, guint id)
{
    for (GList *at = this->waiting.head; at; at = at->next) {
        ReplayWork_t *work = at->data;
        if (work->id == id) {
            g_queue_delete_link(&this->waiting, at);
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
            leave(this, i);
            return TRUE;
        }
    }
    return cancel_waiting(this, id);
}

guint64
ReplayEngine_readTokens(const ReplayEngine_t *this)
{
    return this->read_tokens;
}
