#include "BodyBudget.h"

/* A claim that waits precedes later ones if it tried within this time. */
#define PRECEDENCE_MS 200
/* Time without progress after which a body in arrival keeps the bytes that
 * have come, and claims the others again. */
#define STALL_MS 500
/* Bytes that the kernel holds of a body that waits, about. */
#define WAITING_BYTES ((gsize)8 << 10)
/* Of the budget, for what the kernel holds. */
#define WAITING_PARTS 24
#define WAITING_MIN 64

struct BodyBudget {
    gsize max;
    gsize used;
    gsize room;     /* of the process, for bytes that are still to come */
    gsize held;     /* of granted claims, bytes that have come */
    GQueue waiting; /* BodyClaim_t, in the order in which they were made */
    GQueue granted; /* BodyClaim_t */
    GHashTable *callers; /* Caller_t with claims, owned, by their ids */
};

/* Of a body that was received. */
typedef struct {
    void *bytes;
    BodyClaim_t *claim;
} OwnedBody_t;

typedef struct {
    guint64 id;  /* the first member, as it is the key */
    gsize bytes; /* granted */
    guint claims;
} Caller_t;

struct BodyClaim {
    BodyBudget_t *budget;
    Caller_t *caller;
    gsize bytes; /* granted */
    gsize held;  /* of these, bytes that have come */
    gint64 active_ms;
    gboolean is_in_arrival; /* may give way */
    GList waiting_link;
    GList granted_link;
};

BodyBudget_t *
BodyBudget_create(gsize max)
{
    BodyBudget_t *this = g_rc_box_new0(BodyBudget_t);
    this->max = max;
    this->room = G_MAXSIZE;
    g_queue_init(&this->waiting);
    g_queue_init(&this->granted);
    this->callers =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    return this;
}

BodyBudget_t *
BodyBudget_ref(BodyBudget_t *this)
{
    return g_rc_box_acquire(this);
}

static void
clear(gpointer data)
{
    BodyBudget_t *this = data;
    g_hash_table_destroy(this->callers);
}

void
BodyBudget_unref(BodyBudget_t *this)
{
    g_rc_box_release_full(this, clear);
}

void
BodyBudget_setMax(BodyBudget_t *this, gsize max)
{
    this->max = max;
}

void
BodyBudget_setRoom(BodyBudget_t *this, gsize room)
{
    this->room = room;
}

gboolean
BodyBudget_isCrowded(const BodyBudget_t *this)
{
    gsize most = this->max / WAITING_PARTS / WAITING_BYTES;
    return this->max > 0 && this->waiting.length >= MAX(most, WAITING_MIN);
}

gsize
BodyBudget_used(const BodyBudget_t *this)
{
    return this->used;
}

guint
BodyBudget_waiting(const BodyBudget_t *this)
{
    return this->waiting.length;
}

static Caller_t *
join_caller(BodyBudget_t *budget, guint64 id)
{
    Caller_t *caller = g_hash_table_lookup(budget->callers, &id);
    if (!caller) {
        caller = g_new0(Caller_t, 1);
        caller->id = id;
        g_hash_table_add(budget->callers, caller);
    }
    caller->claims++;
    return caller;
}

static void
leave_caller(BodyClaim_t *this)
{
    this->caller->claims--;
    if (this->caller->claims == 0) {
        g_hash_table_remove(this->budget->callers, this->caller);
    }
}

BodyClaim_t *
BodyClaim_create(BodyBudget_t *budget)
{
    BodyClaim_t *this = g_new0(BodyClaim_t, 1);
    this->budget = BodyBudget_ref(budget);
    this->caller = join_caller(budget, 0);
    this->waiting_link.data = this;
    this->granted_link.data = this;
    return this;
}

static gboolean
is_linked(const GQueue *queue, const GList *link)
{
    return link->prev || link->next || queue->head == link;
}

static void
unlink_claim(GQueue *queue, GList *link)
{
    if (is_linked(queue, link)) {
        g_queue_unlink(queue, link);
    }
}

static void
change_held(BodyClaim_t *this, gsize held)
{
    this->budget->held = this->budget->held - this->held + held;
    this->held = held;
}

static void
change_bytes(BodyClaim_t *this, gsize bytes)
{
    change_held(this, MIN(this->held, bytes));
    this->budget->used = this->budget->used - this->bytes + bytes;
    this->caller->bytes = this->caller->bytes - this->bytes + bytes;
    this->bytes = bytes;
}

void
BodyClaim_release(BodyClaim_t *this)
{
    unlink_claim(&this->budget->waiting, &this->waiting_link);
    unlink_claim(&this->budget->granted, &this->granted_link);
    change_bytes(this, 0);
}

