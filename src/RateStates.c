#include "RateStates.h"

#include "Clock.h"

/* How long a reply is valid at most; the keeper notifies this router if the
 * limit closes earlier. */
#define REPLY_TTL_MS 10000
#define IDLE_TTL_MS 60000
#define SWEEP_INTERVAL_MS 10000

struct RateStates {
    GHashTable *by_subject; /* subject -> RateState_t */
    gint64 swept_ms;
};

RateStates_t *
RateStates_create(void)
{
    RateStates_t *this = g_new0(RateStates_t, 1);
    this->by_subject =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return this;
}

void
RateStates_destroy(RateStates_t *this)
{
    g_hash_table_destroy(this->by_subject);
    g_free(this);
}

static gboolean
is_idle(gpointer subject, gpointer value, gpointer now_ms)
{
    (void)subject;
    const RateState_t *state = value;
    return *(const gint64 *)now_ms - state->used_ms > IDLE_TTL_MS;
}

static void
remove_idle(RateStates_t *this)
{
    gint64 now_ms = Clock_nowMs();
    if (now_ms - this->swept_ms > SWEEP_INTERVAL_MS) {
        this->swept_ms = now_ms;
        g_hash_table_foreach_remove(this->by_subject, is_idle, &now_ms);
    }
}

RateState_t *
RateStates_get(RateStates_t *this, const char *subject)
{
    remove_idle(this);
    RateState_t *state = RateStates_find(this, subject);
    if (!state) {
        state = g_new0(RateState_t, 1);
        g_hash_table_insert(this->by_subject, g_strdup(subject), state);
    }
    state->used_ms = Clock_nowMs();
    return state;
}

RateState_t *
RateStates_find(const RateStates_t *this, const char *subject)
{
    return g_hash_table_lookup(this->by_subject, subject);
}

/* A router without a reply does not count as exhausted: it may be new, and so
 * may all the others. */
gboolean
RateState_isExhausted(const RateState_t *this)
{
    return this->reply_ms > 0 && this->empty &&
           Clock_nowMs() - this->reply_ms < REPLY_TTL_MS;
}

static gboolean
is_report_lost(const RateState_t *this, gint64 now_ms)
{
    return this->reported_ms > 0 &&
           now_ms - this->reported_ms > RATE_REPLY_TIMEOUT_MS;
}

gboolean
RateState_isOpen(const RateState_t *this, const RateLimit_t *limit,
                 gint64 now_ms)
{
    return this->open && this->version == limit->version &&
           now_ms - this->reply_ms < REPLY_TTL_MS &&
           !is_report_lost(this, now_ms);
}

void
RateState_noteReply(RateState_t *this, gboolean open, double left)
{
    this->open = open;
    this->empty = left <= 0;
    this->reply_ms = Clock_nowMs();
}

RateClaim_t
RateState_createClaim(RateState_t *this, const RateRequest_t *request)
{
    RateClaim_t claim = {
        .subject = request->subject,
        .limit = request->limit,
        .units = request->units,
        .spent = this->unreported,
        .exhausted = RateState_isExhausted(this),
        .from = RATE_SELF,
    };
    this->unreported = 0;
    return claim;
}
