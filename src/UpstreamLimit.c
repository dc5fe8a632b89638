#include "UpstreamLimit.h"

/* Minimum interval between two reports of an upstream's unreadable limit. */
#define REPORT_INTERVAL_MS 10000
/* An upstream with a limit near 0 still gets an occasional request. Otherwise
 * no answer would show that its limit has ended. */
#define MIN_PER_S 0.5
/* Requests that may be sent at once after an idle time. */
#define BURST_REQUESTS 1

static gboolean
is_lower(const UpstreamLimit_t *this, const AdvertisedLimit_t *advertised)
{
    return advertised->kind == LIMIT_ADVERTISED &&
           (!this->is_named || advertised->per_s < this->per_s);
}

static gboolean
is_same(const UpstreamLimit_t *this, const AdvertisedLimit_t *advertised)
{
    gboolean is_named = advertised->kind == LIMIT_ADVERTISED;
    return is_named == this->is_named && advertised->per_s == this->per_s;
}

static void
set_limit(UpstreamLimit_t *this, const UpstreamLimitFact_t *fact,
          gint64 now_ms)
{
    this->is_named = fact->is_named;
    this->per_s = fact->per_s;
    this->version = fact->version;
    this->learned_ms = now_ms;
    this->full_until_ms = 0;
}

gboolean
UpstreamLimit_noteAnswer(UpstreamLimit_t *this,
                         const AdvertisedLimit_t *advertised, gint64 sent_ms,
                         gint64 now_ms)
{
    if (advertised->kind == LIMIT_UNREADABLE || is_same(this, advertised)) {
        return FALSE;
    }
    if (!is_lower(this, advertised) && sent_ms <= this->learned_ms) {
        return FALSE;
    }
    UpstreamLimitFact_t fact = {
        .is_named = advertised->kind == LIMIT_ADVERTISED,
        .per_s = advertised->per_s,
        .version = this->version + 1,
    };
    set_limit(this, &fact, now_ms);
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
UpstreamLimit_applyFact(UpstreamLimit_t *this, const UpstreamLimitFact_t *fact,
                        gint64 now_ms)
{
    if (!is_newer(this, fact)) {
        return FALSE;
    }
    set_limit(this, fact, now_ms);
    return TRUE;
}

RateLimit_t
UpstreamLimit_rate(const UpstreamLimit_t *this)
{
    return (RateLimit_t){
        .per_s = MAX(this->per_s, MIN_PER_S),
        .burst = BURST_REQUESTS,
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
UpstreamLimit_noteReport(UpstreamLimit_t *this, gint64 now_ms)
{
    gboolean reported = this->unreadable_ms > 0 &&
                        now_ms - this->unreadable_ms < REPORT_INTERVAL_MS;
    if (!reported) {
        this->unreadable_ms = now_ms;
    }
    return reported;
}
