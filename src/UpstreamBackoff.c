#include "UpstreamBackoff.h"

#include "Random.h"

/* A router ends its backoff later than asked by a random time below this. */
#define JITTER_MAX_MS 300
/* After the end requests are sent with minimum gaps, in two phases. The phases
 * end at these times after the end of the backoff. */
#define SLOW_PHASE_MS 500
#define SLOW_GAP_MS 200
#define PACED_PHASE_MS 1000
#define PACED_GAP_MS 50

gboolean
UpstreamBackoff_note(UpstreamBackoff_t *this, gint64 for_ms, gint64 now_ms)
{
    gint64 until_ms = now_ms + CLAMP(for_ms, 0, UPSTREAM_BACKOFF_MAX_MS);
    if (for_ms <= 0 || until_ms <= this->until_ms) {
        return FALSE;
    }
    this->asked_ms = now_ms;
    this->until_ms = until_ms + Random_below(JITTER_MAX_MS);
    this->sent_ms = 0;
    return TRUE;
}

gint64
UpstreamBackoff_leftMs(const UpstreamBackoff_t *this, gint64 now_ms)
{
    return MAX(this->until_ms - now_ms, 0);
}

static gint64
min_gap_ms(gint64 since_end_ms)
{
    if (since_end_ms < SLOW_PHASE_MS) {
        return SLOW_GAP_MS;
    }
    return since_end_ms < PACED_PHASE_MS ? PACED_GAP_MS : 0;
}

gboolean
UpstreamBackoff_isPaced(const UpstreamBackoff_t *this, gint64 now_ms)
{
    return this->until_ms > 0 && this->sent_ms > 0 &&
           now_ms < this->sent_ms + min_gap_ms(now_ms - this->until_ms);
}

void
UpstreamBackoff_noteSent(UpstreamBackoff_t *this, gint64 now_ms)
{
    if (this->until_ms > 0 && now_ms >= this->until_ms) {
        this->sent_ms = now_ms;
    }
}
