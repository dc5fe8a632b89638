#include "FleetSize.h"

/* How long routers count that were known or that another router knew. Longer
 * than partitions usually last; if the others are really gone, the remaining
 * ones admit too little for as long. */
#define MEMORY_MS 60000
/* Routers that one which has found none of its seeds assumes. */
#define UNKNOWN_SIZE 16
/* Larger numbers from other routers are not plausible. */
#define SIZE_MAX_TOLD 10000

/* The largest number lately, and when it was last seen. */
typedef struct {
    guint routers;
    gint64 seen_ms;
} Peak_t;

/* What was seen here and what was told are separate: routers that told each
 * other what they were told would never forget it. */
struct FleetSize {
    gint64 started_ms;
    Peak_t seen;
    Peak_t told;
    gboolean is_used;
};

FleetSize_t *
FleetSize_create(gint64 now_ms)
{
    FleetSize_t *this = g_new0(FleetSize_t, 1);
    this->started_ms = now_ms;
    return this;
}

void
FleetSize_destroy(FleetSize_t *this)
{
    g_free(this);
}

static gboolean
is_recent(const Peak_t *peak, gint64 now_ms)
{
    return peak->routers > 0 && now_ms - peak->seen_ms < MEMORY_MS;
}

static void
raise_peak(Peak_t *peak, guint routers, gint64 now_ms)
{
    if (routers >= peak->routers || !is_recent(peak, now_ms)) {
        *peak = (Peak_t){routers, now_ms};
    }
}

void
FleetSize_noteTold(FleetSize_t *this, guint routers, gint64 now_ms)
{
    if (routers > 0 && routers <= SIZE_MAX_TOLD) {
        raise_peak(&this->told, routers, now_ms);
    }
}

guint
FleetSize_remembered(FleetSize_t *this, guint known, gint64 now_ms)
{
    raise_peak(&this->seen, known, now_ms);
    return this->seen.routers;
}

/* Assumes that the unknown seeds are cut off together with as many routers as
 * the known ones stand for. */
static guint
guess_from_seeds(const FleetSizeView_t *view)
{
    gboolean is_whole = view->is_settled && view->seeds_known == view->seeds;
    if (view->seeds == 0 || is_whole) {
        return view->known;
    }
    guint guess = view->known * view->seeds / MAX(view->seeds_known, 1);
    return MAX(guess, UNKNOWN_SIZE);
}

guint
FleetSize_estimate(FleetSize_t *this, const FleetSizeView_t *view,
                   gint64 now_ms)
{
    guint size = FleetSize_remembered(this, view->known, now_ms);
    this->is_used = TRUE;
    if (is_recent(&this->told, now_ms)) {
        return MAX(size, this->told.routers);
    }
    gboolean is_new = now_ms - this->started_ms < MEMORY_MS;
    return is_new ? MAX(size, guess_from_seeds(view)) : size;
}

gboolean
FleetSize_isUsed(const FleetSize_t *this)
{
    return this->is_used;
}
