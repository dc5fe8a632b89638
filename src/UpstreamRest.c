#include "UpstreamRest.h"

#include "Random.h"

/* A router ends its rest up to so much later than it was asked to. */
#define SPREAD_MS 300
/* After the end requests go there so far apart, in two steps. */
#define FIRST_STEP_MS 500
#define FIRST_GAP_MS 200
#define SECOND_STEP_MS 1000
#define SECOND_GAP_MS 50

gboolean
UpstreamRest_note(UpstreamRest_t *this, gint64 for_ms, gint64 now_ms)
{
    gint64 until_ms = now_ms + CLAMP(for_ms, 0, UPSTREAM_REST_MOST_MS);
    if (for_ms <= 0 || until_ms <= this->until_ms) {
        return FALSE;
    }
    this->asked_ms = now_ms;
    this->until_ms = until_ms + Random_below(SPREAD_MS);
    this->sent_ms = 0;
    return TRUE;
}

gint64
UpstreamRest_leftMs(const UpstreamRest_t *this, gint64 now_ms)
{
    return MAX(this->until_ms - now_ms, 0);
}

static gint64
gap_ms(gint64 ended_ms)
{
    if (ended_ms < FIRST_STEP_MS) {
        return FIRST_GAP_MS;
    }
    return ended_ms < SECOND_STEP_MS ? SECOND_GAP_MS : 0;
}

gboolean
UpstreamRest_isPaced(const UpstreamRest_t *this, gint64 now_ms)
{
    return this->until_ms > 0 && this->sent_ms > 0 &&
           now_ms < this->sent_ms + gap_ms(now_ms - this->until_ms);
}

void
UpstreamRest_noteSent(UpstreamRest_t *this, gint64 now_ms)
{
    if (this->until_ms > 0 && now_ms >= this->until_ms) {
        this->sent_ms = now_ms;
    }
}
