#include "GroupPartition.h"

#include <math.h>

#include "Clock.h"

/* Time constant of the moving average of arrivals: after a second it has seen
 * seven eighths of a change. */
#define RATE_MS 500.0
/* An average over a shorter time than this is a guess from a few arrivals. */
#define RATE_SPAN_MIN_MS 250.0
/* A kind of requests of which none has arrived for this long needs no engines;
 * its average starts again. */
#define QUIET_MS 3000
/* A router that has seen a request in this time dispatches for the group. */
#define ACTIVE_MS 2000
/* Time in which the averages of a new dispatcher become those of its group. */
#define NEW_MS 1000
/* Runs that the mean of the urgent requests covers. */
#define RUNS 100
/* Prompts that the mean of the less urgent requests covers. */
#define PROMPTS 20
/* Interval at which engines are given back, as runs on them have to end. */
#define GIVE_BACK_MS 500
/* Engines are shared again when the mean prompt takes less than this fraction
 * of the objective; between both limits nothing changes. */
#define JOIN_FRACTION 0.5
/* Slots beyond the load, in square roots of the load. */
#define SPARE_ROOTS 2.0
#define US_PER_S 1e6

/* Moving average of the arrivals of one kind. */
typedef struct {
    double per_s; /* decayed to @last_ms; 0 before the first arrival */
    gint64 since_ms;
    gint64 last_ms;
} Rate_t;

/* Mean of the first observations, later a moving average. */
typedef struct {
    double us;
    guint count;
} Mean_t;

struct GroupPartition {
    Rate_t urgent;
    Rate_t others;
    Mean_t urgent_held;
    Mean_t others_prompt;
    gboolean is_on;
    guint reserved;
    gint64 reserved_ms; /* time of the last change of @reserved */
};

GroupPartition_t *
GroupPartition_create(void)
{
    return g_new0(GroupPartition_t, 1);
}

void
GroupPartition_destroy(GroupPartition_t *this)
{
    g_free(this);
}

static gboolean
has_arrived(const Rate_t *rate, gint64 within_ms, gint64 now_ms)
{
    return rate->per_s > 0 && now_ms - rate->last_ms <= within_ms;
}

static double
decayed(const Rate_t *rate, gint64 now_ms)
{
    double elapsed_ms = (double)MAX(now_ms - rate->last_ms, 0);
    return rate->per_s * exp(-elapsed_ms / RATE_MS);
}

static void
note_arrival(Rate_t *rate, gint64 now_ms)
{
    if (!has_arrived(rate, QUIET_MS, now_ms)) {
        *rate = (Rate_t){0, now_ms, now_ms};
    }
    rate->per_s = decayed(rate, now_ms) + CLOCK_MS_PER_S / RATE_MS;
    rate->last_ms = MAX(rate->last_ms, now_ms);
}

/* A young average is short of what arrived before its start. */
static double
arrivals_per_s(const Rate_t *rate, gint64 now_ms)
{
    double span_ms = MAX((double)(now_ms - rate->since_ms), RATE_SPAN_MIN_MS);
    return decayed(rate, now_ms) / (1 - exp(-span_ms / RATE_MS));
}

static void
note_mean(Mean_t *mean, gint64 us, guint covered)
{
    mean->count = MIN(mean->count + 1, covered);
    mean->us += ((double)us - mean->us) / mean->count;
}

void
GroupPartition_noteArrival(GroupPartition_t *this, gboolean urgent,
                           gint64 now_ms)
{
    note_arrival(urgent ? &this->urgent : &this->others, now_ms);
}

/* The engines of the less urgent requests are what is left, whatever slots
 * these need. */
void
GroupPartition_noteRun(GroupPartition_t *this, gboolean urgent, gint64 held_us)
{
    if (urgent) {
        note_mean(&this->urgent_held, MAX(held_us, 0), RUNS);
    }
}

void
GroupPartition_notePrompt(GroupPartition_t *this, gint64 compute_us)
{
    note_mean(&this->others_prompt, MAX(compute_us, 0), PROMPTS);
}

gint64
GroupPartition_meanPromptUs(const GroupPartition_t *this)
{
    return (gint64)this->others_prompt.us;
}

gboolean
GroupPartition_isActive(const GroupPartition_t *this, gint64 now_ms)
{
    return has_arrived(&this->urgent, ACTIVE_MS, now_ms) ||
           has_arrived(&this->others, ACTIVE_MS, now_ms);
}

gboolean
GroupPartition_isNew(const GroupPartition_t *this, gint64 now_ms)
{
    return this->urgent.per_s <= 0 || now_ms - this->urgent.since_ms < NEW_MS;
}

/* A request that meets a prompt longer than its objective is late by this
 * prompt alone. */
static void
update_is_on(GroupPartition_t *this, gint64 objective_us)
{
    double limit_us = (double)objective_us;
    if (this->is_on) {
        limit_us *= JOIN_FRACTION;
    }
    this->is_on = this->others_prompt.us > limit_us;
}

static gboolean
is_wanted(GroupPartition_t *this, const GroupSize_t *size, gint64 objective_us,
          gint64 now_ms)
{
    if (objective_us <= 0 || size->engines < 2 || size->slots == 0) {
        return FALSE;
    }
    update_is_on(this, objective_us);
    return this->is_on && has_arrived(&this->urgent, QUIET_MS, now_ms) &&
           has_arrived(&this->others, QUIET_MS, now_ms);
}

/* Runs that the mean lacks are taken to last as long as the objective, which
 * is of the order of a short run; the runs that end first are the shortest. */
static double
expected_held_us(const GroupPartition_t *this, gint64 objective_us)
{
    const Mean_t *held = &this->urgent_held;
    double lacking = RUNS - held->count;
    return (held->us * held->count + (double)objective_us * lacking) / RUNS;
}

static guint
engines_needed(const GroupPartition_t *this, const GroupSize_t *size,
               gint64 objective_us, gint64 now_ms)
{
    double held_us = expected_held_us(this, objective_us);
    double load = arrivals_per_s(&this->urgent, now_ms) * held_us / US_PER_S;
    double slots = load + SPARE_ROOTS * sqrt(load);
    double engines = ceil(slots / size->slots);
    return (guint)CLAMP(engines, 1, size->engines - 1);
}

static void
set_reserved(GroupPartition_t *this, guint reserved, gint64 now_ms)
{
    this->reserved = reserved;
    this->reserved_ms = now_ms;
}

guint
GroupPartition_reserve(GroupPartition_t *this, const GroupSize_t *size,
                       gint64 urgent_objective_us, gint64 now_ms)
{
    if (!is_wanted(this, size, urgent_objective_us, now_ms)) {
        this->reserved = 0;
        return 0;
    }
    this->reserved = MIN(this->reserved, size->engines - 1);
    guint needed = engines_needed(this, size, urgent_objective_us, now_ms);
    if (needed >= this->reserved) {
        set_reserved(this, needed, now_ms);
    }
    else if (now_ms - this->reserved_ms >= GIVE_BACK_MS) {
        set_reserved(this, this->reserved - 1, now_ms);
    }
    return this->reserved;
}
