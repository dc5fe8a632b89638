#include "PauseGuard.h"

#include "Clock.h"

/* Share of a stream in what is known: some twenty count, as all routers have
 * to see it soon. */
#define STREAM_GAIN 0.05
/* Engines are divided where so many of the streams have too long a pause, and
 * no longer where hardly any has. */
#define DIVIDE_ABOVE 0.08
#define JOIN_BELOW 0.005
/* Share of a request in the mean work: some hundred count. */
#define WORK_GAIN 0.01
/* Short prompts get their part of the work, and this much of the engines
 * besides, as their streams go on after it. 0.10 left 94 of 433 streams with
 * too long a pause, 0.20 left 60 of 467 (engines of 0.73 of the usual speed, a
 * quiet day of 34 s). */
#define SHARE_MORE 0.20

struct PauseGuard {
    double late; /* of streams, with too long a pause */
    gboolean divided;
    double short_us; /* mean work of a request that is short, or none */
    double long_us;
};

PauseGuard_t *
PauseGuard_create(void)
{
    return g_new0(PauseGuard_t, 1);
}

void
PauseGuard_destroy(PauseGuard_t *this)
{
    g_free(this);
}

void
PauseGuard_noteStream(PauseGuard_t *this, gint64 pause_us, gint64 aim_ms)
{
    if (aim_ms == 0) {
        return;
    }
    double is_late = pause_us > aim_ms * CLOCK_US_PER_MS ? 1 : 0;
    this->late += (is_late - this->late) * STREAM_GAIN;
    this->divided =
        this->divided ? this->late > JOIN_BELOW : this->late > DIVIDE_ABOVE;
}

void
PauseGuard_noteWork(PauseGuard_t *this, gboolean is_short, gint64 work_us)
{
    double us = (double)work_us;
    this->short_us += ((is_short ? us : 0) - this->short_us) * WORK_GAIN;
    this->long_us += ((is_short ? 0 : us) - this->long_us) * WORK_GAIN;
}

double
PauseGuard_share(const PauseGuard_t *this)
{
    double all_us = this->short_us + this->long_us;
    if (!this->divided || all_us <= 0) {
        return 0;
    }
    return MIN(this->short_us / all_us + SHARE_MORE, 1);
}
