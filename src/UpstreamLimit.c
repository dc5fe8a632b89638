#include "UpstreamLimit.h"

/* Unreadable limits of one upstream are reported no more often. */
#define REPORT_MS 10000
/* An upstream that takes next to nothing still gets a request now and then, or
 * nobody would hear that its limit has ended. */
#define LEAST_PER_S 0.5
/* Requests that may come at once after a rest. */
#define BURST 1

static gboolean
is_lower(const UpstreamLimit_t *this, const NamedLimit_t *said)
{
    return said->kind == LIMIT_NAMED &&
           (!this->is_named || said->per_s < this->per_s);
}

static gboolean
is_same(const UpstreamLimit_t *this, const NamedLimit_t *said)
{
    gboolean is_named = said->kind == LIMIT_NAMED;
    return is_named == this->is_named && said->per_s == this->per_s;
}

static void
set(UpstreamLimit_t *this, const UpstreamLimitFact_t *fact, gint64 now_ms)
{
    this->is_named = fact->is_named;
    this->per_s = fact->per_s;
    this->version = fact->version;
    this->learned_ms = now_ms;
    this->full_until_ms = 0;
}

gboolean
UpstreamLimit_noteAnswer(UpstreamLimit_t *this, const NamedLimit_t *said,
                         gint64 sent_ms, gint64 now_ms)
{
    if (said->kind == LIMIT_UNREADABLE || is_same(this, said)) {
        return FALSE;
    }
    if (!is_lower(this, said) && sent_ms <= this->learned_ms) {
        return FALSE;
    }
    UpstreamLimitFact_t fact = {
        .is_named = said->kind == LIMIT_NAMED,
        .per_s = said->per_s,
        .version = this->version + 1,
    };
    set(this, &fact, now_ms);
    return TRUE;
}

static gboolean
is_newer(const UpstreamLimit_t *this, const UpstreamLimitFact_t *fact)
{
    if (fact->version != this->version) {
        return fact->version > this->version;
    }
    return fact->is_named && (!this->is_named || fact->per_s < this->per_s);
}

gboolean
UpstreamLimit_takeFact(UpstreamLimit_t *this, const UpstreamLimitFact_t *fact,
                       gint64 now_ms)
{
    if (!is_newer(this, fact)) {
        return FALSE;
    }
    set(this, fact, now_ms);
    return TRUE;
}

RateLimit_t
UpstreamLimit_rate(const UpstreamLimit_t *this)
{
    return (RateLimit_t){
        .per_s = MAX(this->per_s, LEAST_PER_S),
        .burst = BURST,
        .version = this->version,
        .exact = TRUE,
    };
}

void
UpstreamLimit_noteFull(UpstreamLimit_t *this, gint64 for_ms, gint64 now_ms)
{
    this->full_until_ms = MAX(this->full_until_ms, now_ms + for_ms);
}

gint64
UpstreamLimit_fullMs(const UpstreamLimit_t *this, gint64 now_ms)
{
    return this->is_named ? MAX(this->full_until_ms - now_ms, 0) : 0;
}

gboolean
UpstreamLimit_isReported(UpstreamLimit_t *this, gint64 now_ms)
{
    gboolean reported =
        this->unreadable_ms > 0 && now_ms - this->unreadable_ms < REPORT_MS;
    if (!reported) {
        this->unreadable_ms = now_ms;
    }
    return reported;
}
