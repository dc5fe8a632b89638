#include "Reach.h"

/* One of a sample may be lost on its way; a part of the routers that is missed
 * for it is under a tenth. */
#define LOST_BY_CHANCE 1
/* Weight of a step in the mean, the first one apart: of a part that is cut off
 * half is seen after one step, and the spread of a step is halved. */
#define STEP_WEIGHT 0.5
/* After so many steps at which all answered fewer are asked, until one does
 * not answer. */
#define CALM_STEPS 4
#define CALM_SAMPLE 4

struct Reach {
    guint64 first; /* ticket of the first that was asked at the last step */
    guint asked;
    guint answered;
    guint64 seen; /* a bit for each that has answered */
    guint others;
    guint steps;
    guint calm; /* steps in a row at which all answered */
    double part;
};

Reach_t *
Reach_create(void)
{
    Reach_t *this = g_new0(Reach_t, 1);
    this->part = 1;
    return this;
}

void
Reach_destroy(Reach_t *this)
{
    g_free(this);
}

static void
count_step(Reach_t *this)
{
    if (this->asked == 0) {
        return;
    }
    guint lost = this->asked - this->answered;
    this->calm = lost == 0 ? this->calm + 1 : 0;
    double answering =
        lost <= LOST_BY_CHANCE ? 1 : 1 - (double)lost / this->asked;
    double reached = (answering * this->others + 1) / (this->others + 1);
    this->part += (reached - this->part) * (this->steps > 0 ? STEP_WEIGHT : 1);
    this->steps++;
}

static guint
wanted(const Reach_t *this)
{
    return this->calm >= CALM_STEPS ? CALM_SAMPLE : REACH_SAMPLE;
}

void
Reach_step(Reach_t *this, const ReachSample_t *sample, ReachSend_t send,
           void *owner)
{
    count_step(this);
    this->first += this->asked;
    this->asked = MIN(sample->drawn, wanted(this));
    this->answered = 0;
    this->seen = 0;
    this->others = sample->others;
    for (guint i = 0; i < this->asked; i++) {
        send(owner, sample->routers[i], this->first + i);
    }
}

void
Reach_rest(Reach_t *this)
{
    this->first += this->asked;
    this->asked = 0;
    this->steps = 0;
    this->calm = 0;
    this->part = 1;
}

void
Reach_noteAnswer(Reach_t *this, guint64 ticket)
{
    guint64 place = ticket - this->first;
    if (place < this->asked && !(this->seen & 1ULL << place)) {
        this->seen |= 1ULL << place;
        this->answered++;
    }
}

double
Reach_part(const Reach_t *this)
{
    return this->part;
}
