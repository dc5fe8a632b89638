#include "UpstreamLimit.h"

/* Unreadable limits of one upstream are reported no more often. */
#define REPORT_MS 10000

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
    this->is_named = said->kind == LIMIT_NAMED;
    this->per_s = said->per_s;
    this->version++;
    this->learned_ms = now_ms;
    return TRUE;
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
