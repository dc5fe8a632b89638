#include "RateWords.h"

#include "Clock.h"

/* A word counts for so long at the most; the keeper tells before when it ends.
 */
#define WORD_MS 10000
#define FORGET_MS 60000
#define SWEEP_MS 10000

struct RateWords {
    GHashTable *by_subject; /* subject -> RateWord_t */
    gint64 swept_ms;
};

RateWords_t *
RateWords_create(void)
{
    RateWords_t *this = g_new0(RateWords_t, 1);
    this->by_subject =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return this;
}

void
RateWords_destroy(RateWords_t *this)
{
    g_hash_table_destroy(this->by_subject);
    g_free(this);
}

static gboolean
is_forgotten(gpointer subject, gpointer value, gpointer now_ms)
{
    (void)subject;
    const RateWord_t *word = value;
    return *(const gint64 *)now_ms - word->used_ms > FORGET_MS;
}

static void
sweep(RateWords_t *this)
{
    gint64 now_ms = Clock_nowMs();
    if (now_ms - this->swept_ms > SWEEP_MS) {
        this->swept_ms = now_ms;
        g_hash_table_foreach_remove(this->by_subject, is_forgotten, &now_ms);
    }
}

RateWord_t *
RateWords_of(RateWords_t *this, const char *subject)
{
    sweep(this);
    RateWord_t *word = RateWords_find(this, subject);
    if (!word) {
        word = g_new0(RateWord_t, 1);
        g_hash_table_insert(this->by_subject, g_strdup(subject), word);
    }
    word->used_ms = Clock_nowMs();
    return word;
}

RateWord_t *
RateWords_find(const RateWords_t *this, const char *subject)
{
    return g_hash_table_lookup(this->by_subject, subject);
}

/* A router that has no word yet may be new, as all others may be. */
gboolean
RateWord_isPressed(const RateWord_t *this)
{
    return this->word_ms > 0 && this->empty &&
           Clock_nowMs() - this->word_ms < WORD_MS;
}

static gboolean
is_report_lost(const RateWord_t *this, gint64 now_ms)
{
    return this->told_ms > 0 && now_ms - this->told_ms > RATE_WAIT_MS;
}

gboolean
RateWord_isOpen(const RateWord_t *this, const RateLimit_t *limit,
                gint64 now_ms)
{
    return this->open && this->version == limit->version &&
           now_ms - this->word_ms < WORD_MS && !is_report_lost(this, now_ms);
}

void
RateWord_note(RateWord_t *this, gboolean open, double left)
{
    this->open = open;
    this->empty = left <= 0;
    this->word_ms = Clock_nowMs();
}

RateClaim_t
RateWord_claim(RateWord_t *this, const RateRequest_t *request)
{
    RateClaim_t claim = {
        .subject = request->subject,
        .limit = request->limit,
        .units = request->units,
        .spent = this->untold,
        .pressed = RateWord_isPressed(this),
        .from = RATE_SELF,
    };
    this->untold = 0;
    return claim;
}