void
BodyClaim_setCaller(BodyClaim_t *this, guint64 caller)
{
    if (this->caller->id == caller) {
        return;
    }
    this->caller->bytes -= this->bytes;
    leave_caller(this);
    this->caller = join_caller(this->budget, caller);
    this->caller->bytes += this->bytes;
}

guint64
BodyClaim_caller(const BodyClaim_t *this)
{
    return this->caller->id;
}

void
BodyClaim_destroy(BodyClaim_t *this)
{
    BodyClaim_release(this);
    leave_caller(this);
    BodyBudget_unref(this->budget);
    g_free(this);
}

/* A body that exceeds the whole budget is granted alone. */
static gboolean
fits(const BodyClaim_t *this, gsize bytes)
{
    const BodyBudget_t *budget = this->budget;
    gsize others = budget->used - this->bytes;
    gsize coming = others - (budget->held - this->held);
    if (others == 0) {
        return TRUE;
    }
    return (budget->max == 0 || others + bytes <= budget->max) &&
           coming + (bytes - this->held) <= budget->room;
}

static gboolean
precedes(const BodyClaim_t *this, gboolean is_older, const BodyClaim_t *other)
{
    gsize bytes = this->caller->bytes - this->bytes;
    gsize others = other->caller->bytes - other->bytes;
    if (this->caller == other->caller || bytes == others) {
        return is_older;
    }
    return bytes < others;
}

static gboolean
is_preceded(const BodyClaim_t *this, gint64 now_ms)
{
    const GList *link = this->budget->waiting.head;
    gboolean is_older = TRUE;
    for (; link; link = link->next) {
        const BodyClaim_t *other = link->data;
        if (other == this) {
            is_older = FALSE;
        }
        else if (now_ms - other->active_ms < PRECEDENCE_MS &&
                 precedes(other, is_older, this)) {
            return TRUE;
        }
    }
    return FALSE;
}

static void
keep_held(BodyClaim_t *this)
{
    if (this->held == 0) {
        BodyClaim_release(this);
    }
    else if (this->held < this->bytes) {
        change_bytes(this, this->held);
    }
}

static void
shrink_stalled(BodyBudget_t *budget, gint64 now_ms)
{
    GList *link = budget->granted.head;
    while (link) {
        BodyClaim_t *claim = link->data;
        link = link->next;
        if (claim->is_in_arrival && now_ms - claim->active_ms > STALL_MS) {
            keep_held(claim);
        }
    }
}

void
BodyClaim_setBytes(BodyClaim_t *this, gsize bytes)
{
    unlink_claim(&this->budget->waiting, &this->waiting_link);
    if (!is_linked(&this->budget->granted, &this->granted_link)) {
        g_queue_push_tail_link(&this->budget->granted, &this->granted_link);
    }
    change_bytes(this, bytes);
    change_held(this, bytes);
    this->is_in_arrival = FALSE;
}

static void
grant(BodyClaim_t *this, gsize bytes)
{
    gsize held = this->held;
    BodyClaim_setBytes(this, bytes);
    change_held(this, held);
    this->is_in_arrival = TRUE;
}

gboolean
BodyClaim_try(BodyClaim_t *this, gsize bytes, gint64 now_ms)
{
    BodyBudget_t *budget = this->budget;
    this->active_ms = now_ms;
    if (bytes <= this->bytes) {
        return TRUE;
    }
    shrink_stalled(budget, now_ms);
    if (fits(this, bytes) && !is_preceded(this, now_ms)) {
        grant(this, bytes);
        return TRUE;
    }
    if (!is_linked(&budget->waiting, &this->waiting_link)) {
        g_queue_push_tail_link(&budget->waiting, &this->waiting_link);
    }
    return FALSE;
}

void
BodyClaim_noteProgress(BodyClaim_t *this, gint64 now_ms)
{
    this->active_ms = now_ms;
}

void
BodyClaim_setHeld(BodyClaim_t *this, gsize held)
{
    change_held(this, MIN(held, this->bytes));
}

gboolean
BodyClaim_isGranted(const BodyClaim_t *this)
{
    return this->bytes > 0;
}

gsize
BodyClaim_bytes(const BodyClaim_t *this)
{
    return this->bytes;
}

static void
free_owned(gpointer data)
{
    OwnedBody_t *body = data;
    BodyClaim_destroy(body->claim);
    g_free(body->bytes);
    g_free(body);
}

GBytes *
BodyBudget_own(BodyBudget_t *this, guint64 caller, void *bytes, gsize length)
{
    OwnedBody_t *body = g_new0(OwnedBody_t, 1);
    body->bytes = bytes;
    body->claim = BodyClaim_create(this);
    BodyClaim_setCaller(body->claim, caller);
    BodyClaim_setBytes(body->claim, length);
    return g_bytes_new_with_free_func(bytes, length, free_owned, body);
}
